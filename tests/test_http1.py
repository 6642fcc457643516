"""HTTP/1.1 at the sockets: bad input, limits, early and broken answers."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import h11
import pytest

from bamboovale.http1.connection import ConnectFailed, Connection, IncompleteResponse
from bamboovale.http1.pool import ConnectionPool
from bamboovale.http1.server import Request, Responder, Server, ServerLimits
from tests.gateway_site import eventually, free_port, run

CHUNKED = "Transfer-Encoding: chunked"
LIMITS = ServerLimits(
    head_bytes=2048,
    body_bytes=1000,
    head_timeout_s=0.3,
    body_timeout_s=0.4,
    idle_timeout_s=0.5,
)


@asynccontextmanager
async def server(seen: list[Request]) -> AsyncIterator[tuple[str, int]]:
    """Run a server that notes requests and echoes their bodies."""

    async def echo(request: Request, responder: Responder) -> None:
        seen.append(request)
        responder.answer(200, [], request.body)

    running = Server(echo, lambda: LIMITS)
    address = "127.0.0.1", await running.listen("127.0.0.1", 0)
    try:
        yield address
    finally:
        running.close()


async def send_raw(
    address: tuple[str, int], *pieces: bytes, pause_s: float = 0
) -> bytes:
    """Send bytes as they are and return all that came back until the close."""
    reader, writer = await asyncio.open_connection(*address)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(pause_s)
    try:
        return await asyncio.wait_for(reader.read(), 3.0)
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


def head(*lines: str) -> bytes:
    """Return a request's head."""
    return "\r\n".join(["POST /p HTTP/1.1", "Host: h", *lines, "", ""]).encode()


class TestBadRequests:
    """Requests that must not pass, each with its status."""

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (
                head("Content-Length: 3", "Transfer-Encoding: chunked") + b"0\r\n\r\n",
                400,
            ),
            (head("Content-Length: 3", "Content-Length: 4") + b"abcd", 400),
            (head("Content-Length: -1"), 400),
            (head("Content-Length: 5000"), 413),
            (head("X-Long: " + "x" * 4000), 431),
            (b"GET / HTTP/1.1\r\n\r\n", 400),
            (b"\x16\x03\x01 nonsense\r\n\r\n", 400),
            (head("Transfer-Encoding: gzip"), 501),
            (head("Transfer-Encoding: chunked") + b"zz\r\n", 400),
        ],
        ids=[
            "both lengths",
            "two lengths",
            "negative length",
            "body too large",
            "head too large",
            "no host",
            "no HTTP",
            "unknown coding",
            "bad chunk",
        ],
    )
    def test_it_is_refused_and_never_handled(self, data: bytes, status: int) -> None:
        """A caller sends a request that two servers could read in two ways.

        Passed on, what one of them takes for a body would be run by the other as a
        request of its own.
        """

        async def test() -> None:
            seen: list[Request] = []
            async with server(seen) as address:
                answer = await send_raw(address, data)
                assert answer.startswith(f"HTTP/1.1 {status} ".encode())
                assert seen == []

        run(test())

    def test_a_chunked_body_over_the_limit_is_refused(self) -> None:
        async def test() -> None:
            seen: list[Request] = []
            async with server(seen) as address:
                chunk = b"200\r\n" + b"x" * 512 + b"\r\n"
                sent = head("Transfer-Encoding: chunked") + chunk * 3
                answer = await send_raw(address, sent)
                assert answer.startswith(b"HTTP/1.1 413 ")
                assert seen == []

        run(test())

    def test_a_slow_head_is_given_up(self) -> None:
        """A caller opens a connection and sends its head a byte now and then."""

        async def test() -> None:
            async with server([]) as address:
                answer = await send_raw(
                    address, b"POST /p HT", b"TP/1.1\r\n", pause_s=0.2
                )
                assert answer.startswith(b"HTTP/1.1 408 ")

        run(test())

    def test_a_body_that_stops_is_given_up(self) -> None:
        async def test() -> None:
            seen: list[Request] = []
            async with server(seen) as address:
                answer = await send_raw(address, head("Content-Length: 10") + b"abc")
                assert answer.startswith(b"HTTP/1.1 408 ")
                assert seen == []

        run(test())


class TestGoodRequests:
    """Requests as callers send them."""

    def test_pipelined_and_chunked_requests_are_answered_in_order(self) -> None:
        async def test() -> None:
            seen: list[Request] = []
            async with server(seen) as address:
                first = head("Transfer-Encoding: chunked") + b"3\r\nabc\r\n0\r\n\r\n"
                second = head("Content-Length: 2", "Connection: close") + b"de"
                answer = await send_raw(address, first + second)
                assert answer.count(b"HTTP/1.1 200 ") == 2
                assert [request.body for request in seen] == [b"abc", b"de"]

        run(test())

    def test_path_and_query_stay_as_sent(self) -> None:
        async def test() -> None:
            seen: list[Request] = []
            async with server(seen) as address:
                line = b"GET /a%2Fb//c/../d?x=%20&&y HTTP/1.1\r\n"
                await send_raw(address, line + b"Host: h\r\nConnection: close\r\n\r\n")
                assert seen[0].target == "/a%2Fb//c/../d?x=%20&&y"

        run(test())

    def test_an_idle_connection_is_closed(self) -> None:
        async def test() -> None:
            async with server([]) as address:
                began = asyncio.get_running_loop().time()
                assert await send_raw(address) == b""
                assert asyncio.get_running_loop().time() - began < 1.5

        run(test())


Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def endpoint(script: Script) -> AsyncIterator[tuple[str, int]]:
    """Run an endpoint that answers as a script says, byte by byte."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await script(reader, writer)

    running = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield running.sockets[0].getsockname()[:2]
    finally:
        running.close()


async def ask(connection: Connection, body: bytes = b"") -> bytes:
    """Send a request and return the answer's body."""
    headers = [("Host", "h"), ("Content-Length", str(len(body)))]
    connection.send(h11.Request(method="POST", target="/", headers=headers), body)
    await connection.head()
    received = b""
    while (data := await connection.data()) is not None:
        received += data
    return received


