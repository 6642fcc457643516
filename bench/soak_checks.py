"""Checks of a soak, over the responses of callers and the runs of endpoints."""

import itertools
import re
import signal
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from bamboovale.standins.endpoint_signals import Arrival, SignalRecord
from bamboovale.standins.platform_endpoints import Run
from bamboovale.standins.retry_arrivals import RetryBound, retry_violations
from bamboovale.standins.stream_versions import stream_violations
from bench.soak_callers import EVENTS, ONCE_ONLY, STREAMS, Attempt, Kind, SentRequest
from bench.soak_crashes import CrashLoad, crash_violations
from bench.soak_customers import broken_by
from bench.soak_delay import LoopDelay
from bench.soak_left import LeftRequest, left_requests, left_violations
from bench.soak_paths import served_without_paths
from bench.soak_site import GRACE_S, Life
from bench.soak_spans import FaultSpan
from bench.soak_stops import BUSY, CutRequest, cut_by_stops, passed_on
from bench.soak_streams import SoftwareSpan, stream_attempts

NOT_RUN = (408, 421, 429, 503)
VERSION_S = 5.0
"""Longest time from the store's acknowledgement of a version to the last run of an
older one, as configured; only while the store is reachable for all VMs."""
LEAVING_S = 2.0
"""Longest time from the store's acknowledgement that an endpoint is draining to the
last request that starts there, as configured; only while no fault is active."""
LIMIT_STABLE_S = 3.0
"""Time after an endpoint first named its limit from which it must hold, as
configured."""
STOP_SLACK_S = 0.5
RETRIES = RetryBound(ratio=0.2, burst=10.0, window_s=10.0)
"""Most retries of a service's requests over all VMs, as configured."""
PAUSED = "paused"
"""Name of the fault that suspends a VM's process by SIGSTOP."""
EVENT = re.compile(rb"id: (\d+)\n: [^\n]*\ndata: ([^\n]*)\n\n")


@dataclass(frozen=True)
class Violation:
    """A broken promise, with the request, VM or endpoint concerned."""

    promise: str
    subject: str
    detail: str

    def __str__(self) -> str:
        """Return one line."""
        return f"{self.promise}: {self.subject}: {self.detail}"


@dataclass
class Evidence:
    """Input of the checks; ``leaving_at`` holds when each endpoint began to drain.

    ``unhandled`` holds log lines by VM, of errors that nobody expected. ``is_complete``
    is whether the play is over.
    """

    attempts: Sequence[Attempt]
    runs: Sequence[Run]
    lives: Sequence[Life]
    faults: Sequence[FaultSpan]
    overfilled: Sequence[str] = ()
    version_acks: Mapping[str, Sequence[tuple[float, int]]] = field(
        default_factory=dict
    )
    signals: Mapping[str, SignalRecord] = field(default_factory=dict)
    arrivals_by_service: Mapping[str, Sequence[Arrival]] = field(default_factory=dict)
    leaving_at: Mapping[str, float] = field(default_factory=dict)
    runs_by_leaving: Mapping[str, Sequence[Run]] = field(default_factory=dict)
    revoked_at: Mapping[str, float] = field(default_factory=dict)
    owner_by_key: Mapping[str, str] = field(default_factory=dict)
    software: Sequence[SoftwareSpan] = ()
    crash_load: CrashLoad | None = None
    sent: Sequence[SentRequest] = ()
    unhandled: Mapping[str, Sequence[str]] = field(default_factory=dict)
    delay: LoopDelay = field(default_factory=LoopDelay)
    is_complete: bool = False

    def runs_by_id(self) -> dict[str, list[Run]]:
        """Return the runs of each request."""
        runs: dict[str, list[Run]] = {}
        for run in self.runs:
            runs.setdefault(run.request_id, []).append(run)
        return runs

    def cut_by_stops(self) -> list[CutRequest]:
        """Return the requests that ended early around planned stops."""
        return list(
            cut_by_stops(
                self.attempts,
                self.faults,
                self.lives,
                self.runs_by_id(),
                passed_on(self.signals.values()),
            )
        )

    def left_requests(self) -> list[LeftRequest]:
        """Return the requests whose callers left, with what was done for them since."""
        arrivals = itertools.chain.from_iterable(self.arrivals_by_service.values())
        return list(
            left_requests(
                self.attempts,
                arrivals,
                self.runs_by_id(),
                self.faults,
                self.lives,
                self.delay,
            )
        )


