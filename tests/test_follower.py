"""The follower of a log stream."""

import logging
import threading
import time

from result import Ok

from bamboovale.actors import MessageActor, tell_and_wait
from bamboovale.environment import Environment
from bamboovale.log_service.follower import LogHealth, StreamFollower
from bamboovale.log_service.log_client import LogRecord, RecordBatch
from bamboovale.metrics import Metrics


class BusyLog:
    """A stream that gets a new record every millisecond."""

    def __init__(self) -> None:
        self.reads = 0
        self.started_at = time.monotonic()

    def read(self, stream: str, start: int, wait_s: float, limit: int) -> Ok:
        self.reads += 1
        self.limit = limit
        end = int((time.monotonic() - self.started_at) * 1000) + 1
        records = tuple(LogRecord(offset, {}) for offset in range(start, end))
        if not records:
            time.sleep(0.001)
        return Ok(RecordBatch(stream, records, 0, end))


class TestPace:
    """The pause after each read of a busy stream."""

    def test_a_busy_stream_is_read_in_batches_without_losing_any(self) -> None:
        """Guards against one call per append on a stream that many VMs append to."""
        log = BusyLog()
        seen: list[int] = []
        enough = threading.Event()

        def on_batch(batch: RecordBatch, read_at: float) -> None:
            seen.extend(record.offset for record in batch.records)
            if len(seen) >= 500:
                enough.set()

        environment = Environment(None, Metrics(), logging.getLogger("test"))
        follower = StreamFollower(
            environment,
            log,
            LogHealth(time.monotonic),
            "leases",
            on_batch,
            pace_s=0.1,
            limit=250,
        )
        follower.start()
        assert enough.wait(10)
        follower.stop()
        assert log.reads <= 20
        assert log.limit == 250
        assert seen == list(range(len(seen)))


class ShortenedLog:
    """A stream that loses its last records once ten were read, then grows again."""

    def __init__(self) -> None:
        self.end = 10
        self.reads = 0

    def read(self, stream: str, start: int, wait_s: float, limit: int) -> Ok:
        self.reads += 1
        if start == 10:
            self.end = 5 if self.reads < 4 else 20
        records = tuple(LogRecord(offset, {}) for offset in range(start, self.end))
        return Ok(RecordBatch(stream, records, 0, self.end))


class TestShortenedLog:
    """A log that has lost records which were read."""

    def test_it_counts_as_unreachable_and_no_offset_is_read_twice(self) -> None:
        """Guards against new records that are taken for the lost ones."""
        log = ShortenedLog()
        seen: list[int] = []
        metrics = Metrics()
        follower = StreamFollower(
            Environment(None, metrics, logging.getLogger("test")),
            log,
            LogHealth(time.monotonic),
            "leases",
            lambda batch, read_at: seen.extend(r.offset for r in batch.records),
        )
        follower.start()
        deadline = time.monotonic() + 10.0
        while log.reads < 5 and time.monotonic() < deadline:
            time.sleep(0.01)
        follower.stop()
        assert seen == list(range(10))
        went_back = metrics.log_reads.labels(stream="leases", outcome="went_back")
        assert went_back._value.get() >= 3


class SlowActor(MessageActor):
    """An actor that handles each message slowly."""

    def __init__(self) -> None:
        super().__init__(lambda: None)
        self.handle(str, self._on_text)

    def _on_text(self, text: str) -> None:
        time.sleep(0.05)


class TestHandOver:
    """A follower that reads faster than its records are folded."""

    def test_it_waits_for_the_actor(self) -> None:
        """Guards against many parsed records queued in the actor's mailbox."""
        actor = SlowActor.start()
        started = time.monotonic()
        for _ in range(3):
            tell_and_wait(actor, "edit")
        assert time.monotonic() - started >= 0.15
        actor.stop()

    def test_a_stopped_actor_ends_the_wait(self) -> None:
        actor = SlowActor.start()
        actor.stop()
        tell_and_wait(actor, "edit")
