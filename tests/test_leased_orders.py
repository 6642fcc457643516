"""Orders to an engine around the end of a lease."""

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
    """An engine that notes its orders.

    ``on_order`` runs in the middle of each, ``on_read`` while its state is read.
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
        return self._note("load", lora_name, fencing)

    def unload(
        self,
        engine: EngineAddress,
        lora_name: str,
        fencing: int,
    ) -> Result[None, OrderFailure]:
        return self._note("unload", lora_name, fencing)

    def _note(
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
    """Keeps what it is told."""

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


class World:
    """Orders under a lease that the test ends."""

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

    def lapse(self) -> None:
        self.valid = False


class TestLapsedLease:
    """No order is given once the lease has lapsed.

    The holder is paused between its decision and the order. Meanwhile another VM has
    taken the engine over; the old holder wakes up and goes on where it was.
    """

    def test_an_order_after_the_lapse_is_not_sent(self, inbox: Any) -> None:
        world = World()
        world.lapse()
        world.orders.carry_out(inbox, Load("a@1", "s"))
        assert world.engine.orders == []
        assert inbox.ask("read") == [OrderCompleted(Load, "a@1", False, False)]

    def test_a_lapse_during_the_look_at_the_engine_evicts_nothing(
        self,
        inbox: Any,
    ) -> None:
        """A caller's stream would break off with its adapter gone.

        The holder looks at the engine before an eviction and is paused during that
        look, for longer than its lease. The next holder lets a request for the same
        adapter run; the first one wakes up with a look that shows the adapter idle.
        """
        world = World()
        world.engine.on_read = world.lapse
        world.orders.carry_out(inbox, Unload("a@1"))
        assert world.engine.orders == []
        assert inbox.ask("read") == [OrderCompleted(Unload, "a@1", False, False)]

    def test_a_lapse_during_the_order_is_counted(self, inbox: Any) -> None:
        world = World()
        world.engine.on_order = world.lapse
        world.orders.carry_out(inbox, Load("a@1", "s"))
        assert world.metrics.orders_after_lapse._value.get() == 1

    def test_each_order_carries_the_fencing_number(self, inbox: Any) -> None:
        world = World()
        world.orders.carry_out(inbox, Load("a@1", "s"))
        assert world.engine.orders == [("load", "a@1", 7)]


class TestEvictionUnderARun:
    """An adapter in use is not evicted, also if this holder gave no permit for it.

    A former holder, in an outage of the log, granted a place that the new holder
    does not know of. Only the engine's own list shows the run.
    """

    def test_a_listed_run_keeps_the_adapter(self, inbox: Any) -> None:
        world = World()
        world.engine.running = {"r.1": "a@1"}
        world.orders.carry_out(inbox, Unload("a@1"))
        assert world.engine.orders == []

    def test_an_idle_adapter_is_evicted(self, inbox: Any) -> None:
        world = World()
        world.engine.running = {"r.1": "b@1"}
        world.orders.carry_out(inbox, Unload("a@1"))
        assert world.engine.orders == [("unload", "a@1", 7)]
