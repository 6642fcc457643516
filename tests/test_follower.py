"""Following a stream of the log."""

import logging
import threading
import time

from result import Ok

from bamboovale.environment import Environment
from bamboovale.metrics import Metrics
from bamboovale.platform.follower import LogHealth, StreamFollower
from bamboovale.platform.log_client import LogRecord, RecordBatch


class BusyLog:
    """A stream that has one new record at every read, at once."""

    def __init__(self) -> None:
        self.reads = 0
        self.began_at = time.monotonic()

    def read(self, stream: str, start: int, wait_s: float) -> Ok:
        self.reads += 1
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
        )
        follower.start()
        assert enough.wait(10)
        follower.stop()
        assert log.reads <= 20
        assert seen == list(range(len(seen)))
