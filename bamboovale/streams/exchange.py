"""Tells some VMs who began a stream, and asks them when its caller comes back.

Found by the attempt's id, the VMs to ask are the same at every VM, whichever began the
stream: it may be dead, frozen or cut off by then.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any, Protocol

from result import Result

from bamboovale.decisions.rendezvous import first_members
from bamboovale.peers.loop_calls import await_on_loop
from bamboovale.peers.outgoing import (
    PeerLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from bamboovale.request_ids import MAX_KEPT_CHARS
from bamboovale.streams.decision import Findings, Ground, StartRefusal, decide
from bamboovale.streams.messages import StreamBegan, StreamQuery, StreamReply
from bamboovale.streams.source import StreamSource
from bamboovale.streams.start_records import StartLog
from bamboovale.streams.starts import StreamStart, StreamStarts
from bamboovale.streams.version_history import VersionHistory, VersionsSeen

REPLICAS = 3
"""VMs that are told of a stream's start, beside the one that begins it."""
ASKED = REPLICAS + 2
"""VMs that are asked: two may have come or gone since the stream began."""
ANSWER_TIMEOUT_S = 0.3
REASK_S = 0.2
REASKS = 9
"""Times that VMs are asked anew which have not read the endpoints since this VM's
start: they do so within 1.6 s."""
MAX_SINCE_S = 3600.0
"""Stands for any longer time in a reply, also one without bound."""
RETURN_S = 10.0
"""How long after the end of an attempt its caller may come back."""


class Links(Protocol):
    """Sends messages to other VMs."""

    def request(self, vm_id: str, message: Any, timeout_s: float) -> "Future[Any]":
        """Send a request and return a future of its reply."""

    def notify_all(self, vm_ids: Iterable[str], message: Any) -> None:
        """Send one notice to several VMs."""


@dataclass(frozen=True)
class ResumedStream:
    """A stream that a caller resumes.

    ``attempt_id`` is None if the caller names no attempt; such a stream goes on if one
    version alone can have begun it. ``services`` are those that its route leads to,
    ``attempt_s`` is how long an attempt may last, in seconds.
    """

    attempt_id: str | None
    customer: str | None
    services: tuple[str, ...]
    attempt_s: float

    @property
    def within_s(self) -> float:
        """Return how long ago the stream may have begun, after two attempts."""
        return 2 * self.attempt_s + RETURN_S


@dataclass(frozen=True)
class _Asked:
    """What other VMs replied to a question that was sent at a moment."""

    at: float
    told: tuple[StreamReply, ...]
    all_answered: bool

    @property
    def source(self) -> StreamSource | None:
        """Return where the stream began, None if no VM knows."""
        for reply in self.told:
            if reply.software_version is not None:
                return StreamSource(reply.service, reply.software_version)
        return None


