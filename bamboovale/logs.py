"""Logging configuration: plain text or one JSON object per line.

Only changes of state are logged; frequent events are counted in metrics.
"""

import json
import logging
import sys
import time
from typing import TextIO

LOGGER_NAME = "bamboovale"

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"


class JSONFormatter(logging.Formatter):
    """Formats a record as a JSON object; ``extra={"fields": {...}}`` adds members."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        members = {
            "time": self._utc(record),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        members.update(getattr(record, "fields", {}))
        if record.exc_info:
            members["exception"] = self.formatException(record.exc_info)
        return json.dumps(members, default=str)

    @staticmethod
    def _utc(record: logging.LogRecord) -> str:
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        return f"{seconds}.{record.msecs:03.0f}Z"


def configure_logs(
    log_format: str,
    log_level: str,
    stream: TextIO | None = None,
) -> None:
    """Write the program's logs to ``stream``, by default standard error."""
    handler = logging.StreamHandler(stream or sys.stderr)
    if log_format == "json":
        handler.setFormatter(JSONFormatter())
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers = [handler]
    logger.setLevel(log_level.upper())
    logger.propagate = False
