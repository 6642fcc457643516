"""Clients that do not behave: what a crowd of them may hold in a process is bounded.

Each test presses a VM with low limits, and checks that it lives, that its memory and
descriptors stay within its machine's, and that ordinary requests are answered.
"""

import asyncio
import itertools
import signal
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import pytest

from bench.routed import MODEL
from tests.hostile_site import (
    BODY_BYTES,
    CLIENTS,
    CONNECTIONS,
    HEAD_BYTES,
    LONG_ANSWER_BYTES,
    LOW_MEMORY_MB,
    MANY_FDS,
    MIB,
    Client,
    HostileSite,
    again_and_again,
    ask_on,
    pressing,
    read_slowly,
    request,
    running_site,
    send_all,
    send_slowly,
)

pytestmark = pytest.mark.alone

SENT_BYTES = 64 * MIB
NAME_BYTES = 12 * 1024
"""Of a name in a head that is inside its limit."""
SHORT_ANSWER_BYTES = 512 * 1024
"""Of an answer of which as many as a port has connections are inside the bounds."""
PIECE = b"a" * 65536
DOORS = ("front", "directory", "ready", "monitoring")
"""Where a VM takes requests."""
ALL_DOORS = (*DOORS, "peers")
_numbers = itertools.count(1)

MakeClient = Callable[[HostileSite], Client]


def run(test: Awaitable[None]) -> None:
    """Run the body of a test; it waits for answers, not for a time."""
    asyncio.run(asyncio.wait_for(test, 110.0))


async def press(
    directory: Path, make_client: MakeClient, count: int = CLIENTS, **limits: int
) -> None:
    """Press one VM with a crowd; it serves while the crowd presses, and after."""
    async with running_site(directory, **limits) as site:
        async with pressing(make_client(site), count):
            await site.check_serves(site.vms[0])
        await site.check_serves(site.vms[0])
        site.check_bounds()


