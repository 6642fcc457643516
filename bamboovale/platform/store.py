"""Client of the platform's metadata store: keyed topics and group membership."""

import asyncio
import base64
import contextlib
import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import h11

from bamboovale.decoding import to_int
from bamboovale.errors import describe
from bamboovale.http1.body import read_body
from bamboovale.http1.connection import (
    ConnectFailed,
    Headers,
    IncompleteResponse,
    ResponseHead,
)
from bamboovale.http1.pool import ConnectionPool
from bamboovale.platform.names import STORE_ERA
from bamboovale.store.eras import StoreEras
from bamboovale.store.interface import (
    HistoryLostError,
    KeyedRecord,
    Membership,
    NoAnswerError,
    Part,
    Partition,
    Snapshot,
    StoreError,
)
from bamboovale.store.position import Position

CALL_TIMEOUT_S = 1.5
"""Well above the answer time of a slow store."""
MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Twice what a page or a read of 1 MiB takes, with its encoding."""
READ_HEAD_BYTES = 16
"""The topic's end and its first offset, before the records of a read."""
END_BYTES = 8
SIZE_BYTES = 4
STORE_ID = "store"
OK = 200
GONE = 410


@dataclass(frozen=True)
class _Answer:
    """The body of an answer, and the era in which the store gave it."""

    body: bytes
    era: int

    def document(self) -> Any:
        """Return the decoded body; raises ValueError."""
        return json.loads(self.body)


@dataclass(frozen=True)
class _Page:
    """Newest records of a topic, and the topic's end when they were read.

    ``last_key`` is that of the last record as the store names it.
    """

    records: tuple[KeyedRecord, ...]
    end: Position
    has_more: bool
    last_key: str | None


@contextlib.contextmanager
def _decoding(name: str) -> Iterator[None]:
    """Raise StoreError for an answer that is malformed, or empty where it may not be.

    Guards against an answer without a length that stops early, and reads as few or no
    records.
    """
    try:
        yield
    except Exception as error:
        raise StoreError(f"{name}: malformed answer: {describe(error)}") from error


