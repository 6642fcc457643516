"""``bamboovale gateway``: an entry VM on the routed interface."""

import asyncio
import os
import signal
from pathlib import Path
from typing import Annotated

import typer
from result import Err

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
    check: Annotated[
        bool,
        typer.Option("--check", help="Check the settings and end."),
    ] = False,
) -> None:
    """Run an entry VM on the users' platform; SIGTERM drains it first."""
    from bamboovale.platform.node_file import NodeSettings

    if node_file is None:
        typer.echo("node-file: a settings file is required", err=True)
        raise typer.Exit(ExitStatus.SETTINGS_INVALID)
    checked = NodeSettings.from_file(node_file)
    if isinstance(checked, Err):
        for finding in checked.err_value:
            typer.echo(f"{finding.place}: {finding.message}", err=True)
        raise typer.Exit(ExitStatus.SETTINGS_INVALID)
    mechanisms = _mechanisms_without(without)
    if check:
        typer.echo(f"{node_file}: settings of {checked.ok_value.name} are valid")
        return
    status = asyncio.run(
        _run(checked.ok_value, node_file, peer_key, metrics_port, mechanisms)
    )
    raise typer.Exit(status)


def _mechanisms_without(names: str) -> "object":
    """Return the mechanisms that are on; ends with every name that is none."""
    from bamboovale.decisions.mechanisms import Mechanism, Mechanisms

    named = [name.strip() for name in names.split(",") if name.strip()]
    known = [mechanism.value for mechanism in Mechanism]
    unknown = [name for name in named if name not in known]
    for name in unknown:
        typer.echo(f"without: {name} is none of {', '.join(known)}", err=True)
    if unknown:
        raise typer.Exit(ExitStatus.SETTINGS_INVALID)
    return Mechanisms.without(named)


async def _run(
    node: "object",
    node_file: Path,
    peer_key: str,
    metrics_port: int,
    mechanisms: "object",
) -> ExitStatus:
    # Imported late: the other commands start without the server's libraries.
    from bamboovale.decisions.mechanisms import Mechanisms
    from bamboovale.gateway.journal import Journal, configure_journal
    from bamboovale.gateway.vm import GatewayVM
    from bamboovale.metrics import Metrics
    from bamboovale.platform.node_file import NodeSettings
    from bamboovale.platform.translation import PlatformTranslation

    assert isinstance(node, NodeSettings)
    assert isinstance(mechanisms, Mechanisms)
    configure_journal()
    journal = Journal(node.name)
    vm = GatewayVM(
        PlatformTranslation(node),
        Metrics(),
        journal,
        peer_key,
        metrics_port,
        lambda: NodeSettings.from_file(node_file),
        mechanisms,
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, vm.stop)
    loop.add_signal_handler(signal.SIGINT, vm.stop)
    loop.add_signal_handler(signal.SIGHUP, vm.reload)
    try:
        await vm.run()
    except OSError as error:
        journal.write("cannot_start", error=str(error), pid=os.getpid())
        return ExitStatus.UNAVAILABLE
    return ExitStatus.SUCCESS
