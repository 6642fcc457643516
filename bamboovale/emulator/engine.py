"""Model of one engine: continuous batching with chunked prefill.

In each step every running stream generates one token and one chunk of the pending
prompts is prefilled; a larger chunk delays the next token of all streams in the batch.
Shared prompt prefixes of an adapter are cached while there is KV memory. An adapter
occupies a slot as soon as its load is ordered.
"""

from collections import OrderedDict
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any

import simpy

AdapterKey = tuple[str, str]
PartKey = tuple[AdapterKey, str]


@dataclass(frozen=True)
class EngineFigures:
    """Capacity and speed of an engine; times in seconds at ``slowness`` 1.

    ``step_s`` is the time of a step without prefill; ``step_s_per_run`` and
    ``step_s_per_ktoken`` are added for each running stream and each thousand tokens of
    context. ``read_tokens_per_s`` is the prefill rate and ``piece_tokens`` the largest
    chunk prefilled in one step. ``kept_adapters`` is the capacity of the engine's local
    cache: a cached adapter loads in ``warm_load_s``, others in ``cold_load_s``. An
    event carries ``tokens_per_event`` tokens; the first is sent with the first token.
    """

    places: int = 48
    kv_tokens: int = 119_776
    adapter_slots: int = 19
    kept_adapters: int = 114
    step_s: float = 0.0105
    step_s_per_run: float = 0.00000733
    step_s_per_ktoken: float = 0.0000171
    read_tokens_per_s: float = 19_200.0
    piece_tokens: int = 2048
    tokens_per_event: int = 3
    cold_load_s: float = 0.25
    warm_load_s: float = 0.025
    slowness: float = 1.0


@dataclass
class EngineRun:
    """One request at the engine.

    ``parts`` are the names and token counts of its prompt's shared prefixes.
    ``on_event`` and ``on_end`` are called with the time, ``on_lost`` when the engine
    crashes.
    """

    run_id: str
    adapter: AdapterKey
    prompt_tokens: int
    output_tokens: int
    on_event: Callable[[float], Any]
    on_end: Callable[[float], Any]
    on_lost: Callable[[], Any] = lambda: None
    parts: tuple[tuple[str, int], ...] = ()
    unread_tokens: int = 0
    generated_tokens: int = 0

    @property
    def context_tokens(self) -> int:
        """Return the number of tokens that it holds in KV memory."""
        return self.prompt_tokens - self.unread_tokens + self.generated_tokens


@dataclass
class EngineCounts:
    """Counters of one engine.

    ``overfilled`` counts loads beyond the adapter slots. ``read_tokens`` are prompt
    tokens that were prefilled, ``cached_tokens`` those found in the prefix cache.
    """

    cold_loads: int = 0
    warm_loads: int = 0
    read_tokens: int = 0
    cached_tokens: int = 0
    preempted: int = 0
    refused: int = 0
    overfilled: int = 0


class SharedStore:
    """Weight store of all engines; concurrent loads slow one another down."""

    def __init__(self, at_full_speed: int = 8) -> None:
        self._at_full_speed = at_full_speed
        self._loads_in_flight = 0

    def begin(self) -> float:
        """Start a load; return the factor by which it is slowed down."""
        self._loads_in_flight += 1
        return max(1.0, self._loads_in_flight / self._at_full_speed)

    def end(self) -> None:
        """End a load."""
        self._loads_in_flight -= 1


