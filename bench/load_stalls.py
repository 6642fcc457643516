"""Compare the chosen policy with the baseline in virtual time.

Run with ``python -m bench.load_stalls lernwerk``. :mod:`bench.virtual_time` names what
the simulation leaves out.
"""

import argparse
import time
from dataclasses import replace

from bamboovale.decisions.policy import Policy
from bench.measures import Result, summarize
from bench.profiles import PROFILE_BY_NAME, Profile, Scenario
from bench.virtual_time import run_scenario

SETTLE_S = 60.0
SCENARIOS = (
    Scenario("0.6x", 0.6),
    Scenario("0.9x", 0.9),
    Scenario("1.0x", 1.0),
    Scenario("1.3x", 1.3),
    Scenario("3x", 3.0),
    Scenario("popularity shift", 0.9, popularity_shift_at=120.0),
    Scenario("cold restart", 0.9, cold_restart_at=120.0),
    Scenario("slow engine", 0.6, slow_engine_at=90.0),
    Scenario("store down 20 s", 0.9, store_down_at=120.0),
)
COLUMNS = (
    "interactive stalled share",
    "interactive stall p50",
    "interactive stall p95",
    "interactive stall p99",
    "overnight stall p95",
    "interactive wait p50",
    "interactive wait p95",
    "overnight wait p95",
    "batch efficiency",
    "goodput_per_s",
    "refused share",
    "gave up share",
    "loads",
    "worst customer / median",
)


def run_all(
    profile: Profile,
    scenarios: tuple[Scenario, ...],
    seconds: float,
    policies: tuple[Policy, ...],
) -> dict[str, dict[str, dict[str, float]]]:
    """Return the figures by scenario and policy."""
    figures: dict[str, dict[str, dict[str, float]]] = {}
    for scenario in scenarios:
        timed = replace(scenario, seconds=seconds)
        figures[scenario.name] = {
            policy.name: summarize(
                run_scenario(profile, timed, policy),
                settle_s=SETTLE_S,
            )
            for policy in policies
        }
    return figures


def print_table(figures: dict[str, dict[str, dict[str, float]]]) -> None:
    """Print the figures of both policies and their ratio, one per line."""
    print(f"{'scenario':18} {'figure':28} {'chosen':>9} {'baseline':>9} {'ratio':>7}")
    for scenario, by_policy in figures.items():
        for column in COLUMNS:
            chosen = by_policy["chosen"][column]
            line = f"{scenario:18} {column:28} {chosen:9.3f}"
            baseline = by_policy.get("baseline", {}).get(column, 0.0)
            if baseline:
                line += f" {baseline:9.3f} {chosen / baseline:7.2f}"
            print(line)


def hot_caller(
    profile: Profile,
    seconds: float,
    customer: str,
    load: float = 0.6,
) -> dict[str, float]:
    """Return figures of the other customers without and with a hot customer."""
    policy = Policy.chosen(profile.stall_weight)
    figures = {}
    for label, hot in (("without", ""), ("with", customer)):
        scenario = Scenario("hot caller", load, seconds=seconds, hot_customer=hot)
        result = run_scenario(profile, scenario, policy)
        others = [r for r in result.records if r.customer != customer]
        summary = summarize(
            Result(records=others, seconds=seconds),
            settle_s=SETTLE_S,
        )
        for name in ("all wait p95", "interactive wait p95", "refused share"):
            figures[f"{name} {label}"] = summary[name]
    return figures


def main() -> None:
    """Run the scenarios of a profile and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("profile", choices=sorted(PROFILE_BY_NAME))
    parser.add_argument("--seconds", type=float, default=360.0)
    parser.add_argument(
        "--only", default="", help="run scenarios with this in the name"
    )
    parser.add_argument("--chosen-only", action="store_true")
    arguments = parser.parse_args()
    profile = PROFILE_BY_NAME[arguments.profile]
    started = time.perf_counter()
    scenarios = tuple(s for s in SCENARIOS if arguments.only in s.name)
    print(
        f"virtual time, pure modules: {profile.name}, {arguments.seconds:.0f} s a run"
    )
    print(f"capacity {profile.capacity_per_s:.2f} requests/s")
    policies: tuple[Policy, ...] = (Policy.chosen(profile.stall_weight),)
    if not arguments.chosen_only:
        policies += (Policy.baseline(),)
    print_table(run_all(profile, scenarios, arguments.seconds, policies))
    if arguments.only:
        return
    for customer in ("customer-2", "customer-20"):
        for name, value in hot_caller(profile, arguments.seconds, customer).items():
            print(f"hot {customer:14} {name:28} {value:9.3f}")
    print(f"took {time.perf_counter() - started:.0f} s")


if __name__ == "__main__":
    main()