class StoreClient:
    """HTTP client of the store; every method raises StoreError.

    ``address`` is called before each request, as the settings may change. ``eras``
    hears of the era of each answer; one of an era that is over counts as a failure.
    ``on_call`` is called with the name of each request.
    """

    def __init__(
        self,
        address: Callable[[], tuple[str, int]],
        pool: ConnectionPool,
        eras: StoreEras,
        on_call: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._address = address
        self._pool = pool
        self._eras = eras
        self._on_call = on_call

    async def newest(self, topic: str) -> Snapshot:
        """Return the newest record of each key of a keyed topic.

        Raises HistoryLostError if the store returns from a copy between two pages.
        """
        records: dict[str, KeyedRecord] = {}
        end: Position | None = None
        after: str | None = None
        while True:
            query = {"topic": topic, "part": "0"}
            if after is not None:
                query["after"] = after
            answer = await self._send("GET", "log-newest", query)
            page = _decode_page(answer)
            if end is not None and page.end.era != end.era:
                raise HistoryLostError(f"{topic}: the store returned between pages")
            # Pages are not one snapshot: changes since the first page are read again.
            end = page.end if end is None else min(end, page.end)
            for record in page.records:
                records[record.key] = record
            if not page.has_more:
                return Snapshot(tuple(records.values()), end)
            if page.last_key == after:
                raise StoreError(f"{topic}: a page that does not go on")
            after = page.last_key

    async def read(self, topic: str, position: Position, wait_s: float) -> Part:
        """Return the records from a position on, as far as the answer holds them.

        Waits up to ``wait_s`` seconds for a record. Raises HistoryLostError if the
        store no longer has the position, or is in another era.
        """
        self._check_era(topic, position, self._eras.current)
        query = {"topic": topic, "part": "0", "from": str(position.offset)}
        if wait_s > 0:
            query["wait-ms"] = str(int(wait_s * 1000))
        answer = await self._send("GET", "log-read", query, CALL_TIMEOUT_S + wait_s)
        self._check_era(topic, position, answer.era)
        with _decoding("log-read"):
            records = _keyed_records(answer.body, position)
        following = Position(position + len(records))
        end = int.from_bytes(answer.body[:END_BYTES], "big")
        return Part(records, following, is_last=following.offset >= end)

    def _check_era(self, topic: str, position: Position, era: int) -> None:
        if position.era != era:
            raise HistoryLostError(
                f"{topic}: offset {position.offset} is of era {position.era}, not {era}"
            )

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write the newest record of a key."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        record = len(content).to_bytes(4, "big") + content
        query = {"topic": topic, "part": "0"}
        await self._send("POST", "log-append", query, body=record)

    async def join(
        self,
        group: str,
        member: str,
        topics: list[str],
        ttl_s: float,
        generation: int,
        timeout_s: float,
    ) -> Membership:
        """Join a group or renew the membership for ``ttl_s`` seconds."""
        document = {
            "group": group,
            "member": member,
            "topics": topics,
            "ttl-ms": int(ttl_s * 1000),
            "generation": generation,
        }
        answer = await self._send(
            "POST", "log-join", {}, timeout_s, json.dumps(document).encode()
        )
        with _decoding("log-join"):
            given = answer.document()
            partitions = tuple(Partition(row[0], int(row[1])) for row in given["parts"])
            return Membership(int(given["generation"]), partitions, answer.era)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group, so that its other members take over at once."""
        document = {"group": group, "member": member}
        await self._send("POST", "log-leave", {}, body=json.dumps(document).encode())

    async def members(self, group: str) -> frozenset[str]:
        """Return the members of a group that hold a partition."""
        answer = await self._send("GET", "log-owners", {"group": group})
        with _decoding("log-owners"):
            rows = _owner_rows(answer.document())
        return frozenset(str(row[2]) for row in rows if row[2])

    async def _send(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
        body: bytes = b"",
    ) -> _Answer:
        asked = urlencode(query, errors="surrogatepass")
        target = f"/api/{name}?{asked}" if query else f"/api/{name}"
        self._on_call(name)
        try:
            async with asyncio.timeout(timeout_s):
                head, answer = await self._exchange(method, target, body)
        except TimeoutError as error:
            # Idle connections may be dead too, and each would cost a timeout.
            self._pool.forget(STORE_ID)
            raise NoAnswerError(f"{target}: no answer in time") from error
        except (ConnectFailed, IncompleteResponse, OSError) as error:
            raise StoreError(f"{target}: {error}") from error
        era = self._observe_era(head, target)
        if head.status == GONE:
            raise HistoryLostError(f"{target}: offset is not stored", head.status)
        if head.status != OK:
            text = f"{target}: status {head.status}: {answer[:200]!r}"
            raise StoreError(text, head.status)
        return _Answer(answer, era)

    def _observe_era(self, head: ResponseHead, target: str) -> int:
        """Return the era of an answer; raises StoreError if it is over.

        A store may name none until its first return.
        """
        named = head.get(STORE_ERA)
        is_named = named is not None and named.isdigit()
        era = int(named) if named is not None and is_named else self._eras.current
        if not self._eras.observe(era, "store"):
            raise StoreError(f"{target}: answered in era {era}, which is over")
        return era

    async def _exchange(
        self,
        method: str,
        target: str,
        body: bytes,
    ) -> tuple[ResponseHead, bytes]:
        address = self._address()
        host = f"{address[0]}:{address[1]}"
        headers: Headers = [(b"host", host.encode())]
        if method == "POST":
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", str(len(body)).encode()))
        request = h11.Request(method=method, target=target, headers=headers)
        connection = await self._pool.take(STORE_ID, address)
        try:
            connection.send(request, body)
            head = await connection.head()
            answer = await read_body(connection, MAX_ANSWER_BYTES)
        except BaseException:
            connection.close()
            raise
        self._pool.give_back(STORE_ID, connection)
        return head, answer


def _owner_rows(answer: Any) -> list[list[Any]]:
    """Return rows of topic, partition, member and offset."""
    rows = answer["parts"] if "parts" in answer else answer["owners"]
    return [row for row in rows if isinstance(row, list) and len(row) > 2]


def _decode_page(answer: _Answer) -> _Page:
    with _decoding("log-newest"):
        page = answer.document()
        items = page["items"]
        records = tuple(_keyed_item(item, answer.era) for item in items)
        has_more = bool(page.get("more"))
        if has_more and not records:
            raise ValueError("a page without items that is not the last")
        end = Position.at(answer.era, to_int(page["end"]))
        return _Page(records, end, has_more, str(items[-1]["key"]) if items else None)


def _keyed_item(item: dict[str, Any], era: int) -> KeyedRecord:
    value = base64.b64decode(item["value"])
    position = Position.at(era, to_int(item["offset"]))
    # Guards against keys that no message, header or query can hold.
    key = str(item["key"]).encode("utf-8", "replace").decode()
    return KeyedRecord(key, value, position)


def _keyed_records(data: bytes, first: Position) -> tuple[KeyedRecord, ...]:
    """Split what follows the head: 4-byte length, 1-byte key length, key, value.

    Leaves out a last record that is not whole. Raises ValueError if there is none,
    though the topic goes on after ``first``.
    """
    if len(data) < READ_HEAD_BYTES:
        raise ValueError("no whole head")
    records: list[KeyedRecord] = []
    at = READ_HEAD_BYTES
    while (end := _end_of_record(data, at)) is not None:
        content = data[at + SIZE_BYTES : end]
        at = end
        key_size = content[0] if content else 0
        key = content[1 : 1 + key_size].decode("utf-8", "replace")
        value = content[1 + key_size :]
        position = Position(first + len(records))
        records.append(KeyedRecord(key, value or None, position))
    if not records and int.from_bytes(data[:END_BYTES], "big") > first.offset:
        raise ValueError("no whole record")
    return tuple(records)


def _end_of_record(data: bytes, at: int) -> int | None:
    """Return where a record ends, None if it is not whole."""
    content_at = at + SIZE_BYTES
    end = content_at + int.from_bytes(data[at:content_at], "big")
    return end if content_at <= len(data) and end <= len(data) else None
