"""Gets permits from lease holders and knows which ones this entry VM holds.

The wait for a permit ends in one of four ways: a permit, a final refusal, "try
another engine", or the caller's hanging up. A permit that arrives after the wait was
given up on is returned unused.
"""

import queue
import threading
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any, Protocol

from bamboovale.decisions.work import Permit, WorkItem
from bamboovale.environment import Environment
from bamboovale.errors import ErrorCode, Refusal
from bamboovale.peers.messages import (
    PermitCancel,
    PermitRelease,
    PermitReply,
    PermitRequest,
)

REQUESTS_PER_SEND_WINDOW = 3
"""Repeats of an ask within the time that a permit may be used: two may be lost."""

GRACE_S = 0.5
"""The holder refuses a wait that cannot be met; past this its answer is overdue."""


class HolderTransport(Protocol):
    """The way to the lease holder of an engine, on this VM or another."""

    def holder_of(self, engine_id: str) -> str | None:
        """Return the VM that holds the engine's lease, as far as is known."""
        ...

    def fencing_of(self, engine_id: str) -> int:
        """Return the fencing number of the present holder, -1 if not known."""
        ...

    def request_permit(
        self, holder: str, request: PermitRequest, timeout_s: float
    ) -> "Future[Any]":
        """Send the first ask; the future brings a :class:`PermitReply`."""
        ...

    def notify(self, holder: str, message: Any) -> None:
        """Send a message that needs no answer."""
        ...


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller hung up while its request waited."""


@dataclass(frozen=True)
class TryAnotherEngine:
    """This engine cannot serve the request; another one may."""

    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True)
class VersionOutdated:
    """The catalogue names another version now: the request moves to that one."""


@dataclass(frozen=True)
class HeldPermit:
    """A permit with the moment, on this VM's clock, past which it is discarded."""

    permit: Permit
    holder: str
    send_by: float


AcquireResult = (
    HeldPermit | Refusal | TryAnotherEngine | CallerDisconnected | VersionOutdated
)


class DisconnectSignal:
    """What a caller's hang-up interrupts: the wait or the run of its request."""

    def __init__(self) -> None:
        self.disconnected = False
        self._interrupt: Callable[[], None] | None = None

    def trigger(self) -> None:
        """Tell that the caller hung up."""
        self.disconnected = True
        interrupt = self._interrupt
        if interrupt is not None:
            interrupt()

    def on_disconnect(self, interrupt: Callable[[], None]) -> None:
        """Call this at the hang-up, at once if it has happened."""
        self._interrupt = interrupt
        if self.disconnected:
            interrupt()


class PermitClient:
    """Asks for permits and keeps the list of those in use."""

    def __init__(self, environment: Environment, links: HolderTransport) -> None:
        self._environment = environment
        self._links = links
        self._held_by_id: dict[str, HeldPermit] = {}
        self._lock = threading.Lock()

    def acquire(
        self,
        item: WorkItem,
        engine_id: str,
        disconnect: DisconnectSignal,
        is_current: Callable[[], bool],
    ) -> AcquireResult:
        """Wait for a place on the engine, while the version is ``is_current``."""
        holder = self._links.holder_of(engine_id)
        if holder is None:
            return TryAnotherEngine("the engine has no lease holder", retry_after_s=1.0)
        wait = _PermitWait(self._environment, self._links, item, engine_id, holder)
        return wait.run(disconnect, is_current, self._keep)

    def release(self, held: HeldPermit, *, refused: bool = False) -> None:
        """Tell the holder that the run is over or never happened.

        ``refused`` tells that the engine did not know the adapter: the holder's view
        of it is old. A second release of the same permit is nothing.
        """
        permit = held.permit
        with self._lock:
            known = self._held_by_id.pop(permit.permit_id, None)
        if known is not None:
            message = PermitRelease(permit.engine_id, permit.permit_id, refused)
            self._links.notify(held.holder, message)

    def may_still_send(self, held: HeldPermit) -> bool:
        """Check the send-by time, right before the first byte is sent."""
        if self._environment.now() <= held.send_by:
            return True
        self._environment.metrics.permits_discarded.inc()
        return False

    def permits_on(self, engine_id: str) -> tuple[Permit, ...]:
        """Return the permits in use on an engine, for a new lease holder."""
        with self._lock:
            return tuple(
                held.permit
                for held in self._held_by_id.values()
                if held.permit.engine_id == engine_id
            )

    def held_count(self) -> int:
        """Return how many permits are in use."""
        return len(self._held_by_id)

    def _keep(self, held: HeldPermit) -> None:
        with self._lock:
            self._held_by_id[held.permit.permit_id] = held


