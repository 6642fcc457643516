"""The deployment of a soak: entry VMs as processes, stand-ins behind proxies."""

import asyncio
import itertools
import json
import os
import signal
import sys
import time
from collections.abc import AsyncIterator, Coroutine, Mapping
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from bamboovale.standins.crash_triggers import CrashTrigger
from bamboovale.standins.endpoint_signals import Arrival
from bamboovale.standins.platform_endpoints import PlatformEndpoint
from bamboovale.standins.platform_runner import PlatformRunner
from bamboovale.standins.platform_store import PlatformStore
from bench.routed import MODEL, configuration, node_document
from bench.soak_customers import BOUNDS, Keys
from bench.soak_proxy import Proxy
from bench.soak_streams import SoftwareSpan

PEER_KEY = "soak-key-of-this-machine"
IDS = "soak-"
OWN_IDS = f"{IDS}{os.getpid():x}-"
"""How the ids of requests begin, of all soaks and of this one."""
READY_S = 20.0
GRACE_S = 8
"""Configured grace period; a stopping VM is killed after it."""
USUAL_SLOTS = 6
"""Places of a plain endpoint."""
ADAPTER_SLOTS = 3
TOKENS_PER_EVENT = 4
ROUTE_TIMEOUT_MS = 12_000
"""Longer than any caller's deadline."""
UNHANDLED = '"unhandled error'
"""In the log line of an error that ends a request or a connection."""
RESTART_RECORD_DELAY_S = 0.4
"""From an engine's restart under its id to its new record: about a third of the
heartbeat interval."""


@dataclass
class Life:
    """One process of an entry VM; monotonic times, None until they happen.

    ``has_started`` and ``has_stopped`` are true if the process logged that it had
    started, and that its stop was done. ``overstayed`` is true if it was killed at the
    end of its grace period, as the platform does.
    """

    vm: str
    started_at: float
    has_started: bool = False
    stopped_at: float | None = None
    killed_at: float | None = None
    ended_at: float | None = None
    exit_code: int | None = None
    overstayed: bool = False
    has_stopped: bool = False


