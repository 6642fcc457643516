"""Faults of a soak, drawn from a seed and struck from outside the entry VMs."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

from bamboovale.standins.platform_endpoints import EndpointFaults
from bamboovale.standins.platform_store import StoreFaults
from bench.soak_callers import ADAPTERS
from bench.soak_checks import PAUSED, FaultSpan
from bench.soak_proxy import LinkFaults, Proxy
from bench.soak_site import SoakSite, VMProcess

LONGEST_FAULT_S = 4.0
LONGEST_PAUSE_S = 1.0
NOTICED_S = 3.0
"""After connections fell silent all bounds hold again, as settings say."""
FIRST_SILENCE_S = 8.0
LEAVES_AFTER_S = 4.0
"""From an endpoint's word that it leaves to its end: twice the time allowed for new
requests, so that late ones are seen."""

Strike = Callable[[], Awaitable[None]]


class FaultLane:
    """One lane: strikes one fault after another for ever."""

    def __init__(
        self,
        site: SoakSite,
        spans: list[FaultSpan],
        rng: random.Random,
    ) -> None:
        self._site = site
        self._spans = spans
        self._rng = rng
        self._strikes: list[Strike] = [
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
    def of_engine_restarts(
        cls,
        site: SoakSite,
        spans: list[FaultSpan],
        rng: random.Random,
    ) -> "FaultLane":
        """Return a lane that only lets engines start again under their ids.

        A lane of its own: the draws of the others, and with them the seeds that once
        showed a fault, stay as they are.
        """
        lane = cls(site, spans, rng)
        lane._strikes = [lane._runner_starts_again]
        return lane

    @classmethod
    def of_silent_connections(
        cls,
        site: SoakSite,
        spans: list[FaultSpan],
        rng: random.Random,
    ) -> "FaultLane":
        """Return a lane in which open connections fall silent for good."""
        lane = cls(site, spans, rng)
        lane._strikes = [lane._connections_fall_silent]
        return lane

    async def run(self) -> None:
        """Strike for ever."""
        while True:
            await self._rng.choice(self._strikes)()
            await asyncio.sleep(LONGEST_PAUSE_S * self._rng.random())

    async def end_all(self) -> None:
        """End every fault; all VMs run."""
        self._site.store.faults = StoreFaults()
        for vm in self._site.vms:
            vm.store.faults = LinkFaults()
            vm.signal(signal.SIGCONT)
            await vm.finish()
        await self._replace_leaving()
        for endpoint in [*self._site.runners, *self._site.services]:
            endpoint.faults = EndpointFaults()
            self._site.proxy_by_endpoint[endpoint.endpoint_id].faults = LinkFaults()
        await self._site.wait_until_ready()

    async def _replace_leaving(self) -> None:
        """Take away what still leaves, as its lane would have."""
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
            await vm.start()

    async def _stop(self) -> None:
        await self._replace(self._vm())

    async def _stop_all_in_turn(self) -> None:
        for vm in list(self._site.vms):
            await self._replace(vm)

    async def _replace(self, vm: VMProcess) -> None:
        """Stop as planned and start anew; the lock keeps lanes from starting two."""
        async with vm.lock:
            await vm.stop()
            await vm.start()

    async def _pause(self) -> None:
        vm = self._vm()
        async with self._span(PAUSED, vm.name):
            vm.signal(signal.SIGSTOP)
            await self._last()
            vm.signal(signal.SIGCONT)

    # The store.

    async def _store_misbehaves(self) -> None:
        mode = self._rng.choice(["busy", "silent", "reset", "slow"])
        faults = self._site.store.faults
        async with self._span(f"store {mode}", "store"):
            if mode == "slow":
                faults.delay_s = 0.3
            else:
                faults.mode = mode
            await self._last()
            faults.mode, faults.delay_s = "ok", 0.0

    async def _store_link(self) -> None:
        vm = self._vm()
        async with self._span("store link", vm.name):
            await self._harm(vm.store)

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
            await asyncio.sleep(NOTICED_S)

    async def _store_forgets(self) -> None:
        async with self._span("store forgets", "store"):
            self._site.store.forget_history()
            self._site.store.deal_anew("engine-owners")

    # Endpoints.

    async def _endpoint_link(self) -> None:
        site = self._site
        endpoint = self._rng.choice([*site.runners, *site.services])
        async with self._span("endpoint link", endpoint.endpoint_id):
            await self._harm(site.proxy_by_endpoint[endpoint.endpoint_id])

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
            await self._last()
            runner.faults = EndpointFaults()

    async def _service_misbehaves(self) -> None:
        service = self._rng.choice(self._site.services)
        fault = self._rng.choice(["fail", "hang", "stray", "garble", "refuse"])
        async with self._span(f"service {fault}", service.endpoint_id):
            setattr(service.faults, fault, True)
            await self._last()
            service.faults = EndpointFaults()

    async def _runner_crashes(self) -> None:
        runner = self._rng.choice(self._site.runners)
        async with self._span("runner crashes", runner.endpoint_id):
            await self._site.replace_runner(runner)

    async def _runner_starts_again(self) -> None:
        await self._last()
        runner = self._rng.choice(self._site.runners)
        if runner.endpoint_id in self._site.leaving_at:
            return
        async with self._span("runner starts again", runner.endpoint_id):
            await self._site.restart_runner(runner)

    async def _endpoint_leaves(self) -> None:
        """Let an endpoint leave as planned: it says so, serves on, and is replaced."""
        site = self._site
        leaving = self._rng.choice([*site.runners, *site.services])
        if leaving.endpoint_id in site.leaving_at:
            return
        await site.mark_leaving(leaving)
        await asyncio.sleep(LEAVES_AFTER_S)
        if leaving in site.runners:
            await site.replace_runner(leaving)
        elif leaving in site.services:
            await site.replace_service(leaving)

    # The operator.

    async def _operator_changes(self) -> None:
        for _ in range(self._rng.randint(1, 4)):
            adapter = self._rng.choice(ADAPTERS)
            known = self._site.version_acks.get(adapter, [])
            version = known[-1][1] + 1 if known else 2
            await self._site.name_version(adapter, version)
            await self._site.change_configuration()
            await asyncio.sleep(0.2 * self._rng.random())

    # Helpers.

    async def _harm(self, proxy: Proxy) -> None:
        """Do one harm to a link, for a while."""
        harm = self._rng.choice(["delay", "one way", "silence", "reset", "refuse"])
        faults = proxy.faults
        if harm == "delay":
            faults.delay_s = 0.2
        elif harm == "one way":
            faults.hold_answers = True
        elif harm == "silence":
            faults.hold_requests = faults.hold_answers = True
        elif harm == "refuse":
            faults.refuse = True
            proxy.reset()
        else:
            proxy.reset()
        await self._last()
        proxy.faults = LinkFaults()
        if harm in ("one way", "silence"):
            # What was held back is lost with its connection, as behind a partition.
            proxy.reset()

    async def _last(self) -> None:
        await asyncio.sleep(0.3 + LONGEST_FAULT_S * self._rng.random() ** 2)

    def _span(self, name: str, subject: str) -> "_Span":
        return _Span(self._spans, name, subject)


class _Span:
    """Notes when a fault was on, also when its lane is ended meanwhile."""

    def __init__(self, spans: list[FaultSpan], name: str, subject: str) -> None:
        self._spans = spans
        self._name = name
        self._subject = subject
        self._began_at = 0.0

    async def __aenter__(self) -> None:
        self._began_at = time.monotonic()
        self._open = FaultSpan(self._name, self._subject, self._began_at, float("inf"))
        self._spans.append(self._open)

    async def __aexit__(self, *_: object) -> None:
        with suppress(ValueError):
            self._spans.remove(self._open)
        self._spans.append(
            FaultSpan(self._name, self._subject, self._began_at, time.monotonic())
        )
