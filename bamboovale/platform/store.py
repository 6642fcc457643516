"""Client of the platform's metadata store: keyed topics and group membership."""

import asyncio
import base64
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import h11

from bamboovale.http1.connection import ConnectFailed, Headers, IncompleteResponse
from bamboovale.http1.pool import ConnectionPool
from bamboovale.store.interface import (
    HistoryLostError,
    KeyedRecord,
    Membership,
    NoAnswerError,
    Partition,
    Snapshot,
    StoreError,
)

CALL_TIMEOUT_S = 1.5
"""Well above the answer time of a slow store."""
READ_HEAD_BYTES = 16
STORE_ID = "store"


class StoreClient:
    """HTTP client of the store; every method raises StoreError.

    ``address`` is called before each request, as the settings may change. ``on_call``
    is called with the name of each request.
    """

    def __init__(
        self,
        address: Callable[[], tuple[str, int]],
        pool: ConnectionPool,
        on_call: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._address = address
        self._pool = pool
        self._on_call = on_call

    async def newest(self, topic: str) -> Snapshot:
        """Return the newest record of each key of a keyed topic."""
        records: dict[str, KeyedRecord] = {}
        end: int | None = None
        after: str | None = None
        while True:
            query = {"topic": topic, "part": "0"}
            if after is not None:
                query["after"] = after
            page = await self._json("GET", "log-newest", query)
            # Pages are not one snapshot: changes since the first page are read again.
            end = page["end"] if end is None else min(end, page["end"])
            for item in page["items"]:
                record = _keyed_item(item)
                records[record.key] = record
                after = record.key
            if not page.get("more") or not page["items"]:
                return Snapshot(tuple(records.values()), int(end or 0))

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
    ) -> tuple[tuple[KeyedRecord, ...], int]:
        """Return the records from an offset on, and the next offset.

        Waits up to ``wait_s`` seconds for a record. Raises HistoryLostError if the
        store no longer has the offset.
        """
        query = {"topic": topic, "part": "0", "from": str(offset)}
        if wait_s > 0:
            query["wait-ms"] = str(int(wait_s * 1000))
        body = await self._call(
            "GET",
            f"/api/log-read?{urlencode(query)}",
            b"",
            CALL_TIMEOUT_S + wait_s,
        )
        records = _keyed_records(body[READ_HEAD_BYTES:], offset)
        return records, offset + len(records)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write the newest record of a key."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        record = len(content).to_bytes(4, "big") + content
        query = urlencode({"topic": topic, "part": "0"})
        await self._call("POST", f"/api/log-append?{query}", record, CALL_TIMEOUT_S)

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
        answer = await self._json("POST", "log-join", {}, document, timeout_s)
        partitions = tuple(Partition(row[0], int(row[1])) for row in answer["parts"])
        return Membership(int(answer["generation"]), partitions)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group, so that its other members take over at once."""
        await self._json("POST", "log-leave", {}, {"group": group, "member": member})

    async def members(self, group: str) -> frozenset[str]:
        """Return the members of a group that hold a partition."""
        answer = await self._json("GET", "log-owners", {"group": group})
        return frozenset(str(row[2]) for row in _owner_rows(answer) if row[2])

    async def _json(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        document: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Any:
        target = f"/api/{name}?{urlencode(query)}" if query else f"/api/{name}"
        body = b"" if document is None else json.dumps(document).encode()
        answer = await self._call(method, target, body, timeout_s)
        try:
            return json.loads(answer) if answer else {}
        except ValueError as error:
            raise StoreError(f"{name}: answer is not valid JSON") from error

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
    ) -> bytes:
        self._on_call(target.partition("?")[0].rpartition("/")[2])
        try:
            async with asyncio.timeout(timeout_s):
                status, answer = await self._exchange(method, target, body)
        except TimeoutError as error:
            # Idle connections may be dead too, and each would cost a timeout.
            self._pool.forget(STORE_ID)
            raise NoAnswerError(f"{target}: no answer in time") from error
        except (ConnectFailed, IncompleteResponse, OSError) as error:
            raise StoreError(f"{target}: {error}") from error
        if status == 410:
            raise HistoryLostError(f"{target}: offset is no longer stored", status)
        if status != 200:
            raise StoreError(f"{target}: status {status}: {answer[:200]!r}", status)
        return answer

    async def _exchange(
        self,
        method: str,
        target: str,
        body: bytes,
    ) -> tuple[int, bytes]:
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
            parts = []
            while (data := await connection.data()) is not None:
                parts.append(data)
        except BaseException:
            connection.close()
            raise
        self._pool.give_back(STORE_ID, connection)
        return head.status, b"".join(parts)


def _owner_rows(answer: Any) -> list[list[Any]]:
    """Return rows of topic, partition, member and offset."""
    rows = answer.get("parts", answer.get("owners", [])) if answer else []
    return [row for row in rows if isinstance(row, list) and len(row) > 2]


def _keyed_item(item: dict[str, Any]) -> KeyedRecord:
    value = base64.b64decode(item["value"])
    return KeyedRecord(str(item["key"]), value, int(item["offset"]))


def _keyed_records(data: bytes, offset: int) -> tuple[KeyedRecord, ...]:
    """Split records: 4-byte length, 1-byte key length, key, value."""
    records: list[KeyedRecord] = []
    at = 0
    while at + 4 <= len(data):
        size = int.from_bytes(data[at : at + 4], "big")
        content = data[at + 4 : at + 4 + size]
        at += 4 + size
        key_size = content[0] if content else 0
        key = content[1 : 1 + key_size].decode("utf-8", "replace")
        value = content[1 + key_size :]
        records.append(KeyedRecord(key, value or None, offset + len(records)))
    return tuple(records)
