"""Starts programs of the bench as processes and ends each by its own id."""

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
    """A process ended or stayed silent instead of becoming ready."""


@dataclass
class Process:
    """One process; its output goes to a file that is kept for the reader."""

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
        """Return the HOST:PORT that a stand-in prints in its first line."""
        return self.wait_for_line(LISTENING_PREFIX)

    def wait_for_line(self, prefix: str) -> str:
        """Return the rest of the first line that begins so."""
        for _ in waiting(START_TIMEOUT_S, f"{self.name} did not print {prefix!r}"):
            self.raise_if_ended()
            for line in self.output.read_text(errors="replace").splitlines():
                if line.startswith(prefix):
                    return line.removeprefix(prefix).strip()
        raise AssertionError("unreachable")

    def raise_if_ended(self) -> None:
        """Raise with the end of its output if the process ended."""
        if self.popen.poll() is not None:
            tail = self.output.read_text(errors="replace")[-2000:]
            raise StartError(f"{self.name} exited {self.popen.returncode}:\n{tail}")

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.is_running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process, also a frozen one, and wait for its end."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def terminate(self, timeout_s: float) -> int:
        """Ask the process to stop; return its exit code, or raise TimeoutExpired."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(timeout_s)


def waiting(timeout_s: float, complaint: str) -> Iterator[float]:
    """Yield the time waited until the loop is left; raise StartError at the end."""
    started = time.monotonic()
    while (waited := time.monotonic() - started) < timeout_s:
        yield waited
        time.sleep(POLL_S)
    raise StartError(complaint)


def find_free_port(address: str) -> int:
    """Return a port of this address that nothing listens on.

    It lies below the range from which the system takes ports of outgoing connections:
    one from within could be taken by a connection before the process listens on it.
    """
    while True:
        port = random.choice(LISTENING_PORTS)
        with contextlib.closing(socket.socket()) as probe, contextlib.suppress(OSError):
            probe.bind((address, port))
            return port


def find_free_ports(address: str, count: int) -> list[int]:
    """Return different ports of this address that nothing listens on.

    Guards against a process that is given the same port for two uses: it ends at once,
    about once in some thousand starts.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = find_free_port(address)
        if port not in ports:
            ports.append(port)
    return ports


def own_network() -> str:
    """Return the first three bytes of loopback addresses for this process alone.

    Clusters of test workers run side by side; on shared addresses their ports would
    collide between the choice of a port and its use.
    """
    process_id = os.getpid()
    return f"127.{1 + process_id // 250 % 250}.{1 + process_id % 250}"


def count_children() -> int:
    """Return how many child processes this process has, ended ones included."""
    children = Path(f"/proc/{os.getpid()}/task/{os.getpid()}/children")
    return len(children.read_text().split())