def chunks(size: int, total: int) -> Iterator[bytes]:
    """Yield a body in chunks, without its end."""
    piece = b"%x\r\n%s\r\n" % (size, b"a" * size)
    together = max(1, len(PIECE) // len(piece))
    for _ in range(total // (size * together)):
        yield piece * together


def plain(size: int) -> Iterator[bytes]:
    """Yield a body."""
    for _ in range(size // len(PIECE)):
        yield PIECE
    yield b"a" * (size % len(PIECE))


def sends(
    door: str, field: str, body: Callable[[], Iterator[bytes]], path: str = "/check/1"
) -> MakeClient:
    """Return clients that send bodies at a door, and do so anew once refused."""

    def make(site: HostileSite) -> Client:
        address = site.address_of(site.vms[0], door)

        async def send() -> None:
            await send_all(address, request(path, next(_numbers), field), body())

        return lambda: again_and_again(send)

    return make


def reads(
    path: str, *fields: str, copies: int = 1, body: bytes = b"hello"
) -> MakeClient:
    """Return clients that ask the first VM for long answers and read them slowly."""
    length = f"Content-Length: {len(body)}"

    def make(site: HostileSite) -> Client:
        address = site.address_of(site.vms[0], "front")

        async def read() -> None:
            data = b"".join(
                request(path, next(_numbers), "X-Long: 1", length, *fields) + body
                for _ in range(copies)
            )
            await read_slowly(address, data)

        return lambda: again_and_again(read)

    return make


def asks_for_adapters(site: HostileSite) -> Client:
    """Return clients that ask for one adapter after the other that nobody has."""
    address = site.address_of(site.vms[0], "front")

    def requests() -> Iterator[bytes]:
        while True:
            number = next(_numbers)
            adapter = f"{number}-" + "n" * NAME_BYTES
            fields = ("X-Token-Count: 100,2", f"X-Model: {MODEL}/{adapter}")
            yield request("/chat/1", number, "Content-Length: 2", *fields) + b"hi"

    return lambda: again_and_again(lambda: ask_on(address, requests()))


def connects(door: str, data: bytes) -> MakeClient:
    """Return clients that connect, send a few bytes and stay, or come back."""

    def make(site: HostileSite) -> Client:
        address = site.address_of(site.vms[0], door)
        return lambda: again_and_again(lambda: send_all(address, data))

    return make


def head_of_short_lines() -> bytes:
    """Return a head that takes much more memory than it has bytes."""
    lines = ["a:"] * ((HEAD_BYTES - 512) // 5)
    return request("/check/1", 1, *lines, f"Content-Length: {BODY_BYTES}")


MANY_CONNECTIONS = {"memory_mb": LOW_MEMORY_MB, "max_fds": MANY_FDS}
LONG_STREAM = reads("/chat/1", "X-Model: base/a1", "X-Token-Count: 100,20")


class TestBodies:
    """Bodies that a crowd sends."""

    @pytest.mark.parametrize("door", DOORS)
    def test_announced_far_over_the_limit(self, tmp_path: Path, door: str) -> None:
        """Guards against keeping what comes after a refused head."""
        field = f"Content-Length: {SENT_BYTES}"
        run(press(tmp_path, sends(door, field, lambda: plain(SENT_BYTES))))

    @pytest.mark.parametrize("door", DOORS)
    def test_just_sent_far_over_the_limit(self, tmp_path: Path, door: str) -> None:
        """Guards against bodies of which each is cut off at the limit, all are not."""
        field = "Transfer-Encoding: chunked"
        run(press(tmp_path, sends(door, field, lambda: chunks(32768, SENT_BYTES))))

    @pytest.mark.parametrize("door", DOORS)
    def test_inside_the_limit_without_an_end(self, tmp_path: Path, door: str) -> None:
        """Guards against bodies that are inside the limit and never whole."""
        field = f"Content-Length: {BODY_BYTES}"
        run(press(tmp_path, sends(door, field, lambda: plain(BODY_BYTES - 1))))

    def test_in_tiny_chunks(self, tmp_path: Path) -> None:
        """Guards against chunks that take more memory than they have bytes."""
        field = "Transfer-Encoding: chunked"
        run(press(tmp_path, sends("front", field, lambda: chunks(2, BODY_BYTES // 2))))

    def test_whole_ones_that_all_wait(self, tmp_path: Path) -> None:
        """Guards against many whole bodies of requests that are under way."""
        field = f"Content-Length: {BODY_BYTES}"
        body = sends("front", field, lambda: plain(BODY_BYTES), "/book/1")
        run(press(tmp_path, body))


class TestHeads:
    """Heads that a crowd sends."""

    @pytest.mark.parametrize("door", DOORS)
    def test_of_many_short_lines(self, tmp_path: Path, door: str) -> None:
        """Guards against heads that take more memory than they have bytes."""
        run(press(tmp_path, connects(door, head_of_short_lines()), CONNECTIONS))


class TestLargeCrowds:
    """Crowds that have as many connections as they like."""

    def test_bodies_without_an_end(self, tmp_path: Path) -> None:
        """Guards against what is received in one go, from all at once."""
        field = f"Content-Length: {BODY_BYTES}"
        body = sends("front", field, lambda: plain(BODY_BYTES - 1))
        run(press(tmp_path, body, CONNECTIONS, **MANY_CONNECTIONS))

    def test_heads_of_many_short_lines(self, tmp_path: Path) -> None:
        """Guards against heads that are read while cut ones are still let go of."""
        heads = connects("front", head_of_short_lines())
        run(press(tmp_path, heads, CONNECTIONS, **MANY_CONNECTIONS))

    def test_bodies_in_tiny_chunks(self, tmp_path: Path) -> None:
        """Guards against a pass of the loop in which each of a crowd has its turn."""
        field = "Transfer-Encoding: chunked"
        body = sends("front", field, lambda: chunks(2, BODY_BYTES // 2))
        run(press(tmp_path, body, CONNECTIONS, **MANY_CONNECTIONS))

    def test_streams(self, tmp_path: Path) -> None:
        """Guards against what engines sent and slow callers have not taken."""
        run(press(tmp_path, LONG_STREAM, CONNECTIONS, **MANY_CONNECTIONS))

    def test_handshakes_with_long_heads(self, tmp_path: Path) -> None:
        """Guards against what is received before a peer is authenticated."""
        lines = [f"x-{number}: " + "a" * 8000 for number in range(120)]
        head = "\r\n".join(["GET / HTTP/1.1", *lines, ""]).encode()
        run(press(tmp_path, connects("peers", head), CONNECTIONS, **MANY_CONNECTIONS))

    def test_heads_that_come_in_pieces(self, tmp_path: Path) -> None:
        """Guards against heads that seem to be short when their first bytes come."""
        head = head_of_short_lines()

        def make(site: HostileSite) -> Client:
            address = site.address_of(site.vms[0], "front")

            async def send() -> None:
                await send_slowly(address, head[:200], head[200:])

            return lambda: again_and_again(send)

        run(press(tmp_path, make, CONNECTIONS, **MANY_CONNECTIONS))

    def test_requests_behind_answers_that_are_not_read(self, tmp_path: Path) -> None:
        """Guards against requests sent ahead that fill what may be read ahead."""
        client = reads("/check/1", body=b"a" * 256 * 1024, copies=4)
        run(press(tmp_path, client, CONNECTIONS, **MANY_CONNECTIONS))


class TestSlowReaders:
    """Long answers that a crowd reads slowly."""

    def test_answers_of_plain_services(self, tmp_path: Path) -> None:
        """Guards against whole answers that wait for their clients."""
        run(press(tmp_path, reads("/check/1")))

    def test_streams(self, tmp_path: Path) -> None:
        """Guards against streams that are read faster than they are taken."""
        run(press(tmp_path, LONG_STREAM))

    def test_answers_that_pile_up_on_a_connection(self, tmp_path: Path) -> None:
        """Guards against answering on while earlier answers are not taken."""
        run(press(tmp_path, reads("/check/1", copies=8), CLIENTS // 8))

    def test_bodies_too_are_long(self, tmp_path: Path) -> None:
        """Guards against counting what is received, or what is sent, but not both."""
        run(press(tmp_path, reads("/check/1", body=b"a" * MIB)))

    def test_state_of_the_vm(self, tmp_path: Path) -> None:
        """Guards against answers for operators that pile up on connections."""
        data = request("/metrics", 1, method="GET") * 512

        def make(site: HostileSite) -> Client:
            address = site.address_of(site.vms[0], "monitoring")
            return lambda: again_and_again(lambda: read_slowly(address, data))

        run(press(tmp_path, make))


class TestConnections:
    """Connections that a crowd opens."""

    @pytest.mark.parametrize("door", ALL_DOORS)
    def test_idle(self, tmp_path: Path, door: str) -> None:
        """Guards against descriptors that are all taken at one door."""
        run(press(tmp_path, connects(door, b""), CONNECTIONS))

    @pytest.mark.parametrize("door", ALL_DOORS)
    def test_with_unfinished_heads(self, tmp_path: Path, door: str) -> None:
        """Guards against connections that seem to be busy."""
        begun = request("/check/1", 1)[:-2]
        run(press(tmp_path, connects(door, begun), CONNECTIONS))

    def test_with_answers_that_are_not_read(self, tmp_path: Path) -> None:
        """Guards against slow readers that keep all descriptors."""
        run(press(tmp_path, LONG_STREAM, 2 * CLIENTS))

    def test_with_last_answers_that_are_read_slowly(self, tmp_path: Path) -> None:
        """Guards against connections that are ending and keep others out."""
        answer = f"X-Long-Bytes: {SHORT_ANSWER_BYTES}"
        client = reads("/check/1", answer, "Connection: close")
        run(press(tmp_path, client, 2 * CLIENTS))

    def test_with_requests_behind_answers_that_are_not_read(
        self, tmp_path: Path
    ) -> None:
        """Guards against requests sent ahead that keep others out."""
        answer = f"X-Long-Bytes: {SHORT_ANSWER_BYTES // 2}"
        client = reads("/check/1", answer, copies=8)
        run(press(tmp_path, client, 2 * CLIENTS))


class TestNames:
    """Small requests with long names, in heads that are inside the limit."""

    def test_of_adapters_that_nobody_has(self, tmp_path: Path) -> None:
        """Guards against a memory of adapters that clients make up."""
        run(press(tmp_path, asks_for_adapters))


class TestStops:
    """A crowd that presses a VM which stops."""

    @pytest.mark.parametrize(
        "client",
        [
            LONG_STREAM,
            reads("/check/1"),
            sends("front", f"Content-Length: {BODY_BYTES}", lambda: plain(BODY_BYTES)),
        ],
        ids=["streams", "answers", "bodies"],
    )
    def test_the_stop_ends_within_bounds(
        self, tmp_path: Path, client: MakeClient
    ) -> None:
        """Guards against handing all over to the kernel as the process exits."""

        async def test() -> None:
            async with running_site(tmp_path, vms=2) as site:
                stopped, other = site.vms
                async with pressing(client(site), CLIENTS):
                    stopped.signal(signal.SIGTERM)
                    await stopped._wait_for_exit()
                await site.check_serves(other)
                site.check_bounds(ended=stopped)

        run(test())


class TestRelays:
    """A crowd at a VM for which another one sends."""

    @pytest.mark.parametrize(
        "client",
        [LONG_STREAM, reads("/check/1"), reads("/check/1", body=b"a" * 2 * MIB)],
        ids=["streams", "answers", "bodies"],
    )
    def test_both_stay_within_bounds(self, tmp_path: Path, client: MakeClient) -> None:
        """Guards against memory of the VM that sends for another one."""

        async def test() -> None:
            async with running_site(tmp_path, vms=2) as site:
                cut, other = site.vms
                site.cut_from_endpoints(cut)
                async with pressing(client(site), CLIENTS):
                    await site.check_serves(other)
                await site.check_serves(cut)
                await site.check_serves(other)
                site.check_bounds()

        run(test())


class TestOneRequest:
    """A single client inside the limits, in calm."""

    def test_of_the_largest_size_is_served(self, tmp_path: Path) -> None:
        """Guards against bounds that a client inside the limits meets."""

        async def test() -> None:
            async with running_site(tmp_path) as site:
                address = site.address_of(site.vms[0], "front")
                field = f"Content-Length: {BODY_BYTES}"
                head = request("/check/1", 1, field, "X-Long: 1")
                reader, writer = await asyncio.open_connection(*address)
                writer.write(head + b"a" * BODY_BYTES)
                answer = await reader.readuntil(b"\r\n\r\n")
                assert answer.startswith(b"HTTP/1.1 200 ")
                assert await reader.readexactly(6 * MIB) == b"a" * 6 * MIB
                writer.close()
                site.check_bounds()

        run(test())

    def test_a_slow_reader_gets_all_of_a_long_answer(self, tmp_path: Path) -> None:
        """Guards against cutting a client that is inside the limits, without need."""

        async def test() -> None:
            async with running_site(tmp_path) as site:
                address = site.address_of(site.vms[0], "front")
                reader, writer = await asyncio.open_connection(*address, limit=4096)
                writer.write(request("/check/1", 1, "X-Long: 1", "Content-Length: 0"))
                answer = await reader.readuntil(b"\r\n\r\n")
                assert answer.startswith(b"HTTP/1.1 200 ")
                left = LONG_ANSWER_BYTES
                while left:
                    piece = await reader.readexactly(min(left, 64 * 1024))
                    left -= len(piece)
                    await asyncio.sleep(0.05)
                writer.close()
                site.check_bounds()

        run(test())
