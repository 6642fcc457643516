"""The process of an entry VM on the routed interface: options, signals, exit code.

``python -m bamboovale.routed_vm`` is ``bamboovale gateway`` with options from
environment variables only. It does not import the command line, to start faster.
"""

import asyncio
import os
import signal
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from result import Err, Ok, Result

from bamboovale import event_loop
from bamboovale.decisions.mechanisms import Mechanism, Mechanisms
from bamboovale.errors import Finding
from bamboovale.gateway.journal import Journal, configure_journal
from bamboovale.gateway.vm import GatewayVM
from bamboovale.metrics import Metrics
from bamboovale.platform.node_file import NodeSettings
from bamboovale.platform.translation import PlatformTranslation
from bamboovale.process_memory import return_large_blocks
from bamboovale.status import ExitStatus

NODE_FILE = "BAMBOOVALE_NODE_FILE"
PEER_KEY = "BAMBOOVALE_PEER_KEY"
METRICS_PORT = "BAMBOOVALE_METRICS_PORT"
WITHOUT = "BAMBOOVALE_WITHOUT"
SHARED_PLACES = "BAMBOOVALE_SHARED_PLACES"
ON, OFF = "on", "off"
DEFAULT_METRICS_PORT = 9464
MAX_PORT = 65535


@dataclass(frozen=True)
class ProcessOptions:
    """The validated options of the process.

    ``node_file`` is read again when it changes; ``metrics_port`` 0 is any free port.
    """

    node: NodeSettings
    node_file: Path
    peer_key: str
    metrics_port: int
    mechanisms: Mechanisms
    shares_places: bool = False

    @classmethod
    def from_environment(
        cls,
        environ: Mapping[str, str],
    ) -> "Result[ProcessOptions, list[Finding]]":
        """Read the options from environment variables; returns all findings."""
        port = environ.get(METRICS_PORT, str(DEFAULT_METRICS_PORT))
        return cls.from_values(
            node_file=environ.get(NODE_FILE, ""),
            peer_key=environ.get(PEER_KEY, ""),
            metrics_port=int(port) if port.isdecimal() else -1,
            without=environ.get(WITHOUT, ""),
            shared_places=environ.get(SHARED_PLACES, OFF),
        )

    @classmethod
    def from_values(
        cls,
        *,
        node_file: str,
        peer_key: str,
        metrics_port: int,
        without: str,
        shared_places: str = OFF,
    ) -> "Result[ProcessOptions, list[Finding]]":
        """Validate the options; ``without`` is a comma-separated list of mechanisms.

        ``shared_places`` is ``on`` or ``off``.
        """
        names = [name.strip() for name in without.split(",") if name.strip()]
        findings = _unknown_mechanisms(names)
        if not 0 <= metrics_port <= MAX_PORT:
            findings.append(Finding("metrics-port", "a port is expected, 0 to 65535"))
        if shared_places not in (ON, OFF):
            findings.append(Finding("shared-places", "on or off is expected"))
        node = _read_node_file(node_file)
        if isinstance(node, Err):
            return Err([*node.err_value, *findings])
        if findings:
            return Err(findings)
        return Ok(
            cls(
                node=node.ok_value,
                node_file=Path(node_file),
                peer_key=peer_key,
                metrics_port=metrics_port,
                mechanisms=Mechanisms.without(names),
                shares_places=shared_places == ON,
            )
        )


def _read_node_file(path: str) -> "Result[NodeSettings, list[Finding]]":
    if not path:
        return Err([Finding("node-file", "a settings file is required")])
    return NodeSettings.from_file(Path(path))


def _unknown_mechanisms(names: list[str]) -> list[Finding]:
    known = [mechanism.value for mechanism in Mechanism]
    return [
        Finding("without", f"{name} is none of {', '.join(known)}")
        for name in names
        if name not in known
    ]


async def serve(options: ProcessOptions) -> ExitStatus:
    """Run the VM until a signal stops it and it has drained."""
    return_large_blocks()
    configure_journal()
    journal = Journal(options.node.name)
    vm = GatewayVM(
        PlatformTranslation(options.node),
        Metrics(),
        journal,
        options.peer_key,
        options.metrics_port,
        lambda: NodeSettings.from_file(options.node_file),
        options.mechanisms,
        shares_places=options.shares_places,
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


def main() -> ExitStatus:
    """Run an entry VM with the options in environment variables."""
    options = ProcessOptions.from_environment(os.environ)
    if isinstance(options, Err):
        for finding in options.err_value:
            sys.stderr.write(f"{finding.place}: {finding.message}\n")
        return ExitStatus.SETTINGS_INVALID
    return event_loop.run(serve(options.ok_value))


if __name__ == "__main__":
    sys.exit(main())
