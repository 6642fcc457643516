"""Records in the metadata store of who began streams.

Guards against streams that cannot go on after all VMs ended at once. One VM writes
what the others tell it, many starts in a record; a VM reads the records when neither
it nor those that it asked know a stream. The keys are used again in turn, so that the
newest record of each key is all that is needed of the topic.
"""

import asyncio
import contextlib
import json
import math
import time
import zlib
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from bamboovale.decoding import reading, to_number, to_text
from bamboovale.gateway.journal import Journal
from bamboovale.store.interface import (
    HistoryLostError,
    KeyedRecord,
    MetadataStore,
    StoreError,
)
from bamboovale.store.position import Position
from bamboovale.store.record_guard import RecordGuard
from bamboovale.streams.messages import StreamBegan

WRITE_INTERVAL_S = 0.01
"""Least time between two writes while several versions serve, or did lately, as each is
a priced call. The streams that began in it are lost with all VMs."""
SINGLE_INTERVAL_S = 1.0
"""Time between two writes while one version serves."""
SLOT_S = 0.3
"""How long a writer uses one key: each write holds all starts of this time."""
SLOTS = 120
"""Keys of one writer: they hold the starts of the last 36 s."""
KEY_SETS = 2
"""Sets of keys, by the writer's name: two VMs that both take themselves for the writer
seldom replace one another's records. All keys come in one answer of the store."""
READ_ANEW_S = 30.0
"""Time after a read after which the newest record of each key is less to read than
all records since."""
RETRY_S = 0.5
MAX_WAITING = 2000
"""Bounds the starts that wait for the store; the oldest are dropped."""
MAX_ROWS = 300
"""Bounds one record."""
MIN_READ_INTERVAL_S = 0.25
"""Bounds the reads that callers may cause."""
READ_TIMEOUT_S = 0.5
"""How long a caller may wait for a read."""
READ_CHECK_INTERVAL_S = 0.01


class StartLog(Protocol):
    """Where starts are kept that outlast all VMs."""

    def writer(self) -> str | None:
        """Return the VM that writes the starts of streams."""

    def add(self, began: StreamBegan) -> None:
        """Have a start written soon, if this VM writes it."""

    async def read_new(self) -> bool:
        """Read the starts that are recorded by now; return whether that succeeded."""


@dataclass(frozen=True)
class _Waiting:
    """A start that is to be written, while its caller may come back."""

    began: StreamBegan
    expires_at: float


class StartRecords:
    """Writes and reads the records; ``on_read`` is called with each recorded start.

    ``holders`` returns the VMs of which the first one writes, the same at every VM.
    ``is_single`` returns whether a version is the only one of its service lately: then
    its starts may wait for longer. ``now`` is monotonic, in seconds; ``time_of_day``
    counts the keys.
    """

    def __init__(
        self,
        own_id: str,
        topic: str,
        store: MetadataStore,
        journal: Journal,
        holders: Callable[[], Sequence[str]],
        on_read: Callable[[StreamBegan], None],
        is_single: Callable[[str, str], bool],
        now: Callable[[], float],
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self._own_id = own_id
        self._topic = topic
        self._store = store
        self._journal = journal
        self._guard = RecordGuard(topic, journal, self._on_record)
        self._holders = holders
        self._on_read = on_read
        self._is_single = is_single
        self._key_set = zlib.crc32(own_id.encode()) % KEY_SETS
        self._now = now
        self._time_of_day = time_of_day
        self._waiting: deque[_Waiting] = deque(maxlen=MAX_WAITING)
        self._added = asyncio.Event()
        self._urgent = asyncio.Event()
        self._slot = -1
        self._written_in_slot: list[_Waiting] = []
        self._write_fails = False
        self._next: Position | None = None
        self._wanted = asyncio.Event()
        self._sent_at = -math.inf
        self._read_at = -math.inf

    # Writing.

    def writer(self) -> str | None:
        """Return the VM that writes, None if none is known."""
        return next(iter(self._holders()), None)

    def add(self, began: StreamBegan) -> None:
        """Have a start written soon, if this VM writes."""
        if self.writer() != self._own_id:
            return
        self._waiting.append(_Waiting(began, self._now() + began.life_s))
        self._added.set()
        if not self._is_single(began.service, began.software_version):
            self._urgent.set()

    def on_versions(self) -> None:
        """Write what waits sooner if another version of its service serves now."""
        began = [waiting.began for waiting in self._waiting]
        versions = {(start.service, start.software_version) for start in began}
        if not all(self._is_single(*version) for version in versions):
            self._urgent.set()

    async def write_forever(self) -> None:
        """Write what waits, again after a failure; the first of a series is logged."""
        while True:
            await self._added.wait()
            await self._until_due()
            self._drop_expired()
            try:
                await self._write()
            except StoreError as error:
                self._on_write_failed(error)
                await asyncio.sleep(RETRY_S)
                continue
            self._write_fails = False
            await asyncio.sleep(WRITE_INTERVAL_S)

    async def _write(self) -> None:
        """Write what waits with what was written to the same key; raises StoreError."""
        key = self._next_key()
        rows = list(self._waiting)[: MAX_ROWS - len(self._written_in_slot)]
        if rows:
            starts = [row.began for row in [*self._written_in_slot, *rows]]
            await self._store.put(self._topic, key, encode(starts))
        self._written_in_slot += rows
        self._drop(rows)

    def _next_key(self) -> str:
        """Return the key that this VM uses now."""
        slot = int(self._time_of_day() / SLOT_S) % SLOTS
        if slot != self._slot:
            self._slot = slot
            self._written_in_slot = []
        return f"{self._key_set}.{slot}"

    async def _until_due(self) -> None:
        """Wait while what waits need not be written yet."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SINGLE_INTERVAL_S - WRITE_INTERVAL_S):
                await self._urgent.wait()

    def _drop_expired(self) -> None:
        """Drop those that nobody can resume any more, after a long outage."""
        now = self._now()
        while self._waiting and self._waiting[0].expires_at <= now:
            self._waiting.popleft()

    def _drop(self, rows: Iterable[_Waiting]) -> None:
        """Drop what was written; some of it may have been dropped as the oldest."""
        for row in rows:
            if self._waiting and self._waiting[0] is row:
                self._waiting.popleft()
        if not self._waiting:
            self._added.clear()
            self._urgent.clear()

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
        """Read all records since the last time, or the newest of each key."""
        if self._next is None or self._now() - self._read_at > READ_ANEW_S:
            await self._read_newest()
            return
        try:
            await self._read_since(self._next)
        except HistoryLostError:
            await self._read_newest()

    async def _read_newest(self) -> None:
        self._next = None
        snapshot = await self._store.newest(self._topic)
        await self._guard.apply_all(snapshot.records)
        self._next = snapshot.end
        self._journal.write("stream_records", records=len(snapshot.records))

    async def _read_since(self, position: Position) -> None:
        """Read on until there are no more, as one answer may hold a part of them."""
        while True:
            part = await self._store.read(self._topic, position, 0.0)
            await self._guard.apply_all(part.records)
            self._next = part.following
            if part.following == position:
                return
            position = part.following

    def _on_record(self, record: KeyedRecord) -> None:
        for began in decode(record.value) if record.value is not None else ():
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
    """Return the starts of a record; raises BadRecordError."""
    with reading("starts"):
        return [
            StreamBegan(
                tuple(str(attempt) for attempt in attempts),
                to_text(service),
                to_text(version),
                to_number(life_s),
                None if customer is None else str(customer),
            )
            for attempts, service, version, customer, life_s in json.loads(value)
        ]
