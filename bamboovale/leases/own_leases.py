"""The leases that this node holds, and until when each is valid."""

from collections.abc import Mapping
from dataclasses import dataclass

from bamboovale.leases.fold import Cleared, Lease, LeaseOutcome, Moved, Renewed
from bamboovale.leases.records import (
    DEFAULT_TERM_S,
    LeaseRecord,
    Renewal,
    Reset,
    Take,
)

# Bounds the records that were sent but never read back.
MAX_PENDING = 256


@dataclass(frozen=True, slots=True)
class HeldLease:
    """One engine held by this node, valid until a time on its monotonic clock.

    ``valid_until`` is None after a hand-over until the first own renewal was read
    back, because this node does not know when the release was appended.
    """

    engine: str
    fencing: int
    valid_until: float | None = None


class OwnLeases:
    """The leases of this node, from its own records as they are read back.

    Call ``note_sent`` *before* each append and ``apply`` for each outcome of the
    fold. A retried append keeps its record id, its first send time and its term.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._term_end_by_record_id: dict[str, float] = {}
        self._held_by_engine: dict[str, HeldLease] = {}

    @property
    def held_by_engine(self) -> dict[str, HeldLease]:
        """Return a copy of the leases of this node, valid or not."""
        return dict(self._held_by_engine)

    def renewal(self, record_id: str, term_s: float = DEFAULT_TERM_S) -> Renewal:
        """Return a record that renews every lease of this node."""
        return Renewal(
            record_id=record_id,
            node=self._node,
            fencing_by_engine={
                engine: held.fencing for engine, held in self._held_by_engine.items()
            },
            term_s=term_s,
        )

    def note_sent(self, record: LeaseRecord | Reset, now: float) -> None:
        """Remember when a record was first sent, and its term.

        The term starts before the append, hence before any taker can read the record.
        """
        if isinstance(record, Renewal | Take):
            term_end = now + record.term_s
            self._term_end_by_record_id.setdefault(record.record_id, term_end)
        while len(self._term_end_by_record_id) > MAX_PENDING:
            del self._term_end_by_record_id[next(iter(self._term_end_by_record_id))]

    def apply(self, outcome: LeaseOutcome | None) -> None:
        """Update the leases by the outcome of a record of any node."""
        if isinstance(outcome, Moved):
            self._apply_move(outcome)
        elif isinstance(outcome, Renewed) and outcome.node == self._node:
            self._apply_renewal(outcome)
        elif isinstance(outcome, Cleared):
            self._held_by_engine.clear()

    def drop(self, engine: str) -> None:
        """Stop acting as holder, before the release is sent."""
        self._held_by_engine.pop(engine, None)

    def restore(self, held: HeldLease) -> None:
        """Act as holder again after a release that did not reach the log."""
        self._held_by_engine.setdefault(held.engine, held)

    def reconcile(self, lease_by_engine: Mapping[str, Lease]) -> None:
        """Drop the leases that a table from a snapshot does not confirm.

        Records that moved a lease may have expired unread before the snapshot.
        """
        for engine, held in list(self._held_by_engine.items()):
            lease = lease_by_engine.get(engine)
            if (
                lease is None
                or lease.holder != self._node
                or lease.fencing != held.fencing
            ):
                del self._held_by_engine[engine]

    def fencing(self, engine: str, now: float) -> int | None:
        """Return the fencing number if the lease is valid now, else None.

        Check it before each order and again after it: the lease may have expired
        while the process was paused in between.
        """
        held = self._held_by_engine.get(engine)
        if held is None or held.valid_until is None or now >= held.valid_until:
            return None
        return held.fencing

    def _apply_move(self, outcome: Moved) -> None:
        if outcome.holder != self._node:
            self._held_by_engine.pop(outcome.engine, None)
            return
        valid_until = None
        if not outcome.by_release:
            valid_until = self._term_end_by_record_id.get(outcome.record_id)
        self._held_by_engine[outcome.engine] = HeldLease(
            engine=outcome.engine,
            fencing=outcome.fencing,
            valid_until=valid_until,
        )

    def _apply_renewal(self, outcome: Renewed) -> None:
        valid_until = self._term_end_by_record_id.get(outcome.record_id)
        if valid_until is None:
            return
        for engine in outcome.engines:
            held = self._held_by_engine.get(engine)
            if held is None:
                continue
            later = max(valid_until, held.valid_until or valid_until)
            self._held_by_engine[engine] = HeldLease(engine, held.fencing, later)
