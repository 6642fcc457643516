"""Processes started for tests and measurements."""

import pytest

from bench import processes
from bench.processes import find_free_port, find_free_ports


class TestFreePorts:
    """Choice of the ports of one process."""

    def test_all_ports_are_different(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against an entry VM that exits because two ports are the same."""
        first, second = find_free_port("127.0.0.1"), 0
        while second in (0, first):
            second = find_free_port("127.0.0.1")
        choices = iter([first, first, second])
        monkeypatch.setattr(processes.random, "choice", lambda ports: next(choices))
        assert find_free_ports("127.0.0.1", 2) == [first, second]
