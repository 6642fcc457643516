"""An experiment: one scenario, several policies and seeds, stated expectations."""

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
from bamboovale.emulator.play import Play
from bamboovale.emulator.scenario import (
    FAULT_KINDS,
    Deployment,
    EngineGroup,
    Fault,
    RequestKind,
    Scenario,
    Tokens,
)
from bamboovale.plotting import axes_saved_to

SHOWN = (
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
"""Figures of the printed table; the CSV has all."""


@dataclass(frozen=True)
class Policy:
    """Mechanisms left out, under a name."""

    name: str
    without: tuple[str, ...] = ()


@dataclass(frozen=True)
class Expectation:
    """What a figure's mean over the seeds must keep to."""

    policy: str
    figure: str
    least: float | None = None
    most: float | None = None


@dataclass(frozen=True)
class Experiment:
    """What is played and expected."""

    scenario: Scenario
    seeds: tuple[int, ...] = (1, 2, 3, 4)
    policies: tuple[Policy, ...] = (Policy("all"),)
    expectations: tuple[Expectation, ...] = ()

    @classmethod
    def from_file(cls, path: Path) -> "Experiment":
        """Read an experiment; raises BadExperimentError with every finding."""
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
        """Return what is wrong beyond the types, each with its place."""
        names = {policy.name for policy in self.policies}
        mechanisms = {mechanism.value for mechanism in Mechanism}
        for number, policy in enumerate(self.policies):
            for name in set(policy.without) - mechanisms:
                yield f"policies[{number}].without: {name} is no mechanism"
        for number, fault in enumerate(self.scenario.faults):
            if fault.kind not in FAULT_KINDS:
                yield f"scenario.faults[{number}].kind: {fault.kind} is none"
        for number, expectation in enumerate(self.expectations):
            if expectation.policy not in names:
                yield f"expectations[{number}].policy: {expectation.policy} is none"
            if expectation.figure not in Result().figures():
                yield f"expectations[{number}].figure: {expectation.figure} is none"
        if not self.scenario.kinds or not self.scenario.deployment.engines:
            yield "scenario: no kinds of requests, or no engines"
        if not self.seeds:
            yield "seeds: none"


for _wanted in (
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
    forbid_unknown_fields(_wanted)


class BadExperimentError(ValueError):
    """A file that is no experiment; ``findings`` name each mistake with its place."""

    def __init__(self, findings: Sequence[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = list(findings)


@dataclass
class Row:
    """One play: its policy, seed and figures."""

    policy: str
    seed: int
    figures: dict[str, float]
    in_time_by_second: list[tuple[float, float]] = field(default_factory=list)


def run_experiment(
    experiment: Experiment,
    on_played: Callable[[], None] = lambda: None,
    share: tuple[int, int] = (1, 1),
) -> list[Row]:
    """Play all policies with all seeds, or every n-th play of them.

    ``share`` (2, 4) is the second of four parts: processes that are started side by
    side each take one.
    """
    part, parts = share
    rows = []
    jobs = [(p, seed) for seed in experiment.seeds for p in experiment.policies]
    for number, (policy, seed) in enumerate(jobs):
        if number % parts != part - 1:
            continue
        mechanisms = Mechanisms.without(policy.without)
        result = Play(experiment.scenario, seed, mechanisms).run()
        by_second = result.in_time_by_second()
        rows.append(Row(policy.name, seed, result.figures(), by_second))
        on_played()
    return rows


def table(rows: Sequence[Row]) -> str:
    """Return means over the seeds, with the spread of the worth, as text."""
    lines = ["policy                seeds " + " ".join(f"{n:>13}" for n in SHOWN)]
    for name in dict.fromkeys(row.policy for row in rows):
        group = [row.figures for row in rows if row.policy == name]
        cells = [f"{_mean(group, figure):13.3f}" for figure in SHOWN]
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
    """Return each expectation that the means do not keep to."""
    broken = []
    for wanted in experiment.expectations:
        group = [row.figures for row in rows if row.policy == wanted.policy]
        if not group:
            continue
        mean = _mean(group, wanted.figure)
        what = f"{wanted.policy}: {wanted.figure} is {mean:.3f}"
        if wanted.least is not None and mean < wanted.least:
            broken.append(f"{what}, expected at least {wanted.least}")
        if wanted.most is not None and mean > wanted.most:
            broken.append(f"{what}, expected at most {wanted.most}")
    return broken


def write_csv(rows: Sequence[Row], path: Path) -> None:
    """Write one line for each play."""
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        names = list(rows[0].figures) if rows else []
        writer.writerow(["policy", "seed", *names])
        for row in rows:
            figures = (f"{row.figures[name]:.6g}" for name in names)
            writer.writerow([row.policy, row.seed, *figures])


def draw(rows: Sequence[Row], path: Path) -> None:
    """Draw the share in time by second for each policy; needs matplotlib."""
    with axes_saved_to(
        path,
        x_label="second of the play",
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
