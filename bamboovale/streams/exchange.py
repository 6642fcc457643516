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
from bamboovale.peers.outgoing import (
    PeerLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from bamboovale.streams.decision import Findings, StartRefusal, decide
from bamboovale.streams.messages import StreamBegan, StreamQuery, StreamReply
from bamboovale.streams.source import StreamSource
from bamboovale.streams.starts import StreamStart, StreamStarts
from bamboovale.streams.version_history import VersionHistory, VersionsSeen

COPIES = 2
"""VMs that are told of a stream's start, beside the one that begins it."""
ASKED = COPIES + 2
"""VMs that are asked: two may have come or gone since the stream began."""
ANSWER_TIMEOUT_S = 0.3
RETURN_S = 10.0
"""How long after the end of an attempt its caller may come back."""


class Links(Protocol):
    """Sends messages to other VMs."""

    def request(self, vm_id: str, message: Any, timeout_s: float) -> "Future[Any]":
        """Send a request and return a future of its reply."""

    def notify_all(self, vm_ids: Iterable[str], message: Any) -> None:
        """Send one notice to several VMs."""


@dataclass(frozen=True)
class TakenUp:
    """A stream that a caller takes up again.

    ``attempt_id`` is None if the caller names no attempt. ``services`` are those that
    its route leads to, ``attempt_s`` is how long an attempt may last, in seconds.
    """

    attempt_id: str | None
    customer: str | None
    services: tuple[str, ...]
    attempt_s: float

    @property
    def within_s(self) -> float:
        """Return how long ago the stream may have begun, after two attempts."""
        return 2 * self.attempt_s + RETURN_S


class StartExchange:
    """The starts of streams as this VM knows them, with the help of others.

    ``holders`` returns the VMs among which those to tell are chosen; ``is_current`` is
    whether this VM's records of endpoints are up to date.
    """

    def __init__(
        self,
        own_id: str,
        links: Links,
        holders: Callable[[], Sequence[str]],
        versions: VersionHistory,
        is_current: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        self.starts = StreamStarts()
        self.versions = versions
        self._own_id = own_id
        self._links = links
        self._holders = holders
        self._is_current = is_current
        self._now = now

    def on_first_event(
        self,
        attempts: tuple[str, ...],
        source: StreamSource,
        customer: str | None,
        left_s: float,
    ) -> None:
        """Remember who began a stream, and tell the VMs that others will ask.

        ``left_s`` is how long the attempt may last from now on.
        """
        life_s = left_s + RETURN_S
        began = StreamBegan(
            attempts, source.service, source.software_version, life_s, customer
        )
        self.on_began(began)
        told = {vm for attempt in attempts for vm in self._others(attempt, COPIES)}
        if told:
            self._links.notify_all(sorted(told), began)

    def on_began(self, began: StreamBegan) -> None:
        """Remember a start of which another VM tells."""
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
        seen = self._seen(query.services, query.within_s)
        return StreamReply(
            query.attempt_id,
            versions=tuple(sorted(seen.versions)),
            is_complete=seen.is_complete,
        )

    async def source_of(self, stream: TakenUp) -> Result[StreamSource, StartRefusal]:
        """Return where a stream goes on, or why it may not."""
        return decide(await self._find(stream))

    async def _find(self, stream: TakenUp) -> Findings:
        attempt_id = stream.attempt_id
        seen = self._seen(stream.services, stream.within_s)
        if attempt_id is None:
            return Findings(None, seen, all_answered=True)
        known = self.starts.find(attempt_id, stream.customer, self._now())
        if known is not None:
            return Findings(known, seen, all_answered=True)
        return await self._ask(attempt_id, stream, seen)

    async def _ask(
        self, attempt_id: str, stream: TakenUp, seen: VersionsSeen
    ) -> Findings:
        """Ask the VMs that were told if any was; the first that knows ends it."""
        query = StreamQuery(
            attempt_id, stream.services, stream.within_s, stream.customer
        )
        asked = [
            asyncio.wrap_future(self._links.request(vm, query, ANSWER_TIMEOUT_S))
            for vm in self._others(attempt_id, ASKED)
        ]
        all_answered = True
        try:
            for answer in asyncio.as_completed(asked):
                reply = await _reply_of(answer)
                if reply is None:
                    all_answered = False
                elif reply.software_version is not None:
                    source = StreamSource(reply.service, reply.software_version)
                    return Findings(source, seen, all_answered=True)
                else:
                    theirs = frozenset(reply.versions)
                    seen = seen.merge(VersionsSeen(theirs, reply.is_complete))
        finally:
            for future in asked:
                future.cancel()
        return Findings(None, seen, all_answered)

    def _seen(self, services: Iterable[str], within_s: float) -> VersionsSeen:
        return self.versions.seen(
            services, within_s, self._now(), is_current=self._is_current()
        )

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
