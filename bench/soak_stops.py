"""Check of a soak: planned stops lose no request that their VM has read.

It follows the operators' sentence on requests lost around planned work.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from math import inf

from bamboovale.standins.endpoint_signals import SignalRecord
from bamboovale.standins.platform_endpoints import Run
from bench.soak_callers import Attempt
from bench.soak_site import GRACE_S, Life
from bench.soak_spans import FaultSpan

STABLE_S = 3.0
"""Time without disruption after which requests count, as configured."""
AFTER_GRACE_S = 1.0
LOSS_SLACK_S = 0.2
"""Time after its last byte from which a request that was not sent on may not be lost,
as configured."""
RUNS_ON_S = 3.0
"""Time after SIGTERM until which a request may be sent whose run may be cut late."""
LATE_PART = 5.0 / 6.0
"""Part of the grace period from which requests may be cut that still run."""
COPIES = "answers come twice"
STALLED = "endpoint stalls"
BUSY = "busy machine"
"""Name of short suspensions of a VM: the platform does not see a late loop."""
HARMLESS = frozenset({COPIES, BUSY})
"""Faults that excuse no loss."""
BROKE_OFF = frozenset({"cut", "crashed"})
"""How runs end that their endpoint broke off."""


def passed_on(signals: Iterable[SignalRecord]) -> set[str]:
    """Return the ids of the requests that reached an endpoint, run or not."""
    return {arrival.request_id for record in signals for arrival in record.arrivals}


@dataclass(frozen=True)
class CutRequest:
    """A request that ended without a whole answer around its VM's planned stop.

    ``excuse`` is empty if the stop lost it; ``detail`` is what its caller saw.
    """

    request_id: str
    excuse: str
    detail: str


def cut_by_stops(
    attempts: Sequence[Attempt],
    faults: Sequence[FaultSpan],
    lives: Sequence[Life],
    runs_by_id: Mapping[str, Sequence[Run]],
    passed_on_ids: Collection[str] = (),
) -> Iterator[CutRequest]:
    """Yield each request that ended early around a planned stop of its VM."""
    for life in lives:
        if life.stopped_at is None:
            continue
        for attempt in attempts:
            if not _ends_in_stop(attempt, life):
                continue
            runs = runs_by_id.get(attempt.request_id, ())
            is_passed_on = bool(runs) or attempt.request_id in passed_on_ids
            excuse = _excuse(attempt, life, runs)
            if _is_crossed(attempt) and not is_passed_on:
                excuse = "crossed the close"
            elif _is_disturbed(attempt, faults, lives):
                excuse = "disturbed"
            detail = _describe(attempt, life, runs)
            yield CutRequest(attempt.request_id, excuse, detail)


def _ends_in_stop(attempt: Attempt, life: Life) -> bool:
    """Return whether a connection ended early in the time of a VM's planned stop."""
    assert life.stopped_at is not None
    if attempt.vm != life.vm or attempt.whole or attempt.left:
        return False
    if not attempt.sent_whole:
        return False
    if not life.started_at <= attempt.sent_at <= (life.ended_at or attempt.sent_at):
        return False
    until = life.stopped_at + GRACE_S + AFTER_GRACE_S
    return life.stopped_at <= attempt.ended_at <= until


def _is_crossed(attempt: Attempt) -> bool:
    """Return whether a request may have met the close of its connection."""
    return attempt.ended_at - attempt.sent_at <= LOSS_SLACK_S + attempt.late_s


def _excuse(attempt: Attempt, life: Life, runs: Sequence[Run]) -> str:
    """Return what ended the request if that was no loss, else nothing."""
    if attempt.reached_deadline:
        return "deadline"
    last = max(runs, key=lambda run: run.started_at, default=None)
    if last is not None and last.ended in BROKE_OFF:
        return "endpoint broke off"
    assert life.stopped_at is not None
    late_at = life.stopped_at + LATE_PART * GRACE_S
    if attempt.sent_at > life.stopped_at + RUNS_ON_S or attempt.ended_at < late_at:
        return ""
    is_at_work = last is not None and _is_at_work(last, attempt, late_at)
    return "still at work" if is_at_work else ""


def _is_at_work(run: Run, attempt: Attempt, late_at: float) -> bool:
    """Return whether a run went on until its caller's answer was cut, and late."""
    ended_at = inf if run.ended_at is None else run.ended_at
    return ended_at >= max(late_at, attempt.ended_at - attempt.late_s)


def _is_disturbed(
    attempt: Attempt, faults: Sequence[FaultSpan], lives: Sequence[Life]
) -> bool:
    """Return whether something unplanned happened shortly before or meanwhile."""
    since, until = attempt.sent_at - STABLE_S, attempt.ended_at
    if any(f.name not in HARMLESS and f.overlaps(since, until) for f in faults):
        return True
    return any(
        life.killed_at is not None and since <= life.killed_at <= until
        for life in lives
    )


def _describe(attempt: Attempt, life: Life, runs: Sequence[Run]) -> str:
    """Return when a request was sent, run and cut, in seconds after SIGTERM."""
    assert life.stopped_at is not None
    origin = life.stopped_at
    spans = [
        f"{run.started_at - origin:.2f} to "
        + ("now" if run.ended_at is None else f"{run.ended_at - origin:.2f}")
        + f" {run.ended} after {run.events} events"
        for run in runs
    ]
    exit_s = "not yet" if life.ended_at is None else f"{life.ended_at - origin:.2f}"
    return (
        f"{attempt.kind} of {attempt.load.events} events at {life.vm}, sent "
        f"{attempt.sent_at - origin:.2f} s after SIGTERM, ended "
        f"{attempt.ended_at - origin:.2f} with status {attempt.status} and "
        f"{len(attempt.body)} bytes; runs: {', '.join(spans) or 'none'}; exit: {exit_s}"
    )
