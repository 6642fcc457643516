"""The actor that holds this VM's leases."""

import logging
from collections.abc import Iterator
from typing import Any

import pykka
import pytest
from result import Err, Ok

from bamboovale.actors import Tick
from bamboovale.environment import Environment
from bamboovale.leases.actor import LeaseActor
from bamboovale.leases.messages import (
    DumpLeases,
    LeaseBatchRead,
    LeaseCallbacks,
)
from bamboovale.leases.records import Renewal
from bamboovale.log_service.follower import LogHealth
from bamboovale.log_service.log_client import LogFailure, LogRecord, RecordBatch
from bamboovale.membership.view import Membership
from bamboovale.metrics import Metrics
from bamboovale.models import VM, VMKind
from bamboovale.settings import Settings
from bamboovale.views import Views

FIRST = 7


class ListLog:
    """An appender that stores each record immediately, or fails while down."""

    def __init__(self) -> None:
        self.now = 100.0
        self.records: list[Any] = []
        self.down = False
        self.drops_responses = False
        self.health = LogHealth(lambda: self.now)

    def append(self, value: Any, on_end: Any = None) -> None:
        if self.down:
            unknown = self.drops_responses
            ended: Any = Err(LogFailure("down", may_have_taken_effect=unknown))
        else:
            self.records.append(value)
            ended = Ok(FIRST + len(self.records) - 1)
        if on_end is not None:
            on_end(ended)

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
def views() -> Views:
    entry_vm = VM("entry-1", VMKind.ENTRY, "127.0.0.1")
    runner = VM("runner-1", VMKind.RUNNER, "127.0.0.2")
    return Views(
        membership=Membership(vms=(entry_vm, runner)), serving_until=float("inf")
    )


@pytest.fixture
def actor(log: ListLog, views: Views) -> Iterator[pykka.ActorRef]:
    environment = Environment(
        settings=Settings(id="entry-1", lease_longest_term_s=2.5),
        metrics=Metrics(),
        logger=logging.getLogger(),
        now=lambda: log.now,
        incarnation="i1",
    )
    callbacks = LeaseCallbacks(
        on_held=lambda *_: None,
        on_lost=lambda *_: None,
        on_valid=lambda *_: None,
    )
    appender: Any = log
    actor = LeaseActor.start(environment, views, appender, log.health, callbacks)
    yield actor
    actor.stop()


class TestRecovery:
    """Starting after expired records."""

    def test_leases_are_taken_without_any_lease_table(
        self,
        actor: pykka.ActorRef,
        log: ListLog,
    ) -> None:
        # Guards against VMs that wait for a snapshot which none of them can write,
        # after all entry VMs were replaced and the last snapshot has expired.
        log.records.append(Renewal("r1", "dead/1", {"runner-1": 3}).to_json())
        read = 0
        for _ in range(40):
            log.health.on_success()
            actor.ask(LeaseBatchRead(log.batch(read), log.now))
            read = len(log.records)
            log.now += 0.2
            actor.ask(Tick())
        held = actor.ask(DumpLeases())["held"]
        assert set(held) == {"runner-1", "@weight-store"}


class TestHandOverInAnOutage:
    """A hand-over must not leave an engine without a holder."""

    def test_an_engine_keeps_its_holder_while_the_log_refuses_records(
        self,
        actor: pykka.ActorRef,
        log: ListLog,
        views: Views,
    ) -> None:
        """Guards against an engine without a holder until the log is back.

        The log goes down, undetected, just before the lease is handed over.
        """
        _run_rounds(actor, log, rounds=40)
        assert set(_held(actor)) == {"runner-1", "@weight-store"}
        _join(views, "entry-2")
        _run_rounds(actor, log, rounds=10)
        log.down = True
        _run_rounds(actor, log, rounds=40)
        assert set(_held(actor)) == {"runner-1", "@weight-store"}

    def test_a_lease_is_restored_if_its_release_had_no_response(
        self,
        actor: pykka.ActorRef,
        log: ListLog,
        views: Views,
    ) -> None:
        """As above, but the release may be on the log.

        The lease is restored once no VM, hence no successor, reaches the log.
        """
        _run_rounds(actor, log, rounds=40)
        _join(views, "entry-2")
        _run_rounds(actor, log, rounds=10)
        log.down = log.drops_responses = True
        _run_rounds(actor, log, rounds=8)
        assert len(_held(actor)) == 1
        views.log_down_until = float("inf")
        _run_rounds(actor, log, rounds=2)
        assert set(_held(actor)) == {"runner-1", "@weight-store"}

    def test_a_lease_moves_once_the_log_is_back(
        self,
        actor: pykka.ActorRef,
        log: ListLog,
        views: Views,
    ) -> None:
        """Guards against a lease that never moves to the VM that ranks first."""
        _run_rounds(actor, log, rounds=40)
        _join(views, "entry-2")
        _run_rounds(actor, log, rounds=10)
        log.down = True
        _run_rounds(actor, log, rounds=40)
        log.down = False
        _run_rounds(actor, log, rounds=40)
        assert len(_held(actor)) == 1


def _run_rounds(actor: pykka.ActorRef, log: ListLog, rounds: int) -> None:
    """Advance 0.2 s in each round; reads of the log succeed unless it is down."""
    read = 0
    for _ in range(rounds):
        if not log.down:
            log.health.on_success()
            actor.ask(LeaseBatchRead(log.batch(read), log.now))
            read = len(log.records)
        log.now += 0.2
        actor.ask(Tick())


def _join(views: Views, vm_id: str) -> None:
    joined = VM(vm_id, VMKind.ENTRY, "127.0.0.3")
    views.membership = Membership(vms=(*views.membership.vm_by_id.values(), joined))
    views.incarnation_by_vm = {vm_id: "i2"}


def _held(actor: pykka.ActorRef) -> dict[str, Any]:
    return actor.ask(DumpLeases())["held"]
