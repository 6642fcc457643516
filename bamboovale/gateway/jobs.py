"""The background tasks of one VM, which run again after an error.

Guards against a VM that says it is ready while a part of it has ended.
"""

import asyncio
import time
import traceback
from collections.abc import Callable, Coroutine, Mapping
from pathlib import Path
from typing import Any

from bamboovale.errors import describe
from bamboovale.gateway.journal import Journal

FIRST_PAUSE_S = 0.1
LAST_PAUSE_S = 5.0
"""The longest pause before a task runs again; pauses double until then."""
STEADY_S = 30.0
"""A task that ran for longer than this pauses only shortly after its next error."""

Job = Callable[[], Coroutine[Any, Any, None]]
"""Makes a task's coroutine; one that failed cannot be awaited again."""


async def keep_running(
    name: str,
    job: Job,
    journal: Journal,
    on_failed: Callable[[str], None] = lambda name: None,
) -> None:
    """Run a job, and again whenever an error ends it; return once it ends by itself.

    ``on_failed`` is called with the name after each error.
    """
    pause_s = FIRST_PAUSE_S
    while True:
        started_at = time.monotonic()
        try:
            await job()
            return
        except Exception as error:
            if time.monotonic() - started_at > STEADY_S:
                pause_s = FIRST_PAUSE_S
            _log_failure(journal, name, error, pause_s)
            on_failed(name)
        await asyncio.sleep(pause_s)
        pause_s = min(LAST_PAUSE_S, 2 * pause_s)


class Jobs:
    """Runs tasks until they are cancelled; ``on_failed`` as in ``keep_running``."""

    def __init__(
        self, journal: Journal, on_failed: Callable[[str], None] = lambda name: None
    ) -> None:
        self._journal = journal
        self._on_failed = on_failed
        self._tasks: set[asyncio.Task[None]] = set()

    def keep(self, jobs: Mapping[str, Job]) -> None:
        """Run each of the jobs, by name, and again whenever an error ends it."""
        for name, job in jobs.items():
            self._run(keep_running(name, job, self._journal, self._on_failed))

    def start(self, name: str, job: Job) -> None:
        """Run a job once; an error is logged."""
        self._run(self._guard(name, job))

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _run(self, job: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, name: str, job: Job) -> None:
        try:
            await job()
        except Exception as error:
            _log_failure(self._journal, name, error, None)
            self._on_failed(name)


def _log_failure(
    journal: Journal, name: str, error: Exception, again_in_s: float | None
) -> None:
    journal.write(
        "task_failed",
        job=name,
        error=describe(error),
        place=_place_of(error),
        again_in_s=again_in_s,
    )


def _place_of(error: Exception) -> str:
    """Return file and line where an error was raised."""
    frame = traceback.extract_tb(error.__traceback__, limit=-1)[-1]
    return f"{Path(frame.filename).name}:{frame.lineno}"
