"""Compare the chosen policy with the baseline on real entry VMs and stand-ins.

Run with ``make bench PROFILE=lernwerk``. Two deployments, one per policy, run side by
side as separate processes and receive the same trace of arrivals at the same times, so
that both policies run under the same conditions.
"""

import argparse
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass, replace
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from bamboovale.models import WorkClass
from bench.bench_callers import Received, TraceOrder, send_trace
from bench.bench_commit import read_commit, read_load_average
from bench.bench_deployment import Deployment, running_deployment, scaled
from bench.bench_figures import Observation, interactive_wait_p95, others_wait_p95
from bench.bench_table import print_codes, print_targets, print_totals
from bench.measures import percentile
from bench.profiles import PROFILE_BY_NAME, Arrival, Profile, Scenario, arrivals

POLICIES = ("chosen", "baseline")
SETTLE_S = 8.0
WINDOW_S = 26.0
STORE_WINDOW_S = 36.0
FAULT_AT_S = 10.0
START_DELAY_S = 1.0
SEED = 1
IDLE_REQUESTS = 30
IDLE_PAUSE_S = 0.5
WARM_UP_S = 40.0
CAPACITY_S = 24.0
CAPACITY_STEPS = (0.8, 1.0, 1.25, 1.5)
"""Loads offered to find the capacity, as fractions of the profile's estimate."""

BENCH_ERROR_CODES = frozenset({"bad_request", "not_found", "untyped"})
FIRST_TOKEN_S = 1.4
"""Limit of the p95 first-token wait that a load within capacity meets, in seconds."""

HOT_CUSTOMER = "customer-2"
MAX_RUN_S = 600.0
"""Time limit of the whole run; scenarios that would exceed it are skipped."""

SCENARIOS = (
    Scenario("0.9x", 0.9, WINDOW_S),
    Scenario("1.3x", 1.3, WINDOW_S),
    Scenario("0.6x", 0.6, WINDOW_S),
    Scenario("1x", 1.0, WINDOW_S),
    Scenario("3x", 3.0, WINDOW_S),
    Scenario("hot caller", 0.9, WINDOW_S, hot_customer=HOT_CUSTOMER),
    Scenario("cold restart", 0.9, WINDOW_S, cold_restart_at=FAULT_AT_S),
    Scenario("slow endpoint", 0.9, WINDOW_S, slow_engine_at=FAULT_AT_S),
    Scenario(
        "store down 20 s",
        0.9,
        seconds=STORE_WINDOW_S,
        store_down_at=FAULT_AT_S,
        store_down_s=20.0,
    ),
    Scenario("popularity shift", 0.9, WINDOW_S, popularity_shift_at=FAULT_AT_S),
)


@dataclass(frozen=True)
class FaultChange:
    """A fault setting applied to a stand-in at a time of a scenario."""

    at: float
    standin_id: str
    faults: dict[str, Any]


def fault_changes(scenario: Scenario) -> list[FaultChange]:
    """Return the fault changes of a scenario, in order of time."""
    changes = []
    if scenario.cold_restart_at is not None:
        changes.append(FaultChange(scenario.cold_restart_at, "g1", {"crash": True}))
    if scenario.slow_engine_at is not None:
        slow = {"slow_factor": scenario.slow_factor}
        changes.append(FaultChange(scenario.slow_engine_at, "g1", slow))
        changes.append(FaultChange(scenario.seconds, "g1", {"slow_factor": None}))
    if scenario.store_down_at is not None:
        up_at = scenario.store_down_at + scenario.store_down_s
        changes.append(FaultChange(scenario.store_down_at, "weights", {"fail": 1.0}))
        changes.append(FaultChange(up_at, "weights", {"fail": None}))
    return changes


def check_codes(received: Sequence[Received]) -> None:
    """Raise ValueError if a refusal is due to an invalid request of the bench."""
    for item in received:
        if item.code in BENCH_ERROR_CODES:
            raise ValueError(f"invalid request sent by the bench: {item}")


