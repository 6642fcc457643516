"""Callers with retries, and a load of many callers on threads.

A caller retries a request that was not run after the advised delay, retries a keyed
request with the same key, and never retries a non-idempotent request without a key
whose outcome is unknown.
"""

import itertools
import random
import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from typing import Protocol

from bench.entry_list import EntryList
from bench.history import Outcome, Recorder, Sent
from bench.jobs import MODEL_KINDS, Job, JobKind
from bench.tries import Answer, send_try

# Read timeout of a caller.
ANSWER_TIMEOUT_S = 30.0
MAX_TRIES = 20
MAX_RETRIES_AFTER_UNKNOWN = 2
# A broken connection carries no answer, so more retries are allowed.
MAX_RETRIES_AFTER_BREAK = 6
MAX_RETRY_AFTER_S = 1.5
RECONNECT_WAIT_S = 0.1
CRASHES_ENDPOINTS = "request_crashes_endpoints"

DEFAULT_WEIGHT_BY_KIND: Mapping[JobKind, int] = {
    JobKind.STREAM: 30,
    JobKind.COMPLETION: 15,
    JobKind.CHAT: 10,
    JobKind.KEYED_COMPLETION: 5,
    JobKind.CALL: 15,
    JobKind.KEYED_CALL: 15,
    JobKind.MARKED_CALL: 5,
    JobKind.HANG_UP: 5,
}


@dataclass(frozen=True)
class LoadConfig:
    """A closed-loop mixed load; callers pause ``think_s`` on average between jobs."""

    model_entries: tuple[str, ...]
    service_entries: tuple[str, ...]
    callers: int = 10
    think_s: float = 0.1
    max_tokens: int = 24
    answer_timeout_s: float = ANSWER_TIMEOUT_S
    weight_by_kind: Mapping[JobKind, int] = field(
        default_factory=lambda: DEFAULT_WEIGHT_BY_KIND
    )
    seed: int = 1


class Entries(Protocol):
    """The entry VMs that a caller may send to."""

    def choose(self) -> str:
        """Return the address to use now, as HOST:PORT."""

    def drop(self, address: str) -> None:
        """Stop using an address that refused the connection."""

    def add_seed(self, address: str) -> None:
        """Add a seed address."""


