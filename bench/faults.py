"""Faults that the fuzzer switches on and off; any two may be active at once.

``begin`` and ``end`` of a fault act on the cluster. Each fuzzing lane has its own
targets, so that two lanes never act on the same process.
"""

import random
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from bench.callers import Load
from bench.cluster import Cluster
from bench.jobs import JobKind
from bench.members import EntryVM
from bench.operators import ADAPTERS, Operator
from bench.peer_cuts import CutWay

CRASH_MARKER = "<<crash>>"
CRASH_PROMPT_JOBS = 2
RACING_EDITS = 2


@dataclass(frozen=True)
class Bench:
    """The cluster, operator and load that faults act on."""

    cluster: Cluster
    operator: Operator
    load: Load


@dataclass(frozen=True)
class Targets:
    """The ids of the members that one lane may disturb."""

    entries: Sequence[str]
    engines: Sequence[str]
    services: Sequence[str]


class Fault(Protocol):
    """One fault, active from ``begin`` to ``end``."""

    def begin(self) -> None:
        """Switch the fault on."""

    def end(self) -> None:
        """Switch the fault off and restore its target."""


@dataclass(frozen=True)
class SwitchedFault:
    """A fault that a stand-in simulates, set over HTTP."""

    bench: Bench
    standin: str
    name: str
    value: object

    def begin(self) -> None:
        """Switch the fault on."""
        self._set(self.value)

    def end(self) -> None:
        """Switch it off."""
        self._set(None)

    def _set(self, value: object) -> None:
        standin = self.bench.cluster.standin_by_id[self.standin]
        standin.set_faults(**{self.name: value})


@dataclass(frozen=True)
class Killed:
    """An entry VM is killed; a new one starts with its id and address."""

    bench: Bench
    entry: str

    def begin(self) -> None:
        """Kill the entry VM."""
        self.bench.cluster.kill_entry(self.entry)

    def end(self) -> None:
        """Restart it without any saved state."""
        restart_entry(self.bench, self.entry)


@dataclass(frozen=True)
class Frozen:
    """An entry VM is suspended, possibly past its leases, and resumes unaware."""

    bench: Bench
    entry: str

    def begin(self) -> None:
        """Suspend the entry VM."""
        self.bench.cluster.freeze_entry(self.entry)

    def end(self) -> None:
        """Resume the entry VM."""
        self.bench.cluster.thaw_entry(self.entry)


@dataclass(frozen=True)
class Stopped:
    """An entry VM is stopped as planned and replaced."""

    bench: Bench
    entry: str

    def begin(self) -> None:
        """Stop the entry VM and wait for its exit."""
        self.bench.cluster.stop_entry(self.entry)

    def end(self) -> None:
        """Start its replacement."""
        restart_entry(self.bench, self.entry)


@dataclass(frozen=True)
class CutFromPeers:
    """An entry VM is cut from its peers, one way or both, but not from the platform."""

    bench: Bench
    entry: str
    way: CutWay

    def begin(self) -> None:
        """Cut the links to its peers."""
        self.bench.cluster.cut_from_peers(self.entry, self.way)

    def end(self) -> None:
        """Restore the links."""
        self.bench.cluster.cut_from_peers(self.entry, None)


@dataclass(frozen=True)
class Isolated:
    """An entry VM is cut from the log, VM list and peers; callers can reach it."""

    bench: Bench
    entry: str

    def begin(self) -> None:
        """Cut the entry VM off."""
        self._cut([self.bench.cluster.entry_by_id[self.entry].address], CutWay.BOTH)

    def end(self) -> None:
        """Restore the links."""
        self._cut(None, None)

    def _cut(self, sources: list[str] | None, way: CutWay | None) -> None:
        cluster = self.bench.cluster
        for standin in ("log", "vms"):
            cluster.standin_by_id[standin].set_faults(cut=sources)
        cluster.cut_from_peers(self.entry, way)


@dataclass(frozen=True)
class Leaving:
    """An endpoint is marked as leaving while it has work queued, then as live."""

    bench: Bench
    endpoint: str

    def begin(self) -> None:
        """Mark the endpoint as leaving."""
        self.bench.cluster.set_endpoint_leaving(self.endpoint, leaving=True)

    def end(self) -> None:
        """Mark the endpoint as live."""
        self.bench.cluster.set_endpoint_leaving(self.endpoint, leaving=False)


