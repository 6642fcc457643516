"""The fold of the lease stream and the timing rules of leases."""

from dataclasses import replace
from typing import Any

import pytest

from bamboovale.leases.fold import (
    Cleared,
    LeaseGapError,
    LeaseTable,
    Moved,
    Renewed,
    Void,
)
from bamboovale.leases.own_leases import OwnLeases
from bamboovale.leases.records import Release, Renewal, Reset, Take
from bamboovale.leases.recovery import LeaseRecovery
from bamboovale.leases.timing import LeaseTerms

TAKE_A = Take("r1", "a", "engine-1", after=-1)


def fold(*records: Any) -> LeaseTable:
    table = LeaseTable.empty()
    for offset, record in enumerate(records):
        table.apply(offset, record.to_json(), read_at=float(offset))
    return table


class TestChain:
    """Which records are valid and which are void."""

    def test_one_renewal_extends_all_leases_still_held(self) -> None:
        table = fold(TAKE_A, Take("r2", "a", "engine-2", after=-1))
        renewal = Renewal("r3", "a", {"engine-1": 0, "engine-2": 1, "engine-3": 0})
        outcome = table.apply(2, renewal.to_json(), read_at=9.0)
        assert isinstance(outcome, Renewed)
        assert outcome.engines == ("engine-1", "engine-2")
        assert outcome.refused == ("engine-3",)
        assert table.lease_by_engine["engine-2"].read_at == 9.0

    def test_a_take_that_was_overtaken_by_a_renewal_is_void(self) -> None:
        # Guards against two holders: b was paused before its append, and a renewed.
        table = fold(TAKE_A, Renewal("r2", "a", {"engine-1": 0}))
        outcome = table.apply(2, Take("r3", "b", "engine-1", after=0).to_json(), 2.0)
        assert isinstance(outcome, Void)
        assert table.lease_by_engine["engine-1"].holder == "a"

    def test_an_old_fencing_number_renews_nothing(self) -> None:
        # a lost the engine and took it again; a delayed copy of its old renewal is
        # then appended.
        table = fold(
            TAKE_A,
            Take("r2", "b", "engine-1", after=0),
            Take("r3", "a", "engine-1", after=1),
        )
        renewal = Renewal("r4", "a", {"engine-1": 0}).to_json()
        outcome = table.apply(3, renewal, read_at=3.0)
        assert isinstance(outcome, Renewed) and not outcome.engines
        assert table.last_offset("engine-1") == 2

    def test_only_the_holder_renews(self) -> None:
        table = fold(TAKE_A)
        renewal = Renewal("r2", "b", {"engine-1": 0}).to_json()
        outcome = table.apply(1, renewal, read_at=1.0)
        assert isinstance(outcome, Renewed) and outcome.refused == ("engine-1",)

    def test_a_release_names_the_next_holder(self) -> None:
        table = fold(TAKE_A)
        release = Release("r2", "a", "engine-1", fencing=0, next_node="b")
        outcome = table.apply(1, release.to_json(), read_at=1.0)
        assert isinstance(outcome, Moved)
        assert (outcome.holder, outcome.fencing) == ("b", 1)
        copy = table.apply(2, release.to_json(), read_at=2.0)
        assert isinstance(copy, Void)

    @pytest.mark.parametrize(
        "value",
        [
            None,
            {"type": "take"},
            TAKE_A.to_json() | {"after": True},
            TAKE_A.to_json() | {"engine": 7},
            {"type": "renew", "id": "x", "node": "a", "fencing_by_engine": {"e": "0"}},
            {"type": "snapshot", "id": "x", "at": 0, "last": 0, "leases": [["e"]]},
            {"type": "reset", "id": "x", "node": "a"},
        ],
    )
    def test_unreadable_records_change_nothing(self, value: Any) -> None:
        table = LeaseTable.empty()
        assert isinstance(table.apply(0, value, read_at=0.0), Void)
        assert not table.lease_by_engine

    def test_a_gap_raises_and_a_snapshot_recovers(self) -> None:
        table = fold(TAKE_A)
        with pytest.raises(LeaseGapError):
            table.apply(2, TAKE_A.to_json(), read_at=1.0)
        value = table.snapshot("s1")
        assert LeaseTable.from_snapshot(value, read_at=5.0, first=2) is None
        restored = LeaseTable.from_snapshot(value, read_at=5.0, first=1)
        assert restored is not None and restored.next_offset == 1
        assert restored.lease_by_engine["engine-1"].read_at == 5.0


