"""Follow the store's topics: what the operator wrote and which endpoints live."""

import asyncio
from collections.abc import Callable

from bamboovale.gateway.journal import Journal
from bamboovale.gateway.store import (
    HistoryLostError,
    KeyedRecord,
    MetadataStore,
    StoreError,
)

RETRY_S = 0.3
"""Between tries while the store fails; a call is priced, an outage lasts seconds."""
RETURN_S = 2.5
"""Records that lapsed in an outage are back within two seconds of its end."""


Apply = Callable[[KeyedRecord], None]


class TopicFollower:
    """Reads one keyed topic for ever and hands each change on.

    ``on_snapshot`` gets the keys of a full read, so that the owner of the records can
    drop what is missing. ``pause_s`` is the least time between two reads: a topic that
    changes all the time would otherwise use up the calls that the store takes.
    """

    def __init__(
        self,
        topic: str,
        store: MetadataStore,
        journal: Journal,
        *,
        on_record: Apply,
        on_snapshot: Callable[[set[str]], None],
        wait_s: float,
        pause_s: Callable[[], float],
        on_progress: Callable[[bool], None] = lambda reachable: None,
    ) -> None:
        self.topic = topic
        self.reachable = False
        self._store = store
        self._journal = journal
        self._on_record = on_record
        self._on_snapshot = on_snapshot
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._on_progress = on_progress
        self._offset: int | None = None
        self._read_at = 0.0

    async def follow(self) -> None:
        """Read for ever; failures are logged once and tried again."""
        while True:
            try:
                await self._step()
            except HistoryLostError:
                self._journal.write("history_lost", topic=self.topic, at=self._offset)
                self._offset = None
                continue
            except StoreError as error:
                self._lost(error)
                await asyncio.sleep(RETRY_S)
                continue
            self._regained()
            await asyncio.sleep(self._pause_s())

    async def _step(self) -> None:
        if self._offset is None:
            snapshot = await self._store.newest(self.topic)
            for record in snapshot.records:
                self._on_record(record)
            self._on_snapshot({record.key for record in snapshot.records})
            self._offset = snapshot.end
            return
        records, self._offset = await self._store.read(
            self.topic,
            self._offset,
            self._wait_s,
        )
        for record in records:
            self._on_record(record)

    def _lost(self, error: StoreError) -> None:
        if self.reachable:
            self._journal.write("store_lost", topic=self.topic, error=str(error))
        self.reachable = False
        self._on_progress(False)

    def _regained(self) -> None:
        if not self.reachable:
            self._journal.write("store_regained", topic=self.topic, offset=self._offset)
        self.reachable = True
        self._on_progress(True)