def find_violations(evidence: Evidence) -> list[Violation]:
    """Return all violations found in the evidence."""
    runs_by_id = evidence.runs_by_id()
    found: list[Violation] = []
    for attempt in evidence.attempts:
        runs = runs_by_id.get(attempt.request_id, [])
        found += _at_most_once(attempt, runs)
        found += _refused_means_not_run(attempt, runs)
        found += _complete_own_answer(attempt)
        found += _right_adapter(attempt, evidence)
        found += _right_customer(attempt, runs, evidence)
    found += _never_overfilled(evidence.overfilled)
    found += _no_new_runs_while_leaving(evidence)
    found += _planned_stops(evidence)
    for cut in evidence.cut_by_stops():
        if not cut.excuse:
            found.append(Violation("lost by a stop", cut.request_id, cut.detail))
    for promise, detail in left_violations(
        evidence.left_requests(), is_complete=evidence.is_complete
    ):
        found.append(Violation(promise, "callers that left", detail))
    found += _signals_heeded(evidence)
    found += _retries_bounded(evidence)
    for vm, lines in evidence.unhandled.items():
        for line in lines[:1]:
            detail = f"{len(lines)} errors that nobody expected: ...{line[-120:]}"
            found.append(Violation("no unhandled error", vm, detail))
    for detail in stream_violations(
        stream_attempts(
            evidence.attempts, evidence.faults, evidence.lives, evidence.software
        )
    ):
        found.append(Violation("streams go on", "llm", detail))
    if evidence.crash_load is not None:
        for promise, detail in crash_violations(
            evidence.crash_load, evidence.faults, evidence.lives
        ):
            found.append(Violation(promise, "llm", detail))
    for vm, detail in served_without_paths(
        evidence.attempts, evidence.faults, evidence.lives
    ):
        found.append(Violation("served without paths", vm, detail))
    return found


def _retries_bounded(evidence: Evidence) -> Iterator[Violation]:
    """Find services that got more retries than allowed, once for each."""
    for service, arrivals in evidence.arrivals_by_service.items():
        sent_at = [sent.at for sent in evidence.sent if sent.service == service]
        if evidence.crash_load is not None and service == "llm":
            sent_at = sorted([*sent_at, *evidence.crash_load.sent_at])
        details = retry_violations(arrivals, sent_at, RETRIES)
        for detail in itertools.islice(details, 1):
            yield Violation("retry budget", service, detail)


def _signals_heeded(evidence: Evidence) -> Iterator[Violation]:
    """Find requests that endpoints had asked VMs not to send."""
    for endpoint_id, signals in evidence.signals.items():
        for detail in signals.limit_violations(LIMIT_STABLE_S):
            yield Violation("limit", endpoint_id, detail)
        for detail in signals.drain_violations(LEAVING_S):
            yield Violation("leaving", endpoint_id, detail)
        for detail in signals.rest_violations():
            yield Violation("rest", endpoint_id, detail)


def _at_most_once(attempt: Attempt, runs: list[Run]) -> Iterator[Violation]:
    if attempt.kind in ONCE_ONLY and len(runs) > 1:
        yield Violation("at most once", attempt.request_id, f"ran {len(runs)} times")


def _refused_means_not_run(attempt: Attempt, runs: list[Run]) -> Iterator[Violation]:
    if attempt.status in NOT_RUN and runs and attempt.kind in ONCE_ONLY:
        detail = f"answered {attempt.status} and ran"
        yield Violation("not run is true", attempt.request_id, detail)


def _complete_own_answer(attempt: Attempt) -> Iterator[Violation]:
    if attempt.status != 200 or not attempt.whole:
        return
    if attempt.kind in STREAMS:
        numbers = [int(number) for number, _ in EVENT.findall(attempt.body)]
        good = numbers == list(range(attempt.resume_after + 1, attempt.load.events + 1))
        good = good and EVENT.sub(b"", attempt.body) == b""
    else:
        good = attempt.body.endswith(f" {attempt.request_id}".encode())
    if not good:
        detail = f"a whole answer of {attempt.body[:120]!r}"
        yield Violation("own whole answer", attempt.request_id, detail)


def _right_adapter(attempt: Attempt, evidence: Evidence) -> Iterator[Violation]:
    if attempt.kind not in STREAMS or attempt.adapter is None:
        return
    for _, data in EVENT.findall(attempt.body):
        adapter, _, version = data.decode().partition("@")
        if adapter != attempt.adapter:
            detail = f"{adapter} ran in place of {attempt.adapter}"
            yield Violation("right adapter", attempt.request_id, detail)
            return
        oldest = _oldest_allowed(attempt, evidence)
        if int(version) < oldest:
            detail = f"version {version} ran, {oldest} was in force"
            yield Violation("right version", attempt.request_id, detail)
            return


