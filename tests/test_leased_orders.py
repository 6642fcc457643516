"""Orders to an engine when its lease expires."""

import logging
from dataclasses import dataclass, field
from typing import Any

import pykka
import pytest
from result import Err, Ok, Result

from bamboovale.decisions.work import EngineView, Load, Unload
from bamboovale.engines.client import EngineAddress, OrderFailure
from bamboovale.engines.orders import LeasedOrders, OrderCompleted
from bamboovale.environment import Environment
from bamboovale.metrics import Metrics
from bamboovale.settings import Settings

ENGINE = EngineAddress("g1", "127.0.0.1", 1)


@dataclass
class FakeEngine:
    """An engine that records its orders.

    ``on_order`` is called during each order, ``on_read`` while its state is read.
    """

    running: dict[str, str] = field(default_factory=dict)
    orders: list[tuple[str, str, int]] = field(default_factory=list)
    on_order: Any = None
    on_read: Any = None

    def read_state(self, engine: EngineAddress) -> Result[EngineView, str]:
        if self.on_read:
            self.on_read()
        return Ok(EngineView("b1", "base", 4, 2, frozenset(), dict(self.running)))

    def load(
        self,
        engine: EngineAddress,
        lora_name: str,
        source: str,
        fencing: int,
    ) -> Result[None, OrderFailure]:
        return self._record("load", lora_name, fencing)

    def unload(
        self,
        engine: EngineAddress,
        lora_name: str,
        fencing: int,
    ) -> Result[None, OrderFailure]:
        return self._record("unload", lora_name, fencing)

    def _record(
        self,
        order: str,
        lora_name: str,
        fencing: int,
    ) -> Result[None, OrderFailure]:
        self.orders.append((order, lora_name, fencing))
        if self.on_order:
            self.on_order()
        return Ok(None) if fencing >= 0 else Err(OrderFailure.FENCED)


class Inbox(pykka.ThreadingActor):
    """Records the messages it receives."""

    def __init__(self) -> None:
        super().__init__()
        self.received: list[Any] = []

    def on_receive(self, message: Any) -> Any:
        if message == "read":
            return list(self.received)
        return self.received.append(message)


@pytest.fixture
def inbox() -> Any:
    actor = Inbox.start()
    yield actor
    actor.stop()


class LeasedEngine:
    """Orders under a lease that the test expires."""

    def __init__(self) -> None:
        self.valid = True
        self.engine = FakeEngine()
        self.metrics = Metrics()
        environment = Environment(
            Settings(id="e1", failure_domain="muc-a"),
            self.metrics,
            logging.getLogger("test"),
        )
        self.orders = LeasedOrders(
            environment,
            self.engine,
            ENGINE,
            fencing=7,
            lease_valid=lambda: self.valid,
        )

    def expire(self) -> None:
        self.valid = False


class TestExpiredLease:
    """No order is sent after the lease has expired.

    Guards against a holder that is paused before an order while another takes over.
    """

    def test_an_order_after_the_expiry_is_not_sent(self, inbox: Any) -> None:
        leased = LeasedEngine()
        leased.expire()
        leased.orders.carry_out(inbox, Load("a@1", "s"))
        assert leased.engine.orders == []
        assert inbox.ask("read") == [OrderCompleted(Load, "a@1", False, False)]

    def test_an_expiry_during_the_check_of_the_engine_evicts_nothing(
        self,
        inbox: Any,
    ) -> None:
        """Guards against an eviction of an adapter that the next holder uses.

        The holder is paused while it checks that the adapter is idle.
        """
        leased = LeasedEngine()
        leased.engine.on_read = leased.expire
        leased.orders.carry_out(inbox, Unload("a@1"))
        assert leased.engine.orders == []
        assert inbox.ask("read") == [OrderCompleted(Unload, "a@1", False, False)]

    def test_an_expiry_during_the_order_is_counted(self, inbox: Any) -> None:
        leased = LeasedEngine()
        leased.engine.on_order = leased.expire
        leased.orders.carry_out(inbox, Load("a@1", "s"))
        assert leased.metrics.orders_after_lapse._value.get() == 1

    def test_each_order_carries_the_fencing_number(self, inbox: Any) -> None:
        leased = LeasedEngine()
        leased.orders.carry_out(inbox, Load("a@1", "s"))
        assert leased.engine.orders == [("load", "a@1", 7)]


class TestEvictionUnderARun:
    """An adapter in use is not evicted, even if this holder granted no permit for it.

    Guards against evicting an adapter whose permit came from a former holder.
    """

    def test_a_run_reported_by_the_engine_keeps_the_adapter(self, inbox: Any) -> None:
        leased = LeasedEngine()
        leased.engine.running = {"r.1": "a@1"}
        leased.orders.carry_out(inbox, Unload("a@1"))
        assert leased.engine.orders == []

    def test_an_idle_adapter_is_evicted(self, inbox: Any) -> None:
        leased = LeasedEngine()
        leased.engine.running = {"r.1": "b@1"}
        leased.orders.carry_out(inbox, Unload("a@1"))
        assert leased.engine.orders == [("unload", "a@1", 7)]
