"""The actor that folds the catalogue and resolves the futures of edits."""

import logging
from collections.abc import Iterator
from concurrent.futures import Future
from typing import Any

import pykka
import pytest

from bamboovale.catalogue.actor import (
    AwaitOutcome,
    CatalogueActor,
    CatalogueBatchRead,
    CatalogueCallbacks,
)
from bamboovale.catalogue.edits import (
    Action,
    Change,
    Edit,
    EditOutcome,
    RejectionReason,
)
from bamboovale.catalogue.entries import Kind, PoolEntry
from bamboovale.catalogue.fold import Catalogue
from bamboovale.catalogue.snapshots import split_snapshot, write_snapshot
from bamboovale.environment import Environment
from bamboovale.log_service.log_client import LogRecord, RecordBatch
from bamboovale.metrics import Metrics
from bamboovale.settings import Settings
from bamboovale.views import Views


def edit(pool: str) -> Edit:
    entry = PoolEntry(pool, "base-8b")
    change = Change(Action.SET, Kind.POOL, pool, entry)
    return Edit("edit-0001", "ines", 1.0, (change,))


@pytest.fixture
def views() -> Views:
    return Views()


@pytest.fixture
def actor(views: Views) -> Iterator[pykka.ActorRef]:
    environment = Environment(Settings(id="entry-1"), Metrics(), logging.getLogger())
    callbacks = CatalogueCallbacks(*(lambda *_: None for _ in range(5)))
    appender: Any = None
    actor = CatalogueActor.start(environment, views, appender, callbacks)
    yield actor
    actor.stop()


def read(actor: pykka.ActorRef, *edits: Edit) -> None:
    records = tuple(
        LogRecord(offset, item.to_json()) for offset, item in enumerate(edits)
    )
    actor.ask(CatalogueBatchRead(RecordBatch("catalogue", records, 0, len(edits))))


def read_part(actor: pykka.ActorRef, item: Edit, end: int) -> None:
    records = (LogRecord(0, item.to_json()),)
    actor.ask(CatalogueBatchRead(RecordBatch("catalogue", records, 0, end)))


def wait_for(actor: pykka.ActorRef, item: Edit) -> "Future[EditOutcome]":
    future: Future[EditOutcome] = Future()
    actor.ask(AwaitOutcome(item.edit_id, item.digest(), future))
    return future


class TestAwaitOutcome:
    """Each waiting edit gets its own outcome."""

    def test_a_reused_edit_id_does_not_get_the_other_edits_outcome(
        self,
        actor: pykka.ActorRef,
    ) -> None:
        # Guards against reporting the second edit as accepted, because the first
        # one with its id was, although it never takes effect.
        read(actor, edit("counter"))
        outcome = wait_for(actor, edit("tutor-llm")).result(timeout=1)
        assert outcome.reason is RejectionReason.EDIT_ID_REUSED
        assert wait_for(actor, edit("counter")).result(timeout=1).accepted

    def test_two_edits_with_one_id_that_wait_together(
        self,
        actor: pykka.ActorRef,
    ) -> None:
        first = wait_for(actor, edit("counter"))
        second = wait_for(actor, edit("tutor-llm"))
        read(actor, edit("counter"), edit("tutor-llm"))
        assert first.result(timeout=1).accepted
        reason = second.result(timeout=1).reason
        assert reason is RejectionReason.EDIT_ID_REUSED

    def test_an_accepted_edit_is_visible_when_its_future_resolves(
        self,
        actor: pykka.ActorRef,
        views: Views,
    ) -> None:
        # Guards against an entry not being found right after it was set.
        seen: list[bool] = []
        future = wait_for(actor, edit("counter"))
        future.add_done_callback(
            lambda _: seen.append(
                views.catalogue is not None
                and "counter" in views.catalogue.pool_by_name
            )
        )
        read(actor, edit("counter"))
        assert seen == [True]


class TestStart:
    """What is served while a starting VM reads the stream."""

    def test_a_partly_read_stream_is_not_served(
        self,
        actor: pykka.ActorRef,
        views: Views,
    ) -> None:
        read_part(actor, edit("counter"), end=2)
        assert views.catalogue is None

    def test_an_old_snapshot_is_not_served_before_the_records_after_it(
        self,
        actor: pykka.ActorRef,
        views: Views,
    ) -> None:
        # Guards against serving a deleted entry from a snapshot that is older than
        # the deletion.
        deletion = Edit(
            edit_id="edit-0002",
            author="ines",
            made_at=1.0,
            changes=(Change(Action.DELETE, Kind.POOL, "counter"),),
        )
        catalogue = Catalogue.empty()
        catalogue.apply(0, edit("counter").to_json())
        parts = split_snapshot(write_snapshot(catalogue))
        values = [deletion.to_json(), *parts]
        records = tuple(LogRecord(1 + n, value) for n, value in enumerate(values))
        batch = RecordBatch("catalogue", records, 1, 1 + len(records))
        actor.ask(CatalogueBatchRead(batch))
        assert views.catalogue is None
        actor.ask(CatalogueBatchRead(batch))
        assert views.catalogue is not None
        assert not views.catalogue.pool_by_name
