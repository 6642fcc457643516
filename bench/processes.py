"""Starts the programs of the bench as processes, and free ports for them."""

import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

PROGRAM = (sys.executable, "-m", "bamboovale")
START_TIMEOUT_S = 20.0
POLL_S = 0.02
LISTENING_PORTS = range(20_000, 32_000)
LISTENING_PREFIX = "listening on "


class StartError(Exception):
    """A process exited or did not become ready in time."""


@dataclass
class Process:
    """One process; its output goes to a file."""

    name: str
    popen: subprocess.Popen[bytes]
    output: Path

    @classmethod
    def start(
        cls,
        name: str,
        arguments: Sequence[str],
        directory: Path,
        program: Sequence[str] = PROGRAM,
    ) -> "Process":
        """Start the program with these arguments."""
        output = directory / f"{name}.out"
        with output.open("wb") as file:
            popen = subprocess.Popen(
                [*program, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
            )
        return cls(name, popen, output)

    def wait_for_address(self) -> str:
        """Return the HOST:PORT that a stand-in prints when it listens."""
        return self.wait_for_line(LISTENING_PREFIX)

    def wait_for_line(self, prefix: str) -> str:
        """Return the rest of the first output line that starts with the prefix.

        Raises StartError if the process exits or does not print it in time.
        """
        for _ in poll_until_timeout(
            START_TIMEOUT_S, f"{self.name} did not print {prefix!r}"
        ):
            self.raise_if_ended()
            for line in self.output.read_text(errors="replace").splitlines():
                if line.startswith(prefix):
                    return line.removeprefix(prefix).strip()
        raise AssertionError("unreachable")

    def raise_if_ended(self) -> None:
        """Raise StartError with the end of the output if the process exited."""
        if self.popen.poll() is not None:
            tail = self.output.read_text(errors="replace")[-2000:]
            raise StartError(f"{self.name} exited {self.popen.returncode}:\n{tail}")

    @property
    def is_running(self) -> bool:
        """Tell whether the process is running."""
        return self.popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process, even a suspended one, and wait for its exit."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def terminate(self, timeout_s: float) -> int:
        """Send SIGTERM; return the exit code, or raise TimeoutExpired."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(timeout_s)


def poll_until_timeout(timeout_s: float, message: str) -> Iterator[float]:
    """Yield the seconds waited at each poll; raise StartError after the timeout."""
    started = time.monotonic()
    while (waited := time.monotonic() - started) < timeout_s:
        yield waited
        time.sleep(POLL_S)
    raise StartError(message)


def find_free_port(address: str) -> int:
    """Return a port of this address that nothing listens on.

    It lies below the system's range for outgoing connections; a connection could take
    a port of that range before the process listens on it.
    """
    while True:
        port = random.choice(LISTENING_PORTS)
        with contextlib.closing(socket.socket()) as probe, contextlib.suppress(OSError):
            probe.bind((address, port))
            return port


def find_free_ports(address: str, count: int) -> list[int]:
    """Return different ports of this address that nothing listens on.

    Guards against a process that exits because it got one port for two uses.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = find_free_port(address)
        if port not in ports:
            ports.append(port)
    return ports


def loopback_prefix() -> str:
    """Return the first three bytes of the loopback addresses of this process.

    Test workers run clusters concurrently; on shared addresses another worker could
    take a port between its choice and its use.
    """
    process_id = os.getpid()
    return f"127.{1 + process_id // 250 % 250}.{1 + process_id % 250}"


def count_children() -> int:
    """Return the number of child processes, including zombies."""
    children = Path(f"/proc/{os.getpid()}/task/{os.getpid()}/children")
    return len(children.read_text().split())
