"""Check of a soak: planned stops lose no request that their VM has read."""

from collections.abc import Iterator, Mapping, Sequence

from bamboovale.standins.platform_endpoints import Run
from bench.soak_callers import DEADLINE_S, Attempt
from bench.soak_site import GRACE_S, Life
from bench.soak_spans import FaultSpan

STABLE_S = 3.0
"""Time without disruption after which requests count, as configured."""
AFTER_GRACE_S = 1.0
LOSS_SLACK_S = 0.2
"""Time after its last byte from which a request that was not sent on may not be lost,
as configured."""
CALLERS_DELAY_S = 0.3
"""How late callers, in one process with all stand-ins, may hear of a close."""
LATE_PART = 5.0 / 6.0
"""Part of the grace period from which requests may be cut that still run."""
COPIES = "answers come twice"
STALLED = "endpoint stalls"
HARMLESS = frozenset({COPIES})
"""Faults that excuse no loss: endpoints reject requests, or repeat themselves."""
BROKE_OFF = frozenset({"cut", "crashed"})
"""How runs end that their endpoint broke off."""


def lost_by_stops(
    attempts: Sequence[Attempt],
    faults: Sequence[FaultSpan],
    lives: Sequence[Life],
    runs_by_id: Mapping[str, Sequence[Run]],
) -> Iterator[tuple[str, str]]:
    """Yield each request that a planned stop lost, and what its caller saw."""
    for life in lives:
        if life.stopped_at is None or life.killed_at is not None:
            continue
        for attempt in attempts:
            if not _is_broken(attempt, life):
                continue
            runs = runs_by_id.get(attempt.request_id, ())
            after_s = attempt.ended_at - attempt.sent_at
            if not runs and after_s <= LOSS_SLACK_S + CALLERS_DELAY_S:
                continue
            if any(run.ended in BROKE_OFF for run in runs):
                continue
            if not _is_disturbed(attempt, faults, lives):
                at_s = attempt.ended_at - life.stopped_at
                yield (
                    attempt.request_id,
                    f"{attempt.kind} ended after {len(attempt.body)} bytes, "
                    f"{after_s:.2f} s after it was sent, {at_s:.2f} s after the stop "
                    f"of {life.vm} began; {len(runs)} runs",
                )


def _is_broken(attempt: Attempt, life: Life) -> bool:
    """Return whether a connection ended early in the time of a VM's planned stop."""
    assert life.stopped_at is not None
    if attempt.vm != life.vm or attempt.whole or attempt.left:
        return False
    if attempt.ended_at - attempt.sent_at >= DEADLINE_S - CALLERS_DELAY_S:
        return False
    if not life.started_at <= attempt.sent_at <= (life.ended_at or attempt.sent_at):
        return False
    may_run_on = attempt.sent_at <= life.stopped_at + STABLE_S
    late_at = life.stopped_at + LATE_PART * GRACE_S
    until = late_at if may_run_on else life.stopped_at + GRACE_S + AFTER_GRACE_S
    return life.stopped_at <= attempt.ended_at <= until


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
