"""Follow the store's topics of operator records and endpoint records."""

import asyncio
import contextlib
import math
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from bamboovale.fleet.messages import TopicRow
from bamboovale.fleet.topic_changes import TopicChanges
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.ownership import lease_clock
from bamboovale.store.eras import StoreEras
from bamboovale.store.interface import (
    HistoryLostError,
    KeyedRecord,
    MetadataStore,
    NoAnswerError,
    Part,
    StoreError,
)
from bamboovale.store.position import Position
from bamboovale.store.record_guard import RecordGuard

STALENESS_CHECK_INTERVAL_S = 0.5
"""Interval of checks whether updates from other readers have become stale."""
RETRY_S = 0.5
"""Delay between retries while the store fails, as each call is priced. A read without
an answer is retried at once."""


PROOF_TIMEOUT_S = 0.5
"""How long a request may wait for a read."""
PROOF_CHECK_INTERVAL_S = 0.01
MIN_PROOF_INTERVAL_S = 0.25
"""Bounds the reads that requests may cause, as each call is priced."""

OnRecord = Callable[[KeyedRecord], bool | None]
"""Applies a record; returns False if it changed nothing that other VMs need."""


class _ReadRestarted(Exception):  # noqa: N818 - reads as what happened
    """The open read was cancelled in favour of a new one."""


