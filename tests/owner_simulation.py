"""Simulation of an engine and its owner in virtual time, with faults of orders.

The owner is the real one. The engine is simulated after the platform: orders with an
expected number, loads that take time, unloads that wait for runs, delayed reports.
"""

import asyncio
import itertools
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

from bamboovale.decisions.mechanisms import ALL_ON
from bamboovale.decisions.place_work import AdapterKey, EngineCapacity
from bamboovale.gateway.engine_client import EngineCallFailed
from bamboovale.gateway.engine_owner import EngineOwner
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.messages import (
    PlaceHeld,
    PlaceRelease,
    PlaceReply,
    PlaceRequest,
)
from bamboovale.gateway.model import (
    EndpointRecord,
    EngineOrder,
    EngineReport,
    LoadedModel,
    OrderOutcome,
)
from bamboovale.gateway.owner_context import OwnerContext
from bench.virtual_loop import VirtualTimeLoop
from tests.gateway_site import RecordedJournal

BASE = "base"
MAX_LOADS = 4
"""Adapters that an engine loads at the same time."""
ANSWER_S = 0.004
ORDER_TIMEOUT_S = 0.05
REPORT_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class Faults:
    """Behaviour of the engine and the network; shares are 0 to 1, times in seconds.

    ``lost`` is the share of orders without an answer, ``late`` of those carried out
    late, ``denied`` of times at which no order may be sent, ``owner_changes`` and
    ``new_versions`` of requests with which these come, ``overlaps`` of changes after
    which the previous owner goes on for a while. With the share ``silences`` of
    requests the engine stops answering reports for seconds; the next report is of
    before. An engine confirms orders already in effect before checking their number if
    ``holds_before_number``.
    """

    lost: float = 0.25
    late: float = 0.25
    denied: float = 0.1
    owner_changes: float = 0.002
    new_versions: float = 0.008
    overlaps: float = 0.0
    silences: float = 0.0
    cold_load_s: tuple[float, float] = (0.1, 0.6)
    report_age_s: tuple[float, float] = (0.05, 0.3)
    holds_before_number: bool = False
    cached_adapters: int = 30


def owner_context(client: Any, journal: Journal, **changed: Any) -> OwnerContext:
    """Return the dependencies of an owner that may always order."""
    return replace(
        OwnerContext(
            client=client,
            journal=journal,
            now=asyncio.get_running_loop().time,
            may_order=lambda engine_id, orders: True,
            on_order=lambda engine_id, orders: None,
            fence=lambda engine_id: 1,
            on_fenced=lambda record, token: None,
            on_restart=lambda record, started_ms: None,
            hold_off_s=lambda: 0.0,
            pool_stalled=lambda service: False,
            limit_per_s=lambda engine_id: None,
            rest_s=lambda engine_id: 0.0,
            load_times=lambda record: (0.0, 0.0),
            mechanisms=ALL_ON,
        ),
        **changed,
    )


@dataclass
class _Snapshot:
    at: float
    report: EngineReport


