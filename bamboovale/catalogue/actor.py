"""The actor that folds the catalogue stream and publishes the current view."""

import logging
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any

from bamboovale.actors import MessageActor, Tick
from bamboovale.catalogue.edits import EDIT_TYPE, EditOutcome
from bamboovale.catalogue.fold import Catalogue, CatalogueGapError
from bamboovale.catalogue.snapshots import (
    SnapshotAssembler,
    SnapshotInvalidError,
    read_snapshot,
    split_snapshot,
    write_snapshot,
)
from bamboovale.environment import Environment
from bamboovale.log_service.appender import Appender
from bamboovale.log_service.log_client import LogRecord, RecordBatch
from bamboovale.views import Views

CATALOGUE_STREAM = "catalogue"

SNAPSHOT_AFTER_RECORDS = 500
"""Bounds the records that a starting VM reads after a snapshot."""

SNAPSHOTS_PER_RETENTION = 4
"""Snapshots per retention time of the log, so that a failed append or a change of the
writer does not let the last one expire."""

QUERY_PEER_INTERVAL_S = 1.0

MAX_WAITING_EDITS = 256
"""Beyond this number the oldest waits are dropped: those edits may never be read."""

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class CatalogueBatchRead:
    """Records of the catalogue stream from the log."""

    batch: RecordBatch


@dataclass(frozen=True)
class CatalogueRecordsForwarded:
    """Records that a peer forwarded."""

    first_offset: int
    values: tuple[Any, ...]


@dataclass(frozen=True)
class PeerSnapshotReceived:
    """A catalogue snapshot from a peer, None if it had none."""

    snapshot: Any


@dataclass(frozen=True)
class PeerIsAhead:
    """A peer has read the stream further than this VM."""

    vm_id: str
    next_offset: int


@dataclass(frozen=True)
class AwaitOutcome:
    """Resolve the future when the edit is read from the log.

    ``digest`` distinguishes it from another edit with the same id.
    """

    edit_id: str
    digest: str
    future: "Future[EditOutcome]"


@dataclass(frozen=True)
class SnapshotRoleChanged:
    """This VM has become, or is no longer, the writer of catalogue snapshots."""

    is_writer: bool


@dataclass(frozen=True)
class SnapshotRequested:
    """A peer requests a catalogue snapshot."""

    reply: Callable[[Any], None]


@dataclass(frozen=True)
class DumpCatalogue:
    """Request the state dump of the actor as JSON."""


@dataclass(frozen=True)
class CatalogueCallbacks:
    """Callbacks of the catalogue actor, called on its thread.

    ``forward(first_offset, values)`` sends new records to peers,
    ``ask_peer(vm_id)`` requests a snapshot from that peer (any if None),
    ``seek(offset)`` moves the follower of the stream, and
    ``on_version_changed(old, new, source)`` gets the LoRA names of a replaced version.
    """

    forward: Callable[[int, tuple[Any, ...]], None]
    ask_peer: Callable[[str | None], None]
    seek: Callable[[int], None]
    on_version_changed: Callable[[str, str, str], None]
    on_change: Callable[[], None]


