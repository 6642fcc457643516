"""Bounds of what all clients hold: who is refused, cut or let go, and how."""

import asyncio
import contextlib
import gc
import socket
import weakref
from sys import getsizeof
from types import SimpleNamespace
from typing import Any

import h11
import pytest

from bamboovale.event_loop import loop_factory
from bamboovale.gateway.events import EventBuffer
from bamboovale.http1.connection import ConnectFailed
from bamboovale.http1.connection_limit import ConnectionLimit
from bamboovale.http1.memory import MIB, MemoryBudget
from bamboovale.http1.pool import ConnectionPool
from bamboovale.http1.request import Request
from bamboovale.http1.responder import Responder
from bamboovale.http1.server import Server
from bamboovale.http1.server_connection import SHORT_CHUNKS_A_TURN, ServerConnection
from bamboovale.platform.requests import decode_call
from bamboovale.streams.exchange import StartExchange
from bamboovale.streams.source import StreamSource
from tests.gateway_site import eventually, run
from tests.test_http1_flow_control import FakeTransport

ANSWER = b"x" * 8 * MIB
LONG_NAME = "n" * 12 * 1024
HOST = [(b"host", b"a")]
SHORT_CHUNKS = (
    b"POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"2\r\naa\r\n" * 10_000
)
KERNEL_FACTOR = 2
"""The kernel takes twice what it is told, for its own records."""


async def serve_late(request: Request, responder: Responder) -> None:
    """Answer ``/long`` at length, any other request after a while."""
    if request.target == "/long":
        responder.answer(200, [], ANSWER)
        return
    await asyncio.sleep(0.3)
    responder.answer(200, [], b"served")


async def serve_unframed(request: Request, responder: Responder) -> None:
    """Answer without a length."""
    responder.start(200, [])
    responder._connection.write_data(ANSWER)
    responder.finish()


def nonblocking(port: int) -> socket.socket:
    """Return a client that does not wait until it is connected."""
    client = socket.socket()
    client.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        client.connect(("127.0.0.1", port))
    return client


