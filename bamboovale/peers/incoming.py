"""A link opened by a peer, on which its requests arrive.

Everything runs on the event loop's thread, except the reply functions.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Protocol

from websockets.exceptions import ConnectionClosed

from bamboovale.metrics import Metrics
from bamboovale.peers.channel import QUEUE_LIMIT, Channel
from bamboovale.peers.codec import BadMessageError
from bamboovale.peers.frames import PONG, Frame, FrameKind, decode_frame, encode_frame
from bamboovale.peers.keepalive import INCOMING_SILENCE_S
from bamboovale.peers.loop_calls import call_on

logger = logging.getLogger(__name__)


class Reply(Protocol):
    """Replies to one request of a peer, from any thread."""

    def __call__(self, message: Any) -> None:
        """Send the reply."""

    @property
    def is_lost(self) -> bool:
        """Return whether the link has ended, so that no reply can arrive."""


RequestHandler = Callable[[str, Any, Reply], None]
NoticeHandler = Callable[[str, Any], None]


class IncomingLink:
    """Dispatches a peer's messages to the handlers and sends the replies."""

    def __init__(
        self,
        sender: str,
        channel: Channel,
        metrics: Metrics,
        on_request: RequestHandler,
        on_notice: NoticeHandler,
    ) -> None:
        self.sender = sender
        self._channel = channel
        self._metrics = metrics
        self._on_request = on_request
        self._on_notice = on_notice
        self._loop = asyncio.get_running_loop()
        self._last_received_at = self._loop.time()
        self._outbox: asyncio.Queue[bytes] = asyncio.Queue(QUEUE_LIMIT)
        self.has_ended = False

    async def serve(self) -> None:
        """Serve until the link closes."""
        self._metrics.peer_links_opened.inc()
        tasks = [
            asyncio.create_task(self._read()),
            asyncio.create_task(self._write()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.has_ended = True
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._channel.abort("closed")
            cause = self._channel.close_cause
            self._metrics.peer_links_closed.labels(cause).inc()

    def check(self, lag_s: float) -> None:
        """Abort the link if its peer, which sends pings, has been silent for too long.

        Guards against a leak of links whose peers vanished without a TCP reset.
        """
        self._last_received_at += lag_s
        if self._loop.time() - self._last_received_at > INCOMING_SILENCE_S:
            self._channel.abort("silent")

    def abort(self) -> None:
        """Abort the connection."""
        self._channel.abort("silent")

    async def _read(self) -> None:
        try:
            while True:
                data = await self._channel.receive()
                self._last_received_at = self._loop.time()
                self._dispatch(decode_frame(data))
        except ConnectionClosed:
            return
        except BadMessageError:
            self._metrics.peer_bad_messages.inc()
            self._channel.abort("bad_message")

    async def _write(self) -> None:
        try:
            while True:
                await self._channel.send(await self._outbox.get())
        except ConnectionClosed:
            return

    def _dispatch(self, frame: Frame) -> None:
        if frame.kind is FrameKind.PING:
            self._enqueue(PONG)
        elif frame.kind is FrameKind.REQUEST:
            self._handle_request(frame)
        elif frame.kind is FrameKind.NOTICE:
            self._on_notice(self.sender, frame.message)
        else:
            raise BadMessageError("unexpected reply on an incoming link")

    def _handle_request(self, frame: Frame) -> None:
        """Call the handler; an exception is reported to the peer as a failure."""
        try:
            self._on_request(self.sender, frame.message, LinkReply(self, frame.number))
        except Exception as error:
            logger.exception("handler of a request from peer %s failed", self.sender)
            text = type(error).__name__
            self._enqueue(encode_frame(FrameKind.FAILURE, frame.number, text))

    def notify(self, data: bytes) -> None:
        """Send an encoded notice to the peer."""
        self._enqueue(data)

    def reply(self, number: int, message: Any) -> None:
        """Reply to one request, from any thread."""
        data = encode_frame(FrameKind.REPLY, number, message)
        try:
            call_on(self._loop, self._enqueue, data)
        except RuntimeError:  # the event loop is closed
            self._metrics.peer_messages_dropped.inc()

    def _enqueue(self, data: bytes) -> None:
        """Send a frame, or queue it; abort the link if the queue is full.

        A dropped reply would cost its request a timeout, while an aborted link fails
        all requests of the peer at once.
        """
        if self._outbox.empty() and self._channel.is_clear():
            self._channel.send_now(data)
            return
        try:
            self._outbox.put_nowait(data)
        except asyncio.QueueFull:
            self._metrics.peer_messages_dropped.inc()
            self._channel.abort("slow_reader")


class LinkReply:
    """Replies to one request on the link on which it came."""

    def __init__(self, link: IncomingLink, number: int) -> None:
        self._link = link
        self._number = number

    def __call__(self, message: Any) -> None:
        """Send the reply."""
        self._link.reply(self._number, message)

    @property
    def is_lost(self) -> bool:
        """Return whether the link has ended, so that no reply can arrive."""
        return self._link.has_ended
