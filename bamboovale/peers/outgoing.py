"""The link over which this entry VM sends its own requests to one peer.

Everything here runs on the event loop's thread of :class:`PeerLinks`.
"""

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable
from concurrent.futures import Future, InvalidStateError
from dataclasses import dataclass, field
from typing import Any

from websockets.exceptions import ConnectionClosed

from bamboovale.metrics import Metrics
from bamboovale.peers.channel import QUEUE_LIMIT, Channel
from bamboovale.peers.codec import BadMessageError
from bamboovale.peers.frames import PING, Frame, FrameKind, decode_frame
from bamboovale.peers.keepalive import Keepalive, KeepaliveAction

# The first pause is shorter than a restart, the last one shorter than a lease.
BACK_OFF_FIRST_S = 0.05
BACK_OFF_LAST_S = 1.0


class PeerUnreachableError(Exception):
    """The message was not sent: nothing of it can have arrived."""


class PeerTimeoutError(Exception):
    """No reply in time; the message may have arrived."""


class PeerLostError(Exception):
    """The link broke or the peer failed before it replied; it may have arrived."""


@dataclass(eq=False)
class Outbound:
    """A message on its way; ``future`` is None for a notice.

    ``sent`` is set before the first byte goes out. Until then the message counts as
    not sent, and dropping it is safe.
    """

    number: int
    data: bytes
    future: "Future[Any] | None" = None
    sent: bool = False
    timer: asyncio.TimerHandle | None = field(default=None, repr=False)

    def settle(self, result: Any) -> None:
        """Give the future its result or exception, unless it has one."""
        if self.timer is not None:
            self.timer.cancel()
        if self.future is None:
            return
        try:
            if isinstance(result, Exception):
                self.future.set_exception(result)
            else:
                self.future.set_result(result)
        except InvalidStateError:  # cancelled by its owner
            return

    def expire(self) -> None:
        """Give up waiting; says truly whether the message was sent."""
        if self.sent:
            self.settle(PeerTimeoutError("no reply in time"))
        else:
            self.settle(PeerUnreachableError("not sent in time"))

    @property
    def given_up(self) -> bool:
        """Tell whether nobody waits for this message any more."""
        return self.future is not None and self.future.done()


