"""What a client connection takes apart at once, however its bytes come."""

import asyncio
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from types import TracebackType
from typing import Any

import h11
import pytest

from bamboovale.gateway.events import EventBuffer
from bamboovale.http1.answer_limits import AnswerLimit
from bamboovale.http1.body import BodyTooLong, read_body
from bamboovale.http1.connection import (
    HIGH_WATER_BYTES,
    MAX_INTERIM_RESPONSES,
    PARTS_A_TURN,
    Connection,
    IncompleteResponse,
)
from bamboovale.http1.received import (
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
    PIECE_BYTES,
    HeadTooLarge,
    ReceivedBytes,
)
from bamboovale.http1.request import Request
from bamboovale.http1.responder import Responder
from bamboovale.http1.server import Server
from bamboovale.http1.server_connection import ServerConnection
from bamboovale.http1.turns import Turns
from tests.test_http1_flow_control import FakeTransport

REQUEST = h11.Request(method="GET", target="/", headers=[("Host", "h")])
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = HEAD + b"Content-Length: 10000000\r\n\r\n"
UNFRAMED = HEAD + b"\r\n"
BODIES = {
    "chunks of a byte": (CHUNKED, b"1\r\nx\r\n"),
    "chunks of 32 bytes": (CHUNKED, b"20\r\n" + b"x" * 32 + b"\r\n"),
    "long chunks": (CHUNKED, b"8000\r\n" + b"x" * 0x8000 + b"\r\n"),
    "length": (LENGTH, b"x"),
    "no frame": (UNFRAMED, b"x"),
}
each_body = pytest.mark.parametrize("body", BODIES.values(), ids=BODIES.keys())
TOGETHER = 8
MANY_PASSES = 10 * HIGH_WATER_BYTES // PARTS_A_TURN
SHORT_BYTES, LONG_BYTES = 16 * 1024, 128 * 1024


@dataclass
class Passes:
    """Passes of the event loop, counted by a task that waits for nothing."""

    number: int = 0

    async def run(self, count: int) -> None:
        """Let so many passes go by."""
        for _ in range(count):
            self.number += 1
            await asyncio.sleep(0)


