"""Quotas while a customer has a peak and the fleet has faults; callers return."""

import random

import pytest

from bamboovale.decisions.quota_account import QuotaAccount
from bamboovale.decisions.quota_budget import QuotaBudget
from bamboovale.decisions.quota_meter import HOLD_S, QuotaMeter
from bamboovale.decisions.quota_reports import QuotaReport
from bamboovale.decisions.return_queue import ReturnQueue, ReturnTerms
from bamboovale.decisions.usage_window import UsageWindow
from bamboovale.fleet.messages import Member
from bamboovale.gateway.fleet import Fleet
from bench.quota_peaks import (
    AFTER_S,
    END_S,
    FAULTS,
    Fault,
    no_fault,
    play,
    reject_account,
    reject_in_peak,
)
from bench.quota_simulation import CUSTOMER, WINDOW_S, Limit

RATES = [40_000.0, 220_000.0]
LARGE = (89, 34)
"""VMs, and how many of them carry requests."""


class TestPeak:
    """One customer at several times its limit, at 89 VMs of which 34 carry requests."""

    @pytest.mark.parametrize("rate", RATES)
    @pytest.mark.parametrize("fault", [no_fault, reject_account, reject_in_peak])
    def test_what_fits_the_limit_is_admitted_after_the_peak(
        self, rate: float, fault: Fault
    ) -> None:
        played = play(LARGE, rate, 6.7, fault)
        outcome = played.outcome
        assert outcome.refused_of_small_demand(played.limit, AFTER_S, END_S) <= 0.01

    @pytest.mark.parametrize("fault", [no_fault, reject_account, reject_in_peak])
    def test_what_the_window_still_holds_is_admitted_after_the_peak(
        self, fault: Fault
    ) -> None:
        played = play(LARGE, 220_000.0, 6.7, fault, clump=4)
        outcome = played.outcome
        assert outcome.refused_within_limit(played.limit, AFTER_S, END_S) <= 0.01

    @pytest.mark.parametrize("factor", [3.0, 6.7])
    def test_who_returns_after_the_peak_is_seldom_refused_again(
        self, factor: float
    ) -> None:
        """Guards against callers that all return at once."""
        outcome = play(LARGE, 220_000.0, factor, no_fault, clump=4).outcome
        assert outcome.returned
        assert outcome.refused_again_share(AFTER_S, END_S) < 0.1

    def test_most_who_return_are_admitted(self) -> None:
        """Guards against callers that return within the peak and are refused again."""
        outcome = play(LARGE, 220_000.0, 3.0, no_fault, clump=4).outcome
        assert outcome.refused_again_share(0.0, END_S) < 0.5

    @pytest.mark.parametrize("fleet", [(6, 6), (89, 34), (300, 120)])
    @pytest.mark.parametrize("factor", [3.0, 6.7])
    @pytest.mark.parametrize("fault", FAULTS[2:])
    def test_no_window_exceeds_the_bound(
        self,
        fleet: tuple[int, int],
        factor: float,
        fault: Fault,
    ) -> None:
        played = play(fleet, 220_000.0, factor, fault)
        assert played.outcome.largest_window() <= played.limit.most_in_window()


def report(used: float, start: int = 1, **last: float) -> QuotaReport:
    """Return a report of a VM with what the last reply said."""
    fields = {"granted_for": 0.0, "replied_s_ago": 0.0, "demand_per_s": 10.0, **last}
    return QuotaReport(CUSTOMER, start, used, **fields)


def new_account(now: float) -> QuotaAccount:
    """Return an account of 900 in any window of 8 seconds."""
    return QuotaAccount(CUSTOMER, QuotaBudget(100.0, 100.0, WINDOW_S, now), now)


