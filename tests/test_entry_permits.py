"""Waiting for permits: how a wait ends, and late or expired permits."""

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
class FakeTransport:
    """A fake transport to a lease holder."""

    holder: str | None = "e2"
    fencing: int = 5
    future: "Future[Any]" = field(default_factory=Future)
    sent: list[Any] = field(default_factory=list)
    requested: threading.Event = field(default_factory=threading.Event)

    def holder_of(self, engine_id: str) -> str | None:
        return self.holder

    def fencing_of(self, engine_id: str) -> int:
        return self.fencing

    def request_permit(
        self, holder: str, request: PermitRequest, timeout_s: float
    ) -> "Future[Any]":
        self.requested.set()
        return self.future

    def notify(self, holder: str, message: Any) -> None:
        self.sent.append(message)

    def sent_of(self, kind: type) -> list[Any]:
        return [message for message in self.sent if isinstance(message, kind)]


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


class Waiter:
    """A permit client with a fake holder and clock."""

    def __init__(self) -> None:
        settings = Settings(id="e1", failure_domain="muc-a", send_within_s=0.15)
        self.clock = Clock()
        environment = Environment(
            settings,
            Metrics(),
            logging.getLogger("test"),
            now=self.clock,
        )
        self.transport = FakeTransport()
        self.client = PermitClient(environment, self.transport)
        self.disconnect = DisconnectSignal()
        self.is_current = True
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
        return self.client.acquire(
            self.item, "g1", self.disconnect, lambda: self.is_current
        )

    def acquire_later(self) -> "Future[Any]":
        done: Future[Any] = Future()
        thread = threading.Thread(target=lambda: done.set_result(self.acquire()))
        thread.start()
        assert self.transport.requested.wait(2.0)
        return done


class TestResultsOfAWait:
    """A wait ends with exactly one result."""

    def test_a_permit(self) -> None:
        waiter = Waiter()
        waiter.transport.future.set_result(PermitReply("r.1", permit=permit()))
        held = waiter.acquire()
        assert isinstance(held, HeldPermit)
        assert waiter.client.permits_on("g1") == (held.permit,)

    def test_a_refusal(self) -> None:
        waiter = Waiter()
        reply = PermitReply("r.1", code=ErrorCode.OVERLOADED, retry_after_s=2.0)
        waiter.transport.future.set_result(reply)
        refusal = waiter.acquire()
        assert isinstance(refusal, Refusal)
        assert (refusal.not_run, refusal.retry_after_s) == (True, 2.0)

    def test_no_holder(self) -> None:
        waiter = Waiter()
        waiter.transport.holder = None
        assert isinstance(waiter.acquire(), TryAnotherEngine)

    def test_a_lost_link_cancels_the_request(self) -> None:
        waiter = Waiter()
        waiter.transport.future.set_exception(ConnectionError("lost"))
        assert isinstance(waiter.acquire(), TryAnotherEngine)
        assert waiter.transport.sent_of(PermitCancel)

    def test_a_disconnect(self) -> None:
        waiter = Waiter()
        done = waiter.acquire_later()
        waiter.disconnect.trigger()
        assert isinstance(done.result(2.0), CallerDisconnected)
        assert waiter.transport.sent_of(PermitCancel)

    def test_a_lease_that_moves(self) -> None:
        waiter = Waiter()
        done = waiter.acquire_later()
        waiter.transport.holder = "e3"
        assert isinstance(done.result(2.0), TryAnotherEngine)

    def test_a_catalogue_that_names_another_version(self) -> None:
        waiter = Waiter()
        done = waiter.acquire_later()
        waiter.is_current = False
        assert isinstance(done.result(2.0), VersionOutdated)

    def test_a_holder_that_never_answers(self) -> None:
        waiter = Waiter()
        done = waiter.acquire_later()
        waiter.clock.time = 111.0
        refusal = done.result(2.0)
        assert isinstance(refusal, Refusal)
        assert refusal.code is ErrorCode.DEADLINE


class TestLatePermit:
    """A permit that arrives after the wait was cancelled is returned unused.

    Guards against a leaked place when the grant crosses the cancellation.
    """

    def test_it_is_released(self) -> None:
        waiter = Waiter()
        done = waiter.acquire_later()
        waiter.disconnect.trigger()
        done.result(2.0)
        waiter.transport.future.set_result(PermitReply("r.1", permit=permit()))
        released = waiter.transport.sent_of(PermitRelease)
        assert [message.permit_id for message in released] == ["p1"]
        assert waiter.client.held_count() == 0


class TestPausedEntryVM:
    """A permit that arrived while the entry VM was paused is not used.

    Guards against a run on an adapter that the holder has evicted after the permit
    expired unused.
    """

    def test_send_by_counts_from_the_request(self) -> None:
        waiter = Waiter()
        waiter.transport.future.set_result(PermitReply("r.1", permit=permit()))
        held = waiter.acquire()
        assert waiter.client.may_still_send(held)
        waiter.clock.time += 1.1
        assert not waiter.client.may_still_send(held)

    def test_a_permit_for_an_unknown_request_is_expired(self) -> None:
        waiter = Waiter()
        reply = PermitReply("r.1", permit=permit(ask_number=7))
        waiter.transport.future.set_result(reply)
        assert not waiter.client.may_still_send(waiter.acquire())


class TestFormerHolder:
    """A permit of a holder that lost its lease is not used.

    Guards against a run on an adapter that the new holder evicts, since it does not
    know the permit.
    """

    def test_an_older_fencing_number_is_refused(self) -> None:
        waiter = Waiter()
        waiter.transport.fencing = 6
        waiter.transport.future.set_result(PermitReply("r.1", permit=permit(fencing=5)))
        assert isinstance(waiter.acquire(), TryAnotherEngine)
        assert waiter.client.held_count() == 0