@dataclass
class EngineModel:
    """Simulated engine in virtual time."""

    env: simpy.Environment
    figures: EngineFigures
    store: SharedStore
    version_by_adapter: dict[AdapterKey, int] = field(default_factory=dict)
    loading: dict[AdapterKey, int] = field(default_factory=dict)
    counts: EngineCounts = field(default_factory=EngineCounts)
    slowness: float = 1.0

    def __post_init__(self) -> None:
        self._runs: list[EngineRun] = []
        self._kept_version_by_adapter: OrderedDict[AdapterKey, int] = OrderedDict()
        self._cached: OrderedDict[PartKey, int] = OrderedDict()
        self._wake = self.env.event()
        self.env.process(self._step_forever())

    @property
    def active(self) -> int:
        """Return the number of running requests."""
        return len(self._runs)

    # Requests.

    def start(self, run: EngineRun, version: int) -> bool:
        """Start a request; return False if the engine refuses it."""
        held = self.version_by_adapter.get(run.adapter)
        if held != version or len(self._runs) >= self.figures.places:
            self.counts.refused += 1
            return False
        cached = self._cached_tokens(run)
        self.counts.cached_tokens += cached
        run.unread_tokens = max(1, run.prompt_tokens - cached)
        self._runs.append(run)
        if not self._wake.triggered:
            self._wake.succeed()
        return True

    def cancel(self, run_id: str) -> None:
        """Remove a request without calling ``on_end``."""
        self._runs = [run for run in self._runs if run.run_id != run_id]

    def crash(self) -> list[EngineRun]:
        """Clear all state but the adapter cache; return the requests that ran."""
        lost, self._runs = self._runs, []
        self.version_by_adapter.clear()
        self.loading.clear()
        self._cached.clear()
        return lost

    def _cached_tokens(self, run: EngineRun) -> int:
        tokens = 0
        for part, size in run.parts:
            key = (run.adapter, part)
            if key not in self._cached:
                break
            self._cached.move_to_end(key)
            tokens += size
        return min(tokens, run.prompt_tokens - 1)

    # Steps.

    def _step_forever(self) -> Generator[Any, Any, None]:
        while True:
            if not self._runs:
                self._wake = self.env.event()
                yield self._wake
            self._free_memory()
            read = self._prefill_chunk()
            yield self.env.timeout(self._step_s(read))
            self._generate_tokens()

    def _step_s(self, read_tokens: int) -> float:
        figures = self.figures
        context = sum(run.context_tokens for run in self._runs) / 1000
        step_s = figures.step_s + figures.step_s_per_run * len(self._runs)
        step_s += figures.step_s_per_ktoken * context
        step_s += read_tokens / figures.read_tokens_per_s
        return step_s * figures.slowness * self.slowness

    def _prefill_chunk(self) -> int:
        """Prefill pending prompts in order, up to one chunk; return its tokens."""
        left = self.figures.piece_tokens
        for run in self._runs:
            piece = min(left, run.unread_tokens)
            run.unread_tokens -= piece
            left -= piece
            if not left:
                break
        read = self.figures.piece_tokens - left
        self.counts.read_tokens += read
        return read

    def _generate_tokens(self) -> None:
        now = self.env.now
        ended = []
        for run in list(self._runs):
            if run.unread_tokens:
                continue
            run.generated_tokens += 1
            last = run.generated_tokens >= run.output_tokens
            if last or run.generated_tokens % self.figures.tokens_per_event == 1:
                run.on_event(now)
            if run.generated_tokens == 1:
                self._cache_parts(run)
            if last:
                ended.append(run)
        self._runs = [run for run in self._runs if run not in ended]
        for run in ended:
            run.on_end(now)

    # Memory.

    def _cache_parts(self, run: EngineRun) -> None:
        for part, size in run.parts:
            self._cached[(run.adapter, part)] = size
            self._cached.move_to_end((run.adapter, part))

    def _free_memory(self) -> None:
        """Evict cached prefixes, then preempt the newest requests."""
        used = sum(run.context_tokens for run in self._runs)
        while used + sum(self._cached.values()) > self.figures.kv_tokens:
            if self._cached:
                self._cached.popitem(last=False)
                continue
            newest = self._runs[-1]
            if len(self._runs) == 1 or newest.unread_tokens == newest.prompt_tokens:
                return
            used -= newest.context_tokens
            newest.unread_tokens = newest.prompt_tokens
            self.counts.preempted += 1

    # Orders.

    def load(self, adapter: AdapterKey, version: int) -> None:
        """Start to load an adapter, from the local cache if it is there."""
        held = self.version_by_adapter.keys() | self.loading.keys() | {adapter}
        self.counts.overfilled += len(held) > self.figures.adapter_slots
        self.loading[adapter] = version
        self.env.process(self._load(adapter, version))

    def unload(self, adapter: AdapterKey) -> None:
        """Unload an adapter, which no request may use."""
        self.version_by_adapter.pop(adapter, None)

    def _load(self, adapter: AdapterKey, version: int) -> Generator[Any, Any, None]:
        warm = self._kept_version_by_adapter.get(adapter) == version
        self.counts.warm_loads += warm
        self.counts.cold_loads += not warm
        self._kept_version_by_adapter[adapter] = version
        self._kept_version_by_adapter.move_to_end(adapter)
        if len(self._kept_version_by_adapter) > self.figures.kept_adapters:
            self._kept_version_by_adapter.popitem(last=False)
        if warm:
            yield self.env.timeout(self.figures.warm_load_s)
        else:
            yield self.env.timeout(self.figures.cold_load_s * self.store.begin())
            self.store.end()
        while any(run.adapter == adapter for run in self._runs):
            yield self.env.timeout(self.figures.step_s)
        if self.loading.pop(adapter, None) is not None:
            self.version_by_adapter[adapter] = version
