"""A small deployment on loopback: stand-ins and entry VMs as separate processes.

Every entry VM has its own loopback address (127.x.y.11, .12, ...), so that a stand-in
can cut its connections by source address.
"""

import contextlib
import itertools
import json
import signal
import subprocess
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from bench.history import EndpointState, EntryFault, PlannedStop, Recorder
from bench.http import call_restarting
from bench.members import (
    ADMIN_TOKEN,
    BASE_MODEL,
    PEER_KEY,
    REGION,
    STANDIN_ADDRESS,
    EntryVM,
    StandIn,
)
from bench.peer_cuts import CutWay, PeerCuts
from bench.processes import (
    PROGRAM,
    Process,
    find_free_port,
    find_free_ports,
    loopback_prefix,
    poll_until_timeout,
)

FAILURE_DOMAINS = ("muc-a", "muc-b", "nue-a")
CONTROL_PREFIX = "control on "
READY_TIMEOUT_S = 20.0
# A planned stop waits for the longest answer and for cached entry lists to expire.
STOP_TIMEOUT_S = 60.0


@dataclass(frozen=True)
class ClusterConfig:
    """The members to start; ``*_options`` are extra flags of their programs."""

    engines: int = 4
    services: int = 2
    entries: int = 3
    program: tuple[str, ...] = PROGRAM
    entry_options: tuple[str, ...] = ()
    engine_options: tuple[str, ...] = ()
    service_options: tuple[str, ...] = ()
    log_options: tuple[str, ...] = ()
    vms_options: tuple[str, ...] = ()
    weights_options: tuple[str, ...] = ("--load-seconds", "0.3")
    relays: bool = False  # in front of the peer ports, for cuts between entry VMs

    def with_program(self, program: Sequence[str]) -> "ClusterConfig":
        """Return a copy with another program for the entry VMs."""
        return replace(self, program=tuple(program))


