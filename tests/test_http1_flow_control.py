"""Bodies, answers and pipelined requests that arrive faster than they are taken."""

import asyncio
from typing import Any

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboovale.event_loop import loop_factory
from bamboovale.http1.connection import HIGH_WATER_BYTES, Connection
from bamboovale.http1.request import Request, ServerLimits
from bamboovale.http1.responder import Responder
from bamboovale.http1.server import Server
from bamboovale.http1.server_connection import READ_AHEAD_BYTES, ServerConnection
from tests.gateway_site import eventually

MAX_BODY_BYTES = 3_000_000
LIMITS = ServerLimits(body_bytes=MAX_BODY_BYTES)
PIECE_BYTES = 64 * 1024
SIZES = (0, 700, 40_000, READ_AHEAD_BYTES, READ_AHEAD_BYTES + 1, 900_000, 2_500_000)
"""Sizes of bodies; integers drawn at random are mostly small."""
PIECES = (3_000, 100_000, READ_AHEAD_BYTES + 1, 700_000)


class FakeTransport:
    """Records whether reading is paused; ``sent`` are the bytes written."""

    def __init__(self) -> None:
        self.is_paused = False
        self.sent = b""

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def write(self, data: bytes) -> None:
        self.sent += data

    def is_closing(self) -> bool:
        return False

    def get_extra_info(self, name: str) -> None:
        return None

    def get_write_buffer_size(self) -> int:
        return 0

    def close(self) -> None:
        pass

    abort = close


async def turns() -> None:
    """Let the connection's task take what has arrived."""
    for _ in range(3):
        await asyncio.sleep(0)


def request_bytes(size: int, *, chunked: bool) -> bytes:
    """Return a request with a body."""
    if not chunked:
        head = f"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"
        return head.encode() + b"x" * size
    head = "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    parts = [head.encode()]
    for start in range(0, size, 5000):
        length = min(5000, size - start)
        parts.append(f"{length:x}\r\n".encode() + b"x" * length + b"\r\n")
    return b"".join([*parts, b"0\r\n\r\n"])


