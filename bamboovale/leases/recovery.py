"""How a reader that starts behind expired records finds a state to read on from.

It takes a snapshot of the table, if one lies on the stream. If none does (every VM
was down for a while, and the last snapshot expired), no reader knows the chains, and
without more nobody could ever take an engine again. The reader then waits until no
lease can be valid and appends a reset, which all readers fold alike.
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
    """Reads on from the oldest kept offset until there is a state."""

    _first: int
    _next_offset: int
    _last_record_offset: int
    _quiet_since: float

    def __init__(self, first: int, now: float) -> None:
        self._begin(first, now)

    def add(self, offset: int, value: Any, read_at: float) -> LeaseTable | None:
        """Take a record; return a table to read on from once there is one.

        Its ``next_offset`` may lie before records that were read already.
        """
        if offset < self._next_offset:
            return None
        if offset > self._next_offset:
            self._begin(offset, read_at)
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
        """Return from when a reset may be appended; rank 0 is first in turn.

        Records that are not known here may have named any term.
        """
        wait_s = terms.wait_s(terms.longest_term_s)
        return self._quiet_since + wait_s + rank * terms.rank_step_s

    def _begin(self, first: int, now: float) -> None:
        # Whatever lay before ``first`` is on the log no more, so it was appended
        # before now: a lease that it extended lapses within a term from now.
        self._first = first
        self._next_offset = first
        self._last_record_offset = first - 1
        self._quiet_since = now

    def _after_reset(self, offset: int, reset: Reset) -> LeaseTable | None:
        # What lay before the first record read counts as a lease record: a reset that
        # was written without having read it is not judged here.
        if self._last_record_offset > reset.after:
            return None
        table = LeaseTable.empty(offset + 1)
        table.last_record_offset = self._last_record_offset
        return table
