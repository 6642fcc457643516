"""Runs an entry VM until SIGTERM or SIGINT."""

import signal
import threading

from bamboovale.entry.vm import EntryVM
from bamboovale.environment import Environment
from bamboovale.settings import Settings
from bamboovale.status import ExitStatus

STACK_BYTES = 512 * 1024
"""Stack size of each thread; limits the memory of hundreds of threads."""


def run_entry(settings: Settings) -> ExitStatus:
    """Run an entry VM until it is stopped; return the exit status."""
    threading.stack_size(STACK_BYTES)
    environment = Environment.from_settings(settings)
    stopping = _stop_signals()
    vm = EntryVM(environment)
    try:
        vm.start()
    except OSError as error:
        environment.logger.error("cannot start: %s", error)
        vm.stop()
        return ExitStatus.UNAVAILABLE
    environment.logger.info("entry VM %s started", settings.id)
    stopping.wait()
    drained = vm.drain()
    vm.stop()
    environment.logger.info("entry VM %s stopped", settings.id)
    return ExitStatus.SUCCESS if drained else ExitStatus.TIMEOUT


def _stop_signals() -> threading.Event:
    """Return an event that is set on SIGTERM or SIGINT."""
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    return stopping
