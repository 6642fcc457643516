"""Answers of the metadata store that stop early or are empty."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable, Iterator

import pytest

from bamboovale.http1.pool import ConnectionPool
from bamboovale.platform.store import StoreClient
from bamboovale.store.eras import StoreEras
from bamboovale.store.interface import Part, Snapshot, StoreError
from bamboovale.store.position import Position
from tests.cut_answers import CLOSE, RESET, CuttingServer
from tests.gateway_site import RecordedJournal

OK_HEAD = b"HTTP/1.1 200 OK\r\n"
START = Position.at(0, 0)


def record(key: bytes, value: bytes) -> bytes:
    """Return a keyed record as the store sends it."""
    content = bytes([len(key)]) + key + value
    return len(content).to_bytes(4, "big") + content


def records_of(end: int, *records: bytes) -> bytes:
    """Return the body of a read."""
    return end.to_bytes(8, "big") + bytes(8) + b"".join(records)


ITEM = {"key": "a", "value": base64.b64encode(b"one").decode(), "offset": 0}
Read = Callable[[StoreClient], Awaitable[object]]
READS: dict[str, tuple[Read, bytes]] = {
    "newest": (
        lambda client: client.newest("keyed.op"),
        json.dumps({"items": [ITEM], "more": False, "end": 1}).encode(),
    ),
    "read": (
        lambda client: client.read("keyed.op", START, 0.0),
        records_of(2, record(b"a", b"one"), record(b"b", b"two")),
    ),
    "join": (
        lambda client: client.join("g", "m", ["t"], 1.0, 0, 1.0),
        json.dumps({"generation": 1, "parts": [["t", 0, 0]]}).encode(),
    ),
    "members": (
        lambda client: client.members("g"),
        json.dumps({"parts": [["t", 0, "m", 0]]}).encode(),
    ),
}
each_read = pytest.mark.parametrize("name", READS)


@pytest.fixture
def server() -> Iterator[CuttingServer]:
    """Run a server in place of the store."""
    with CuttingServer().running() as running:
        yield running


def client_of(server: CuttingServer) -> StoreClient:
    """Return a client with connections of its own."""
    journal = RecordedJournal("vm")
    pool = ConnectionPool(asyncio.get_running_loop().time)
    return StoreClient(lambda: server.address, pool, StoreEras(journal, lambda: 0.0))


def with_length(body: bytes) -> bytes:
    """Return a whole answer."""
    return OK_HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


class TestCutAnswers:
    """Answers that the store does not send to their end."""

    @each_read
    @pytest.mark.parametrize("how", [CLOSE, RESET])
    def test_a_cut_answer_is_a_failure(
        self, server: CuttingServer, name: str, how: str
    ) -> None:
        """Guards against lists that are short or empty as their answer was cut."""
        read, body = READS[name]
        data = with_length(body)

        async def test() -> None:
            for cut in range(len(data)):
                server.data, server.how = data[:cut], how
                with pytest.raises(StoreError):
                    await read(client_of(server))

        asyncio.run(test())

    @pytest.mark.parametrize("name", ["newest", "join", "members"])
    def test_a_cut_document_without_a_length_is_a_failure(
        self, server: CuttingServer, name: str
    ) -> None:
        read, body = READS[name]

        async def test() -> None:
            for cut in range(len(body)):
                server.data = OK_HEAD + b"\r\n" + body[:cut]
                with pytest.raises(StoreError):
                    await read(client_of(server))

        asyncio.run(test())

    def test_of_a_cut_read_without_a_length_whole_records_count(
        self, server: CuttingServer
    ) -> None:
        """Guards against a value that is cut, and a topic that seems to have ended."""
        _, body = READS["read"]
        ends = [16 + len(record(b"a", b"one")), len(body)]

        async def test() -> None:
            for cut in range(len(body) + 1):
                server.data = OK_HEAD + b"\r\n" + body[:cut]
                client = client_of(server)
                if cut < ends[0]:
                    with pytest.raises(StoreError):
                        await client.read("keyed.op", START, 0.0)
                    continue
                part = await client.read("keyed.op", START, 0.0)
                count = sum(cut >= end for end in ends)
                values = [item.value for item in part.records]
                assert values == [b"one", b"two"][:count]
                assert part.following == count
                assert part.is_last == (count == 2)

        asyncio.run(test())


class TestOddAnswers:
    """Whole answers that hold not what was asked for."""

    @each_read
    @pytest.mark.parametrize(
        "body", [b"", b"{}", b"[]", b"null", b"1", b'{"parts": 1}']
    )
    def test_one_without_a_list_is_a_failure(
        self, server: CuttingServer, name: str, body: bytes
    ) -> None:
        """Guards against an empty answer that reads as an empty list, or ends a VM."""
        read, _ = READS[name]

        async def test() -> None:
            server.data = with_length(body)
            with pytest.raises(StoreError):
                await read(client_of(server))

        asyncio.run(test())

    def test_an_empty_page_that_is_not_the_last_is_a_failure(
        self, server: CuttingServer
    ) -> None:
        """Guards against a part of a topic that reads as all of it."""

        async def test() -> None:
            server.data = with_length(b'{"items": [], "more": true, "end": 3}')
            with pytest.raises(StoreError):
                await client_of(server).newest("keyed.op")

        asyncio.run(test())

    def test_an_empty_list_is_one(self, server: CuttingServer) -> None:
        async def test() -> None:
            server.data = with_length(b'{"items": [], "end": 3}')
            snapshot = await client_of(server).newest("keyed.op")
            assert snapshot == Snapshot((), Position.at(0, 3))
            server.data = with_length(b'{"parts": []}')
            assert await client_of(server).members("g") == frozenset()
            server.data = with_length(records_of(3))
            after = Position.at(0, 3)
            read = await client_of(server).read("keyed.op", after, 0.0)
            assert read == Part((), after)

        asyncio.run(test())
