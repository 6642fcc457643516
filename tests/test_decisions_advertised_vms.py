"""Tests of which VMs are advertised to callers, and when a VM counts as busy."""

from collections import Counter

from bamboovale.decisions.advertised_vms import (
    ADVERTISED_SHARE,
    MIN_ADVERTISED,
    MIN_PER_DOMAIN,
    Candidate,
    advertised_in_domain,
)
from bamboovale.decisions.timer_lag import IDLE_AFTER_S, TimerLagMonitor

DOMAINS = 5


def domain(count: int, *, busy: int = 0) -> list[Candidate]:
    """Return the VMs of one failure domain, the first ``busy`` advertised ones busy."""
    candidates = [Candidate(f"vm{number}", 0.5) for number in range(count)]
    advertised = advertised_in_domain(candidates, DOMAINS * count)
    return [
        Candidate(c.vm_id, c.cores, c.vm_id in advertised[:busy]) for c in candidates
    ]


class TestAdvertisedVMs:
    """Guards against advertising too many, too few or ever-changing VMs."""

    def test_a_small_fleet_is_advertised_as_a_whole(self) -> None:
        candidates = [Candidate(f"vm{number}", 1.0) for number in range(3)]
        assert len(advertised_in_domain(candidates, MIN_ADVERTISED)) == 3

    def test_a_share_of_a_large_fleet_is_advertised(self) -> None:
        advertised = advertised_in_domain(domain(40), 200)
        assert len(advertised) == ADVERTISED_SHARE * 40

    def test_the_loss_of_vms_moves_few_callers(self) -> None:
        """Guards against moving callers of other VMs when one is lost."""
        candidates = domain(40)
        before = advertised_in_domain(candidates, 200)
        left = [c for c in candidates if c.vm_id != before[0]]
        after = advertised_in_domain(left, 199)
        assert set(before[1:]) <= set(after)

    def test_each_failure_domain_has_some(self) -> None:
        assert len(advertised_in_domain(domain(40)[:6], 200)) == MIN_PER_DOMAIN
        assert len(advertised_in_domain(domain(40)[:2], 200)) == 2

    def test_larger_vms_are_advertised_more_often(self) -> None:
        counts: Counter[float] = Counter()
        for fleet in range(50):
            candidates = [
                Candidate(f"vm{fleet}-{number}", 2.0 if number % 4 == 0 else 0.5)
                for number in range(40)
            ]
            cores = {c.vm_id: c.cores for c in candidates}
            counts.update(cores[v] for v in advertised_in_domain(candidates, 200))
        # One VM in four is large.
        assert 3 * counts[2.0] > 2 * counts[0.5]

    def test_busy_vms_spread_callers_over_more(self) -> None:
        """Guards against overloading the advertised VMs while the others are idle."""
        calm = advertised_in_domain(domain(40), 200)
        one_busy = advertised_in_domain(domain(40, busy=1), 200)
        crowded = advertised_in_domain(domain(40, busy=4), 200)
        assert one_busy == calm
        assert len(crowded) == 2 * len(calm)

    def test_all_are_advertised_if_all_are_busy(self) -> None:
        candidates = [Candidate(f"vm{number}", 0.5, True) for number in range(40)]
        assert len(advertised_in_domain(candidates, 200)) == 40


class TestTimerLagMonitor:
    """Guards against wrong reports of a busy VM."""

    def test_one_late_timer_does_not_make_it_busy(self) -> None:
        """Guards against treating a VM that was suspended as busy."""
        monitor = TimerLagMonitor()
        monitor.on_timer(6.0, 10.0)
        assert monitor._mean_s < 0.1
        for number in range(20):
            monitor.on_timer(0.001, 10.0 + 0.3 * number)
        assert not monitor.is_busy

    def test_timers_that_stay_late_make_it_busy(self) -> None:
        monitor = TimerLagMonitor()
        for number in range(10):
            monitor.on_timer(0.06, 0.3 * number)
        assert monitor.is_busy

    def test_it_is_not_busy_again_after_a_while(self) -> None:
        monitor = TimerLagMonitor()
        for number in range(10):
            monitor.on_timer(0.06, 0.3 * number)
        now = 3.0
        while monitor.is_busy and now < 60.0:
            now += 0.3
            monitor.on_timer(0.0, now)
        assert IDLE_AFTER_S <= now - 3.0 < 2 * IDLE_AFTER_S
