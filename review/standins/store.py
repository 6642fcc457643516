"""The platform's metadata store: keyed topics and consumer groups.

``PUT /standin/TOPIC/KEY`` writes a record as the operator and the servers do, with an
empty body to remove it; ``?ttl-ms=N`` removes it after N ms without another write.
"""

import asyncio
import base64
import contextlib
import json
import sys
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from review.standins.wire import JSON_TYPE, Request, Responder, serve

PARTITIONS = 12
PAGE = 500
WRITTEN_BY_OTHERS = ("keyed.op", "keyed.servers")
TICK_S = 0.02


@dataclass
class Topic:
    """The log of one topic, and the newest record of each key."""

    log: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    expires_at: dict[str, float] = field(default_factory=dict)

    def append(self, key: str, value: bytes) -> None:
        """Append a record; an empty value removes the key."""
        self.log.append((key, value))
        if value:
            self.newest[key] = (len(self.log) - 1, value)
        else:
            self.newest.pop(key, None)
            self.expires_at.pop(key, None)


@dataclass
class Member:
    """A member of a group and when it is dropped without a word."""

    ttl_s: float
    ends_at: float


@dataclass
class Group:
    """The members of a group; partitions go to sorted members in turn.

    A partition that is to move stays with its holder until the holder has joined with
    the generation that moved it, has left or has expired.
    """

    generation: int = 0
    members: dict[str, Member] = field(default_factory=dict)
    holder: dict[int, str] = field(default_factory=dict)
    target: dict[int, str] = field(default_factory=dict)
    moved_in: dict[int, int] = field(default_factory=dict)

    def deal(self) -> None:
        """Deal the partitions evenly, in a new generation."""
        self.generation += 1
        names = sorted(self.members)
        for part in range(PARTITIONS):
            wanted = names[part % len(names)] if names else ""
            if wanted != self.target.get(part):
                self.target[part] = wanted
                self.moved_in[part] = self.generation
        self.settle()

    def settle(self) -> None:
        """Give partitions without a holder to the members that they are dealt to."""
        for part, wanted in self.target.items():
            if self.holder.get(part) not in self.members:
                self.holder[part] = wanted

    def join(self, name: str, ttl_s: float, generation: int, now: float) -> None:
        """Add or renew a member, which releases what it has seen move."""
        is_new = name not in self.members
        self.members[name] = Member(ttl_s, now + ttl_s)
        if is_new:
            self.deal()
        for part, wanted in self.target.items():
            is_held = self.holder.get(part) == name
            if is_held and wanted != name and generation >= self.moved_in[part]:
                self.holder[part] = wanted

    def leave(self, name: str) -> None:
        """Drop a member."""
        if self.members.pop(name, None) is not None:
            self.deal()

    def expire(self, now: float) -> None:
        """Drop the members that were silent for too long."""
        late = [name for name, item in self.members.items() if item.ends_at < now]
        for name in late:
            del self.members[name]
        if late:
            self.deal()

    def parts_of(self, name: str) -> list[int]:
        """Return the partitions that a member holds and keeps."""
        return [
            part
            for part, wanted in sorted(self.target.items())
            if wanted == name and self.holder.get(part) == name
        ]


