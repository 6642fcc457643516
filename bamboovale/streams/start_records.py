"""Records in the metadata store of who began streams.

Guards against streams that cannot go on after all VMs ended at once. A few VMs write
what the others tell them, many starts in a record; a VM reads the records when neither
it nor those that it asked know a stream. The keys are used again in turn, so that the
newest record of each key is all that is needed of the topic.
"""

import asyncio
import json
import math
import time
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from bamboovale.decisions.rendezvous import first_members
from bamboovale.gateway.journal import Journal
from bamboovale.store.interface import (
    HistoryLostError,
    KeyedRecord,
    MetadataStore,
    StoreError,
)
from bamboovale.store.position import Position
from bamboovale.streams.messages import StreamBegan

DUTY = "stream records"
WRITERS = 2
"""VMs that write; each start is written by one of them."""
WRITE_INTERVAL_S = 0.15
"""Least time between two writes of one VM, as each is a priced call. The streams that
began in it are lost with all VMs."""
SLOTS = 240
"""Keys of one writer: they hold the starts of the last 36 s, and those of all writers
come in one answer of the store."""
RETRY_S = 0.5
MAX_WAITING = 2000
"""Bounds the starts that wait for the store; the oldest are dropped."""
MAX_ROWS = 500
"""Bounds one record."""
MIN_READ_INTERVAL_S = 0.25
"""Bounds the reads that callers may cause."""
READ_TIMEOUT_S = 0.5
"""How long a caller may wait for a read."""
READ_CHECK_INTERVAL_S = 0.01


class StartLog(Protocol):
    """Where starts are kept that outlast all VMs."""

    def writer_of(self, attempt_id: str) -> str | None:
        """Return the VM that writes the start of a stream."""

    def add(self, began: StreamBegan) -> None:
        """Have a start written soon, if this VM writes it."""

    async def read_new(self) -> bool:
        """Read the starts that are recorded by now; return whether that succeeded."""


class StartRecords:
    """Writes and reads the records; ``on_read`` is called with each recorded start.

    ``holders`` returns the VMs among which the writers are chosen. ``now`` is
    monotonic, in seconds; ``time_of_day`` counts the keys.
    """

    def __init__(
        self,
        own_id: str,
        topic: str,
        store: MetadataStore,
        journal: Journal,
        holders: Callable[[], Sequence[str]],
        on_read: Callable[[StreamBegan], None],
        now: Callable[[], float],
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self._own_id = own_id
        self._topic = topic
        self._store = store
        self._journal = journal
        self._holders = holders
        self._on_read = on_read
        self._now = now
        self._time_of_day = time_of_day
        self._waiting: deque[StreamBegan] = deque(maxlen=MAX_WAITING)
        self._added = asyncio.Event()
        self._write_fails = False
        self._next: Position | None = None
        self._wanted = asyncio.Event()
        self._sent_at = -math.inf
        self._read_at = -math.inf

    # Writing.

    def writer_of(self, attempt_id: str) -> str | None:
        """Return the VM that writes the start of a stream, None if none is known."""
        return next(iter(first_members(attempt_id, self._writers(), 1)), None)

    def _writers(self) -> list[str]:
        return first_members(DUTY, self._holders(), WRITERS)

    def add(self, began: StreamBegan) -> None:
        """Have a start written soon, if this VM writes it."""
        if self.writer_of(began.attempts[0]) == self._own_id:
            self._waiting.append(began)
            self._added.set()

    async def write_forever(self) -> None:
        """Write what waits, again after a failure; the first of a series is logged."""
        while True:
            await self._added.wait()
            rows = list(self._waiting)[:MAX_ROWS]
            try:
                await self._store.put(self._topic, self._key(), encode(rows))
            except StoreError as error:
                self._on_write_failed(error)
                await asyncio.sleep(RETRY_S)
                continue
            self._write_fails = False
            self._drop(rows)
            await asyncio.sleep(WRITE_INTERVAL_S)

    def _key(self) -> str:
        """Return the key that this VM uses now: no other write of late has it."""
        writers = self._writers()
        number = writers.index(self._own_id) if self._own_id in writers else 0
        slot = int(self._time_of_day() / WRITE_INTERVAL_S) % SLOTS
        return f"{number}.{slot}"

    def _drop(self, rows: Iterable[StreamBegan]) -> None:
        """Drop what was written; some of it may have been dropped as the oldest."""
        for row in rows:
            if self._waiting and self._waiting[0] is row:
                self._waiting.popleft()
        if not self._waiting:
            self._added.clear()

    def _on_write_failed(self, error: StoreError) -> None:
        if not self._write_fails:
            self._write_fails = True
            self._journal.write(
                "stream_record_lost", waiting=len(self._waiting), error=str(error)
            )

    # Reading.

    async def read_new(self) -> bool:
        """Read the starts that are recorded by now; return whether that succeeded.

        The reads that this causes are bounded, however often it is called.
        """
        wanted_at = self._now()
        while self._read_at < wanted_at:
            if self._now() - wanted_at > READ_TIMEOUT_S:
                return False
            if self._sent_at < wanted_at:
                self._wanted.set()
            await asyncio.sleep(READ_CHECK_INTERVAL_S)
        return True

    async def read_forever(self) -> None:
        """Read whenever that is wanted; failures are logged."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            self._sent_at = sent_at = self._now()
            try:
                await self._read()
            except StoreError as error:
                self._sent_at = -math.inf
                self._journal.write("stream_records_unread", error=str(error))
            else:
                self._read_at = sent_at
            await asyncio.sleep(MIN_READ_INTERVAL_S)

    async def _read(self) -> None:
        """Read the records since the last time, at first the newest of each key."""
        try:
            if self._next is None:
                snapshot = await self._store.newest(self._topic)
                self._next = snapshot.end
                self._journal.write("stream_records", records=len(snapshot.records))
                self._apply(snapshot.records)
                return
            records, self._next = await self._store.read(self._topic, self._next, 0.0)
        except HistoryLostError:
            self._next = None
            raise
        self._apply(records)

    def _apply(self, records: Iterable[KeyedRecord]) -> None:
        for record in records:
            if record.value is None:
                continue
            try:
                starts = decode(record.value)
            except (ValueError, TypeError) as error:
                self._journal.write("bad_record", key=record.key, error=repr(error))
                continue
            for began in starts:
                self._on_read(began)


def encode(starts: Sequence[StreamBegan]) -> bytes:
    """Return a record of starts."""
    rows = [
        [
            list(began.attempts),
            began.service,
            began.software_version,
            began.customer,
            round(began.life_s, 1),
        ]
        for began in starts
    ]
    return json.dumps(rows, separators=(",", ":")).encode()


def decode(value: bytes) -> list[StreamBegan]:
    """Return the starts of a record; raises ValueError or TypeError."""
    return [
        StreamBegan(
            tuple(str(attempt) for attempt in attempts),
            str(service),
            str(version),
            float(life_s),
            None if customer is None else str(customer),
        )
        for attempts, service, version, customer, life_s in json.loads(value)
    ]