class TestMovedAccount:
    """An account that another VM kept before."""

    def test_it_goes_on_from_the_newest_reply(self) -> None:
        """Guards against an account that is used up whenever its lease moves."""
        account = new_account(20.0)
        last = {"early_use": 200.0, "sustained_per_s": 175.0, "weight": 0.5}
        old, new = ({"left": left, "replied_s_ago": s, **last} for left, s in LAST)
        account.on_report("vm-1", report(0.0, **old), 20.0)
        account.on_report("vm-2", report(0.0, **new), 20.0)
        assert account.left(20.0) == pytest.approx(60.0, abs=15.0)

    def test_use_of_a_vm_that_is_cut_off_is_presumed_and_reconciled(self) -> None:
        """Guards against two halves of a fleet that use the limit twice."""
        account = new_account(0.0)
        account.on_report("vm-1", report(0.0), 20.0)
        before = account.left(22.0)
        account.presume_use(lambda vm_id: False, 22.0)
        presumed = before - account.left(22.0)
        assert presumed == pytest.approx(2 * 12.0)
        account.on_report("vm-1", report(5.0), 22.0)
        assert account.left(22.0) == pytest.approx(before - 5.0)


LAST = [(10.0, 2.0), (50.0, 0.1)]
"""What was left, and how many seconds ago a reply said so."""


class TestUsageWindow:
    """Use before a window was kept."""

    def test_only_what_was_assumed_is_replaced(self) -> None:
        """Guards against use that is counted twice when an account moves."""
        window = UsageWindow(100.0, 100.0, WINDOW_S, 20.0)
        window.restore(100.0, 200.0, 20.3, 20.3)
        window.spend(30.0, 20.4)
        window.restore(100.0, 200.0, 20.5, 20.5)
        assert window.left(20.5) == pytest.approx(900.0 - 100.0 - 100.0 - 30.0)


class TestReturnQueue:
    """Times at which refused requests may return."""

    def waits(self, count: int, crowding: float) -> list[float]:
        """Return the waits of requests of cost 10 that are refused together."""
        queue, rng = ReturnQueue(), random.Random(1)
        terms = ReturnTerms(0.25, 20.0, crowding, patience_s=5.0)
        return [queue.wait_s(10.0, terms, 100.0, rng) for _ in range(count)]

    def test_those_who_wait_are_spread_over_the_spare_rate(self) -> None:
        """Guards against callers that return together and are refused again."""
        in_time = [wait for wait in self.waits(50, 1.0) if wait <= 5.0]
        assert all(
            sum(second <= wait < second + 1 for wait in in_time) <= 3
            for second in range(5)
        )
        assert len(in_time) >= 8

    def test_the_further_above_the_limit_the_later(self) -> None:
        assert min(self.waits(5, 4.0)) >= 0.75 * 5.0


class TestWithoutAccount:
    """A VM that knows no account."""

    def meter(self, lost_s: float) -> QuotaMeter:
        """Return a meter whose account was lost some time ago."""
        meter = QuotaMeter(1, 0.0, random.Random(1), lambda customer: lost_s)
        meter.fleet_size = 10
        meter.set_limits({CUSTOMER: Limit(10_000.0, 10_000.0)}, 0.0)
        return meter

    def test_the_first_request_finds_what_was_saved_since_the_start(self) -> None:
        """Guards against refusing each customer's first request after a start."""
        assert self.meter(float("inf")).take(CUSTOMER, 700.0, 1.0) is None

    def test_a_first_large_request_is_admitted_while_the_account_moves(self) -> None:
        """Guards against VMs that rarely see a customer and refuse it then."""
        assert self.meter(HOLD_S / 2).take(CUSTOMER, 9_250.0, 60.0) is None


class TestHolder:
    """Two VMs hold a partition while the store rejects one of them."""

    @pytest.mark.parametrize(("other", "expected"), [(9, None), (20, "vm-2")])
    def test_the_newer_holder_has_the_account(
        self, other: int, expected: str | None
    ) -> None:
        """Guards against a VM that keeps an account which has moved."""
        fleet = Fleet(Member("vm-1", 1, 1, "a", 1, 2, "d", partitions=((3, 10),)))
        found = Member("vm-2", 1, 1, "b", 1, 2, "d", partitions=((3, other),))
        fleet.membership.apply(found, 0.0)
        assert fleet.newer_holder(3) == expected
