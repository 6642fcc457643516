"""Follow the store's topics: what the operator wrote and which endpoints live."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.gateway.journal import Journal
from bamboovale.gateway.store import (
    HistoryLostError,
    KeyedRecord,
    MetadataStore,
    StoreError,
)

NEWS_LOOK_S = 0.2
"""Between two looks whether other readers' news has become too old: a sixth of the time
after which it has."""
RETRY_S = 0.5
"""Between tries while the store fails; a call is priced, an outage lasts seconds."""
RETURN_S = 2.5
"""Records that lapsed in an outage are back within two seconds of its end."""


Apply = Callable[[KeyedRecord], bool | None]
"""Takes a record; False if it changed nothing that others need to know."""


@dataclass(frozen=True)
class News:
    """The records that changed something between two offsets of a topic."""

    first_offset: int
    next_offset: int
    records: tuple[KeyedRecord, ...]


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
        on_news: Callable[[News], None] = lambda news: None,
        may_read: Callable[[float], bool] = lambda news_age_s: True,
        now: Callable[[], float] = time.monotonic,
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
        self._on_news = on_news
        self._may_read = may_read
        self._now = now
        self._offset: int | None = None
        self._news_at = 0.0
        self._reading = False

    async def follow(self) -> None:
        """Read for ever; failures are logged once and tried again."""
        while True:
            if self._offset is not None and not self._may_read(self._news_age_s()):
                await asyncio.sleep(NEWS_LOOK_S)
                continue
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
        first = self._offset
        self._reading = True
        try:
            records, following = await self._store.read(
                self.topic,
                first,
                self._wait_s,
            )
        finally:
            self._reading = False
        changed = tuple(r for r in records if self._on_record(r) is not False)
        self._offset = max(following, self._offset)
        self._news_at = self._now()
        self._on_news(News(first, following, changed))

    def take_news(self, news: News) -> None:
        """Take what another VM has read, if nothing is missing before it.

        Not during a read of our own: what we take from others would seem unchanged in
        what we read, so that our news would leave it out, and a VM that hears ours
        first would never learn of it.
        """
        if self._reading or self._offset is None or news.first_offset > self._offset:
            return
        for record in news.records:
            if record.offset >= self._offset:
                self._on_record(record)
        self._offset = max(self._offset, news.next_offset)
        self._news_at = self._now()
        self._regained()

    def _news_age_s(self) -> float:
        return self._now() - self._news_at

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
