"""Names the commit that a run measured."""

import os
import subprocess


def read_commit() -> str:
    """Return the short commit, with a mark if files differ from it."""
    git = ["git", "describe", "--always", "--dirty"]
    result = subprocess.run(git, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "unknown"


def read_load_average() -> str:
    """Return the machine's load average of one minute and its cores."""
    return f"{os.getloadavg()[0]:.1f} on {os.cpu_count()} cores"