async def connect(port: int, data: bytes) -> socket.socket:
    """Return a client with a small receive buffer that has sent bytes."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(("127.0.0.1", port))
    await asyncio.to_thread(client.sendall, data)
    client.settimeout(5.0)
    return client


def receive(client: socket.socket) -> tuple[bytes, bool]:
    """Return what a client gets, and whether its connection ended in order."""
    received = b""
    try:
        while data := client.recv(65536):
            received += data
    except ConnectionError:
        return received, False
    return received, True


def is_served(client: socket.socket) -> bool:
    """Return whether a client gets its whole answer."""
    received = b""
    while not received.endswith(b"served"):
        data = client.recv(4096)
        if not data:
            return False
        received += data
    return True


def ending(server: Server) -> int:
    """Return how many connections close once their clients have read."""
    return sum(item._transport.is_closing() for item in server.connections)


def waits_behind(connection: ServerConnection) -> bool:
    """Return whether requests wait behind two answers that are not taken."""
    is_full = connection.unsent_bytes > len(ANSWER)
    return is_full and connection._flow.waiting_bytes > 0


class TestMemory:
    """A budget that is used up."""

    def test_a_request_that_is_not_whole_is_refused(self) -> None:
        """Guards against a refusal without a promise that the request has not run."""

        async def test() -> None:
            handled: list[str] = []

            async def handle(request: Request, responder: Responder) -> None:
                handled.append(request.target)

            server = Server(handle, memory=MemoryBudget(MIB))
            port = await server.listen("127.0.0.1", 0)
            head = b"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 1200000\r\n\r\n"
            client = await connect(port, head)
            await eventually(lambda: server.connections)
            await asyncio.to_thread(client.sendall, b"x" * 1_100_000)
            answer, _ = await asyncio.to_thread(receive, client)
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"retry-after: 1\r\n" in answer
            assert not handled
            server.close()

        run(test())

    def test_the_largest_goes_and_a_small_one_stays(self) -> None:
        """Guards against ordinary callers that are cut for a greedy one."""

        async def test() -> None:
            shed: list[int] = []
            server = Server(serve_late, memory=MemoryBudget(4 * MIB, shed.append))
            port = await server.listen("127.0.0.1", 0)
            small = await connect(port, b"GET /s HTTP/1.1\r\nHost: a\r\n\r\n")
            large = await connect(port, b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
            await eventually(lambda: shed)
            assert await asyncio.to_thread(is_served, small)
            received, _ = await asyncio.to_thread(receive, large)
            assert len(received) < len(ANSWER)
            server.close()

        run(test())

    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    def test_a_cut_answer_does_not_look_whole(self, version: str) -> None:
        """Guards against the regular end of an answer whose rest was dropped."""

        async def test() -> None:
            shed: list[int] = []
            server = Server(serve_unframed, memory=MemoryBudget(4 * MIB, shed.append))
            port = await server.listen("127.0.0.1", 0)
            head = f"GET / HTTP/{version}\r\nHost: a\r\n\r\n"
            client = await connect(port, head.encode())
            await eventually(lambda: shed)
            received, in_order = await asyncio.to_thread(receive, client)
            assert len(received) < len(ANSWER)
            assert not in_order
            server.close()

        run(test())


class TestTurns:
    """A connection that has much to be parsed."""

    def test_a_body_in_short_chunks_does_not_hold_others_up(self) -> None:
        """Guards against a pass of the loop that parses all that was received."""

        async def handle(request: Request, responder: Responder) -> None:
            responder.answer(200, [], b"")

        async def test() -> None:
            server = Server(handle)
            connection = ServerConnection(server)
            connection.connection_made(FakeTransport())
            await asyncio.sleep(0)
            connection.data_received(SHORT_CHUNKS)
            for _ in range(3):
                await asyncio.sleep(0)
            assert 0 < len(connection._body) < 20_000
            connection.connection_lost(None)

        asyncio.run(test())

    def test_one_of_many_goes_on_in_a_pass(self) -> None:
        """Guards against a crowd whose members each take little of the loop's time."""

        async def test() -> None:
            server = Server(serve_late)
            connections = [ServerConnection(server) for _ in range(20)]
            for connection in connections:
                connection.connection_made(FakeTransport())
            await asyncio.sleep(0)
            for connection in connections:
                connection.data_received(SHORT_CHUNKS)
            for _ in range(3):
                await asyncio.sleep(0)
            first_turn = 2 * SHORT_CHUNKS_A_TURN
            sizes = [len(connection._body) for connection in connections]
            assert sizes.count(first_turn) >= len(connections) - 3
            for connection in connections:
                connection.connection_lost(None)

        asyncio.run(test())


class TestStop:
    """Slow readers of a process that stops."""

    def test_they_share_what_the_kernel_takes_over(self) -> None:
        """Guards against a large buffer for each, whatever their number."""

        async def test() -> None:
            release = asyncio.Event()

            async def serve_at_the_end(request: Request, responder: Responder) -> None:
                await release.wait()
                responder.answer(200, [], b"served")

            server = Server(serve_at_the_end, memory=MemoryBudget(16 * MIB))
            port = await server.listen("127.0.0.1", 0)
            get = b"GET /s HTTP/1.1\r\nHost: a\r\n\r\n"
            clients = [await connect(port, get) for _ in range(64)]
            await eventually(lambda: server.busy == len(clients))
            server.hasten()
            sizes = [
                connection._transport.get_extra_info("socket").getsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF
                )
                for connection in server.connections
            ]
            assert sum(sizes) <= KERNEL_FACTOR * 16 * MIB
            release.set()
            server.close()
            for client in clients:
                client.close()

        run(test())


