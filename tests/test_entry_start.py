"""Startup failures of an entry VM."""

import socket
import subprocess
import sys

import pytest

from bamboovale.status import ExitStatus
from bench.processes import find_free_ports

ADDRESS = "127.0.0.1"
USES = ("callers", "admin", "peers")


class TestOccupiedPort:
    """One of the three ports is in use.

    The process must exit and name the port, for example if a second VM is started.
    """

    @pytest.mark.parametrize("use", USES)
    def test_exits_and_names_the_port(self, use: str) -> None:
        *found, unused = find_free_ports(ADDRESS, len(USES) + 1)
        port_by_use = dict(zip(USES, found, strict=True))
        ports = [f"--{name}-port={port}" for name, port in port_by_use.items()]
        unreachable_url = f"http://{ADDRESS}:{unused}"
        with socket.create_server((ADDRESS, port_by_use[use])):
            done = subprocess.run(
                [
                    *(sys.executable, "-m", "bamboovale", "entry"),
                    *("--id=e1", "--failure-domain=muc-a"),
                    *(f"--log={unreachable_url}", f"--vms={unreachable_url}"),
                    *ports,
                ],
                capture_output=True,
                text=True,
                timeout=30,
                check=False,
            )
        printed = done.stdout + done.stderr
        assert done.returncode == ExitStatus.UNAVAILABLE, printed[-1500:]
        assert "cannot start" in printed
        assert str(port_by_use[use]) in printed
        assert "Traceback" not in printed
