"""The task that folds the catalogue and settles what operators wait for."""

import logging
from collections.abc import Iterator
from concurrent.futures import Future
from typing import Any

import pykka
import pytest

from bamboovale.catalogue.edits import (
    Action,
    Change,
    Edit,
    EditOutcome,
    RejectionReason,
)
from bamboovale.catalogue.entries import Kind, PoolEntry
from bamboovale.catalogue.keeper import (
    AwaitOutcome,
    CatalogueBatchRead,
    CatalogueCallbacks,
    CatalogueKeeper,
)
from bamboovale.environment import Environment
from bamboovale.metrics import Metrics
from bamboovale.platform.log_client import LogRecord, RecordBatch
from bamboovale.settings import Settings
from bamboovale.views import Views


def edit(pool: str) -> Edit:
    entry = PoolEntry(pool, "base-8b")
    change = Change(Action.SET, Kind.POOL, pool, entry)
    return Edit("edit-0001", "ines", 1.0, (change,))


@pytest.fixture
def keeper() -> Iterator[pykka.ActorRef]:
    environment = Environment(Settings(id="entry-1"), Metrics(), logging.getLogger())
    callbacks = CatalogueCallbacks(*(lambda *_: None for _ in range(5)))
    appender: Any = None
    actor = CatalogueKeeper.start(environment, Views(), appender, callbacks)
    yield actor
    actor.stop()


def read(keeper: pykka.ActorRef, *edits: Edit) -> None:
    records = tuple(
        LogRecord(offset, item.to_json()) for offset, item in enumerate(edits)
    )
    keeper.ask(CatalogueBatchRead(RecordBatch("catalogue", records, 0, len(edits))))


def wait_for(keeper: pykka.ActorRef, item: Edit) -> "Future[EditOutcome]":
    future: Future[EditOutcome] = Future()
    keeper.ask(AwaitOutcome(item.edit_id, item.digest(), future))
    return future


class TestSettling:
    """Which outcome goes to whom."""

    def test_a_reused_edit_id_is_not_told_the_other_edits_outcome(
        self,
        keeper: pykka.ActorRef,
    ) -> None:
        # An operator's script uses one edit id for two different edits. The second
        # is told "accepted", because the first was, and never takes effect.
        read(keeper, edit("counter"))
        outcome = wait_for(keeper, edit("tutor-llm")).result(timeout=1)
        assert outcome.reason is RejectionReason.EDIT_ID_REUSED
        assert wait_for(keeper, edit("counter")).result(timeout=1).accepted

    def test_two_edits_with_one_id_that_wait_together(
        self,
        keeper: pykka.ActorRef,
    ) -> None:
        first = wait_for(keeper, edit("counter"))
        second = wait_for(keeper, edit("tutor-llm"))
        read(keeper, edit("counter"), edit("tutor-llm"))
        assert first.result(timeout=1).accepted
        reason = second.result(timeout=1).reason
        assert reason is RejectionReason.EDIT_ID_REUSED
