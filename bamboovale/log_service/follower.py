"""Follows a stream of the log and passes its records to a callback."""

import threading
from collections.abc import Callable

from result import Ok

from bamboovale.environment import Environment
from bamboovale.log_service.log_client import (
    MAX_RECORDS_PER_READ,
    LogClient,
    RecordBatch,
)

LONG_POLL_S = 2.0

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Bounds the time until a recovered log is detected."""

UNREACHABLE_AFTER_S = 3.0
"""Without a successful read for this long the log is unreachable from this VM; longer
than a long poll."""


class LogHealth:
    """When the log last answered; shared by the followers of all streams.

    Times are on the monotonic clock ``now``.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._last_success_at = float("-inf")
        self._recovered_at = float("-inf")

    def on_success(self) -> None:
        """Record a successful read."""
        now = self._now()
        if now - self._last_success_at > UNREACHABLE_AFTER_S:
            self._recovered_at = now
        self._last_success_at = now

    @property
    def reachable(self) -> bool:
        """Return whether the log answered recently."""
        return self._now() - self._last_success_at <= UNREACHABLE_AFTER_S

    @property
    def recovered_at(self) -> float:
        """Return when the log last became reachable after an outage."""
        return self._recovered_at


class StreamFollower:
    """A thread that reads a stream continuously, from its beginning.

    With ``max_backlog`` it starts at most that many records before the stream's end.
    ``pace_s`` is a pause after each read that returned records, so that reads are
    batched: otherwise each append of any entry VM would cost every VM a call.
    ``limit`` bounds the records of one read.

    A log that ends before what was read has lost records, and gives their offsets out
    again. Its answers count as failures from then on, as in an outage: what was read
    stays, and no record is taken for another. A VM that starts reads all anew.
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
        self._has_gone_back = False
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
        """Continue reading at another offset."""
        self._next = offset

    def _run(self) -> None:
        backoff_s = MIN_BACKOFF_S
        reads = self._environment.metrics.log_reads
        while not self._stopped.is_set():
            answer = self._log.read(
                self._stream,
                self._next,
                LONG_POLL_S,
                self._limit,
            )
            if isinstance(answer, Ok) and self._is_continuous(answer.ok_value):
                reads.labels(stream=self._stream, outcome="ok").inc()
                backoff_s = MIN_BACKOFF_S
                self._on_read(answer.ok_value)
                if answer.ok_value.records:
                    self._stopped.wait(self._pace_s)
                continue
            outcome = "went_back" if self._has_gone_back else "failed"
            reads.labels(stream=self._stream, outcome=outcome).inc()
            self._stopped.wait(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _is_continuous(self, batch: RecordBatch) -> bool:
        """Return whether the log has all along held what was read of it."""
        if batch.end < self._next and not self._has_gone_back:
            self._has_gone_back = True
            self._environment.logger.error(
                "stream %s went back from offset %d to %d; restart the entry VMs",
                self._stream,
                self._next,
                batch.end,
            )
        return not self._has_gone_back

    def _skip_to_start(self, batch: RecordBatch) -> bool:
        """Skip records beyond the maximum backlog, once; return True if any.

        The batch must then be discarded.
        """
        behind, self._max_backlog = self._max_backlog, None
        if behind is None or batch.end - behind <= batch.first:
            return False
        self._next = batch.end - behind
        return True

    def _on_read(self, batch: RecordBatch) -> None:
        self._health.on_success()
        if self._skip_to_start(batch):
            return
        if batch.records:
            self._next = batch.records[-1].offset + 1
        elif batch.first > self._next:
            self._next = batch.first
        self._on_batch(batch, self._environment.now())