class TestTiming:
    """When a holder may act and when a lease may be taken."""

    terms = LeaseTerms(term_s=3.0, margin_s=0.5, clock_error=0.01, rank_step_s=0.25)

    def test_a_taker_waits_from_its_read_time(self) -> None:
        lease = fold(TAKE_A).lease_by_engine["engine-1"]
        assert self.terms.take_allowed_at(lease, 0, 100.0) == pytest.approx(
            3.5606, abs=1e-4
        )
        assert self.terms.take_allowed_at(lease, 2, 100.0) == pytest.approx(
            4.0606, abs=1e-4
        )
        assert self.terms.take_allowed_at(None, 1, 100.0) == pytest.approx(100.25)

    def test_a_lease_is_valid_once_its_record_is_read_back(self) -> None:
        table = LeaseTable.empty()
        own = OwnLeases("a")
        own.note_sent(TAKE_A, now=10.0)
        assert own.fencing("engine-1", now=10.0) is None
        own.apply(table.apply(0, TAKE_A.to_json(), read_at=11.0))
        assert own.fencing("engine-1", now=12.9) == 0
        assert own.fencing("engine-1", now=13.0) is None

    def test_a_retried_append_counts_from_its_first_send(self) -> None:
        own = OwnLeases("a")
        own.note_sent(TAKE_A, now=10.0)
        own.note_sent(TAKE_A, now=12.0)
        own.apply(LeaseTable.empty().apply(0, TAKE_A.to_json(), read_at=12.5))
        assert own.fencing("engine-1", now=13.5) is None

    def test_a_holder_stops_before_it_releases(self) -> None:
        # Guards against two holders: the next holder may act on the release before
        # this node has read it.
        own = OwnLeases("a")
        own.note_sent(TAKE_A, now=10.0)
        own.apply(LeaseTable.empty().apply(0, TAKE_A.to_json(), read_at=10.0))
        own.drop("engine-1")
        assert own.fencing("engine-1", now=10.1) is None
        assert not own.renewal("r2").fencing_by_engine

    def test_a_hand_over_is_valid_from_the_first_own_renewal(self) -> None:
        # Guards against a term counted from the next holder's read time: other nodes
        # may have read the release long before.
        table = fold(TAKE_A)
        own = OwnLeases("b")
        release = Release("r2", "a", "engine-1", fencing=0, next_node="b")
        own.apply(table.apply(1, release.to_json(), read_at=20.0))
        assert own.fencing("engine-1", now=20.0) is None
        renewal = own.renewal("r3")
        own.note_sent(renewal, now=20.0)
        own.apply(table.apply(2, renewal.to_json(), read_at=20.1))
        assert own.fencing("engine-1", now=20.1) == 1


