"""Received bytes that a parser is given piece by piece."""

import re

PIECE_BYTES = 16 * 1024
"""Bytes of a body that are given to a parser at once."""
MAX_HEAD_BYTES = 64 * 1024
MAX_HEAD_LINES = 512
"""Each line takes much more memory than it has bytes."""
FIRST_PRINTABLE = 0x21
END_OF_HEAD = re.compile(rb"\n\r?\n")
SEARCHED_AGAIN_BYTES = 2
"""Of the end of a head, which may come in two pieces."""


class HeadTooLarge(Exception):  # noqa: N818 - names the condition
    """The head of a message has too many bytes or lines."""


class ReceivedBytes:
    """Bytes that wait to be taken apart.

    Guards against a parser that copies, searches or takes apart anew all that is
    received: each byte is searched once, and what is taken at once is bounded.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self._searched = 0

    def __len__(self) -> int:
        """Return how many bytes wait."""
        return len(self._data)

    def add(self, data: bytes | bytearray) -> None:
        """Add received bytes."""
        self._data += data

    def put_back(self, data: bytes | bytearray) -> None:
        """Put bytes that were taken before all others again."""
        self._data[:0] = data
        self._searched = 0

    def take_piece(self) -> bytes:
        """Take bytes of a body."""
        return self._take(PIECE_BYTES)

    def take_head(self) -> bytes:
        """Take a whole head, empty if there is none yet; raises HeadTooLarge.

        What cannot begin a head is taken at once, for the parser to refuse.
        """
        if self._data and self._data[0] < FIRST_PRINTABLE:
            return self._take(1)
        found = END_OF_HEAD.search(self._data, self._searched)
        size = found.end() if found else len(self._data)
        if size > MAX_HEAD_BYTES:
            raise HeadTooLarge(f"a head of more than {MAX_HEAD_BYTES} bytes")
        if self._data.count(b"\n", 0, size) > MAX_HEAD_LINES:
            raise HeadTooLarge(f"a head of more than {MAX_HEAD_LINES} lines")
        if found:
            return self._take(size)
        self._searched = max(0, size - SEARCHED_AGAIN_BYTES)
        return b""

    def clear(self) -> None:
        """Let go of all bytes."""
        self._data = bytearray()
        self._searched = 0

    def _take(self, size: int) -> bytes:
        taken = bytes(self._data[:size])
        del self._data[:size]
        self._searched = 0
        return taken
