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