class Bench:
    """Runs each scenario on all deployments at the same time."""

    def __init__(
        self,
        profile: Profile,
        deployments: Sequence[Deployment],
        executor: ProcessPoolExecutor,
    ) -> None:
        self.profile = profile
        self._deployments = deployments
        self._executor = executor
        self.idle_wait_s = 0.0
        self.capacity_share = CAPACITY_STEPS[0]

    def measure_idle(self) -> None:
        """Measure the first-token wait on idle engines with the adapter loaded."""
        trace = tuple(
            Arrival(
                at=IDLE_PAUSE_S * number,
                adapter="adapter-0",
                customer="customer-0",
                work_class=WorkClass.INTERACTIVE,
                tokens=2,
                max_wait_s=10.0,
            )
            for number in range(IDLE_REQUESTS + 5)
        )
        received = self._send(trace, "idle", IDLE_PAUSE_S * len(trace) + 1.0, [])
        waits = [item.wait_s for items in received.values() for item in items[5:]]
        median = percentile(waits, 0.5)
        # A request that joins a running batch waits for the current step. The median
        # keeps other work on the machine out of the reference value.
        self.idle_wait_s = median + self.profile.step_s
        print(
            f"first token on a loaded idle engine: p50 {median:.3f} s,"
            f" p95 {percentile(waits, 0.95):.3f} s;"
            f" stalls count beyond p50 and a step, {self.idle_wait_s:.3f} s",
            flush=True,
        )

    def measure_capacity(self) -> None:
        """Find the highest load at which the chosen policy meets ``FIRST_TOKEN_S``.

        If no step meets it, the lowest step is used as the capacity.
        """
        estimate = self.profile.capacity_per_s
        self._try_load(CAPACITY_STEPS[0], WARM_UP_S)
        met = False
        for step in CAPACITY_STEPS:
            p95 = self._try_load(step, CAPACITY_S)
            print(f"offered {step * estimate:.2f}/s: p95 first token {p95:.2f} s")
            if p95 > FIRST_TOKEN_S:
                break
            self.capacity_share, met = step, True
        verdict = "met" if met else "missed already at this least load tried"
        print(
            f"1x: {self.capacity_share * estimate:.2f} requests/s, p95 of"
            f" {FIRST_TOKEN_S} s {verdict}; estimate of the profile: {estimate:.2f}",
            flush=True,
        )

    def _try_load(self, step: float, seconds: float) -> float:
        """Offer a load to the chosen policy; return the p95 interactive wait."""
        scenario = Scenario(f"capacity {step:g}", step, seconds=seconds)
        trace = tuple(arrivals(self.profile, scenario, SEED + 1))
        chosen = [d for d in self._deployments if d.policy == "chosen"]
        received = self._send(trace, scenario.name, seconds, [], chosen)
        for deployment in chosen:
            deployment.wait_until_idle()
        return interactive_wait_p95(received["chosen"], min(SETTLE_S, seconds / 2))

    def run(self, scenario: Scenario) -> dict[str, Observation]:
        """Run a scenario; return the observations by policy."""
        offered = replace(scenario, load=scenario.load * self.capacity_share)
        trace = tuple(arrivals(self.profile, offered, SEED))
        for deployment in self._deployments:
            deployment.read_new_events()
        before = [deployment.entry_cpu_s() for deployment in self._deployments]
        received = self._send(
            trace, scenario.name, scenario.seconds, fault_changes(scenario)
        )
        observations = {}
        for deployment, cpu_s in zip(self._deployments, before, strict=True):
            used_s = deployment.entry_cpu_s() - cpu_s
            idle_after_s = deployment.wait_until_idle()
            if idle_after_s > 5.0:
                print(f"{scenario.name}: {deployment.policy} still runs work after 5 s")
            observations[deployment.policy] = Observation(
                received=received[deployment.policy],
                events_by_engine=deployment.read_new_events(),
                start_at=self._start_at,
                seconds=scenario.seconds,
                settle_s=SETTLE_S,
                entry_cpu_s=used_s,
            )
        return observations

    def _send(
        self,
        trace: tuple[Arrival, ...],
        label: str,
        seconds: float,
        changes: Sequence[FaultChange],
        deployments: Sequence[Deployment] = (),
    ) -> dict[str, list[Received]]:
        deployments = deployments or self._deployments
        self._start_at = time.time() + START_DELAY_S
        futures = {
            deployment.policy: self._executor.submit(
                send_trace,
                TraceOrder(
                    label=label.replace(" ", "-"),
                    addresses=deployment.addresses,
                    arrivals=trace,
                    start_at=self._start_at,
                    seconds=seconds,
                    seed=SEED,
                ),
            )
            for deployment in deployments
        }
        for change in changes:
            time.sleep(max(0.0, self._start_at + change.at - time.time()))
            for deployment in deployments:
                standin = deployment.cluster.standin_by_id[change.standin_id]
                standin.set_faults(**change.faults)
        received = {policy: future.result() for policy, future in futures.items()}
        for items in received.values():
            check_codes(items)
        return received


