"""Structured log lines that explain requests and state changes.

Each line on standard output is a JSON object. Lines are rate-limited by event name; the
next line that passes reports how many were dropped. Writing never blocks: lines are
dropped and counted if the reader does not keep up.
"""

import json
import logging
import math
import os
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

MAX_LINES_PER_S = 150.0
"""Rate limit of each event name; also bounds the log's bandwidth."""
BURST_LINES = 600.0

JOURNAL_NAME = "bamboovale.journal"

_ENCODER = json.JSONEncoder(default=str, separators=(",", ":"))


def finite_age_s(age_s: float) -> float | None:
    """Return an age in seconds rounded for a log line, None if it is infinite."""
    return round(age_s, 3) if math.isfinite(age_s) else None


class _TokenBucket:
    """A token bucket for the lines of one event name."""

    def __init__(self, now: float) -> None:
        self.left = BURST_LINES
        self.at = now
        self.dropped = 0

    def take(self, now: float) -> bool:
        self.left = min(BURST_LINES, self.left + (now - self.at) * MAX_LINES_PER_S)
        self.at = now
        if self.left < 1.0:
            self.dropped += 1
            return False
        self.left -= 1.0
        return True


class Journal:
    """Writes the log lines of one VM.

    Field ``at`` is the VM's monotonic clock, for measuring durations; ``time`` is its
    wall clock in seconds, which may jump, for merging the lines of several VMs.
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
        self._bucket_by_event: dict[str, _TokenBucket] = {}

    def write(self, event: str, **fields: Any) -> None:
        """Write one line; ``fields`` are a decision and the inputs it was based on."""
        now = self._now()
        bucket = self._bucket_by_event.setdefault(event, _TokenBucket(now))
        if not bucket.take(now):
            return
        if bucket.dropped:
            fields["lines_left_out"] = bucket.dropped
            bucket.dropped = 0
        line = {
            "event": event,
            "vm": self._vm_id,
            "at": round(now, 4),
            "time": round(self._time_of_day(), 3),
            **fields,
        }
        self._logger.info(_ENCODER.encode(line))


class NonBlockingHandler(logging.Handler):
    """Writes lines to a stream's file descriptor; drops them when it is full."""

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
    """Formats journal lines unchanged and other log records as JSON."""

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
    """Install a non-blocking handler for the program's log lines."""
    handler = NonBlockingHandler(stream)
    handler.setFormatter(_LineFormatter())
    logger = logging.getLogger("bamboovale")
    logger.handlers = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return handler
