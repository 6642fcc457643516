"""A plain service of few places and many entry VMs, in virtual time.

``PlainCalls`` of every VM sends the calls of callers that come at random to endpoints
with slots and a queue. A caller that is refused returns once, after Retry-After; its
time counts from its last try. VMs know granters and losses as late as a fleet does.
"""

import asyncio
import itertools
import math
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable, Collection, Iterator, Mapping
from concurrent.futures import Future
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from bamboovale.decisions.retry_share import RetryShareConfig
from bamboovale.gateway.call import Call, CallFailed, CallRefused
from bamboovale.gateway.endpoint_client import NotRun
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import CallFacts, CallKind, EndpointRecord, Route
from bamboovale.gateway.plain_calls import SERVER_ERROR, PlainCalls
from bamboovale.gateway.retry_budgets import RetryBudgets
from bamboovale.http1.request import Request
from bamboovale.peers.codec import encode
from bamboovale.peers.outgoing import PeerTimeoutError
from bamboovale.shared_places.client import PlaceClient
from bamboovale.shared_places.granter import PlaceGranter
from bamboovale.shared_places.messages import (
    SharedPlaceHeld,
    SharedPlaceRelease,
    SharedPlaceReply,
    SharedPlaceRequest,
)
from bamboovale.shared_places.places import Excluded, OwnChoice, OwnChoices, Place
from bench.virtual_loop import VirtualTimeLoop

SERVICE = "app"
ONE_WAY_S = 0.0009
HANDLING_S = 0.0002
"""Time for a message to be decoded and handled."""
DETECTION_S = 2.5
"""Time until a VM that is killed or cut off is missed, and another takes over."""
PUBLISH_INTERVAL_S = 0.1
"""Interval at which VMs publish the load of endpoints to others."""
FRAME_BYTES = 14
"""Approximate size that frames and links add to a message."""


class Way(Enum):
    """How a VM chooses the endpoint of a call."""

    LOCAL = "local choice"
    SHARE = "own share"
    GRANTER = "granter"
    PUBLISHED = "two choices by published load"
    IDLE_QUEUE = "join idle queue"


@dataclass(frozen=True)
class Span:
    """A time in which a fault holds; seconds from the start."""

    start: float = math.inf
    end: float = math.inf

    def holds(self, now: float) -> bool:
        """Return whether the fault holds."""
        return self.start <= now < self.end


@dataclass(frozen=True)
class Day:
    """What is played; times in seconds.

    ``load`` is the part of the places' capacity that callers ask for. ``work_spread``
    is the standard deviation of the time of a call, as a part of its mean. ``slow``
    makes the first endpoint, or (``all_slow``) all, slower by ``slow_factor``. The
    granter is the first VM: it is killed at ``killed_at``. The second half of the VMs
    is cut from the first while ``cut``, takes the second VM for the granter while
    ``two_granters``, and gets its messages 2 s late while ``delayed``. No VM is known
    as granter while ``unknown_granter``. While ``failing``, the first
    ``failing_endpoints`` answer ``failing_share`` of their calls with an error after
    ``failing_part`` of the usual time. The last ``leaving_endpoints`` take no new calls
    while ``leaving``.
    """

    vms: int = 89
    load: float = 0.9
    way: Way = Way.GRANTER
    seed: int = 1
    seconds: float = 6.0
    work_s: float = 0.0686
    work_spread: float = 8.0**-0.5
    goal_s: float = 0.344
    deadline_s: float = 1.57
    endpoints: int = 4
    slots: int = 6
    queue: int = 24
    slow: Span = Span()
    slow_factor: float = 2.5
    all_slow: bool = False
    rejecting: Span = Span()
    killed_at: float = math.inf
    cut: Span = Span()
    two_granters: Span = Span()
    delayed: Span = Span()
    unknown_granter: Span = Span()
    failing: Span = Span()
    failing_share: float = 1.0
    failing_part: float = 0.05
    failing_endpoints: int = 1
    leaving: Span = Span()
    leaving_endpoints: int = 1
    kind: CallKind = CallKind.UNSAFE


