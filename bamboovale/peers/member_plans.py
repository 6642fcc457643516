"""Which members of messages need a conversion, worked out once by their types.

Most members are numbers and text, which CBOR keeps as they are. Looking up the types
of all members of a record at once costs far less than a check of each member: a large
fleet exchanges thousands of records while it starts.
"""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

MAX_PLANS = 256
"""Plans kept for one class, against peers that vary the types of members."""

Convert = Callable[[Any], Any]


class Coder(NamedTuple):
    """Converts one kind of member; a value of a type in ``unchanged`` stays as is."""

    write: Convert
    read: Convert
    unchanged: frozenset[type] = frozenset()


class MemberPlans:
    """Converts the members of one kind of record, given in the order of its fields."""

    def __init__(
        self, converts: Sequence[Convert], unchanged: Sequence[frozenset[type]]
    ) -> None:
        self._converts = converts
        self._unchanged = unchanged
        self._plan_by_types: dict[
            tuple[type, ...], tuple[tuple[int, Convert], ...]
        ] = {}

    def __len__(self) -> int:
        """Return the number of remembered combinations of types."""
        return len(self._plan_by_types)

    @classmethod
    def of_writing(cls, coders: Sequence[Coder]) -> "MemberPlans":
        """Return the conversion of members into CBOR values."""
        unchanged = [coder.unchanged for coder in coders]
        return cls([coder.write for coder in coders], unchanged)

    @classmethod
    def of_reading(cls, coders: Sequence[Coder]) -> "MemberPlans":
        """Return the conversion of CBOR values into members."""
        unchanged = [coder.unchanged for coder in coders]
        return cls([coder.read for coder in coders], unchanged)

    def convert(self, members: Sequence[Any]) -> Sequence[Any]:
        """Return the converted members; there may be fewer than fields.

        Raises what the conversion of a member raises.
        """
        types = tuple(map(type, members))
        plan = self._plan_by_types.get(types)
        is_new = plan is None
        if plan is None:
            plan = self._plan(types)
        if plan:
            members = list(members)
            for number, convert in plan:
                members[number] = convert(members[number])
        if is_new and len(self._plan_by_types) < MAX_PLANS:
            self._plan_by_types[types] = plan
        return members

    def _plan(self, types: tuple[type, ...]) -> tuple[tuple[int, Convert], ...]:
        """Return the positions to convert, each with its conversion."""
        return tuple(
            (number, self._converts[number])
            for number, kind in enumerate(types)
            if kind not in self._unchanged[number]
        )
