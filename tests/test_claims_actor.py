"""The actor that claims idempotency keys for this VM."""

import logging
from collections.abc import Iterator
from concurrent.futures import Future
from typing import Any

import pykka
import pytest

from bamboovale.actors import Tick
from bamboovale.claims.actor import ClaimActor, ClaimBatchRead, ClaimRequested
from bamboovale.claims.fold import ClaimOutcome, Verdict
from bamboovale.claims.records import Claim, encode_items
from bamboovale.environment import Environment
from bamboovale.log_service.log_client import LogRecord, RecordBatch
from bamboovale.metrics import Metrics
from bamboovale.settings import Settings

RETENTION_S = 3600.0


class ListLog:
    """Stores each append immediately, with the log's timestamp."""

    def __init__(self) -> None:
        self.now = 0.0
        self.records: list[LogRecord] = []

    def append(self, value: Any, on_end: Any = None) -> None:
        self.records.append(LogRecord(len(self.records), value, self.now))

    def read(self, start: int = 0) -> RecordBatch:
        oldest = self.now - RETENTION_S
        kept = [item for item in self.records if item.time >= oldest]
        first = kept[0].offset if kept else len(self.records)
        records = tuple(item for item in kept if item.offset >= start)
        return RecordBatch("claims", records, first, len(self.records))


def start(log: ListLog) -> pykka.ActorRef:
    environment = Environment(
        settings=Settings(id="entry-1"),
        metrics=Metrics(),
        logger=logging.getLogger(),
        now=lambda: log.now,
    )
    appender: Any = log
    return ClaimActor.start(environment, appender)


@pytest.fixture
def log() -> Iterator[ListLog]:
    yield ListLog()
    pykka.ActorRegistry.stop_all()


class TestStart:
    """Decisions of a VM that has just started."""

    def test_a_new_vm_decides_on_new_keys_on_an_idle_stream(
        self,
        log: ListLog,
    ) -> None:
        # Guards against a new VM that answers "outcome unknown" because it cannot
        # distinguish an idle stream from claims that expired unread.
        old = start(log)
        log.append(
            encode_items([Claim("j", "o", "body", "entry-1", "i1", "attempt-0")])
        )
        read = 0
        for _ in range(900):
            old.ask(ClaimBatchRead(log.read(read)))
            read = len(log.records)
            log.now += 5.0
            old.ask(Tick())
        new = start(log)
        new.ask(ClaimBatchRead(log.read()))
        read = len(log.records)
        future: Future[ClaimOutcome | None] = Future()
        claim = Claim("k", "o", "body", "entry-1", "i2", "attempt-1")
        new.ask(ClaimRequested(claim, log.now + 2.0, future))
        new.ask(ClaimBatchRead(log.read(read)))
        outcome = future.result(timeout=1)
        assert outcome is not None and outcome.verdict is Verdict.WON
