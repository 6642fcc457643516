"""Recent changes in a topic, for neighbours that do not read the store themselves."""

from collections import deque

from bamboovale.fleet.messages import TopicRow

MAX_ROWS = 512
"""Changes kept; a VM that is further behind reads the topic from the store."""
MAX_BYTES = 1024 * 1024
"""Bounds the same: a message holds up to 4 MB, and all of them may go into one."""


class TopicChanges:
    """The records that changed state, within a range of offsets of a topic.

    Offsets are those of positions (``store.position``), so that each of a later era of
    the store is later. ``next_offset`` is the one up to which all records are known,
    None before the first read.
    """

    def __init__(self) -> None:
        self.next_offset: int | None = None
        self._first_offset = 0
        self._rows: deque[TopicRow] = deque()
        self._bytes = 0

    def reset(self, offset: int) -> None:
        """Drop all records and continue from an offset."""
        self.next_offset = offset
        self._first_offset = offset
        self._rows.clear()
        self._bytes = 0

    def advance(self, next_offset: int, rows: list[TopicRow]) -> None:
        """Add the changes up to an offset."""
        if self.next_offset is None:
            # The first read returns the whole state, not changes.
            self.reset(next_offset)
            return
        self._rows.extend(rows)
        self._bytes += sum(map(_size_of, rows))
        while len(self._rows) > MAX_ROWS or self._bytes > MAX_BYTES:
            oldest = self._rows.popleft()
            self._bytes -= _size_of(oldest)
            self._first_offset = oldest[2] + 1
        self.next_offset = max(self.next_offset, next_offset)

    def has_rows_from(self, offset: int) -> bool:
        """Return whether a record at the offset or later changed state."""
        return bool(self._rows) and self._rows[-1][2] >= offset

    def rows_from(self, offset: int) -> tuple[int, list[TopicRow]]:
        """Return the rows since an offset, and the offset from which they are complete.

        The latter follows the last row before them, as nothing changed in between. It
        is later than the given offset if older rows have been dropped.
        """
        rows: list[TopicRow] = []
        for row in reversed(self._rows):
            if row[2] < offset:
                return row[2] + 1, rows[::-1]
            rows.append(row)
        return self._first_offset, rows[::-1]


def _size_of(row: TopicRow) -> int:
    key, value, _ = row
    return len(key) + len(value or b"")
