"""Simulates a load on the engine decisions in virtual time, without a network.

Entry VMs choose engines by statuses and request places; owners queue, load and evict;
engines load and run. The result is the time to the first event of each request.
"""

import heapq
import itertools
import random
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboovale.decisions.engine_choice import EngineCandidate, EngineChooser
from bamboovale.decisions.engine_places import EnginePlaces
from bamboovale.decisions.place_work import (
    Action,
    AdapterKey,
    EngineCapacity,
    EngineSnapshot,
    Grant,
    OrderLoad,
    QueuedRequest,
    Refuse,
    ReportedState,
)

HOP_S = 0.0015
ORDER_S = 0.004
COLD_LOAD_S = 0.25
WARM_LOAD_S = 0.025
CACHED_ADAPTERS = 100
REPORT_LAG_S = 0.1
STATUS_S = 0.1
TOKEN_S = 0.0125
SLOWDOWN_PER_RUN = 0.004
PREFILL_TOKENS_PER_S = 19_200.0


@dataclass(frozen=True)
class Load:
    """Arrivals of one simulation; ``skew`` is the exponent of the popularity."""

    per_s: float = 130.0
    seconds: float = 20.0
    adapters: int = 3000
    skew: float = 1.2
    engines: int = 6
    slots: int = 18
    places: int = 128
    entry_vms: int = 9
    goal_s: float = 0.8
    patience_s: float = 3.2
    seed: int = 1
    speed_by_engine: dict[str, float] = field(default_factory=dict)


@dataclass
class Result:
    """Times to the first event, refusals and loads."""

    first_event_s: list[float] = field(default_factory=list)
    refused: int = 0
    cold_loads: int = 0
    warm_loads: int = 0

    def in_time(self, goal_s: float) -> float:
        """Return the share of all requests whose first event came in time."""
        total = len(self.first_event_s) + self.refused
        return sum(s <= goal_s for s in self.first_event_s) / total


@dataclass
class _Engine:
    name: str
    places: EnginePlaces
    speed: float
    loaded: dict[AdapterKey, int] = field(default_factory=dict)
    loading: set[AdapterKey] = field(default_factory=set)
    cache: OrderedDict[AdapterKey, None] = field(default_factory=OrderedDict)
    running: int = 0
    report_at: float | None = None
    prefill_ends_at: float = 0.0


@dataclass
class _EntryVM:
    chooser: EngineChooser
    snapshots: dict[str, EngineSnapshot] = field(default_factory=dict)
    loads_by_engine: Counter[str] = field(default_factory=Counter)