class Caller:
    """A caller that sends jobs one at a time."""

    def __init__(
        self,
        name: str,
        entries: Entries,
        recorder: Recorder,
        source: random.Random,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> None:
        self.name = name
        self.entries = entries
        self._recorder = recorder
        self._random = source
        self._answer_timeout_s = answer_timeout_s

    def finish(self, job: Job) -> Outcome:
        """Send a job until it has a final outcome or its tries are used up."""
        outcomes: Counter[Outcome] = Counter()
        outcome = Outcome.UNREACHED
        for number in range(MAX_TRIES):
            answer = self.send(job, number)
            outcome = answer.received.outcome
            outcomes[outcome] += 1
            if not _may_retry(job, answer, outcomes):
                return outcome
            self._wait(answer)
        return outcome

    def send(self, job: Job, number: int = 0) -> Answer:
        """Send a job once and record the outcome."""
        request_id = f"{job.id}t{number}"
        address = self.entries.choose()
        sent = Sent(
            time.time(),
            request_id,
            job=job.id,
            entry_vm=address,
            entry=job.entry,
            idempotent=job.idempotent,
            key=job.key,
        )
        self._recorder.record(sent)
        answer = send_try(job, request_id, address, self._answer_timeout_s)
        self._recorder.record(answer.received)
        if answer.received.outcome in (Outcome.UNREACHED, Outcome.BROKEN):
            self.entries.drop(address)
        return answer

    def _wait(self, answer: Answer) -> None:
        if answer.received.outcome is not Outcome.NOT_RUN:
            time.sleep(RECONNECT_WAIT_S)
            return
        advised = answer.retry_after_s or 0.0
        time.sleep(min(advised, MAX_RETRY_AFTER_S) * self._random.uniform(1.0, 1.2))


def _may_retry(job: Job, answer: Answer, outcomes: Counter[Outcome]) -> bool:
    outcome = answer.received.outcome
    if outcome is Outcome.UNREACHED:
        return True
    if outcome is Outcome.NOT_RUN:
        return answer.retry_after_s is not None
    if answer.received.code == CRASHES_ENDPOINTS:
        return False
    retryable = job.idempotent or bool(job.key)
    if outcome is Outcome.UNKNOWN:
        return retryable and outcomes[outcome] <= MAX_RETRIES_AFTER_UNKNOWN
    if outcome is Outcome.BROKEN:
        return retryable and outcomes[outcome] <= MAX_RETRIES_AFTER_BREAK
    return False


class Load:
    """Callers on threads, from :meth:`start` until :meth:`stop`."""

    def __init__(
        self,
        config: LoadConfig,
        seeds: Iterable[str],
        recorder: Recorder,
        numbers: Iterator[int] | None = None,
    ) -> None:
        self.config = config
        self._seeds = list(seeds)
        self._recorder = recorder
        self._numbers = numbers or itertools.count(1)
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self._callers: list[Caller] = []
        self.outcomes: Counter[Outcome] = Counter()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start the callers."""
        for number in range(self.config.callers):
            source = random.Random(f"{self.config.seed}-{number}")
            caller = Caller(
                f"agency-{number}",
                EntryList(self._seeds, source),
                self._recorder,
                source,
                self.config.answer_timeout_s,
            )
            thread = threading.Thread(
                target=self._run_caller,
                args=(caller, source),
                name=caller.name,
                daemon=True,
            )
            self._callers.append(caller)
            self._threads.append(thread)
            thread.start()

    def stop(self, timeout_s: float = 60.0) -> None:
        """Let every caller finish its job, then end."""
        self._stopping.set()
        deadline = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, deadline - time.monotonic()))

    def add_seed(self, address: str) -> None:
        """Add a seed address to all callers."""
        self._seeds.append(address)
        for caller in self._callers:
            caller.entries.add_seed(address)

    def send_extra(self, kind: JobKind, source: random.Random, text: str) -> None:
        """Send one job with ``text`` in its prompt from an additional caller."""
        caller = Caller(
            "agency-extra",
            EntryList(self._seeds, source),
            self._recorder,
            source,
            self.config.answer_timeout_s,
        )
        job = replace(self.new_job(kind, source, caller.name), text=text)
        thread = threading.Thread(target=caller.finish, args=(job,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def new_job(self, kind: JobKind, source: random.Random, caller: str = "") -> Job:
        """Return a new job of a kind, with a unique id."""
        is_model = kind in MODEL_KINDS
        config = self.config
        names = config.model_entries if is_model else config.service_entries
        with self._lock:
            number = next(self._numbers)
        return Job(
            f"job{number}",
            kind,
            # Skewed popularity: the first entries get most requests.
            names[min(int(source.expovariate(0.7)), len(names) - 1)],
            caller=caller or "agency-0",
            max_tokens=source.randint(2, config.max_tokens),
        )

    def _run_caller(self, caller: Caller, source: random.Random) -> None:
        kinds = list(self.config.weight_by_kind)
        weights = list(self.config.weight_by_kind.values())
        while not self._stopping.is_set():
            kind = source.choices(kinds, weights)[0]
            outcome = caller.finish(self.new_job(kind, source, caller.name))
            with self._lock:
                self.outcomes[outcome] += 1
            self._stopping.wait(source.expovariate(1 / self.config.think_s))


@contextmanager
def running_load(
    config: LoadConfig,
    seeds: Iterable[str],
    recorder: Recorder,
    numbers: Iterator[int] | None = None,
) -> Iterator[Load]:
    """Run a load; its callers finish their jobs at the end of the block."""
    load = Load(config, seeds, recorder, numbers)
    load.start()
    try:
        yield load
    finally:
        load.stop()
