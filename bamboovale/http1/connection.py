"""Client connection to an endpoint or the platform, one request at a time."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11

from bamboovale.http1.answer_limits import AnswerLimit
from bamboovale.http1.flow_control import FlowControl
from bamboovale.http1.received import PIECE_BYTES, HeadTooLarge, ReceivedBytes
from bamboovale.http1.sockets import (
    enable_dead_peer_detection,
    is_reset,
    reset_on_close,
    set_receive_buffer,
    unread_bytes,
    unsent_in_kernel,
)
from bamboovale.http1.turns import Turns

CONNECT_TIMEOUT_S = 0.6
"""Below the one-second retransmission timeout of a lost SYN: another endpoint can be
tried sooner."""
REQUEST_TAKEN_S = 0.5
"""How long a peer that has ended its answer may take for the rest of the request."""
REQUEST_TAKEN_CHECK_S = 0.01
MAX_LINE_BYTES = 4 * 1024
"""Of a line between chunks, and of the trailers behind them, beyond a piece."""
HEADER_FIELDS_TOO_LARGE = 431
"""What the parser names when lines exceed that."""
MAX_INTERIM_RESPONSES = 16
MAX_STALE_RESPONSES = 2
"""Responses to earlier requests that are skipped on one connection."""
PARTS_A_TURN = 128
"""Parts of a body that are taken apart before other connections have their turn."""
HIGH_WATER_BYTES = 256 * 1024
"""Response bytes buffered for a slow consumer before reading is paused."""

FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
CARRIED_IDS = 128
"""Requests that a connection remembers, as their answers may come a second time: those
of the pause after which a request is sent again to a full endpoint."""

Headers = list[tuple[bytes, bytes]]


class ConnectFailed(Exception):  # noqa: N818 - names the outcome
    """The connection could not be opened; no byte was sent."""


class ConnectRefused(ConnectFailed):
    """Nothing listens at the address."""


class IncompleteResponse(Exception):  # noqa: N818 - names the condition
    """The connection closed or sent invalid HTTP before the response was complete."""


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response; header names are lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if it is absent."""
        return next((value for key, value in self.headers if key == name), None)