def with_received(body: tuple[bytes, bytes], turns: Turns | None = None) -> Connection:
    """Return a connection that has received much of a body at once."""
    connection = Connection()
    connection.connection_made(FakeTransport())
    if turns is not None:
        connection.turns = turns
    connection.send(REQUEST, b"")
    head, pattern = body
    connection.data_received(head + pattern * (HIGH_WATER_BYTES // len(pattern)))
    return connection


async def read_pieces(connection: Connection, on_piece: Callable[[bytes], Any]) -> None:
    """Read what was received of a body."""
    await connection.head()
    while (piece := await connection.data()) is not None:
        on_piece(piece)


def run(test: Any) -> None:
    """Run the body of a test for a short time: its bodies have no end."""
    asyncio.run(asyncio.wait_for(test, 20.0))


class TestTurns:
    """Connections that have received much, beside others."""

    @each_body
    def test_others_go_on_between_two_pieces(self, body: tuple[bytes, bytes]) -> None:
        """Guards against an answer without end that holds up all other requests."""

        async def test() -> None:
            connection = with_received(body)
            passes = Passes()
            passes_by_piece: list[int] = []
            reading = asyncio.create_task(
                read_pieces(connection, lambda _: passes_by_piece.append(passes.number))
            )
            await passes.run(MANY_PASSES)
            reading.cancel()
            assert len(passes_by_piece) >= TOGETHER
            assert len(set(passes_by_piece)) == len(passes_by_piece)

        run(test())

    def test_one_of_many_goes_on_in_a_pass(self) -> None:
        """Guards against a crowd of answers of which each takes little time."""

        async def test() -> None:
            turns = Turns()
            connections = [
                with_received(BODIES["chunks of a byte"], turns)
                for _ in range(TOGETHER)
            ]
            passes = Passes()
            passes_by_piece: list[int] = []
            tasks = [
                asyncio.create_task(
                    read_pieces(item, lambda _: passes_by_piece.append(passes.number))
                )
                for item in connections
            ]
            await passes.run(500)
            for task in tasks:
                task.cancel()
            later = [number for number in passes_by_piece if number > TOGETHER]
            assert len(later) > 10 * TOGETHER
            assert len(set(later)) == len(later)

        run(test())

    @each_body
    def test_pieces_are_bounded_and_complete(self, body: tuple[bytes, bytes]) -> None:
        """Guards against pieces that are lost, or that take a pass for themselves."""

        async def test() -> None:
            connection = with_received(body)
            pieces: list[bytes] = []
            reading = asyncio.create_task(read_pieces(connection, pieces.append))
            await Passes().run(MANY_PASSES)
            reading.cancel()
            _, pattern = body
            sent = HIGH_WATER_BYTES // len(pattern) * pattern.count(b"x")
            assert b"".join(pieces) == b"x" * sent
            assert max(map(len, pieces)) < 2 * PIECE_BYTES

        run(test())


class TestRequests:
    """Clients of a server that have sent what takes long to be taken apart."""

    @pytest.mark.parametrize("first_bytes", [0, 100, -2])
    def test_a_long_head_is_taken_apart_in_each_pass(self, first_bytes: int) -> None:
        """Guards against a crowd of heads of short lines that holds up all others.

        The heads come in two pieces, of which the first has so many bytes.
        """
        head = b"GET /p HTTP/1.1\r\nHost: h\r\n" + b"a:\r\n" * 3000 + b"\r\n"

        async def test() -> None:
            passes = Passes()
            passes_by_request: list[int] = []

            async def handle(request: Request, responder: Responder) -> None:
                passes_by_request.append(passes.number)
                responder.answer(200, [], b"")

            server = Server(handle)
            connections = [ServerConnection(server) for _ in range(TOGETHER)]
            for connection in connections:
                connection.connection_made(FakeTransport())
            for piece in filter(None, (head[:first_bytes], head[first_bytes:])):
                await passes.run(3)
                for connection in connections:
                    connection.data_received(piece)
            await passes.run(MANY_PASSES)
            assert len(passes_by_request) == TOGETHER
            assert len(set(passes_by_request)) == TOGETHER

        run(test())


class TestEvents:
    """Streams whose events come in short pieces, or in great number."""

    @pytest.mark.parametrize(
        ("before", "piece"),
        [
            (b"", b"data: 0123456789\n"),
            (b"", b"\n\n"),
            (b"", b"\r\n\r"),
            (b"data: ", b"x" * 32),
        ],
    )
    def test_time_grows_with_the_bytes(self, before: bytes, piece: bytes) -> None:
        """Guards against a search of all that is pending for each piece.

        Eight times as many bytes may take some eight times as long, not 64 times.
        """

        def seconds(size: int) -> float:
            buffer = EventBuffer()
            buffer.feed(before)
            pieces = [piece] * (size // len(piece))
            started_at = time.process_time()
            for item in pieces:
                buffer.feed(item)
            return time.process_time() - started_at

        short, long = (
            min(seconds(size) for _ in range(3)) for size in (SHORT_BYTES, LONG_BYTES)
        )
        assert long < 24 * short


class LongBody:
    """A body of many parts."""

    def __init__(self) -> None:
        self.limits: list[AnswerLimit] = []
        self._parts = iter([b"x" * 1000] * 100)

    def on_limit(self, limit: AnswerLimit) -> None:
        """Note a bound that is exceeded."""
        self.limits.append(limit)

    async def data(self) -> bytes | None:
        """Return the next bytes."""
        return next(self._parts, None)


class TestBodies:
    """Bodies that are read whole."""

    def test_one_that_is_too_long_is_given_up(self) -> None:
        """Guards against an answer, or an error about it, that fills the memory."""
        sizes: list[int] = []
        source = LongBody()

        async def test() -> None:
            with pytest.raises(BodyTooLong) as raised:
                await read_body(source, 5000, sizes.append)
            frames = [frame.tb_frame for frame in traceback_of(raised.value)]
            kept = [frame.f_locals.get("body") for frame in frames]
            assert not any(kept)

        run(test())
        assert sizes == [1000, 2000, 3000, 4000, 5000, 6000]
        assert source.limits == [AnswerLimit.BODY]


def traceback_of(error: BaseException) -> Iterator[TracebackType]:
    """Yield the parts of an error's traceback."""
    part = error.__traceback__
    while part is not None:
        yield part
        part = part.tb_next


class TestHeads:
    """Heads that come at any speed."""

    def test_of_any_pieces_is_taken_whole(self) -> None:
        data = CHUNKED + b"1\r\n"
        for size in (1, 2, 3, 7, len(data)):
            received = ReceivedBytes()
            heads = []
            for at in range(0, len(data), size):
                received.add(data[at : at + size])
                if head := received.take_head():
                    heads.append(head)
                    break
            assert heads == [CHUNKED]

    @pytest.mark.parametrize(
        "line",
        [b"a:\r\n", b"a:\n", b"a: " + b"x" * 1000 + b"\r\n", b"x"],
    )
    @pytest.mark.parametrize("size", [1000, 2 * HIGH_WATER_BYTES])
    def test_without_an_end_is_refused(self, line: bytes, size: int) -> None:
        """Guards against a head that takes memory, or a pass of the loop, by its size.

        ``size`` is what is received at once.
        """
        received = ReceivedBytes()
        received.add(HEAD)
        added = 0
        with pytest.raises(HeadTooLarge):
            while added < 4 * HIGH_WATER_BYTES:
                data = line * (size // len(line) + 1)
                received.add(data)
                added += len(data)
                assert received.take_head() == b""
        assert added <= MAX_HEAD_BYTES + len(data)

    @pytest.mark.parametrize("status", [b"000", b"099", b"00", b"0000", b"-20"])
    def test_with_no_status_is_no_answer(self, status: bytes) -> None:
        """Guards against an answer whose status its caller cannot read."""

        async def test() -> None:
            connection = Connection()
            connection.connection_made(FakeTransport())
            connection.send(REQUEST, b"")
            head = b"HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nhi" % status
            connection.data_received(head)
            with pytest.raises(IncompleteResponse):
                await connection.head()

        run(test())

    @pytest.mark.parametrize("received_together", [1, 1000])
    def test_of_interim_responses_only_is_no_answer(
        self, received_together: int
    ) -> None:
        """Guards against interim responses without end that are skipped for ever."""

        async def test() -> None:
            connection = Connection()
            connection.connection_made(FakeTransport())
            connection.send(REQUEST, b"")
            reading = asyncio.create_task(connection.head())
            for _ in range(MAX_INTERIM_RESPONSES + 1):
                await asyncio.sleep(0)
                if not connection.closed:
                    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
                    connection.data_received(interim * received_together)
            with pytest.raises(IncompleteResponse):
                await reading
            assert connection.closed

        run(test())

    def test_a_whole_one_of_too_many_lines_is_refused(self) -> None:
        """Guards against a head that is whole before its size is looked at."""
        received = ReceivedBytes()
        received.add(HEAD + b"a:\r\n" * MAX_HEAD_LINES + b"\r\n")
        with pytest.raises(HeadTooLarge):
            received.take_head()
