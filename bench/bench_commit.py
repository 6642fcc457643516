"""Describe the commit and the machine load of a run."""

import os
import subprocess


def read_commit() -> str:
    """Return the abbreviated commit, marked ``-dirty`` if the worktree differs."""
    git = ["git", "describe", "--always", "--dirty"]
    result = subprocess.run(git, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "unknown"


def read_load_average() -> str:
    """Return the one-minute load average and the number of cores."""
    return f"{os.getloadavg()[0]:.1f} on {os.cpu_count()} cores"
