"""``bamboovale gateway``: an entry VM on the routed interface."""

from pathlib import Path
from typing import Annotated

import typer
from result import Err

from bamboovale import event_loop
from bamboovale.status import ExitStatus


def gateway(
    node_file: Annotated[
        Path | None,
        typer.Option(
            envvar="BAMBOOVALE_NODE_FILE",
            help="Settings file that the platform lays down for this process.",
        ),
    ] = None,
    peer_key: Annotated[
        str,
        typer.Option(
            envvar="BAMBOOVALE_PEER_KEY",
            help="Shared key of all entry VMs; without it only loopback is called.",
        ),
    ] = "",
    metrics_port: Annotated[
        int,
        typer.Option(
            envvar="BAMBOOVALE_METRICS_PORT",
            min=0,
            max=65535,
            help="Port of /metrics and /state; 0 takes a free one.",
        ),
    ] = 9464,
    without: Annotated[
        str,
        typer.Option(
            envvar="BAMBOOVALE_WITHOUT",
            help="Mechanisms to leave out, for experiments: names with commas between.",
        ),
    ] = "",
    shared_places: Annotated[
        str,
        typer.Option(
            envvar="BAMBOOVALE_SHARED_PLACES",
            help="Whether one VM grants places at plain endpoints to all: on or off.",
        ),
    ] = "off",
    check: Annotated[
        bool,
        typer.Option("--check", help="Check the settings and end."),
    ] = False,
) -> None:
    """Run an entry VM on the users' platform; SIGTERM drains it first."""
    # Imported here so that the other commands do not load the server's libraries.
    from bamboovale.routed_vm import ProcessOptions, serve

    options = ProcessOptions.from_values(
        node_file=str(node_file or ""),
        peer_key=peer_key,
        metrics_port=metrics_port,
        without=without,
        shared_places=shared_places,
    )
    if isinstance(options, Err):
        for finding in options.err_value:
            typer.echo(f"{finding.place}: {finding.message}", err=True)
        raise typer.Exit(ExitStatus.SETTINGS_INVALID)
    if check:
        name = options.ok_value.node.name
        typer.echo(f"{node_file}: settings of {name} are valid")
        return
    raise typer.Exit(event_loop.run(serve(options.ok_value)))
