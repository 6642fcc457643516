"""Following a stream of the log."""

import logging
import threading
import time

from result import Ok

from bamboovale.actors import MessageActor, hand_over
from bamboovale.environment import Environment
from bamboovale.log_service.follower import LogHealth, StreamFollower
from bamboovale.log_service.log_client import LogRecord, RecordBatch
from bamboovale.metrics import Metrics


class BusyLog:
    """A stream that has one new record at every read, at once."""

    def __init__(self) -> None:
        self.reads = 0
        self.began_at = time.monotonic()

    def read(self, stream: str, start: int, wait_s: float, limit: int) -> Ok:
        self.reads += 1
        self.limit = limit
        end = int((time.monotonic() - self.began_at) * 1000) + 1
        records = tuple(LogRecord(offset, {}) for offset in range(start, end))
        if not records:
            time.sleep(0.001)
        return Ok(RecordBatch(stream, records, 0, end))


class TestPace:
    """Many VMs append to a stream that all of them read."""

    def test_a_busy_stream_is_read_in_batches_without_losing_any(self) -> None:
        """Hundreds of VMs renew leases, each renewal wakes each reader.

        Without a pause every VM makes a call for each append of all of them.
        """
        log = BusyLog()
        seen: list[int] = []
        enough = threading.Event()

        def take(batch: RecordBatch, read_at: float) -> None:
            seen.extend(record.offset for record in batch.records)
            if len(seen) >= 500:
                enough.set()

        environment = Environment(None, Metrics(), logging.getLogger("test"))
        follower = StreamFollower(
            environment,
            log,
            LogHealth(time.monotonic),
            "leases",
            take,
            pace_s=0.1,
            limit=250,
        )
        follower.start()
        assert enough.wait(10)
        follower.stop()
        assert log.reads <= 20
        assert log.limit == 250
        assert seen == list(range(len(seen)))


class Slow(MessageActor):
    """Takes a while over each message."""

    def __init__(self) -> None:
        super().__init__(lambda: None)
        self.handle(str, self._on_text)

    def _on_text(self, text: str) -> None:
        time.sleep(0.05)


class TestHandOver:
    """A follower that reads quicker than its records are folded."""

    def test_it_waits_for_the_actor(self) -> None:
        """A VM starts and reads 17 large edits at once.

        Parsed, they would wait in the actor's mailbox together, at several times
        their size, while it folds the first.
        """
        actor = Slow.start()
        began = time.monotonic()
        for _ in range(3):
            hand_over(actor, "edit")
        assert time.monotonic() - began >= 0.15
        actor.stop()

    def test_a_stopped_actor_ends_the_wait(self) -> None:
        actor = Slow.start()
        actor.stop()
        hand_over(actor, "edit")
