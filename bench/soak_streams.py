"""Check of a soak: resumed streams, at engines of several software versions."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from math import inf
from typing import TYPE_CHECKING

from bamboovale.standins.stream_versions import StreamAttempt, versions_by_stream
from bench.soak_spans import FaultSpan

if TYPE_CHECKING:
    from bench.soak_callers import Attempt
    from bench.soak_site import Life

STABLE_S = 3.0
"""Time without disruption after which a VM is in touch, as configured."""
MIN_ENGINES = 2
LONG_ROUTE = "long"


@dataclass(frozen=True)
class SoftwareSpan:
    """When an engine served with a software version."""

    engine: str
    version: str
    since: float
    until: float = inf

    def ended(self, engine: str, at: float) -> "SoftwareSpan":
        """Return the span, ended if it is of this engine and still open."""
        is_open = self.engine == engine and self.until == inf
        return replace(self, until=at) if is_open else self


def stream_attempts(
    attempts: Sequence["Attempt"],
    faults: Sequence[FaultSpan],
    lives: Sequence["Life"],
    software: Sequence[SoftwareSpan],
) -> list[StreamAttempt]:
    """Return the attempts at resumable streams for the check of all of them."""
    streams = [attempt for attempt in attempts if attempt.kind.value == LONG_ROUTE]
    plain = [StreamAttempt(a.request_id, a.resumes, a.body) for a in streams]
    versions = versions_by_stream(plain)
    found = []
    for attempt, stream in zip(streams, plain, strict=True):
        counts = _in_touch(attempt, faults, lives)
        if attempt.resumes is not None:
            began = versions.get(attempt.resumes, set())
            counts = counts and _has_engines(attempt, began, software)
        found.append(replace(stream, counts=counts))
    return found


def _in_touch(
    attempt: "Attempt", faults: Sequence[FaultSpan], lives: Sequence["Life"]
) -> bool:
    """Return whether the attempt's VM and the store were without disruption."""
    since, until = attempt.sent_at - STABLE_S, attempt.ended_at
    subjects = (attempt.vm, "store")
    if any(f.subject in subjects and f.overlaps(since, until) for f in faults):
        return False
    times = [
        at
        for life in lives
        if life.vm == attempt.vm
        for at in (life.started_at, life.stopped_at, life.killed_at, life.ended_at)
    ]
    return not any(at is not None and since <= at <= until for at in times)


def _has_engines(
    attempt: "Attempt", versions: set[str], software: Sequence[SoftwareSpan]
) -> bool:
    """Return whether two engines of the stream's software served all the while."""
    serving = [
        span
        for span in software
        if span.version in versions
        and span.since <= attempt.sent_at
        and span.until >= attempt.ended_at
    ]
    return len(versions) == 1 and len(serving) >= MIN_ENGINES