@dataclass
class Cluster:
    """The processes of one run, and the faults and changes applied to them."""

    config: ClusterConfig
    directory: Path
    recorder: Recorder = field(default_factory=Recorder)
    standin_by_id: dict[str, StandIn] = field(default_factory=dict)
    entry_by_id: dict[str, EntryVM] = field(default_factory=dict)
    entry_id_by_callers_address: dict[str, str] = field(default_factory=dict)
    processes: list[Process] = field(default_factory=list)
    peer_cuts: PeerCuts = field(default_factory=PeerCuts)
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    # -- starting ---------------------------------------------------------------

    def start_standins(self) -> None:
        """Start the platform's stand-ins, then the endpoints, and list the latter."""
        config = self.config
        self._start_standins(["log"], "log", config.log_options)
        self._start_standins(["vms"], "vms", config.vms_options)
        self._start_standins(["weights"], "weights", config.weights_options)
        engines = [f"g{number}" for number in range(1, config.engines + 1)]
        weights = ("--weights", self.standin_by_id["weights"].url)
        self._start_standins(engines, "engine", (*weights, *config.engine_options))
        services = [f"s{number}" for number in range(1, config.services + 1)]
        self._start_standins(services, "service", config.service_options)
        for number, endpoint in enumerate(engines + services):
            standin = self.standin_by_id[endpoint]
            standin.failure_domain = FAILURE_DOMAINS[number % 3]
            self._put_vm(endpoint, standin.to_row("live"))

    def _start_standins(
        self,
        ids: Sequence[str],
        kind: str,
        options: Sequence[str],
    ) -> None:
        """Start stand-ins of one kind concurrently."""
        process_by_id = {}
        for standin_id in ids:
            arguments = ["standin", kind, "--listen", f"{STANDIN_ADDRESS}:0", *options]
            if kind in ("engine", "service"):
                arguments += ["--id", standin_id]
            if kind == "engine":
                arguments += ["--base-model", BASE_MODEL]
            process_by_id[standin_id] = self._start(standin_id, arguments, PROGRAM)
        for standin_id, process in process_by_id.items():
            url = f"http://{process.wait_for_address()}"
            self.standin_by_id[standin_id] = StandIn(standin_id, kind, url, process)

    def start_entry(self, entry_id: str, address: str = "") -> EntryVM:
        """Start an entry VM and add it to the VM list; it may not be ready yet."""
        number = next(self._numbers)
        earlier = self.entry_by_id.get(entry_id)
        address = address or (
            earlier.address if earlier else f"{loopback_prefix()}.{11 + number % 200}"
        )
        uses = ("callers", "admin", "peers")
        ports = dict(zip(uses, find_free_ports(address, len(uses)), strict=True))
        failure_domain = FAILURE_DOMAINS[number % 3]
        flags = {
            "id": entry_id,
            "address": address,
            "failure-domain": failure_domain,
            "region": REGION,
            "log": self.standin_by_id["log"].url,
            "vms": self.standin_by_id["vms"].url,
            "admin-token": ADMIN_TOKEN,
            "peer-key": PEER_KEY,
            **{f"{use}-port": str(port) for use, port in ports.items()},
        }
        arguments = [f"--{flag}={value}" for flag, value in flags.items()]
        incarnation = earlier.incarnation + 1 if earlier else 0
        process = self._start(
            f"{entry_id}-{incarnation}" if incarnation else entry_id,
            ["entry", *arguments, *self.config.entry_options],
            self.config.program,
        )
        entry = EntryVM(entry_id, address, ports, failure_domain, process, incarnation)
        if self.config.relays:
            self._start_relay(entry)
        self.entry_by_id[entry_id] = entry
        self.entry_id_by_callers_address[entry.callers_address] = entry_id
        self._put_vm(entry_id, entry.to_row("live"))
        return entry

    def _start_relay(self, entry: EntryVM) -> None:
        """Start the relay whose port the VM list shows as the peer port."""
        earlier = self.peer_cuts.relay_by_entry_id.get(entry.id)
        if earlier is not None:
            earlier.process.kill()
        relay_port = find_free_port(entry.address)
        relay_id = f"relay-{entry.id}-{entry.incarnation}"
        process = self._start(
            relay_id,
            [
                "standin",
                "relay",
                "--listen",
                f"{entry.address}:{relay_port}",
                "--target",
                f"{entry.address}:{entry.port_by_use['peers']}",
            ],
            PROGRAM,
        )
        url = f"http://{process.wait_for_line(CONTROL_PREFIX)}"
        relay = StandIn(relay_id, "relay", url, process)
        entry.port_by_use = {**entry.port_by_use, "peers": relay_port}
        self.peer_cuts.relay_by_entry_id[entry.id] = relay

    def cut_from_peers(self, entry_id: str, way: CutWay | None) -> None:
        """Cut an entry VM from all its peers; None restores its links."""
        self.peer_cuts.change(entry_id, way, self.entry_by_id)

    def start_entries(self) -> None:
        """Start the configured number of entry VMs and wait until they serve."""
        for number in range(1, self.config.entries + 1):
            self.start_entry(f"e{number}")
        for entry in list(self.entry_by_id.values()):
            self.wait_until_ready(entry)

    def _start(
        self,
        name: str,
        arguments: Sequence[str],
        program: Sequence[str],
    ) -> Process:
        process = Process.start(name, arguments, self.directory, program)
        self.processes.append(process)
        return process

    def is_ready(self) -> bool:
        """Tell whether every live entry VM serves."""
        return all(entry.is_ready() for entry in self.live_entries())

    def wait_until_ready(
        self, entry: EntryVM, timeout_s: float = READY_TIMEOUT_S
    ) -> float:
        """Wait until an entry VM serves; return the seconds it took."""
        for waited in poll_until_timeout(timeout_s, f"{entry.id} is not ready"):
            entry.process.raise_if_ended()
            if entry.is_ready():
                return waited
        raise AssertionError("unreachable")

    # -- the platform's VM list ---------------------------------------------------

    def _put_vm(self, vm_id: str, row: dict[str, Any]) -> None:
        call_restarting("PUT", f"{self.standin_by_id['vms'].url}/vms/{vm_id}", row)

    def forget_vm(self, vm_id: str) -> None:
        """Remove a VM from the VM list."""
        call_restarting("DELETE", f"{self.standin_by_id['vms'].url}/vms/{vm_id}")

    def set_endpoint_leaving(self, endpoint: str, *, leaving: bool) -> None:
        """Mark an endpoint as leaving or as live in the VM list."""
        state = "leaving" if leaving else "live"
        self._put_vm(endpoint, self.standin_by_id[endpoint].to_row(state))
        self.recorder.record(EndpointState(time.time(), endpoint, leaving))

    # -- faults of entry VMs ------------------------------------------------------

    def live_entries(self) -> list[EntryVM]:
        """Return the entry VMs whose process runs and is not frozen."""
        return [
            entry
            for entry in self.entry_by_id.values()
            if entry.process.is_running and entry.frozen_at is None
        ]

    def kill_entry(self, entry_id: str) -> None:
        """Kill an entry VM without warning and remove it from the VM list."""
        entry = self.entry_by_id[entry_id]
        at = time.time()
        entry.process.kill()
        self.recorder.record(EntryFault(at, entry_id, "killed", until=time.time()))
        self.forget_vm(entry_id)

    def freeze_entry(self, entry_id: str) -> None:
        """Suspend an entry VM's process with SIGSTOP."""
        entry = self.entry_by_id[entry_id]
        entry.frozen_at = time.time()
        entry.process.signal(signal.SIGSTOP)

    def thaw_entry(self, entry_id: str) -> None:
        """Resume a frozen entry VM."""
        entry = self.entry_by_id[entry_id]
        entry.process.signal(signal.SIGCONT)
        if entry.frozen_at is not None:
            fault = EntryFault(entry.frozen_at, entry_id, "frozen", until=time.time())
            self.recorder.record(fault)
            entry.frozen_at = None

    def stop_entry(self, entry_id: str, timeout_s: float = STOP_TIMEOUT_S) -> float:
        """Stop an entry VM as planned; return the seconds it took."""
        entry = self.entry_by_id[entry_id]
        at = time.time()
        self._put_vm(entry_id, entry.to_row("leaving"))
        try:
            exit_code = entry.process.terminate(timeout_s)
        except subprocess.TimeoutExpired:
            entry.process.kill()
            exit_code = -signal.SIGKILL
        ended_at = time.time()
        self.recorder.record(PlannedStop(at, entry_id, ended_at, exit_code))
        self.forget_vm(entry_id)
        return ended_at - at

    def end_all(self) -> None:
        """Kill every process that was started, in reverse order."""
        for process in reversed(self.processes):
            process.kill()

    # -- catalogue ------------------------------------------------------------------

    def run_catalogue(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run ``bamboovale catalogue`` against the first live entry VM."""
        admin = self.live_entries()[0].admin_url
        return subprocess.run(
            [
                *PROGRAM,
                "catalogue",
                *arguments,
                "--admin",
                admin,
                "--token",
                ADMIN_TOKEN,
            ],
            capture_output=True,
            text=True,
            timeout=30.0,
            check=False,
        )

    def write_catalogue(self, entries: Sequence[dict[str, Any]]) -> Path:
        """Write a file for ``bamboovale catalogue apply``."""
        path = self.directory / "catalogue.json"
        path.write_text(json.dumps({"entries": list(entries)}, indent=2))
        return path


@contextlib.contextmanager
def running_cluster(config: ClusterConfig, directory: Path) -> Iterator[Cluster]:
    """Run a cluster; all its processes end with the block."""
    cluster = Cluster(config, directory)
    try:
        cluster.start_standins()
        cluster.start_entries()
        yield cluster
    finally:
        cluster.end_all()
