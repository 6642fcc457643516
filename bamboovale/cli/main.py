"""The command tree: each command group lives in a module of its own."""

import typer

from bamboovale import __version__

app = typer.Typer(
    name="bamboovale",
    help="Serve very many LoRA adapters on a few shared model engines.",
    no_args_is_help=True,
    add_completion=False,
)


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@app.callback()
def root() -> None:
    """Serve very many LoRA adapters on a few shared model engines."""