@dataclass
class SimulatedEngine:
    """A simulated engine; ``overfilled`` are the loads without a free slot.

    ``loads`` counts the loads that it began. ``cold_load_s`` replaces that of its
    faults if it is set.
    """

    rng: random.Random
    faults: Faults
    slots: int
    overfilled: list[str] = field(default_factory=list)
    orders: int = 0
    loads: int = 0
    version_by_key: dict[AdapterKey, int] = field(default_factory=dict)
    coming: dict[AdapterKey, int] = field(default_factory=dict)
    runs: dict[str, AdapterKey] = field(default_factory=dict)
    silent_until: float = 0.0
    cold_load_s: tuple[float, float] | None = None
    newest: dict[AdapterKey, int] = field(default_factory=dict)
    _pending_unload: AdapterKey | None = None
    _history: list[_Snapshot] = field(default_factory=list)
    _recent: list[AdapterKey] = field(default_factory=list)
    _reported_at: float = 0.0

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    # Calls.

    async def report(self, record: EndpointRecord) -> EngineReport:
        """Return a report of some time ago."""
        await asyncio.sleep(ANSWER_S)
        if self.now() < self.silent_until:
            await asyncio.sleep(REPORT_TIMEOUT_S)
            raise EngineCallFailed("no answer")
        if self.rng.random() < self.faults.lost / 4:
            raise EngineCallFailed("no answer")
        age_s = self.rng.uniform(*self.faults.report_age_s)
        if self.silent_until:
            self.silent_until = 0.0
        else:
            self._reported_at = max(self._reported_at, self.now() - age_s)
        self.record_report()
        older = [item for item in self._history if item.at <= self._reported_at]
        return (older[-1] if older else self._history[0]).report

    async def order(
        self,
        record: EndpointRecord,
        order: EngineOrder,
        fence: int,
        expected_orders: int | None,
        lost: int = 0,
    ) -> OrderOutcome:
        """Carry out an order, maybe late or without an answer."""
        loop = asyncio.get_running_loop()
        if self.rng.random() < self.faults.late:
            late_s = self.rng.uniform(0.06, 12.0)
            loop.call_later(late_s, self._carry_out, order, expected_orders)
            await asyncio.sleep(ORDER_TIMEOUT_S * 2**lost)
            return OrderOutcome.UNKNOWN
        await asyncio.sleep(ANSWER_S / 2)
        outcome = self._carry_out(order, expected_orders)
        if self.rng.random() < self.faults.lost:
            await asyncio.sleep(ORDER_TIMEOUT_S * 2**lost)
            return OrderOutcome.UNKNOWN
        await asyncio.sleep(ANSWER_S / 2)
        return outcome

    def may_run(self, key: AdapterKey, version: int) -> bool:
        """Return whether a run may start."""
        return self.version_by_key.get(key) == version

    def end(self, run: str) -> None:
        """End a run."""
        self.runs.pop(run, None)
        self._end_pending_unload()
        self.record_report()

    # Orders.

    def _carry_out(self, order: EngineOrder, expected: int | None) -> OrderOutcome:
        key = (order.model, order.adapter or "")
        if self.faults.holds_before_number and self._holds(order, key):
            return OrderOutcome.HOLDS
        if expected != self.orders or self._pending_unload is not None:
            return OrderOutcome.CONFLICT
        if self._holds(order, key):
            return OrderOutcome.HOLDS
        outcome = self._load(key) if order.load else self._unload(key)
        self.record_report()
        return outcome

    def _holds(self, order: EngineOrder, key: AdapterKey) -> bool:
        if not order.load:
            return key not in self.version_by_key
        wanted = order.version or 1
        return max(self.version_by_key.get(key, 0), self.coming.get(key, 0)) >= wanted

    def _load(self, key: AdapterKey) -> OrderOutcome:
        if len(self.coming) >= MAX_LOADS:
            return OrderOutcome.CONFLICT
        self.orders += 1
        self.loads += 1
        self.coming[key] = self.newest.get(key, 1)
        if len(self.version_by_key.keys() | self.coming.keys()) > self.slots:
            self.overfilled.append(f"{key[1]} at {self.now():.3f}")
        cold_s = self.rng.uniform(*(self.cold_load_s or self.faults.cold_load_s))
        load_s = cold_s / 10 if key in self._recent else cold_s
        asyncio.get_running_loop().call_later(load_s, self._end_load, key)
        return OrderOutcome.ACCEPTED

    def _end_load(self, key: AdapterKey) -> None:
        """End a load; a new version waits for the runs of the previous one."""
        if key not in self.coming:
            return
        if key in self.runs.values():
            asyncio.get_running_loop().call_later(0.05, self._end_load, key)
            return
        self.version_by_key[key] = self.coming.pop(key)
        recent = [*(k for k in self._recent if k != key), key]
        self._recent = recent[max(0, len(recent) - self.faults.cached_adapters) :]
        self.record_report()

    def _unload(self, key: AdapterKey) -> OrderOutcome:
        self.orders += 1
        if key in self.runs.values():
            self._pending_unload = key
            return OrderOutcome.ACCEPTED
        del self.version_by_key[key]
        return OrderOutcome.HOLDS

    def _end_pending_unload(self) -> None:
        key = self._pending_unload
        if key is not None and key not in self.runs.values():
            self._pending_unload = None
            self.version_by_key.pop(key, None)

    def record_report(self) -> None:
        """Keep the current state for later reports."""
        report = EngineReport(
            models=(LoadedModel(BASE, 1, _by_name(self.version_by_key)),),
            loading=frozenset(self.coming),
            busy=self._pending_unload is not None,
            orders=self.orders,
            queued=0,
            active=len(self.runs),
            running=frozenset(self.runs),
        )
        self._history = self._history[-400:]
        self._history.append(_Snapshot(self.now(), report))


def _by_name(version_by_key: dict[AdapterKey, int]) -> dict[str, int]:
    return {name: version for (_, name), version in version_by_key.items()}


