"""Mechanisms of the engine decisions that an experiment can switch off.

All are on unless an operator names some to leave out. A deployment that serves callers
leaves out none.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class Mechanism(Enum):
    """A mechanism, by its name in settings and experiment files."""

    PACING = "pacing"
    READING_SPEED = "reading-speed"
    HELD_LATELY = "held-lately"
    OPEN_SLOTS = "open-slots"
    GOAL_ORDER = "goal-order"
    LATENESS = "lateness"
    EARLY_REFUSAL = "early-refusal"
    VERSION_ELSEWHERE = "version-elsewhere"
    RANK_ORDER = "rank-order"
    RUN_SPEED = "run-speed"
    TWO_CHOICES = "two-choices"
    FREE_SLOTS = "free-slots"


@dataclass(frozen=True)
class Mechanisms:
    """The set of mechanisms that are switched off."""

    off: frozenset[Mechanism] = frozenset()

    @classmethod
    def without(cls, names: Iterable[str]) -> "Mechanisms":
        """Switch off the named mechanisms; raise ValueError for an unknown name."""
        return cls(frozenset(Mechanism(name) for name in names))

    def has(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is on."""
        return mechanism not in self.off


ALL_ON = Mechanisms()
