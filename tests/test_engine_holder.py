"""The lease holder of an unreachable engine."""

import logging
from collections.abc import Iterator
from typing import Any

import pykka
import pytest

from bamboovale.decisions.dispatch import DispatchConfig
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.work import EngineView
from bamboovale.engines.client import EngineAddress
from bamboovale.engines.holder import EngineHolder
from bamboovale.engines.messages import PermitRequestReceived, ViewRead
from bamboovale.environment import Environment
from bamboovale.metrics import Metrics
from bamboovale.peers.messages import PermitReply, PermitRequest
from bamboovale.settings import Settings


class FakeOrders:
    """Orders to an engine whose state the test sets."""

    def lease_valid(self) -> bool:
        return True

    def read_view(self, actor: Any, make_message: Any) -> None:
        """Do nothing; the test sends the state to the holder."""

    def carry_out(self, actor: Any, order: Any) -> None:
        """Never complete an order."""


class FakeLoadGrants:
    """A load scheduler that never grants a load."""

    def request(self, engine_id: str, lora_name: str, weight: float) -> None:
        """Leave the request unanswered."""

    def release(self, grant: Any, *, used: bool, loaded: bool) -> None:
        """Accept a returned grant."""


class Holder:
    """A holder of an engine with one loaded adapter, and its replies."""

    def __init__(self) -> None:
        self.replies: list[PermitReply] = []
        environment = Environment(
            Settings(id="e1", failure_domain="muc-a"),
            Metrics(),
            logging.getLogger("test"),
            now=lambda: 10.0,
        )
        orders: Any = FakeOrders()
        self.actor = EngineHolder.start(
            environment=environment,
            engine=EngineAddress("g1", "127.0.0.1", 1),
            config=DispatchConfig("g1", "base", fencing=1),
            policy=Policy.chosen(),
            orders=orders,
            load_grants=FakeLoadGrants(),
            on_hint=lambda hint: None,
            log_is_down=lambda: False,
        )
        self.report_state()

    def report_state(self) -> None:
        view = EngineView("b1", "base", 4, 2, frozenset({"hot@1"}))
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
