"""Recovery of the lease table by a reader whose first records have expired.

It uses a snapshot of the table if the stream holds one. If not (every VM was down
until the last snapshot expired), no reader could ever acquire a lease again. The
reader then waits until no lease can be valid and appends a reset.
"""

from typing import Any

from bamboovale.leases.fold import LeaseTable
from bamboovale.leases.records import (
    LeaseRecord,
    Reset,
    TableSnapshot,
    parse_record,
)
from bamboovale.leases.timing import LeaseTerms


class LeaseRecovery:
    """Reads from the oldest retained offset until it finds a lease table."""

    _first: int
    _next_offset: int
    _last_record_offset: int
    _quiet_since: float

    def __init__(self, first: int, now: float) -> None:
        self._restart(first, now)

    def add(self, offset: int, value: Any, read_at: float) -> LeaseTable | None:
        """Add a record; return a table to continue from once there is one.

        Its ``next_offset`` may be before records that were already read.
        """
        if offset < self._next_offset:
            return None
        if offset > self._next_offset:
            self._restart(offset, read_at)
        self._next_offset = offset + 1
        record = parse_record(value)
        if isinstance(record, TableSnapshot):
            return LeaseTable.from_snapshot(value, read_at, self._first)
        if isinstance(record, Reset):
            return self._after_reset(offset, record)
        if isinstance(record, LeaseRecord):
            self._last_record_offset = offset
            self._quiet_since = read_at
        return None

    def reset(self, record_id: str, node: str) -> Reset:
        """Return the record that ends every lease."""
        return Reset(record_id, node, after=self._next_offset - 1)

    def reset_allowed_at(self, terms: LeaseTerms, rank: int) -> float:
        """Return the time from which a reset may be appended; rank 0 is first.

        Unread records may have any term up to the longest.
        """
        wait_s = terms.wait_s(terms.longest_term_s)
        return self._quiet_since + wait_s + rank * terms.rank_step_s

    def _restart(self, first: int, now: float) -> None:
        # Records before ``first`` have expired, so they were appended before now: a
        # lease that they extended expires within a term from now.
        self._first = first
        self._next_offset = first
        self._last_record_offset = first - 1
        self._quiet_since = now

    def _after_reset(self, offset: int, reset: Reset) -> LeaseTable | None:
        # The record before the first one read is treated as a lease record: a reset
        # whose writer had not read it is ignored.
        if self._last_record_offset > reset.after:
            return None
        table = LeaseTable.empty(offset + 1)
        table.last_record_offset = self._last_record_offset
        return table