def _right_customer(
    attempt: Attempt, runs: list[Run], evidence: Evidence
) -> Iterator[Violation]:
    """Find runs of keys taken away, also under faults, and keys shown to endpoints."""
    if attempt.key is None:
        return
    broken = broken_by(
        attempt.key,
        attempt.sent_at,
        runs,
        evidence.revoked_at,
        evidence.owner_by_key,
    )
    for promise, detail in broken:
        yield Violation(promise, attempt.request_id, detail)


def _oldest_allowed(attempt: Attempt, evidence: Evidence) -> int:
    """Return the oldest version that may run, ignoring updates during faults."""
    allowed = 1
    for acked_at, version in evidence.version_acks.get(attempt.adapter or "", ()):
        if attempt.sent_at - acked_at < VERSION_S:
            continue
        if not _fault_active(evidence.faults, ("store", attempt.vm), acked_at, attempt):
            allowed = max(allowed, version)
    return allowed


def _fault_active(
    faults: Iterable[FaultSpan],
    subjects: tuple[str, ...],
    since: float,
    attempt: Attempt,
) -> bool:
    return any(
        fault.subject in subjects and fault.overlaps(since, attempt.ended_at)
        for fault in faults
    )


def _never_overfilled(names: Iterable[str]) -> Iterator[Violation]:
    for name in names:
        yield Violation("slots", name, "received loads beyond its adapter slots")


def _no_new_runs_while_leaving(evidence: Evidence) -> Iterator[Violation]:
    """Find runs that started too long after their endpoint began to drain."""
    for endpoint, leaving_at in evidence.leaving_at.items():
        for run in evidence.runs_by_leaving.get(endpoint, ()):
            late_s = run.started_at - leaving_at
            disturbed = any(
                fault.overlaps(leaving_at, run.started_at) for fault in evidence.faults
            )
            if late_s > LEAVING_S and not disturbed:
                detail = (
                    f"run {run.request_id} started {late_s:.1f} s after draining began"
                )
                yield Violation("nothing new to what leaves", endpoint, detail)


def _stop_duration_s(life: Life, faults: Iterable[FaultSpan]) -> float:
    """Return how long a planned stop took, without the time the VM was paused.

    A paused process does not handle SIGTERM until it is resumed.
    """
    assert life.stopped_at is not None
    assert life.ended_at is not None
    paused_s = 0.0
    running_from = life.stopped_at
    for fault in sorted(faults, key=lambda fault: fault.started_at):
        if fault.name not in (PAUSED, BUSY) or fault.subject != life.vm:
            continue
        paused_from = max(fault.started_at, running_from)
        running_from = max(running_from, min(fault.ended_at, life.ended_at))
        paused_s += max(0.0, running_from - paused_from)
    return life.ended_at - life.stopped_at - paused_s


def _planned_stops(evidence: Evidence) -> Iterator[Violation]:
    for life in evidence.lives:
        if life.ended_at is None or life.killed_at is not None:
            continue
        if life.stopped_at is None:
            yield Violation(
                "lives", life.vm, f"exited unexpectedly, exit code {life.exit_code}"
            )
        elif not life.has_started and life.exit_code == -signal.SIGTERM:
            continue  # stopped before it could serve requests or handle signals
        elif life.overstayed:
            took_s = _stop_duration_s(life, evidence.faults)
            if took_s > GRACE_S - STOP_SLACK_S and not life.has_stopped:
                yield Violation(
                    "planned stop", life.vm, "killed after the grace period"
                )
        elif life.exit_code != 0:
            yield Violation("planned stop", life.vm, f"exit code {life.exit_code}")
        elif _stop_duration_s(life, evidence.faults) > GRACE_S + STOP_SLACK_S:
            yield Violation(
                "planned stop", life.vm, "took longer than the grace period"
            )
        else:
            yield from _cut_by_stop(life, evidence)


def _cut_by_stop(life: Life, evidence: Evidence) -> Iterator[Violation]:
    """Find responses cut off by a planned stop while no fault was active."""
    assert life.stopped_at is not None and life.ended_at is not None
    stop = (life.stopped_at, life.ended_at)
    if any(fault.overlaps(*stop) for fault in evidence.faults):
        return
    for attempt in evidence.attempts:
        here = attempt.vm == life.vm and attempt.sent_at >= life.started_at
        during = attempt.ended_at >= stop[0] and attempt.sent_at <= stop[1]
        cut_off = attempt.status == 200 and not attempt.whole
        is_short = attempt.load.events <= EVENTS and attempt.kind is not Kind.LONG
        if here and during and cut_off and is_short and not attempt.reached_deadline:
            yield Violation(
                "planned stop", attempt.request_id, "its response was cut off"
            )