class CatalogueActor(MessageActor):
    """Owns the fold of the catalogue."""

    def __init__(
        self,
        environment: Environment,
        views: Views,
        appender: Appender,
        callbacks: CatalogueCallbacks,
    ) -> None:
        super().__init__(environment.metrics.internal_faults.inc)
        self._environment = environment
        self._views = views
        self._appender = appender
        self._callbacks = callbacks
        self._catalogue = Catalogue.empty()
        self._assembler: SnapshotAssembler | None = None
        # Last known end of the stream.
        self._log_end = 0
        self._unresolved: list[tuple[Future[EditOutcome], EditOutcome]] = []
        self._waiting_by_edit: dict[tuple[str, str], list[Future[EditOutcome]]] = {}
        self._is_snapshot_writer = False
        self._snapshot_at_offset = 0
        self._next_snapshot_at = float("inf")
        self._next_query_at = 0.0
        self.handle(CatalogueBatchRead, self._on_batch)
        self.handle(CatalogueRecordsForwarded, self._on_forwarded)
        self.handle(PeerSnapshotReceived, self._on_peer_catalogue)
        self.handle(PeerIsAhead, self._on_peer_ahead)
        self.handle(AwaitOutcome, self._on_await)
        self.handle(SnapshotRoleChanged, self._on_role_changed)
        self.handle(SnapshotRequested, self._on_snapshot_asked)
        self.handle(Tick, self._on_tick)
        self.handle(DumpCatalogue, self._on_dump)

    # Reading the stream.

    def _on_batch(self, message: CatalogueBatchRead) -> None:
        batch = message.batch
        self._log_end = max(self._log_end, batch.end)
        if batch.first > self._catalogue.next_offset and self._assembler is None:
            logger.warning("catalogue: records expired before this VM read them")
            self._assembler = SnapshotAssembler(batch.first)
            # The expired records may have changed entries: stop serving the old view.
            self._views.catalogue = None
            self._callbacks.ask_peer(None)
        if self._assembler is not None:
            self._assemble(batch.records)
            return
        self._fold(batch.records)
        if self._catalogue.next_offset >= batch.end:
            self._publish()

    def _fold(self, records: tuple[LogRecord, ...]) -> None:
        before = self._catalogue.next_offset
        fresh = [record for record in records if record.offset >= before]
        try:
            for record in fresh:
                self._apply(record.offset, record.value)
        except CatalogueGapError as gap:
            logger.warning("catalogue: %s", gap)
            self._callbacks.seek(gap.next_offset)
        if fresh and self._views.catalogue is not None:
            values = tuple(record.value for record in fresh)
            self._callbacks.forward(fresh[0].offset, values)

    def _apply(self, offset: int, value: Any) -> None:
        before = self._catalogue.view() if self._views.catalogue else None
        outcome = self._catalogue.apply(offset, value)
        if outcome is None:
            return
        edit = (outcome.edit_id, outcome.digest)
        for future in self._waiting_by_edit.pop(edit, []):
            self._unresolved.append((future, outcome))
        if outcome.accepted and before is not None:
            self._report_version_changes(before, value)

    def _report_version_changes(self, before: Any, value: Any) -> None:
        if value.get("type") != EDIT_TYPE:
            return
        for change in value["changes"]:
            name = change.get("name")
            old = before.adapter_by_name.get(name)
            new = self._catalogue.adapter_by_name.get(name)
            if old is None or new is None or old.target == new.target:
                continue
            self._callbacks.on_version_changed(
                old.target.lora_name,
                new.target.lora_name,
                new.source,
            )

    def _publish(self) -> None:
        """Publish the current view, then resolve the futures that wait for it.

        The first view is published only at the end of the stream: guards against
        serving an old snapshot whose entries later edits have replaced.
        """
        before = self._views.catalogue
        if before is not None or self._catalogue.next_offset >= self._log_end:
            view = self._catalogue.view()
            self._environment.metrics.catalogue_revision.set(view.revision)
            self._views.catalogue = view
            if before is None or before.revision != view.revision:
                self._callbacks.on_change()
        unresolved, self._unresolved = self._unresolved, []
        for future, outcome in unresolved:
            future.set_result(outcome)

    # Gaps and peers.

    def _assemble(self, records: tuple[LogRecord, ...]) -> None:
        assert self._assembler is not None
        for record in records:
            snapshot = self._assembler.add(record.value)
            if snapshot is not None:
                self._adopt(snapshot)
                return

    def _adopt(self, snapshot: Any) -> None:
        try:
            other = read_snapshot(snapshot)
        except SnapshotInvalidError as error:
            logger.warning("catalogue: invalid snapshot ignored: %s", error)
            return
        if not self._catalogue.adopt(other):
            return
        logger.info("catalogue: adopted a snapshot at offset %d", other.next_offset)
        self._assembler = None
        self._callbacks.seek(self._catalogue.next_offset)
        self._match_waiting()
        self._publish()

    def _match_waiting(self) -> None:
        for edit_id, digest in list(self._waiting_by_edit):
            outcome = self._catalogue.outcome_of(edit_id, digest)
            if outcome is not None:
                for future in self._waiting_by_edit.pop((edit_id, digest)):
                    self._unresolved.append((future, outcome))

    def _on_forwarded(self, message: CatalogueRecordsForwarded) -> None:
        """Fold records that a peer forwarded, unless they leave a gap."""
        if self._views.catalogue is None or self._assembler is not None:
            return
        if message.first_offset > self._catalogue.next_offset:
            return
        offsets = range(
            message.first_offset, message.first_offset + len(message.values)
        )
        records = tuple(
            LogRecord(offset, value)
            for offset, value in zip(offsets, message.values, strict=True)
        )
        self._fold(records)
        self._publish()

    def _on_peer_catalogue(self, message: PeerSnapshotReceived) -> None:
        if message.snapshot is not None:
            self._adopt(message.snapshot)

    def _on_peer_ahead(self, message: PeerIsAhead) -> None:
        now = self._environment.now()
        if message.next_offset <= self._catalogue.next_offset:
            return
        if now >= self._next_query_at:
            self._next_query_at = now + QUERY_PEER_INTERVAL_S
            self._callbacks.ask_peer(message.vm_id)

    def _on_snapshot_asked(self, message: SnapshotRequested) -> None:
        complete = self._views.catalogue is not None
        message.reply(write_snapshot(self._catalogue) if complete else None)

    # Edits.

    def _on_await(self, message: AwaitOutcome) -> None:
        edit = (message.edit_id, message.digest)
        outcome = self._catalogue.outcome_of(*edit)
        if outcome is not None:
            message.future.set_result(outcome)
            return
        self._waiting_by_edit.setdefault(edit, []).append(message.future)
        while len(self._waiting_by_edit) > MAX_WAITING_EDITS:
            del self._waiting_by_edit[next(iter(self._waiting_by_edit))]

    # Snapshots on the log.

    def _on_role_changed(self, message: SnapshotRoleChanged) -> None:
        self._is_snapshot_writer = message.is_writer
        self._next_snapshot_at = self._environment.now()

    def _on_tick(self, _: Tick) -> None:
        now = self._environment.now()
        if self._views.catalogue is None:
            if now >= self._next_query_at:
                self._next_query_at = now + QUERY_PEER_INTERVAL_S
                self._callbacks.ask_peer(None)
            return
        if self._is_snapshot_writer and self._snapshot_is_due(now):
            self._write_snapshot(now)

    def _snapshot_is_due(self, now: float) -> bool:
        if self._catalogue.next_offset == self._snapshot_at_offset:
            return False
        fresh = self._catalogue.next_offset - self._snapshot_at_offset
        return now >= self._next_snapshot_at or fresh >= SNAPSHOT_AFTER_RECORDS

    def _write_snapshot(self, now: float) -> None:
        retention_s = self._environment.settings.log_retention_s
        self._next_snapshot_at = now + retention_s / SNAPSHOTS_PER_RETENTION
        for part in split_snapshot(write_snapshot(self._catalogue)):
            self._appender.append(part)
        self._snapshot_at_offset = self._catalogue.next_offset

    def _on_dump(self, _: DumpCatalogue) -> dict[str, Any]:
        catalogue = self._catalogue
        counters = catalogue.counters
        return {
            "revision": catalogue.revision,
            "next_offset": catalogue.next_offset,
            "digest": catalogue.digest,
            "adapters": len(catalogue.adapter_by_name),
            "pools": len(catalogue.pool_by_name),
            "services": len(catalogue.service_by_name),
            "accepted": counters.accepted,
            "rejected": counters.rejected,
            "regressions": counters.regressions,
            "behind_a_gap": self._assembler is not None,
            "writes_snapshots": self._is_snapshot_writer,
        }
