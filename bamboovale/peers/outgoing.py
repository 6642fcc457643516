"""The link on which this entry VM sends its requests to one peer.

Everything runs on the event loop's thread of :class:`PeerLinks`.
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

# Shorter than a restart at first, and always shorter than a lease.
BACK_OFF_FIRST_S = 0.05
BACK_OFF_LAST_S = 1.0


class PeerUnreachableError(Exception):
    """The message was not sent, so that it cannot have arrived."""


class PeerTimeoutError(Exception):
    """No reply arrived in time; the message may have arrived."""


class PeerLostError(Exception):
    """The link broke or the peer failed before the reply; it may have arrived."""


@dataclass(eq=False)
class OutboundMessage:
    """A queued or sent message; ``future`` is None for a notice.

    ``sent`` is set before the first byte is sent; until then the message can be dropped
    safely.
    """

    number: int
    data: bytes
    future: "Future[Any] | None" = None
    sent: bool = False
    timer: asyncio.TimerHandle | None = field(default=None, repr=False)

    def settle(self, result: Any) -> None:
        """Set the result or exception of the future, unless it is done."""
        if self.timer is not None:
            self.timer.cancel()
        if self.future is None:
            return
        try:
            if isinstance(result, Exception):
                self.future.set_exception(result)
            else:
                self.future.set_result(result)
        except InvalidStateError:  # cancelled by the caller
            return

    def expire(self) -> None:
        """Fail the future on timeout; the error shows whether the message was sent."""
        if self.sent:
            self.settle(PeerTimeoutError("no reply before the timeout"))
        else:
            self.settle(PeerUnreachableError("not sent before the timeout"))

    @property
    def is_abandoned(self) -> bool:
        """Return whether the future is done before the message was sent."""
        return self.future is not None and self.future.done()


class OutgoingLink:
    """Connects when a message is to be sent; reconnects with back-off."""

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
        self._queue: deque[OutboundMessage] = deque()
        self._sent_by_number: dict[int, OutboundMessage] = {}
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
        """Return the seconds until the next connection attempt is allowed."""
        return max(0.0, self._retry_at - self._loop.time())

    @property
    def round_trip_s(self) -> float:
        """Return the round-trip time of the last ping in seconds, 0 if not known."""
        return self._keepalive.round_trip_s

    @property
    def queued(self) -> int:
        """Return the number of messages that are not sent yet."""
        return len(self._queue)

    @property
    def awaiting_reply(self) -> int:
        """Return the number of requests in flight."""
        return len(self._sent_by_number)

    def submit(self, item: OutboundMessage, timeout_s: float | None) -> None:
        """Send a message, or queue it.

        It fails at once during back-off or if the queue is full.
        """
        self.last_used = self._loop.time()
        if self._task is None and self._loop.time() < self._retry_at:
            self._fail_unsent(item, f"backing off after: {self.last_error}")
            return
        if len(self._queue) >= QUEUE_LIMIT:
            self._fail_unsent(item, "the queue of the link is full")
            return
        if timeout_s is not None:
            item.timer = self._loop.call_later(timeout_s, self._expire, item)
        channel = self._channel
        if channel is not None and not self._queue and channel.is_clear():
            self._mark_sent(item)
            channel.send_now(item.data)
            return
        self._enqueue(item)
        if self._task is None:
            self._task = self._loop.create_task(self._run())

    def check(self, lag_s: float) -> None:
        """Ping the peer if that is due, or abort the link to a silent one."""
        if self._channel is None:
            return
        check = self._keepalive.check(
            self._loop.time(),
            awaiting_reply=bool(self._sent_by_number),
            lag_s=lag_s,
        )
        if check is KeepaliveAction.PING:
            self._enqueue(OutboundMessage(0, PING))
        elif check is KeepaliveAction.SILENT:
            self._channel.abort("silent")

    def abort(self) -> None:
        """Abort the connection; its requests in flight fail."""
        if self._channel is not None:
            self._channel.abort("silent")

    async def close(self) -> None:
        """Close the link; its messages fail."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _enqueue(self, item: OutboundMessage) -> None:
        self._queue.append(item)
        self._wake.set()

    def _fail_unsent(self, item: OutboundMessage, why: str) -> None:
        self._metrics.peer_messages_dropped.inc()
        item.settle(PeerUnreachableError(why))

    def _expire(self, item: OutboundMessage) -> None:
        self._sent_by_number.pop(item.number, None)
        item.expire()

    async def _run(self) -> None:
        """Connect and serve until the connection ends."""
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
            self._start_back_off(error)
            cause = "unreachable"
        finally:
            self._channel = None
            self._task = None
            self._metrics.peer_links_closed.labels(cause).inc()
            self._fail_all(cause)

    async def _serve(self, channel: Channel) -> None:
        """Read and write until either of them ends."""
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
                if item.is_abandoned:
                    continue
                self._mark_sent(item)
                try:
                    await channel.send(item.data)
                except ConnectionClosed:
                    return
            self._wake.clear()
            await self._wake.wait()

    def _mark_sent(self, item: OutboundMessage) -> None:
        item.sent = True
        if item.future is not None:
            self._sent_by_number[item.number] = item

    async def _read(self, channel: Channel) -> None:
        try:
            while True:
                data = await channel.receive()
                self._keepalive.note_received(self._loop.time())
                self._dispatch(decode_frame(data))
        except ConnectionClosed:
            return
        except BadMessageError:
            self._metrics.peer_bad_messages.inc()
            channel.abort("bad_message")

    def _dispatch(self, frame: Frame) -> None:
        """Settle the request that a frame replies to, or pass on a notice."""
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
            raise BadMessageError("unexpected request on an outgoing link")
        if item is not None:  # else the request has timed out
            item.settle(result)

    def _start_back_off(self, error: Exception) -> None:
        """Set the time before which no new connection is tried.

        Without back-off every request to a dead peer would wait for a connection
        attempt. Jitter keeps the peers of a restarted VM from reconnecting at once.
        """
        pause = min(BACK_OFF_LAST_S, BACK_OFF_FIRST_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._retry_at = self._loop.time() + pause * random.uniform(0.5, 1.0)
        self.last_error = str(error) or type(error).__name__

    def reset_back_off(self) -> None:
        """Allow a connection attempt at once, as the peer has just opened a link.

        Without this, messages to a peer that has restarted would be dropped until the
        back-off ends.
        """
        self._retry_at = 0.0
        self._failures = 0

    def _fail_all(self, cause: str) -> None:
        sent, self._sent_by_number = self._sent_by_number, {}
        queued, self._queue = self._queue, deque()
        for item in sent.values():
            item.settle(PeerLostError(f"the link broke: {cause}"))
        for item in queued:
            self._fail_unsent(item, self.last_error or f"the link broke: {cause}")