@dataclass(frozen=True)
class RacingEdits:
    """Concurrent edits of one entry, through different entry VMs."""

    bench: Bench
    adapter: str
    versions: tuple[str, ...]

    def begin(self) -> None:
        """Send the edits concurrently."""
        entries = self.bench.cluster.live_entries()
        threads = [
            threading.Thread(
                target=self.bench.operator.set_version,
                args=(self.adapter, version, entries[number % len(entries)]),
            )
            for number, version in enumerate(self.versions)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def end(self) -> None:
        """Do nothing: the edits stay in effect."""


@dataclass(frozen=True)
class CrashPrompts:
    """Requests that crash each engine that runs them; callers retry them."""

    bench: Bench
    source: random.Random

    def begin(self) -> None:
        """Send the requests."""
        for _ in range(CRASH_PROMPT_JOBS):
            self.bench.load.send_extra(JobKind.STREAM, self.source, CRASH_MARKER)

    def end(self) -> None:
        """Do nothing: there is nothing to restore."""


def restart_entry(bench: Bench, entry_id: str) -> EntryVM:
    """Start an entry VM under an earlier id and add its address to the callers."""
    entry = bench.cluster.start_entry(entry_id)
    bench.load.add_seed(entry.callers_address)
    return entry


MakeFault = Callable[[Bench, Targets, random.Random], Fault]


def _switched(
    standin: str, name: str, value: Callable[[random.Random], object]
) -> MakeFault:
    def make(bench: Bench, targets: Targets, source: random.Random) -> Fault:
        choices = {"engine": targets.engines, "service": targets.services}
        target = source.choice(choices.get(standin, [standin]))
        return SwitchedFault(bench, target, name, value(source))

    return make


def _entry_fault(kind: Callable[[Bench, str], Fault]) -> MakeFault:
    def make(bench: Bench, targets: Targets, source: random.Random) -> Fault:
        return kind(bench, source.choice(targets.entries))

    return make


def _cut_from(standin: str) -> MakeFault:
    def make(bench: Bench, targets: Targets, source: random.Random) -> Fault:
        entry = bench.cluster.entry_by_id[source.choice(targets.entries)]
        return SwitchedFault(bench, standin, "cut", [entry.address])

    return make


def _cut_from_peers(bench: Bench, targets: Targets, source: random.Random) -> Fault:
    entry = source.choice(targets.entries)
    return CutFromPeers(bench, entry, source.choice(list(CutWay)))


def _leaving(bench: Bench, targets: Targets, source: random.Random) -> Fault:
    return Leaving(bench, source.choice([*targets.engines, *targets.services]))


def _racing_edits(bench: Bench, targets: Targets, source: random.Random) -> Fault:
    del targets
    versions = tuple(str(source.randint(2, 9)) for _ in range(RACING_EDITS))
    return RacingEdits(bench, source.choice(ADAPTERS), versions)


def _crash_prompts(bench: Bench, targets: Targets, source: random.Random) -> Fault:
    del targets
    return CrashPrompts(bench, random.Random(source.random()))


def _share(low: float, high: float) -> Callable[[random.Random], object]:
    return lambda source: {
        "share": round(source.uniform(low, high), 2),
        "seed": source.randrange(1000),
    }


def _always(source: random.Random) -> object:
    del source
    return True


def _up_to(maximum: int) -> Callable[[random.Random], object]:
    return lambda source: source.randint(1, maximum)


MAKE_FAULT_BY_NAME: dict[str, MakeFault] = {
    "entry killed": _entry_fault(Killed),
    "entry frozen": _entry_fault(Frozen),
    "entry stopped": _entry_fault(Stopped),
    "entry cut from log": _cut_from("log"),
    "entry cut from peers": _cut_from_peers,
    "entry isolated": _entry_fault(Isolated),
    "entry cut from VM list": _cut_from("vms"),
    "engine crashed": _switched("engine", "crash", _always),
    "engine fails loads": _switched("engine", "fail_loads", _up_to(4)),
    "engine drops answers": _switched("engine", "drop_answers", _up_to(3)),
    "engine mixes up answers": _switched("engine", "wrong_answers", _up_to(3)),
    "engine slow": _switched("engine", "slow_factor", lambda source: 4.0),
    "service drops after run": _switched("service", "drop_after_run", _up_to(3)),
    "service drops before run": _switched("service", "drop_before_run", _up_to(3)),
    "service refuses": _switched("service", "refuse_share", _share(0.2, 0.8)),
    "log down": _switched("log", "down", _always),
    "log slow": _switched("log", "slow_ms", lambda source: source.randint(50, 800)),
    "log loses answers": _switched("log", "lose_answers", _share(0.1, 0.6)),
    "log expires early": _switched("log", "retention_records", _up_to(20)),
    "VM list stale": _switched("vms", "stale", _always),
    "VM list down": _switched("vms", "down", _always),
    "weight store down": _switched("weights", "down", _always),
    "endpoint leaving": _leaving,
    "edits race": _racing_edits,
    "crash prompts": _crash_prompts,
}
