"""Mechanisms of the decisions about engines that an experiment can switch off.

What a mechanism is worth shows only without it. All are on unless an operator names
some to be left out; a service that callers depend on leaves none out.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class Mechanism(Enum):
    """What can be switched off, by its name in settings and experiment files."""

    PACING = "pacing"
    READING_SPEED = "reading-speed"
    HELD_LATELY = "held-lately"
    OPEN_SLOTS = "open-slots"
    GOAL_ORDER = "goal-order"
    LATENESS = "lateness"
    EARLY_REFUSAL = "early-refusal"


@dataclass(frozen=True)
class Mechanisms:
    """Which mechanisms are switched off."""

    off: frozenset[Mechanism] = frozenset()

    @classmethod
    def without(cls, names: Iterable[str]) -> "Mechanisms":
        """Leave out what is named; raises ValueError for a name that is none."""
        return cls(frozenset(Mechanism(name) for name in names))

    def has(self, mechanism: Mechanism) -> bool:
        """Tell whether a mechanism is on."""
        return mechanism not in self.off


ALL_ON = Mechanisms()
