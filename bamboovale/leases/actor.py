"""The actor that owns the lease table: renews, takes and hands over leases."""

import itertools
import logging
from typing import Any

from result import Err, Result

from bamboovale.actors import MessageActor, Tick, tell
from bamboovale.environment import Environment
from bamboovale.leases.fold import (
    Cleared,
    LeaseOutcome,
    LeaseTable,
    Moved,
    Renewed,
)
from bamboovale.leases.hand_over import HandOverPlanner
from bamboovale.leases.messages import (
    LEASE_STREAM,
    WEIGHT_STORE,
    DumpLeases,
    HandOverAll,
    LeaseBatchRead,
    LeaseCallbacks,
    ReleaseFailed,
    RenewalEnded,
    node_name,
    vm_of_node,
)
from bamboovale.leases.own_leases import HeldLease, OwnLeases
from bamboovale.leases.ranking import LeaseRanking
from bamboovale.leases.records import Release, Take
from bamboovale.leases.recovery import LeaseRecovery
from bamboovale.leases.timing import LeaseTerms
from bamboovale.log_service.appender import Appender
from bamboovale.log_service.follower import LogHealth
from bamboovale.log_service.log_client import LogFailure, LogRecord, RecordBatch
from bamboovale.views import KnownLease, Views

TAKE_RETRY_S = 2.0
"""A take or reset is retried if it was not read back within this time."""

MAX_RENEWALS_IN_FLIGHT = 2
"""While the log hangs, more renewals would queue and be outdated once they are sent."""

SNAPSHOT_INTERVAL_S = 30.0
"""Bounds the wait for a snapshot on a starting VM whose first records have expired."""

MAX_START_BACKLOG = 5000
"""How many records before the end of the stream a starting VM begins to read: enough
to contain a snapshot, few enough for a quick start."""

logger = logging.getLogger(__name__)


