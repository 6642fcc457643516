"""``bamboovale experiment``: simulates scheduling decisions in virtual time."""

import re
from pathlib import Path
from typing import Annotated

import typer

from bamboovale.status import ExitStatus


def experiment(
    file: Annotated[Path, typer.Argument(help="The experiment, in TOML.")],
    csv: Annotated[
        Path | None,
        typer.Option(help="Write one line for each play."),
    ] = None,
    plot: Annotated[
        Path | None,
        typer.Option(help="Draw the share in time by second (needs matplotlib)."),
    ] = None,
    part: Annotated[
        str,
        typer.Option(help="Play one part only, such as 2/4: for several cores."),
    ] = "1/1",
) -> None:
    """Play an experiment; ends with 1 if a stated expectation fails."""
    from bamboovale.emulator import experiment as experiments

    share = _read_part(part)
    try:
        config = experiments.Experiment.from_file(file)
    except experiments.BadExperimentError as error:
        for finding in error.findings:
            typer.echo(f"{file}: {finding}", err=True)
        raise typer.Exit(ExitStatus.USAGE) from error
    total = len(config.seeds) * len(config.policies) // share[1]
    with typer.progressbar(length=max(1, total), label="plays") as bar:
        rows = experiments.run_experiment(config, lambda: bar.update(1), share)
    typer.echo(experiments.table(rows))
    if csv is not None:
        experiments.write_csv(rows, csv)
    if plot is not None:
        experiments.draw(rows, plot)
    failures = experiments.broken_expectations(config, rows)
    for line in failures:
        typer.echo(line, err=True)
    if failures:
        raise typer.Exit(ExitStatus.ERROR)


def _read_part(text: str) -> tuple[int, int]:
    found = re.fullmatch(r"(\d+)/(\d+)", text)
    if found is None or not 0 < int(found[1]) <= int(found[2]):
        typer.echo(f"part: {text} is no part such as 2/4", err=True)
        raise typer.Exit(ExitStatus.USAGE)
    return int(found[1]), int(found[2])