@dataclass
class Outcome:
    """What callers got: counts, and the seconds until each refusal."""

    callers: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    arrivals: int = 0
    rejections: int = 0
    idle_refusals: int = 0
    refusals_s: list[float] = field(default_factory=list)
    bytes_by_kind: Counter[str] = field(default_factory=Counter)
    sent_by_kind: Counter[str] = field(default_factory=Counter)
    by_outcome: Counter[str] = field(default_factory=Counter)
    in_time_by_s: Counter[int] = field(default_factory=Counter)
    callers_by_s: Counter[int] = field(default_factory=Counter)
    used_after: int = 0

    def share(self, count: int) -> float:
        """Return a count as a share of the callers."""
        return count / max(1, self.callers)

    def refusal_s(self, share: float) -> float:
        """Return the time until a refusal below which a share of them stays."""
        ordered = sorted(self.refusals_s)
        return ordered[int(share * (len(ordered) - 1))] if ordered else 0.0


def now() -> float:
    """Return the time of the running event loop."""
    return asyncio.get_running_loop().time()


@dataclass
class SimulatedEndpoint:
    """An endpoint: ``present`` counts calls that run, wait, or are on their way."""

    day: Day
    number: int
    rng: random.Random
    on_freed: Callable[[str], None]
    present: int = 0
    rejections: int = 0
    _running: asyncio.Semaphore = field(init=False)

    def __post_init__(self) -> None:
        self._running = asyncio.Semaphore(self.day.slots)

    @property
    def endpoint_id(self) -> str:
        """Return the endpoint's id."""
        return f"app-{self.number}"

    def speed_factor(self) -> float:
        """Return by how much calls take longer now."""
        day = self.day
        is_slow = day.slow.holds(now()) and (day.all_slow or self.number == 0)
        return day.slow_factor if is_slow else 1.0

    def fails(self) -> bool:
        """Return whether a call that starts now is answered with an error."""
        day = self.day
        is_failing = day.failing.holds(now()) and self.number < day.failing_endpoints
        return is_failing and self.rng.random() < day.failing_share

    async def run(self) -> int:
        """Run a call and return its status, or raise NotRun at once."""
        is_rejecting = self.day.rejecting.holds(now()) and self.number == 0
        if is_rejecting or self.present >= self.day.slots + self.day.queue:
            self.rejections += 1
            await asyncio.sleep(ONE_WAY_S)
            raise NotRun("full", reached=True)
        self.present += 1
        try:
            async with self._running:
                shape = self.day.work_spread**-2
                work_s = self.day.work_s * self.rng.gammavariate(shape, 1.0 / shape)
                fails = self.fails()
                part = self.day.failing_part if fails else self.speed_factor()
                await asyncio.sleep(work_s * part)
                return 500 if fails else 200
        finally:
            self.present -= 1
            self.on_freed(self.endpoint_id)


@dataclass
class SimulatedAnswer:
    """An endpoint's answer, and its head."""

    status: int
    reads_not_run: bool = False
    headers: tuple[()] = ()

    @property
    def facts(self) -> "SimulatedAnswer":
        """Return the head of the answer."""
        return self

    async def read_body(self) -> bytes:
        """Return an empty body."""
        return b""