class TestAnswers:
    """Answers of endpoints, whole and broken."""

    def test_an_answer_without_length_ends_with_an_orderly_close(self) -> None:
        async def test() -> None:
            async def script(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\n\r\nall of it")
                writer.close()

            async with endpoint(script) as address:
                connection = await Connection.open(*address)
                assert await ask(connection) == b"all of it"
                assert not connection.reusable

        run(test())

    def test_an_answer_without_length_that_is_reset_is_not_whole(self) -> None:
        """An endpoint crashes while it sends an answer that has no length.

        Its first half would pass for the whole answer.
        """

        async def test() -> None:
            async def script(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
                await writer.drain()
                await asyncio.sleep(0.05)
                sock = writer.get_extra_info("socket")
                no_linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
                writer.transport.abort()

            async with endpoint(script) as address:
                connection = await Connection.open(*address)
                with pytest.raises(IncompleteResponse):
                    await ask(connection)

        run(test())

    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            b"not HTTP at all\r\n\r\n",
            b"",
        ],
        ids=["short", "cut chunks", "no HTTP", "nothing"],
    )
    def test_a_broken_answer_is_told_as_broken(self, answer: bytes) -> None:
        async def test() -> None:
            async def script(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                writer.close()

            async with endpoint(script) as address:
                connection = await Connection.open(*address)
                with pytest.raises(IncompleteResponse):
                    await ask(connection)

        run(test())

    def test_a_connection_with_bytes_nobody_asked_for_is_not_used_again(self) -> None:
        """An endpoint sends more bytes after a whole answer.

        The next request on that connection would get them as its answer.
        """

        async def test() -> None:
            async def script(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await asyncio.sleep(0.1)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
                await asyncio.sleep(1.0)

            async with endpoint(script) as address:
                pool = ConnectionPool(asyncio.get_running_loop().time)
                connection = await pool.take("e", address)
                assert await ask(connection) == b"ok"
                pool.give_back("e", connection)
                await eventually(lambda: connection.closed)
                assert await pool.take("e", address) is not connection

        run(test())

    def test_an_early_answer_leaves_no_half_sent_body_behind(self) -> None:
        """An endpoint answers before it has read a long body and keeps the connection.

        The next request would land where the rest of that body is due.
        """

        async def test() -> None:
            async def script(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                await asyncio.sleep(1.0)

            async with endpoint(script) as address:
                connection = await Connection.open(*address)
                await ask(connection, b"x" * 20_000_000)
                assert not connection.reusable

        run(test())

    def test_nobody_listens(self) -> None:
        async def test() -> None:
            with pytest.raises(ConnectFailed):
                await Connection.open("127.0.0.1", free_port())

        run(test())


class TestCallersThatLeft:
    """A handler that goes on writing after the caller's connection was reset."""

    def test_many_late_pieces_write_no_line_of_the_event_loop(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against a flood of lines after a freeze, one for each event."""

        async def test() -> None:
            wrote = asyncio.Event()
            left = asyncio.Event()

            async def stream(request: Request, responder: Responder) -> None:
                responder.start(200, [])
                await responder.write(b"first")
                wrote.set()
                await left.wait()
                # No pause: the loop has not told of the reset yet.
                for _ in range(50):
                    await responder.write(b"late")

            running = Server(stream, lambda: LIMITS)
            port = await running.listen("127.0.0.1", 0)
            caller = socket.create_connection(("127.0.0.1", port))
            caller.sendall(head())
            await wrote.wait()
            reset = struct.pack("ii", 1, 0)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            caller.close()
            left.set()
            await asyncio.sleep(0.1)
            running.close()

        run(test())
        assert [r for r in caplog.records if r.name == "asyncio"] == []


class TestPool:
    """Kept connections."""

    def test_a_request_that_must_not_run_twice_gets_a_fresh_connection(
        self,
    ) -> None:
        """An endpoint drops an idle connection silently.

        The next booking would be reset, and nobody could say whether it ran.
        """

        async def test() -> None:
            async with server([]) as address:
                now = [0.0]
                pool = ConnectionPool(lambda: now[0])
                connection = await pool.take("e", address)
                await ask(connection, b"x")
                pool.give_back("e", connection)
                now[0] = 3.5
                other = await pool.take("e", address, fresh_only=True)
                assert other is not connection
                assert await pool.take("e", address) is connection

        run(test())