class TestClientsThatLeave:
    """Clients that close their connections in the middle of a request."""

    @pytest.mark.parametrize("is_whole", [False, True], ids=["begun", "whole"])
    def test_nothing_of_them_is_kept(self, is_whole: bool) -> None:
        """Guards against bodies that wait for the collector of cyclic garbage."""

        async def test() -> None:
            async def wait(request: Request, responder: Responder) -> None:
                await asyncio.sleep(60.0)

            server = Server(wait)
            port = await server.listen("127.0.0.1", 0)
            body = b"a" * (MIB if is_whole else MIB - 1)
            head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % MIB
            client = await connect(port, head + body)
            await eventually(lambda: server.busy == 1)
            [kept] = [weakref.ref(item) for item in server.connections]
            client.close()
            await eventually(lambda: not server.connections)
            await eventually(lambda: kept() is None)
            server.close()

        gc.disable()
        try:
            run(test())
        finally:
            gc.enable()


class TestNames:
    """Names in small requests, of which something is kept after them."""

    def test_a_connection_remembers_short_ids(self) -> None:
        """Guards against ids of callers that are kept in full, however long."""

        async def test() -> None:
            server = Server(serve_late)
            address = "127.0.0.1", await server.listen("127.0.0.1", 0)
            pool = ConnectionPool(asyncio.get_running_loop().time)
            connection = await pool.take("a", address, request_id=LONG_NAME)
            connection.reusable = True
            pool.give_back("a", connection)
            assert sum(map(len, connection.carried_ids)) < len(LONG_NAME)
            assert pool.take_kept("a", request_id=LONG_NAME) is None
            assert pool.take_kept("a", request_id=LONG_NAME + "n") is connection
            pool.close()
            server.close()

        run(test())

    def test_a_stream_that_nobody_can_name_is_not_remembered(self) -> None:
        """Guards against starts of streams under ids of any length."""
        records = SimpleNamespace(writer=lambda: None, add=lambda began: None)
        exchange = StartExchange(
            "vm", None, list, None, None, records, lambda: 0.0, lambda: 0.0
        )
        source = StreamSource("llm", 1)
        exchange.on_first_event((LONG_NAME,), source, None, 10.0)
        assert len(exchange.starts) == 0
        exchange.on_first_event(("short", LONG_NAME), source, None, 10.0)
        assert len(exchange.starts) == 1

    def test_many_parts_of_a_prompt(self) -> None:
        """Guards against a head whose parts take more memory than its text."""
        parts = b",".join(b"%02x:1" % (number % 256) for number in range(2_000))
        headers = [(b"x-request-id", b"1"), (b"x-model", b"base/a1")]
        headers.append((b"x-prompt-prefix", parts))
        work = decode_call(Request("POST", "/", headers, b"", 0.0)).work
        assert work is not None
        assert 0 < sum(map(getsizeof, work.prompt_parts)) < len(parts)


