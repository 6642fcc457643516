"""Stream outcomes over time, grouped by the time of the request."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from bamboovale.plotting import axes_saved_to
from bamboovale.report.lines import RequestLine

STEP_S = 2.0
"""Shortest time step."""
MAX_STEPS = 40
"""Longer logs use longer steps, so that the table fits a screen."""


@dataclass(frozen=True)
class TimeStep:
    """Streams requested in one step; ``start_s`` counts from the first request.

    ``late_first`` and ``long_pause`` count served streams and may overlap.
    """

    start_s: float
    streams: int
    in_time: int
    late_first: int
    long_pause: int
    unserved: int


def time_steps(requests: Sequence[RequestLine]) -> list[TimeStep]:
    """Return the time steps of a log, including empty ones."""
    streams = [r for r in requests if r.kind == "stream" and r.requested_at is not None]
    if not streams:
        return []
    times = [r.requested_at or 0.0 for r in streams]
    first = min(times)
    step_s = STEP_S * max(1, math.ceil((max(times) - first) / STEP_S / MAX_STEPS))
    groups: list[list[RequestLine]] = [
        [] for _ in range(int((max(times) - first) / step_s) + 1)
    ]
    for request, at in zip(streams, times, strict=True):
        groups[int((at - first) / step_s)].append(request)
    return [_step(step_s * number, group) for number, group in enumerate(groups)]


def _step(start_s: float, group: Sequence[RequestLine]) -> TimeStep:
    served = [r for r in group if r.outcome == "answered"]
    late = sum(r.is_late_by_first or r.is_late_by_pause for r in served)
    return TimeStep(
        start_s=start_s,
        streams=len(group),
        in_time=len(served) - late,
        late_first=sum(r.is_late_by_first for r in served),
        long_pause=sum(r.is_late_by_pause for r in served),
        unserved=len(group) - len(served),
    )


def draw(requests: Sequence[RequestLine], path: Path) -> None:
    """Plot stream outcomes over time to a file; needs matplotlib."""
    steps = time_steps(requests)
    seconds = [step.start_s for step in steps]
    curves = {
        "asked for": [step.streams for step in steps],
        "in time": [step.in_time for step in steps],
        "first event late": [step.late_first for step in steps],
        "long pause": [step.long_pause for step in steps],
        "not served": [step.unserved for step in steps],
    }
    with axes_saved_to(path, x_label="second", y_label="streams") as axes:
        for name, counts in curves.items():
            axes.step(seconds, counts, where="post", label=name)
        axes.set_ylim(bottom=0.0)
