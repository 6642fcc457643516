"""One connection of the server: reads requests, writes answers, counts both."""

import asyncio
import contextlib
import itertools
import logging
import time
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import h11

from bamboovale.http1.connection import Headers
from bamboovale.http1.connection_limit import Wait
from bamboovale.http1.flow_control import FlowControl
from bamboovale.http1.received import END_OF_HEAD
from bamboovale.http1.request import (
    BadRequest,
    Request,
    ServerLimits,
    check_framing,
    head_size,
)
from bamboovale.http1.responder import Responder, Upstream
from bamboovale.http1.sockets import (
    SOCKET_BUFFER_BYTES,
    enable_dead_peer_detection,
    end_on_close,
    has_ended,
    keep_slow_peer,
    reset_on_close,
    set_send_buffer,
    silent_s,
    unread_bytes,
    unsent_in_kernel,
)

if TYPE_CHECKING:
    from bamboovale.http1.server import Server

logger = logging.getLogger(__name__)

READ_AHEAD_BYTES = 256 * 1024
"""Bytes that are buffered beyond those taken before reading is paused."""
CALLER_KNOWN_S = 0.1
"""How long a caller counts as there after it was looked whether it is."""
CLOSE_CHECK_S = 0.25
"""How often it is looked for a close that reading does not come to."""
HTTP_1_0 = b"1.0"
CONNECTION_BYTES = 16 * 1024
"""What a connection takes by itself."""
HEADER_BYTES = 512
"""What one header of a request under way takes, beside its text."""
BODY_COPIES = 3
"""The body of a request under way, as received, encoded, and in the send buffer."""
SHORT_CHUNK_BYTES = 2048
SHORT_CHUNKS_A_TURN = 64
"""Short chunks of a body that are parsed before other connections have their turn."""
HEAD_TOOK_TOO_LONG = "the head took too long"
BODY_TOOK_TOO_LONG = "the body took too long"
REQUESTS_A_TURN = 16
"""Requests sent ahead that are handled before other connections have their turn."""
MANY_HEADERS = 64
"""Headers of a head that is taken apart in its turn, while nobody lets go of others."""
MOST_PASSES = 64
"""Passes of the loop that such a head waits at most."""
SERVICE_UNAVAILABLE = 503
HELD_RETRY_S = b"1"
"""When a request that was refused for memory may come back, in seconds."""
HELD_TOO_MUCH_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n"
    b"retry-after: " + HELD_RETRY_S + b"\r\ncontent-length: 0\r\n\r\n"
)
"""Sent when nothing may be allocated for an answer of its own."""
REASON_BY_STATUS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class HeldTooMuch(BadRequest):
    """The request is refused, as all clients together hold too much."""

    def __init__(self) -> None:
        super().__init__(SERVICE_UNAVAILABLE, "too much is held for other requests")