class OutgoingLink:
    """Connects when there is something to send; reconnects with back-off."""

    def __init__(
        self,
        open_channel: Callable[[], Awaitable[Channel]],
        metrics: Metrics,
        on_notice: Callable[[Any], None],
    ) -> None:
        self.last_error = ""
        self.last_used = 0.0
        self._open_channel = open_channel
        self._metrics = metrics
        self._on_notice = on_notice
        self._loop = asyncio.get_running_loop()
        self._queue: deque[Outbound] = deque()
        self._sent_by_number: dict[int, Outbound] = {}
        self._wake = asyncio.Event()
        self._channel: Channel | None = None
        self._keepalive = Keepalive(self._loop.time())
        self._task: asyncio.Task[None] | None = None
        self._failures = 0
        self._retry_at = 0.0

    @property
    def state(self) -> str:
        """Return ``open``, ``connecting``, ``backing_off`` or ``idle``."""
        if self._channel is not None:
            return "open"
        if self._task is not None:
            return "connecting"
        return "backing_off" if self._loop.time() < self._retry_at else "idle"

    @property
    def back_off_s(self) -> float:
        """Return for how long no new connection is tried."""
        return max(0.0, self._retry_at - self._loop.time())

    @property
    def round_trip_s(self) -> float:
        """Return the last ping's round trip in seconds; 0 when not known."""
        return self._keepalive.round_trip_s

    @property
    def queued(self) -> int:
        """Return how many messages wait to be sent."""
        return len(self._queue)

    @property
    def awaiting_reply(self) -> int:
        """Return how many requests were sent and have no reply."""
        return len(self._sent_by_number)

    def submit(self, item: Outbound, timeout_s: float | None) -> None:
        """Queue a message, or fail it at once if it cannot be sent soon."""
        self.last_used = self._loop.time()
        if self._task is None and self._loop.time() < self._retry_at:
            self._refuse(item, f"unreachable a moment ago: {self.last_error}")
            return
        if len(self._queue) >= QUEUE_LIMIT:
            self._refuse(item, "too many messages wait on this link")
            return
        if timeout_s is not None:
            item.timer = self._loop.call_later(timeout_s, self._expire, item)
        self._enqueue(item)
        if self._task is None:
            self._task = self._loop.create_task(self._run())

    def check(self, lag_s: float) -> None:
        """Ping the peer if that is due, or cut the link to a silent one."""
        if self._channel is None:
            return
        check = self._keepalive.check(
            self._loop.time(),
            awaiting_reply=bool(self._sent_by_number),
            lag_s=lag_s,
        )
        if check is KeepaliveAction.PING:
            self._enqueue(Outbound(0, PING))
        elif check is KeepaliveAction.SILENT:
            self._channel.abort("silent")

    def abort(self) -> None:
        """End the connection without a word; what was sent over it fails."""
        if self._channel is not None:
            self._channel.abort("silent")

    async def close(self) -> None:
        """Close the link; what waits on it fails."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _enqueue(self, item: Outbound) -> None:
        self._queue.append(item)
        self._wake.set()

    def _refuse(self, item: Outbound, why: str) -> None:
        self._metrics.peer_messages_dropped.inc()
        item.settle(PeerUnreachableError(why))

    def _expire(self, item: Outbound) -> None:
        self._sent_by_number.pop(item.number, None)
        item.expire()

    async def _run(self) -> None:
        """Connect and serve until the link breaks."""
        cause = "closed"
        try:
            channel = await self._open_channel()
            self._failures = 0
            self._retry_at = 0.0
            self._channel = channel
            self._keepalive = Keepalive(self._loop.time())
            self._metrics.peer_links_opened.inc()
            await self._serve(channel)
            cause = channel.close_cause
        except (OSError, TimeoutError, PeerUnreachableError) as error:
            self._note_failure(error)
            cause = "unreachable"
        finally:
            self._channel = None
            self._task = None
            self._metrics.peer_links_closed.labels(cause).inc()
            self._fail_all(cause)

    async def _serve(self, channel: Channel) -> None:
        """Read and write; the first of them to end ends both."""
        tasks = [
            asyncio.create_task(self._read(channel)),
            asyncio.create_task(self._write(channel)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            channel.abort(channel.close_cause)

    async def _write(self, channel: Channel) -> None:
        while True:
            while self._queue:
                item = self._queue.popleft()
                if item.given_up:
                    continue
                item.sent = True
                if item.future is not None:
                    self._sent_by_number[item.number] = item
                try:
                    await channel.send(item.data)
                except ConnectionClosed:
                    return
            self._wake.clear()
            await self._wake.wait()

    async def _read(self, channel: Channel) -> None:
        try:
            while True:
                data = await channel.receive()
                self._keepalive.note_received(self._loop.time())
                self._take(decode_frame(data))
        except ConnectionClosed:
            return
        except BadMessageError:
            self._metrics.peer_bad_messages.inc()
            channel.abort("bad_message")

    def _take(self, frame: Frame) -> None:
        """Settle the request that a frame answers, or hand on a notice."""
        if frame.kind is FrameKind.PONG:
            return
        if frame.kind is FrameKind.NOTICE:
            self._on_notice(frame.message)
            return
        item = self._sent_by_number.pop(frame.number, None)
        if frame.kind is FrameKind.REPLY:
            result = frame.message
        elif frame.kind is FrameKind.FAILURE:
            result = PeerLostError(f"the peer failed: {frame.message}")
        else:
            raise BadMessageError("a request came over a link for replies")
        if item is not None:  # else it came after its timeout
            item.settle(result)

    def _note_failure(self, error: Exception) -> None:
        """Set the time before which no new connection is tried.

        Without it every request to a dead peer would wait for a connection of its
        own. The random part keeps peers of a restarted VM from coming all at once.
        """
        pause = min(BACK_OFF_LAST_S, BACK_OFF_FIRST_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._retry_at = self._loop.time() + pause * random.uniform(0.5, 1.0)
        self.last_error = str(error) or type(error).__name__

    def end_back_off(self) -> None:
        """Connect again at once when there is something to send.

        For a peer that has just proved over a link of its own that it lives. Without
        it, what we tell a VM that comes back is dropped for up to a second.
        """
        self._retry_at = 0.0
        self._failures = 0

    def _fail_all(self, cause: str) -> None:
        sent, self._sent_by_number = self._sent_by_number, {}
        queued, self._queue = self._queue, deque()
        for item in sent.values():
            item.settle(PeerLostError(f"the link broke: {cause}"))
        for item in queued:
            self._refuse(item, self.last_error or f"the link broke: {cause}")
