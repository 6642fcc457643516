"""``make demo``: the whole path with its failures, judged by what callers received.

Starts the stand-ins and four entry VMs, publishes a catalogue with the command line,
sends a mixed load, changes a version, kills an entry VM, crashes an engine, stops
another entry VM as planned, and judges the history. Exits 1 on any fault.
"""

import argparse
import signal
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

from bench.callers import Load, LoadConfig, running_load
from bench.cluster import Cluster, ClusterConfig, running_cluster
from bench.collection import collect_history
from bench.operators import ADAPTERS, SERVICES, Operator, build_catalogue
from bench.processes import PROGRAM, count_children
from bench.verdict import Verdict

PHASE_S = 6.0
# Short enough that a planned stop, which outlasts callers' old lists, fits the demo.
ENTRY_OPTIONS = ("--entries-ttl-s=2", "--drain-timeout-s=30")
ENGINE_OPTIONS = ("--max-loras", "3", "--max-num-seqs", "8", "--step-ms", "15")
CONFIG = ClusterConfig(
    entries=4,
    entry_options=ENTRY_OPTIONS,
    engine_options=ENGINE_OPTIONS,
)
CALLERS = 12


def run_demo(cluster: Cluster, phase_s: float) -> Verdict:
    """Run the scenario on a cluster that is ready, ``phase_s`` seconds a phase."""
    operator = Operator(cluster)
    operator.publish(build_catalogue())
    operator.wait_until_everywhere(operator.read_revision(cluster.live_entries()[0]))
    say("catalogue published and in force on every entry VM")
    load_config = LoadConfig(ADAPTERS, SERVICES, callers=CALLERS)
    seeds = [entry.callers_address for entry in cluster.live_entries()]
    with running_load(load_config, seeds, cluster.recorder) as load:
        _disturb(cluster, operator, load, phase_s)
    for entry in cluster.live_entries():
        operator.read_state(entry, final=True)
    history = collect_history(cluster)
    say(f"judged by {len(history.events)} events, {len(history.runs)} runs on engines")
    return Verdict.from_history(history)


def _disturb(
    cluster: Cluster,
    operator: Operator,
    load: Load,
    phase_s: float,
) -> None:
    """Change, kill, crash and stop, with a phase of load after each."""
    _wait("mixed load", load, phase_s)
    operator.publish(build_catalogue_with_version("2"))
    _wait(f"version of {ADAPTERS[0]} changed to 2", load, phase_s)
    cluster.kill_entry("e2")
    _wait("entry VM e2 killed", load, phase_s)
    cluster.standin_by_id["g1"].set_faults(crash=True)
    _wait("engine g1 crashed", load, phase_s)
    took = cluster.stop_entry("e3")
    _wait(f"entry VM e3 stopped as planned within {took:.1f} s", load, phase_s)


def build_catalogue_with_version(version: str) -> list[dict[str, object]]:
    """Return the demo's catalogue with another version of its first adapter."""
    entries = build_catalogue()
    for entry in entries:
        if entry["name"] == ADAPTERS[0]:
            entry.update(version=version, source=f"{ADAPTERS[0]}/{version}")
    return entries


def _wait(message: str, load: Load, phase_s: float) -> None:
    time.sleep(phase_s)
    counts = ", ".join(
        f"{outcome} {count}" for outcome, count in sorted(load.outcomes.items())
    )
    say(f"{message}: {counts}")


def say(message: str) -> None:
    """Print a line at once."""
    print(message, flush=True)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the demo; return its exit code."""
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument(
        "--program",
        nargs="+",
        default=list(PROGRAM),
        help="how to start entry VMs, such as the built binary",
    )
    parser.add_argument("--phase-s", type=float, default=PHASE_S)
    options = parser.parse_args(arguments)
    # Ended from outside, the demo still ends its processes on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    config = CONFIG.with_program(options.program)
    with (
        tempfile.TemporaryDirectory(prefix="bamboovale-demo-") as directory,
        running_cluster(config, Path(directory)) as cluster,
    ):
        say(f"started {len(cluster.processes)} processes")
        verdict = run_demo(cluster, options.phase_s)
    if verdict.violations:
        say(verdict.describe_violations())
    left = count_children()
    say(f"processes left: {left}")
    say(verdict.summarize("demo"))
    return 1 if verdict.violations or left else 0


if __name__ == "__main__":
    sys.exit(main())
