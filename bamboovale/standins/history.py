"""The event history that a stand-in records for tests to check."""

import threading
import time
from collections import deque
from itertools import islice
from typing import Any

# Bounds the memory of a long-running stand-in.
EVENTS_KEPT = 200_000


class History:
    """Events in order of occurrence, each with its index and wall-clock time.

    Only the last ``kept`` events are stored: the index of the first event returned
    shows a reader whether it has missed any.
    """

    def __init__(self, kept: int = EVENTS_KEPT) -> None:
        self._lock = threading.Lock()
        self._events: deque[dict[str, Any]] = deque(maxlen=kept)
        self._next = 0

    def record(self, event: str, **fields: Any) -> None:
        """Append an event."""
        with self._lock:
            entry = {"index": self._next, "time": time.time(), "event": event}
            entry.update(fields)
            self._events.append(entry)
            self._next += 1

    def read(self, start: int = 0, limit: int | None = None) -> list[dict[str, Any]]:
        """Return up to ``limit`` stored events from index ``start`` on."""
        with self._lock:
            first = self._next - len(self._events)
            skipped = max(start - first, 0)
            stop = None if limit is None else skipped + limit
            return list(islice(self._events, skipped, stop))
