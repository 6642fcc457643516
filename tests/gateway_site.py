"""A small deployment for tests: platform stand-ins and entry VMs on one event loop."""

import asyncio
import itertools
import time
from collections.abc import AsyncIterator, Coroutine, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from result import Ok

from bamboovale.gateway.journal import Journal
from bamboovale.gateway.vm import GatewayVM
from bamboovale.metrics import Metrics
from bamboovale.platform.node_file import NodeSettings
from bamboovale.platform.translation import PlatformTranslation
from bamboovale.standins.platform_endpoints import PlatformEndpoint
from bamboovale.standins.platform_runner import PlatformRunner
from bamboovale.standins.platform_store import PlatformStore
from bench.routed import (
    HOST,
    MODEL,
    CallerAnswer,
    call,
    configuration,
    free_port,
    node_document,
    read_answer,
    request_id,
    route,
)
from bench.soak_proxy import Proxy
from tests.failure_report import shown_on_failure

DEFAULT_TIMEOUT_S = 10.0
PEER_KEY = "test-key"

__all__ = [
    "HOST",
    "MODEL",
    "CallerAnswer",
    "call",
    "configuration",
    "free_port",
    "node_document",
    "read_answer",
    "request_id",
    "route",
]


class RecordedJournal(Journal):
    """Collects lines for tests instead of writing them."""

    def __init__(self, vm_id: str) -> None:
        super().__init__(vm_id)
        self.vm_id = vm_id
        self.lines: list[dict[str, Any]] = []
        self.written_at: list[float] = []

    def write(self, event: str, **fields: Any) -> None:
        """Collect one line."""
        self.lines.append({"event": event, **fields})
        self.written_at.append(time.monotonic())

    def of(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of one event."""
        return [line for line in self.lines if line["event"] == event]


@dataclass
class RunningVM:
    """An entry VM with its settings, journal and task."""

    vm: GatewayVM
    node: NodeSettings
    journal: RecordedJournal
    task: asyncio.Task[None]
    bounds: dict[str, Any]

    @property
    def address(self) -> tuple[str, int]:
        """Return the address for callers."""
        return self.node.callers

    async def kill(self) -> None:
        """End the VM without a drain, and close its sockets."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.vm.close()


@dataclass
class Site:
    """Store, endpoints and entry VMs of one test.

    ``store_proxy`` is between the store and the VMs that use its address.
    """

    store: PlatformStore
    store_address: tuple[str, int]
    store_proxy: Proxy | None = None
    vms: list[RunningVM] = field(default_factory=list)
    runners: list[PlatformRunner] = field(default_factory=list)
    services: list[PlatformEndpoint] = field(default_factory=list)
    shares_places: bool = False
    _started: set[str] = field(default_factory=set)
    _journals: list[RecordedJournal] = field(default_factory=list)
    _hosts: Iterator[int] = field(default_factory=lambda: itertools.count(2))

    async def add_vm(
        self,
        name: str,
        store: tuple[str, int] | None = None,
        peer_key: str = PEER_KEY,
        **bounds: Any,
    ) -> RunningVM:
        """Start another entry VM, with an address of its own.

        ``store`` is the store's address for it. VMs with different keys refuse one
        another's links.
        """
        address = f"127.0.0.{next(self._hosts)}"
        document = node_document(store or self.store_address, name, address, **bounds)
        document["bootstrap"] = name not in self._started
        self._started.add(name)
        node = NodeSettings.from_document(document).unwrap()
        journal = RecordedJournal(name)
        self._journals.append(journal)
        vm = GatewayVM(
            PlatformTranslation(node),
            Metrics(),
            journal,
            peer_key,
            0,
            lambda: Ok(node),
            shares_places=self.shares_places,
        )
        task = asyncio.get_running_loop().create_task(vm.run())
        running = RunningVM(vm, node, journal, task, bounds)
        self.vms.append(running)
        return running

    async def restart_vm(self, number: int) -> RunningVM:
        """Kill an entry VM's process and start one that has its name."""
        killed = self.vms[number]
        await killed.kill()
        started = await self.add_vm(killed.node.name, **killed.bounds)
        self.vms.remove(started)
        self.vms[number] = started
        return started

    async def restart_vms(self) -> None:
        """Kill the processes of all entry VMs, then start ones with their names."""
        killed = list(self.vms)
        for item in killed:
            await item.kill()
        self.vms.clear()
        for item in killed:
            await self.add_vm(item.node.name, **item.bounds)

    async def add_runner(
        self, name: str, service: str = "llm", **options: Any
    ) -> PlatformRunner:
        """Start another engine."""
        runner = PlatformRunner(self.store, name, service, model=MODEL, **options)
        await runner.start()
        self.runners.append(runner)
        return runner

    async def add_service(self, name: str) -> PlatformEndpoint:
        """Start another plain endpoint."""
        service = PlatformEndpoint(self.store, name, "app")
        await service.start()
        self.services.append(service)
        return service

    async def ready(self) -> None:
        """Wait until every VM serves and agrees on the owner of every engine."""
        await eventually(lambda: all(item.vm.state.serving() for item in self.vms))
        endpoints = len(self.runners) + len(self.services)
        await eventually(
            lambda: all(
                len(item.vm.dump()["endpoints"]) == endpoints for item in self.vms
            )
        )
        await eventually(self._agrees_on_owners)

    def _agrees_on_owners(self) -> bool:
        """Return whether every VM knows all others and the owner of each engine."""
        dumps = [item.vm.dump() for item in self.vms]
        linked = all(len(dump["peers"]) == len(self.vms) - 1 for dump in dumps)
        generations = {dump["generation"] for dump in dumps}
        owner_by_engine = {name: item.node.name for name, item in self.owned().items()}
        known = all(
            dump["owner_by_engine"][runner.endpoint_id]
            == owner_by_engine.get(runner.endpoint_id)
            for dump in dumps
            for runner in self.runners
        )
        owned = len(owner_by_engine) == len(self.runners)
        return linked and len(generations) <= 1 and known and owned

    def lines(self) -> list[dict[str, Any]]:
        """Return the log lines of all VMs, also of killed ones."""
        return [
            {"at": at, "vm": journal.vm_id, **line}
            for journal in self._journals
            for at, line in zip(journal.written_at, journal.lines, strict=True)
        ]

    def owned(self) -> dict[str, RunningVM]:
        """Return the owner of each engine whose first report was read."""
        return {
            status.engine_id: item
            for item in self.vms
            for status in item.vm.dump()["owned_engines"]
            if status.models
        }


@asynccontextmanager
async def running_site(
    vms: int = 1,
    runners: int = 1,
    services: int = 1,
    config: dict[str, Any] | None = None,
    *,
    behind_proxy: bool = False,
    bounds: dict[str, Any] | None = None,
    era: int | None = 0,
    shares_places: bool = False,
    **options: Any,
) -> AsyncIterator[Site]:
    """Run a small deployment that is ready to serve.

    With ``behind_proxy`` its VMs reach the store only through ``store_proxy``.
    ``bounds`` go into the settings of its VMs, ``options`` to its engines. ``era`` is
    the store's first.
    """
    store = PlatformStore(era=era)
    site = Site(store, await store.listen("127.0.0.1"), shares_places=shares_places)
    if behind_proxy:
        site.store_proxy = await proxy_of_store(site)
    try:
        await store.put("keyed.op", "config", config or configuration())
        for number in range(runners):
            await site.add_runner(f"runner-{number}", **options)
        for number in range(services):
            await site.add_service(f"service-{number}")
        for number in range(vms):
            proxy = site.store_proxy
            address = proxy and proxy.address
            await site.add_vm(f"entry-{number}", address, **(bounds or {}))
        async with shown_on_failure(site.lines):
            await site.ready()
            yield site
    finally:
        for item in site.vms:
            item.task.cancel()
        await asyncio.gather(*(item.task for item in site.vms), return_exceptions=True)
        for item in site.vms:
            await item.vm.close()
        for endpoint in [*site.runners, *site.services]:
            endpoint.end()
        if site.store_proxy is not None:
            site.store_proxy.close()
        store.close()


async def proxy_of_store(site: Site) -> Proxy:
    """Start a proxy to the store, for faults of some connections to it."""
    proxy = Proxy(site.store_address)
    await proxy.start()
    return proxy


async def eventually(condition: Any, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
    """Wait until a condition holds; fail after the timeout."""
    deadline = asyncio.get_running_loop().time() + timeout_s
    while not condition():
        assert asyncio.get_running_loop().time() < deadline, "timed out"
        await asyncio.sleep(0.02)


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run the body of a test on an event loop of its own."""
    asyncio.run(asyncio.wait_for(test, 60.0))
