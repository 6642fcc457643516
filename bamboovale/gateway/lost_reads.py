"""Finds out that the answer to a waiting read of the metadata store was lost.

A read that waits for a change is silent for as long as nothing changes, so that its own
silence tells nothing. Other calls do: once one has failed and then one is answered, a
read that was open at the failure may never be. It is given up and begun anew. Without
this a change is unknown for as long as a read may wait, at all VMs alike when they lost
the store together.
"""

import asyncio
import math
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any, TypeVar

from bamboovale.gateway.store import (
    KeyedRecord,
    Membership,
    MetadataStore,
    NoAnswerError,
    Snapshot,
    StoreError,
)

Answer = TypeVar("Answer")

FIRST_SERVER_ERROR = 500


class LostReadDetector:
    """A metadata store that gives up waiting reads whose answer may be lost."""

    def __init__(
        self, store: MetadataStore, now: Callable[[], float] = time.monotonic
    ) -> None:
        self._store = store
        self._now = now
        self._failed_at = -math.inf
        self._began_at_by_read: dict[asyncio.Timeout, float] = {}

    async def newest(self, topic: str) -> Snapshot:
        """Return the newest record of each key."""
        return await self._noted(self._store.newest(topic))

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
    ) -> tuple[tuple[KeyedRecord, ...], int]:
        """Return records from an offset on and the next offset."""
        async with self._given_up_if_lost(topic):
            return await self._noted(self._store.read(topic, offset, wait_s))

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write the newest record of a key."""
        await self._noted(self._store.put(topic, key, value))

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
        return await self._noted(call)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group."""
        await self._noted(self._store.leave(group, member))

    async def members(self, group: str) -> frozenset[str]:
        """Return the members of a group that hold a partition."""
        return await self._noted(self._store.members(group))

    async def _noted(self, call: Coroutine[Any, Any, Answer]) -> Answer:
        """Make a call and take what its outcome says of the reads that wait."""
        try:
            answer = await call
        except StoreError as error:
            if error.status is None or error.status >= FIRST_SERVER_ERROR:
                self._failed_at = self._now()
            raise
        self._give_up_lost()
        return answer

    def _give_up_lost(self) -> None:
        for read, began_at in self._began_at_by_read.items():
            if began_at <= self._failed_at:
                read.reschedule(asyncio.get_running_loop().time())

    @asynccontextmanager
    async def _given_up_if_lost(self, topic: str) -> AsyncIterator[None]:
        """End a read once its answer may be lost; raises NoAnswerError then."""
        try:
            async with asyncio.timeout(None) as read:
                self._began_at_by_read[read] = self._now()
                try:
                    yield
                finally:
                    del self._began_at_by_read[read]
        except TimeoutError as error:
            text = f"{topic}: given up, as another call failed meanwhile"
            raise NoAnswerError(text) from error
