"""Which requests a VM that stops can still complete."""

import pytest

from bamboovale.decisions.planned_stop import EngineSpeed, PlannedStop

STOP = PlannedStop(started_at=100.0, ends_at=107.0)


class TestLatestStart:
    """The time until which a run may begin."""

    def test_a_run_that_begins_in_time_ends_before_the_exit(self) -> None:
        """Guards against runs that are cut although they take as long as expected."""
        for run_s in (0.1, 1.0, 3.0, 10.0):
            assert STOP.latest_start(run_s) + run_s < STOP.ends_at

    def test_short_runs_begin_until_shortly_before_the_exit(self) -> None:
        """Guards against refusals of requests that the VM could complete."""
        assert STOP.latest_start(0.2) > STOP.ends_at - 0.5

    def test_a_run_longer_than_the_stop_never_begins(self) -> None:
        assert STOP.latest_start(8.0) < STOP.started_at

    def test_a_run_of_unknown_length_begins_only_at_first(self) -> None:
        """Guards against taking an unknown run for one that takes no time."""
        left_s = STOP.ends_at - STOP.latest_start(0.0)
        assert 0.5 < left_s / (STOP.ends_at - STOP.started_at) < 0.75


class TestTimes:
    """When a stop ends that the VM was told between two times."""

    @pytest.mark.parametrize("grace_s", [5.0, 6.0, 8.0, 30.0])
    def test_a_stop_that_is_noticed_at_once(self, grace_s: float) -> None:
        """Guards against cuts too soon to be excused, or after the kill."""
        stop = PlannedStop.between(100.0, 100.05, grace_s)
        assert stop.started_at == 100.0
        assert 5 / 6 * grace_s + 0.05 < stop.ends_at - 100.0 <= grace_s - 0.5

    def test_one_that_may_have_been_told_long_before(self) -> None:
        """Guards against an exit after the process is killed."""
        assert PlannedStop.between(100.0, 100.7, 8.0).ends_at >= 107.367
        assert PlannedStop.between(100.0, 102.0, 8.0).ends_at == 107.5


class TestPromise:
    """Which requests are taken on although their runs may be cut."""

    def test_at_first_all_are_as_a_cut_is_excused(self) -> None:
        assert STOP.may_take(received_at=102.8, ends_by=160.0)

    def test_later_only_those_that_the_clock_ends_in_time(self) -> None:
        """Guards against requests that only an estimate keeps from being lost."""
        assert STOP.may_take(received_at=102.95, ends_by=107.0)
        assert not STOP.may_take(received_at=102.95, ends_by=107.01)


class TestEngineSpeed:
    """The expected time of a run."""

    def test_it_follows_the_tokens_of_the_request(self) -> None:
        speed = EngineSpeed(s_per_token=0.001, s_per_output_token=0.02, run_s=1.0)
        assert speed.run_time_s(1000, 100) == 3.0

    def test_without_a_count_it_is_that_of_a_mean_run(self) -> None:
        speed = EngineSpeed(s_per_token=0.001, s_per_output_token=0.02, run_s=1.0)
        assert speed.run_time_s(0, 0) == 1.0

    def test_it_is_0_while_nothing_is_known(self) -> None:
        assert EngineSpeed(0.001, 0.0, 0.0).run_time_s(1000, 100) == 0.0
