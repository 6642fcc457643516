"""Orders to one engine under one lease: checked before and after each.

Failure: a holder is paused, its lease lapses, another VM takes over; it wakes up and
goes on with the order it was about to give. The check of the lease comes last before
the order, after the look at the engine that an eviction needs, so that what remains is
the time between the check and the write. The engine's own check of the fencing number
closes that where the engine has one. The check after the order finds a pause that fell
between.
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
    """A load or an eviction ended; ``order`` is its type.

    ``sent`` is False where the lease, or a run at the engine, did not allow the order
    to be sent at all.
    """

    order: type
    lora_name: str
    sent: bool
    succeeded: bool


class LeasedOrders:
    """Gives orders to one engine while ``lease_valid`` says that the lease is valid."""

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
        """Read the engine's state and tell the actor."""
        tell(actor, make_message(self._read()))

    def carry_out(self, actor: pykka.ActorRef, order: Load | Unload) -> None:
        """Give one order and tell the actor how it ended."""
        sent = self._may_send(order)
        succeeded = sent and self._send(order)
        if succeeded and not self.lease_valid():
            self._environment.metrics.orders_after_lapse.inc()
            logger.warning(
                "lease on %s lapsed while %s was ordered",
                self._engine.id,
                order.lora_name,
            )
        tell(actor, OrderCompleted(type(order), order.lora_name, sent, succeeded))

    def _may_send(self, order: Load | Unload) -> bool:
        """Look at the engine first and at the lease last.

        Guards against a pause during the look at the engine, which takes milliseconds
        where the check of the lease takes none: the look shows an idle adapter as it
        was before the pause, and the next holder's request would lose its adapter.
        """
        if isinstance(order, Unload) and not self._is_idle(order.lora_name):
            return False
        return self.lease_valid()

    def _read(self) -> EngineView | None:
        asked_at = self._environment.now()
        answer = self._client.read_state(self._engine)
        if isinstance(answer, Ok):
            return replace(answer.ok_value, read_at=asked_at)
        return None

    def _send(self, order: Load | Unload) -> bool:
        metrics = self._environment.metrics
        if isinstance(order, Load):
            ended = self._client.load(
                self._engine,
                order.lora_name,
                order.source,
                self._fencing,
            )
            (metrics.loads if ended.is_ok() else metrics.load_failures).inc()
            return ended.is_ok()
        ended = self._client.unload(self._engine, order.lora_name, self._fencing)
        if ended.is_ok():
            metrics.evictions.inc()
        return ended.is_ok()

    def _is_idle(self, lora_name: str) -> bool:
        """Look once more before an eviction.

        A request may run there without our permit: a lapsed holder in an outage of
        the log granted it. The engine's list shows it; the pins here do not.
        """
        view = self._read()
        if view is None:
            return False
        return lora_name not in view.running_by_request_id.values()