def run_profile(
    profile: Profile,
    scenarios: Sequence[Scenario],
    directory: Path,
    started: float,
) -> None:
    """Run the scenarios and print the report."""
    with ExitStack() as stack:
        executor = stack.enter_context(
            ProcessPoolExecutor(len(POLICIES), get_context("spawn"))
        )
        deployments = [
            stack.enter_context(running_deployment(profile, policy, directory / policy))
            for policy in POLICIES
        ]
        print(f"deployments ready after {time.monotonic() - started:.0f} s", flush=True)
        bench = Bench(profile, deployments, executor)
        bench.measure_idle()
        bench.measure_capacity()
        observed: dict[str, dict[str, Observation]] = {}
        for scenario in scenarios:
            if time.monotonic() - started + scenario.seconds + 8.0 > MAX_RUN_S:
                print(f"not run, no time left: {scenario.name}")
                continue
            observed[scenario.name] = bench.run(scenario)
            print(f"{time.monotonic() - started:4.0f} s: {scenario.name}", flush=True)
        report(profile, bench.idle_wait_s, observed)


def report(
    profile: Profile,
    idle_wait_s: float,
    observed: dict[str, dict[str, Observation]],
) -> None:
    """Print the table, the refusals by code and the targets."""
    figures = {
        name: {
            policy: observation.figures(profile, idle_wait_s)
            for policy, observation in by_policy.items()
        }
        for name, by_policy in observed.items()
    }
    hot_waits: dict[str, float] = {
        name: others_wait_p95(observed[name]["chosen"].received, HOT_CUSTOMER, SETTLE_S)
        for name in observed
        if name in ("0.9x", "hot caller")
    }
    print_totals(figures)
    print_codes(observed)
    print_targets(profile.name, figures, hot_waits)


def main() -> None:
    """Run the bench of one profile."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("profile", choices=sorted(PROFILE_BY_NAME))
    parser.add_argument("--only", default="", help="names of scenarios, with commas")
    arguments = parser.parse_args()
    started = time.monotonic()
    profile = scaled(PROFILE_BY_NAME[arguments.profile])
    chosen = [name for name in arguments.only.split(",") if name]
    scenarios = [
        scenario for scenario in SCENARIOS if not chosen or scenario.name in chosen
    ]
    print(f"real entry VMs and stand-ins as processes: {profile.name}")
    print(f"commit {read_commit()}, load average before {read_load_average()}")
    print(f"{WINDOW_S:.0f} s a scenario, the first {SETTLE_S:.0f} s not counted")
    with tempfile.TemporaryDirectory() as directory:
        run_profile(profile, scenarios, Path(directory), started)
    print(f"load average after {read_load_average()}")
    print(f"took {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    main()
