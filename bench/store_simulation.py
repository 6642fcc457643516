"""One topic of the metadata store, and VMs that follow it, in virtual time.

The VMs use the product's followers, eras and views; calls to the store and rows between
VMs are modelled.
"""

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import EndpointRecord
from bamboovale.store.eras import StoreEras
from bamboovale.store.follower import TopicFollower
from bamboovale.store.interface import (
    HistoryLostError,
    KeyedRecord,
    NoAnswerError,
    Part,
    Snapshot,
)
from bamboovale.store.position import Position
from bamboovale.store.watch import StoreWatch

ANSWER_S = 0.004
RETRY_S = 0.2
CHANGE_CHECK_S = 0.05
PAGE = 500
"""Records in one answer to a call for the newest."""
READY, LEAVING = b"ready", b"leaving"


@dataclass
class SharedStore:
    """One topic of records, which may be lost; ``written`` is what was written last."""

    era: int = 0
    records: list[tuple[str, bytes | None]] = field(default_factory=list)
    written: dict[str, bytes | None] = field(default_factory=dict)
    called_at: list[float] = field(default_factory=list)
    is_away: bool = False

    def return_from(self, older: list[tuple[str, bytes | None]]) -> None:
        """Lose what was written since a copy."""
        self.records = list(older)
        self.era += 1

    def append(self, key: str, value: bytes | None) -> None:
        """Write a record, as an endpoint does."""
        self.written[key] = value
        self.records.append((key, value))

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return the newest record of each key and its offset."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records):
            found.pop(key, None)
            if value is not None:
                found[key] = (offset, value)
        return found

    def write_again(self) -> None:
        """Write what is lost of what the endpoints wrote."""
        stored = {key: value for key, (_, value) in self.newest().items()}
        for key, value in self.written.items():
            if stored.get(key) != value:
                self.records.append((key, value))


@dataclass
class StoreLink:
    """One VM's way to the store."""

    store: SharedStore
    eras: StoreEras
    is_cut: bool = False

    async def newest(self, topic: str) -> Snapshot:
        """Return the newest record of each key."""
        await self._call()
        era, found = self.store.era, self.store.newest()
        for _ in range(math.ceil(len(found) / PAGE) - 1):
            await self._call()
        records = [
            KeyedRecord(key, value, Position.at(era, offset))
            for key, (offset, value) in found.items()
        ]
        return Snapshot(tuple(records), Position.at(era, len(self.store.records)))

    async def read(self, topic: str, position: Position, wait_s: float) -> Part:
        """Return the records from a position on."""
        waited_s = 0.0
        await self._call()
        while True:
            self._check_link()
            end = len(self.store.records)
            if position.era != self.store.era or position.offset > end:
                raise HistoryLostError("not stored")
            if position.offset < end or waited_s >= wait_s:
                break
            await asyncio.sleep(CHANGE_CHECK_S)
            waited_s += CHANGE_CHECK_S
        records = self.store.records[position.offset :]
        found = [
            KeyedRecord(key, value, Position(position + number))
            for number, (key, value) in enumerate(records)
        ]
        return Part(tuple(found), Position(position + len(found)))

    async def _call(self) -> None:
        self.store.called_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(ANSWER_S)
        if self.is_cut or self.store.is_away:
            await asyncio.sleep(RETRY_S)
        self._check_link()
        self.eras.observe(self.store.era, "store")

    def _check_link(self) -> None:
        if self.is_cut or self.store.is_away:
            raise NoAnswerError("no answer")


@dataclass(frozen=True)
class ReadTimes:
    """How long a read waits for a change, and the pause between two reads.

    VMs that only hear rows read ``delay_s`` after a return, and without rows for
    ``stale_s``.
    """

    wait_s: float = 0.3
    pause_s: float = 0.1
    stale_s: float = 4.0
    delay_s: Callable[[], float] = lambda: 0.0


class ModelVM:
    """The parts of one VM that follow the topic; it may only hear rows of others."""

    def __init__(
        self, store: SharedStore, times: ReadTimes = ReadTimes(), *, reads: bool
    ) -> None:
        journal = Journal("vm", logging.getLogger("none"))
        now = asyncio.get_running_loop().time
        self.eras = StoreEras(journal, now)
        self.watch = StoreWatch(now)
        self.eras.listen(self.watch.on_returned)
        self.view = EndpointView(journal, self.watch, now)
        self.link = StoreLink(store, self.eras)
        self.follower = TopicFollower(
            "endpoints",
            self.link,  # type: ignore[arg-type]
            journal,
            self.eras,
            on_record=self._on_record,
            known_keys=self.view.registered_ids,
            wait_s=lambda: times.wait_s,
            pause_s=lambda: times.pause_s,
            on_answer=self._on_answer,
            on_failure=self.watch.on_read_failed,
            may_read=lambda age_s: reads or age_s > times.stale_s,
            now=now,
        )
        self.eras.listen(
            lambda: self.follower.read_anew(0.0 if reads else times.delay_s())
        )
        self.ever_leaving: set[str] = set()
        self.removed: set[str] = set()
        self.gone: set[str] = set()

    def _on_answer(self) -> None:
        self.watch.on_answer()
        if self.watch.on_read():
            self.watch.on_settled()

    def _on_record(self, record: KeyedRecord) -> bool:
        self.gone |= self.removed - self.view.record_by_id.keys()
        if record.value is None:
            if not record.from_copy:
                self.removed.add(record.key)
            return self.view.on_record(
                record.key, None, record.position, from_copy=record.from_copy
            )
        decoded = EndpointRecord(
            record.key, "app", ("127.0.0.1", 1), "a", record.value == READY, 6
        )
        changed = self.view.on_record(
            record.key, decoded, record.position, from_copy=record.from_copy
        )
        self._check_older()
        return changed

    def _check_older(self) -> None:
        """Check that no endpoint is ready again that left, or that was removed."""
        known = self.view.record_by_id
        assert not self.gone & known.keys()
        for endpoint_id, record in known.items():
            if not record.ready:
                self.ever_leaving.add(endpoint_id)
            assert not (record.ready and endpoint_id in self.ever_leaving)

    def known_era(self) -> int:
        """Return the era of what this VM has read."""
        return Position(self.follower.changes.next_offset or 0).era

    def hear(self, other: "ModelVM") -> None:
        """Apply the rows that another VM tells."""
        known = self.follower.changes.next_offset
        following = other.follower.changes.next_offset
        if known is not None and following is not None:
            first, rows = other.follower.changes.rows_from(known)
            self.follower.apply_rows(first, following, rows)
