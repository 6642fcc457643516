"""Run the decision modules in virtual time, without sockets or processes.

An event loop simulates engines, the weight store and the messages between entry VMs.
The model is simplified: tokens and messages take a fixed time and no message is lost.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

from bamboovale.decisions.dispatch import DispatchConfig, EngineDispatch
from bamboovale.decisions.load_scheduler import LoadConfig, LoadGrant, LoadScheduler
from bamboovale.decisions.placement import (
    EnginePlacement,
    EngineSite,
    PlacementConfig,
)
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.work import (
    Action,
    EngineHint,
    EngineView,
    Grant,
    Load,
    Permit,
    Refuse,
    RequestLoadGrant,
    ReturnLoadGrant,
    Unload,
    WorkItem,
)
from bamboovale.models import AdapterVersion
from bench.measures import Outcome, Record, Result
from bench.profiles import Arrival, Profile, Scenario, arrivals

HINT_EVERY_S = 0.5
VIEW_EVERY_S = 0.5
TICK_EVERY_S = 0.1
TRIES = 3
RESTART_S = 2.0
BASE_MODEL = "base"


class EventLoop:
    """Runs callbacks in the order of their virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Run a callback at a point in time."""
        heapq.heappush(self._events, (when, next(self._numbers), callback))

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        self.at(self.now + seconds, callback)

    def every(self, seconds: float, callback: Callable[[], None]) -> None:
        """Run a callback periodically."""

        def run() -> None:
            callback()
            self.after(seconds, run)

        self.after(seconds, run)

    def run_until(self, end: float) -> None:
        """Run all events up to a point in time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end


