"""``make demo``: an end-to-end run with failures, checked from recorded events.

Starts the stand-ins and four entry VMs, publishes a catalogue with the command line,
sends a mixed load, changes a version, kills an entry VM, crashes an engine, stops
another entry VM as planned, and checks the history. Exits 1 on a violation or if a
process is left.
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
# Short, because a planned stop waits until callers' cached entry lists expire.
ENTRY_OPTIONS = ("--entries-ttl-s=2", "--drain-timeout-s=30")
ENGINE_OPTIONS = ("--max-loras", "3", "--max-num-seqs", "8", "--step-ms", "15")
CONFIG = ClusterConfig(
    entries=4,
    entry_options=ENTRY_OPTIONS,
    engine_options=ENGINE_OPTIONS,
)
CALLERS = 12


def run_demo(cluster: Cluster, phase_s: float) -> Verdict:
    """Run the demo on a ready cluster, with ``phase_s`` seconds per phase."""
    operator = Operator(cluster)
    operator.publish(build_catalogue())
    operator.wait_until_everywhere(operator.read_revision(cluster.live_entries()[0]))
    say("catalogue published and in effect on every entry VM")
    load_config = LoadConfig(ADAPTERS, SERVICES, callers=CALLERS)
    seeds = [entry.callers_address for entry in cluster.live_entries()]
    with running_load(load_config, seeds, cluster.recorder) as load:
        _run_phases(cluster, operator, load, phase_s)
    for entry in cluster.live_entries():
        operator.read_state(entry, final=True)
    history = collect_history(cluster)
    say(f"checked {len(history.events)} events, {len(history.runs)} runs on engines")
    return Verdict.from_history(history)


def _run_phases(
    cluster: Cluster,
    operator: Operator,
    load: Load,
    phase_s: float,
) -> None:
    """Change a version and inject faults, with a phase of load after each."""
    _finish_phase("mixed load", load, phase_s)
    operator.publish(build_catalogue_with_version("2"))
    _finish_phase(f"version of {ADAPTERS[0]} changed to 2", load, phase_s)
    cluster.kill_entry("e2")
    _finish_phase("entry VM e2 killed", load, phase_s)
    cluster.standin_by_id["g1"].set_faults(crash=True)
    _finish_phase("engine g1 crashed", load, phase_s)
    took = cluster.stop_entry("e3")
    _finish_phase(f"entry VM e3 stopped as planned within {took:.1f} s", load, phase_s)


def build_catalogue_with_version(version: str) -> list[dict[str, object]]:
    """Return the demo's catalogue with another version of its first adapter."""
    entries = build_catalogue()
    for entry in entries:
        if entry["name"] == ADAPTERS[0]:
            entry.update(version=version, source=f"{ADAPTERS[0]}/{version}")
    return entries


def _finish_phase(message: str, load: Load, phase_s: float) -> None:
    time.sleep(phase_s)
    counts = ", ".join(
        f"{outcome} {count}" for outcome, count in sorted(load.outcomes.items())
    )
    say(f"{message}: {counts}")


def say(message: str) -> None:
    """Print a line and flush."""
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
    # On SIGTERM, exit normally so that all processes are ended.
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
