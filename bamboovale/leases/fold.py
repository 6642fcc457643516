"""Leases on engines as a deterministic fold of the lease stream.

The records of an engine form a chain, and a record is valid only if its writer knew
the end of that chain: a renewal must come from the holder with its fencing number, a
take must name the last valid record of the engine. A fencing number is the offset of
the take or release that made the holder, so it is unique and only increases.

A node is one incarnation of an entry VM: a VM that restarts under the same id does
not own the leases of its previous incarnation.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from types import MappingProxyType
from typing import Any

from bamboovale.leases.records import (
    DEFAULT_TERM_S,
    LeaseRecord,
    Release,
    Renewal,
    Reset,
    TableSnapshot,
    Take,
    parse_record,
)

# The engine has no record yet.
NO_OFFSET = -1
# Beyond this number the engine with the oldest last record is dropped.
MAX_ENGINES = 4096


class LeaseGapError(Exception):
    """Records between ``next_offset`` and ``offset`` were not read."""

    def __init__(self, next_offset: int, offset: int) -> None:
        super().__init__(f"expected offset {next_offset}, read {offset}")
        self.next_offset = next_offset
        self.offset = offset


@dataclass(frozen=True, slots=True)
class Lease:
    """The holder of an engine, as far as the stream was read.

    ``holder`` is None after a release without a next node. ``last_offset`` is the
    offset of the last valid record, and ``read_at`` the reader's monotonic time when
    it read that record, from which it counts the time until it may take the lease.
    ``term_s`` is the longest term of the holder's records: an earlier renewal with a
    longer term may expire after the last one.
    """

    engine: str
    holder: str | None
    fencing: int
    last_offset: int
    read_at: float
    term_s: float = DEFAULT_TERM_S


class VoidReason(StrEnum):
    """Why a record was void."""

    OVERTAKEN = "overtaken"
    NOT_HOLDER = "not_holder"
    UNREADABLE = "unreadable"


@dataclass(frozen=True, slots=True)
class Renewed:
    """A renewal extended ``engines``; its node does not hold those in ``refused``."""

    offset: int
    record_id: str
    node: str
    engines: tuple[str, ...]
    refused: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Moved:
    """An engine has a new holder, by a take or by a release."""

    offset: int
    record_id: str
    engine: str
    previous: str | None
    holder: str | None
    fencing: int
    by_release: bool


@dataclass(frozen=True, slots=True)
class Void:
    """A record that changed nothing."""

    offset: int
    record_id: str
    engine: str
    node: str
    reason: VoidReason


@dataclass(frozen=True, slots=True)
class Cleared:
    """A reset ended every lease."""

    offset: int
    record_id: str


LeaseOutcome = Renewed | Moved | Cleared | Void


class LeaseTable:
    """The lease of each engine; owned by the actor that reads the stream."""

    def __init__(self) -> None:
        self.next_offset = 0
        self.void_records = 0
        # Offset of the last renewal, take or release, void or not.
        self.last_record_offset = NO_OFFSET
        self._lease_by_engine: dict[str, Lease] = {}

    @classmethod
    def empty(cls, next_offset: int = 0) -> "LeaseTable":
        """Return a table without leases whose next record is at ``next_offset``.

        An offset other than 0 is correct only for a stream without records, on which
        every lease has expired.
        """
        table = cls()
        table.next_offset = next_offset
        return table

    @property
    def lease_by_engine(self) -> Mapping[str, Lease]:
        """Return the leases as a read-only view."""
        return MappingProxyType(self._lease_by_engine)

    def last_offset(self, engine: str) -> int:
        """Return the offset that a take of this engine must name as ``after``."""
        lease = self._lease_by_engine.get(engine)
        return NO_OFFSET if lease is None else lease.last_offset

    def apply(self, offset: int, value: Any, read_at: float) -> LeaseOutcome | None:
        """Apply one record that was read at ``read_at`` (monotonic seconds).

        Records that were applied before and snapshots change nothing. Raises
        :class:`LeaseGapError` if records are missing before this one.
        """
        if offset < self.next_offset:
            return None
        if offset > self.next_offset:
            raise LeaseGapError(self.next_offset, offset)
        self.next_offset = offset + 1
        record = parse_record(value)
        if record is None:
            self.void_records += 1
            return Void(offset, "", "", "", VoidReason.UNREADABLE)
        if isinstance(record, TableSnapshot):
            return None
        if isinstance(record, Reset):
            return self._apply_reset(offset, record)
        self.last_record_offset = offset
        outcome = self._apply(offset, record, read_at)
        if isinstance(outcome, Void):
            self.void_records += 1
        return outcome

    def snapshot(self, record_id: str) -> dict[str, Any]:
        """Return the table as a value for the log."""
        return {
            "type": "snapshot",
            "id": record_id,
            "at": self.next_offset,
            "last": self.last_record_offset,
            "leases": [
                [
                    lease.engine,
                    lease.holder,
                    lease.fencing,
                    lease.last_offset,
                    lease.term_s,
                ]
                for _, lease in sorted(self._lease_by_engine.items())
            ],
        }

    @classmethod
    def from_snapshot(
        cls,
        value: Any,
        read_at: float,
        first: int = 0,
    ) -> "LeaseTable | None":
        """Return the table of a snapshot; None if the value is not a snapshot.

        Also None if it was taken before ``first``, the oldest retained offset: the
        records between them are gone. The reader continues at ``next_offset``. Each
        lease is treated as read now, which can only make the reader wait longer.
        """
        record = parse_record(value)
        if not isinstance(record, TableSnapshot) or record.at < first:
            return None
        table = cls.empty(record.at)
        table.last_record_offset = record.last
        for engine, holder, fencing, last_offset, term_s in record.leases:
            lease = Lease(engine, holder, fencing, last_offset, read_at, term_s)
            table._lease_by_engine[engine] = lease
        return table

    def _apply(
        self,
        offset: int,
        record: LeaseRecord,
        read_at: float,
    ) -> LeaseOutcome:
        if isinstance(record, Renewal):
            return self._apply_renewal(offset, record, read_at)
        if isinstance(record, Take):
            return self._apply_take(offset, record, read_at)
        return self._apply_release(offset, record, read_at)

    def _apply_renewal(self, offset: int, record: Renewal, read_at: float) -> Renewed:
        engines = []
        refused = []
        for engine, fencing in record.fencing_by_engine.items():
            if not self._holds(record.node, engine, fencing):
                refused.append(engine)
                continue
            lease = self._lease_by_engine[engine]
            self._lease_by_engine[engine] = replace(
                lease,
                last_offset=offset,
                read_at=read_at,
                term_s=max(lease.term_s, record.term_s),
            )
            engines.append(engine)
        return Renewed(
            offset=offset,
            record_id=record.record_id,
            node=record.node,
            engines=tuple(engines),
            refused=tuple(refused),
        )

    def _apply_take(self, offset: int, record: Take, read_at: float) -> Moved | Void:
        # Guards against two holders: a taker that read late or was paused before its
        # append would take an engine whose holder has renewed. Any valid record after
        # the one that the take names makes it void.
        if self.last_offset(record.engine) != record.after:
            return self._void(offset, record, VoidReason.OVERTAKEN)
        return self._move(offset, record, record.node, read_at)

    def _apply_release(
        self,
        offset: int,
        record: Release,
        read_at: float,
    ) -> Moved | Void:
        if not self._holds(record.node, record.engine, record.fencing):
            return self._void(offset, record, VoidReason.NOT_HOLDER)
        return self._move(offset, record, record.next_node, read_at)

    def _apply_reset(self, offset: int, record: Reset) -> Cleared | Void:
        # The writer waited until every lease unknown to it had expired. A record that
        # it had not read may have extended one, so the reset is void.
        if self.last_record_offset > record.after:
            self.void_records += 1
            return Void(offset, record.record_id, "", record.node, VoidReason.OVERTAKEN)
        self._lease_by_engine.clear()
        return Cleared(offset, record.record_id)

    def _move(
        self,
        offset: int,
        record: Take | Release,
        holder: str | None,
        read_at: float,
    ) -> Moved:
        before = self._lease_by_engine.get(record.engine)
        self._lease_by_engine[record.engine] = Lease(
            engine=record.engine,
            holder=holder,
            fencing=offset,
            last_offset=offset,
            read_at=read_at,
            # After a release the lease of the next node is valid only from its own
            # renewal, which a take before it voids, so the term need not be awaited.
            term_s=record.term_s if isinstance(record, Take) else DEFAULT_TERM_S,
        )
        if len(self._lease_by_engine) > MAX_ENGINES:
            leases = self._lease_by_engine.values()
            oldest = min(leases, key=lambda lease: lease.last_offset)
            del self._lease_by_engine[oldest.engine]
        return Moved(
            offset=offset,
            record_id=record.record_id,
            engine=record.engine,
            previous=None if before is None else before.holder,
            holder=holder,
            fencing=offset,
            by_release=isinstance(record, Release),
        )

    def _holds(self, node: str, engine: str, fencing: int) -> bool:
        lease = self._lease_by_engine.get(engine)
        return lease is not None and lease.holder == node and lease.fencing == fencing

    def _void(
        self,
        offset: int,
        record: Take | Release,
        reason: VoidReason,
    ) -> Void:
        return Void(offset, record.record_id, record.engine, record.node, reason)