class TestEndpointAnswers:
    """What endpoints send for callers."""

    def test_it_is_told_as_it_comes(self) -> None:
        """Guards against answers that fill what may be read ahead and are not known."""

        async def test() -> None:
            told: list[int] = []
            server = Server(serve_late)
            address = "127.0.0.1", await server.listen("127.0.0.1", 0)
            pool = ConnectionPool(asyncio.get_running_loop().time)
            pool.tell_received(told.append)
            connection = await pool.take("a", address)
            connection.send(
                h11.Request(method="GET", target="/long", headers=HOST), b""
            )
            await eventually(lambda: sum(told) > MIB // 8)
            assert connection.held_bytes() >= sum(told)
            pool.close()
            server.close()

        run(test())

    def test_a_part_of_an_event_counts(self) -> None:
        """Guards against events that are large and never whole."""
        events = EventBuffer()
        assert events.feed(b"data: " + b"a" * 1000) == []
        assert events.partial_bytes > 1000


class TestEndpointConnections:
    """A pool that has as many connections as it may have."""

    def test_an_idle_one_makes_room_and_a_busy_one_does_not(self) -> None:
        """Guards against requests that together take all descriptors."""

        async def test() -> None:
            server = Server(serve_late)
            address = "127.0.0.1", await server.listen("127.0.0.1", 0)
            pool = ConnectionPool(asyncio.get_running_loop().time)
            pool.limit(2, lambda: None)
            first = await pool.take("a", address)
            await pool.take("b", address)
            with pytest.raises(ConnectFailed):
                await pool.take("c", address)
            first.reusable = True
            pool.give_back("a", first)
            await pool.take("c", address)
            assert first.closed
            pool.close()
            server.close()

        run(test())


class TestConnections:
    """A port that has as many connections as it may have."""

    def test_who_waits_for_nothing_goes_first(self) -> None:
        """Guards against callers with a request that make room for new ones."""

        async def test() -> None:
            server = Server(serve_late, connection_limit=ConnectionLimit(2))
            port = await server.listen("127.0.0.1", 0)
            idle = await connect(port, b"")
            await eventually(lambda: len(server.connections) == 1)
            busy = await connect(port, b"GET /s HTTP/1.1\r\nHost: a\r\n\r\n")
            await eventually(lambda: server.busy == 1)
            new = await connect(port, b"GET /s HTTP/1.1\r\nHost: a\r\n\r\n")
            assert await asyncio.to_thread(receive, idle) == (b"", True)
            for client in (busy, new):
                assert await asyncio.to_thread(is_served, client)
            server.close()

        run(test())

    def test_a_new_one_goes_if_all_have_requests(self) -> None:
        """Guards against cutting requests that are under way."""

        async def test() -> None:
            server = Server(serve_late, connection_limit=ConnectionLimit(1))
            port = await server.listen("127.0.0.1", 0)
            busy = await connect(port, b"GET /s HTTP/1.1\r\nHost: a\r\n\r\n")
            await eventually(lambda: server.busy == 1)
            new = await connect(port, b"")
            received, _ = await asyncio.to_thread(receive, new)
            assert received == b""
            assert await asyncio.to_thread(is_served, busy)
            server.close()

        run(test())

    @pytest.mark.parametrize(
        "new_loop",
        [asyncio.new_event_loop, loop_factory()],
        ids=["asyncio", "preferred"],
    )
    def test_several_that_come_at_once_make_room_for_each(self, new_loop: Any) -> None:
        """Guards against one old connection that makes room for several new ones."""

        async def test() -> None:
            limit = ConnectionLimit(40)
            server = Server(serve_late, connection_limit=limit)
            port = await server.listen("127.0.0.1", 0)
            clients: list[socket.socket] = []
            for _ in range(20):
                clients += [nonblocking(port) for _ in range(limit.backlog - 2)]
                await asyncio.sleep(0.05)
            open_connections = len(server.connections)
            server.close()
            for client in clients:
                client.close()
            assert open_connections <= limit.most

        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(asyncio.wait_for(test(), 30.0))

    def test_ending_ones_make_room(self) -> None:
        """Guards against last answers that are not read and keep others out."""

        async def test() -> None:
            server = Server(serve_late, connection_limit=ConnectionLimit(2))
            port = await server.listen("127.0.0.1", 0)
            last = b"GET /long HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            slow = [await connect(port, last) for _ in range(2)]
            await eventually(lambda: ending(server) == 2)
            new = await connect(port, b"GET /s HTTP/1.1\r\nHost: a\r\n\r\n")
            assert await asyncio.to_thread(is_served, new)
            server.close()
            for client in slow:
                client.close()

        run(test())

    def test_requests_behind_answers_that_are_not_read_make_room(self) -> None:
        """Guards against requests behind unread answers that keep others out."""

        async def test() -> None:
            server = Server(serve_late, connection_limit=ConnectionLimit(2))
            port = await server.listen("127.0.0.1", 0)
            ahead = b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n" * 8
            slow = [await connect(port, ahead) for _ in range(2)]
            await eventually(
                lambda: all(waits_behind(item) for item in server.connections)
            )
            new = await connect(port, b"GET /s HTTP/1.1\r\nHost: a\r\n\r\n")
            assert await asyncio.to_thread(is_served, new)
            server.close()
            for client in slow:
                client.close()

        run(test())