class ServerConnection(asyncio.Protocol):
    """Serves the requests of one connection sequentially.

    The task that runs the handler is cancelled when the caller disconnects.
    """

    def __init__(self, server: "Server") -> None:
        self.close_after = False
        self.busy = False
        self.last_request: Request | None = None
        self.caller_silent_s: float | None = None
        self._caller_known_until = 0.0
        self._looks_for_close = False
        self._dropped_bytes = 0
        self._is_hastened = False
        self._server = server
        self._wire = self._new_wire()
        self._transport: Any = None
        self._task: asyncio.Task[None] | None = None
        self._wake: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._flow = FlowControl(READ_AHEAD_BYTES)
        self._lost = False
        self._is_handling = False
        self._is_shed = False
        self._is_dropped = False
        self._body = bytearray()
        self._request_bytes = 0
        self._answer_bytes = 0
        self._upstream: Upstream | None = None
        self._waits_since = 0.0

    def _new_wire(self) -> h11.Connection:
        head_bytes = self._server.limits().head_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=head_bytes)

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: Any) -> None:
        """Start the task that serves requests."""
        self._transport = transport
        self._flow.attach(transport)
        loop = asyncio.get_running_loop()
        self._waits_since = loop.time()
        if not self._server.admit(self):
            return
        enable_dead_peer_detection(transport.get_extra_info("socket"))
        if self._server.keeps_slow:
            self.keep_slow()
        self._task = loop.create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; pause reading when a caller pipelines too much."""
        self._flow.on_received(len(data))
        if self._flow.is_paused:
            self._look_for_close_later()
        self._server.memory.grow(len(data))
        if self._is_shed:
            return
        with contextlib.suppress(h11.RemoteProtocolError):
            self._wire.receive_data(data)
        self._notify()

    def eof_received(self) -> None:
        """Take the end of a caller's bytes for its leaving, while it has a request.

        Guards against work for a caller that does not take what waits for it: until it
        does, the transport stays open, as that may hold an earlier answer.
        """
        if self.busy and self._task is not None:
            self._task.cancel()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request of a caller that has disconnected."""
        self._lost = True
        if self.busy:
            self._note_silence()
        self._server.forget(self)
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make ``drain`` wait: the write buffer is full."""
        if self._is_hastened:
            return
        loop = asyncio.get_running_loop()
        self._waits_since = loop.time()
        self._writable = loop.create_future()

    def resume_writing(self) -> None:
        """Release tasks that wait in ``drain``."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    # What the connection holds, for the bounds of the process.

    def held_bytes(self) -> int:
        """Return the bytes that the connection holds, with those in the kernel."""
        if self._lost or self._is_shed:
            return 0
        held = CONNECTION_BYTES + self._flow.waiting_bytes + len(self._body)
        held += self._request_bytes + self._answer_bytes
        if self._upstream is not None:
            held += self._upstream.held_bytes()
        held += int(self._transport.get_write_buffer_size())
        connected = self._transport.get_extra_info("socket")
        return held + unsent_in_kernel(connected) + unread_bytes(connected)

    def waits_for_client(self) -> bool:
        """Return whether the client has to send or to take bytes."""
        return not self._is_handling or self._writable is not None

    def wait(self) -> Wait | None:
        """Return the wait for the client, None while its request is under way.

        What it sent and is not looked at yet may be a whole request, unless nothing
        more is answered before its client has taken what it was sent.
        """
        if self._is_dropped or not self.waits_for_client():
            return None
        must_read = self._writable is not None or self._transport.is_closing()
        if self._flow.waiting_bytes and not must_read:
            return None
        return Wait(self._is_handling or bool(self.unsent_bytes), self._waits_since)

    def shed(self) -> None:
        """Refuse a request that is not whole yet; reset the connection else.

        Guards against an answer that looks whole, and a promise that may not hold. What
        was received is let go of at once, headers as the connection's task ends.
        """
        self._is_shed = True
        if self._request_bytes:
            self._server.memory.releasing.add(self)
        if self._is_handling or self.unsent_bytes or not self.busy:
            self.abort()
        else:
            self._server.on_bad_request(HeldTooMuch())
            self._transport.write(HELD_TOO_MUCH_ANSWER)
            self._transport.close()
        self._body = bytearray()
        self._wire = self._new_wire()
        self._notify()

    def drop(self) -> None:
        """Close the connection for another one; reset it with what is not taken."""
        self._is_dropped = True
        if self._is_handling or self.unsent_bytes:
            self.abort()
        else:
            self._transport.close()

    def read_from(self, upstream: Upstream | None) -> None:
        """Count what an endpoint has sent as held by this connection."""
        self._upstream = upstream
        self._answer_bytes = 0
        if upstream is not None:
            self._server.memory.grow(SOCKET_BUFFER_BYTES)

    def hold_answer(self, size: int) -> None:
        """Count the bytes of an answer that is kept until it is whole."""
        grown = size - self._answer_bytes
        self._answer_bytes = size
        self._server.memory.grow(grown)

    # Used by Responder.

    def caller_host(self) -> str:
        """Return the address from which the caller connects, empty once it is gone."""
        peer = self._transport.get_extra_info("peername")
        return peer[0] if peer else ""

    def has_caller_left(self) -> bool:
        """Return whether the caller has closed the connection, read or not."""
        if self._lost or self._transport.is_closing():
            return True
        now = time.monotonic()
        if now < self._caller_known_until:
            return False
        if has_ended(self._transport.get_extra_info("socket")):
            self._note_silence()
            return True
        self._caller_known_until = now + CALLER_KNOWN_S
        return False

    def _look_for_close_later(self) -> None:
        if not self._looks_for_close:
            self._looks_for_close = True
            asyncio.get_running_loop().call_later(CLOSE_CHECK_S, self._look_for_close)

    def _look_for_close(self) -> None:
        """End the request of a caller whose close lies behind bytes that wait."""
        self._looks_for_close = False
        if self._lost or not (self.busy and self._flow.is_paused):
            return
        if self.has_caller_left():
            self._transport.abort()
        else:
            self._look_for_close_later()

    def _note_silence(self) -> None:
        """Note how long a caller that left has sent nothing, unless that was done."""
        if self.caller_silent_s is None:
            self.caller_silent_s = silent_s(self._transport.get_extra_info("socket"))

    def write_head(self, status: int, headers: Headers) -> None:
        """Write the head of a response.

        Until its end is written, a body without a frame would seem to end with the
        connection: it is reset if it closes meanwhile, also with this process.
        """
        if self._is_unframed(headers):
            reset_on_close(self._transport.get_extra_info("socket"))
        if self.close_after and not self._has_next():
            headers = [*headers, (b"connection", b"close")]
        reason = REASON_BY_STATUS.get(status, b"")
        self._write(h11.Response(status_code=status, headers=headers, reason=reason))

    def write_data(self, data: bytes) -> None:
        """Write bytes of a body."""
        self._write(h11.Data(data=data))

    def write_end(self) -> None:
        """Complete a body."""
        self._write(h11.EndOfMessage())
        is_cut = self._transport.is_closing()
        if self._wire.their_http_version == HTTP_1_0 and not is_cut:
            end_on_close(self._transport.get_extra_info("socket"))

    def _is_unframed(self, headers: Headers) -> bool:
        """Return whether a body ends with the connection: HTTP/1.0 has no chunks."""
        has_length = any(name == b"content-length" for name, _ in headers)
        return self._wire.their_http_version == HTTP_1_0 and not has_length

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        if self._writable is not None:
            await self._writable

    def abort(self) -> None:
        """Reset the connection; an answer that is cut by that must not look whole."""
        self.close_after = True
        if self._transport.get_write_buffer_size():
            reset_on_close(self._transport.get_extra_info("socket"))
        self._dropped_bytes += self._transport.get_write_buffer_size()
        self._transport.abort()

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of answers not given to the kernel, with dropped ones."""
        if self._transport.is_closing() and self._dropped_bytes:
            return self._dropped_bytes
        return int(self._transport.get_write_buffer_size())

    def keep_slow(self) -> None:
        """Keep the connection also if its caller takes few bytes for long."""
        keep_slow_peer(self._transport.get_extra_info("socket"))

    def hasten(self, send_buffer_bytes: int) -> None:
        """Write without waiting for the caller, and have the kernel hold more of it."""
        if self._is_hastened:
            return
        self._is_hastened = True
        self.resume_writing()
        set_send_buffer(self._transport.get_extra_info("socket"), send_buffer_bytes)

    def close_if_idle(self) -> None:
        """Close the connection if no request is in flight, also none not read yet."""
        if self.busy or self._flow.waiting_bytes or self._transport.is_closing():
            return
        if not unread_bytes(self._transport.get_extra_info("socket")):
            self._transport.close()

    def _write(self, event: Any) -> None:
        if self._is_shed:
            return
        data = self._wire.send(event)
        if data and not self._lost and not self._transport.is_closing():
            self._transport.write(data)
            self._server.memory.grow(len(data))

    def _has_next(self) -> bool:
        """Return whether a request was received behind the one in flight.

        Guards against closing a connection with a request that was read.
        """
        return bool(self._wire.trailing_data[0])

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    # Run by the connection's task.

    async def _serve(self) -> None:
        try:
            for number in itertools.count(1):
                if not await self._serve_one():
                    break
                if number % REQUESTS_A_TURN == 0 and self._has_next():
                    await self._server.turns.take()
        except asyncio.CancelledError:
            if not self._lost:
                raise
        except Exception:
            logger.exception("unhandled error on a connection")
        finally:
            self._server.memory.releasing.discard(self)
            # A cancelled task keeps its frames, and these keep this connection.
            self._task = None
            if not self._lost:
                self._transport.close()

    async def _serve_one(self) -> bool:
        """Serve one request; return False if the connection is to be closed."""
        try:
            request = await self._read_request()
        except BadRequest as bad:
            if not self._is_shed:
                self._refuse(bad)
            return False
        if request is None:
            return False
        self.busy = self._is_handling = True
        is_behind = bool(self.unsent_bytes)
        self.last_request = request
        responder = Responder(self)
        try:
            await self._server.handler(request, responder)
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("unhandled error in a request handler")
            if responder.started:
                self.abort()
                return False
            responder.close_after()
            responder.answer(500, [], b"")
        self.busy = self._is_handling = False
        self._request_bytes = self._answer_bytes = 0
        self._upstream = None
        self._waits_since = asyncio.get_running_loop().time()
        self.last_request = replace(request, body=b"") if self.unsent_bytes else None
        del request
        if self.close_after and not self._has_next():
            return False
        if self._transport.is_closing() or self._wire.our_state is not h11.DONE:
            return False
        if self._wire.their_state is not h11.DONE:
            return False
        if is_behind:
            # Answers to more requests would pile up behind two that are not taken.
            await self.drain()
        self._wire.start_next_cycle()
        return True

    async def _read_request(self) -> Request | None:
        limits = self._server.limits()
        loop = asyncio.get_running_loop()
        if not self._has_next():
            await self._wait(limits.idle_timeout_s)
        if not self._has_next():
            return None
        deadline = loop.time() + limits.head_timeout_s
        head = await self._event(deadline, HEAD_TOOK_TOO_LONG, is_head=True)
        if not isinstance(head, h11.Request):
            return None
        self.busy = True
        received_at = loop.time()
        headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        check_framing(headers)
        # h11 bounds only heads that are still incomplete when it parses them.
        if head_size(head) > limits.head_bytes:
            raise BadRequest(431, "the head is too large")
        self._request_bytes = HEADER_BYTES * len(headers)
        self._server.memory.grow(self._request_bytes)
        body = await self._read_body(headers, limits, received_at)
        self._flow.on_taken(len(self._wire.trailing_data[0]))
        return Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=headers,
            body=body,
            received_at=received_at,
        )

    async def _read_body(
        self,
        headers: Headers,
        limits: ServerLimits,
        started_at: float,
    ) -> bytes:
        length = next((v for k, v in headers if k == b"content-length"), b"0")
        if int(length) > limits.body_bytes:
            raise BadRequest(413, "the body is too large")
        if self._wire.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        deadline = started_at + limits.body_timeout_s
        short_chunks = 0
        while True:
            event = await self._event(deadline, BODY_TOOK_TOO_LONG)
            if isinstance(event, h11.EndOfMessage):
                return self._take_body()
            if not isinstance(event, h11.Data):
                raise BadRequest(400, "the body is cut short")
            self._body += event.data
            if len(self._body) > limits.body_bytes:
                raise BadRequest(413, "the body is too large")
            short_chunks += len(event.data) < SHORT_CHUNK_BYTES
            if short_chunks >= SHORT_CHUNKS_A_TURN:
                short_chunks = 0
                await self._take_turn(deadline, BODY_TOOK_TOO_LONG)

    async def _take_turn(self, deadline: float, timeout_reason: str) -> None:
        """Let others have their turns; raises BadRequest if they keep this one late."""
        await self._server.turns.take()
        is_late = asyncio.get_running_loop().time() > deadline
        if is_late and self._server.turns:
            raise BadRequest(408, timeout_reason)

    def _take_body(self) -> bytes:
        """Return the whole body, which counts with its copies from now on."""
        body, self._body = bytes(self._body), bytearray()
        if body:
            self._request_bytes += BODY_COPIES * len(body)
            self._server.memory.grow((BODY_COPIES - 1) * len(body))
            self._refuse_if_shed()
        return body

    def _refuse_if_shed(self) -> None:
        if self._is_shed:
            raise HeldTooMuch

    async def _until_released(self) -> None:
        """Wait while others that were cut still hold headers; raises BadRequest.

        Guards against a crowd of heads that are all taken apart in one pass of the
        loop, in which none that was cut can let go.
        """
        for _ in range(MOST_PASSES):
            if not self._server.memory.releasing:
                return
            await asyncio.sleep(0)
        raise HeldTooMuch

    async def _event(
        self, deadline: float, timeout_reason: str, *, is_head: bool = False
    ) -> Any:
        loop = asyncio.get_running_loop()
        while True:
            if is_head and self._has_long_head():
                await self._until_released()
                await self._take_turn(deadline, timeout_reason)
            self._refuse_if_shed()
            try:
                event = self._wire.next_event()
            except h11.RemoteProtocolError as error:
                hint = error.error_status_hint
                raise BadRequest(hint, str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            self._flow.on_taken()
            if not await self._wait(deadline - loop.time()):
                raise BadRequest(408, timeout_reason)

    def _has_long_head(self) -> bool:
        """Return whether a whole head of many lines is to be taken apart."""
        received = self._wire.trailing_data[0]
        end = END_OF_HEAD.search(received)
        if end is None:
            return False
        return received.count(b"\n", 0, end.end()) > MANY_HEADERS

    async def _wait(self, timeout_s: float) -> bool:
        """Wait for bytes; return False on timeout."""
        self._wake = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._wake
        except TimeoutError:
            return False
        finally:
            self._wake = None
        return True

    def _refuse(self, bad: BadRequest) -> None:
        """Reject a malformed request and close the connection."""
        self.close_after = True
        self._server.on_bad_request(bad)
        if self._wire.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = str(bad).encode("utf-8", "replace")
        headers = [(b"content-type", b"text/plain")]
        if bad.status == SERVICE_UNAVAILABLE:
            headers.append((b"retry-after", HELD_RETRY_S))
        Responder(self).answer(bad.status, headers, body)
