"""The lease holder of an engine that does not answer."""

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


class PlayedOrders:
    """An engine of which the test says what it answers."""

    def lease_valid(self) -> bool:
        return True

    def read_view(self, actor: Any, make_message: Any) -> None:
        """Answer nothing; the test tells the holder what was read."""

    def carry_out(self, actor: Any, order: Any) -> None:
        """Never end an order."""


class PlayedTurns:
    """A weight store whose turn never comes."""

    def request(self, engine_id: str, lora_name: str, weight: float) -> None:
        """Leave the ask unanswered."""

    def release(self, grant: Any, *, used: bool, loaded: bool) -> None:
        """Take a turn back."""


class Holder:
    """A holder with one loaded adapter, and the answers it gave."""

    def __init__(self) -> None:
        self.replies: list[PermitReply] = []
        environment = Environment(
            Settings(id="e1", failure_domain="muc-a"),
            Metrics(),
            logging.getLogger("test"),
            now=lambda: 10.0,
        )
        orders: Any = PlayedOrders()
        self.actor = EngineHolder.start(
            environment=environment,
            engine=EngineAddress("g1", "127.0.0.1", 1),
            config=DispatchConfig("g1", "base", fencing=1),
            policy=Policy.chosen(),
            orders=orders,
            load_grants=PlayedTurns(),
            on_hint=lambda hint: None,
            log_is_down=lambda: False,
        )
        self.see()

    def see(self) -> None:
        view = EngineView("b1", "base", 4, 2, frozenset({"hot@1"}))
        self.actor.ask(ViewRead(view))

    def miss(self, times: int) -> None:
        for _ in range(times):
            self.actor.ask(ViewRead(None))

    def ask(self, request_id: str, adapter: str) -> None:
        ask = PermitRequest(
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
        self.actor.ask(PermitRequestReceived("e1", ask, self.replies.append))

    def sent_elsewhere(self) -> list[str]:
        return [reply.request_id for reply in self.replies if reply.elsewhere]

    def granted(self) -> list[str]:
        return [reply.request_id for reply in self.replies if reply.permit]


@pytest.fixture(autouse=True)
def stop_actors() -> Iterator[None]:
    yield
    pykka.ActorRegistry.stop_all()


class TestUnreachableEngine:
    """Nothing is queued for an engine that is down.

    An engine restarts. Sellers at the counter whose adapters it served waited in its
    queue for the restart and for the loads after it, 11 s and more, while the other
    engines had free places.
    """

    def test_what_waits_is_sent_elsewhere(self) -> None:
        holder = Holder()
        holder.ask("r1", "cold")
        holder.miss(2)
        assert holder.sent_elsewhere() == ["r1"]

    def test_what_comes_is_sent_elsewhere(self) -> None:
        holder = Holder()
        holder.miss(2)
        holder.ask("r1", "hot")
        assert holder.sent_elsewhere() == ["r1"]

    def test_one_missed_reading_changes_nothing(self) -> None:
        holder = Holder()
        holder.miss(1)
        holder.ask("r1", "hot")
        assert holder.granted() == ["r1"]

    def test_it_serves_again_once_it_is_read(self) -> None:
        holder = Holder()
        holder.miss(3)
        holder.see()
        holder.ask("r1", "hot")
        assert holder.granted() == ["r1"]
