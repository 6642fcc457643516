"""Orders to one engine under one lease, which is checked before and after each.

Guards against a holder that is paused until its lease has expired and another VM took
over, and then sends its next order. The lease is checked last before the order, which
leaves the time between check and write; an engine that checks fencing numbers closes
it. The check after the order detects a pause in between.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import pykka
from result import Ok

from bamboovale.actors import tell
from bamboovale.decisions.work import EngineView, Load, Unload
from bamboovale.engines.client import EngineAddress, EngineClient
from bamboovale.environment import Environment

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class OrderCompleted:
    """A load or an eviction completed; ``order`` is its type.

    ``sent`` is False if the lease, or a run at the engine, did not permit the order.
    """

    order: type
    lora_name: str
    sent: bool
    succeeded: bool


class LeasedOrders:
    """Sends orders to one engine while ``lease_valid()`` returns true."""

    def __init__(
        self,
        environment: Environment,
        client: EngineClient,
        engine: EngineAddress,
        fencing: int,
        lease_valid: Callable[[], bool],
    ) -> None:
        self._environment = environment
        self._client = client
        self._engine = engine
        self._fencing = fencing
        self.lease_valid = lease_valid

    def read_view(
        self,
        actor: pykka.ActorRef,
        make_message: Callable[[EngineView | None], Any],
    ) -> None:
        """Read the engine's state and send it to the actor."""
        tell(actor, make_message(self._read()))

    def carry_out(self, actor: pykka.ActorRef, order: Load | Unload) -> OrderCompleted:
        """Send one order; report its result to the actor and return it."""
        sent = self._may_send(order)
        succeeded = sent and self._send(order)
        if succeeded and not self.lease_valid():
            self._environment.metrics.orders_after_lapse.inc()
            logger.warning(
                "lease on %s expired during an order for %s",
                self._engine.id,
                order.lora_name,
            )
        completed = OrderCompleted(type(order), order.lora_name, sent, succeeded)
        tell(actor, completed)
        return completed

    def _may_send(self, order: Load | Unload) -> bool:
        """Check the engine first and the lease last.

        Guards against a pause during the check of the engine, after which the next
        holder may use the adapter that was idle before.
        """
        if isinstance(order, Unload) and not self._is_idle(order.lora_name):
            return False
        return self.lease_valid()

    def _read(self) -> EngineView | None:
        sent_at = self._environment.now()
        answer = self._client.read_state(self._engine)
        if isinstance(answer, Ok):
            return replace(answer.ok_value, read_at=sent_at)
        return None

    def _send(self, order: Load | Unload) -> bool:
        metrics = self._environment.metrics
        if isinstance(order, Load):
            result = self._client.load(
                self._engine,
                order.lora_name,
                order.source,
                self._fencing,
            )
            (metrics.loads if result.is_ok() else metrics.load_failures).inc()
            return result.is_ok()
        result = self._client.unload(self._engine, order.lora_name, self._fencing)
        if result.is_ok():
            metrics.evictions.inc()
        return result.is_ok()

    def _is_idle(self, lora_name: str) -> bool:
        """Check at the engine that no request uses the adapter.

        A request may run there without a permit of this holder: in an outage of the
        log, a former holder may have granted it.
        """
        view = self._read()
        if view is None:
            return False
        return lora_name not in view.running_by_request_id.values()