class OwnerSimulation:
    """Requests for many adapters at one engine whose owner changes occasionally."""

    def __init__(self, seed: int, faults: Faults, slots: int = 6) -> None:
        self.rng = random.Random(seed)
        self.engine = SimulatedEngine(self.rng, faults, slots)
        self.served = 0
        self.refused_by_engine = 0
        self.journal = RecordedJournal("owner")
        self._faults = faults
        self._fence = 1
        self._held_by_ask: dict[str, PlaceHeld] = {}
        self._denied_until = 0.0
        self._asks = itertools.count()
        self._record = EndpointRecord("e", "llm", ("10.0.0.1", 1), "a", True, 16)
        self._capacity = EngineCapacity(16, 1_000_000, slots, (BASE,))
        self._tasks: set[asyncio.Task[None]] = set()
        self._owners: list[EngineOwner] = []

    async def run(self, seconds: float, per_s: float = 25.0) -> None:
        """Simulate a load for a while."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        self.engine.record_report()
        self._start_owner()
        while loop.time() < end and not self.engine.overfilled:
            await asyncio.sleep(self.rng.expovariate(per_s))
            self._spawn(self._request())
            draw = self.rng.random()
            changes = self._faults.owner_changes
            versions = changes + self._faults.new_versions
            if draw < changes:
                self._change_owner()
            elif draw < versions:
                self._publish_version()
            elif draw > 1.0 - self._faults.silences:
                self.engine.silent_until = loop.time() + self.rng.uniform(0.5, 2.5)
            elif draw < versions + self._faults.denied / 5:
                self._denied_until = loop.time() + self.rng.uniform(0.0, 0.4)
        for owner in self._owners:
            owner.stop()
        for task in list(self._tasks):
            task.cancel()

    def _start_owner(self) -> None:
        loop = asyncio.get_running_loop()
        context = owner_context(
            self.engine,
            self.journal,
            may_order=lambda engine_id, orders: loop.time() >= self._denied_until,
            fence=lambda engine_id: self._fence,
            hold_off_s=lambda: 0.3,
        )
        self._owner = EngineOwner(self._record, self._capacity, context)
        self._owners.append(self._owner)
        self._owner.start()

    def _change_owner(self) -> None:
        """Replace the owner; the new one is notified of the runs a moment later."""
        loop = asyncio.get_running_loop()
        overlaps = self._faults.overlaps
        if overlaps and self.rng.random() < overlaps:
            loop.call_later(self.rng.uniform(0.05, 2.0), self._owner.stop)
        else:
            self._owner.stop()
        self._fence += 1
        self._start_owner()
        for held in self._held_by_ask.values():
            loop.call_later(self.rng.uniform(0.0, 0.25), self._notify_held, held)

    def _notify_held(self, held: PlaceHeld) -> None:
        if held.ask_id in self._held_by_ask:
            self._owner.on_held("vm", held)

    def _publish_version(self) -> None:
        name = self._adapter()
        version = self.engine.newest.get((BASE, name), 1) + 1
        self.engine.newest[BASE, name] = version
        self._owner.note_version(BASE, name, version)

    def _adapter(self) -> str:
        return f"a{int(self.rng.paretovariate(0.7)) % 40}"

    async def _request(self) -> None:
        name = self._adapter()
        ask_id = f"r{next(self._asks)}.1"
        version = self.engine.newest.get((BASE, name), 1)
        request = PlaceRequest("e", ask_id, BASE, name, version, 100, 20, 0, 0.8, 3.0)
        answer: asyncio.Future[PlaceReply] = asyncio.get_running_loop().create_future()
        self._owner.request_place("vm", request, lambda reply: _set(answer, reply))
        reply = await answer
        if reply.version is None:
            return
        await asyncio.sleep(0.002)
        release = PlaceRelease("e", ask_id)
        key = (BASE, name)
        if not self.engine.may_run(key, reply.version):
            self.refused_by_engine += 1
            not_held = key not in self.engine.version_by_key
            self._owner.release(replace(release, refused=True, not_held=not_held))
            return
        self.engine.runs[ask_id] = key
        self._held_by_ask[ask_id] = PlaceHeld(
            "e", ask_id, BASE, name, reply.version, 100, 20
        )
        await asyncio.sleep(self.rng.uniform(0.05, 1.5))
        self.engine.end(ask_id)
        self.served += 1
        await asyncio.sleep(0.002)
        del self._held_by_ask[ask_id]
        self._owner.release(release)

    def _spawn(self, job: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _set(answer: "asyncio.Future[PlaceReply]", reply: PlaceReply) -> None:
    if not answer.done():
        answer.set_result(reply)


def simulate(seed: int, faults: Faults, seconds: float = 60.0) -> OwnerSimulation:
    """Run the simulation of one seed and return it."""
    loop = VirtualTimeLoop()
    try:
        simulation = OwnerSimulation(seed, faults)
        loop.run_until_complete(simulation.run(seconds))
        return simulation
    finally:
        loop.close()
