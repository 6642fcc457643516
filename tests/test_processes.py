"""Starting processes for tests and measurements."""

import pytest

from bench import processes
from bench.processes import find_free_port, find_free_ports


class TestFreePorts:
    """Ports for the uses of one process."""

    def test_no_port_is_given_out_twice(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A test fails once in a while because an entry VM did not start.

        Its ports were chosen one by one at random; two uses got the same one, and the
        VM ended with ``must differ from admin_port``.
        """
        first, second = find_free_port("127.0.0.1"), 0
        while second in (0, first):
            second = find_free_port("127.0.0.1")
        choices = iter([first, first, second])
        monkeypatch.setattr(processes.random, "choice", lambda ports: next(choices))
        assert find_free_ports("127.0.0.1", 2) == [first, second]
