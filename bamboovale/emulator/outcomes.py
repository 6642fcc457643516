"""Outcomes of the requests of one simulation and its summary figures."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from bamboovale.emulator.scenario import RequestKind


@dataclass
class Outcome:
    """Outcome of one request; times in seconds.

    ``first_s`` is the time to the first event, None if there was none.
    """

    kind: RequestKind
    asked_at: float
    first_s: float | None = None
    longest_pause_s: float = 0.0
    complete: bool = False
    refused: bool = False

    @property
    def is_in_time(self) -> bool:
        """Return whether the stream is complete and met its goal and pause limit."""
        if not self.complete or self.first_s is None:
            return False
        paused = self.longest_pause_s > self.kind.pause_s
        return self.first_s <= self.kind.goal_s and not paused

    @property
    def credit(self) -> float:
        """Return 1 if in time, the kind's late credit if late and 0 if unserved."""
        if not self.complete:
            return 0.0
        return 1.0 if self.is_in_time else self.kind.late_credit


@dataclass
class Result:
    """Outcomes of all requests of one simulation and the engines' summed counts."""

    outcomes: list[Outcome] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def figures(self) -> dict[str, float]:
        """Return the summary figures of the simulation by name."""
        firsts = [o.first_s for o in self.outcomes if o.first_s is not None]
        pauses = [o.longest_pause_s for o in self.outcomes if o.complete]
        return {
            "worth": self._share(lambda o: o.credit),
            "in_time": self._share(lambda o: o.is_in_time),
            "late_by_first": self._share(_is_late_by_first),
            "late_by_pause": self._share(_is_late_by_pause),
            "unserved": self._share(lambda o: not o.complete),
            "first_p50": quantile(firsts, 0.5),
            "first_p95": quantile(firsts, 0.95),
            "pause_p50": quantile(pauses, 0.5),
            "pause_p95": quantile(pauses, 0.95),
            "cold_loads": float(self.counts["cold_loads"]),
            "warm_loads": float(self.counts["warm_loads"]),
            "preempted": float(self.counts["preempted"]),
        }

    def in_time_by_second(self, step_s: float = 2.0) -> list[tuple[float, float]]:
        """Return (start, share in time) of the requests of each ``step_s`` seconds."""
        by_step: dict[int, list[float]] = {}
        for outcome in self.outcomes:
            step = int(outcome.asked_at // step_s)
            by_step.setdefault(step, []).append(float(outcome.is_in_time))
        return [
            (step * step_s, sum(values) / len(values))
            for step, values in sorted(by_step.items())
        ]

    def first_within(self, goal_s: float) -> float:
        """Return the share of requests whose first event arrived within ``goal_s``."""
        return self._share(lambda o: o.first_s is not None and o.first_s <= goal_s)

    def _share(self, value: "object") -> float:
        assert callable(value)
        total = sum(float(value(outcome)) for outcome in self.outcomes)
        return total / max(1, len(self.outcomes))


def _is_late_by_first(outcome: Outcome) -> bool:
    first_s = outcome.first_s
    return outcome.complete and first_s is not None and first_s > outcome.kind.goal_s


def _is_late_by_pause(outcome: Outcome) -> bool:
    return outcome.complete and outcome.longest_pause_s > outcome.kind.pause_s


def quantile(values: Sequence[float], share: float) -> float:
    """Return the ``share`` quantile of the values, 0 if there are none."""
    ordered = sorted(values)
    return ordered[int((len(ordered) - 1) * share)] if ordered else 0.0