@dataclass
class VMProcess:
    """One entry VM: its settings, its proxy to the store and its processes."""

    name: str
    document: dict[str, Any]
    store: Proxy
    directory: Path
    process: asyncio.subprocess.Process | None = None
    lives: list[Life] = field(default_factory=list)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _exit: asyncio.Task[None] | None = None

    @property
    def callers(self) -> tuple[str, int]:
        """Return the host and port that callers connect to."""
        host, port = self.document["listen"]["front"].split(":")
        return host, int(port)

    @property
    def is_running(self) -> bool:
        """Tell whether the process is running."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start a process with the VM's settings."""
        file = self.directory / f"{self.name}.toml"
        document = {**self.document, "bootstrap": not self.lives}
        file.write_text(to_toml(document))
        log = self._log_path(len(self.lives)).open("wb")
        program = [sys.executable, "-m", "bamboovale.routed_vm"]
        options = {
            "BAMBOOVALE_NODE_FILE": str(file),
            "BAMBOOVALE_METRICS_PORT": "0",
            "BAMBOOVALE_PEER_KEY": PEER_KEY,
            "BAMBOOVALE_SHARED_PLACES": "on",
        }
        with log:
            self.process = await asyncio.create_subprocess_exec(
                *program,
                stdout=log,
                stderr=log,
                env={**os.environ, **options, "PYTHONHASHSEED": "0"},
            )
        life = Life(self.name, time.monotonic())
        self.lives.append(life)
        self._exit = asyncio.create_task(self._note_exit(self.process, life))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process, also a paused one."""
        if self.is_running:
            self.lives[-1].killed_at = time.monotonic()
            self.signal(signal.SIGKILL)
        await self._wait_for_exit()

    async def stop(self) -> None:
        """Stop the process as planned, and kill it after the grace time."""
        if not self.is_running:
            return
        self.lives[-1].stopped_at = time.monotonic()
        self.signal(signal.SIGTERM)
        await self._wait_for_stop()

    async def finish(self) -> None:
        """Wait for a requested stop to end, then start a new process."""
        life = self.lives[-1]
        if life.stopped_at is not None and life.ended_at is None:
            await self._wait_for_stop()
        if not self.is_running:
            await self._wait_for_exit()
            await self.start()

    async def _wait_for_stop(self) -> None:
        """Wait for the end of a planned stop; kill the process after its grace time."""
        life = self.lives[-1]
        assert life.stopped_at is not None
        try:
            async with asyncio.timeout(life.stopped_at + GRACE_S - time.monotonic()):
                await self._wait_for_exit()
        except TimeoutError:
            life.overstayed = True
            self.signal(signal.SIGKILL)
            await self._wait_for_exit()

    async def _wait_for_exit(self) -> None:
        if self._exit is not None:
            await asyncio.shield(self._exit)

    async def _note_exit(self, process: asyncio.subprocess.Process, life: Life) -> None:
        """Record the exit when it happens, whoever waits for it."""
        log = self._log_path(len(self.lives) - 1)
        life.exit_code = await process.wait()
        life.ended_at = time.monotonic()
        text = log.read_bytes()
        life.has_started = b'"event":"started"' in text
        life.has_stopped = b'"event":"stopped"' in text

    def unhandled_errors(self) -> list[str]:
        """Return the log lines of errors that nobody expected, of all processes."""
        return [
            line
            for number in range(len(self.lives))
            for line in self._log_path(number)
            .read_text("utf-8", "replace")
            .splitlines()
            if UNHANDLED in line
        ]

    def _log_path(self, number: int) -> Path:
        return self.directory / f"{self.name}-{number}.log"


@dataclass
class SoakSite:
    """The deployment that faults act on and checks read.

    ``mark`` ends the ids of endpoints: guards against requests of another soak on this
    machine, whose endpoint had the address before.
    """

    directory: Path
    store: PlatformStore
    service_slots: int
    vms: list[VMProcess] = field(default_factory=list)
    runners: list[PlatformRunner] = field(default_factory=list)
    services: list[PlatformEndpoint] = field(default_factory=list)
    gone: list[PlatformEndpoint] = field(default_factory=list)
    proxy_by_endpoint: dict[str, Proxy] = field(default_factory=dict)
    config_version: int = 1
    keys: Keys = field(default_factory=Keys.from_start)
    version_acks: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    leaving_at: dict[str, float] = field(default_factory=dict)
    software: list[SoftwareSpan] = field(default_factory=list)
    trigger: CrashTrigger | None = None
    mark: str = f"-{os.getpid():x}"
    _fail_unrun_every: int | None = None
    _changes: set[asyncio.Task[None]] = field(default_factory=set)
    _numbers: Any = field(default_factory=itertools.count)

    @property
    def endpoints(self) -> list[PlatformEndpoint]:
        """Return all endpoints, including removed ones."""
        return [*self.runners, *self.services, *self.gone]

    def arrivals_by_service(self) -> dict[str, list[Arrival]]:
        """Return by service the callers' requests that reached its endpoints.

        VMs of another soak on this machine may still have an endpoint's address.
        """
        arrivals: dict[str, list[Arrival]] = {}
        for endpoint in self.endpoints:
            found = arrivals.setdefault(endpoint.service, [])
            found += [
                arrival
                for arrival in endpoint.signals.arrivals
                if not is_of_another_soak(arrival.request_id)
            ]
        return arrivals

    async def add_runner(self, software: str = "v1") -> None:
        """Start an engine with a software version."""
        name = f"runner-{next(self._numbers)}{self.mark}"
        runner = PlatformRunner(
            self.store,
            name,
            "llm",
            model=MODEL,
            adapter_slots=ADAPTER_SLOTS,
            software=software,
            tokens_per_event=TOKENS_PER_EVENT,
        )
        self._set_trigger(runner)
        await self._add(runner)
        self._note_software(runner)
        self.runners.append(runner)

    async def add_service(self) -> None:
        """Start a plain endpoint."""
        service = PlatformEndpoint(
            self.store, f"app-{next(self._numbers)}{self.mark}", "app"
        )
        service.slots = self.service_slots
        self._set_trigger(service)
        await self._add(service)
        self.services.append(service)

    def set_trigger(self, trigger: CrashTrigger, fail_unrun_every: int | None) -> None:
        """Have endpoints crash under what the trigger names, and be replaced.

        Plain ones fail some requests before the run, if ``fail_unrun_every`` is given.
        """
        self.trigger = trigger
        self._fail_unrun_every = fail_unrun_every
        for endpoint in [*self.runners, *self.services]:
            self._set_trigger(endpoint)

    def _set_trigger(self, endpoint: PlatformEndpoint) -> None:
        endpoint.trigger = self.trigger
        endpoint.come_back = lambda: self._replace_crashed(endpoint)
        if not isinstance(endpoint, PlatformRunner):
            endpoint.faults.fail_unrun_every = self._fail_unrun_every

    async def _replace_crashed(self, endpoint: PlatformEndpoint) -> None:
        if isinstance(endpoint, PlatformRunner) and endpoint in self.runners:
            await self.replace_runner(endpoint)
        elif endpoint in self.services:
            await self.replace_service(endpoint)

    async def _add(self, endpoint: PlatformEndpoint) -> None:
        await endpoint.start()
        proxy = Proxy(endpoint.address)
        await proxy.start()
        self.proxy_by_endpoint[endpoint.endpoint_id] = proxy
        endpoint.address = proxy.address
        await endpoint.register("ready")

    async def replace_runner(
        self, runner: PlatformRunner, software: str | None = None
    ) -> None:
        """Crash an engine with its streams and add an empty one under another id.

        It keeps its software version if none is given.
        """
        await self._finish(self._replace_runner(runner, software))

    async def restart_runner(
        self, runner: PlatformRunner, software: str | None = None
    ) -> None:
        """Crash an engine with its streams and restart it, empty, under the same id.

        Its record is written a little later, as a heartbeat would be. It keeps its
        software version if none is given.
        """
        await self._finish(self._restart_runner(runner, software))

    async def replace_service(self, service: PlatformEndpoint) -> None:
        """Remove a plain endpoint and add one under another id."""
        await self._finish(self._replace_service(service))

    async def finish_changes(self) -> None:
        """Wait for the changes whose callers were cancelled."""
        await asyncio.gather(*self._changes)

    async def _finish(self, change: Coroutine[Any, Any, None]) -> None:
        """Make a change that goes on if the caller is cancelled.

        Guards against an engine without its new record after the last fault.
        """
        task = asyncio.create_task(change)
        self._changes.add(task)
        task.add_done_callback(self._changes.discard)
        await asyncio.shield(task)

    def _note_software(self, runner: PlatformRunner) -> None:
        """Record that an engine serves from now on, with its software version."""
        self._end_software(runner)
        engine, version = runner.endpoint_id, runner.software
        self.software.append(SoftwareSpan(engine, version, time.monotonic()))

    def _end_software(self, runner: PlatformRunner) -> None:
        self.software = [
            span.ended(runner.endpoint_id, time.monotonic()) for span in self.software
        ]

    async def _replace_runner(
        self, runner: PlatformRunner, software: str | None
    ) -> None:
        if runner not in self.runners:
            return  # another lane has replaced it meanwhile
        self._end_software(runner)
        self.runners.remove(runner)
        self.gone.append(runner)
        self.proxy_by_endpoint[runner.endpoint_id].close()
        runner.crash()
        await runner.unregister()
        await self.add_runner(software or runner.software)

    async def _restart_runner(
        self, runner: PlatformRunner, software: str | None
    ) -> None:
        self._end_software(runner)
        proxy = self.proxy_by_endpoint[runner.endpoint_id]
        runner.signals.end_all()
        runner.address = proxy.target
        started_ms = time.time_ns() // 1_000_000
        await runner.restart(started_ms, registers=False, software=software)
        runner.address = proxy.address
        await asyncio.sleep(RESTART_RECORD_DELAY_S)
        await runner.register("ready")
        self._note_software(runner)

    def excuse(self, vm: VMProcess) -> None:
        """Hold a VM to nothing that endpoints have told it until now."""
        for endpoint in self.endpoints:
            endpoint.signals.excuse(vm.document["ip"])

    async def mark_leaving(self, endpoint: PlatformEndpoint) -> None:
        """Register an endpoint as draining; it keeps serving."""
        await endpoint.register("draining")
        if isinstance(endpoint, PlatformRunner):
            self._end_software(endpoint)
        self.leaving_at[endpoint.endpoint_id] = time.monotonic()

    async def _replace_service(self, service: PlatformEndpoint) -> None:
        self.services.remove(service)
        self.gone.append(service)
        await service.unregister()
        self.proxy_by_endpoint[service.endpoint_id].close()
        service.crash()
        await self.add_service()

    async def publish_version(self, adapter: str, version: int) -> None:
        """Publish a new version of an adapter."""
        record = {"model": MODEL, "adapter": adapter, "version": version}
        await self.store.put("keyed.op", f"version/{MODEL}.{adapter}", record)
        acks = self.version_acks.setdefault(adapter, [])
        acks.append((time.monotonic(), version))

    async def change_configuration(self) -> None:
        """Write the next configuration version with the same routes."""
        self.config_version += 1
        await self.store.put("keyed.op", "config", self._configuration())

    async def replace_key(self, customer: str) -> None:
        """Take away the oldest key of a customer and give it a new one."""
        oldest = self.keys.replace_oldest(customer)
        await self.change_configuration()
        self.keys.note_revoked(oldest)

    async def write_configuration(self) -> None:
        """Write the configuration as it is."""
        await self.store.put("keyed.op", "config", self._configuration())

    def _configuration(self) -> dict[str, Any]:
        document = configuration(self.config_version)
        for route in document["routes"]:
            route["timeout-ms"] = ROUTE_TIMEOUT_MS
        return {**document, "tenants": self.keys.document()}

    async def wait_until_ready(self) -> None:
        """Wait until every VM reports ready; raises TimeoutError."""
        async with asyncio.timeout(READY_S):
            for vm in self.vms:
                while not await is_ready(vm):
                    await asyncio.sleep(0.1)


def is_of_another_soak(request_id: str) -> bool:
    """Return whether the callers of another soak on this machine sent a request."""
    return request_id.startswith(IDS) and not request_id.startswith(OWN_IDS)


async def is_ready(vm: VMProcess) -> bool:
    """Tell whether an entry VM reports that it is ready for callers."""
    host, port = vm.document["listen"]["ready"].split(":")
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: vm\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    return False


@asynccontextmanager
async def running_site(
    directory: Path,
    vms: int,
    runners: int,
    services: int,
    service_slots: int = USUAL_SLOTS,
) -> AsyncIterator[SoakSite]:
    """Run a deployment; all its processes end with the block."""
    site = SoakSite(directory, PlatformStore(), service_slots)
    store_address = await site.store.listen("127.0.0.1")
    await site.write_configuration()
    try:
        for number in range(runners):
            await site.add_runner(f"v{1 + number % 2}")
        for _ in range(services):
            await site.add_service()
        for number in range(vms):
            await _add_vm(site, number, store_address)
        await site.wait_until_ready()
        yield site
    finally:
        for vm in site.vms:
            await vm.kill()
            vm.store.close()
        for endpoint in site.endpoints:
            site.proxy_by_endpoint[endpoint.endpoint_id].close()
            endpoint.end()
        site.store.close()


async def _add_vm(site: SoakSite, number: int, store: tuple[str, int]) -> None:
    proxy = Proxy(store)
    await proxy.start()
    bounds: dict[str, Any] = {"grace-s": GRACE_S, **BOUNDS}
    name = f"entry-{number}"
    document = node_document(proxy.address, name, f"127.0.0.{number + 2}", **bounds)
    vm = VMProcess(name, document, proxy, site.directory)
    site.vms.append(vm)
    await vm.start()


def to_toml(document: Mapping[str, Any]) -> str:
    """Return a table of plain values and one level of nested tables as TOML."""
    lines = [
        f"{key} = {json.dumps(value)}"
        for key, value in document.items()
        if not isinstance(value, dict)
    ]
    for name, table in document.items():
        if isinstance(table, dict):
            lines.append(f"[{name}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
    return "\n".join(lines) + "\n"