class WeightStore:
    """A weight store with a limited load rate and a shared bandwidth."""

    def __init__(self, loop: EventLoop, profile: Profile) -> None:
        self._loop = loop
        self._profile = profile
        self._remaining_by_id: dict[int, float] = {}
        self._done_by_id: dict[int, Callable[[bool], None]] = {}
        self._numbers = itertools.count()
        self._advanced_at = 0.0
        self._tokens = 2.0
        self._version = 0
        self.down = False
        self.loads = 0

    def load(self, done: Callable[[bool], None]) -> None:
        """Start a load; ``done`` is called with whether it succeeded."""
        self._advance()
        if self.down or self._tokens < 1.0:
            self._loop.after(0.01, lambda: done(False))
            return
        self._tokens -= 1.0
        self.loads += 1
        number = next(self._numbers)
        self._remaining_by_id[number] = self._profile.load_seconds
        self._done_by_id[number] = done
        self._schedule_finish()

    def _advance(self) -> None:
        passed = self._loop.now - self._advanced_at
        self._advanced_at = self._loop.now
        self._tokens = min(2.0, self._tokens + passed * self._profile.loads_per_s)
        for number in self._remaining_by_id:
            self._remaining_by_id[number] -= passed * self._speed()

    def _speed(self) -> float:
        return min(1.0, 2.0 / max(1, len(self._remaining_by_id)))

    def _schedule_finish(self) -> None:
        if not self._remaining_by_id:
            return
        self._version += 1
        version = self._version
        earliest_s = max(0.0, min(self._remaining_by_id.values())) / self._speed()
        self._loop.after(earliest_s + 1e-9, lambda: self._finish(version))

    def _finish(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        ended = [
            n for n, remaining_s in self._remaining_by_id.items() if remaining_s <= 1e-6
        ]
        for number in ended:
            del self._remaining_by_id[number]
        self._schedule_finish()
        for number in ended:
            self._done_by_id.pop(number)(not self.down)


@dataclass
class Job:
    """A request in flight."""

    arrival: Arrival
    item: WorkItem
    record: Record
    entry: int
    tried: list[str] = field(default_factory=list)
    queued_at: float = 0.0


@dataclass
class Engine:
    """An engine and the dispatch of its lease holder."""

    site: EngineSite
    dispatch: EngineDispatch
    boot: int = 1
    up: bool = True
    slow_factor: float = 1.0
    loaded_at: dict[str, float] = field(default_factory=dict)
    loading: int = 0
    unloading: set[str] = field(default_factory=set)
    running: dict[str, Permit] = field(default_factory=dict)
    load_grants: list[LoadGrant] = field(default_factory=list)
    waiting: int = 0


class VirtualCluster:
    """Simulated entry VMs and engines with one load scheduler."""

    def __init__(
        self,
        profile: Profile,
        scenario: Scenario,
        policy: Policy,
        seed: int = 1,
        arriving: Iterator[Arrival] | None = None,
    ) -> None:
        self.profile = profile
        self.scenario = scenario
        self.policy = policy
        self.loop = EventLoop()
        self.result = Result(seconds=scenario.seconds)
        self._rng = random.Random(f"{seed}-choices")
        self._hop = profile.domain_latency_s
        self._job_by_id: dict[str, Job] = {}
        self._fill_at = 0.0
        self.store = WeightStore(self.loop, profile)
        self.scheduler = LoadScheduler.from_config(
            LoadConfig(
                rate_per_s=profile.loads_per_s, by_weight=policy.loads_by_weight
            ),
        )
        self.engine_by_id = self._make_engines()
        self.placements = [
            self._make_placement(number) for number in range(profile.entries)
        ]
        self._arrivals = arriving or arrivals(profile, scenario, seed)

    def run(self) -> Result:
        """Run the scenario and return the records of all requests."""
        for number, engine in enumerate(self.engine_by_id.values()):
            self._poll(engine)
            self._every(VIEW_EVERY_S, number, self._poll, engine)
            self._every(HINT_EVERY_S, number, self._send_hints, engine)
            self._every(TICK_EVERY_S, number, self._tick, engine)
        self.loop.every(TICK_EVERY_S, self._tick_scheduler)
        self._schedule_faults()
        self._next_arrival()
        self.loop.run_until(self.scenario.seconds)
        self._count_fill()
        for job in self._job_by_id.values():
            self._end_open(job)
        self.result.loads = self.store.loads
        return self.result

    # Set-up.

    def _make_engines(self) -> dict[str, Engine]:
        profile = self.profile
        engines = {}
        for number in range(profile.engines):
            domain = profile.failure_domains[number % len(profile.failure_domains)]
            site = EngineSite(f"g{number + 1}", BASE_MODEL, domain)
            config = DispatchConfig(
                engine_id=site.engine_id,
                base_model=BASE_MODEL,
                fencing=1,
                stall_weight=profile.stall_weight,
                load_seconds=profile.load_seconds,
            )
            dispatch = EngineDispatch.from_config(config, self.policy)
            engines[site.engine_id] = Engine(site, dispatch)
        return engines

    def _make_placement(self, number: int) -> EnginePlacement:
        domains = self.profile.failure_domains
        placement = EnginePlacement.from_config(
            PlacementConfig(failure_domain=domains[number % len(domains)]),
            self.policy,
        )
        placement.set_live_vms(self.profile.entries)
        placement.set_engines(engine.site for engine in self.engine_by_id.values())
        return placement

    def _every(
        self,
        seconds: float,
        number: int,
        callback: Callable[[Engine], None],
        engine: Engine,
    ) -> None:
        offset = seconds * number / self.profile.engines
        self.loop.after(
            offset,
            lambda: self.loop.every(seconds, lambda: callback(engine)),
        )

    def _schedule_faults(self) -> None:
        scenario = self.scenario
        first = next(iter(self.engine_by_id.values()))
        if scenario.cold_restart_at is not None:
            for engine in self.engine_by_id.values():
                self._at(scenario.cold_restart_at, self._restart, engine)
        if scenario.slow_engine_at is not None:
            normal_at = scenario.slow_engine_at + scenario.slow_engine_s
            self._at(scenario.slow_engine_at, self._slow, first, scenario.slow_factor)
            self._at(normal_at, self._slow, first, 1.0)
        if scenario.store_down_at is not None:
            up_at = scenario.store_down_at + scenario.store_down_s
            self._at(scenario.store_down_at, self._set_store_down, True)
            self._at(up_at, self._set_store_down, False)

    def _at(
        self, when: float, callback: Callable[..., None], *arguments: object
    ) -> None:
        self.loop.at(when, lambda: callback(*arguments))

    # Faults.

    def _slow(self, engine: Engine, factor: float) -> None:
        engine.slow_factor = factor

    def _set_store_down(self, down: bool) -> None:
        self.store.down = down

    def _restart(self, engine: Engine) -> None:
        self._count_fill()
        engine.boot += 1
        engine.up = False
        engine.loaded_at.clear()
        engine.unloading.clear()
        engine.loading = 0
        broken = [permit.request_id for permit in engine.running.values()]
        engine.running.clear()
        for request_id in broken:
            self._retry_broken(request_id)
        self.loop.after(RESTART_S, lambda: self._finish_restart(engine))

    def _finish_restart(self, engine: Engine) -> None:
        engine.up = True
        self._poll(engine)

    def _retry_broken(self, request_id: str) -> None:
        job = self._job_by_id.get(request_id)
        if job is not None:
            job.record.outcome = Outcome.OPEN
            job.tried.clear()
            self.loop.after(self._hop, lambda: self._send_to_engine(job))

    # Callers and entry VMs.

    def _next_arrival(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is not None:
            self.loop.at(arrival.at, lambda: self._arrive(arrival))

    def _arrive(self, arrival: Arrival) -> None:
        self._next_arrival()
        now = self.loop.now
        number = len(self.result.records)
        record = Record(
            arrival.customer,
            arrival.work_class,
            now,
            arrival.max_wait_s,
        )
        self.result.records.append(record)
        item = WorkItem(
            request_id=f"r{number}",
            entry_vm=f"e{number % self.profile.entries}",
            target=AdapterVersion(arrival.adapter, "1"),
            source=arrival.adapter,
            work_class=arrival.work_class,
            customer=arrival.customer,
            arrived_at=now,
            latest_start=now + arrival.max_wait_s,
            max_tokens=arrival.tokens,
            size_bytes=1000,
        )
        job = Job(arrival, item, record, number % self.profile.entries)
        self._job_by_id[item.request_id] = job
        if not self.policy.refuses_late:
            self.loop.at(item.latest_start, lambda: self._give_up(job))
        self._send_to_engine(job)

    def _send_to_engine(self, job: Job) -> None:
        placement = self.placements[job.entry]
        engine_id = placement.choose_engine(
            job.item,
            BASE_MODEL,
            self.loop.now,
            self._rng,
            job.tried,
        )
        if engine_id is None:
            self._record_outcome(job, Outcome.REFUSED)
            return
        job.tried.append(engine_id)
        placement.on_sent(engine_id, job.item.target.lora_name)
        engine = self.engine_by_id[engine_id]
        self.loop.after(self._hop, lambda: self._request(engine, job))

    def _request(self, engine: Engine, job: Job) -> None:
        self._count_fill()
        engine.waiting += 1
        job.queued_at = self.loop.now
        self._execute(engine, engine.dispatch.on_request(job.item, self.loop.now))

    def _give_up(self, job: Job) -> None:
        if job.record.outcome is not Outcome.OPEN:
            return
        for engine in self.engine_by_id.values():
            if engine.site.engine_id in job.tried[-1:]:
                self._count_fill()
                engine.waiting -= 1
                actions = engine.dispatch.on_cancel(job.item.request_id, self.loop.now)
                self._execute(engine, actions)
        self._note_stall(self.engine_by_id[job.tried[-1]], job)
        self._record_outcome(job, Outcome.GAVE_UP)

    def _record_outcome(self, job: Job, outcome: Outcome) -> None:
        job.record.outcome = outcome
        job.record.ended_at = self.loop.now
        if outcome is not Outcome.SERVED:
            job.record.wait_s = self.loop.now - job.item.arrived_at
            self._job_by_id.pop(job.item.request_id, None)

    def _end_open(self, job: Job) -> None:
        if job.record.outcome is Outcome.OPEN:
            job.record.wait_s = self.loop.now - job.item.arrived_at

    # Lease holder of an engine.

    def _poll(self, engine: Engine) -> None:
        if not engine.up:
            return
        running = {p.request_id: p.lora_name for p in engine.running.values()}
        view = EngineView(
            boot_id=f"b{engine.boot}",
            base_model=BASE_MODEL,
            max_num_seqs=self.profile.max_num_seqs,
            max_loras=self.profile.max_loras,
            loaded=frozenset(engine.loaded_at),
            running_by_request_id=running,
            read_at=self.loop.now,
        )
        actions = engine.dispatch.on_engine_view(view, self.loop.now)
        self._execute(engine, actions)

    def _tick(self, engine: Engine) -> None:
        self._execute(engine, engine.dispatch.on_tick(self.loop.now))

    def _send_hints(self, engine: Engine) -> None:
        hint = engine.dispatch.hint(self.loop.now)
        for placement in self.placements:
            self.loop.after(self._hop, partial(self._on_hint, placement, hint))

    def _on_hint(self, placement: EnginePlacement, hint: EngineHint) -> None:
        placement.on_hint(hint, self.loop.now)

    def _execute(self, engine: Engine, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Grant):
                self._start(engine, action.permit)
            elif isinstance(action, Refuse):
                self._on_refusal(engine, action)
            elif isinstance(action, RequestLoadGrant):
                self._request_load_grant(engine, action)
            elif isinstance(action, ReturnLoadGrant):
                self._return_load_grant(engine)
            elif isinstance(action, Load):
                self._load(engine, action.lora_name)
            elif isinstance(action, Unload):
                self._unload(engine, action.lora_name)

    def _start(self, engine: Engine, permit: Permit) -> None:
        self._count_fill()
        engine.waiting -= 1
        job = self._job_by_id[permit.request_id]
        self._note_stall(engine, job)
        job.record.wait_s = self.loop.now - job.item.arrived_at
        self._record_outcome(job, Outcome.SERVED)
        engine.running[permit.permit_id] = permit
        step_s = self.profile.step_s * engine.slow_factor
        seconds = job.item.max_tokens * step_s + 4 * self._hop
        self.loop.after(seconds, lambda: self._finish(engine, permit))

    def _note_stall(self, engine: Engine, job: Job) -> None:
        """Add the wait until the adapter was loaded, or until now if it is not."""
        loaded_at = engine.loaded_at.get(job.item.target.lora_name, self.loop.now)
        job.record.stall_s += max(0.0, loaded_at - job.queued_at)

    def _finish(self, engine: Engine, permit: Permit) -> None:
        if engine.running.pop(permit.permit_id, None) is None:
            return
        self._count_fill(just_ended=1)
        self._job_by_id.pop(permit.request_id, None)
        actions = engine.dispatch.on_release(permit.permit_id, self.loop.now)
        self._execute(engine, actions)

    def _on_refusal(self, engine: Engine, action: Refuse) -> None:
        self._count_fill()
        engine.waiting -= 1
        job = self._job_by_id.get(action.request_id)
        if job is None:
            return
        self._note_stall(engine, job)
        late = self.loop.now >= job.item.latest_start
        if late or len(job.tried) >= TRIES:
            self._record_outcome(job, Outcome.REFUSED)
        else:
            self.loop.after(self._hop, lambda: self._send_to_engine(job))

    # Load grants and loads.

    def _request_load_grant(
        self, engine: Engine, load_request: RequestLoadGrant
    ) -> None:
        def arrive() -> None:
            load_grants = self.scheduler.on_request(
                engine.site.engine_id,
                load_request.lora_name,
                load_request.weight,
                self.loop.now,
            )
            self._deliver(load_grants)

        self.loop.after(self._hop, arrive)

    def _deliver(self, load_grants: list[LoadGrant]) -> None:
        for load_grant in load_grants:
            engine = self.engine_by_id[load_grant.engine_id]
            self.loop.after(
                self._hop, partial(self._use_load_grant, engine, load_grant)
            )

    def _use_load_grant(self, engine: Engine, load_grant: LoadGrant) -> None:
        engine.load_grants.append(load_grant)
        actions = engine.dispatch.on_load_grant(load_grant.lora_name, self.loop.now)
        self._execute(engine, actions)

    def _return_load_grant(self, engine: Engine) -> None:
        if engine.load_grants:
            load_grant = engine.load_grants.pop()
            self._deliver(self.scheduler.on_returned(load_grant.number, self.loop.now))

    def _end_load_grant(self, engine: Engine, loaded: bool) -> None:
        if engine.load_grants:
            number = engine.load_grants.pop(0).number
            load_grants = self.scheduler.on_done(number, self.loop.now, loaded=loaded)
            self._deliver(load_grants)

    def _tick_scheduler(self) -> None:
        self._deliver(self.scheduler.on_tick(self.loop.now))

    def _load(self, engine: Engine, name: str) -> None:
        boot = engine.boot
        engine.loading += 1

        def done(ok: bool) -> None:
            self._end_load_grant(engine, ok)
            if engine.boot != boot:
                return
            engine.loading -= 1
            if ok:
                engine.loaded_at[name] = self.loop.now
                actions = engine.dispatch.on_loaded(name, self.loop.now)
            else:
                actions = engine.dispatch.on_load_failed(name, self.loop.now, 0.0)
            self._execute(engine, actions)

        if engine.up:
            self.store.load(done)
        else:
            self.loop.after(self._hop, lambda: done(False))

    def _unload(self, engine: Engine, name: str) -> None:
        boot = engine.boot
        in_use = {permit.lora_name for permit in engine.running.values()}
        assert name not in in_use, "evicted under a running request"
        engine.loaded_at.pop(name, None)

        def done() -> None:
            if engine.boot == boot:
                actions = engine.dispatch.on_unloaded(name, self.loop.now)
                self._execute(engine, actions)

        self.loop.after(2 * self._hop, done)

    # Batch efficiency.

    def _count_fill(self, just_ended: int = 0) -> None:
        """Add the time since the last change if any engine had requests waiting."""
        passed = self.loop.now - self._fill_at
        self._fill_at = self.loop.now
        engines = self.engine_by_id.values()
        if passed > 0.0 and any(engine.waiting > 0 for engine in engines):
            used = sum(len(engine.running) for engine in engines) + just_ended
            places = self.profile.max_num_seqs * len(self.engine_by_id)
            self.result.fill.add(used, places, passed)


def run_scenario(
    profile: Profile,
    scenario: Scenario,
    policy: Policy,
    seed: int = 1,
) -> Result:
    """Run one scenario with one policy."""
    return VirtualCluster(profile, scenario, policy, seed).run()
