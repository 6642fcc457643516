"""``make measure-recovery``: how long faults affect callers.

Each measurement starts its own cluster and prints its results. The recovery time of an
engine is the longest pause between two starts of runs there, as the engine itself
recorded them.
"""

import argparse
import statistics
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace
from itertools import pairwise

from bench.callers import LoadConfig
from bench.history import History, Outcome, RunStarted
from bench.operators import ADAPTERS, SERVICES
from bench.scenario import SMALL, Scenario, running_scenario, wait_until
from bench.verdict import Verdict

ROUNDS = 3
EDITS = 100
ENTRIES_PER_DEPLOYMENT = 9
OUTAGE_S = 60.0
WARM_UP_S = 4.0
OBSERVED_S = 10.0
BUSY = LoadConfig(ADAPTERS[:2], SERVICES, callers=12, think_s=0.02, max_tokens=8)
MEASURED = replace(SMALL, engines=4, services=2, entries=4)


def find_longest_pauses(
    history: History,
    since: float,
    until: float,
) -> dict[str, float]:
    """Return each engine's longest time without a start of a run, in seconds."""
    starts_by_engine: dict[str, list[float]] = {}
    for start in history.of(RunStarted):
        starts_by_engine.setdefault(start.endpoint, []).append(start.at)
    pauses = {}
    for engine, starts in starts_by_engine.items():
        in_interval = [at for at in starts if since <= at <= until]
        moments = [since, *in_interval, until]
        pauses[engine] = max(after - before for before, after in pairwise(moments))
    return pauses


def measure_pauses(act: Callable[[Scenario, str], object], title: str) -> None:
    """Act on the lease holder of an engine; print the longest pause of its engines."""
    pauses = []
    for _ in range(ROUNDS):
        with running_scenario(MEASURED) as scenario, scenario.load(BUSY):
            time.sleep(WARM_UP_S)
            baseline_from = time.time()
            time.sleep(WARM_UP_S)
            holder_by_engine = scenario.operator.read_holders()
            holder = holder_by_engine["g1"]
            started_at = time.time()
            act(scenario, holder)
            time.sleep(max(0.0, started_at + OBSERVED_S - time.time()))
            history = scenario.history()
        held = [name for name, vm in holder_by_engine.items() if vm == holder]
        before = find_longest_pauses(history, baseline_from, started_at)
        after = find_longest_pauses(history, started_at, started_at + OBSERVED_S)
        worst = max(held, key=lambda engine: after[engine])
        pauses.append(after[worst])
        print(
            f"  engine {worst}: pause {after[worst]:.2f} s,"
            f" usual {before.get(worst, 0.0):.2f} s",
            flush=True,
        )
    report(title, pauses)


def measure_edits(*, cut: bool) -> None:
    """Print how long accepted edits take to take effect on nine entry VMs."""
    config = replace(MEASURED, entries=ENTRIES_PER_DEPLOYMENT, engines=2)
    times = []
    with running_scenario(config) as scenario:
        operator = scenario.operator
        entries = scenario.cluster.live_entries()
        if cut:
            log = scenario.cluster.standin_by_id["log"]
            log.set_faults(cut=[entries[-1].address])
        for number in range(EDITS):
            operator.set_version(ADAPTERS[0], str(number + 2), entries[0])
            started_at = time.monotonic()
            revision = operator.read_revision(entries[0])
            operator.wait_until_everywhere(revision)
            times.append(time.monotonic() - started_at)
    title = "edit in effect on 9 entry VMs"
    report(f"{title}, one cut from the log" if cut else title, times)


def measure_killed_entry() -> None:
    """Print how many answers a killed entry VM cut off."""
    with running_scenario(MEASURED) as scenario:
        with scenario.load(BUSY):
            time.sleep(WARM_UP_S)
            scenario.cluster.kill_entry(scenario.operator.read_holders()["g1"])
            time.sleep(WARM_UP_S)
        verdict = scenario.evaluate()
        history = scenario.history()
    cut_off = [
        received
        for received in history.received_by_request_id.values()
        if received.outcome is Outcome.BROKEN
    ]
    print(f"killed entry VM: {len(cut_off)} answers cut off")
    print_verdict(verdict, "killed entry VM")


