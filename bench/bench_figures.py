"""Compute figures of a run from callers' results and engines' histories."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from bamboovale.models import WorkClass
from bench.bench_callers import Ending, Received
from bench.measures import Fill, Outcome, Record, Result, percentile, summarize
from bench.profiles import Profile

GRID_S = 0.05
OUTCOME_BY_ENDING = {
    Ending.WHOLE: Outcome.SERVED,
    Ending.FLOWING: Outcome.SERVED,
    Ending.REFUSED: Outcome.REFUSED,
    Ending.GAVE_UP: Outcome.GAVE_UP,
    Ending.BROKEN: Outcome.BROKEN,
    Ending.WAITING: Outcome.OPEN,
}


@dataclass
class Observation:
    """The results of one scenario with one policy."""

    received: list[Received]
    events_by_engine: Mapping[str, Sequence[Mapping[str, Any]]]
    start_at: float
    seconds: float
    settle_s: float
    entry_cpu_s: float
    code_counts: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.code_counts.update(
            f"{item.ending}: {item.code}" for item in self.received if item.code
        )

    def figures(self, profile: Profile, idle_wait_s: float) -> dict[str, float]:
        """Return the figures by name, without arrivals of the settling time."""
        result = Result(
            records=[to_record(item, idle_wait_s) for item in self.received],
            fill=self.fill(profile, idle_wait_s),
            loads=self.count("load"),
            seconds=self.seconds,
        )
        figures = summarize(result, settle_s=self.settle_s)
        figures["refusal wait p95"] = percentile(
            (
                item.wait_s
                for item in self.received
                if item.ending is Ending.REFUSED and item.arrival.at >= self.settle_s
            ),
            0.95,
        )
        figures["entry CPU ms per request"] = (
            1000 * self.entry_cpu_s / max(1, len(self.received))
        )
        return figures

    def count(self, event: str) -> int:
        """Return the number of events of a type in all engine histories."""
        return sum(
            recorded["event"] == event
            for events in self.events_by_engine.values()
            for recorded in events
        )

    def fill(self, profile: Profile, idle_wait_s: float) -> Fill:
        """Return the usage of places while any request waited over ``idle_wait_s``."""
        steps = int(self.seconds / GRID_S) + 1
        waiting = _levels(
            [
                change
                for item in self.received
                for change in _wait_changes(item, idle_wait_s)
            ],
            steps,
        )
        running = _levels(self._run_changes(), steps)
        places = profile.engines * profile.max_num_seqs
        fill = Fill()
        for step in range(int(self.settle_s / GRID_S), steps):
            if waiting[step] > 0:
                fill.add(running[step], places, GRID_S)
        return fill

    def _run_changes(self) -> list[tuple[float, int]]:
        change_by_event = {"run_start": 1, "run_end": -1}
        return [
            (recorded["time"] - self.start_at, change_by_event[recorded["event"]])
            for events in self.events_by_engine.values()
            for recorded in events
            if recorded["event"] in change_by_event
        ]


def _wait_changes(item: Received, idle_wait_s: float) -> list[tuple[float, int]]:
    if item.wait_s <= idle_wait_s:
        return []
    begin = item.arrival.at + idle_wait_s
    return [(begin, 1), (item.arrival.at + item.wait_s, -1)]


def _levels(changes: Iterable[tuple[float, int]], steps: int) -> list[int]:
    """Return the running sum of the changes at each grid point."""
    change_by_step: Counter[int] = Counter()
    for at, change in changes:
        change_by_step[max(0, int(at / GRID_S) + 1)] += change
    levels, level = [], 0
    for step in range(steps):
        level += change_by_step[step]
        levels.append(level)
    return levels


def to_record(item: Received, idle_wait_s: float) -> Record:
    """Convert the result of an arrival to a record of :mod:`bench.measures`."""
    return Record(
        customer=item.arrival.customer,
        work_class=item.arrival.work_class,
        arrived_at=item.arrival.at,
        max_wait_s=item.arrival.max_wait_s,
        wait_s=item.wait_s,
        stall_s=max(0.0, item.wait_s - idle_wait_s),
        outcome=OUTCOME_BY_ENDING[item.ending],
        ended_at=item.ended_at,
    )


def others_wait_p95(
    received: Iterable[Received],
    hot_customer: str,
    settle_s: float,
) -> float:
    """Return the p95 wait of requests not refused, without a hot customer's."""
    return percentile(
        (
            item.wait_s
            for item in received
            if item.arrival.customer != hot_customer
            and item.arrival.at >= settle_s
            and item.ending is not Ending.REFUSED
        ),
        0.95,
    )


def interactive_wait_p95(received: Iterable[Received], settle_s: float) -> float:
    """Return the p95 wait of interactive requests; refused ones count as infinite."""
    return percentile(
        (
            math.inf if item.ending is Ending.REFUSED else item.wait_s
            for item in received
            if item.arrival.work_class is WorkClass.INTERACTIVE
            and item.arrival.at >= settle_s
        ),
        0.95,
    )
