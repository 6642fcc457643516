"""The leases of this node: from when to when it may act as a holder."""

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

# Ends of terms of records that never came back are dropped beyond this number.
MAX_PENDING = 256


@dataclass(frozen=True, slots=True)
class HeldLease:
    """One engine held by this node, valid until a moment on its own clock.

    ``valid_until`` is None after a hand-over until the first own renewal was read
    back: nobody here knows when the release came to lie on the log.
    """

    engine: str
    fencing: int
    valid_until: float | None = None


class OwnLeases:
    """What this node holds, from its own records as it reads them back.

    Call ``note_sent`` *before* each append and ``note_read`` for each outcome of the
    fold. A repeated append keeps its record id, its first send time and its term.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._ends_at_by_record_id: dict[str, float] = {}
        self._held_by_engine: dict[str, HeldLease] = {}

    @property
    def held_by_engine(self) -> dict[str, HeldLease]:
        """Return a copy of what the stream says this node holds, valid or not."""
        return dict(self._held_by_engine)

    def renewal(self, record_id: str, term_s: float = DEFAULT_TERM_S) -> Renewal:
        """Return the record that renews every lease of this node for a term."""
        return Renewal(
            record_id=record_id,
            node=self._node,
            fencing_by_engine={
                engine: held.fencing for engine, held in self._held_by_engine.items()
            },
            term_s=term_s,
        )

    def note_sent(self, record: LeaseRecord | Reset, now: float) -> None:
        """Remember when a record was first about to be sent, and for which term.

        A term counts from before the append: wherever the record comes to lie on the
        log, takers count from later.
        """
        if isinstance(record, Renewal | Take):
            ends_at = now + record.term_s
            self._ends_at_by_record_id.setdefault(record.record_id, ends_at)
        while len(self._ends_at_by_record_id) > MAX_PENDING:
            del self._ends_at_by_record_id[next(iter(self._ends_at_by_record_id))]

    def apply(self, outcome: LeaseOutcome | None) -> None:
        """Take in what the fold made of a record, own or another's."""
        if isinstance(outcome, Moved):
            self._note_move(outcome)
        elif isinstance(outcome, Renewed) and outcome.node == self._node:
            self._note_renewal(outcome)
        elif isinstance(outcome, Cleared):
            self._held_by_engine.clear()

    def drop(self, engine: str) -> None:
        """Stop acting as holder, before the release is sent."""
        self._held_by_engine.pop(engine, None)

    def restore(self, held: HeldLease) -> None:
        """Act as holder again: the release was refused, so nobody else can."""
        self._held_by_engine.setdefault(held.engine, held)

    def reconcile(self, lease_by_engine: Mapping[str, Lease]) -> None:
        """Drop what a table read from a snapshot does not confirm.

        Records that moved a lease may have expired unread in the gap before it.
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

        To be asked before each order and again after it: a process that was paused
        in between finds that its lease has lapsed.
        """
        held = self._held_by_engine.get(engine)
        if held is None or held.valid_until is None or now >= held.valid_until:
            return None
        return held.fencing

    def _note_move(self, outcome: Moved) -> None:
        if outcome.holder != self._node:
            self._held_by_engine.pop(outcome.engine, None)
            return
        valid_until = None
        if not outcome.by_release:
            valid_until = self._ends_at_by_record_id.get(outcome.record_id)
        self._held_by_engine[outcome.engine] = HeldLease(
            engine=outcome.engine,
            fencing=outcome.fencing,
            valid_until=valid_until,
        )

    def _note_renewal(self, outcome: Renewed) -> None:
        valid_until = self._ends_at_by_record_id.get(outcome.record_id)
        if valid_until is None:
            return
        for engine in outcome.engines:
            held = self._held_by_engine.get(engine)
            if held is None:
                continue
            later = max(valid_until, held.valid_until or valid_until)
            self._held_by_engine[engine] = HeldLease(engine, held.fencing, later)
