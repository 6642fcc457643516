"""In-memory stand-in of the users' metadata store: keyed topics and consumer groups.

Implements the published HTTP calls and injects faults on request. As in the real
store, a partition moves only after its previous member has acknowledged the change.
"""

import asyncio
import base64
import contextlib
import copy
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from bamboovale.http1.connection import Headers
from bamboovale.http1.request import Request
from bamboovale.http1.responder import Responder
from bamboovale.http1.server import Server

JSON: Headers = [(b"content-type", b"application/json")]
PARTITIONS = 12
WRITTEN_BY_OTHERS = ("keyed.op", "keyed.servers")
READ_BYTES = 1024 * 1024
"""Bytes of records in one answer, unless the first one is larger."""
ERA = b"store-era"


@dataclass
class StoreFaults:
    """The active faults.

    ``mode`` is ``ok``, ``busy`` (503), ``silent`` (no answer) or ``reset``. ``delay_s``
    delays every answer. ``lost_joins`` is the number of joins to execute without an
    answer.
    """

    mode: str = "ok"
    delay_s: float = 0.0
    lost_joins: int = 0


@dataclass
class _Topic:
    """Records of a keyed topic from offset ``first`` on, and the newest per key."""

    first: int = 0
    records: list[tuple[str, bytes | None]] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, key: str, value: bytes | None) -> int:
        offset = self.end
        self.records.append((key, value))
        if value is None:
            self.newest.pop(key, None)
        else:
            self.newest[key] = (offset, value)
        return offset

    def compact(self) -> None:
        self.first = self.end
        self.records.clear()


@dataclass
class _Member:
    last_seen_at: float
    ttl_s: float
    generation: int


@dataclass
class _Group:
    """Members and partitions of a group, and the moves not yet acknowledged."""

    generation: int = 0
    member_by_name: dict[str, _Member] = field(default_factory=dict)
    owner_by_part: dict[int, str] = field(default_factory=dict)
    pending_move_by_part: dict[int, tuple[str, int]] = field(default_factory=dict)


@dataclass(frozen=True)
class StoreCopy:
    """What the store held at some moment."""

    topic_by_name: dict[str, _Topic]
    group_by_name: dict[str, _Group]


