"""The command tree; each command's module is imported only when the command runs.

Lazy imports shorten the restart of an entry VM.
"""

import importlib
from dataclasses import dataclass

import click
import typer
from typer.core import TyperGroup

from bamboovale import __version__


@dataclass(frozen=True)
class CommandLocation:
    """Module and name of a command's function or of a command group's Typer app."""

    module: str
    name: str

    def load(self) -> click.Command:
        """Import the module and return its command."""
        found = getattr(importlib.import_module(self.module), self.name)
        if isinstance(found, typer.Typer):
            return typer.main.get_command(found)
        single = typer.Typer(add_completion=False, rich_markup_mode=None)
        single.command()(found)
        return typer.main.get_command(single)


LOCATION_BY_COMMAND = {
    "entry": CommandLocation("bamboovale.cli.entry", "entry"),
    "gateway": CommandLocation("bamboovale.cli.gateway", "gateway"),
    "report": CommandLocation("bamboovale.cli.report", "report"),
    "check-settings": CommandLocation("bamboovale.cli.entry", "check_settings"),
    "state": CommandLocation("bamboovale.cli.entry", "state"),
    "settings-table": CommandLocation(
        "bamboovale.cli.settings_table", "settings_table"
    ),
    "experiment": CommandLocation("bamboovale.cli.experiment", "experiment"),
    "standin": CommandLocation("bamboovale.cli.standin", "app"),
    "catalogue": CommandLocation("bamboovale.cli.catalogue", "app"),
}


class LazyGroup(TyperGroup):
    """Command group that imports a command's module on first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return all command names, in the order of the help."""
        return [*super().list_commands(ctx), *LOCATION_BY_COMMAND]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command by name, None if it does not exist."""
        location = LOCATION_BY_COMMAND.get(cmd_name)
        if location is None:
            return super().get_command(ctx, cmd_name)
        command = location.load()
        command.name = cmd_name
        return command


app = typer.Typer(
    name="bamboovale",
    cls=LazyGroup,
    help="Serve very many LoRA adapters on a few shared model engines.",
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,  # plain help, not truncated in narrow terminals
    pretty_exceptions_enable=False,  # a traceback must not show tokens in locals
)


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@app.callback()
def root() -> None:
    """Serve very many LoRA adapters on a few shared model engines."""
