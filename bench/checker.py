"""Checks a history: one check for each promise.

A check returns violations with the events that show them. Checks only read what
callers, endpoints, the VM list and the log recorded, not what entry VMs report.
"""

from collections import defaultdict
from collections.abc import Iterator

from bench.edit_checks import check_edits
from bench.history import (
    AdapterOrder,
    Edit,
    EndpointState,
    EntryFault,
    Event,
    History,
    Outcome,
    PlannedStop,
    Received,
    RunStarted,
    Sent,
    ServiceRun,
)
from bench.violations import Bounds, Check, Promise, Violation

# Callers see the connections to a killed VM end within this time.
FAULT_MARGIN_S = 1.0
UNTYPED = "untyped"  # code of an error without the documented JSON body
EVICTED = "evicted"  # the engine's reason for the end of such a run


def check_right_version(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Find runs on a version not in effect, and answers that name another version."""
    edits_by_entry: dict[str, list[Edit]] = defaultdict(list)
    for edit in history.of(Edit):
        edits_by_entry[edit.entry].append(edit)
    for request_id, starts in history.starts_by_request_id.items():
        sent = history.sent_by_request_id.get(request_id)
        if sent is None:
            continue
        edits = edits_by_entry.get(sent.entry, [])
        for start in starts:
            if not isinstance(start, RunStarted):
                continue
            reason = _wrong_version(start, edits, bounds)
            if reason:
                yield Violation(
                    Promise.RIGHT_VERSION,
                    f"{request_id} ran on {start.lora_name}: {reason}",
                    (sent, start, *edits),
                )
    yield from _check_answers_name_their_run(history)


def _wrong_version(start: RunStarted, edits: list[Edit], bounds: Bounds) -> str:
    """Return why this run's version was not in effect, or an empty string."""
    candidates = [
        edit
        for edit in edits
        if edit.lora_name == start.lora_name
        and edit.accepted is not False
        and edit.sent_at <= start.at
    ]
    if not candidates:
        return "no edit set this version"
    newest = max(candidates, key=lambda edit: (edit.accepted is None, edit.revision))
    if newest.accepted is None:
        return ""
    for later in edits:
        replaced = later.accepted and later.revision > newest.revision
        if replaced and later.at + bounds.version_s < start.at:
            return f"{later.lora_name} was accepted {start.at - later.at:.2f} s before"
    return ""


def _check_answers_name_their_run(history: History) -> Iterator[Violation]:
    for received in history.of(Received):
        if received.outcome != Outcome.ANSWERED or not received.lora_name:
            continue
        sent = history.sent_by_request_id.get(received.request_id)
        # A retry of a keyed request may be answered from its first run.
        starts = history.starts_of_job(sent.job) if sent else []
        ran = {start.lora_name for start in starts if isinstance(start, RunStarted)}
        if received.lora_name not in ran:
            yield Violation(
                Promise.RIGHT_VERSION,
                f"{received.request_id} names {received.lora_name}, ran {sorted(ran)}",
                (received, *starts),
            )


def check_no_eviction(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Find adapters unloaded while the engine ran a request on them."""
    del bounds
    unloads_by_adapter: dict[tuple[str, str, str], list[AdapterOrder]] = defaultdict(
        list
    )
    for order in history.of(AdapterOrder):
        if order.order == "unload" and order.done:
            loaded_adapter = (order.endpoint, order.boot_id, order.lora_name)
            unloads_by_adapter[loaded_adapter].append(order)
    for run in history.runs:
        started = run.started
        loaded_adapter = (started.endpoint, started.boot_id, started.lora_name)
        if run.ended and run.ended.reason == EVICTED:
            yield Violation(
                Promise.NO_EVICTION,
                f"{started.request_id} ended by the eviction of {started.lora_name}",
                (started, run.ended),
            )
        for unload in unloads_by_adapter.get(loaded_adapter, []):
            if run.covers(unload.at):
                events = (
                    (started, unload, run.ended) if run.ended else (started, unload)
                )
                yield Violation(
                    Promise.NO_EVICTION,
                    f"{started.lora_name} unloaded during {started.request_id}",
                    events,
                )


def check_own_answer(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Find incomplete or foreign answers, and different answers to the same key."""
    del bounds
    first_by_key: dict[str, Received] = {}
    for received in history.of(Received):
        if received.outcome != Outcome.ANSWERED:
            continue
        if received.defect:
            yield Violation(
                Promise.OWN_ANSWER,
                f"{received.request_id}: {received.defect}",
                _with_send(history, received),
            )
        sent = history.sent_by_request_id.get(received.request_id)
        if sent is None or not sent.key:
            continue
        first = first_by_key.setdefault(sent.key, received)
        if first.digest != received.digest:
            yield Violation(
                Promise.OWN_ANSWER,
                f"two answers to key {sent.key} differ",
                (first, received),
            )


def check_not_run(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Find requests answered "not run" that an endpoint ran."""
    del bounds
    for received in history.of(Received):
        if received.outcome != Outcome.NOT_RUN:
            continue
        starts = history.starts_by_request_id.get(received.request_id, [])
        if starts:
            yield Violation(
                Promise.NOT_RUN,
                f"{received.request_id} was answered not run ({received.code}) but ran",
                (*starts, received),
            )


def check_at_most_once(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Find non-idempotent jobs that ran more than once over all their tries."""
    del bounds
    for job, sends in history.sends_by_job.items():
        if sends[0].idempotent:
            continue
        starts = history.starts_of_job(job)
        if len(starts) > 1:
            yield Violation(
                Promise.AT_MOST_ONCE,
                f"{job} ran {len(starts)} times",
                (*sends, *starts),
            )


def check_leaving(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Find runs that started at an endpoint too long after it was marked leaving."""
    leaving_by_endpoint: dict[str, EndpointState] = {}
    for event in history.events:
        if isinstance(event, EndpointState):
            if event.leaving:
                leaving_by_endpoint.setdefault(event.endpoint, event)
            else:
                leaving_by_endpoint.pop(event.endpoint, None)
        if not isinstance(event, RunStarted | ServiceRun):
            continue
        leaving = leaving_by_endpoint.get(event.endpoint)
        if leaving and event.at > leaving.at + bounds.leaving_s:
            yield Violation(
                Promise.LEAVING,
                f"{event.request_id} ran {event.at - leaving.at:.2f} s after leaving",
                (leaving, event),
            )


def check_planned_stop(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Find requests cut off by a planned stop, and stops with an error exit code."""
    del bounds
    stops_by_vm: dict[str, list[PlannedStop]] = defaultdict(list)
    for stop in history.of(PlannedStop):
        stops_by_vm[stop.entry_vm].append(stop)
        if stop.exit_code != 0:
            yield Violation(
                Promise.PLANNED_STOP,
                f"{stop.entry_vm} ended with exit code {stop.exit_code}",
                (stop,),
            )
    for received in history.of(Received):
        if received.outcome != Outcome.BROKEN:
            continue
        sent = history.sent_by_request_id[received.request_id]
        for stop in stops_by_vm.get(sent.entry_vm, []):
            if sent.at < stop.ended_at and received.at >= stop.at:
                yield Violation(
                    Promise.PLANNED_STOP,
                    f"{received.request_id} was cut off by the stop of {sent.entry_vm}",
                    (stop, sent, received),
                )


def check_answered(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Find requests without the final answer that they should have received.

    A killed or frozen entry VM may lose its requests in flight; the retries of their
    callers must get a final answer, unless retrying is not allowed.
    """
    del bounds
    faults_by_vm: dict[str, list[EntryFault]] = defaultdict(list)
    for fault in history.of(EntryFault):
        faults_by_vm[fault.entry_vm].append(fault)
    for job, sends in history.sends_by_job.items():
        for sent in sends:
            received = history.received_by_request_id.get(sent.request_id)
            if received is None:
                yield Violation(
                    Promise.ANSWERED, f"{sent.request_id} never ended", (sent,)
                )
            elif received.code.startswith(UNTYPED):
                yield Violation(
                    Promise.ANSWERED,
                    f"{sent.request_id} got {received.code}, an untyped error",
                    (sent, received),
                )
            elif received.outcome == Outcome.BROKEN and not any(
                fault.at <= received.at + FAULT_MARGIN_S
                and sent.at <= fault.until + FAULT_MARGIN_S
                for fault in faults_by_vm.get(sent.entry_vm, [])
            ):
                yield Violation(
                    Promise.ANSWERED,
                    f"{sent.request_id} was cut off, {sent.entry_vm} had no fault",
                    (sent, received),
                )
        last = history.received_by_request_id.get(sends[-1].request_id)
        retryable = sends[-1].idempotent or sends[-1].key
        unfinished = (Outcome.BROKEN, Outcome.UNREACHED)
        if last and last.outcome in unfinished and retryable:
            yield Violation(
                Promise.ANSWERED, f"{job} got no final answer", (*sends, last)
            )


def _with_send(history: History, received: Received) -> tuple[Event, ...]:
    sent: Sent | None = history.sent_by_request_id.get(received.request_id)
    return (sent, received) if sent else (received,)


CHECK_BY_PROMISE: dict[Promise, Check] = {
    Promise.RIGHT_VERSION: check_right_version,
    Promise.NO_EVICTION: check_no_eviction,
    Promise.OWN_ANSWER: check_own_answer,
    Promise.NOT_RUN: check_not_run,
    Promise.AT_MOST_ONCE: check_at_most_once,
    Promise.LEAVING: check_leaving,
    Promise.PLANNED_STOP: check_planned_stop,
    Promise.EDITS: check_edits,
    Promise.ANSWERED: check_answered,
}


def find_violations(history: History, bounds: Bounds | None = None) -> list[Violation]:
    """Return all violations of a history."""
    bounds = bounds or Bounds()
    return [
        violation
        for check in CHECK_BY_PROMISE.values()
        for violation in check(history, bounds)
    ]
