"""Simulates several entry VMs and engines in virtual time, one request at a time.

Owners, choice of engines and retry budgets are the real ones. The engines are those of
``owner_simulation``, without faults.
"""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from bamboovale.decisions.engine_choice import EngineCandidate, EngineChooser
from bamboovale.decisions.load_times import median_s
from bamboovale.decisions.mechanisms import Mechanisms
from bamboovale.decisions.place_work import EngineCapacity, EngineSnapshot
from bamboovale.decisions.retry_share import RetryShare, RetryShareConfig
from bamboovale.gateway.engine_owner import EngineOwner
from bamboovale.gateway.messages import PlaceRelease, PlaceReply, PlaceRequest
from bamboovale.gateway.model import EndpointRecord
from bench.virtual_loop import VirtualTimeLoop
from tests.gateway_site import RecordedJournal
from tests.owner_simulation import BASE, Faults, SimulatedEngine, owner_context

HOP_S = 0.0015
STATUS_S = 0.3
FIRST_EVENT_S = 0.005
RUN_S = 0.025
MAX_ATTEMPTS = 4
CAPACITY = EngineCapacity(8, 100_000, 2, (BASE,))
RETRIES = RetryShareConfig(ratio=0.2, burst=10.0, window_s=10.0)


@dataclass(frozen=True)
class PoolLoad:
    """Load times of all engines, in seconds, and the requests to them.

    ``load_s`` is the range of a load from the weight store; an adapter among the last
    ``cached_adapters`` loads in a tenth of it. ``slow_load_s`` replaces the range
    within ``slow_between``. ``pause_s`` passes between two requests.
    """

    load_s: tuple[float, float]
    seconds: float = 20.0
    adapters: int = 12
    cached_adapters: int = 0
    slow_load_s: tuple[float, float] | None = None
    slow_between: tuple[float, float] = (0.0, 0.0)
    without: tuple[str, ...] = ()
    pause_s: float = 0.0


@dataclass
class PoolResult:
    """What became of the requests.

    ``early_by_engine`` counts requests that arrived before their adapter was loaded,
    ``early_later`` those of them at engines with two complete loads. ``waits_s`` are
    the seconds until the first event, with the time of the request.
    """

    served: int = 0
    refused: int = 0
    requests_later: int = 0
    early_later: int = 0
    early_by_engine: Counter[str] = field(default_factory=Counter)
    loads_by_engine: Counter[str] = field(default_factory=Counter)
    waits_s: list[tuple[float, float]] = field(default_factory=list)


class _EntryVM:
    """An entry VM: what it knows of the engines, and its share of retries."""

    def __init__(self, mechanisms: Mechanisms) -> None:
        self.chooser = EngineChooser(mechanisms, random.Random(0))
        self.snapshot_by_id: dict[str, EngineSnapshot] = {}
        self.loads_by_id: Counter[str] = Counter()
        self.retries = RetryShare.from_config(RETRIES, -RETRIES.window_s)
        self.retries.set_fleet_size(3, 0.0)

    def candidates(self) -> dict[str, EngineCandidate]:
        return {
            name: EngineCandidate(
                name, snapshot, "owner", own_loads=self.loads_by_id[name]
            )
            for name, snapshot in self.snapshot_by_id.items()
        }

    def update(self, owners: dict[str, EngineOwner], now: float) -> None:
        """Apply the status of all engines."""
        for name, owner in owners.items():
            self.snapshot_by_id[name] = owner.places.snapshot(now)
        self.loads_by_id.clear()
        self.chooser.recently_held.update(self.candidates())


