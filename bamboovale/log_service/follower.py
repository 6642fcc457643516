"""Follows one stream of the log and hands what it reads to the stream's owner."""

import threading
from collections.abc import Callable

from result import Ok

from bamboovale.environment import Environment
from bamboovale.log_service.log_client import (
    MAX_RECORDS_PER_READ,
    LogClient,
    RecordBatch,
)

WAIT_S = 2.0
"""Length of one long poll; an idle stream costs one call in two seconds."""

SHORTEST_BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 1.0
"""A log that is back is found again within a second."""

SILENT_AFTER_S = 3.0
"""Without a successful read for this long the log counts as unreachable from here:
a long poll and its slack have passed."""


class LogHealth:
    """When the log last answered; shared by the followers of all streams."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._answered_at = float("-inf")
        self._recovered_at = float("-inf")

    def on_success(self) -> None:
        """Note a successful read."""
        now = self._now()
        if now - self._answered_at > SILENT_AFTER_S:
            self._recovered_at = now
        self._answered_at = now

    @property
    def reachable(self) -> bool:
        """Tell whether the log answered lately."""
        return self._now() - self._answered_at <= SILENT_AFTER_S

    @property
    def recovered_at(self) -> float:
        """Return the end of the last silence."""
        return self._recovered_at


class StreamFollower:
    """A thread that reads a stream for ever, from its beginning.

    With ``max_backlog`` it begins at most that many records before the stream's end.
    ``pace_s`` is a pause after each read that brought records: on a stream to which
    every entry VM appends, each append would otherwise cost every VM a call.
    ``limit`` bounds the records of one read.
    """

    def __init__(
        self,
        environment: Environment,
        log: LogClient,
        health: LogHealth,
        stream: str,
        on_batch: Callable[[RecordBatch, float], None],
        max_backlog: int | None = None,
        pace_s: float = 0.0,
        limit: int = MAX_RECORDS_PER_READ,
    ) -> None:
        self._environment = environment
        self._log = log
        self._health = health
        self._stream = stream
        self._on_batch = on_batch
        self._next = 0
        self._max_backlog = max_backlog
        self._pace_s = pace_s
        self._limit = limit
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name=f"follow-{stream}",
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after its current poll."""
        self._stopped.set()

    def seek(self, offset: int) -> None:
        """Read on from another offset: what lies before came from a snapshot."""
        self._next = offset

    def _run(self) -> None:
        backoff_s = SHORTEST_BACKOFF_S
        reads = self._environment.metrics.log_reads
        while not self._stopped.is_set():
            answer = self._log.read(
                self._stream,
                self._next,
                WAIT_S,
                self._limit,
            )
            if isinstance(answer, Ok):
                reads.labels(stream=self._stream, outcome="ok").inc()
                backoff_s = SHORTEST_BACKOFF_S
                self._take(answer.ok_value)
                if answer.ok_value.records:
                    self._stopped.wait(self._pace_s)
                continue
            reads.labels(stream=self._stream, outcome="failed").inc()
            self._stopped.wait(backoff_s)
            backoff_s = min(2 * backoff_s, LONGEST_BACKOFF_S)

    def _skip_to_start(self, batch: RecordBatch) -> bool:
        """Skip what lies too far behind, once; the batch is then not handed on."""
        behind, self._max_backlog = self._max_backlog, None
        if behind is None or batch.end - behind <= batch.first:
            return False
        self._next = batch.end - behind
        return True

    def _take(self, batch: RecordBatch) -> None:
        self._health.on_success()
        if self._skip_to_start(batch):
            return
        if batch.records:
            self._next = batch.records[-1].offset + 1
        elif batch.first > self._next:
            self._next = batch.first
        self._on_batch(batch, self._environment.now())
