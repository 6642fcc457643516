"""The task that holds this VM's leases."""

import logging
from collections.abc import Iterator
from typing import Any

import pykka
import pytest

from bamboovale.actors import Tick
from bamboovale.environment import Environment
from bamboovale.leases.keeper import LeaseKeeper
from bamboovale.leases.messages import (
    DumpLeases,
    LeaseBatchRead,
    LeaseCallbacks,
)
from bamboovale.leases.records import Renewal
from bamboovale.log_service.follower import LogHealth
from bamboovale.log_service.log_client import LogRecord, RecordBatch
from bamboovale.membership.view import Membership
from bamboovale.metrics import Metrics
from bamboovale.models import VM, VMKind
from bamboovale.settings import Settings
from bamboovale.views import Views

FIRST = 7


class ListLog:
    """An appender that lands each record at once, read back by the keeper."""

    def __init__(self) -> None:
        self.now = 100.0
        self.records: list[Any] = []
        self.health = LogHealth(lambda: self.now)

    def append(self, value: Any, on_end: Any = None) -> None:
        self.records.append(value)
        if on_end is not None:
            on_end(None)

    def batch(self, start: int = 0) -> RecordBatch:
        records = tuple(
            LogRecord(FIRST + index, value)
            for index, value in enumerate(self.records)
            if index >= start
        )
        return RecordBatch("leases", records, FIRST, FIRST + len(self.records))


@pytest.fixture
def log() -> ListLog:
    return ListLog()


@pytest.fixture
def keeper(log: ListLog) -> Iterator[pykka.ActorRef]:
    environment = Environment(
        settings=Settings(id="entry-1", lease_longest_term_s=2.5),
        metrics=Metrics(),
        logger=logging.getLogger(),
        now=lambda: log.now,
        incarnation="i1",
    )
    entry_vm = VM("entry-1", VMKind.ENTRY, "127.0.0.1")
    runner = VM("runner-1", VMKind.RUNNER, "127.0.0.2")
    views = Views(
        membership=Membership(vms=(entry_vm, runner)), serving_until=float("inf")
    )
    callbacks = LeaseCallbacks(
        on_held=lambda *_: None,
        on_lost=lambda *_: None,
        on_valid=lambda *_: None,
    )
    appender: Any = log
    actor = LeaseKeeper.start(environment, views, appender, log.health, callbacks)
    yield actor
    actor.stop()


class TestRecovery:
    """Starting behind expired records."""

    def test_leases_are_taken_though_nobody_knows_the_chains(
        self,
        keeper: pykka.ActorRef,
        log: ListLog,
    ) -> None:
        # All entry VMs were replaced together. The last snapshot of the lease table
        # has expired on the log, some renewals of the dead VMs have not. The new VMs
        # wait for a snapshot that none of them can write: no engine is served again.
        log.records.append(Renewal("r1", "dead/1", {"runner-1": 3}).to_json())
        read = 0
        for _ in range(40):
            log.health.answered()
            keeper.ask(LeaseBatchRead(log.batch(read), log.now))
            read = len(log.records)
            log.now += 0.2
            keeper.ask(Tick())
        held = keeper.ask(DumpLeases())["held"]
        assert set(held) == {"runner-1", "@weight-store"}
