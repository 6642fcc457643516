"""What changed in a topic of late, for neighbours that do not read it themselves."""

from collections import deque

from bamboovale.fleet.messages import TopicRow

MOST_ROWS = 512
"""Changes kept: a minute of a pool of hundreds of endpoints that is replaced. Whoever
is further behind reads the topic."""


class TopicChanges:
    """The records that changed something, between two offsets of a topic.

    ``next_offset`` is the offset up to which everything is known, None before the
    first read.
    """

    def __init__(self) -> None:
        self.next_offset: int | None = None
        self._begins_at = 0
        self._rows: deque[TopicRow] = deque()

    def begin(self, offset: int) -> None:
        """Begin at an offset with nothing before it known."""
        self.next_offset = offset
        self._begins_at = offset
        self._rows.clear()

    def advance(self, next_offset: int, rows: list[TopicRow]) -> None:
        """Note all that changed up to an offset."""
        if self.next_offset is None:
            # The first read tells all there is, not what has changed.
            self.begin(next_offset)
            return
        self._rows.extend(rows)
        while len(self._rows) > MOST_ROWS:
            self._begins_at = self._rows.popleft()[2] + 1
        self.next_offset = max(self.next_offset, next_offset)

    def has_rows_from(self, offset: int) -> bool:
        """Tell whether a record at the offset or later changed something."""
        return bool(self._rows) and self._rows[-1][2] >= offset

    def rows_from(self, offset: int) -> tuple[int, list[TopicRow]]:
        """Return the rows since an offset, and from where on they are all there were.

        That is the end of the row before them: nothing changed in between. Later than
        the offset asked for if that is too long ago.
        """
        rows: list[TopicRow] = []
        for row in reversed(self._rows):
            if row[2] < offset:
                return row[2] + 1, rows[::-1]
            rows.append(row)
        return self._begins_at, rows[::-1]