class PlatformStore:
    """The stand-in store; ``handle`` serves its HTTP calls.

    ``era`` rises when it returns from an older copy, and is in each answer; None: the
    answers do not carry it.
    """

    def __init__(
        self, now: Callable[[], float] = time.monotonic, era: int | None = 0
    ) -> None:
        self.era = era
        self.returns = 0
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self.read_bytes = READ_BYTES
        self._now = now
        self._topic_by_name: dict[str, _Topic] = {}
        self._group_by_name: dict[str, _Group] = {}
        self._written_by_topic: dict[str, dict[str, bytes | None]] = {}
        self._changed = asyncio.Condition()
        self._server = Server(self.handle)

    async def listen(self, host: str, port: int = 0) -> tuple[str, int]:
        """Start serving and return the address."""
        return host, await self._server.listen(host, port)

    def close(self) -> None:
        """Stop serving and close all connections."""
        self._server.close()

    # Used by tests and by the other stand-ins.

    async def put(self, topic: str, key: str, document: Any) -> int:
        """Write a record like an operator or endpoint; None deletes the key."""
        value = None if document is None else json.dumps(document).encode()
        offset = self._topic(topic).append(key, value)
        self.note_written(topic, key, document)
        async with self._changed:
            self._changed.notify_all()
        return offset

    def note_written(self, topic: str, key: str, document: Any) -> None:
        """Have a record written again, as one that was acknowledged and lost."""
        value = None if document is None else json.dumps(document).encode()
        self._written_by_topic.setdefault(topic, {})[key] = value

    def newest(self, topic: str, key: str) -> Any:
        """Return the newest record of a key; raises KeyError if there is none."""
        return json.loads(self._topic(topic).newest[key][1])

    def compact(self) -> None:
        """Delete all records except the newest value of each key."""
        for topic in self._topic_by_name.values():
            topic.compact()

    def keep_copy(self) -> StoreCopy:
        """Return a copy of all that is stored."""
        return copy.deepcopy(StoreCopy(self._topic_by_name, self._group_by_name))

    async def return_from(self, older: StoreCopy) -> None:
        """Lose what was written since a copy; open reads are broken off."""
        kept = copy.deepcopy(older)
        self._topic_by_name = kept.topic_by_name
        self._group_by_name = kept.group_by_name
        self.returns += 1
        if self.era is not None:
            self.era += 1
        async with self._changed:
            self._changed.notify_all()

    async def write_again(self) -> None:
        """Write again what the operator and the endpoints have written and is lost."""
        for topic, value_by_key in self._written_by_topic.items():
            newest = self._topic(topic).newest
            for key, value in list(value_by_key.items()):
                stored = newest[key][1] if key in newest else None
                if stored != value:
                    await self.put(topic, key, value and json.loads(value))

    def reassign_partitions(self, group: str) -> None:
        """Move each partition to the next member without waiting for its owner."""
        state = self._group_by_name[group]
        names = sorted(state.member_by_name)
        state.generation += 1
        state.pending_move_by_part.clear()
        for part, owner in state.owner_by_part.items():
            after = (names.index(owner) + 1) % len(names) if owner in names else 0
            state.owner_by_part[part] = names[after]

    def owner_of(self, group: str, part: int) -> str | None:
        """Return the member to which a partition is assigned."""
        return self._group_by_name[group].owner_by_part.get(part)

    # Calls.

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one call, or apply the active fault."""
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        call = url.path.rpartition("/")[2]
        self.calls.append(call)
        if self.faults.mode != "ok":
            await self._apply_fault(responder)
            return
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        handler = {
            "log-newest": self._newest,
            "log-read": self._read,
            "log-append": self._append,
            "log-join": self._join,
            "log-leave": self._leave,
            "log-owners": self._owners,
        }.get(call)
        if handler is None:
            self._answer(responder, 404, [], b"")
            return
        await handler(request, responder, query)

    def _answer(
        self, responder: Responder, status: int, headers: Headers, body: bytes
    ) -> None:
        if self.era is not None:
            headers = [*headers, (ERA, str(self.era).encode())]
        responder.answer(status, headers, body)

    async def _apply_fault(self, responder: Responder) -> None:
        if self.faults.mode == "busy":
            self._answer(responder, 503, [], b"")
        elif self.faults.mode == "reset":
            responder.abort()
        else:
            await asyncio.sleep(3600)

    async def _newest(
        self,
        request: Request,
        responder: Responder,
        query: dict[str, str],
    ) -> None:
        topic = self._topic(query["topic"])
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(topic.newest.items())
        ]
        body = {"items": items, "more": False, "end": topic.end}
        self._answer(responder, 200, JSON, json.dumps(body).encode())

    async def _read(
        self,
        request: Request,
        responder: Responder,
        query: dict[str, str],
    ) -> None:
        topic = self._topic(query["topic"])
        offset = int(query["from"])
        wait_s = int(query.get("wait-ms", "0")) / 1000
        returns = self.returns
        if offset > topic.end:
            self._answer(responder, 410, JSON, json.dumps({"first": 0}).encode())
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: topic.end > offset or self.returns > returns
                )
        if self.returns > returns:
            responder.abort()
            return
        if offset < topic.first:
            self._answer(
                responder, 410, JSON, json.dumps({"first": topic.first}).encode()
            )
            return
        data = topic.end.to_bytes(8, "big") + topic.first.to_bytes(8, "big")
        self._answer(responder, 200, [], data + self._part_from(topic, offset))

    def _part_from(self, topic: _Topic, offset: int) -> bytes:
        """Return the first records from an offset on."""
        data = b""
        for key, value in topic.records[offset - topic.first :]:
            name = key.encode()
            content = bytes([len(name)]) + name + (value or b"")
            record = len(content).to_bytes(4, "big") + content
            if data and len(data) + len(record) > self.read_bytes:
                break
            data += record
        return data

    async def _append(
        self,
        request: Request,
        responder: Responder,
        query: dict[str, str],
    ) -> None:
        if query["topic"] in WRITTEN_BY_OTHERS:
            self._answer(responder, 403, [], b"")
            return
        body = request.body
        topic = self._topic(query["topic"])
        first = topic.end
        while body:
            size = int.from_bytes(body[:4], "big")
            content, body = body[4 : 4 + size], body[4 + size :]
            key = content[1 : 1 + content[0]].decode()
            topic.append(key, content[1 + content[0] :] or None)
        async with self._changed:
            self._changed.notify_all()
        answer = {"offset": first, "end": topic.end}
        self._answer(responder, 200, JSON, json.dumps(answer).encode())

    async def _join(
        self,
        request: Request,
        responder: Responder,
        query: dict[str, str],
    ) -> None:
        document = json.loads(request.body)
        group = self._group_by_name.setdefault(document["group"], _Group())
        name = document["member"]
        now = self._now()
        known = group.member_by_name.get(name)
        ttl_s = document["ttl-ms"] / 1000
        group.member_by_name[name] = _Member(now, ttl_s, document["generation"])
        if known is None:
            self._rebalance(group)
        self._expire(group)
        if self.faults.lost_joins > 0:
            self.faults.lost_joins -= 1
            responder.abort()
            return
        rows = [
            [document["topics"][0], part, 0] for part in self._usable_parts(group, name)
        ]
        answer = {
            "generation": group.generation,
            "ttl-ms": document["ttl-ms"],
            "parts": rows,
        }
        self._answer(responder, 200, JSON, json.dumps(answer).encode())

    async def _leave(
        self,
        request: Request,
        responder: Responder,
        query: dict[str, str],
    ) -> None:
        document = json.loads(request.body)
        group = self._group_by_name.setdefault(document["group"], _Group())
        if group.member_by_name.pop(document["member"], None) is not None:
            self._rebalance(group)
        self._answer(responder, 200, JSON, b"{}")

    async def _owners(
        self,
        request: Request,
        responder: Responder,
        query: dict[str, str],
    ) -> None:
        group = self._group_by_name.setdefault(query["group"], _Group())
        self._expire(group)
        owners = sorted(group.owner_by_part.items())
        rows = [["engines", part, owner, 0] for part, owner in owners]
        self._answer(responder, 200, JSON, json.dumps({"parts": rows}).encode())

    # Groups.

    def _topic(self, name: str) -> _Topic:
        return self._topic_by_name.setdefault(name, _Topic())

    def _expire(self, group: _Group) -> None:
        now = self._now()
        expired = [
            name
            for name, member in group.member_by_name.items()
            if now - member.last_seen_at > member.ttl_s
        ]
        for name in expired:
            del group.member_by_name[name]
        if expired:
            self._rebalance(group)

    def _rebalance(self, group: _Group) -> None:
        """Assign partitions round-robin; a moved one waits for its previous member."""
        group.generation += 1
        names = sorted(group.member_by_name)
        if not names:
            group.owner_by_part.clear()
            return
        for part in range(PARTITIONS):
            old = group.owner_by_part.get(part)
            new = names[part % len(names)]
            group.owner_by_part[part] = new
            if old not in (None, new) and old in group.member_by_name:
                group.pending_move_by_part[part] = (str(old), group.generation)

    def _usable_parts(self, group: _Group, name: str) -> list[int]:
        for part, (old, generation) in list(group.pending_move_by_part.items()):
            member = group.member_by_name.get(old)
            if member is None or member.generation >= generation:
                del group.pending_move_by_part[part]
        return [
            part
            for part, owner in sorted(group.owner_by_part.items())
            if owner == name and part not in group.pending_move_by_part
        ]
