"""Run a cluster of entry VMs and measure their CPU, memory and control traffic.

Each member is a process of its own. Relays in front of the log service, the VM list
and the engines count the bytes of control traffic.
"""

import contextlib
import tempfile
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import urllib3

from bench.cluster import Cluster, ClusterConfig
from bench.members import BASE_MODEL, ENGINE_POOL, EntryVM
from bench.relay import CountingRelay, relay_loop, start_relay
from bench.slopes import KIB, Usage

SETTLE_S = 3.0
READING_S = 6.0
IN_FORCE_TIMEOUT_S = 60.0
PEER_MESSAGES = (
    "bamboovale_peer_messages_in_total",
    "bamboovale_peer_messages_out_total",
)
PEER_BYTES = ("bamboovale_peer_bytes_in_total", "bamboovale_peer_bytes_out_total")


@dataclass(frozen=True)
class Reading:
    """Means over the entry VMs; traffic in bytes per second, read plus written."""

    cpu_percent: float
    resident_kib: float
    threads: float
    log_bytes: float
    vms_bytes: float
    engine_bytes: float
    peer_bytes: float
    appends: float
    peer_messages: float

    @property
    def all_bytes(self) -> float:
        """Return the control traffic of one entry VM in bytes per second."""
        return self.log_bytes + self.vms_bytes + self.engine_bytes + self.peer_bytes

    def __str__(self) -> str:
        return (
            f"{self.cpu_percent:.2f}% of a core, {self.resident_kib / KIB:.1f} MiB, "
            f"{self.threads:.0f} threads, {self.all_bytes:.0f} B/s (log "
            f"{self.log_bytes:.0f}, VM list {self.vms_bytes:.0f}, engines "
            f"{self.engine_bytes:.0f}, peers {self.peer_bytes:.0f}), "
            f"{self.appends:.2f} appends/s, {self.peer_messages:.1f} peer messages/s"
        )


@dataclass(frozen=True)
class Start:
    """Costs of starting one entry VM; ``log_bytes`` includes the other VMs' traffic."""

    ready_s: float
    resident_kib: float
    log_bytes: float


@dataclass
class MeasuredCluster:
    """A cluster whose control traffic is counted."""

    cluster: Cluster
    relay_by_id: dict[str, CountingRelay]

    def read(self, seconds: float = READING_S) -> Reading:
        """Let the cluster settle, then measure for some seconds."""
        time.sleep(SETTLE_S)
        entries = self.cluster.live_entries()
        before = self._totals(entries)
        time.sleep(seconds)
        after = self._totals(entries)
        return Reading(
            cpu_percent=_mean(
                later.cores_since(earlier) * 100
                for earlier, later in zip(before.usages, after.usages, strict=True)
            ),
            resident_kib=_mean(usage.resident_bytes / KIB for usage in after.usages),
            threads=_mean(float(usage.threads) for usage in after.usages),
            log_bytes=(after.log - before.log) / seconds / len(entries),
            vms_bytes=(after.vms - before.vms) / seconds / len(entries),
            engine_bytes=(after.engines - before.engines) / seconds / len(entries),
            peer_bytes=(after.peers - before.peers) / seconds / len(entries),
            appends=(after.appends - before.appends) / seconds / len(entries),
            peer_messages=(after.messages - before.messages) / seconds / len(entries),
        )

    def add_entries(self, count: int) -> None:
        """Start entry VMs until the cluster has ``count`` of them."""
        started = [
            self.cluster.start_entry(f"e{number}")
            for number in range(len(self.cluster.entry_by_id) + 1, count + 1)
        ]
        for entry in started:
            self.cluster.wait_until_ready(entry)

    def start_one_more(self, number: int) -> "Start":
        """Start an entry VM, measure its start and kill it."""
        log_bytes = self.relay_by_id["log"].bytes
        started_at = time.monotonic()
        entry = self.cluster.start_entry(f"e{number}")
        self.cluster.wait_until_ready(entry)
        ready_s = time.monotonic() - started_at
        log_bytes = self.relay_by_id["log"].bytes - log_bytes
        time.sleep(SETTLE_S)
        usage = Usage.of_process(entry.process.popen.pid)
        self.cluster.kill_entry(entry.id)
        return Start(ready_s, usage.resident_bytes / KIB, log_bytes)

    def publish(self, first: int, last: int) -> float:
        """Publish adapters ``first`` to ``last - 1``; return seconds until in force."""
        started_at = time.monotonic()
        edit = {"entries": [pool_entry(), *map(adapter_entry, range(first, last))]}
        entry = self.cluster.live_entries()[0]
        status, answer = entry.ask_admin(
            "POST",
            "/admin/v1/apply",
            edit,
            headers={"X-Author": "bench"},
        )
        if status != 200:
            raise ValueError(f"applying the catalogue failed: {status} {answer}")
        self.wait_in_force(answer["revision"])
        return time.monotonic() - started_at

    def wait_in_force(self, revision: int) -> None:
        """Wait until a catalogue revision is in force on every entry VM."""
        entry = self.cluster.live_entries()[0]
        path = f"/admin/v1/in-force?revision={revision}&timeout_s=8"
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
        while time.monotonic() < deadline:
            _, answer = entry.ask_admin("GET", path)
            if answer and answer.get("in_force"):
                return
        raise TimeoutError(f"revision {revision} not in force in time: {answer}")

    def _totals(self, entries: Sequence[EntryVM]) -> "_Totals":
        metrics = [_read_metrics(entry) for entry in entries]
        engines = [
            relay.bytes
            for name, relay in self.relay_by_id.items()
            if name not in ("log", "vms")
        ]
        return _Totals(
            usages=[Usage.of_process(entry.process.popen.pid) for entry in entries],
            log=self.relay_by_id["log"].bytes,
            vms=self.relay_by_id["vms"].bytes,
            engines=sum(engines),
            peers=sum(_sum_counters(text, PEER_BYTES) for text in metrics),
            messages=sum(_sum_counters(text, PEER_MESSAGES) for text in metrics),
            appends=sum(
                _sum_counters(text, ("bamboovale_log_appends_total",))
                for text in metrics
            ),
        )


