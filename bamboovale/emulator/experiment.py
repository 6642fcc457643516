"""Experiments: one scenario, several policies and seeds, and expected figures."""

import csv
import statistics
import tomllib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from bamboovale.decisions.mechanisms import Mechanism, Mechanisms
from bamboovale.decoding import BadRecordError, forbid_unknown_fields, structure
from bamboovale.emulator.engine import EngineFigures
from bamboovale.emulator.outcomes import Result
from bamboovale.emulator.scenario import (
    FAULT_KINDS,
    Deployment,
    EngineGroup,
    Fault,
    RequestKind,
    Scenario,
    Tokens,
)
from bamboovale.emulator.simulation import Simulation
from bamboovale.plotting import axes_saved_to

TABLE_FIGURES = (
    "worth",
    "in_time",
    "late_by_first",
    "late_by_pause",
    "unserved",
    "first_p50",
    "first_p95",
    "pause_p95",
    "cold_loads",
)
"""Figures of the printed table; the CSV file has all."""


@dataclass(frozen=True)
class Policy:
    """A named selection of mechanisms: all but those in ``without``."""

    name: str
    without: tuple[str, ...] = ()


@dataclass(frozen=True)
class Expectation:
    """Bounds, both inclusive, on the mean over the seeds of a policy's figure."""

    policy: str
    figure: str
    least: float | None = None
    most: float | None = None


@dataclass(frozen=True)
class Experiment:
    """A scenario that is simulated for each policy and seed, with expectations."""

    scenario: Scenario
    seeds: tuple[int, ...] = (1, 2, 3, 4)
    policies: tuple[Policy, ...] = (Policy("all"),)
    expectations: tuple[Expectation, ...] = ()

    @classmethod
    def from_file(cls, path: Path) -> "Experiment":
        """Read an experiment; raise BadExperimentError with all findings."""
        try:
            document = tomllib.loads(path.read_text())
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
            raise BadExperimentError([str(error)]) from error
        try:
            experiment = structure(document, cls, path.name)
        except BadRecordError as error:
            raise BadExperimentError(str(error).split("; ")) from error
        findings = list(experiment.findings())
        if findings:
            raise BadExperimentError(findings)
        return experiment

    def findings(self) -> Iterable[str]:
        """Yield semantic errors, each with the path of the wrong key."""
        names = {policy.name for policy in self.policies}
        mechanisms = {mechanism.value for mechanism in Mechanism}
        for number, policy in enumerate(self.policies):
            for name in set(policy.without) - mechanisms:
                yield f"policies[{number}].without: unknown mechanism {name}"
        for number, fault in enumerate(self.scenario.faults):
            if fault.kind not in FAULT_KINDS:
                yield f"scenario.faults[{number}].kind: unknown fault {fault.kind}"
        for number, expected in enumerate(self.expectations):
            if expected.policy not in names:
                yield f"expectations[{number}].policy: unknown policy {expected.policy}"
            if expected.figure not in Result().figures():
                yield f"expectations[{number}].figure: unknown figure {expected.figure}"
        if not self.scenario.kinds or not self.scenario.deployment.engines:
            yield "scenario: kinds or deployment.engines is empty"
        if not self.seeds:
            yield "seeds: empty"


for _record_type in (
    Tokens,
    EngineFigures,
    EngineGroup,
    Deployment,
    RequestKind,
    Fault,
    Scenario,
    Policy,
    Expectation,
    Experiment,
):
    forbid_unknown_fields(_record_type)


class BadExperimentError(ValueError):
    """Invalid experiment file; ``findings`` has one message for each error."""

    def __init__(self, findings: Sequence[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = list(findings)


@dataclass
class Row:
    """Figures of one simulation, with its policy and seed."""

    policy: str
    seed: int
    figures: dict[str, float]
    in_time_by_second: list[tuple[float, float]] = field(default_factory=list)


def run_experiment(
    experiment: Experiment,
    on_simulated: Callable[[], None] = lambda: None,
    share: tuple[int, int] = (1, 1),
) -> list[Row]:
    """Simulate all policies with all seeds, or one share of these simulations.

    ``share`` (2, 4) selects the second of four shares, so that four processes can run
    one each. ``on_simulated`` is called after each simulation.
    """
    part, parts = share
    rows = []
    jobs = [(p, seed) for seed in experiment.seeds for p in experiment.policies]
    for number, (policy, seed) in enumerate(jobs):
        if number % parts != part - 1:
            continue
        mechanisms = Mechanisms.without(policy.without)
        result = Simulation(experiment.scenario, seed, mechanisms).run()
        by_second = result.in_time_by_second()
        rows.append(Row(policy.name, seed, result.figures(), by_second))
        on_simulated()
    return rows


def table(rows: Sequence[Row]) -> str:
    """Format the means over the seeds; ``+-`` is the deviation of ``worth``."""
    lines = [
        "policy                seeds " + " ".join(f"{n:>13}" for n in TABLE_FIGURES)
    ]
    for name in dict.fromkeys(row.policy for row in rows):
        group = [row.figures for row in rows if row.policy == name]
        cells = [f"{_mean(group, figure):13.3f}" for figure in TABLE_FIGURES]
        worths = [figures["worth"] for figures in group]
        spread = statistics.stdev(worths) if len(worths) > 1 else 0.0
        lines.append(f"{name:<21} {len(group):5} {' '.join(cells)}  +-{spread:.3f}")
    return "\n".join(lines)


def _mean(group: Sequence[dict[str, float]], figure: str) -> float:
    return statistics.fmean(figures[figure] for figures in group)


def broken_expectations(
    experiment: Experiment,
    rows: Sequence[Row],
) -> list[str]:
    """Return a message for each bound that a mean violates."""
    broken = []
    for expected in experiment.expectations:
        group = [row.figures for row in rows if row.policy == expected.policy]
        if not group:
            continue
        mean = _mean(group, expected.figure)
        measured = f"{expected.policy}: {expected.figure} is {mean:.3f}"
        if expected.least is not None and mean < expected.least:
            broken.append(f"{measured}, expected at least {expected.least}")
        if expected.most is not None and mean > expected.most:
            broken.append(f"{measured}, expected at most {expected.most}")
    return broken


def write_csv(rows: Sequence[Row], path: Path) -> None:
    """Write one line for each simulation."""
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        names = list(rows[0].figures) if rows else []
        writer.writerow(["policy", "seed", *names])
        for row in rows:
            figures = (f"{row.figures[name]:.6g}" for name in names)
            writer.writerow([row.policy, row.seed, *figures])


def draw(rows: Sequence[Row], path: Path) -> None:
    """Plot the share in time over time for each policy; needs matplotlib."""
    with axes_saved_to(
        path,
        x_label="simulated time in s",
        y_label="share in time",
    ) as axes:
        for name in dict.fromkeys(row.policy for row in rows):
            group = [dict(row.in_time_by_second) for row in rows if row.policy == name]
            seconds = sorted({second for shares in group for second in shares})
            means = [
                statistics.fmean(shares[second] for shares in group if second in shares)
                for second in seconds
            ]
            axes.plot(seconds, means, label=name)
        axes.set_ylim(0.0, 1.0)
