"""The lease holder of an unreachable engine."""

import logging
import threading
from collections.abc import Iterator
from typing import Any

import pykka
import pytest

from bamboovale.decisions.dispatch import DispatchConfig
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.work import EngineView, Load, Unload
from bamboovale.engines.client import EngineAddress
from bamboovale.engines.holder import EngineHolder
from bamboovale.engines.messages import (
    LoadGrantReceived,
    PermitRequestReceived,
    ViewRead,
)
from bamboovale.engines.orders import OrderCompleted
from bamboovale.environment import Environment
from bamboovale.metrics import Metrics
from bamboovale.peers.messages import LoadGrantReply, PermitReply, PermitRequest
from bamboovale.settings import Settings
from tests.standin_client import wait_until


class FakeOrders:
    """Orders to an engine whose state the test sets; they end when it lets them."""

    def __init__(self) -> None:
        self.sent: list[Load | Unload] = []
        self.may_end = threading.Event()

    def lease_valid(self) -> bool:
        return True

    def read_view(self, actor: Any, make_message: Any) -> None:
        """Do nothing; the test sends the state to the holder."""

    def carry_out(self, actor: Any, order: Load | Unload) -> OrderCompleted:
        """Complete an order once the test lets it; the holder is not told."""
        self.sent.append(order)
        self.may_end.wait(timeout=5.0)
        return OrderCompleted(type(order), order.lora_name, True, True)


class FakeLoadGrants:
    """A load scheduler whose grants the test sends; it records how they end."""

    def __init__(self) -> None:
        self.released: list[tuple[int, bool, bool]] = []

    def request(self, engine_id: str, lora_name: str, weight: float) -> None:
        """Leave the request unanswered."""

    def release(self, grant: LoadGrantReply, *, used: bool, loaded: bool) -> None:
        """Record the end of a grant."""
        self.released.append((grant.number, used, loaded))


class Holder:
    """A holder of an engine with one loaded adapter, and its replies."""

    def __init__(self) -> None:
        self.replies: list[PermitReply] = []
        self.now = 10.0
        environment = Environment(
            Settings(id="e1", failure_domain="muc-a"),
            Metrics(),
            logging.getLogger("test"),
            now=lambda: self.now,
        )
        self.orders: Any = FakeOrders()
        self.grants = FakeLoadGrants()
        self.actor = EngineHolder.start(
            environment=environment,
            engine=EngineAddress("g1", "127.0.0.1", 1),
            config=DispatchConfig("g1", "base", fencing=1),
            policy=Policy.chosen(),
            orders=self.orders,
            load_grants=self.grants,
            on_hint=lambda hint: None,
            log_is_down=lambda: False,
        )
        self.report_state()

    def report_state(self, *loaded: str) -> None:
        view = EngineView("b1", "base", 4, 2, frozenset(loaded or {"hot@1"}))
        self.actor.ask(ViewRead(view))

    def miss_polls(self, times: int) -> None:
        for _ in range(times):
            self.actor.ask(ViewRead(None))

    def request(self, request_id: str, adapter: str) -> None:
        message = PermitRequest(
            engine_id="g1",
            request_id=request_id,
            ask_number=1,
            adapter=adapter,
            version="1",
            source="s",
            work_class="interactive",
            customer="c",
            starts_within_s=30.0,
            max_tokens=8,
            size_bytes=1,
            fingerprint="f",
            exclusive=False,
        )
        self.actor.ask(PermitRequestReceived("e1", message, self.replies.append))

    def sent_elsewhere(self) -> list[str]:
        return [reply.request_id for reply in self.replies if reply.elsewhere]

    def granted(self) -> list[str]:
        return [reply.request_id for reply in self.replies if reply.permit]


@pytest.fixture(autouse=True)
def stop_actors() -> Iterator[None]:
    yield
    pykka.ActorRegistry.stop_all()


class TestUnreachableEngine:
    """No request is queued for an unreachable engine.

    Guards against requests that wait for a restart while other engines have places.
    """

    def test_queued_requests_are_sent_elsewhere(self) -> None:
        holder = Holder()
        holder.request("r1", "cold")
        holder.miss_polls(2)
        assert holder.sent_elsewhere() == ["r1"]

    def test_new_requests_are_sent_elsewhere(self) -> None:
        holder = Holder()
        holder.miss_polls(2)
        holder.request("r1", "hot")
        assert holder.sent_elsewhere() == ["r1"]

    def test_one_missed_poll_has_no_effect(self) -> None:
        holder = Holder()
        holder.miss_polls(1)
        holder.request("r1", "hot")
        assert holder.granted() == ["r1"]

    def test_it_grants_again_after_a_successful_poll(self) -> None:
        holder = Holder()
        holder.miss_polls(3)
        holder.report_state()
        holder.request("r1", "hot")
        assert holder.granted() == ["r1"]


class TestLoadGrants:
    """Grants of a holder that stops, as its lease has moved."""

    def test_a_load_under_way_ends_its_grant(self) -> None:
        """Guards against loads elsewhere that wait until a lost grant expires."""
        holder = Holder()
        holder.request("r1", "cold")
        holder.actor.ask(LoadGrantReceived(LoadGrantReply("g1", "cold@1", "e2:1", 7)))
        wait_until(lambda: holder.orders.sent == [Load("cold@1", "s")])
        holder.actor.stop()
        assert holder.grants.released == []
        holder.orders.may_end.set()
        wait_until(lambda: holder.grants.released == [(7, True, True)])

    def test_a_grant_that_waits_for_an_eviction_is_returned(self) -> None:
        """Guards against the same with a grant that was not used yet."""
        holder = Holder()
        holder.report_state("hot@1", "warm@1")
        holder.now = 100.0
        holder.request("r1", "cold")
        holder.actor.ask(LoadGrantReceived(LoadGrantReply("g1", "cold@1", "e2:1", 7)))
        wait_until(lambda: [type(order) for order in holder.orders.sent] == [Unload])
        holder.actor.stop()
        wait_until(lambda: holder.grants.released == [(7, False, False)])
        holder.orders.may_end.set()
