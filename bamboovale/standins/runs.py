"""Runs of a model engine and the batch that executes them in steps."""

import heapq
import itertools
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from bamboovale.standins.faults import Faults
from bamboovale.standins.history import History
from bamboovale.standins.prefix_cache import PrefixCache
from bamboovale.standins.tokens import AnswerTokens, count_prompt_tokens

PREFILL_TOKENS_PER_STEP = 512
RUNS_KEPT = 1000
RUN_RETENTION_S = 60.0
LOADS_KEPT = 5000
ATTEMPTS_KEPT = 100_000
CRASH_MARKER = "<<crash>>"


class RunState(StrEnum):
    """State of a run; all but the first two are final, except for a resume."""

    WAITING = "waiting"
    RUNNING = "running"
    COMPLETE = "complete"
    CANCELLED = "cancelled"
    EVICTED = "evicted"
    CRASHED = "crashed"
    NOT_RUN = "not_run"


@dataclass(eq=False)
class Run:
    """One request on the engine; modified only under the batch's lock."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    chat: bool = False
    attempt: int = 1
    state: RunState = RunState.WAITING
    produced: int = 0
    prefill_steps: int = 0
    readers: int = 1
    ended_at: float = 0.0
    ended: threading.Event = field(default_factory=threading.Event)
    started: threading.Event = field(default_factory=threading.Event)

    def __post_init__(self) -> None:
        self.tokens = AnswerTokens(self.model, self.prompt)
        self.prompt_tokens = count_prompt_tokens(self.prompt)


@dataclass(frozen=True)
class LoadSample:
    """Load of the batch at ``moment`` (monotonic seconds)."""

    moment: float
    running: int
    waiting: int


class Batch:
    """Runs up to ``max_num_seqs`` requests at once, one token per step each.

    Runs wait in order of priority, then arrival. One thread does all steps, and one
    condition wakes all streams after a step, so that an idle engine uses no CPU.
    """

    def __init__(
        self,
        max_num_seqs: int,
        step_s: float,
        prefix_cache_blocks: int,
        faults: Faults,
        history: History,
    ) -> None:
        self.max_num_seqs = max_num_seqs
        self._step_s = step_s
        self._cache_blocks = prefix_cache_blocks
        self._faults = faults
        self._history = history
        self.lock = threading.RLock()
        self.stepped = threading.Condition(self.lock)
        self._arrived = threading.Condition(self.lock)
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, Run]] = []
        self.running: list[Run] = []
        self.readers = 0
        self._attempts_by_id: OrderedDict[str, int] = OrderedDict()
        self._run_by_id: OrderedDict[str, Run] = OrderedDict()
        self._samples = deque([LoadSample(0.0, 0, 0)], maxlen=LOADS_KEPT)
        self.loaded: dict[str, str] = {}
        self.cache = PrefixCache(prefix_cache_blocks)
        self.on_crash: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start the thread that does the steps."""
        threading.Thread(target=self._step_forever, name="batch", daemon=True).start()

    # Runs.

    def submit(self, run: Run) -> None:
        """Queue a run; a repeated request id counts as another attempt."""
        with self.lock:
            run.attempt = self._attempts_by_id.pop(run.request_id, 0) + 1
            self._attempts_by_id[run.request_id] = run.attempt
            if len(self._attempts_by_id) > ATTEMPTS_KEPT:
                self._attempts_by_id.popitem(last=False)
            self.readers += 1
            self._store(run)
            self._enqueue(run)

    def resume(self, request_id: str) -> Run | None:
        """Add a reader to a stored run and return it; a cancelled run is continued."""
        with self.lock:
            run = self._run_by_id.get(request_id)
            if run is None:
                return None
            resumable = (RunState.WAITING, RunState.RUNNING, RunState.COMPLETE)
            if run.state is RunState.CANCELLED:
                run.state = RunState.WAITING
                run.readers = 0
                run.ended.clear()
                run.started.clear()
                self._enqueue(run)
                self._history.record("run_resume", **describe(run))
            elif run.state not in resumable:
                return None
            run.readers += 1
            self.readers += 1
            return run

    def remove_reader(self, run: Run) -> None:
        """Remove a reader; a run without readers is cancelled."""
        with self.lock:
            run.readers -= 1
            self.readers -= 1
            if run.readers <= 0 and not run.ended.is_set():
                self._end(run, RunState.CANCELLED)

    def abort(self, request_id: str) -> bool:
        """Cancel a run and discard it, so that it cannot be resumed."""
        with self.lock:
            run = self._run_by_id.pop(request_id, None)
            if run is None or run.ended.is_set():
                return False
            self._end(run, RunState.CANCELLED)
            return True

    def evict(self, model: str) -> None:
        """End the active runs of a model that was unloaded."""
        with self.lock:
            for run in [run for run in self.running if run.model == model]:
                self._end(run, RunState.EVICTED)

    def crash(self) -> None:
        """Discard all runs, loaded models and the cache."""
        with self.lock:
            for run in list(self.running):
                self._end(run, RunState.CRASHED)
            for _, _, run in self._waiting:
                if run.state is RunState.WAITING:
                    self._end(run, RunState.CRASHED)
            self._waiting.clear()
            self._run_by_id.clear()
            self.loaded.clear()
            self.cache = PrefixCache(self._cache_blocks)

    # Reports.

    def waiting_count(self) -> int:
        """Return the number of waiting runs."""
        return sum(run.state is RunState.WAITING for _, _, run in self._waiting)

    def load_as_of(self, lag_s: float) -> LoadSample:
        """Return the load of the batch ``lag_s`` ago."""
        moment = time.monotonic() - lag_s
        with self.lock:
            for sample in reversed(self._samples):
                if sample.moment <= moment:
                    return sample
            return self._samples[0]

    def _sample(self) -> None:
        running, waiting = len(self.running), self.waiting_count()
        last = self._samples[-1]
        if (running, waiting) != (last.running, last.waiting):
            sample = LoadSample(time.monotonic(), running, waiting)
            self._samples.append(sample)

    # Steps.

    def _enqueue(self, run: Run) -> None:
        heapq.heappush(self._waiting, (run.priority, next(self._order), run))
        self._sample()
        self._arrived.notify()

    def _store(self, run: Run) -> None:
        self._run_by_id.pop(run.request_id, None)
        self._run_by_id[run.request_id] = run
        now = time.monotonic()
        while len(self._run_by_id) > RUNS_KEPT:
            self._run_by_id.popitem(last=False)
        for request_id, old in list(itertools.islice(self._run_by_id.items(), 8)):
            if old.ended_at and now - old.ended_at > RUN_RETENTION_S:
                del self._run_by_id[request_id]

    def _step_forever(self) -> None:
        due = time.monotonic()
        while True:
            with self.lock:
                if not self.running and not self._waiting:
                    self._arrived.wait()
                    due = time.monotonic()
                self._admit()
            due += self._step_s * float(self._faults.get("slow_factor", 1.0))
            time.sleep(max(0.0, due - time.monotonic()))
            # Missed steps are not caught up: an overloaded machine slows the engine.
            due = max(due, time.monotonic() - self._step_s)
            with self.lock:
                self._step()

    def _admit(self) -> None:
        while self._waiting and len(self.running) < self.max_num_seqs:
            _, _, run = heapq.heappop(self._waiting)
            if run.state is not RunState.WAITING:
                continue
            if run.model not in self.loaded:
                self._end(run, RunState.NOT_RUN)
                continue
            self._start_run(run)
            if CRASH_MARKER in run.prompt:
                self.on_crash()
        self._sample()

    def _start_run(self, run: Run) -> None:
        cached = self.cache.admit(run.model, run.prompt)
        uncached = max(run.prompt_tokens - cached, 1)
        run.prefill_steps = -(-uncached // PREFILL_TOKENS_PER_STEP) - 1
        run.state = RunState.RUNNING
        self.running.append(run)
        run.started.set()
        steps = run.prefill_steps + 1
        self._history.record("run_start", **describe(run), steps_to_first_token=steps)

    def _step(self) -> None:
        for run in list(self.running):
            if run.prefill_steps > 0:
                run.prefill_steps -= 1
                continue
            run.produced += 1
            if run.produced >= run.max_tokens:
                self._end(run, RunState.COMPLETE)
        self.stepped.notify_all()

    def _end(self, run: Run, state: RunState) -> None:
        ran = run.state is RunState.RUNNING
        run.state = state
        if ran:
            self.running.remove(run)
            self._history.record(
                "run_end",
                outcome=state.value,
                produced=run.produced,
                **describe(run),
            )
        else:
            self._history.record("run_dropped", outcome=state.value, **describe(run))
        run.ended_at = time.monotonic()
        run.ended.set()
        run.started.set()
        self._sample()
        self.stepped.notify_all()


def describe(run: Run) -> dict[str, Any]:
    """Return the fields of a run that its history events contain."""
    return {
        "request_id": run.request_id,
        "model": run.model,
        "attempt": run.attempt,
        "priority": run.priority,
    }
