"""Ports that processes of tests choose for the VMs that they start."""

import subprocess
import sys

CHOOSE = """
from bench import routed
routed._ports = iter(range(17_000, 17_400))
print(*[routed.free_port() for _ in range(20)], flush=True)
input()
"""
PROCESSES = 3


class TestChoice:
    """Several processes that choose at the same time."""

    def test_each_port_is_chosen_once(self) -> None:
        """Guards against a VM that cannot start as another test took its port."""
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", CHOOSE],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(PROCESSES)
        ]
        chosen = [process.stdout.readline().split() for process in processes]
        for process in processes:
            process.communicate("\n")
        ports = [port for line in chosen for port in line]
        assert len(ports) == len(set(ports)) == 20 * PROCESSES