class SimulatedPool:
    """All endpoints, and what a VM needs around them."""

    def __init__(self, day: Day, rng: random.Random) -> None:
        self.day = day
        self.arrivals = 0
        self.freed_listeners: list[Callable[[str], None]] = []
        self.endpoint_by_id = {
            endpoint.endpoint_id: endpoint
            for number in range(day.endpoints)
            for endpoint in [SimulatedEndpoint(day, number, rng, self._on_freed)]
        }
        self.record_by_id = {
            name: EndpointRecord(name, SERVICE, ("127.0.0.1", 1), "a", True, day.slots)
            for name in self.endpoint_by_id
        }
        self._half = day.slots * day.endpoints / 2

    def is_half_idle(self) -> bool:
        """Return whether fewer than half of the places are taken."""
        present = sum(e.present for e in self.endpoint_by_id.values())
        return present < self._half

    def _on_freed(self, endpoint_id: str) -> None:
        for listener in self.freed_listeners:
            listener(endpoint_id)

    def ready(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints that take new calls."""
        records = list(self.record_by_id.values())
        if not self.day.leaving.holds(now()):
            return records
        return records[: self.day.endpoints - self.day.leaving_endpoints]

    def is_ready(self, endpoint_id: str) -> bool:
        """Return whether an endpoint takes new calls."""
        return endpoint_id in {r.endpoint_id for r in self.ready(SERVICE)}

    def waits_s(self, endpoint_ids: Collection[str]) -> dict[str, float]:
        """Return that no endpoint wants rest."""
        return {}

    def most_by_id(self, records: Collection[EndpointRecord]) -> dict[str, int]:
        """Return that no endpoint is brittle."""
        return {}

    def on_rejected(self, endpoint_id: str, under_way: int) -> None:
        """Do nothing, as no endpoint is brittle."""

    def take(self, endpoint_id: str) -> None:
        """Count nothing, as no endpoint names a limit."""

    def note_passed_over(self, notes: Any, endpoint_ids: Any) -> None:
        """Do nothing, as no endpoint is passed over."""

    def is_refused(self, call: Any) -> bool:
        """Return that no call has crashed endpoints."""
        return False

    @contextmanager
    def watch(self, call: Any, record: EndpointRecord) -> Iterator["SimulatedPool"]:
        """Watch nothing, as no endpoint crashes."""
        yield self

    def on_failure(self) -> None:
        """Suspect no call, as no endpoint crashes."""

    @asynccontextmanager
    async def attempt(
        self, call: Any, record: EndpointRecord, *arguments: Any, **fields: Any
    ) -> AsyncIterator[SimulatedAnswer]:
        """Send a call, and wait for its answer."""
        self.arrivals += 1
        await asyncio.sleep(ONE_WAY_S)
        status = await self.endpoint_by_id[record.endpoint_id].run()
        await asyncio.sleep(ONE_WAY_S)
        yield SimulatedAnswer(status)

    def has_caller_left(self) -> bool:
        """Return that callers wait."""
        return False


@dataclass
class SimulatedVM:
    """One VM with its side of shared places."""

    vm_id: str
    number: int
    granter: PlaceGranter
    client: PlaceClient
    calls: PlainCalls
    is_alive: bool = True


class SimulatedFleet:
    """The VMs and the links between them."""

    def __init__(self, day: Day, outcome: Outcome) -> None:
        self.day = day
        self.outcome = outcome
        self.rng = random.Random(day.seed)
        self.pool = SimulatedPool(day, random.Random(day.seed + 1))
        self.vm_by_id: dict[str, SimulatedVM] = {}
        self.views = _published_loads(self)
        for number in range(day.vms):
            vm = self._build_vm(number)
            self.vm_by_id[vm.vm_id] = vm

    def _build_vm(self, number: int) -> SimulatedVM:
        vm_id = f"entry-{number}"
        lookup = SimulatedLookup(self, vm_id, number)
        journal = Journal(vm_id, now=now)
        links = SimulatedLinks(self, vm_id)
        granter = PlaceGranter(lookup, lookup.tell, journal, now)
        outcomes = self.outcome.by_outcome
        client = PlaceClient(
            lookup,
            granter,
            links,
            journal,
            now,
            lambda name, seconds: outcomes.update([name]),
        )
        places_by_way: dict[Way, Any] = {
            Way.LOCAL: OwnChoices(),
            Way.SHARE: client,
            Way.GRANTER: client,
            Way.PUBLISHED: PublishedLoad(self),
            Way.IDLE_QUEUE: IdleQueue(self),
        }
        config = RetryShareConfig(0.2, 200.0, 10.0)
        vms = self.day.vms
        retries = RetryBudgets(journal, config, lambda: vms, now, is_first_start=True)
        parts: Any = self.pool
        calls = PlainCalls(
            *(parts, parts, parts, parts, retries, parts, now, self.rng),
            places_by_way[self.day.way],
        )
        return SimulatedVM(vm_id, number, granter, client, calls)

    def granter_of(self, number: int) -> str | None:
        """Return the VM that a VM takes for the granter."""
        day = self.day
        if day.unknown_granter.holds(now()):
            return None
        in_second_half = number >= day.vms / 2
        is_missed = now() >= day.killed_at + DETECTION_S
        is_cut = day.cut.holds(now()) and now() >= day.cut.start + DETECTION_S
        if in_second_half and is_cut:
            return None
        has_two = day.two_granters.holds(now())
        if is_missed or (has_two and (in_second_half or number == 1)):
            return "entry-1"
        return "entry-0"

    def delay_s(self, sender: str, receiver: str) -> float:
        """Return how long a message takes, infinite if it is lost."""
        day = self.day
        one, other = self.vm_by_id[sender], self.vm_by_id[receiver]
        if not (one.is_alive and other.is_alive):
            return math.inf
        halves = {vm.number >= day.vms / 2 for vm in (one, other)}
        if len(halves) == 2 and day.cut.holds(now()):
            return math.inf
        late_s = 2.0 if True in halves and day.delayed.holds(now()) else 0.0
        return late_s + ONE_WAY_S + HANDLING_S

    def send(
        self, sender: str, receiver: str, message: Any, handle: Callable[[], None]
    ) -> None:
        """Handle a message at its receiver after its delay."""
        kind = type(message).__name__
        self.outcome.sent_by_kind[kind] += 1
        self.outcome.bytes_by_kind[kind] += len(encode(message)) + FRAME_BYTES
        delay_s = self.delay_s(sender, receiver)
        if math.isfinite(delay_s):
            asyncio.get_running_loop().call_later(delay_s, handle)


@dataclass
class SimulatedLinks:
    """The links of one VM to all others."""

    fleet: SimulatedFleet
    own_id: str

    def request(self, vm_id: str, message: Any, timeout_s: float) -> "Future[Any]":
        """Send a request for a place."""
        assert isinstance(message, SharedPlaceRequest)
        future: Future[Any] = Future()

        def expire() -> None:
            if not future.done():
                future.set_exception(PeerTimeoutError("no reply"))

        def settle(reply: SharedPlaceReply) -> None:
            if not future.done():
                future.set_result(reply)

        def answer(reply: SharedPlaceReply) -> None:
            self.fleet.send(vm_id, self.own_id, reply, lambda: settle(reply))

        def handle() -> None:
            receiver = self.fleet.vm_by_id[vm_id]
            receiver.granter.on_request(self.own_id, message, answer)

        asyncio.get_running_loop().call_later(timeout_s, expire)
        self.fleet.send(self.own_id, vm_id, message, handle)
        return future

    def notify(self, vm_id: str, message: Any) -> None:
        """Send a notice about a place."""

        def handle() -> None:
            receiver = self.fleet.vm_by_id[vm_id]
            if isinstance(message, SharedPlaceReply):
                receiver.client.on_reply(self.own_id, message)
            elif isinstance(message, SharedPlaceRelease):
                receiver.granter.on_release(self.own_id, message)
            elif isinstance(message, SharedPlaceHeld):
                receiver.granter.on_held(self.own_id, message)

        self.fleet.send(self.own_id, vm_id, message, handle)

    def notify_all(self, vm_ids: Any, message: Any) -> None:
        """Send a notice to several VMs."""
        for vm_id in vm_ids:
            self.notify(vm_id, message)


@dataclass
class SimulatedLookup:
    """The granters as one VM knows them."""

    fleet: SimulatedFleet
    own_id: str
    number: int

    def applies(self, service: str) -> bool:
        """Return whether calls ask for places."""
        return self.fleet.day.way is Way.GRANTER

    def granter_of(self, service: str) -> str | None:
        """Return the VM that this one takes for the granter."""
        return self.fleet.granter_of(self.number)

    def senders(self) -> int:
        """Return the number of VMs."""
        return self.fleet.day.vms

    def slots_by_id(self, service: str) -> Mapping[str, int]:
        """Return the slots of the endpoints that take new calls."""
        return {r.endpoint_id: r.slots for r in self.fleet.pool.ready(service)}

    def out_of_reach(self, endpoint_ids: Collection[str]) -> set[str]:
        """Return that this VM reaches all endpoints."""
        return set()

    def tell(self, vm_id: str, reply: SharedPlaceReply) -> None:
        """Send a decision to the VM that waits for it."""
        if vm_id == self.own_id:
            self.fleet.vm_by_id[vm_id].client.on_reply(vm_id, reply)
        else:
            SimulatedLinks(self.fleet, self.own_id).notify(vm_id, reply)


class PublishedLoad:
    """Of two random endpoints takes the one with fewer calls, by news some time old."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        self._own_by_id: Counter[str] = Counter()
        self._own_since: float = 0.0

    @asynccontextmanager
    async def open(
        self, call: Call, excluded: Excluded, waits_s: float
    ) -> AsyncIterator[Place]:
        """Give the endpoint that seems less loaded."""
        published_at, load_by_id = self._fleet.views()
        if published_at != self._own_since:
            self._own_since = published_at
            self._own_by_id.clear()
        names = sorted(self._fleet.pool.record_by_id.keys() - set(excluded()))
        if not names:
            yield OwnChoice()
            return
        drawn = self._fleet.rng.sample(names, min(2, len(names)))
        chosen = min(drawn, key=lambda n: load_by_id[n] + self._own_by_id[n])
        self._own_by_id[chosen] += 1
        yield OwnChoice(chosen)


def _published_loads(
    fleet: SimulatedFleet,
) -> Callable[[], tuple[float, dict[str, int]]]:
    """Return a function that gives the endpoints' load as last published."""
    published: list[tuple[float, dict[str, int]]] = []

    def read() -> tuple[float, dict[str, int]]:
        if not published or now() - published[-1][0] >= PUBLISH_INTERVAL_S:
            endpoints = fleet.pool.endpoint_by_id.values()
            published.append((now(), {e.endpoint_id: e.present for e in endpoints}))
        return published[-1]

    return read


class IdleQueue:
    """Endpoints announce each free slot to one random VM, which uses it once."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        self._free_ids: list[str] = []
        fleet.pool.freed_listeners.append(self._on_freed)
        self._is_first = len(fleet.pool.freed_listeners) == 1

    def _on_freed(self, endpoint_id: str) -> None:
        if self._is_first:
            listeners = self._fleet.pool.freed_listeners
            chosen: Any = self._fleet.rng.choice(listeners)
            loop = asyncio.get_running_loop()
            loop.call_later(ONE_WAY_S, chosen.__self__._free_ids.append, endpoint_id)

    @asynccontextmanager
    async def open(
        self, call: Call, excluded: Excluded, waits_s: float
    ) -> AsyncIterator[Place]:
        """Give an endpoint that announced a free slot, else a random one."""
        out = set(excluded())
        free = [name for name in self._free_ids if name not in out]
        if free:
            self._free_ids.remove(free[0])
            yield OwnChoice(free[0])
            return
        names = sorted(self._fleet.pool.record_by_id.keys() - out)
        yield OwnChoice(self._fleet.rng.choice(names) if names else None)


@dataclass
class _Responder:
    """What a caller got."""

    status: int = 0

    def answer(self, status: int, headers: Any, body: bytes) -> None:
        """Take the answer."""
        self.status = status

    def has_caller_left(self) -> bool:
        """Return that callers wait."""
        return False


class _Play:
    """Plays a day with its callers."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.outcome = Outcome()
        self.fleet = SimulatedFleet(day, self.outcome)
        self.route = Route(
            name="book",
            host="shop",
            path_prefix="/book/",
            kind=day.kind,
            timeout_s=day.deadline_s,
            goal_s=day.goal_s,
            priority=0,
            weight_by_service={SERVICE: 1.0},
            max_attempts=1 if day.kind is CallKind.UNSAFE else 3,
        )

    async def run(self) -> Outcome:
        """Return what callers got."""
        day, fleet = self.day, self.fleet
        per_s = day.load * day.slots * day.endpoints / day.work_s
        arrivals = random.Random(day.seed + 2)
        tasks = []
        refresh = asyncio.create_task(self._refresh())
        for _ in itertools.count():
            await asyncio.sleep(arrivals.expovariate(per_s))
            if now() >= day.seconds:
                break
            vms = [vm for vm in fleet.vm_by_id.values() if vm.is_alive]
            self.outcome.callers_by_s[int(now())] += 1
            tasks.append(asyncio.create_task(self._serve(arrivals.choice(vms))))
            if now() >= day.killed_at and fleet.vm_by_id["entry-0"].is_alive:
                fleet.vm_by_id["entry-0"].is_alive = False
        await asyncio.gather(*tasks)
        refresh.cancel()
        self.outcome.callers = len(tasks)
        self.outcome.arrivals = fleet.pool.arrivals
        endpoints = fleet.pool.endpoint_by_id.values()
        self.outcome.rejections = sum(e.rejections for e in endpoints)
        await asyncio.sleep(day.deadline_s + DETECTION_S)
        self.outcome.used_after = sum(
            endpoint["used"]
            for vm in fleet.vm_by_id.values()
            for service in vm.granter.dump().values()
            for endpoint in service["endpoints"].values()
        )
        return self.outcome

    async def _refresh(self) -> None:
        """Let VMs see changes of granters, as news of the fleet do."""
        gone = False
        while True:
            await asyncio.sleep(0.05)
            for vm in self.fleet.vm_by_id.values():
                vm.granter.drop_lost()
                vm.client.refresh()
                if not gone and now() >= self.day.killed_at + DETECTION_S:
                    vm.granter.on_vm_gone("entry-0")
            gone = gone or now() >= self.day.killed_at + DETECTION_S

    async def _serve(self, vm: SimulatedVM) -> None:
        """Serve one caller, who returns once if refused."""
        retry_s = await self._try(vm)
        if retry_s is not None:
            await asyncio.sleep(retry_s * self.fleet.rng.uniform(0.75, 1.25))
            vms = [vm for vm in self.fleet.vm_by_id.values() if vm.is_alive]
            if await self._try(self.fleet.rng.choice(vms)) is not None:
                self.outcome.refused += 1

    async def _try(self, vm: SimulatedVM) -> float | None:
        """Return None, or when to return."""
        outcome, started_at = self.outcome, now()
        request = Request("POST", "/book/1", [], b"", started_at)
        facts = CallFacts("id", "shop", None, None, [])
        deadline = started_at + self.day.deadline_s
        responder: Any = _Responder()
        call = Call(request, facts, self.route, SERVICE, responder, deadline)
        try:
            async with asyncio.timeout_at(deadline):
                await vm.calls.run(call)
        except CallRefused as refusal:
            outcome.refusals_s.append(now() - started_at)
            outcome.idle_refusals += self.fleet.pool.is_half_idle()
            return refusal.retry_after_s
        except (CallFailed, TimeoutError):
            outcome.failed += 1
            return None
        if responder.status >= SERVER_ERROR:
            outcome.failed += 1
            return None
        is_in_time = now() - started_at <= self.day.goal_s
        outcome.in_time += is_in_time
        outcome.in_time_by_s[int(started_at)] += is_in_time
        outcome.late += not is_in_time
        return None


def play(day: Day) -> Outcome:
    """Return what callers get on a day."""

    async def run() -> Outcome:
        return await _Play(day).run()

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(run())