class StartExchange:
    """The starts of streams as this VM knows them, with the help of others.

    ``holders`` returns the VMs among which those to tell are chosen. ``prove`` reads
    endpoints' records and configuration up to now and returns whether that succeeded.
    ``records`` outlast all VMs. ``clock`` is that of ``versions``.
    """

    def __init__(
        self,
        own_id: str,
        links: Links,
        holders: Callable[[], Sequence[str]],
        versions: VersionHistory,
        prove: Callable[[], Awaitable[bool]],
        records: StartLog,
        now: Callable[[], float],
        clock: Callable[[], float],
        reask_s: float = REASK_S,
    ) -> None:
        self.starts = StreamStarts()
        self.versions = versions
        self._own_id = own_id
        self._links = links
        self._holders = holders
        self._prove = prove
        self._records = records
        self._now = now
        self._clock = clock
        self._reask_s = reask_s

    def on_first_event(
        self,
        attempts: tuple[str, ...],
        source: StreamSource,
        customer: str | None,
        left_s: float,
    ) -> None:
        """Remember who began a stream, and tell the VMs that others will ask.

        ``left_s`` is how long the attempt may last from now on. An attempt with a long
        id cannot be named by a caller that returns.
        """
        attempts = tuple(item for item in attempts if len(item) <= MAX_KEPT_CHARS)
        if source.software_version is None or not attempts:
            return
        life_s = left_s + RETURN_S
        began = StreamBegan(
            attempts, source.service, source.software_version, life_s, customer
        )
        self.on_began(began)
        told = {vm for attempt in attempts for vm in self._others(attempt, REPLICAS)}
        writer = self._records.writer()
        if writer is not None and writer != self._own_id:
            told.add(writer)
        if told:
            self._links.notify_all(sorted(told), began)

    def on_began(self, began: StreamBegan) -> None:
        """Remember a start of which another VM tells, and have it recorded."""
        self.remember(began)
        self._records.add(began)

    def remember(self, began: StreamBegan) -> None:
        """Remember a start."""
        source = StreamSource(began.service, began.software_version)
        start = StreamStart(source, began.customer)
        for attempt in began.attempts:
            self.starts.note(attempt, start, began.life_s, self._now())

    def on_query(self, query: StreamQuery) -> StreamReply:
        """Return what this VM knows of a stream's start."""
        source = self.starts.find(query.attempt_id, query.customer, self._now())
        if source is not None:
            return StreamReply(
                query.attempt_id, source.service, source.software_version
            )
        seen = self.versions.seen(query.services, query.within_s, self._clock())
        return StreamReply(
            query.attempt_id,
            versions=tuple(seen.versions),
            since_s=min(seen.since_s, MAX_SINCE_S),
            until_s=min(seen.until_s, MAX_SINCE_S),
        )

    async def source_of(
        self, stream: ResumedStream
    ) -> Result[StreamSource, StartRefusal]:
        """Return where a stream goes on, or why it may not."""
        return decide(await self.find(stream))

    async def find(self, stream: ResumedStream) -> Findings:
        """Return what this VM, others and the store know of a stream's start."""
        arrived_at = self._clock()
        known = self._known_here(stream)
        if known is not None:
            return Findings(known, ground=Ground.TOLD)
        asked = await self._ask(stream)
        if asked.source is not None:
            return Findings(asked.source, ground=Ground.ASKED)
        is_proven = await self._prove()
        if is_proven:
            asked = await self._ask_anew(stream, asked, arrived_at)
        if asked.source is not None:
            return Findings(asked.source, ground=Ground.ASKED)
        all_answered = asked.all_answered and is_proven
        since_arrival_s = self._clock() - arrived_at
        within_s = stream.within_s + since_arrival_s
        seen = self._seen(stream, asked, within_s)
        only_version = (
            seen.only_version(within_s, since_arrival_s) if is_proven else None
        )
        history_s = round(min(seen.since_s, MAX_SINCE_S), 1)
        if only_version is not None:
            ground = Ground.ONLY_VERSION
            return Findings(
                None, only_version, all_answered, ground, history_s, seen.versions
            )
        if stream.attempt_id is not None:
            all_answered &= await self._records.read_new()
        known = self._known_here(stream)
        recorded = None if known is None else Ground.RECORDED
        return Findings(known, None, all_answered, recorded, history_s, seen.versions)

    def _known_here(self, stream: ResumedStream) -> StreamSource | None:
        if stream.attempt_id is None:
            return None
        return self.starts.find(stream.attempt_id, stream.customer, self._now())

    def _seen(
        self, stream: ResumedStream, asked: "_Asked", within_s: float
    ) -> VersionsSeen:
        """Return the versions that this VM and those that replied have seen.

        A reply may have been given at any moment since it was asked for.
        """
        now = self._clock()
        seen = self.versions.seen(stream.services, within_s, now)
        for reply in asked.told:
            until_s = reply.until_s + now - asked.at
            told = VersionsSeen(frozenset(reply.versions), reply.since_s, until_s)
            seen = seen.join(told)
        return seen

    def _is_reply_too_old(
        self, stream: ResumedStream, asked: "_Asked", arrived_at: float
    ) -> bool:
        """Return whether a VM knows of before, and will soon of this VM's start."""
        within_s = stream.within_s + self._clock() - arrived_at
        seen = self._seen(stream, asked, within_s)
        if seen.single_version() is None or seen.since_s >= within_s:
            return False
        return any(reply.since_s >= within_s for reply in asked.told)

    async def _ask_anew(
        self, stream: ResumedStream, asked: "_Asked", arrived_at: float
    ) -> "_Asked":
        """Ask again while a VM that knows of before has to read of this VM's start."""
        for _ in range(REASKS):
            if asked.source or not self._is_reply_too_old(stream, asked, arrived_at):
                break
            await asyncio.sleep(self._reask_s)
            asked = await self._ask(stream)
        return asked

    async def _ask(self, stream: ResumedStream) -> "_Asked":
        """Ask the VMs that may know, up to the first that does."""
        attempt_id = stream.attempt_id or ""
        query = StreamQuery(
            attempt_id,
            stream.services,
            stream.within_s + ANSWER_TIMEOUT_S,
            stream.customer,
        )
        at = self._clock()
        asked = [
            await_on_loop(self._links.request(vm, query, ANSWER_TIMEOUT_S))
            for vm in self._others(attempt_id, ASKED)
        ]
        replies: list[StreamReply | None] = []
        try:
            for answer in asyncio.as_completed(asked):
                reply = await _reply_of(answer)
                replies.append(reply)
                if reply is not None and reply.software_version is not None:
                    break
        finally:
            for future in asked:
                future.cancel()
        told = tuple(reply for reply in replies if reply is not None)
        return _Asked(at, told, len(told) == len(replies))

    def _others(self, attempt_id: str, count: int) -> list[str]:
        others = (vm for vm in self._holders() if vm != self._own_id)
        return first_members(attempt_id, others, count)


async def _reply_of(answer: Awaitable[Any]) -> StreamReply | None:
    """Return a VM's reply, None if there is none."""
    try:
        reply = await answer
    except (PeerUnreachableError, PeerLostError, PeerTimeoutError):
        return None
    return reply if isinstance(reply, StreamReply) else None
