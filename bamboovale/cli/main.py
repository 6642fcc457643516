"""The command tree: each command group lives in a module of its own."""

import typer

from bamboovale import __version__
from bamboovale.cli import (
    catalogue,
    entry,
    gateway,
    report,
    settings_table,
    standin,
)

app = typer.Typer(
    name="bamboovale",
    help="Serve very many LoRA adapters on a few shared model engines.",
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,  # plain help: nothing is cut off in a narrow terminal
    pretty_exceptions_enable=False,  # a traceback must not show tokens in locals
)
app.add_typer(standin.app, name="standin")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


app.command("entry")(entry.entry)
app.command("gateway")(gateway.gateway)
app.command("report")(report.report)
app.command("check-settings")(entry.check_settings)
app.command("state")(entry.state)
app.command("settings-table")(settings_table.settings_table)
app.add_typer(catalogue.app, name="catalogue")


@app.callback()
def root() -> None:
    """Serve very many LoRA adapters on a few shared model engines."""