class Simulation:
    """One simulation of a load."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.result = Result()
        self._rng = random.Random(load.seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        capacity = EngineCapacity(load.places, 150_000, load.slots)
        self._engine_by_name = {
            f"e{n}": _Engine(
                f"e{n}",
                EnginePlaces(capacity),
                load.speed_by_engine.get(f"e{n}", 1.0),
            )
            for n in range(load.engines)
        }
        self._entries = [
            _EntryVM(EngineChooser(rng=random.Random(f"{load.seed}/{number}")))
            for number in range(load.entry_vms)
        ]
        self._arrival_by_id: dict[str, tuple[float, int]] = {}

    def run(self) -> Result:
        """Simulate the load to its end and return the result."""
        for engine in self._engine_by_name.values():
            engine.places.may_order = True
            self._report(engine)
        for number, entry in enumerate(self._entries):
            self._at(
                number * STATUS_S / len(self._entries), self._status_updater(entry)
            )
        keys = [("base", f"a{n}") for n in range(self.load.adapters)]
        weights = [(n + 1) ** -self.load.skew for n in range(self.load.adapters)]
        at = 1.0
        while at < self.load.seconds:
            key = self._rng.choices(keys, weights)[0]
            self._at(at, lambda key=key: self._arrive(key))
            at += self._rng.expovariate(self.load.per_s)
        self._tick()
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            if self._now > self.load.seconds + 10.0:
                break
            event()
        return self.result

    def _at(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        self._at(self._now + delay_s, event)

    # Entry VMs.

    def _status_updater(self, entry: _EntryVM) -> Callable[[], None]:
        def update_statuses() -> None:
            for name, engine in self._engine_by_name.items():
                entry.snapshots[name] = engine.places.snapshot(self._now)
            candidates = {
                name: EngineCandidate(name, snapshot, "owner")
                for name, snapshot in entry.snapshots.items()
            }
            entry.chooser.recently_held.update(candidates)
            entry.loads_by_engine.clear()
            self._after(STATUS_S, update_statuses)

        return update_statuses

    def _arrive(self, key: AdapterKey) -> None:
        entry = self._rng.choice(self._entries)
        candidates = {
            name: EngineCandidate(
                name,
                snapshot,
                "owner",
                own_loads=entry.loads_by_engine[name],
            )
            for name, snapshot in entry.snapshots.items()
        }
        name = entry.chooser.choose(key, 1, candidates)
        assert name is not None
        entry.loads_by_engine[name] += not candidates[name].holds(key, 1)
        tokens = max(8, min(278, int(self._rng.lognormvariate(3.7, 1.0))))
        request = QueuedRequest(
            ask_id=f"r{next(self._numbers)}.0",
            entry_vm="entry",
            model="base",
            adapter=key[1],
            version=1,
            prompt_tokens=646,
            output_tokens=tokens,
            rank=0,
            goal_at=self._now + self.load.goal_s,
            latest_start=self._now + self.load.patience_s,
        )
        self._arrival_by_id[request.ask_id] = (self._now, tokens)
        engine = self._engine_by_name[name]
        self._after(HOP_S, lambda: self._do(engine, engine.places.on_request, request))

    # Owners and engines.

    def _do(self, engine: _Engine, event: Callable[..., list[Action]], *args) -> None:
        for action in event(*args, self._now):
            self._carry_out(engine, action)

    def _carry_out(self, engine: _Engine, action: Action) -> None:
        if isinstance(action, Grant):
            self._after(HOP_S, lambda: self._start(engine, action.request))
        elif isinstance(action, Refuse):
            self.result.refused += 1
        else:
            self._after(ORDER_S, lambda: self._order(engine, action))

    def _schedule_report(self, engine: _Engine) -> None:
        """Read a report when the owner would, unless one is read before."""
        at = engine.places.next_report_at(self._now)
        if at is None or (engine.report_at is not None and engine.report_at <= at):
            return
        engine.report_at = at
        read_at = max(self._now, at - REPORT_LAG_S)
        self._at(read_at, lambda: self._read_report(engine, at))

    def _read_report(self, engine: _Engine, at: float) -> None:
        if engine.report_at == at:
            engine.report_at = None
            self._report(engine)

    def _order(self, engine: _Engine, order) -> None:
        key = (order.model, order.adapter)
        if isinstance(order, OrderLoad):
            warm = key in engine.cache
            self.result.warm_loads += warm
            self.result.cold_loads += not warm
            engine.cache[key] = None
            engine.cache.move_to_end(key)
            if len(engine.cache) > CACHED_ADAPTERS:
                engine.cache.popitem(last=False)
            engine.loading.add(key)
            took_s = WARM_LOAD_S if warm else COLD_LOAD_S
            self._after(took_s, lambda: self._loaded(engine, key))
        else:
            engine.loaded.pop(key, None)
        for action in engine.places.on_order_done(
            order, self._now, at_once=not isinstance(order, OrderLoad)
        ):
            self._carry_out(engine, action)
        self._schedule_report(engine)

    def _loaded(self, engine: _Engine, key: AdapterKey) -> None:
        engine.loading.discard(key)
        engine.loaded[key] = 1
        assert len(engine.loaded) + len(engine.loading) <= self.load.slots
        self._after(READY_S, lambda: self._do(engine, engine.places.decide))

    def _report(self, engine: _Engine) -> None:
        facts = ReportedState(
            version_by_model={"base": 1},
            version_by_adapter=dict(engine.loaded),
            loading=frozenset(engine.loading),
            active=engine.running,
            read_at=self._now,
        )
        self._after(REPORT_LAG_S, lambda: self._apply_report(engine, facts))

    def _apply_report(self, engine: _Engine, facts: ReportedState) -> None:
        self._do(engine, engine.places.on_report, facts)
        self._schedule_report(engine)

    def _start(self, engine: _Engine, request: QueuedRequest) -> None:
        engine.running += 1
        began = max(self._now, engine.prefill_ends_at)
        engine.prefill_ends_at = began + request.prompt_tokens / PREFILL_TOKENS_PER_S
        first_at = engine.prefill_ends_at + 0.08 * engine.speed
        token_s = TOKEN_S * engine.speed * (1.0 + SLOWDOWN_PER_RUN * engine.running)
        arrived, tokens = self._arrival_by_id.pop(request.ask_id)
        self._at(first_at, lambda: self._first(engine, request, arrived))
        self._at(first_at + tokens * token_s, lambda: self._end(engine, request))

    def _first(self, engine: _Engine, request: QueuedRequest, arrived: float) -> None:
        self.result.first_event_s.append(self._now - arrived)
        engine.places.on_started(request.ask_id, self._now)

    def _end(self, engine: _Engine, request: QueuedRequest) -> None:
        engine.running -= 1
        self._do(engine, engine.places.on_release, request.ask_id)

    def _tick(self) -> None:
        for engine in self._engine_by_name.values():
            self._do(engine, engine.places.decide)
        if self._now < self.load.seconds + 10.0:
            self._after(0.1, self._tick)


READY_S = 0.032
"""From the end of a load until the owner expects it to be complete."""