def measure_rolling() -> None:
    """Print the outcomes while all entry VMs are replaced one by one."""
    with running_scenario(MEASURED) as scenario:
        cluster = scenario.cluster
        with scenario.load(BUSY) as load:
            time.sleep(WARM_UP_S)
            for number, entry in enumerate(cluster.live_entries()):
                successor = cluster.start_entry(f"n{number}")
                cluster.wait_until_ready(successor)
                load.add_seed(successor.callers_address)
                took = cluster.stop_entry(entry.id)
                print(f"  {entry.id} replaced, its stop took {took:.1f} s", flush=True)
            time.sleep(WARM_UP_S)
        verdict = scenario.evaluate()
        print_outcomes(scenario.history(), 0.0, time.time())
    print_verdict(verdict, "rolling replacement")


def measure_outage(*, kill_holder: bool) -> None:
    """Print the outcomes during a long outage of the log."""
    title = "log outage of 60 s" + (", a lease holder dies" if kill_holder else "")
    with running_scenario(MEASURED) as scenario:
        log = scenario.cluster.standin_by_id["log"]
        with scenario.load(BUSY):
            time.sleep(WARM_UP_S)
            log.set_faults(down=True)
            started_at = time.time()
            if kill_holder:
                time.sleep(WARM_UP_S)
                holders = scenario.operator.read_holders()
                scenario.cluster.kill_entry(holders["g1"])
            time.sleep(OUTAGE_S - (time.time() - started_at))
            ended = time.time()
            log.set_faults(down=None)
            wait_until(
                lambda: all(
                    entry.is_ready() for entry in scenario.cluster.live_entries()
                ),
                "not ready after the outage",
            )
            time.sleep(WARM_UP_S)
        verdict = scenario.evaluate()
        history = scenario.history()
    print(title)
    print_outcomes(history, started_at, ended)
    print_verdict(verdict, title)


def print_outcomes(history: History, since: float, until: float) -> None:
    """Print the outcomes of the sends in an interval by kind of request."""
    counts: dict[str, Counter[str]] = {}
    for received in history.received_by_request_id.values():
        sent = history.sent_by_request_id[received.request_id]
        if not since <= sent.at <= until:
            continue
        kind = "model" if sent.entry in ADAPTERS else "call"
        retry = "keyed" if sent.key else "free" if sent.idempotent else "marked"
        code = f" {received.code}" if received.code else ""
        counts.setdefault(f"{kind}, {retry}", Counter())[
            f"{received.outcome}{code}"
        ] += 1
    for kind, outcomes in sorted(counts.items()):
        shown = ", ".join(f"{name} {count}" for name, count in outcomes.most_common())
        print(f"  {kind}: {shown}", flush=True)


def report(title: str, seconds: Sequence[float]) -> None:
    """Print the distribution of times."""
    ordered = sorted(seconds)
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    print(
        f"{title}: n={len(ordered)} p50={statistics.median(ordered):.3f} s"
        f" p99={p99:.3f} s max={ordered[-1]:.3f} s",
        flush=True,
    )


def print_verdict(verdict: Verdict, title: str) -> None:
    """Print the violations and the summary."""
    if verdict.violations:
        print(verdict.describe_violations())
    print(verdict.summarize(title), flush=True)


MEASUREMENT_BY_NAME: dict[str, Callable[[], None]] = {
    "holder-killed": lambda: measure_pauses(
        lambda scenario, entry: scenario.cluster.kill_entry(entry),
        "engine served again after its holder was killed",
    ),
    "planned-stop": lambda: measure_pauses(
        lambda scenario, entry: scenario.cluster.stop_entry(entry),
        "engine served again after a planned stop of its holder",
    ),
    "edits": lambda: measure_edits(cut=False),
    "edits-cut": lambda: measure_edits(cut=True),
    "killed-entry": measure_killed_entry,
    "rolling": measure_rolling,
    "log-outage": lambda: measure_outage(kill_holder=False),
    "log-outage-holder": lambda: measure_outage(kill_holder=True),
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the named measurements, all by default."""
    parser = argparse.ArgumentParser(prog="measure-recovery", description=__doc__)
    parser.add_argument("names", nargs="*", help=", ".join(MEASUREMENT_BY_NAME))
    options = parser.parse_args(arguments)
    for name in options.names or MEASUREMENT_BY_NAME:
        MEASUREMENT_BY_NAME[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
