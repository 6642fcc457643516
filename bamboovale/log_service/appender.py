"""Appends to the log on background threads, with metrics of their outcomes."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from result import Ok, Result

from bamboovale.environment import Environment
from bamboovale.log_service.log_client import LogClient, LogFailure

APPEND_THREADS = 2
"""More than one, so that a slow append does not delay the next one."""


class Appender:
    """Appends records of one stream in the background."""

    def __init__(
        self,
        environment: Environment,
        log: LogClient,
        stream: str,
    ) -> None:
        self._environment = environment
        self._log = log
        self._stream = stream
        self._executor = ThreadPoolExecutor(
            APPEND_THREADS,
            thread_name_prefix=f"append-{stream}",
        )

    def append(
        self,
        value: Any,
        on_end: Callable[[Result[int, LogFailure]], None] | None = None,
    ) -> None:
        """Queue an append; ``on_end`` is called on the appending thread."""
        self._executor.submit(self._append, value, on_end)

    def append_now(self, value: Any) -> Result[int, LogFailure]:
        """Append on the calling thread."""
        result = self._log.append(self._stream, value)
        self._environment.metrics.log_appends.labels(
            stream=self._stream,
            outcome=_outcome(result),
        ).inc()
        return result

    def stop(self) -> None:
        """Stop after the queued appends."""
        self._executor.shutdown(wait=True)

    def _append(
        self,
        value: Any,
        on_end: Callable[[Result[int, LogFailure]], None] | None,
    ) -> None:
        result = self.append_now(value)
        if on_end is not None:
            on_end(result)


def _outcome(result: Result[int, LogFailure]) -> str:
    if isinstance(result, Ok):
        return "ok"
    return "unknown" if result.err_value.may_have_taken_effect else "refused"
