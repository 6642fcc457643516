"""``make demo`` as a process, with short phases."""

import re
import subprocess
import sys

import pytest

LAST_LINE = re.compile(
    r"demo: sent=(\d+) answered=(\d+) not_run=(\d+) unknown=(\d+)"
    r" wrong=0 doubled=0 lost=0"
)


@pytest.mark.xdist_group("demo")
class TestDemo:
    """A demo run with a version change, a kill, a crash and a planned stop."""

    def test_nothing_is_wrong_doubled_or_lost(self) -> None:
        """Guards against lost, doubled or wrong answers while VMs and engines fail.

        Only requests whose connection ended may have an unknown outcome.
        """
        done = subprocess.run(
            [sys.executable, "-m", "bench.demo", "--phase-s", "2"],
            capture_output=True,
            text=True,
            check=False,
            timeout=90,
        )
        assert done.returncode == 0, done.stdout + done.stderr
        lines = done.stdout.splitlines()
        assert "processes left: 0" in lines
        last = LAST_LINE.fullmatch(lines[-1])
        assert last is not None, done.stdout
        sent, answered, not_run, unknown = map(int, last.groups())
        assert sent == answered + not_run + unknown
        assert answered > 100