class TestTermsThatDiffer:
    """A taker waits for the term in the holder's records.

    Guards against VMs with a shorter term that take a lease which is still valid.
    """

    terms = LeaseTerms(term_s=1.0, margin_s=0.5, clock_error=0.0)

    def test_a_taker_waits_for_the_term_of_a_take(self) -> None:
        table = fold(replace(TAKE_A, term_s=10.0))
        lease = table.lease_by_engine["engine-1"]
        assert self.terms.take_allowed_at(lease, 0, 0.0) == 10.5

    def test_a_shorter_renewal_does_not_end_a_longer_term(self) -> None:
        table = fold(
            replace(TAKE_A, term_s=10.0),
            Renewal("r2", "a", {"engine-1": 0}, term_s=1.0),
        )
        lease = table.lease_by_engine["engine-1"]
        assert self.terms.take_allowed_at(lease, 0, 0.0) == 11.5

    def test_the_holder_uses_the_term_of_its_record(self) -> None:
        own = OwnLeases("a")
        take = replace(TAKE_A, term_s=10.0)
        own.note_sent(take, now=0.0)
        own.apply(LeaseTable.empty().apply(0, take.to_json(), read_at=0.1))
        assert own.fencing("engine-1", now=9.9) == 0
        assert own.fencing("engine-1", now=10.0) is None

    def test_a_snapshot_keeps_the_term(self) -> None:
        table = fold(replace(TAKE_A, term_s=10.0))
        restored = LeaseTable.from_snapshot(table.snapshot("s1"), read_at=0.0)
        assert restored is not None
        assert restored.lease_by_engine["engine-1"].term_s == 10.0


class TestTermsOfAFleet:
    """The renewals of a large fleet stay within the limit for the log."""

    terms = LeaseTerms(term_s=2.5, renew_every_s=0.8)

    def test_a_small_fleet_keeps_its_terms(self) -> None:
        assert self.terms.for_fleet(9) == self.terms

    def test_a_large_fleet_renews_less_often(self) -> None:
        terms = self.terms.for_fleet(380)
        assert 380 / terms.renew_every_s <= 20.0
        assert terms.term_s > 2 * terms.renew_every_s
        assert terms.term_s <= terms.longest_term_s


class TestRecovery:
    """Starting after expired records."""

    terms = LeaseTerms(
        term_s=3.0,
        margin_s=0.5,
        clock_error=0.0,
        longest_term_s=3.0,
    )

    def test_without_a_snapshot_a_reset_restarts_the_table(self) -> None:
        # Guards against engines that are never taken again after all entry VMs were
        # replaced and the last snapshot expired.
        log: list[Any] = [None, None, Renewal("r1", "dead", {"engine-1": 0}).to_json()]
        recovery = LeaseRecovery(first=2, now=100.0)
        assert recovery.add(2, log[2], read_at=101.0) is None
        assert recovery.reset_allowed_at(self.terms, rank=0) == 104.5
        reset = recovery.reset("r2", "a").to_json()
        table = recovery.add(3, reset, read_at=105.0)
        assert table is not None and table.next_offset == 4
        taken = table.apply(4, Take("r3", "a", "engine-1", -1).to_json(), 105.1)
        assert isinstance(taken, Moved)

    def test_a_reset_overtaken_by_a_renewal_is_void_for_all_readers(self) -> None:
        table = fold(TAKE_A, Renewal("r2", "a", {"engine-1": 0}))
        reset = Reset("r3", "b", after=0).to_json()
        assert isinstance(table.apply(2, reset, read_at=2.0), Void)
        recovery = LeaseRecovery(first=1, now=0.0)
        recovery.add(1, Renewal("r2", "a", {"engine-1": 0}).to_json(), read_at=0.0)
        assert recovery.add(2, reset, read_at=0.0) is None

    def test_a_reset_written_before_the_first_record_read_is_ignored(self) -> None:
        recovery = LeaseRecovery(first=5, now=0.0)
        assert recovery.add(5, Reset("r3", "b", after=3).to_json(), 0.0) is None

    def test_a_holder_drops_its_leases_at_a_reset(self) -> None:
        table = fold(TAKE_A)
        own = OwnLeases("a")
        own.note_sent(TAKE_A, now=0.0)
        own.apply(Moved(0, "r1", "engine-1", None, "a", 0, by_release=False))
        outcome = table.apply(1, Reset("r2", "b", after=0).to_json(), read_at=9.0)
        assert isinstance(outcome, Cleared)
        own.apply(outcome)
        assert not own.held_by_engine and not table.lease_by_engine
