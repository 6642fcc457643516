"""Run the stand-ins and entry VMs of a profile under one policy."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from bench.cluster import Cluster, ClusterConfig, running_cluster
from bench.http import call_json
from bench.members import ADMIN_TOKEN, BASE_MODEL, ENGINE_POOL, SERVICE_POOL
from bench.profiles import Profile
from bench.slopes import Usage

# Slower steps and shorter answers than in virtual time reduce the CPU time of the
# stand-ins, so that two deployments fit on one machine.
STEP_FACTOR = 2
TOKENS_DIVISOR = 4
SERVICES_BY_PROFILE = {"lernwerk": 3, "galley": 4}
ENTRIES_PER_EDIT = 500
APPLY_TIMEOUT_S = 60.0
IN_FORCE_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 6.0
POLL_S = 0.2
# High limits, so that the policy alone decides each customer's share.
LIMITS = {"concurrency": 10_000, "requests_per_s": 10_000.0, "max_tokens": 4096}


def scaled(profile: Profile) -> Profile:
    """Return the profile with answer lengths and step times that fit one machine."""
    return replace(
        profile,
        step_s=profile.step_s * STEP_FACTOR,
        class_loads={
            work_class: replace(load, mean_tokens=load.mean_tokens // TOKENS_DIVISOR)
            for work_class, load in profile.class_loads.items()
        },
    )


def cluster_config(profile: Profile, policy: str) -> ClusterConfig:
    """Return the cluster configuration of a profile."""
    return ClusterConfig(
        engines=profile.engines,
        services=SERVICES_BY_PROFILE[profile.name],
        entries=profile.entries,
        entry_options=(
            f"--policy={policy}",
            f"--stall-weight={profile.stall_weight}",
            f"--weight-loads-per-s={profile.loads_per_s}",
            "--caller-threads=256",
        ),
        engine_options=(
            f"--max-num-seqs={profile.max_num_seqs}",
            f"--max-loras={profile.max_loras}",
            f"--step-ms={profile.step_s * 1000:g}",
        ),
        weights_options=(
            f"--loads-per-s={profile.loads_per_s}",
            f"--load-seconds={profile.load_seconds}",
        ),
    )


def catalogue_entries(profile: Profile) -> list[dict[str, Any]]:
    """Return a pool, a service, and each adapter once per work class."""
    entries: list[dict[str, Any]] = [
        {
            "kind": "pool",
            "name": ENGINE_POOL,
            "base_model": BASE_MODEL,
            "load_seconds": profile.load_seconds,
        },
        {
            "kind": "service",
            "name": "orders",
            "pool": SERVICE_POOL,
            "owner": "customer-0",
        },
    ]
    for number in range(profile.adapters):
        for work_class, load in profile.class_loads.items():
            entries.append(
                {
                    "kind": "adapter",
                    "name": f"adapter-{number}-{work_class.value}",
                    "adapter": f"adapter-{number}",
                    "version": "1",
                    "source": f"adapter-{number}",
                    "base_model": BASE_MODEL,
                    "pool": ENGINE_POOL,
                    "owner": f"customer-{number % profile.customers}",
                    "class": work_class.value,
                    "limits": {**LIMITS, "max_wait_s": load.max_wait_s},
                }
            )
    return entries


@dataclass
class Deployment:
    """A running cluster with one policy, and the read position in each history."""

    policy: str
    profile: Profile
    cluster: Cluster
    _next_by_engine: dict[str, int] = field(default_factory=dict)

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of the entry VMs for callers."""
        entries = self.cluster.entry_by_id.values()
        return tuple(entry.callers_address for entry in entries)

    def publish_catalogue(self) -> None:
        """Apply all entries and wait until they are in force on all entry VMs."""
        entries = catalogue_entries(self.profile)
        admin = self.cluster.live_entries()[0].admin_url
        revision = 0
        for first in range(0, len(entries), ENTRIES_PER_EDIT):
            status, answer = call_json(
                "POST",
                f"{admin}/admin/v1/apply",
                {"entries": entries[first : first + ENTRIES_PER_EDIT]},
                headers={
                    "Authorization": f"Bearer {ADMIN_TOKEN}",
                    "X-Author": "bench",
                },
                timeout_s=APPLY_TIMEOUT_S,
            )
            if status != 200:
                raise ValueError(f"applying the catalogue failed: {status} {answer}")
            revision = answer["revision"]
        self._wait_for_revision(revision)

    def _wait_for_revision(self, revision: int) -> None:
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
        while time.monotonic() < deadline:
            in_force = [
                entry.ask_admin("GET", "/admin/v1/revision")[1]["revision"] >= revision
                for entry in self.cluster.live_entries()
            ]
            if all(in_force):
                return
            time.sleep(POLL_S)
        raise ValueError(f"revision {revision} is not in force on all entry VMs")

    def engine_url(self, engine_id: str) -> str:
        """Return the base URL of an engine."""
        return self.cluster.standin_by_id[engine_id].url

    @property
    def engine_ids(self) -> list[str]:
        """Return the ids of the engines."""
        return [f"g{number}" for number in range(1, self.profile.engines + 1)]

    def read_new_events(self) -> dict[str, list[dict[str, Any]]]:
        """Return the events recorded since the last call, by engine."""
        events_by_engine = {}
        for engine_id in self.engine_ids:
            start = self._next_by_engine.get(engine_id, 0)
            _, events = call_json(
                "GET", f"{self.engine_url(engine_id)}/history?from={start}"
            )
            if events:
                self._next_by_engine[engine_id] = events[-1]["index"] + 1
            events_by_engine[engine_id] = events
        return events_by_engine

    def wait_until_idle(self) -> float:
        """Wait until all engines are idle, or a timeout; return the seconds waited."""
        started = time.monotonic()
        while (waited := time.monotonic() - started) < IDLE_TIMEOUT_S:
            if not any(
                self._count_requests(engine_id) for engine_id in self.engine_ids
            ):
                break
            time.sleep(POLL_S)
        return waited

    def _count_requests(self, engine_id: str) -> int:
        _, state = call_json("GET", f"{self.engine_url(engine_id)}/state")
        return len(state["running"]) + int(state["waiting"])

    def entry_cpu_s(self) -> float:
        """Return the CPU time used by the entry VMs, in seconds."""
        entries = self.cluster.live_entries()
        return sum(Usage.of_process(e.process.popen.pid).cpu_s for e in entries)


@contextmanager
def running_deployment(
    profile: Profile,
    policy: str,
    directory: Path,
) -> Iterator[Deployment]:
    """Run a deployment and publish its catalogue."""
    directory.mkdir()
    with running_cluster(cluster_config(profile, policy), directory) as cluster:
        deployment = Deployment(policy, profile, cluster)
        deployment.publish_catalogue()
        yield deployment
