"""The command line, run as a subprocess."""

import subprocess
import sys


class TestVersion:
    """``bamboovale version``."""

    def test_prints_a_version(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "bamboovale", "version"],
            capture_output=True,
            text=True,
            check=True,
        )
        assert done.stdout.strip() == "0.1.0"
