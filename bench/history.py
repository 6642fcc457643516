"""The history of a concurrent run, as recorded by callers, endpoints and the log.

Every event has a wall-clock time ``at``. All processes of a bench run share one
machine, so that times of different processes can be compared.
"""

import re
import threading
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property
from typing import TypeVar

# Job and try number of a caller; an entry VM may append a suffix.
REQUEST_ID_PATTERN = re.compile(r"job\d+t\d+")


class Outcome(StrEnum):
    """Outcome of one send, as its caller saw it."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"  # outcome_unknown, or an error that may follow a run
    BROKEN = "broken"  # the connection ended before the answer did
    UNREACHED = "unreached"  # no connection: nothing was sent
    HUNG_UP = "hung_up"  # the caller closed the connection


@dataclass(frozen=True)
class Event:
    """Something that happened ``at`` a wall-clock time, in seconds."""

    at: float


@dataclass(frozen=True)
class Sent(Event):
    """A caller sent one try of a job; ``entry`` names the catalogue entry."""

    request_id: str
    job: str
    entry_vm: str
    entry: str
    idempotent: bool = True
    key: str = ""


@dataclass(frozen=True)
class Received(Event):
    """Outcome of a try; ``defect`` describes an incomplete or foreign answer."""

    request_id: str
    outcome: Outcome
    lora_name: str = ""
    revision: int = -1
    code: str = ""
    defect: str = ""
    digest: str = ""


@dataclass(frozen=True)
class RunStarted(Event):
    """An engine started a run, or resumed one (``again``)."""

    endpoint: str
    boot_id: str
    request_id: str
    lora_name: str
    again: bool = False


@dataclass(frozen=True)
class RunEnded(Event):
    """A run ended: complete, cancelled, crashed, or evicted with its adapter."""

    endpoint: str
    boot_id: str
    request_id: str
    reason: str = "complete"


@dataclass(frozen=True)
class AdapterOrder(Event):
    """An order to load or unload an adapter version, and whether it took effect."""

    endpoint: str
    boot_id: str
    order: str
    lora_name: str
    fencing: int
    done: bool


@dataclass(frozen=True)
class ServiceRun(Event):
    """A plain service ran a call."""

    endpoint: str
    request_id: str
    key: str = ""


@dataclass(frozen=True)
class LogRecord(Event):
    """A record that the log service holds."""

    stream: str
    offset: int


@dataclass(frozen=True)
class EndpointState(Event):
    """An endpoint was marked as leaving or live in the VM list."""

    endpoint: str
    leaving: bool


@dataclass(frozen=True)
class PlannedStop(Event):
    """An entry VM was asked to stop; it ended at ``ended_at`` with ``exit_code``."""

    entry_vm: str
    ended_at: float
    exit_code: int


@dataclass(frozen=True)
class EntryFault(Event):
    """An entry VM was killed or frozen; it may lose its requests until ``until``."""

    entry_vm: str
    fault: str
    until: float


@dataclass(frozen=True)
class FaultSpan(Event):
    """A fault was active from ``at`` to ``until``; only printed, not checked."""

    name: str
    target: str
    until: float


@dataclass(frozen=True)
class Edit(Event):
    """An edit of one catalogue entry, answered ``at``.

    ``accepted`` is None if the outcome is unknown.
    """

    sent_at: float
    entry: str
    lora_name: str
    accepted: bool | None
    revision: int = -1
    edit_id: str = ""


@dataclass(frozen=True)
class StateRead(Event):
    """The catalogue that one incarnation of an entry VM holds."""

    entry_vm: str
    incarnation: int
    revision: int
    lora_name_by_entry: dict[str, str] = field(default_factory=dict, hash=False)
    final: bool = False


@dataclass(frozen=True)
class Run:
    """A run as an interval; one without an end lasts to the end of the history."""

    started: RunStarted
    ended: RunEnded | None

    def covers(self, moment: float) -> bool:
        """Tell whether the run was in progress at a time."""
        if moment <= self.started.at:
            return False
        return self.ended is None or moment < self.ended.at


SomeEvent = TypeVar("SomeEvent", bound=Event)


class Recorder:
    """Thread-safe recorder of events."""

    def __init__(self) -> None:
        self._events: list[Event] = []
        self._lock = threading.Lock()

    def record(self, *events: Event) -> None:
        """Add events."""
        with self._lock:
            self._events.extend(events)

    def events(self) -> list[Event]:
        """Return a copy of all events so far."""
        with self._lock:
            return list(self._events)


class History:
    """All events of one bench run, ordered by time, with indexes for the checks."""

    def __init__(self, events: Iterable[Event]) -> None:
        self.events = sorted(events, key=lambda event: event.at)

    def of(self, kind: type[SomeEvent]) -> Iterator[SomeEvent]:
        """Yield the events of one kind in order of time."""
        return (event for event in self.events if isinstance(event, kind))

    @cached_property
    def sent_by_request_id(self) -> dict[str, Sent]:
        """Return every send by its request id."""
        return {sent.request_id: sent for sent in self.of(Sent)}

    @cached_property
    def received_by_request_id(self) -> dict[str, Received]:
        """Return the outcome of each send by its request id."""
        return {received.request_id: received for received in self.of(Received)}

    @cached_property
    def sends_by_job(self) -> dict[str, list[Sent]]:
        """Return the sends of each job in order of time."""
        sends: dict[str, list[Sent]] = defaultdict(list)
        for sent in self.of(Sent):
            sends[sent.job].append(sent)
        return dict(sends)

    @cached_property
    def runs(self) -> list[Run]:
        """Return the engines' runs as intervals."""
        ends_by_run: dict[tuple[str, str, str], list[RunEnded]] = defaultdict(list)
        for ended in self.of(RunEnded):
            ends_by_run[_run_key(ended)].append(ended)
        runs = []
        for started in self.of(RunStarted):
            ends = ends_by_run[_run_key(started)]
            runs.append(Run(started, ends.pop(0) if ends else None))
        return runs

    @cached_property
    def starts_by_request_id(self) -> dict[str, list[RunStarted | ServiceRun]]:
        """Return all runs at endpoints by the caller's request id."""
        starts: dict[str, list[RunStarted | ServiceRun]] = defaultdict(list)
        for event in self.events:
            if isinstance(event, RunStarted) and event.again:
                continue
            if isinstance(event, RunStarted | ServiceRun):
                starts[caller_request_id(event.request_id)].append(event)
        return dict(starts)

    def starts_of_job(self, job: str) -> list[RunStarted | ServiceRun]:
        """Return the runs at endpoints of all tries of a job."""
        starts: list[RunStarted | ServiceRun] = []
        for sent in self.sends_by_job.get(job, []):
            starts += self.starts_by_request_id.get(sent.request_id, [])
        return starts


def caller_request_id(request_id: str) -> str:
    """Return the caller's part of a request id that an endpoint saw.

    >>> caller_request_id("job7t1.2")
    'job7t1'
    """
    match = REQUEST_ID_PATTERN.match(request_id)
    return match.group() if match else request_id


def _run_key(event: RunStarted | RunEnded) -> tuple[str, str, str]:
    return event.endpoint, event.boot_id, event.request_id