class PoolSimulation:
    """Three entry VMs and six engines with two slots each."""

    def __init__(self, load: PoolLoad, seed: int = 1) -> None:
        self.result = PoolResult()
        self._load = load
        self._mechanisms = Mechanisms.without(load.without)
        self._rng = random.Random(seed)
        faults = Faults(
            lost=0.0,
            late=0.0,
            cold_load_s=load.load_s,
            report_age_s=(0.05, 0.06),
            cached_adapters=load.cached_adapters,
        )
        self.engine_by_id = {
            f"e{n}": SimulatedEngine(self._rng, faults, CAPACITY.adapter_slots)
            for n in range(6)
        }
        self._owner_by_id: dict[str, EngineOwner] = {}
        self._entries = [_EntryVM(self._mechanisms) for _ in range(3)]
        self._asks = itertools.count()

    async def run(self) -> PoolResult:
        """Send requests for the adapters in turn until the time is over."""
        loop = asyncio.get_running_loop()
        for name, engine in self.engine_by_id.items():
            engine.record_report()
            self._start_owner(name, engine)
        await asyncio.sleep(0.1)
        tasks = [
            loop.create_task(self._update_forever(entry, number))
            for number, entry in enumerate(self._entries)
        ]
        await asyncio.sleep(STATUS_S)
        for number in itertools.count():
            if loop.time() >= self._load.seconds:
                break
            self._set_load_times(loop.time())
            entry = self._entries[number % len(self._entries)]
            await self._request(entry, f"a{number % self._load.adapters}")
            await asyncio.sleep(self._load.pause_s)
        for name, engine in self.engine_by_id.items():
            self.result.loads_by_engine[name] = engine.loads
            self._owner_by_id[name].stop()
        for task in tasks:
            task.cancel()
        return self.result

    def _start_owner(self, name: str, engine: SimulatedEngine) -> None:
        record = EndpointRecord(name, "llm", ("10.0.0.1", 1), "a", True, 8)
        context = owner_context(
            engine,
            RecordedJournal(name),
            mechanisms=self._mechanisms,
            load_times=lambda record: self._pool_load_times(),
        )
        self._owner_by_id[name] = EngineOwner(record, CAPACITY, context)
        self._owner_by_id[name].start()

    def _pool_load_times(self) -> tuple[float, float]:
        """Return the medians of the last statuses, as they reach other owners."""
        known = list(self._entries[0].snapshot_by_id.values())
        return (
            median_s(snapshot.load_s for snapshot in known),
            median_s(snapshot.cached_load_s for snapshot in known),
        )

    def _set_load_times(self, now: float) -> None:
        start, end = self._load.slow_between
        is_slow = self._load.slow_load_s is not None and start <= now < end
        for engine in self.engine_by_id.values():
            engine.cold_load_s = self._load.slow_load_s if is_slow else None

    async def _update_forever(self, entry: _EntryVM, number: int) -> None:
        await asyncio.sleep(number * STATUS_S / len(self._entries))
        while True:
            entry.update(self._owner_by_id, asyncio.get_running_loop().time())
            await asyncio.sleep(STATUS_S)

    async def _request(self, entry: _EntryVM, adapter: str) -> None:
        """Send one request, again after each that came too early."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        entry.retries.on_fresh(asked_at)
        is_later = all(
            engine.loads - len(engine.coming) >= 2
            for engine in self.engine_by_id.values()
        )
        self.result.requests_later += is_later
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not entry.retries.take(loop.time()):
                break
            candidates = entry.candidates()
            name = entry.chooser.choose((BASE, adapter), 1, candidates)
            assert name is not None
            if not candidates[name].holds((BASE, adapter), 1):
                entry.loads_by_id[name] += 1
            reply = await self._ask_place(name, adapter)
            if reply.version is None:
                break
            await asyncio.sleep(HOP_S)
            release = PlaceRelease(name, reply.ask_id)
            if self.engine_by_id[name].may_run((BASE, adapter), reply.version):
                await self._run(name, release, adapter, asked_at)
                return
            self.result.early_by_engine[name] += 1
            self.result.early_later += self._complete_loads(name) >= 2
            await asyncio.sleep(HOP_S)
            not_held = PlaceRelease(name, reply.ask_id, refused=True, not_held=True)
            self._owner_by_id[name].release(not_held)
        self.result.refused += 1

    def _complete_loads(self, name: str) -> int:
        engine = self.engine_by_id[name]
        return engine.loads - len(engine.coming)

    async def _ask_place(self, name: str, adapter: str) -> PlaceReply:
        answer: asyncio.Future[PlaceReply] = asyncio.get_running_loop().create_future()
        ask_id = f"r{next(self._asks)}.1"
        request = PlaceRequest(name, ask_id, BASE, adapter, 1, 100, 20, 0, 3.0, 9.0)
        await asyncio.sleep(HOP_S)
        self._owner_by_id[name].request_place("vm", request, answer.set_result)
        reply = await answer
        await asyncio.sleep(HOP_S)
        return reply

    async def _run(
        self, name: str, release: PlaceRelease, adapter: str, asked_at: float
    ) -> None:
        engine, owner = self.engine_by_id[name], self._owner_by_id[name]
        engine.runs[release.ask_id] = (BASE, adapter)
        await asyncio.sleep(FIRST_EVENT_S)
        now = asyncio.get_running_loop().time()
        self.result.waits_s.append((asked_at, now - asked_at))
        owner.on_started(release.ask_id)
        await asyncio.sleep(RUN_S - FIRST_EVENT_S)
        engine.end(release.ask_id)
        await asyncio.sleep(HOP_S)
        owner.release(release)
        self.result.served += 1


def simulate_pool(load: PoolLoad, seed: int = 1) -> PoolResult:
    """Run the simulation of one seed and return its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(PoolSimulation(load, seed).run())
    finally:
        loop.close()
