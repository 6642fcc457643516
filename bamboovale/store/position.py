"""Positions in the topics of the metadata store, which count within an era of it.

The store may return from an older copy. Then it gives its offsets out again, so that an
offset says nothing without the era in which it was given.
"""

from typing import Self

PER_ERA = 1 << 40
"""Positions in one era, more than any topic will hold."""


class Position(int):
    """An offset in an era; each position of a later era is later.

    Guards against comparing offsets of different eras. A platform that names no era is
    always in era 0, where positions are offsets.
    """

    @classmethod
    def at(cls, era: int, offset: int) -> Self:
        """Return the position of an offset in an era."""
        return cls(era * PER_ERA + offset)

    @property
    def era(self) -> int:
        """Return the era."""
        return self // PER_ERA

    @property
    def offset(self) -> int:
        """Return the offset in its era."""
        return self % PER_ERA