class Store:
    """The store; ``handle`` serves its calls."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self._groups: dict[str, Group] = {}
        self._changed = asyncio.Condition()

    async def run(self, host: str, port: int) -> None:
        """Serve until the process ends."""
        await serve(self.handle, (host, port))
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            for group in self._groups.values():
                group.expire(now)
            for topic in self._topics.values():
                for key, at in list(topic.expires_at.items()):
                    if at < now:
                        topic.append(key, b"")
                        await self._notify()

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one call."""
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        calls = {
            "/api/log-newest": self._newest,
            "/api/log-read": self._read,
            "/api/log-append": self._append,
            "/api/log-join": self._join,
            "/api/log-leave": self._leave,
            "/api/log-owners": self._owners,
        }
        if url.path.startswith("/standin/"):
            await self._put(url.path, query, request.body)
            responder.answer(200, JSON_TYPE, b"{}")
        elif url.path in calls:
            await calls[url.path](request, responder, query)
        else:
            responder.answer(404, {}, b"")

    async def _put(self, path: str, query: dict[str, str], value: bytes) -> None:
        _, _, name, key = path.split("/", 3)
        topic, key = self._topic(name), unquote(key)
        topic.append(key, value)
        if value and "ttl-ms" in query:
            topic.expires_at[key] = time.monotonic() + int(query["ttl-ms"]) / 1000
        await self._notify()

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _topic(self, name: str) -> Topic:
        return self._topics.setdefault(name, Topic())

    def _group(self, name: str) -> Group:
        return self._groups.setdefault(name, Group())

    async def _newest(
        self, request: Request, responder: Responder, query: dict[str, str]
    ) -> None:
        topic, after = self._topic(query["topic"]), query.get("after", "")
        keys = [key for key in sorted(topic.newest) if key > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:PAGE]
        ]
        document = {"items": items, "more": len(keys) > PAGE, "end": len(topic.log)}
        responder.answer(200, JSON_TYPE, json.dumps(document).encode())

    async def _read(
        self, request: Request, responder: Responder, query: dict[str, str]
    ) -> None:
        topic, first = self._topic(query["topic"]), int(query["from"])
        if first > len(topic.log):
            responder.answer(410, JSON_TYPE, b'{"first":0}')
            return
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(int(query.get("wait-ms", "0")) / 1000),
                self._changed,
            ):
                await self._changed.wait_for(lambda: len(topic.log) > first)
        data = len(topic.log).to_bytes(8, "big") + bytes(8)
        for key, value in topic.log[first:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            data += len(content).to_bytes(4, "big") + content
        responder.answer(200, {}, data)

    async def _append(
        self, request: Request, responder: Responder, query: dict[str, str]
    ) -> None:
        if query["topic"] in WRITTEN_BY_OTHERS:
            responder.answer(403, {}, b"")
            return
        topic, body = self._topic(query["topic"]), request.body
        first = len(topic.log)
        while body:
            size = int.from_bytes(body[:4], "big")
            content, body = body[4 : 4 + size], body[4 + size :]
            end = 1 + content[0]
            topic.append(content[1:end].decode(), content[end:])
        await self._notify()
        document = {"offset": first, "end": len(topic.log)}
        responder.answer(200, JSON_TYPE, json.dumps(document).encode())

    async def _join(
        self, request: Request, responder: Responder, query: dict[str, str]
    ) -> None:
        given: dict[str, Any] = json.loads(request.body)
        group, name = self._group(given["group"]), given["member"]
        now, ttl_s = time.monotonic(), given["ttl-ms"] / 1000
        group.join(name, ttl_s, int(given["generation"]), now)
        document = {
            "generation": group.generation,
            "ttl-ms": given["ttl-ms"],
            "parts": [[given["topics"][0], part, 0] for part in group.parts_of(name)],
        }
        responder.answer(200, JSON_TYPE, json.dumps(document).encode())

    async def _leave(
        self, request: Request, responder: Responder, query: dict[str, str]
    ) -> None:
        given = json.loads(request.body)
        self._group(given["group"]).leave(given["member"])
        responder.answer(200, JSON_TYPE, b"{}")

    async def _owners(
        self, request: Request, responder: Responder, query: dict[str, str]
    ) -> None:
        holder = self._group(query["group"]).holder
        rows = [["engines", part, name, 0] for part, name in sorted(holder.items())]
        responder.answer(200, JSON_TYPE, json.dumps({"parts": rows}).encode())


if __name__ == "__main__":
    asyncio.run(Store().run(sys.argv[1], int(sys.argv[2])))
