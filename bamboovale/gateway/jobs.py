"""The background tasks of one VM."""

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any

from bamboovale.gateway.journal import Journal


class Jobs:
    """Runs tasks until they are cancelled; one that fails is logged."""

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, jobs: Iterable[Coroutine[Any, Any, None]]) -> None:
        """Run each of the jobs as a task."""
        for job in jobs:
            task = asyncio.get_running_loop().create_task(self._guard(job))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def _guard(self, job: Coroutine[Any, Any, None]) -> None:
        """Log an exception that ends a task; the other tasks go on."""
        try:
            await job
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._journal.write("task_failed", job=str(job), error=repr(error))
            raise