class _PermitWait:
    """One wait at one holder."""

    def __init__(
        self,
        environment: Environment,
        links: HolderTransport,
        item: WorkItem,
        engine_id: str,
        holder: str,
    ) -> None:
        self._now = environment.now
        self._repeat_s = environment.settings.send_within_s / REQUESTS_PER_SEND_WINDOW
        self._links = links
        self._item = item
        self._engine_id = engine_id
        self._holder = holder
        self._sent_at_by_number: dict[int, float] = {}
        self._mailbox: queue.SimpleQueue[Any] = queue.SimpleQueue()

    def run(
        self,
        disconnect: DisconnectSignal,
        is_current: Callable[[], bool],
        keep: Callable[[HeldPermit], None],
    ) -> AcquireResult:
        """Ask, repeat the ask while waiting, and settle how the wait ends."""
        disconnect.on_disconnect(lambda: self._mailbox.put(CallerDisconnected()))
        future = self._ask()
        future.add_done_callback(self._mailbox.put)
        while True:
            try:
                event = self._mailbox.get(timeout=self._repeat_s)
            except queue.Empty:
                ending = self._repeat_or_end(is_current)
                if ending is None:
                    continue
                self._give_up(future)
                return ending
            if isinstance(event, CallerDisconnected):
                self._give_up(future)
                return event
            return self._settle(event, keep)

    def _ask(self) -> "Future[Any]":
        left_s = max(0.0, self._item.latest_start - self._now())
        return self._links.request_permit(
            self._holder,
            self._message(left_s),
            left_s + 2 * GRACE_S,
        )

    def _message(self, left_s: float) -> PermitRequest:
        number = len(self._sent_at_by_number) + 1
        self._sent_at_by_number[number] = self._now()
        item = self._item
        return PermitRequest(
            engine_id=self._engine_id,
            request_id=item.request_id,
            ask_number=number,
            adapter=item.target.adapter,
            version=item.target.version,
            source=item.source,
            work_class=item.work_class.value,
            customer=item.customer,
            starts_within_s=left_s,
            max_tokens=item.max_tokens,
            size_bytes=item.size_bytes,
            fingerprint=item.fingerprint,
            exclusive=item.exclusive,
        )

    def _repeat_or_end(self, is_current: Callable[[], bool]) -> AcquireResult | None:
        now = self._now()
        if not is_current():
            return VersionOutdated()
        if now > self._item.latest_start + GRACE_S:
            return Refusal(
                ErrorCode.DEADLINE,
                "no place became free in time",
                not_run=True,
                retry_after_s=1.0,
            )
        if self._links.holder_of(self._engine_id) != self._holder:
            return TryAnotherEngine("the lease on the engine has moved", 0.0)
        left_s = max(0.0, self._item.latest_start - now)
        self._links.notify(self._holder, self._message(left_s))
        return None

    def _settle(
        self,
        future: "Future[Any]",
        keep: Callable[[HeldPermit], None],
    ) -> AcquireResult:
        error = future.exception()
        if error is not None:
            self._cancel()
            return TryAnotherEngine(f"no answer from the lease holder: {error}", 0.5)
        reply: PermitReply = future.result()
        if reply.permit is None:
            return _refusal(reply)
        held = self._held(reply.permit)
        if self._links.fencing_of(self._engine_id) > reply.permit.fencing:
            # Granted by a holder that does not know yet that its lease was taken: the
            # new one may evict the adapter without seeing this permit.
            self._cancel()
            return TryAnotherEngine("the permit is of a former lease holder", 0.0)
        keep(held)
        return held

    def _held(self, permit: Permit) -> HeldPermit:
        """Count send-by from the last ask that the holder had seen.

        This VM may have been paused while the permit lay in its socket: counted from
        now, a permit given up on long ago would look fresh.
        """
        asked_at = self._sent_at_by_number.get(permit.ask_number, float("-inf"))
        return HeldPermit(permit, self._holder, asked_at + permit.send_within_s)

    def _cancel(self) -> None:
        self._links.notify(
            self._holder,
            PermitCancel(self._engine_id, self._item.request_id),
        )

    def _give_up(self, future: "Future[Any]") -> None:
        """Cancel the ask; a permit that still arrives goes back unused."""
        self._cancel()

        def return_late_permit(done: "Future[Any]") -> None:
            if done.cancelled() or done.exception() is not None:
                return
            permit = done.result().permit
            if permit is not None:
                release = PermitRelease(permit.engine_id, permit.permit_id)
                self._links.notify(self._holder, release)

        future.add_done_callback(return_late_permit)


def _refusal(reply: PermitReply) -> Refusal | TryAnotherEngine:
    if reply.elsewhere:
        return TryAnotherEngine(reply.reason, reply.retry_after_s)
    return Refusal(
        reply.code or ErrorCode.OVERLOADED,
        reply.reason,
        not_run=True,
        retry_after_s=reply.retry_after_s,
    )
