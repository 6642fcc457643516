"""The task that holds this VM's leases."""

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
    """An appender that lands each record at once, read back by the keeper."""

    def __init__(self) -> None:
        self.now = 100.0
        self.records: list[Any] = []
        self.down = False
        self.drops_answers = False
        self.health = LogHealth(lambda: self.now)

    def append(self, value: Any, on_end: Any = None) -> None:
        if self.down:
            unknown = self.drops_answers
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
def keeper(log: ListLog, views: Views) -> Iterator[pykka.ActorRef]:
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
            log.health.on_success()
            keeper.ask(LeaseBatchRead(log.batch(read), log.now))
            read = len(log.records)
            log.now += 0.2
            keeper.ask(Tick())
        held = keeper.ask(DumpLeases())["held"]
        assert set(held) == {"runner-1", "@weight-store"}


class TestHandOverInAnOutage:
    """Leases move to the VM that ranks first for them, but not into nowhere."""

    def test_an_engine_keeps_its_holder_while_the_log_refuses_records(
        self,
        keeper: pykka.ActorRef,
        log: ListLog,
        views: Views,
    ) -> None:
        """A request for an adapter that is loaded would be refused for a whole outage.

        A VM holds two leases. A second VM joins and ranks first for one of them; two
        seconds later the log goes down, not yet noticed here. The holder lets go of
        the engine, its release is refused, and nobody holds it until the log is back.
        """
        _let_time_pass(keeper, log, rounds=40)
        assert set(_held(keeper)) == {"runner-1", "@weight-store"}
        _join(views, "entry-2")
        _let_time_pass(keeper, log, rounds=10)
        log.down = True
        _let_time_pass(keeper, log, rounds=40)
        assert set(_held(keeper)) == {"runner-1", "@weight-store"}

    def test_an_engine_gets_its_holder_back_if_the_release_had_no_answer(
        self,
        keeper: pykka.ActorRef,
        log: ListLog,
        views: Views,
    ) -> None:
        """As above, but the log drops connections: the release may be on it.

        Once nobody reaches the log, no successor can read it either.
        """
        _let_time_pass(keeper, log, rounds=40)
        _join(views, "entry-2")
        _let_time_pass(keeper, log, rounds=10)
        log.down = log.drops_answers = True
        _let_time_pass(keeper, log, rounds=8)
        assert len(_held(keeper)) == 1
        views.log_down_until = float("inf")
        _let_time_pass(keeper, log, rounds=2)
        assert set(_held(keeper)) == {"runner-1", "@weight-store"}

    def test_a_lease_moves_once_the_log_is_back(
        self,
        keeper: pykka.ActorRef,
        log: ListLog,
        views: Views,
    ) -> None:
        """An engine would stay with a VM that ranks behind another for ever."""
        _let_time_pass(keeper, log, rounds=40)
        _join(views, "entry-2")
        _let_time_pass(keeper, log, rounds=10)
        log.down = True
        _let_time_pass(keeper, log, rounds=40)
        log.down = False
        _let_time_pass(keeper, log, rounds=40)
        assert len(_held(keeper)) == 1


def _let_time_pass(keeper: pykka.ActorRef, log: ListLog, rounds: int) -> None:
    """Let 0.2 s pass in each round; the log answers reads unless it is down."""
    read = 0
    for _ in range(rounds):
        if not log.down:
            log.health.on_success()
            keeper.ask(LeaseBatchRead(log.batch(read), log.now))
            read = len(log.records)
        log.now += 0.2
        keeper.ask(Tick())


def _join(views: Views, vm_id: str) -> None:
    joined = VM(vm_id, VMKind.ENTRY, "127.0.0.3")
    views.membership = Membership(vms=(*views.membership.vm_by_id.values(), joined))
    views.incarnation_by_vm = {vm_id: "i2"}


def _held(keeper: pykka.ActorRef) -> dict[str, Any]:
    return keeper.ask(DumpLeases())["held"]
