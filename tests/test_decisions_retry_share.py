"""Tests of one VM's share of the retry budget of a fleet."""

import pytest

from bamboovale.decisions.retry_share import RetryShare, RetryShareConfig

CONFIG = RetryShareConfig(ratio=0.2, burst=50, window_s=10)
LONG_AGO = -100.0


class TestRetryShare:
    """Guards against shares that add up to more than the budget."""

    def test_all_shares_together_keep_the_bound(self) -> None:
        """Guards against VMs that together exceed the ratio and burst of the fleet."""
        shares = [RetryShare.from_config(CONFIG, LONG_AGO) for _ in range(9)]
        retries = 0
        for share in shares:
            share.set_fleet_size(len(shares), 0.0)
            for number in range(100):
                share.on_fresh(number * 0.1)
                retries += share.take(number * 0.1)
        assert retries <= 0.2 * 900 + 50

    def test_retries_stop_when_the_share_is_used_up_and_resume(self) -> None:
        share = RetryShare.from_config(CONFIG, LONG_AGO)
        share.set_fleet_size(50, 0.0)
        assert not share.take(0.0)
        for _ in range(100):
            share.on_fresh(0.0)
        taken = sum(share.take(1.0) for _ in range(100))
        assert taken == 14
        assert not share.take(9.0)
        for _ in range(100):
            share.on_fresh(12.0)
        assert share.take(12.0)

    def test_what_was_taken_in_a_larger_fleet_still_counts(self) -> None:
        """Guards against a burst anew for those that are left when VMs fall silent."""
        share = RetryShare.from_config(CONFIG, LONG_AGO)
        share.set_fleet_size(10, 0.0)
        share.set_fleet_size(2, 3.0)
        assert share.allowed(3.0) == pytest.approx(0.7 * 50 / 10)
        share.set_fleet_size(2, 14.0)
        assert not [share.take(14.0) for _ in range(20)][-1]
        assert share.allowed(14.0) == pytest.approx(0.7 * 50 / 2)

    def test_a_vm_that_knows_no_fleet_takes_no_part_of_the_burst(self) -> None:
        share = RetryShare.from_config(CONFIG, LONG_AGO)
        assert share.allowed(0.0) == 0.0

    def test_a_process_takes_no_part_of_the_burst_in_its_first_window(self) -> None:
        """Guards against retries of its last process that still count."""
        share = RetryShare.from_config(CONFIG, 0.0)
        share.set_fleet_size(1, 0.0)
        assert not share.take(9.9)
        assert share.take(10.0)