class LeaseActor(MessageActor):
    """Owns the lease table and this VM's own leases."""

    def __init__(
        self,
        environment: Environment,
        views: Views,
        appender: Appender,
        health: LogHealth,
        callbacks: LeaseCallbacks,
    ) -> None:
        super().__init__(environment.metrics.internal_faults.inc)
        settings = environment.settings
        self._environment = environment
        self._views = views
        self._appender = appender
        self._health = health
        self._callbacks = callbacks
        self._terms = LeaseTerms(
            term_s=settings.lease_term_s,
            renew_every_s=settings.lease_renew_s,
            margin_s=settings.lease_margin_s,
            longest_term_s=settings.lease_longest_term_s,
        )
        self._node = node_name(settings.id, environment.incarnation)
        self._table: LeaseTable | None = None
        # Set while records have expired unread and no snapshot or reset was found;
        # records read meanwhile are buffered in ``_unfolded``.
        self._recovery: LeaseRecovery | None = None
        self._unfolded: list[LogRecord] = []
        self._reset_sent_at = 0.0
        self._own = OwnLeases(self._node)
        self._record_numbers = itertools.count()
        self._ranking = LeaseRanking(settings.id, views)
        self._first_seen_at: dict[str, float] = {}
        self._take_sent_at: dict[str, float] = {}
        self._hand_overs = HandOverPlanner(settings.id)
        self._next_renewal_at = 0.0
        self._renewals_in_flight = 0
        self._next_snapshot_at = 0.0
        self._handing_over = False
        self.handle(LeaseBatchRead, self._on_batch)
        self.handle(Tick, self._on_tick)
        self.handle(HandOverAll, self._on_hand_over_all)
        self.handle(RenewalEnded, self._on_renewal_ended)
        self.handle(ReleaseFailed, self._on_release_failed)
        self.handle(DumpLeases, self._on_dump)

    # Reading the stream.

    def _on_batch(self, message: LeaseBatchRead) -> None:
        batch = message.batch
        self._hand_overs.on_log_read()
        if self._table is None:
            self._initialize_table(batch, message.read_at)
        else:
            self._fold(batch.records, message.read_at)
        self._publish()

    def _initialize_table(self, batch: RecordBatch, read_at: float) -> None:
        """Start the table from the stream's first record, a snapshot or a reset.

        Guards against a table that lacks records of the current holders: this VM
        would take leases that are held.
        """
        first = batch.records[0].offset if batch.records else batch.end
        if self._recovery is None and (first == 0 or not batch.records):
            self._table = LeaseTable.empty(first)
            self._fold(batch.records, read_at)
            return
        if self._recovery is None:
            self._recovery = LeaseRecovery(first, read_at)
        self._unfolded.extend(batch.records)
        for record in batch.records:
            table = self._recovery.add(record.offset, record.value, read_at)
            if table is not None:
                self._end_recovery(table, read_at)
                return

    def _end_recovery(self, table: LeaseTable, read_at: float) -> None:
        logger.info("lease stream: continuing at offset %d", table.next_offset)
        self._table = table
        self._recovery = None
        records, self._unfolded = self._unfolded, []
        first = table.next_offset
        self._fold(tuple(item for item in records if item.offset >= first), read_at)

    def _reset_if_due(self, now: float) -> None:
        """Append a reset once no lease can be valid, if no snapshot was found."""
        recovery = self._recovery
        rank = self._ranking.own_rank(WEIGHT_STORE, None)
        if recovery is None or rank is None or not self._health.reachable:
            return
        due = recovery.reset_allowed_at(self._terms, rank)
        if now < max(due, self._reset_sent_at + TAKE_RETRY_S):
            return
        self._reset_sent_at = now
        reset = recovery.reset(self._record_id(), self._node)
        self._appender.append(reset.to_json())

    def _fold(self, records: tuple[LogRecord, ...], read_at: float) -> None:
        assert self._table is not None
        if records and records[0].offset > self._table.next_offset:
            self._restart_fold(records, read_at)
            return
        for record in records:
            outcome = self._table.apply(record.offset, record.value, read_at)
            if isinstance(outcome, Cleared):
                self._drop_all()
            valid_before = self._valid_engines()
            self._own.apply(outcome)
            self._report(outcome)
            for engine in self._valid_engines() - valid_before:
                self._callbacks.on_valid(engine)

    def _valid_engines(self) -> set[str]:
        now = self._environment.now()
        return {
            engine
            for engine in self._own.held_by_engine
            if self._own.fencing(engine, now) is not None
        }

    def _restart_fold(self, records: tuple[LogRecord, ...], read_at: float) -> None:
        """Rebuild the table after a gap; drop the held leases first."""
        logger.warning("lease stream: records expired before this VM read them")
        self._drop_all()
        self._table = None
        batch = RecordBatch(LEASE_STREAM, records, records[0].offset, 0)
        self._initialize_table(batch, read_at)

    def _drop_all(self) -> None:
        for engine in list(self._own.held_by_engine):
            self._own.drop(engine)
            self._callbacks.on_lost(engine)

    def _report(self, outcome: LeaseOutcome | None) -> None:
        metrics = self._environment.metrics
        if isinstance(outcome, Renewed) and outcome.node == self._node:
            metrics.leases_renewed.inc()
        if not isinstance(outcome, Moved):
            return
        self._take_sent_at.pop(outcome.engine, None)
        logger.info(
            "lease on %s: %s (was %s), fencing %d",
            outcome.engine,
            outcome.holder,
            outcome.previous,
            outcome.fencing,
        )
        if outcome.previous == self._node and outcome.holder != self._node:
            metrics.leases_lost.inc()
            self._callbacks.on_lost(outcome.engine)
        if outcome.holder == self._node:
            metrics.leases_taken.inc()
            self._hold(outcome.engine, outcome.fencing)

    def _hold(self, engine: str, fencing: int) -> None:
        def valid() -> bool:
            return self._own.fencing(engine, self._environment.now()) == fencing

        self._callbacks.on_held(engine, fencing, valid)
        if not valid():
            # After a hand-over the lease is valid only from its first renewal.
            self._renew(self._fleet_terms(), self._environment.now())

    def _publish(self) -> None:
        if self._table is None:
            return
        known = {
            engine: KnownLease(vm_of_node(lease.holder) or "", lease.fencing)
            for engine, lease in self._table.lease_by_engine.items()
            if lease.holder is not None
        }
        for engine, received in self._views.hint_by_engine.items():
            lease = known.get(engine)
            if lease is not None and received.hint.fencing > lease.fencing:
                known[engine] = KnownLease(received.from_vm, received.hint.fencing)
        self._views.lease_by_engine = known
        self._environment.metrics.leases_held.set(len(self._own.held_by_engine))

    # Writing to the stream.

    def _on_tick(self, _: Tick) -> None:
        now = self._environment.now()
        if self._table is None:
            self._reset_if_due(now)
            return
        self._yield_to_later_holders()
        self._restore_unknown_releases()
        self._publish()
        if now >= self._next_renewal_at and self._own.held_by_engine:
            terms = self._fleet_terms()
            self._next_renewal_at = now + terms.renew_every_s
            self._renew(terms, now)
        if self._handing_over or not self._views.serving:
            return
        for engine in self._ranking.engines():
            self._take_if_due(engine, now)
        if self._health.reachable:
            self._hand_over_one(now)
        if WEIGHT_STORE in self._own.held_by_engine and now >= self._next_snapshot_at:
            self._next_snapshot_at = now + SNAPSHOT_INTERVAL_S
            self._appender.append(self._table.snapshot(self._record_id()))

    def _yield_to_later_holders(self) -> None:
        """Drop leases for which a peer's hint has a higher fencing number.

        Guards against a VM that cannot reach the log, does not read that its lease
        was taken, and grants places in parallel to the new holder.
        """
        for engine, held in self._own.held_by_engine.items():
            received = self._views.hint_by_engine.get(engine)
            if received is not None and received.hint.fencing > held.fencing:
                self._environment.metrics.leases_lost.inc()
                self._own.drop(engine)
                self._callbacks.on_lost(engine)

    def _fleet_terms(self) -> LeaseTerms:
        listed = self._views.membership.listed_entry_vms()
        return self._terms.for_fleet(len(listed))

    def _renew(self, terms: LeaseTerms, now: float) -> None:
        if self._renewals_in_flight >= MAX_RENEWALS_IN_FLIGHT:
            return
        self._renewals_in_flight += 1
        record = self._own.renewal(self._record_id(), terms.term_s)
        self._own.note_sent(record, now)
        self._appender.append(
            record.to_json(),
            lambda _: tell(self.actor_ref, RenewalEnded()),
        )

    def _on_renewal_ended(self, _: RenewalEnded) -> None:
        self._renewals_in_flight -= 1

    def _take_if_due(self, engine: str, now: float) -> None:
        assert self._table is not None
        lease = self._table.lease_by_engine.get(engine)
        if lease is not None and lease.holder == self._node:
            return
        first_seen = self._first_seen_at.setdefault(engine, now)
        rank = self._ranking.own_rank(
            engine, vm_of_node(lease.holder) if lease else None
        )
        if rank is None or not self._health.reachable:
            return
        due = self._terms.take_allowed_at(lease, rank, first_seen)
        if lease is not None and lease.holder is not None:
            # After an outage of the log the holder, whose engine is warm, gets a term
            # to renew before this take.
            wait_s = self._terms.wait_s(lease.term_s)
            due = max(due, self._health.recovered_at + wait_s)
        if now < due or now < self._take_sent_at.get(engine, 0.0) + TAKE_RETRY_S:
            return
        self._take_sent_at[engine] = now
        record = Take(
            record_id=self._record_id(),
            node=self._node,
            engine=engine,
            after=self._table.last_offset(engine),
            term_s=self._fleet_terms().term_s,
        )
        self._own.note_sent(record, now)
        self._appender.append(record.to_json())

    def _hand_over_one(self, now: float) -> None:
        """Hand over at most one lease to the VM that ranks first for it."""
        incarnation_by_vm = self._views.incarnation_by_vm
        move = self._hand_overs.next_move(
            self._own.held_by_engine,
            self._ranking.vms_in_order,
            incarnation_by_vm,
            now,
        )
        if move is not None:
            engine, vm_id = move
            self._release(engine, node_name(vm_id, incarnation_by_vm[vm_id]))

    def _on_hand_over_all(self, _: HandOverAll) -> None:
        self._handing_over = True
        for engine in list(self._own.held_by_engine):
            self._release(engine, self._ranking.successor(engine))

    def _release(self, engine: str, successor: str | None) -> None:
        """Stop acting as holder, then append the release."""
        held = self._own.held_by_engine[engine]
        self._own.drop(engine)
        self._callbacks.on_lost(engine)
        record = Release(
            record_id=self._record_id(),
            node=self._node,
            engine=engine,
            fencing=held.fencing,
            next_node=successor,
        )
        self._appender.append(
            record.to_json(),
            lambda ended: self._release_ended(held, ended),
        )

    def _release_ended(
        self,
        held: HeldLease,
        ended: Result[int, LogFailure],
    ) -> None:
        """Report from the appending thread that a release may not be on the log."""
        if isinstance(ended, Err):
            refused = not ended.err_value.may_have_taken_effect
            tell(self.actor_ref, ReleaseFailed(held, refused))

    def _on_release_failed(self, message: ReleaseFailed) -> None:
        """Handle a hand-over whose release failed.

        Guards against an engine without a holder for a whole outage of the log.
        """
        if self._handing_over:
            return
        held = message.held
        if message.refused:
            self._restore(held)
        else:
            self._hand_overs.on_unknown(held)

    def _restore_unknown_releases(self) -> None:
        """Restore leases with an unknown release outcome once no VM reaches the log.

        If the release had reached the log before, hints of the new holder would show
        a higher fencing number.
        """
        if self._views.log_down_for_all:
            for held in self._hand_overs.pop_unknown():
                self._restore(held)

    def _restore(self, held: HeldLease) -> None:
        known = self._views.lease_by_engine.get(held.engine)
        if known is not None and known.fencing > held.fencing:
            return
        logger.info("lease on %s: kept because its release failed", held.engine)
        self._own.restore(held)
        self._hold(held.engine, held.fencing)

    def _record_id(self) -> str:
        return f"{self._node}#{next(self._record_numbers)}"

    def _on_dump(self, _: DumpLeases) -> dict[str, Any]:
        now = self._environment.now()
        held = {
            engine: {
                "fencing": lease.fencing,
                "valid_for_s": None
                if lease.valid_until is None
                else round(lease.valid_until - now, 2),
            }
            for engine, lease in self._own.held_by_engine.items()
        }
        return {
            "node": self._node,
            "held": held,
            "holder_by_engine": {
                engine: lease.holder
                for engine, lease in sorted(self._views.lease_by_engine.items())
            },
            "next_offset": None if self._table is None else self._table.next_offset,
            "void_records": None if self._table is None else self._table.void_records,
        }