class TopicFollower:
    """Reads one keyed topic forever and passes each change on.

    ``on_odd`` is called with each record that ``on_record`` fails at.

    ``known_keys`` returns the keys that are reported as removed if a full read lacks
    them. ``pause_s`` returns the pause between two reads, which bounds the calls for a
    topic that changes constantly. ``changes`` are kept for VMs that do not read;
    ``on_changed`` is called when there are new ones. ``may_read`` takes the seconds
    since the last progress. ``reachable`` is whether this VM's last read was answered.
    ``on_proof`` is called with the latest moment, by ``lease_clock``, at which nothing
    newer than what was read existed. ``on_snapshot`` is called after a read of the
    newest records alone, which may leave out earlier ones. ``eras`` tells when the
    store has returned from an older copy.
    """

    def __init__(
        self,
        topic: str,
        store: MetadataStore,
        journal: Journal,
        eras: StoreEras,
        *,
        on_record: OnRecord,
        on_odd: OnRecord = lambda record: None,
        wait_s: Callable[[], float],
        pause_s: Callable[[], float],
        retry_s: Callable[[], float] = lambda: RETRY_S,
        known_keys: Callable[[], set[str]] = set,
        on_changed: Callable[[], None] = lambda: None,
        on_answer: Callable[[], None] = lambda: None,
        on_failure: Callable[[], None] = lambda: None,
        on_proof: Callable[[float], None] = lambda proven_at: None,
        on_snapshot: Callable[[], None] = lambda: None,
        may_read: Callable[[float], bool] = lambda progress_age_s: True,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.topic = topic
        self.reachable = False
        self.changes = TopicChanges()
        self._store = store
        self._journal = journal
        self._eras = eras
        self._guard = RecordGuard(topic, journal, on_record, on_odd)
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._retry_s = retry_s
        self._known_keys = known_keys
        self._on_changed = on_changed
        self._on_answer = on_answer
        self._on_failure = on_failure
        self._on_proof = on_proof
        self._on_snapshot = on_snapshot
        self._may_read = may_read
        self._now = now
        self._needs_snapshot = True
        self._proof_wanted = False
        self._woken = asyncio.Event()
        self._proven_at = -math.inf
        self._progress_at = 0.0
        self._reading = False
        self._is_behind = self._has_more = False
        self._read_started_at: float | None = None
        self._answered_at: float | None = None
        self._open_poll: asyncio.Timeout | None = None
        self._open_poll_s = 0.0

    async def follow(self) -> None:
        """Read forever; failures are retried, the first of a series is logged."""
        while True:
            if not self._must_read():
                await self._sleep(STALENESS_CHECK_INTERVAL_S)
                continue
            try:
                await self._step()
            except _ReadRestarted:
                continue
            except HistoryLostError:
                self._journal.write(
                    "history_lost", topic=self.topic, at=self._known().offset
                )
                self._needs_snapshot = True
                continue
            except StoreError as error:
                self._on_failure()
                self._on_lost(str(error), self.open_read_s())
                if not isinstance(error, NoAnswerError):
                    await asyncio.sleep(self._retry_s())
                continue
            self._answered_at = self._now()
            self._on_answer()
            self._on_regained()
            if not self._has_more:
                await self._sleep(self._pause_s())

    async def _sleep(self, seconds: float) -> None:
        """Sleep until a read is wanted."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._woken.wait()
        self._woken.clear()

    def _must_read(self) -> bool:
        is_due = self._needs_snapshot or self._proof_wanted or self._is_behind
        return is_due or self._may_read(self._progress_age_s())

    def read_anew(self, delay_s: float) -> None:
        """Read the newest records after a delay, as the store may hold older ones."""
        asyncio.get_running_loop().call_later(delay_s, self._begin_anew)

    def _begin_anew(self) -> None:
        if self._known().era == self._eras.current:
            # It was read meanwhile.
            return
        self._needs_snapshot = True
        self._woken.set()
        self.stop_read()

    def open_read_s(self) -> float | None:
        """Return the age of the last read in seconds, None if it was answered."""
        started_at, answered_at = self._read_started_at, self._answered_at
        if started_at is None or (
            answered_at is not None and answered_at >= started_at
        ):
            return None
        return self._now() - started_at

    def answered_s_ago(self) -> float | None:
        """Return the seconds since the store answered a read, None if it never did."""
        return None if self._answered_at is None else self._now() - self._answered_at

    async def prove(self) -> bool:
        """Read the topic now; return whether the store answered in time.

        The reads that this causes are bounded, however often it is called.
        """
        wanted_at = lease_clock()
        while self._proven_at < wanted_at:
            waited_s = lease_clock() - wanted_at
            if waited_s > PROOF_TIMEOUT_S:
                return False
            if lease_clock() - self._proven_at >= MIN_PROOF_INTERVAL_S:
                self._proof_wanted = True
                self._woken.set()
                self.restart_read(0.0)
            await asyncio.sleep(PROOF_CHECK_INTERVAL_S)
        return True

    async def _step(self) -> None:
        self._read_started_at = self._now()
        self._reading = True
        is_for_proof = self._proof_wanted
        self._proof_wanted = False
        sent_at = lease_clock()
        try:
            waited_s = await (
                self._read_all()
                if self._needs_snapshot
                else self._read_next(0.0 if is_for_proof else self._wait_s())
            )
        finally:
            self._reading = False
        self._progress_at = self._now()
        if self._eras.is_rewritten() and not self._is_behind:
            self._proven_at = sent_at + waited_s
            self._on_proof(self._proven_at)

    async def _read_all(self) -> float:
        """Read the newest record of each key; known keys that are missing are gone.

        Returns 0: the records are at least as new as when the read was sent.
        """
        snapshot = await self._store.newest(self.topic)
        present = {record.key for record in snapshot.records}
        last = snapshot.end - min(1, snapshot.end.offset)
        missing = sorted(self._known_keys() - present)
        records = sorted(snapshot.records, key=lambda record: record.position)
        records += [KeyedRecord(key, None, last) for key in missing]
        if self._is_of_earlier_era(snapshot.end):
            self._log_return(snapshot.end, lost=missing)
            # Other VMs know other records of the last era, and read all by themselves.
            copies = [replace(record, from_copy=True) for record in records]
            await self._guard.apply_all(copies)
            self.changes.reset(int(snapshot.end))
        else:
            results = await self._guard.apply_all(records)
            self._keep(records, results, snapshot.end)
        self._on_snapshot()
        self._needs_snapshot = self._is_behind = self._has_more = False
        return 0.0

    async def _read_next(self, wait_s: float) -> float:
        """Read the next records; return for how long there were certainly none."""
        first = self._known()
        sent_at = lease_clock()
        part = await self._read_until_restarted(first, wait_s)
        results = await self._guard.apply_all(part.records)
        self._keep(part.records, results, part.following)
        self._is_behind = not part.is_last
        # Without records the next answer may be the same: it is no reason to hurry.
        self._has_more = self._is_behind and bool(part.records)
        # An answer without records that came early does not tell when it was given.
        waited = not part.records and lease_clock() - sent_at >= wait_s
        return wait_s if waited else 0.0

    async def _read_until_restarted(self, first: Position, wait_s: float) -> Part:
        try:
            async with asyncio.timeout(None) as self._open_poll:
                self._open_poll_s = wait_s
                return await self._store.read(self.topic, first, wait_s)
        except TimeoutError as error:
            raise _ReadRestarted from error
        finally:
            self._open_poll = None

    def restart_read(self, poll_s: float) -> None:
        """Replace an open read that waits for longer by a new one.

        An open read proves nothing until it is answered.
        """
        if self._open_poll_s > poll_s:
            self.stop_read()

    def stop_read(self) -> None:
        """Stop an open read that waits for changes; another one follows.

        It may be asked for again before the read has ended.
        """
        if self._open_poll is not None and not self._open_poll.expired():
            self._open_poll.reschedule(asyncio.get_running_loop().time())

    def _is_of_earlier_era(self, end: Position) -> bool:
        """Return whether what was read before is of an earlier era than a position."""
        known = self.changes.next_offset
        return known is not None and Position(known).era < end.era

    def _log_return(self, end: Position, lost: list[str]) -> None:
        before = self._known()
        self._journal.write(
            "topic_returned",
            topic=self.topic,
            era=end.era,
            offset=end.offset,
            era_before=before.era,
            offset_before=before.offset,
            lost_keys=len(lost),
        )

    def _keep(
        self,
        records: Sequence[KeyedRecord],
        results: Sequence[bool | None],
        next_offset: int,
    ) -> None:
        """Keep the records that changed something for other VMs."""
        pairs = zip(records, results, strict=True)
        changed = [record for record, result in pairs if result is not False]
        known = self.changes.next_offset or 0
        rows = [(r.key, r.value, int(max(r.position, known))) for r in changed]
        self.changes.advance(int(next_offset), rows)
        if rows:
            self._on_changed()

    def apply_rows(
        self, first_offset: int, next_offset: int, rows: Iterable[TopicRow]
    ) -> None:
        """Apply rows of another VM, if no earlier offset is missing.

        Ignored during a read of this VM: the read would contain the rows as unchanged,
        and they would not be passed on to VMs that receive updates only from here.
        """
        known = self.changes.next_offset
        if known is not None and self._is_of_earlier_era(Position(next_offset)):
            self._eras.observe(Position(next_offset).era, "peer")
            return
        if self._reading or known is None or first_offset > known:
            return
        if next_offset <= known:
            return
        self._progress_at = self._now()
        records = [KeyedRecord(*row) for row in rows if row[2] >= known]
        results = [self._guard.apply(record) for record in records]
        self._keep(records, results, next_offset)

    def _known(self) -> Position:
        """Return the position up to which all records are known, the first without."""
        return Position(self.changes.next_offset or 0)

    def _progress_age_s(self) -> float:
        return self._now() - self._progress_at

    def _on_lost(self, error: str, open_s: float | None) -> None:
        if self.reachable:
            self._journal.write(
                "store_lost",
                topic=self.topic,
                error=error,
                offset=self._known().offset,
                open_s=None if open_s is None else round(open_s, 3),
            )
        self.reachable = False

    def _on_regained(self) -> None:
        if not self.reachable:
            offset = self._known().offset
            self._journal.write("store_regained", topic=self.topic, offset=offset)
        self.reachable = True
