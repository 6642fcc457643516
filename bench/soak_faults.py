"""Faults of a soak, drawn from a seed and injected from outside the entry VMs."""

import asyncio
import itertools
import random
import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from enum import StrEnum
from math import inf

from bamboovale.standins.platform_endpoints import EndpointFaults, PlatformEndpoint
from bamboovale.standins.platform_store import StoreFaults
from bench.soak_callers import ADAPTERS
from bench.soak_checks import PAUSED
from bench.soak_customers import CUSTOMERS
from bench.soak_paths import PATHS_CUT
from bench.soak_proxy import CutKind, LinkFaults, Proxy
from bench.soak_site import SoakSite, VMProcess
from bench.soak_spans import FaultSpan
from bench.soak_stops import BUSY, COPIES, STALLED

LONGEST_FAULT_S = 4.0
LONGEST_PAUSE_S = 1.0
DETECTION_S = 3.0
"""Time to detect silent connections, as configured; all bounds hold afterwards."""
FIRST_SILENCE_S = 8.0
LONGEST_CUT_S = 8.0
DRAIN_S = 4.0
"""Time a draining endpoint still serves: twice the time allowed for new requests, so
that late ones are recorded."""

OLDEST_COPY_S = 5.0
LONGEST_REWRITE_S = 1.5
"""Time in which what the operator and the endpoints wrote is written again."""
SLOW_EVENT_S = 0.1
BREAK_SHARE = 0.7
"""Share of the engines whose connections are reset at a change of software."""
SOFTWARE_VERSIONS = ("v1", "v2", "v3")
STALLS_S = (0.05, 0.5)
"""Shortest and longest stall, as of a busy machine."""
STALLS_IN_A_ROW = 5
STOP_INTERVALS_S = (2.0, 3.5)
"""Times between the stops of two VMs: several stops overlap."""
BUSY_S = (0.03, 0.3)
"""Shortest and longest suspension that stands for a busy machine."""
LITTLE_TIME_S = (0.025, 0.225)
"""How long a VM runs and then does not, by turns, that has a tenth of a core."""
LITTLE_TIME_TURNS = 24
ALL_LATE = 0.75
"""How often all VMs have little of the processor at once, not one."""
STOPPING_WEIGHT = 3
"""How much more often a VM is suspended while it stops."""
LEAST_UP = 1
"""VMs that always stay while others stop."""
KILL_PAUSE_S = 8.0
MOST_ANSWER_BYTES = 400
"""Answers are cut after up to as many bytes: in the head, or early in the body."""
LIMITS_PER_S = (0.5, 2.0, 5.0, 20.0)

Injection = Callable[[], Awaitable[None]]


class LaneKind(StrEnum):
    """Faults that have a lane of their own; the value is part of its seed."""

    STARTS = "starts"
    KEYS = "keys"
    SIGNALS = "signals"
    SILENCES = "silences"
    PATHS = "paths"
    VERSIONS = "versions"
    RETURNS = "returns"
    STALLS = "stalls"
    CUTS = "cuts"
    STOPS = "stops"
    KILLS = "kills"
    COPIES = "copies"
    BUSY = "busy"
    LATE = "late"
    PAUSES = "pauses"


