"""The actor that claims idempotency keys on the log, in group commits."""

from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any

from result import Ok, Result

from bamboovale.actors import MessageActor, Tick, tell
from bamboovale.claims.fold import ClaimGapError, ClaimOutcome, ClaimTable, Verdict
from bamboovale.claims.records import Answered, Claim, ClaimItem, Released, encode_items
from bamboovale.environment import Environment
from bamboovale.log_service.appender import Appender
from bamboovale.log_service.log_client import LogFailure, RecordBatch

CLAIM_STREAM = "claims"

MAX_ITEMS_PER_APPEND = 1000
"""Keeps a group commit well below the log's record size limit."""

IDLE_APPEND_S = 10.0
"""After one to two times this long without records, one VM appends an empty group.
Without these timestamps a new VM on an idle stream would not know how far back the
retained records reach, and answer ``outcome_unknown`` to new keys for a horizon."""


@dataclass(frozen=True)
class ClaimBatchRead:
    """Records of the claim stream."""

    batch: RecordBatch


@dataclass(frozen=True)
class ClaimRequested:
    """A caller's thread requests a claim; ``deadline`` is on the monotonic clock.

    The future resolves to the outcome, or to None if the claim failed: the attempt
    is then never sent.
    """

    claim: Claim
    deadline: float
    future: "Future[ClaimOutcome | None]"


@dataclass(frozen=True)
class ClaimEnded:
    """The attempt was answered, or is released without being sent."""

    item: Answered | Released


@dataclass(frozen=True)
class AppendEnded:
    """An append of claims ended."""

    attempt_ids: tuple[str, ...]
    result: Result[int, LogFailure]


@dataclass(frozen=True)
class DumpClaims:
    """Request the state dump of the actor as JSON."""


class ClaimActor(MessageActor):
    """Owns the claim table and the group commits of this VM's claims."""

    def __init__(self, environment: Environment, appender: Appender) -> None:
        super().__init__(environment.metrics.internal_faults.inc)
        self._environment = environment
        self._appender = appender
        self._table: ClaimTable | None = None
        self._pending: list[ClaimItem] = []
        self._request_by_attempt: dict[str, ClaimRequested] = {}
        self._appending = False
        self._next_idle_append_at = self._environment.now() + IDLE_APPEND_S
        self.handle(ClaimBatchRead, self._on_batch)
        self.handle(ClaimRequested, self._on_requested)
        self.handle(ClaimEnded, self._on_ended)
        self.handle(AppendEnded, self._on_append_ended)
        self.handle(Tick, self._on_tick)
        self.handle(DumpClaims, self._on_dump)

    def _on_batch(self, message: ClaimBatchRead) -> None:
        batch = message.batch
        if batch.records:
            self._postpone_idle_append()
        horizon_s = self._environment.settings.claim_horizon_s
        if self._table is None:
            self._table = ClaimTable(horizon_s=horizon_s)
        first = batch.records[0].offset if batch.records else batch.first
        if first > self._table.next_offset:
            # Claims that expired unread may have won any key: unseen keys are unknown
            # until a whole horizon has been read.
            self._table = ClaimTable.after_gap(first, horizon_s=horizon_s)
        for record in batch.records:
            try:
                outcomes = self._table.apply(record.offset, record.value, record.time)
            except ClaimGapError:
                self._table = ClaimTable.after_gap(record.offset, horizon_s=horizon_s)
                outcomes = self._table.apply(record.offset, record.value, record.time)
            for outcome in outcomes:
                self._resolve(outcome)

    def _resolve(self, outcome: ClaimOutcome) -> None:
        request = self._request_by_attempt.pop(outcome.claim.attempt_id, None)
        if request is None:
            return
        self._environment.metrics.claims.labels(outcome=outcome.verdict.value).inc()
        if outcome.verdict is Verdict.UNKNOWN:
            self._release(request.claim)
        request.future.set_result(outcome)

    def _on_requested(self, message: ClaimRequested) -> None:
        self._request_by_attempt[message.claim.attempt_id] = message
        self._pending.append(message.claim)
        self._append_pending()

    def _on_ended(self, message: ClaimEnded) -> None:
        self._pending.append(message.item)
        self._append_pending()

    def _append_pending(self) -> None:
        """Append all pending items in one record, with one append at a time.

        Guards against one append per claim, which would limit all entry VMs together
        to the log's append rate.
        """
        if self._appending or not self._pending:
            return
        items = self._pending[:MAX_ITEMS_PER_APPEND]
        del self._pending[: len(items)]
        self._appending = True
        attempts = tuple(item.attempt_id for item in items if isinstance(item, Claim))
        kept = [item for item in items if not isinstance(item, Claim)]

        def on_end(result: Result[int, LogFailure]) -> None:
            if not isinstance(result, Ok):
                for item in kept:
                    if isinstance(item, Answered | Released):
                        tell(self.actor_ref, ClaimEnded(item))
            tell(self.actor_ref, AppendEnded(attempts, result))

        self._appender.append(encode_items(items), on_end)

    def _on_append_ended(self, message: AppendEnded) -> None:
        self._appending = False
        result = message.result
        refused = (
            not isinstance(result, Ok) and not result.err_value.may_have_taken_effect
        )
        if refused:
            for attempt_id in message.attempt_ids:
                request = self._request_by_attempt.pop(attempt_id, None)
                if request is not None:
                    self._environment.metrics.claims.labels(outcome="refused").inc()
                    request.future.set_result(None)
            return
        self._append_pending()

    def _on_tick(self, _: Tick) -> None:
        now = self._environment.now()
        for request in list(self._request_by_attempt.values()):
            if now >= request.deadline:
                self._give_up(request)
        self._append_pending()
        if now >= self._next_idle_append_at and not self._appending:
            self._postpone_idle_append()
            self._appender.append(encode_items([]))

    def _give_up(self, request: ClaimRequested) -> None:
        """Stop waiting for a claim to be read back; decide not to send it first."""
        del self._request_by_attempt[request.claim.attempt_id]
        self._environment.metrics.claims.labels(outcome="given_up").inc()
        request.future.set_result(None)
        self._release(request.claim)

    def _release(self, claim: Claim) -> None:
        self._pending = [item for item in self._pending if item != claim]
        self._pending.append(Released(claim.key, claim.owner, claim.attempt_id))

    def _postpone_idle_append(self) -> None:
        # Randomized, so that usually one VM appends and the others read its record.
        wait_s = IDLE_APPEND_S * (1 + self._environment.rng.random())
        self._next_idle_append_at = self._environment.now() + wait_s

    def _on_dump(self, _: DumpClaims) -> dict[str, Any]:
        table = self._table
        return {
            "keys": None if table is None else len(table),
            "complete": None if table is None else table.is_complete,
            "next_offset": None if table is None else table.next_offset,
            "waiting": len(self._request_by_attempt),
            "pending": len(self._pending),
        }
