"""Check of a soak: VMs that lose their paths to all endpoints serve like the others."""

from collections.abc import Iterator, Sequence

from bench.soak_callers import Attempt
from bench.soak_site import Life
from bench.soak_spans import FaultSpan

PATHS_CUT = "paths cut"
"""Name of the fault that cuts a VM off from all endpoints."""
STABLE_S = 3.0
"""Time from the beginning of a cut from which callers must be served, as configured."""
LEAST_PART = 2.0 / 3.0
MAX_FAILED = 10.0
MAX_FAILED_SHARE = 1.0 / 50.0
"""A VM that is cut off serves at least this part of what the others would have served
of its requests, or fails no more than the number and the share of them."""
REJECTED = (401, 404)
"""Answers that are the right ones, wherever they are given."""


def served_without_paths(
    attempts: Sequence[Attempt], faults: Sequence[FaultSpan], lives: Sequence[Life]
) -> Iterator[tuple[str, str]]:
    """Yield each VM that served too few while it was cut off, and the numbers.

    VMs with another fault at the time, or whose processes started or were stopped, are
    not in touch and left out.
    """
    for cut in faults:
        if cut.name != PATHS_CUT:
            continue
        since, until = cut.started_at + STABLE_S, min(cut.ended_at, _last(attempts))
        disturbed = {
            fault.subject
            for fault in faults
            if fault is not cut and fault.overlaps(cut.started_at, until)
        } | {life.vm for life in lives if _changed(life, cut.started_at, until)}
        if until <= since or cut.subject in disturbed:
            continue
        counted = [
            attempt
            for attempt in attempts
            if since <= attempt.sent_at <= until
            and attempt.status not in REJECTED
            and not attempt.left
        ]
        here = [a for a in counted if a.vm == cut.subject]
        others = [a for a in counted if a.vm not in {cut.subject, *disturbed}]
        failed = sum(not _is_served(attempt) for attempt in here)
        if failed <= MAX_FAILED + MAX_FAILED_SHARE * len(here) or not others:
            continue
        part = sum(map(_is_served, here)) / len(here)
        of_others = _share_with_mix(others, here)
        if part < LEAST_PART * of_others:
            yield cut.subject, f"served {part:.2f}, the others {of_others:.2f}"


def _share_with_mix(others: Sequence[Attempt], here: Sequence[Attempt]) -> float:
    """Return the share that the others served, weighted by the services asked here.

    Streams fail more often than calls, and each VM gets another mix of them.
    """
    share_of_all = sum(map(_is_served, others)) / len(others)
    share_by_service: dict[str, float] = {}
    for service in {attempt.kind.service for attempt in others}:
        of_service = [a for a in others if a.kind.service == service]
        served = sum(map(_is_served, of_service))
        share_by_service[service] = served / len(of_service)
    shares = [share_by_service.get(a.kind.service, share_of_all) for a in here]
    return sum(shares) / len(shares)


def _changed(life: Life, since: float, until: float) -> bool:
    """Return whether a process started, or was stopped or killed, in an interval."""
    times = (life.started_at, life.stopped_at, life.killed_at)
    return any(at is not None and since <= at <= until for at in times)


def _is_served(attempt: Attempt) -> bool:
    return attempt.status == 200 and attempt.whole


def _last(attempts: Sequence[Attempt]) -> float:
    return max((attempt.sent_at for attempt in attempts), default=0.0)