@dataclass(frozen=True)
class _Totals:
    """Counters of all entry VMs at one time."""

    usages: list[Usage]
    log: float
    vms: float
    engines: float
    peers: float
    appends: float
    messages: float


@contextlib.contextmanager
def measured_cluster(
    entries: int,
    engines: int,
    **options: Any,
) -> Iterator[MeasuredCluster]:
    """Run a cluster with relays in front of the log, VM list and engines."""
    config = ClusterConfig(engines=engines, services=1, entries=entries, **options)
    with (
        tempfile.TemporaryDirectory() as directory,
        relay_loop() as loop,
    ):
        cluster = Cluster(config, Path(directory))
        try:
            cluster.start_standins()
            relay_by_id = {}
            for name, standin in cluster.standin_by_id.items():
                if standin.kind in ("log", "vms", "engine"):
                    relay_by_id[name] = start_relay(loop, standin.url)
                    standin.url = relay_by_id[name].url
                if standin.kind == "engine":
                    cluster.set_endpoint_leaving(name, leaving=False)
            cluster.start_entries()
            yield MeasuredCluster(cluster, relay_by_id)
        finally:
            cluster.end_all()


def pool_entry() -> dict[str, Any]:
    """Return the catalogue entry of the engine pool."""
    return {"kind": "pool", "name": ENGINE_POOL, "base_model": BASE_MODEL}


def adapter_entry(number: int, version: str = "1") -> dict[str, Any]:
    """Return a catalogue entry of realistic size for an adapter."""
    return {
        "kind": "adapter",
        "name": f"summaries-{number:05}",
        "adapter": f"summaries-{number:05}",
        "version": version,
        "source": f"weights/summaries-{number:05}",
        "base_model": BASE_MODEL,
        "pool": ENGINE_POOL,
        "owner": f"agency-{number % 500:03}",
        "class": "interactive",
        "limits": {"concurrency": 64, "max_tokens": 512},
    }


def _read_metrics(entry: EntryVM) -> str:
    with urllib3.PoolManager(retries=False) as http:
        headers = {"Authorization": "Bearer bench-admin-token"}
        answer = http.request("GET", f"{entry.admin_url}/metrics", headers=headers)
        return answer.data.decode()


def _sum_counters(text: str, names: Sequence[str]) -> float:
    """Return the sum of the named counters over all label values."""
    return sum(
        float(line.rpartition(" ")[2])
        for line in text.splitlines()
        if line.startswith(tuple(f"{name}{end}" for name in names for end in "{ "))
    )


def _mean(values: Any) -> float:
    members = list(values)
    return sum(members) / len(members)
