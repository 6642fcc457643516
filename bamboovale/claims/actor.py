"""Claims keys of non-idempotent requests on the log, many in one append."""

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
"""About 300 bytes each: a third of the largest record."""

QUIET_APPEND_S = 10.0
"""On a stream that was quiet for this long, up to twice, one VM appends an empty group.
A VM that starts later learns from its time how far back the kept records reach.
Without it the oldest kept claim on a quiet stream is much younger than the log's
retention, and a new VM would answer ``outcome_unknown`` to every new key until a
horizon has passed."""


@dataclass(frozen=True)
class ClaimBatchRead:
    """Records of the claim stream."""

    batch: RecordBatch


@dataclass(frozen=True)
class ClaimRequested:
    """A caller's thread wants a claim; ``deadline`` is on the monotonic clock.

    The future brings the outcome, or None if the claim did not come about: the
    attempt is then never sent.
    """

    claim: Claim
    deadline: float
    future: "Future[ClaimOutcome | None]"


@dataclass(frozen=True)
class ClaimEnded:
    """The attempt was answered, or is released unsent."""

    item: Answered | Released


@dataclass(frozen=True)
class AppendEnded:
    """An append of claims ended."""

    attempt_ids: tuple[str, ...]
    result: Result[int, LogFailure]


@dataclass(frozen=True)
class DumpClaims:
    """Ask for the state as JSON."""


class ClaimActor(MessageActor):
    """Owns the claim table and the group commit of this VM's claims."""

    def __init__(self, environment: Environment, appender: Appender) -> None:
        super().__init__(environment.metrics.internal_faults.inc)
        self._environment = environment
        self._appender = appender
        self._table: ClaimTable | None = None
        self._pending: list[ClaimItem] = []
        self._asked_by_attempt: dict[str, ClaimRequested] = {}
        self._appending = False
        self._next_quiet_append_at = self._environment.now() + QUIET_APPEND_S
        self.handle(ClaimBatchRead, self._on_batch)
        self.handle(ClaimRequested, self._on_asked)
        self.handle(ClaimEnded, self._on_ended)
        self.handle(AppendEnded, self._on_append_ended)
        self.handle(Tick, self._on_tick)
        self.handle(DumpClaims, self._on_dump)

    def _on_batch(self, message: ClaimBatchRead) -> None:
        batch = message.batch
        if batch.records:
            self._put_off_quiet_append()
        horizon_s = self._environment.settings.claim_horizon_s
        if self._table is None:
            self._table = ClaimTable(horizon_s=horizon_s)
        first = batch.records[0].offset if batch.records else batch.first
        if first > self._table.next_offset:
            # Claims that expired unread may have won any key: none is judged free
            # until a whole horizon has been read.
            self._table = ClaimTable.after_gap(first, horizon_s=horizon_s)
        for record in batch.records:
            try:
                outcomes = self._table.apply(record.offset, record.value, record.time)
            except ClaimGapError:
                self._table = ClaimTable.after_gap(record.offset, horizon_s=horizon_s)
                outcomes = self._table.apply(record.offset, record.value, record.time)
            for outcome in outcomes:
                self._settle(outcome)

    def _settle(self, outcome: ClaimOutcome) -> None:
        asked = self._asked_by_attempt.pop(outcome.claim.attempt_id, None)
        if asked is None:
            return
        self._environment.metrics.claims.labels(outcome=outcome.verdict.value).inc()
        if outcome.verdict is Verdict.UNKNOWN:
            self._release(asked.claim)
        asked.future.set_result(outcome)

    def _on_asked(self, message: ClaimRequested) -> None:
        self._asked_by_attempt[message.claim.attempt_id] = message
        self._pending.append(message.claim)
        self._append_pending()

    def _on_ended(self, message: ClaimEnded) -> None:
        self._pending.append(message.item)
        self._append_pending()

    def _append_pending(self) -> None:
        """Append all that waits in one record; one append is under way at a time.

        Without this each claim would be an append of its own, and the log's several
        hundred appends a second would bound the requests of all entry VMs together.
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
                asked = self._asked_by_attempt.pop(attempt_id, None)
                if asked is not None:
                    self._environment.metrics.claims.labels(outcome="refused").inc()
                    asked.future.set_result(None)
            return
        self._append_pending()

    def _on_tick(self, _: Tick) -> None:
        now = self._environment.now()
        for asked in list(self._asked_by_attempt.values()):
            if now >= asked.deadline:
                self._give_up(asked)
        self._append_pending()
        if now >= self._next_quiet_append_at and not self._appending:
            self._put_off_quiet_append()
            self._appender.append(encode_items([]))

    def _give_up(self, asked: ClaimRequested) -> None:
        """End a wait for a read-back; the decision never to send comes first."""
        del self._asked_by_attempt[asked.claim.attempt_id]
        self._environment.metrics.claims.labels(outcome="given_up").inc()
        asked.future.set_result(None)
        self._release(asked.claim)

    def _release(self, claim: Claim) -> None:
        self._pending = [item for item in self._pending if item != claim]
        self._pending.append(Released(claim.key, claim.owner, claim.attempt_id))

    def _put_off_quiet_append(self) -> None:
        # Spread at random, so that as a rule one VM appends and the others read it.
        wait_s = QUIET_APPEND_S * (1 + self._environment.rng.random())
        self._next_quiet_append_at = self._environment.now() + wait_s

    def _on_dump(self, _: DumpClaims) -> dict[str, Any]:
        table = self._table
        return {
            "keys": None if table is None else len(table),
            "complete": None if table is None else table.is_complete,
            "next_offset": None if table is None else table.next_offset,
            "waiting": len(self._asked_by_attempt),
            "pending": len(self._pending),
        }
