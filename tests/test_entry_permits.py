"""Waiting for permits: how a wait ends, and what becomes of a permit too late."""

import logging
import threading
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any

from bamboovale.decisions.work import Permit, WorkItem
from bamboovale.entry.permits import (
    CallerDisconnected,
    DisconnectSignal,
    HeldPermit,
    PermitClient,
    TryAnotherEngine,
    VersionOutdated,
)
from bamboovale.environment import Environment
from bamboovale.errors import ErrorCode, Refusal
from bamboovale.metrics import Metrics
from bamboovale.models import AdapterVersion, WorkClass
from bamboovale.peers.messages import (
    PermitCancel,
    PermitRelease,
    PermitReply,
    PermitRequest,
)
from bamboovale.settings import Settings


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.time = 100.0

    def __call__(self) -> float:
        return self.time


@dataclass
class FakeLinks:
    """A holder that the test plays."""

    holder: str | None = "e2"
    fencing: int = 5
    future: "Future[Any]" = field(default_factory=Future)
    told: list[Any] = field(default_factory=list)
    asked: threading.Event = field(default_factory=threading.Event)

    def holder_of(self, engine_id: str) -> str | None:
        return self.holder

    def fencing_of(self, engine_id: str) -> int:
        return self.fencing

    def request_permit(
        self, holder: str, request: PermitRequest, timeout_s: float
    ) -> "Future[Any]":
        self.asked.set()
        return self.future

    def notify(self, holder: str, message: Any) -> None:
        self.told.append(message)

    def told_of(self, kind: type) -> list[Any]:
        return [message for message in self.told if isinstance(message, kind)]


def permit(ask_number: int = 1, fencing: int = 5) -> Permit:
    return Permit(
        permit_id="p1",
        request_id="r.1",
        entry_vm="e1",
        engine_id="g1",
        boot_id="b1",
        lora_name="a@1",
        fencing=fencing,
        send_within_s=1.0,
        ask_number=ask_number,
    )


class Desk:
    """A permit desk with a played holder and clock."""

    def __init__(self) -> None:
        settings = Settings(id="e1", failure_domain="muc-a", send_within_s=0.15)
        self.clock = Clock()
        environment = Environment(
            settings,
            Metrics(),
            logging.getLogger("test"),
            now=self.clock,
        )
        self.links = FakeLinks()
        self.desk = PermitClient(environment, self.links)
        self.disconnect = DisconnectSignal()
        self.wanted = True
        self.item = WorkItem(
            request_id="r.1",
            entry_vm="e1",
            target=AdapterVersion("a", "1"),
            source="s",
            work_class=WorkClass.INTERACTIVE,
            customer="c",
            arrived_at=100.0,
            latest_start=110.0,
        )

    def acquire(self) -> Any:
        return self.desk.acquire(self.item, "g1", self.disconnect, lambda: self.wanted)

    def acquire_later(self) -> "Future[Any]":
        done: Future[Any] = Future()
        thread = threading.Thread(target=lambda: done.set_result(self.acquire()))
        thread.start()
        assert self.links.asked.wait(2.0)
        return done


class TestEndsOfAWait:
    """A wait ends with exactly one of its answers."""

    def test_a_permit(self) -> None:
        desk = Desk()
        desk.links.future.set_result(PermitReply("r.1", permit=permit()))
        held = desk.acquire()
        assert isinstance(held, HeldPermit)
        assert desk.desk.permits_on("g1") == (held.permit,)

    def test_a_refusal(self) -> None:
        desk = Desk()
        reply = PermitReply("r.1", code=ErrorCode.OVERLOADED, retry_after_s=2.0)
        desk.links.future.set_result(reply)
        refusal = desk.acquire()
        assert isinstance(refusal, Refusal)
        assert (refusal.not_run, refusal.retry_after_s) == (True, 2.0)

    def test_no_holder(self) -> None:
        desk = Desk()
        desk.links.holder = None
        assert isinstance(desk.acquire(), TryAnotherEngine)

    def test_a_lost_link_cancels_the_ask(self) -> None:
        desk = Desk()
        desk.links.future.set_exception(ConnectionError("lost"))
        assert isinstance(desk.acquire(), TryAnotherEngine)
        assert desk.links.told_of(PermitCancel)

    def test_a_hangup(self) -> None:
        desk = Desk()
        done = desk.acquire_later()
        desk.disconnect.trigger()
        assert isinstance(done.result(2.0), CallerDisconnected)
        assert desk.links.told_of(PermitCancel)

    def test_a_lease_that_moves(self) -> None:
        desk = Desk()
        done = desk.acquire_later()
        desk.links.holder = "e3"
        assert isinstance(done.result(2.0), TryAnotherEngine)

    def test_a_catalogue_that_names_another_version(self) -> None:
        desk = Desk()
        done = desk.acquire_later()
        desk.wanted = False
        assert isinstance(done.result(2.0), VersionOutdated)

    def test_a_holder_that_never_answers(self) -> None:
        desk = Desk()
        done = desk.acquire_later()
        desk.clock.time = 111.0
        refusal = done.result(2.0)
        assert isinstance(refusal, Refusal)
        assert refusal.code is ErrorCode.DEADLINE


class TestLatePermit:
    """A permit that comes after the wait was given up on goes back unused.

    The caller hangs up while its ask is queued. The grant crosses the cancellation;
    nobody would use the place, and nobody would give it back.
    """

    def test_it_is_released(self) -> None:
        desk = Desk()
        done = desk.acquire_later()
        desk.disconnect.trigger()
        done.result(2.0)
        desk.links.future.set_result(PermitReply("r.1", permit=permit()))
        released = desk.links.told_of(PermitRelease)
        assert [message.permit_id for message in released] == ["p1"]
        assert desk.desk.held_count() == 0


class TestPausedEntryVM:
    """A permit that lay in the socket of a frozen entry VM is not used.

    The VM is paused right after its ask. The holder grants, hears nothing, gives the
    place to another request and evicts the adapter. The VM wakes up and reads a
    permit that looks new.
    """

    def test_send_by_counts_from_the_ask(self) -> None:
        desk = Desk()
        desk.links.future.set_result(PermitReply("r.1", permit=permit()))
        held = desk.acquire()
        assert desk.desk.may_still_send(held)
        desk.clock.time += 1.1
        assert not desk.desk.may_still_send(held)

    def test_a_permit_for_an_unknown_ask_is_too_late(self) -> None:
        desk = Desk()
        reply = PermitReply("r.1", permit=permit(ask_number=7))
        desk.links.future.set_result(reply)
        assert not desk.desk.may_still_send(desk.acquire())


class TestFormerHolder:
    """A permit of a holder that lost its lease is not used.

    The holder is cut off from the log and does not know that another VM took over.
    The new holder cannot see the permit and may evict its adapter.
    """

    def test_an_older_fencing_number_is_refused(self) -> None:
        desk = Desk()
        desk.links.fencing = 6
        desk.links.future.set_result(PermitReply("r.1", permit=permit(fencing=5)))
        assert isinstance(desk.acquire(), TryAnotherEngine)
        assert desk.desk.held_count() == 0