class FaultLane:
    """Injects random faults one after another."""

    def __init__(
        self,
        site: SoakSite,
        spans: list[FaultSpan],
        rng: random.Random,
    ) -> None:
        self._site = site
        self._spans = spans
        self._rng = rng
        self._injections: list[Injection] = [
            self._kill,
            self._stop,
            self._stop_all_in_turn,
            self._pause,
            self._store_misbehaves,
            self._store_link,
            self._store_forgets,
            self._endpoint_link,
            self._runner_misbehaves,
            self._service_misbehaves,
            self._runner_crashes,
            self._endpoint_leaves,
            self._operator_changes,
        ]

    @classmethod
    def of_kind(
        cls,
        kind: LaneKind,
        site: SoakSite,
        spans: list[FaultSpan],
        rng: random.Random,
    ) -> "FaultLane":
        """Return a lane that injects faults of one kind only.

        A separate lane keeps the random sequences of the other lanes unchanged.
        """
        lane = cls(site, spans, rng)
        injections_by_kind: dict[LaneKind, list[Injection]] = {
            LaneKind.STARTS: [lane._runner_starts_again],
            LaneKind.KEYS: [lane._key_is_replaced],
            LaneKind.SIGNALS: [lane._limit, lane._rest, lane._leave_by_answers],
            LaneKind.SILENCES: [lane._connections_fall_silent],
            LaneKind.PATHS: [lane._paths_cut],
            LaneKind.VERSIONS: [lane._software_changes],
            LaneKind.RETURNS: [lane._store_returns],
            LaneKind.STALLS: [lane._stalls],
            LaneKind.CUTS: [lane._answers_cut],
            LaneKind.STOPS: [lane._stop_in_series],
            LaneKind.BUSY: [lane._busy],
            LaneKind.LATE: [lane._little_time],
            LaneKind.PAUSES: [lane._pause],
            LaneKind.KILLS: [lane._kill_all],
            LaneKind.COPIES: [lane._answers_come_twice],
        }
        lane._injections = injections_by_kind[kind]
        return lane

    async def run(self) -> None:
        """Inject faults until cancelled."""
        while True:
            await self._rng.choice(self._injections)()
            await asyncio.sleep(LONGEST_PAUSE_S * self._rng.random())

    async def end_all(self) -> None:
        """End every fault and wait until all VMs are ready."""
        await self._site.finish_changes()
        self._site.store.faults = StoreFaults()
        for vm in self._site.vms:
            vm.store.faults = LinkFaults()
            vm.signal(signal.SIGCONT)
            await vm.finish()
        for endpoint in [*self._site.runners, *self._site.services]:
            if endpoint.signals.leaving:
                self._site.leaving_at.setdefault(endpoint.endpoint_id, inf)
        await self._replace_leaving()
        for endpoint in [*self._site.runners, *self._site.services]:
            endpoint.faults = EndpointFaults()
            endpoint.signals.end_all()
            proxy = self._site.proxy_by_endpoint[endpoint.endpoint_id]
            proxy.faults = LinkFaults()
            proxy.heal_all()
        await self._site.wait_until_ready()

    async def _replace_leaving(self) -> None:
        """Replace endpoints that are still draining, as their lane would have."""
        site = self._site
        for runner in [r for r in site.runners if r.endpoint_id in site.leaving_at]:
            await site.replace_runner(runner)
        for service in [s for s in site.services if s.endpoint_id in site.leaving_at]:
            await site.replace_service(service)

    # Processes.

    def _vm(self) -> VMProcess:
        return self._rng.choice(self._site.vms)

    async def _kill(self) -> None:
        vm = self._vm()
        async with vm.lock, self._span("killed", vm.name):
            await vm.kill()
            await asyncio.sleep(self._rng.random())
            self._site.excuse(vm)
            await vm.start()

    async def _stop(self) -> None:
        await self._replace(self._vm())

    async def _stop_all_in_turn(self) -> None:
        for vm in list(self._site.vms):
            await self._replace(vm)

    async def _replace(self, vm: VMProcess) -> None:
        """Stop as planned and restart; the lock keeps out the other lanes."""
        async with vm.lock:
            await vm.stop()
            self._site.excuse(vm)
            await vm.start()

    async def _stop_in_series(self) -> None:
        """Stop one VM after another at a fixed interval, each before the last is back.

        The first interval lets callers open connections.
        """
        interval_s = self._rng.choice(STOP_INTERVALS_S)
        vms = itertools.cycle(self._rng.sample(self._site.vms, len(self._site.vms)))
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(interval_s)
                up = [vm for vm in self._site.vms if not vm.lock.locked()]
                vm = next(vms)
                if len(up) > LEAST_UP and vm in up:
                    group.create_task(self._replace(vm))

    async def _busy(self) -> None:
        """Suspend a VM, more often one that stops, as a busy machine does."""
        stopping = [vm for vm in self._site.vms if vm.lock.locked()]
        vm = self._rng.choice([*self._site.vms, *STOPPING_WEIGHT * stopping])
        async with self._span(BUSY, vm.name):
            vm.signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(self._rng.uniform(*BUSY_S))
            finally:
                vm.signal(signal.SIGCONT)
            self._site.excuse(vm)

    async def _little_time(self) -> None:
        """Give one VM, or all, little of the processor, as a busy machine does."""
        some = self._site.vms if self._rng.random() < ALL_LATE else [self._vm()]
        runs_s, waits_s = LITTLE_TIME_S
        async with AsyncExitStack() as spans:
            for vm in some:
                await spans.enter_async_context(self._span(BUSY, vm.name))
            try:
                for _ in range(LITTLE_TIME_TURNS):
                    for vm in some:
                        vm.signal(signal.SIGSTOP)
                    await asyncio.sleep(waits_s)
                    for vm in some:
                        vm.signal(signal.SIGCONT)
                    await asyncio.sleep(runs_s)
            finally:
                for vm in some:
                    vm.signal(signal.SIGCONT)
                    self._site.excuse(vm)

    async def _kill_all(self) -> None:
        """Kill all VMs at once, and start them again."""
        await asyncio.sleep(KILL_PAUSE_S)
        async with AsyncExitStack() as held:
            for vm in self._site.vms:
                await held.enter_async_context(vm.lock)
            for vm in self._site.vms:
                await held.enter_async_context(self._span("killed", vm.name))
            await asyncio.gather(*(vm.kill() for vm in self._site.vms))
            for vm in self._site.vms:
                self._site.excuse(vm)
                await vm.start()

    async def _stalls(self) -> None:
        """Stall VMs, or links to endpoints, for some moments in a row."""
        for _ in range(STALLS_IN_A_ROW):
            if self._rng.random() < 0.5:
                await self._stall_vm(self._vm())
            else:
                await self._stall_endpoint()
            await asyncio.sleep(self._rng.random())

    async def _stall_vm(self, vm: VMProcess) -> None:
        async with self._span(PAUSED, vm.name):
            vm.signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(*STALLS_S))
            vm.signal(signal.SIGCONT)
            self._site.excuse(vm)

    async def _stall_endpoint(self) -> None:
        """Hold back what an endpoint gets and sends, then pass it on."""
        endpoint = self._rng.choice([*self._site.runners, *self._site.services])
        proxy = self._site.proxy_by_endpoint[endpoint.endpoint_id]
        async with self._span(STALLED, endpoint.endpoint_id):
            endpoint.signals.excuse()
            proxy.faults = LinkFaults(hold_requests=True, hold_answers=True)
            await asyncio.sleep(self._rng.uniform(*STALLS_S))
            proxy.faults = LinkFaults()
            endpoint.signals.excuse()

    async def _pause(self) -> None:
        vm = self._vm()
        async with self._span(PAUSED, vm.name):
            vm.signal(signal.SIGSTOP)
            await self._wait_for_duration()
            vm.signal(signal.SIGCONT)
            self._site.excuse(vm)

    # The store.

    async def _store_misbehaves(self) -> None:
        mode = self._rng.choice(["busy", "silent", "reset", "slow"])
        faults = self._site.store.faults
        async with self._span(f"store {mode}", "store"):
            if mode == "slow":
                faults.delay_s = 0.3
            else:
                faults.mode = mode
            await self._wait_for_duration()
            faults.mode, faults.delay_s = "ok", 0.0

    async def _store_link(self) -> None:
        vm = self._vm()
        async with self._span("store link", vm.name):
            await self._disturb_link(vm.store)

    async def _connections_fall_silent(self) -> None:
        """Silence the open connections of all VMs to the store, or to an endpoint."""
        await asyncio.sleep(FIRST_SILENCE_S * self._rng.random())
        site = self._site
        if self._rng.random() < 0.5:
            subject, proxies = "store", [vm.store for vm in site.vms]
        else:
            endpoint = self._rng.choice([*site.runners, *site.services])
            subject = endpoint.endpoint_id
            proxies = [site.proxy_by_endpoint[subject]]
        async with self._span("open connections silent", subject):
            for proxy in proxies:
                proxy.silence_open()
            await asyncio.sleep(DETECTION_S)

    async def _paths_cut(self) -> None:
        """Cut some VMs, also all, off from all endpoints; clients and store stay."""
        await asyncio.sleep(FIRST_SILENCE_S * self._rng.random())
        site = self._site
        vms = self._rng.sample(site.vms, self._rng.randint(1, len(site.vms)))
        how = self._rng.choice(list(CutKind))
        duration_s = LONGEST_CUT_S * self._rng.uniform(0.3, 1.0)
        hosts = frozenset(vm.document["ip"] for vm in vms)
        ends_at = time.monotonic() + duration_s
        async with AsyncExitStack() as spans:
            for vm in vms:
                site.excuse(vm)
                await spans.enter_async_context(self._span(PATHS_CUT, vm.name))
            while (left_s := ends_at - time.monotonic()) > 0.0:
                # Endpoints that start meanwhile are cut off as well.
                for endpoint in [*site.runners, *site.services]:
                    site.proxy_by_endpoint[endpoint.endpoint_id].cut(hosts, how)
                await asyncio.sleep(min(0.1, left_s))
            for endpoint in [*site.runners, *site.services]:
                site.proxy_by_endpoint[endpoint.endpoint_id].heal(hosts)
            for vm in vms:
                site.excuse(vm)

    async def _store_forgets(self) -> None:
        async with self._span("store forgets", "store"):
            self._site.store.compact()
            self._site.store.reassign_partitions("engine-owners")

    async def _store_returns(self) -> None:
        """Have the store return from a copy some seconds old, or twice in a row."""
        store = self._site.store
        older = store.keep_copy()
        await asyncio.sleep(OLDEST_COPY_S * self._rng.uniform(0.2, 1.0))
        async with self._span("store returns", "store"):
            for _ in range(self._rng.choice([1, 1, 2])):
                await store.return_from(older)
                await asyncio.sleep(LONGEST_REWRITE_S * self._rng.random())
            await store.write_again()

    # Endpoints.

    async def _endpoint_link(self) -> None:
        site = self._site
        endpoint = self._rng.choice([*site.runners, *site.services])
        async with self._span("endpoint link", endpoint.endpoint_id):
            endpoint.signals.excuse()
            await self._disturb_link(site.proxy_by_endpoint[endpoint.endpoint_id])
            endpoint.signals.excuse()

    async def _runner_misbehaves(self) -> None:
        runner = self._rng.choice(self._site.runners)
        fault = self._rng.choice(["lost", "dropped", "cut", "hang", "slow"])
        async with self._span(f"runner {fault}", runner.endpoint_id):
            if fault == "lost":
                runner.faults.lost_orders = 3
            elif fault == "dropped":
                runner.faults.dropped_orders = 3
            elif fault == "cut":
                runner.faults.cut_after = 2
            elif fault == "hang":
                runner.faults.hang = True
            else:
                runner.faults.event_s = 0.1
            await self._wait_for_duration()
            runner.faults = EndpointFaults()

    async def _service_misbehaves(self) -> None:
        service = self._rng.choice(self._site.services)
        fault = self._rng.choice(["fail", "hang", "stray", "garble", "refuse"])
        async with self._span(f"service {fault}", service.endpoint_id):
            setattr(service.faults, fault, True)
            await self._wait_for_duration()
            service.faults = EndpointFaults()

    async def _answers_cut(self) -> None:
        """Have an endpoint stop its answers, also in their heads."""
        endpoint = self._rng.choice([*self._site.runners, *self._site.services])
        async with self._span("answers cut", endpoint.endpoint_id):
            faults = endpoint.faults
            faults.cut_at = self._rng.randrange(MOST_ANSWER_BYTES)
            faults.reset = self._rng.random() < 0.5
            faults.interim = self._rng.random() < 0.5
            await self._wait_for_duration()
            faults.cut_at, faults.reset, faults.interim = None, False, False

    async def _answers_come_twice(self) -> None:
        """Reject every second request, and send each answer a second time.

        All endpoints at once: so a request soon goes to the same one again.
        """
        endpoints = [*self._site.runners, *self._site.services]
        async with self._span(COPIES, "all endpoints"):
            for endpoint in endpoints:
                endpoint.faults.late_copies = True
                endpoint.faults.refuse_every = 2
            await self._wait_for_duration()
            for endpoint in endpoints:
                endpoint.faults.late_copies = False
                endpoint.faults.refuse_every = None

    async def _runner_crashes(self) -> None:
        runner = self._rng.choice(self._site.runners)
        async with self._span("runner crashes", runner.endpoint_id):
            await self._site.replace_runner(runner)

    async def _runner_starts_again(self) -> None:
        await self._wait_for_duration()
        runner = self._rng.choice(self._site.runners)
        if runner.endpoint_id in self._site.leaving_at:
            return
        async with self._span("runner starts again", runner.endpoint_id):
            await self._site.restart_runner(runner)

    async def _software_changes(self) -> None:
        """Replace an engine by one of other software, or restart it with that.

        Engines are slow meanwhile, so that streams are under way, and break off.
        """
        site = self._site
        async with self._span("software changes", "engines"):
            for runner in site.runners:
                runner.faults.event_s = SLOW_EVENT_S
            await self._wait_for_duration()
            for runner in site.runners:
                if self._rng.random() < BREAK_SHARE:
                    site.proxy_by_endpoint[runner.endpoint_id].reset()
            runner = self._rng.choice(site.runners)
            if runner.endpoint_id in site.leaving_at:
                return
            others = [v for v in SOFTWARE_VERSIONS if v != runner.software]
            software = self._rng.choice(others)
            if self._rng.random() < 0.5:
                await site.replace_runner(runner, software)
            else:
                await site.restart_runner(runner, software)

    async def _endpoint_leaves(self) -> None:
        """Let an endpoint leave as planned: it drains, then it is replaced."""
        site = self._site
        leaving = self._rng.choice([*site.runners, *site.services])
        if leaving.endpoint_id in site.leaving_at:
            return
        await self._leave(leaving)

    async def _leave(self, leaving: PlatformEndpoint) -> None:
        site = self._site
        await site.mark_leaving(leaving)
        await asyncio.sleep(DRAIN_S)
        if leaving in site.runners:
            await site.replace_runner(leaving)
        elif leaving in site.services:
            await site.replace_service(leaving)

    # Signals in answers.

    def _staying(self) -> PlatformEndpoint:
        endpoints = [*self._site.runners, *self._site.services]
        staying = [e for e in endpoints if e.endpoint_id not in self._site.leaving_at]
        return self._rng.choice(staying or endpoints)

    async def _limit(self) -> None:
        endpoint = self._staying()
        async with self._span("names a limit", endpoint.endpoint_id):
            for _ in range(2):
                endpoint.signals.set_limit(self._rng.choice(LIMITS_PER_S))
                await self._wait_for_duration()
            endpoint.signals.set_limit(None)

    async def _rest(self) -> None:
        endpoint = self._staying()
        async with self._span("wants rest", endpoint.endpoint_id):
            endpoint.signals.rest_s = self._rng.uniform(0.6, 3.0)
            await self._wait_for_duration()
            endpoint.signals.rest_s = None

    async def _leave_by_answers(self) -> None:
        """Say in answers that an endpoint leaves, a while before the store knows."""
        endpoint = self._staying()
        endpoint.signals.leaving = True
        await asyncio.sleep(DRAIN_S)
        if endpoint.endpoint_id not in self._site.leaving_at:
            await self._leave(endpoint)

    # The operator.

    async def _operator_changes(self) -> None:
        for _ in range(self._rng.randint(1, 4)):
            adapter = self._rng.choice(ADAPTERS)
            known = self._site.version_acks.get(adapter, [])
            version = known[-1][1] + 1 if known else 2
            await self._site.publish_version(adapter, version)
            await self._site.change_configuration()
            await asyncio.sleep(0.2 * self._rng.random())

    async def _key_is_replaced(self) -> None:
        await self._wait_for_duration()
        await self._site.replace_key(self._rng.choice(CUSTOMERS))

    # Helpers.

    async def _disturb_link(self, proxy: Proxy) -> None:
        """Apply one random fault to a link for a random time."""
        fault = self._rng.choice(["delay", "one way", "silence", "reset", "refuse"])
        faults = proxy.faults
        if fault == "delay":
            faults.delay_s = 0.2
        elif fault == "one way":
            faults.hold_answers = True
        elif fault == "silence":
            faults.hold_requests = faults.hold_answers = True
        elif fault == "refuse":
            faults.refuse = True
            proxy.reset()
        else:
            proxy.reset()
        await self._wait_for_duration()
        proxy.faults = LinkFaults()
        if fault in ("one way", "silence"):
            # Bytes held back are lost with their connection, as in a partition.
            proxy.reset()

    async def _wait_for_duration(self) -> None:
        await asyncio.sleep(0.3 + LONGEST_FAULT_S * self._rng.random() ** 2)

    def _span(self, name: str, subject: str) -> "_Span":
        return _Span(self._spans, name, subject)


class _Span:
    """Records when a fault was active, also if its lane is cancelled meanwhile."""

    def __init__(self, spans: list[FaultSpan], name: str, subject: str) -> None:
        self._spans = spans
        self._name = name
        self._subject = subject
        self._started_at = 0.0

    async def __aenter__(self) -> None:
        self._started_at = time.monotonic()
        self._open = FaultSpan(
            self._name, self._subject, self._started_at, float("inf")
        )
        self._spans.append(self._open)

    async def __aexit__(self, *_: object) -> None:
        with suppress(ValueError):
            self._spans.remove(self._open)
        self._spans.append(
            FaultSpan(self._name, self._subject, self._started_at, time.monotonic())
        )