class Connection(asyncio.Protocol):
    """A client connection; create it with ``open``.

    ``carried_ids`` are the kept ids of the requests that it was taken for last;
    ``is_reused`` is whether another request went before the last one; ``skipped``
    counts responses to other requests that came instead of the expected ones.
    ``on_received`` is told how many bytes of a response were received, ``on_limit``
    which bound a response exceeded. ``turns`` are those of all connections of its kind.
    """

    def __init__(self) -> None:
        self.closed = False
        self.on_received: Callable[[int], None] = lambda size: None
        self.on_limit: Callable[[AnswerLimit], None] = lambda limit: None
        self.turns = Turns()
        self.carried_ids: deque[str] = deque(maxlen=CARRIED_IDS)
        self.is_reused = False
        self.skipped = 0
        self._is_used = False
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.reusable = False
        self.via: str | None = None
        self.has_received = False
        self._reset = False
        self._ended = False
        self._busy = False
        self._flow = FlowControl(HIGH_WATER_BYTES)
        self._wake: asyncio.Future[None] | None = None
        self._received = ReceivedBytes()
        self._has_head = False
        self._is_turn_due = False
        self._is_end_told = False
        self._needs_bytes = False
        self._ahead: Any = None
        self._wire = self._new_wire()
        self._request: h11.Request | None = None
        self._transport: Any = None

    @classmethod
    async def open(
        cls,
        host: str,
        port: int,
        source: str | None = None,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> "Connection":
        """Connect; raises ConnectFailed."""
        loop = asyncio.get_running_loop()
        local = (source, 0) if source else None
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    cls, host, port, local_addr=local
                )
        except ConnectionRefusedError as error:
            raise ConnectRefused(str(error)) from error
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(str(error) or "timeout") from error
        return connection

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: Any) -> None:
        """Store the transport and enable dead peer detection."""
        self._transport = transport
        self._flow.attach(transport)
        connected = transport.get_extra_info("socket")
        enable_dead_peer_detection(connected)
        set_receive_buffer(connected)

    def held_bytes(self) -> int:
        """Return the received bytes that are not taken, with those in the kernel."""
        in_kernel = unread_bytes(self._transport.get_extra_info("socket"))
        return self._flow.waiting_bytes + in_kernel

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is in flight."""
        if not self._busy:
            self.close()
            return
        self.has_received = True
        self._flow.on_received(len(data))
        self.on_received(len(data))
        self._received.add(data)
        self._notify()

    def eof_received(self) -> bool:
        """Handle the peer's end of stream, which may complete a response.

        It shows that the peer is reached, as any byte of it does. A connection with a
        request in flight stays open, so that a reset behind the end is seen.
        """
        self._ended = self.has_received = True
        self._notify()
        return self._busy

    def connection_lost(self, error: Exception | None) -> None:
        """Record whether the connection was reset, so its response is incomplete."""
        self.closed = True
        self._reset = error is not None
        self._notify()

    # Client interface.

    async def lasts(self, seconds: float) -> bool:
        """Return whether the connection is still open after a time."""
        await asyncio.sleep(seconds)
        return not self.closed

    def send(self, request: h11.Request, body: bytes) -> None:
        """Write a complete request."""
        self._busy = True
        self.is_reused = self._is_used
        self._is_used = True
        self.reusable = False
        self._request = request
        self._has_head = self._needs_bytes = False
        data = self._wire.send(request)
        if body:
            data += self._wire.send(h11.Data(data=body))
        data += self._wire.send(h11.EndOfMessage())
        self._transport.write(data)

    async def head(self) -> ResponseHead:
        """Return the head of the final response; raises IncompleteResponse."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise IncompleteResponse("no head")
            self._has_head = True
            self._note_keep_alive(event)
            return ResponseHead(event.status_code, list(event.headers))
        self.on_limit(AnswerLimit.INTERIM)
        self.close()
        raise IncompleteResponse("only interim responses")

    async def data(self) -> bytes | None:
        """Return the next body bytes, None at its end; raises IncompleteResponse.

        Parts that were received together are returned together, up to a bound.
        """
        if self._is_turn_due:
            self._is_turn_due = False
            await self.turns.take()
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return self._with_parts_behind(event.data)
        if isinstance(event, h11.EndOfMessage):
            if self._is_end_told:
                await self._check_end()
            self._finish()
            return None
        raise IncompleteResponse("no body")

    def skip_response(self) -> bool:
        """Skip a response to another request and await the next one.

        Guards against an endpoint that answers an earlier request twice: the duplicate
        precedes the expected response. Returns False if the connection is closed.
        """
        if self.closed or self._request is None:
            return False
        rest, _ = self._wire.trailing_data
        self._received.put_back(rest)
        self._wire = self._new_wire()
        self._wire.send(_without_body(self._request))
        self._wire.send(h11.EndOfMessage())
        self._has_head = self._is_end_told = self._needs_bytes = False
        self._busy = True
        self.reusable = False
        self.skipped += 1
        return True

    def close(self) -> None:
        """Abort the connection; the endpoint cancels a request in flight.

        A request in flight is taken back: what the kernel has not delivered yet must
        not arrive beside the request's next attempt.
        """
        self.closed = True
        self._received.clear()
        if self._transport is not None:
            if self._busy:
                reset_on_close(self._transport.get_extra_info("socket"))
            self._transport.abort()

    def _new_wire(self) -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_LINE_BYTES)

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    async def _next_event(self) -> Any:
        """Return the next event once its bytes are there; raises IncompleteResponse."""
        while (event := self._received_event()) is None:
            if self.closed:
                raise IncompleteResponse("reset" if self._reset else "ended")
            self._flow.on_taken()
            self._wake = asyncio.get_running_loop().create_future()
            await self._wake
        return event

    def _received_event(self) -> Any:
        """Return the next event of what is received, None if that is all.

        Raises IncompleteResponse.
        """
        if self._ahead is not None:
            event, self._ahead = self._ahead, None
            if isinstance(event, IncompleteResponse):
                raise event
            return event
        try:
            event = self._parse()
        except (h11.RemoteProtocolError, HeadTooLarge) as error:
            self._tell_limit(error)
            self.close()
            raise IncompleteResponse(str(error)) from error
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise IncompleteResponse("ended")
        return event

    def _tell_limit(self, error: Exception) -> None:
        if isinstance(error, HeadTooLarge):
            self.on_limit(AnswerLimit.HEAD)
        elif getattr(error, "error_status_hint", None) == HEADER_FIELDS_TOO_LARGE:
            self.on_limit(AnswerLimit.LINE)

    def _parse(self) -> Any:
        """Return the parser's next event, None once it has been given all bytes."""
        while True:
            if self._needs_bytes and not self._feed():
                return None
            event = self._wire.next_event()
            self._needs_bytes = event is h11.NEED_DATA
            if not self._needs_bytes:
                return event

    def _feed(self) -> bool:
        """Give the parser the next bytes, or their end; return whether there are any.

        Raises HeadTooLarge.
        """
        received = self._received
        data = received.take_piece() if self._has_head else received.take_head()
        if not data and (not self._ended or self._is_end_told):
            return False
        self._is_end_told = not data
        self._wire.receive_data(data)
        return True

    def _with_parts_behind(self, first: bytes | bytearray) -> bytes:
        """Return a part of a body with those that were received behind it.

        Guards against short parts that each cost a pass through all of a VM, and
        against many that hold up other connections.
        """
        parts = [first]
        size = len(first)
        while len(parts) < PARTS_A_TURN and size < PIECE_BYTES:
            if (part := self._part_ahead()) is None:
                return b"".join(parts)
            parts.append(part)
            size += len(part)
        self._is_turn_due = True
        return b"".join(parts)

    def _part_ahead(self) -> bytes | bytearray | None:
        """Return the next part of a body if it is received; keep what else comes."""
        try:
            event = self._received_event()
        except IncompleteResponse as error:
            event = error
        if isinstance(event, h11.Data):
            return event.data
        self._ahead = event
        return None

    async def _check_end(self) -> None:
        """Raise IncompleteResponse unless the peer ended what ends with its connection.

        A reset that meets a request still being written may be read as an end, or come
        behind one: guards against a part of an answer that passes for all of it.
        """
        connected = self._transport.get_extra_info("socket")
        loop = asyncio.get_running_loop()
        deadline = loop.time() + REQUEST_TAKEN_S
        while not (self._reset or self.closed or is_reset(connected)):
            unsent = self._transport.get_write_buffer_size()
            if not unsent and not unsent_in_kernel(connected):
                return
            if loop.time() > deadline:
                self.close()
                raise IncompleteResponse("ended before the request was taken")
            await asyncio.sleep(REQUEST_TAKEN_CHECK_S)
        self.close()
        raise IncompleteResponse("reset")

    def _note_keep_alive(self, head: h11.Response) -> None:
        for name, value in head.headers:
            if name == b"keep-alive":
                self.keep_alive_s = _keep_alive_seconds(value)

    def _finish(self) -> None:
        """Mark the connection reusable if the exchange ended cleanly."""
        self._busy = False
        trailing, _ = self._wire.trailing_data
        rest = len(trailing) + len(self._received)
        self._flow.on_taken(rest)
        unsent = self._transport.get_write_buffer_size()
        if rest or unsent or self._ended or self.closed:
            return
        with contextlib.suppress(h11.LocalProtocolError):
            self._wire.start_next_cycle()
            self.reusable = True


def _without_body(request: h11.Request) -> h11.Request:
    """Return a request to which the same response belongs, with no body to send."""
    headers = [pair for pair in request.headers if pair[0] not in FRAMING_HEADERS]
    return h11.Request(method=request.method, target=request.target, headers=headers)


def _keep_alive_seconds(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
