"""Typical speed of the engines of a pool, as engines without a known one count."""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol


class KnownSpeed(Protocol):
    """Speed of an engine in seconds; 0 if unknown."""

    @property
    def s_per_output_token(self) -> float:
        """Return the time of an output token."""

    @property
    def run_s(self) -> float:
        """Return the mean time of a run."""


@dataclass(frozen=True)
class PoolSpeed:
    """Medians over the engines that know theirs, in seconds; 0 if none does."""

    s_per_output_token: float = 0.0
    run_s: float = 0.0

    @classmethod
    def from_engines(cls, speeds: Iterable[KnownSpeed]) -> "PoolSpeed":
        """Return the medians of engines with these speeds."""
        known = [speed for speed in speeds if speed.run_s > 0.0]
        if not known:
            return UNKNOWN_SPEED
        return cls(
            statistics.median(speed.s_per_output_token for speed in known),
            statistics.median(speed.run_s for speed in known),
        )


UNKNOWN_SPEED = PoolSpeed()
