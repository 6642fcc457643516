"""Print the table of figures, the error codes and the targets of a run."""

from collections.abc import Mapping

from bench.bench_figures import Observation

COLUMNS = (
    "all stall p95",
    "interactive stalled share",
    "interactive stall p50",
    "interactive stall p95",
    "interactive stall p99",
    "overnight stalled share",
    "overnight stall p50",
    "overnight stall p95",
    "overnight stall p99",
    "all wait p50",
    "all wait p95",
    "all wait p99",
    "batch efficiency",
    "goodput_per_s",
    "refused share",
    "refusal wait p95",
    "gave up share",
    "broken share",
    "loads",
    "worst customer / median",
    "entry CPU ms per request",
)
MAX_STALL_RATIO = 1 / 3
MIN_FILL_RATIO = 1.3
MIN_GOODPUT_RATIO = 0.95
MAX_HOT_RATIO = 1.2

FiguresByPolicy = Mapping[str, Mapping[str, float]]


def print_totals(figures: Mapping[str, FiguresByPolicy]) -> None:
    """Print the figures of both policies and their ratio, one per line."""
    print(f"{'scenario':16} {'figure':26} {'chosen':>9} {'baseline':>9} {'ratio':>7}")
    for scenario, by_policy in figures.items():
        for column in COLUMNS:
            chosen = by_policy["chosen"][column]
            baseline = by_policy["baseline"][column]
            ratio = f"{chosen / baseline:7.2f}" if baseline else f"{'-':>7}"
            print(f"{scenario:16} {column:26} {chosen:9.3f} {baseline:9.3f} {ratio}")


def print_codes(observed: Mapping[str, Mapping[str, Observation]]) -> None:
    """Print the number of failed requests by ending and error code."""
    print("endings other than whole answers, with the settling time:")
    for scenario, by_policy in observed.items():
        for policy, observation in by_policy.items():
            codes = ", ".join(
                f"{code} {count}"
                for code, count in sorted(observation.code_counts.items())
            )
            sent = len(observation.received)
            print(f"  {scenario}, {policy}, of {sent}: {codes or 'none'}")


def print_targets(
    profile: str,
    figures: Mapping[str, FiguresByPolicy],
    hot_waits: Mapping[str, float],
) -> None:
    """Print each target for which this run has the scenarios, with its ratio."""
    if profile == "lernwerk" and "0.9x" in figures:
        ratio = _ratio(figures["0.9x"], "all stall p95")
        _print_target("p95 load stall at 0.9x", ratio, ratio <= MAX_STALL_RATIO, "0.33")
    if profile == "galley" and "1.3x" in figures:
        ratio = _ratio(figures["1.3x"], "batch efficiency")
        _print_target("batch efficiency at 1.3x", ratio, ratio >= MIN_FILL_RATIO, "1.3")
    if {"1x", "3x"} <= set(figures):
        at_3x, at_1x = (
            figures[name]["chosen"]["goodput_per_s"] for name in ("3x", "1x")
        )
        ratio = at_3x / max(1e-9, at_1x)
        _print_target("goodput at 3x by 1x", ratio, ratio >= MIN_GOODPUT_RATIO, "0.95")
    if len(hot_waits) == 2:
        ratio = hot_waits["hot caller"] / max(1e-9, hot_waits["0.9x"])
        _print_target("others' p95 wait", ratio, ratio <= MAX_HOT_RATIO, "1.2")


def _ratio(by_policy: FiguresByPolicy, figure: str) -> float:
    return by_policy["chosen"][figure] / max(1e-9, by_policy["baseline"][figure])


def _print_target(name: str, ratio: float, met: bool, bound: str) -> None:
    print(f"target: {name}: {ratio:.2f} (bound {bound}) {'met' if met else 'MISSED'}")
