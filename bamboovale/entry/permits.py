"""Acquires permits from lease holders and tracks those that this entry VM holds.

The wait for a permit ends with a permit, a final refusal, a request to try another
engine, a change of the adapter version, or the disconnect of the caller. A permit that
arrives after the wait was abandoned is returned unused.
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
"""Requests sent per ``send_within_s``, so that some of them may be lost."""

GRACE_S = 0.5
"""Time after ``latest_start`` for the holder's own refusal to arrive."""


class HolderTransport(Protocol):
    """Sends permit messages to the lease holder of an engine, here or on a peer."""

    def holder_of(self, engine_id: str) -> str | None:
        """Return the VM that holds the engine's lease, as far as is known."""
        ...

    def fencing_of(self, engine_id: str) -> int:
        """Return the fencing number of the current lease, -1 if not known."""
        ...

    def request_permit(
        self, holder: str, request: PermitRequest, timeout_s: float
    ) -> "Future[Any]":
        """Send the first permit request; return a future :class:`PermitReply`."""
        ...

    def notify(self, holder: str, message: Any) -> None:
        """Send a message without a reply."""
        ...


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller disconnected while its request waited."""


@dataclass(frozen=True)
class TryAnotherEngine:
    """This engine cannot serve the request; another one may."""

    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True)
class VersionOutdated:
    """The catalogue has another version now, which the request has to use."""


@dataclass(frozen=True)
class HeldPermit:
    """A permit that expires at ``send_by`` on this VM's clock."""

    permit: Permit
    holder: str
    send_by: float


AcquireResult = (
    HeldPermit | Refusal | TryAnotherEngine | CallerDisconnected | VersionOutdated
)


class DisconnectSignal:
    """Interrupts the wait or the run of a request when its caller disconnects."""

    def __init__(self) -> None:
        self.disconnected = False
        self._interrupt: Callable[[], None] | None = None

    def trigger(self) -> None:
        """Record the disconnect and call the current callback."""
        self.disconnected = True
        interrupt = self._interrupt
        if interrupt is not None:
            interrupt()

    def on_disconnect(self, interrupt: Callable[[], None]) -> None:
        """Set the callback; call it at once if the caller has disconnected."""
        self._interrupt = interrupt
        if self.disconnected:
            interrupt()


class PermitClient:
    """Acquires and releases permits and tracks those in use."""

    def __init__(self, environment: Environment, transport: HolderTransport) -> None:
        self._environment = environment
        self._transport = transport
        self._held_by_id: dict[str, HeldPermit] = {}
        self._lock = threading.Lock()

    def acquire(
        self,
        item: WorkItem,
        engine_id: str,
        disconnect: DisconnectSignal,
        is_current: Callable[[], bool],
    ) -> AcquireResult:
        """Wait for a permit on the engine while ``is_current()`` returns true."""
        holder = self._transport.holder_of(engine_id)
        if holder is None:
            return TryAnotherEngine("the engine has no lease holder", retry_after_s=1.0)
        wait = _PermitWait(self._environment, self._transport, item, engine_id, holder)
        return wait.run(disconnect, is_current, self._keep)

    def release(self, held: HeldPermit, *, refused: bool = False) -> None:
        """Notify the holder that the run ended or never started.

        ``refused`` means that the engine did not have the adapter, so that the holder's
        view of it is outdated. Releasing a permit twice has no effect.
        """
        permit = held.permit
        with self._lock:
            known = self._held_by_id.pop(permit.permit_id, None)
        if known is not None:
            message = PermitRelease(permit.engine_id, permit.permit_id, refused)
            self._transport.notify(held.holder, message)

    def may_still_send(self, held: HeldPermit) -> bool:
        """Return whether the permit is not expired; called right before sending."""
        if self._environment.now() <= held.send_by:
            return True
        self._environment.metrics.permits_discarded.inc()
        return False

    def permits_on(self, engine_id: str) -> tuple[Permit, ...]:
        """Return the permits in use on an engine, for its new lease holder."""
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
    """One wait for a permit from one holder."""

    def __init__(
        self,
        environment: Environment,
        transport: HolderTransport,
        item: WorkItem,
        engine_id: str,
        holder: str,
    ) -> None:
        self._now = environment.now
        self._repeat_s = environment.settings.send_within_s / REQUESTS_PER_SEND_WINDOW
        self._transport = transport
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
        """Send the request, repeat it while waiting, and return the result."""
        disconnect.on_disconnect(lambda: self._mailbox.put(CallerDisconnected()))
        future = self._send_request()
        future.add_done_callback(self._mailbox.put)
        while True:
            try:
                event = self._mailbox.get(timeout=self._repeat_s)
            except queue.Empty:
                result = self._repeat_or_end(is_current)
                if result is None:
                    continue
                self._give_up(future)
                return result
            if isinstance(event, CallerDisconnected):
                self._give_up(future)
                return event
            return self._result_of(event, keep)

    def _send_request(self) -> "Future[Any]":
        left_s = max(0.0, self._item.latest_start - self._now())
        return self._transport.request_permit(
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
        if self._transport.holder_of(self._engine_id) != self._holder:
            return TryAnotherEngine("the lease on the engine has moved", 0.0)
        left_s = max(0.0, self._item.latest_start - now)
        self._transport.notify(self._holder, self._message(left_s))
        return None

    def _result_of(
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
        if self._transport.fencing_of(self._engine_id) > reply.permit.fencing:
            # Granted by a holder that does not know yet that it lost the lease: the
            # new one does not know this permit and may evict the adapter.
            self._cancel()
            return TryAnotherEngine("the permit is from a former lease holder", 0.0)
        keep(held)
        return held

    def _held(self, permit: Permit) -> HeldPermit:
        """Count ``send_by`` from the last request that the holder had received.

        This VM may have been paused while the reply was in its socket buffer: counted
        from now, an expired permit would seem valid.
        """
        sent_at = self._sent_at_by_number.get(permit.ask_number, float("-inf"))
        return HeldPermit(permit, self._holder, sent_at + permit.send_within_s)

    def _cancel(self) -> None:
        self._transport.notify(
            self._holder,
            PermitCancel(self._engine_id, self._item.request_id),
        )

    def _give_up(self, future: "Future[Any]") -> None:
        """Cancel the request; a permit that still arrives is returned unused."""
        self._cancel()

        def return_late_permit(done: "Future[Any]") -> None:
            if done.cancelled() or done.exception() is not None:
                return
            permit = done.result().permit
            if permit is not None:
                release = PermitRelease(permit.engine_id, permit.permit_id)
                self._transport.notify(self._holder, release)

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