class TestServer:
    """What a caller sends at any speed."""

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        sizes=st.lists(st.sampled_from(SIZES), min_size=1, max_size=3),
        pieces=st.lists(st.sampled_from(PIECES), min_size=1, max_size=4),
        yields=st.lists(st.booleans(), min_size=1, max_size=5),
        chunked=st.booleans(),
    )
    def test_it_reads_on_whenever_it_waits(
        self, sizes: list[int], pieces: list[int], yields: list[bool], chunked: bool
    ) -> None:
        """Guards against a body that hangs as reading is paused until its answer."""
        seen: list[int] = []

        async def count(request: Request, responder: Responder) -> None:
            seen.append(len(request.body))
            responder.answer(200, [], b"")

        async def test() -> None:
            transport = FakeTransport()
            connection = ServerConnection(Server(count, lambda: LIMITS))
            connection.connection_made(transport)
            await turns()
            data = b"".join(request_bytes(size, chunked=chunked) for size in sizes)
            start, number = 0, 0
            while start < len(data):
                piece = pieces[number % len(pieces)]
                connection.data_received(data[start : start + piece])
                start += piece
                if transport.is_paused or yields[number % len(yields)]:
                    await turns()
                    assert not transport.is_paused
                number += 1
            await turns()
            connection.connection_lost(None)
            assert seen == sizes

        asyncio.run(test())

    @pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, loop_factory()])
    @pytest.mark.parametrize("chunked", [False, True])
    def test_large_bodies_are_read_at_once(self, new_loop: Any, chunked: bool) -> None:
        """Guards against 408 for uploads within the limits, on both event loops."""

        async def length(request: Request, responder: Responder) -> None:
            responder.answer(200, [], str(len(request.body)).encode())

        async def upload(port: int, size: int) -> bytes:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request_bytes(size, chunked=chunked))
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
            body = await reader.readexactly(len(str(size)))
            writer.close()
            return answer[9:12] + b" " + body

        async def test() -> None:
            server = Server(length, lambda: LIMITS)
            port = await server.listen("127.0.0.1", 0)
            sizes = [1, 300_000, 1_000_000, 2_000_000, MAX_BODY_BYTES] * 6
            answers = await asyncio.gather(*(upload(port, size) for size in sizes))
            assert answers == [f"200 {size}".encode() for size in sizes]
            server.close()

        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(test())

    def test_a_caller_that_leaves_after_a_large_body_is_noticed(self) -> None:
        """Guards against runs that go on as the close of their caller is not read."""

        async def test() -> None:
            transport = FakeTransport()
            connection = ServerConnection(Server(never, lambda: LIMITS))
            connection.connection_made(transport)
            await turns()
            data = request_bytes(900_000, chunked=False)
            for start in range(0, len(data), PIECE_BYTES):
                connection.data_received(data[start : start + PIECE_BYTES])
            assert transport.is_paused
            await turns()
            assert connection.busy and not transport.is_paused
            connection.connection_lost(None)

        async def never(request: Request, responder: Responder) -> None:
            await asyncio.sleep(60.0)

        asyncio.run(test())

    def test_pipelined_requests_wait_outside(self) -> None:
        """Guards against a caller that fills the memory behind a slow request."""

        async def test() -> None:
            answered = asyncio.Event()
            seen = []

            async def wait(request: Request, responder: Responder) -> None:
                seen.append(request)
                await answered.wait()
                responder.answer(200, [], b"")

            transport = FakeTransport()
            connection = ServerConnection(Server(wait, lambda: LIMITS))
            connection.connection_made(transport)
            await turns()
            received = 0
            while not transport.is_paused and received < 4 * READ_AHEAD_BYTES:
                data = request_bytes(20_000, chunked=False)
                connection.data_received(data)
                received += len(data)
                await turns()
            assert received <= READ_AHEAD_BYTES + 3 * 20_100
            assert len(seen) == 1
            answered.set()
            await eventually(lambda: len(seen) * 20_000 > READ_AHEAD_BYTES)
            await turns()
            assert not transport.is_paused
            connection.connection_lost(None)

        asyncio.run(test())


class TestClient:
    """Answers of endpoints at any speed."""

    @pytest.mark.parametrize("size", [1000, HIGH_WATER_BYTES + 1, 2_000_000])
    def test_a_connection_in_the_pool_notices_its_close(self, size: int) -> None:
        """Guards against requests on a connection whose end was not read."""

        async def test() -> None:
            connection, transport = requested()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode()
            data = head + b"x" * size
            for start in range(0, len(data), PIECE_BYTES):
                connection.data_received(data[start : start + PIECE_BYTES])
            assert transport.is_paused == (size > HIGH_WATER_BYTES)
            await read_whole(connection)
            assert connection.reusable and not transport.is_paused

        asyncio.run(test())

    def test_an_answer_that_nobody_takes_is_not_read_on(self) -> None:
        """Guards against memory that grows with the answers to slow callers."""

        async def test() -> None:
            connection, transport = requested()
            connection.data_received(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            received = 0
            while not transport.is_paused and received < 4 * HIGH_WATER_BYTES:
                connection.data_received(b"1000\r\n" + b"x" * 4096 + b"\r\n")
                received += 4096
            assert received <= HIGH_WATER_BYTES + 4096

        asyncio.run(test())


def requested() -> tuple[Connection, FakeTransport]:
    """Return a connection with a request in flight, and its transport."""
    transport = FakeTransport()
    connection = Connection()
    connection.connection_made(transport)
    request = h11.Request(method="GET", target="/", headers=[("Host", "h")])
    connection.send(request, b"")
    return connection, transport


async def read_whole(connection: Connection) -> None:
    """Take an answer to its end."""
    await connection.head()
    while await connection.data() is not None:
        pass
