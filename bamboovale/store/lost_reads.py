"""Detection of long-poll reads of the metadata store whose answer was lost.

A long poll without an answer may just mean that nothing changed. If another call failed
while it was open, and a later call is answered, its own answer may be lost: it is
cancelled, so that the caller retries. Guards against changes that remain unknown for
the length of a long poll after an outage.
"""

import asyncio
import math
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any, TypeVar

from bamboovale.store.interface import (
    Membership,
    MetadataStore,
    NoAnswerError,
    Part,
    Snapshot,
    StoreError,
)
from bamboovale.store.position import Position

Answer = TypeVar("Answer")

SERVER_ERROR = 500


class LostReadDetector:
    """A metadata store that cancels long-poll reads whose answer may be lost."""

    def __init__(
        self, store: MetadataStore, now: Callable[[], float] = time.monotonic
    ) -> None:
        self._store = store
        self._now = now
        self._failed_at = -math.inf
        self._started_at_by_read: dict[asyncio.Timeout, float] = {}

    async def newest(self, topic: str) -> Snapshot:
        """Return the newest record of each key."""
        return await self._observe(self._store.newest(topic))

    async def read(self, topic: str, position: Position, wait_s: float) -> Part:
        """Return records from a position on."""
        async with self._cancelled_if_lost(topic):
            return await self._observe(self._store.read(topic, position, wait_s))

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write the newest record of a key."""
        await self._observe(self._store.put(topic, key, value))

    async def join(
        self,
        group: str,
        member: str,
        topics: list[str],
        ttl_s: float,
        generation: int,
        timeout_s: float,
    ) -> Membership:
        """Join a group or stay in it."""
        call = self._store.join(group, member, topics, ttl_s, generation, timeout_s)
        return await self._observe(call)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group."""
        await self._observe(self._store.leave(group, member))

    async def members(self, group: str) -> frozenset[str]:
        """Return the members of a group that hold a partition."""
        return await self._observe(self._store.members(group))

    async def _observe(self, call: Coroutine[Any, Any, Answer]) -> Answer:
        """Make a call; its outcome shows whether open reads may be lost."""
        try:
            answer = await call
        except StoreError as error:
            if error.status is None or error.status >= SERVER_ERROR:
                self._failed_at = self._now()
            raise
        self._cancel_lost_reads()
        return answer

    def _cancel_lost_reads(self) -> None:
        for read, started_at in self._started_at_by_read.items():
            if started_at <= self._failed_at and not read.expired():
                read.reschedule(asyncio.get_running_loop().time())

    @asynccontextmanager
    async def _cancelled_if_lost(self, topic: str) -> AsyncIterator[None]:
        """Cancel a read once its answer may be lost; raises NoAnswerError then."""
        try:
            async with asyncio.timeout(None) as read:
                self._started_at_by_read[read] = self._now()
                try:
                    yield
                finally:
                    del self._started_at_by_read[read]
        except TimeoutError as error:
            text = f"{topic}: read cancelled, as another call failed meanwhile"
            raise NoAnswerError(text) from error
