"""``make fuzz SECONDS=600 SEED=n``: real processes under random faults, two at once.

The seed fixes the order and the targets of the faults, but not their timing relative
to the load. Exits 1 on any violation and prints the events that show it.
"""

import argparse
import itertools
import random
import sys
import tempfile
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from bench.callers import LoadConfig, running_load
from bench.cluster import Cluster, ClusterConfig, running_cluster
from bench.collection import collect_history
from bench.faults import MAKE_FAULT_BY_NAME, Bench, Fault, Targets
from bench.history import FaultSpan, History
from bench.operators import ADAPTERS, SERVICES, Operator, build_catalogue
from bench.verdict import Verdict
from bench.violations import Violation

LANES = 2
LONGEST_FAULT_S = 6.0
LONGEST_PAUSE_S = 2.0
# Every entry VM must serve again within this time after the last fault.
RECOVERY_S = 30.0
SETTLE_S = 6.0
CONFIG = ClusterConfig(
    entries=4,
    relays=True,
    entry_options=("--entries-ttl-s=2", "--drain-timeout-s=40"),
    engine_options=("--max-loras", "3", "--max-num-seqs", "8", "--step-ms", "15"),
)


@dataclass(frozen=True)
class FuzzConfig:
    """Duration, seed, faults (all by default), number of callers and cluster."""

    seconds: float = 60.0
    seed: int = 1
    faults: tuple[str, ...] = tuple(MAKE_FAULT_BY_NAME)
    callers: int = 10
    cluster: ClusterConfig = field(default_factory=lambda: CONFIG)


class Lane:
    """Injects random faults one after another."""

    def __init__(
        self,
        number: int,
        config: FuzzConfig,
        bench: Bench,
        targets: Targets,
    ) -> None:
        self._number = number
        self._config = config
        self._bench = bench
        self._targets = targets
        self._random = random.Random(f"{config.seed}-{number}")
        self.failure: Exception | None = None

    def run(self, until: float) -> None:
        """Inject faults until ``until`` on the monotonic clock."""
        try:
            while time.monotonic() < until:
                time.sleep(self._random.uniform(0.1, LONGEST_PAUSE_S))
                self._inject_fault()
        except Exception as error:  # a failing fault must not look like a passed run
            self.failure = error

    def _inject_fault(self) -> None:
        name = self._random.choice(self._config.faults)
        make = MAKE_FAULT_BY_NAME[name]
        fault: Fault = make(self._bench, self._targets, self._random)
        duration_s = self._random.uniform(0.2, LONGEST_FAULT_S)
        started_at = time.time()
        print(
            f"{started_at:.3f} lane {self._number}: {name} {duration_s:.1f} s",
            flush=True,
        )
        fault.begin()
        try:
            time.sleep(duration_s)
        finally:
            fault.end()
            span = FaultSpan(started_at, name, _describe(fault), until=time.time())
            self._bench.cluster.recorder.record(span)


def _describe(fault: Fault) -> str:
    shown = {
        name: value
        for name, value in vars(fault).items()
        if name not in ("bench", "source")
    }
    return ", ".join(f"{name}={value}" for name, value in shown.items())


def run_fuzz(config: FuzzConfig, cluster: Cluster) -> tuple[Verdict, History]:
    """Fuzz a ready cluster; return the verdict and the history."""
    operator = Operator(cluster)
    operator.publish(build_catalogue())
    operator.wait_until_everywhere(operator.read_revision(cluster.live_entries()[0]))
    load_config = LoadConfig(
        ADAPTERS,
        SERVICES,
        callers=config.callers,
        seed=config.seed,
    )
    seeds = [entry.callers_address for entry in cluster.live_entries()]
    with running_load(load_config, seeds, cluster.recorder) as load:
        _run_lanes(config, Bench(cluster, operator, load))
        _wait_for_recovery(cluster)
    for entry in cluster.live_entries():
        operator.read_state(entry, final=True)
    history = collect_history(cluster)
    return Verdict.from_history(history), history


def _run_lanes(config: FuzzConfig, bench: Bench) -> None:
    lanes = [
        Lane(number, config, bench, targets)
        for number, targets in enumerate(_share_targets(bench.cluster))
    ]
    until = time.monotonic() + config.seconds
    threads = [threading.Thread(target=lane.run, args=(until,)) for lane in lanes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for lane in lanes:
        if lane.failure is not None:
            raise lane.failure


def _share_targets(cluster: Cluster) -> list[Targets]:
    """Divide the members among the lanes, so that no two share a target."""
    entries = sorted(cluster.entry_by_id)
    ids = sorted(cluster.standin_by_id)
    engines = [name for name in ids if cluster.standin_by_id[name].kind == "engine"]
    services = [name for name in ids if cluster.standin_by_id[name].kind == "service"]
    return [
        Targets(entries[lane::LANES], engines[lane::LANES], services[lane::LANES])
        for lane in range(LANES)
    ]


def _wait_for_recovery(cluster: Cluster) -> None:
    """Wait until every entry VM serves again, then keep the load on for a while."""
    for entry in cluster.live_entries():
        cluster.wait_until_ready(entry, RECOVERY_S)
    time.sleep(SETTLE_S)


def describe_with_faults(violation: Violation, history: History) -> str:
    """Return a violation with the faults active during or shortly before it."""
    first = min(event.at for event in violation.events)
    last = max(event.at for event in violation.events)
    spans = [
        span
        for span in history.of(FaultSpan)
        if span.at <= last and span.until >= first - LONGEST_FAULT_S
    ]
    lines = [f"  fault {span.at:.3f}-{span.until:.3f} {span.target}" for span in spans]
    return "\n".join([str(violation), *lines])


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the fuzzing; return its exit code."""
    parser = argparse.ArgumentParser(prog="fuzz", description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=random.randrange(100_000))
    parser.add_argument("--faults", nargs="+", default=list(MAKE_FAULT_BY_NAME))
    options = parser.parse_args(arguments)
    config = FuzzConfig(options.seconds, options.seed, tuple(options.faults))
    print(f"seed {config.seed}, {config.seconds:.0f} s", flush=True)
    with (
        tempfile.TemporaryDirectory(prefix="bamboovale-fuzz-") as directory,
        running_cluster(config.cluster, Path(directory)) as cluster,
    ):
        verdict, history = run_fuzz(config, cluster)
    for violation in itertools.islice(verdict.violations, 10):
        print(describe_with_faults(violation, history))
    print(f"orders of former lease holders: {verdict.count_stale_orders(history)}")
    print(f"seed {config.seed}")
    print(verdict.summarize("fuzz"), flush=True)
    return 1 if verdict.violations else 0


if __name__ == "__main__":
    sys.exit(main())
