"""``bamboovale report``: summarises request outcomes from logs of entry VMs."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import typer

from bamboovale.status import ExitStatus


def report(
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs of entry VMs; standard input if none is named."),
    ] = None,
    goal: Annotated[
        float,
        typer.Option(min=0.001, help="Seconds to the first event of a good stream."),
    ] = 1.0,
    plot: Annotated[
        Path | None,
        typer.Option(help="Draw the streams by second (needs matplotlib)."),
    ] = None,
) -> None:
    """Print outcomes, waits, reasons and how full engines were."""
    # Imported here so that the other commands do not load it.
    from bamboovale.report.lines import read_lines
    from bamboovale.report.tables import render
    from bamboovale.report.timeline import draw

    try:
        lines = read_lines(_log_lines(files or []))
        typer.echo(render(lines, goal))
        if plot is not None:
            draw(lines.requests, plot)
    except OSError as error:
        typer.echo(f"{error.filename}: {error.strerror}", err=True)
        raise typer.Exit(ExitStatus.USAGE) from error


def _log_lines(files: list[Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for file in files:
        with file.open(errors="replace") as lines:
            yield from lines
