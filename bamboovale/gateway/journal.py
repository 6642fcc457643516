"""Structured log lines that explain a request or a change of belief afterwards.

One JSON object a line on standard output. Lines of one event are bounded; what
is left out is counted and told by the next line that passes. Writing never blocks: a
reader that does not keep up loses lines, which are counted too.
"""

import json
import logging
import math
import os
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

LINES_PER_S = 150.0
"""For each event name: some 30 KB/s, far above a quiet day's requests of one VM."""
BURST_LINES = 600.0

JOURNAL_NAME = "bamboovale.journal"


def finite_age_s(age_s: float) -> float | None:
    """Return an age in seconds as lines show it, None for what never was."""
    return round(age_s, 3) if math.isfinite(age_s) else None


class _Rate:
    """A token bucket for the lines of one event."""

    def __init__(self, now: float) -> None:
        self.left = BURST_LINES
        self.at = now
        self.dropped = 0

    def take(self, now: float) -> bool:
        self.left = min(BURST_LINES, self.left + (now - self.at) * LINES_PER_S)
        self.at = now
        if self.left < 1.0:
            self.dropped += 1
            return False
        self.left -= 1.0
        return True


class Journal:
    """Writes events of one VM as lines.

    ``at`` is the VM's steady clock, by which spans are measured; ``time`` is its time
    of day in seconds, which may jump, by which lines of several VMs are laid together.
    """

    def __init__(
        self,
        vm_id: str,
        logger: logging.Logger | None = None,
        now: Callable[[], float] = time.monotonic,
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self._vm_id = vm_id
        self._logger = logger or logging.getLogger(JOURNAL_NAME)
        self._now = now
        self._time_of_day = time_of_day
        self._rate_by_event: dict[str, _Rate] = {}

    def write(self, event: str, **fields: Any) -> None:
        """Write one line; ``fields`` say what was decided and from which inputs."""
        now = self._now()
        rate = self._rate_by_event.setdefault(event, _Rate(now))
        if not rate.take(now):
            return
        if rate.dropped:
            fields["lines_left_out"] = rate.dropped
            rate.dropped = 0
        line = {
            "event": event,
            "vm": self._vm_id,
            "at": round(now, 4),
            "time": round(self._time_of_day(), 3),
            **fields,
        }
        self._logger.info(json.dumps(line, default=str, separators=(",", ":")))


class NonBlockingHandler(logging.Handler):
    """Writes lines to a stream's descriptor; drops them when it is full."""

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self._descriptor = stream.fileno()
        self.dropped = 0
        os.set_blocking(self._descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        try:
            data = (self.format(record) + "\n").encode("utf-8", "replace")
            os.write(self._descriptor, data)
        except OSError:
            self.dropped += 1


class _LineFormatter(logging.Formatter):
    """Passes journal lines as they are; wraps other records as JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line of JSON."""
        if record.name == JOURNAL_NAME:
            return record.getMessage()
        line = {
            "event": "log",
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_journal(stream: TextIO = sys.stdout) -> NonBlockingHandler:
    """Send the program's lines to standard output without ever blocking."""
    handler = NonBlockingHandler(stream)
    handler.setFormatter(_LineFormatter())
    logger = logging.getLogger("bamboovale")
    logger.handlers = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return handler
