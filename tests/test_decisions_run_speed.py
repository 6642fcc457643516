"""Tests of the learned speed of an engine's runs."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bamboovale.decisions.pool_speed import UNKNOWN_SPEED, PoolSpeed
from bamboovale.decisions.run_meter import RunMeter
from bamboovale.decisions.run_speed import MAX_FACTOR, MAX_RUN_S, RunSpeed

TOKENS = 70
TOKEN_S = 0.006
INTERVAL_S = 0.1


def feed(
    speed: RunSpeed, start: float, seconds: float, token_s: float, active: float = 4.0
) -> float:
    """Feed equal runs for a while and return the time of the last one."""
    now = start
    for _ in range(round(seconds / INTERVAL_S)):
        now += INTERVAL_S
        speed.on_run(TOKENS, TOKENS * token_s, active, now, first_s=0.05)
    return now


@pytest.fixture
def speed() -> RunSpeed:
    """Return the speed of an engine after 20 seconds of equal runs."""
    made = RunSpeed()
    feed(made, 0.0, 20.0, TOKEN_S)
    return made


class TestRunSpeed:
    """What the speed is after runs; ``speed`` has seen runs until second 20."""

    def test_without_runs_it_is_unknown(self) -> None:
        assert RunSpeed().s_per_token(4.0, 1.0) == 0.0
        assert RunSpeed().run_s(1.0) == 0.0

    def test_equal_runs_give_their_speed_and_length(self, speed: RunSpeed) -> None:
        assert speed.s_per_token(4.0, 20.0) == pytest.approx(TOKEN_S, rel=0.01)
        assert speed.run_s(20.0) == pytest.approx(TOKENS * TOKEN_S + 0.05, rel=0.01)

    def test_a_larger_batch_takes_longer(self) -> None:
        """Guards against an engine that counts as slow because it was busy."""
        speed = RunSpeed()
        for number in range(1000):
            active = 2.0 + number % 9
            token_s = 0.004 + 0.001 * active
            speed.on_run(TOKENS, TOKENS * token_s, active, number * INTERVAL_S)
        assert speed.s_per_token(2.0, 100.0) == pytest.approx(0.006, rel=0.1)
        assert speed.s_per_token(10.0, 100.0) == pytest.approx(0.014, rel=0.1)

    def test_one_extreme_run_changes_little(self, speed: RunSpeed) -> None:
        """Guards against avoiding an engine after one run that met a fault."""
        speed.on_run(TOKENS, 1000 * TOKENS * TOKEN_S, 4.0, 20.1)
        assert speed.run_s(20.1) < 1.3 * (TOKENS * TOKEN_S + 0.05)
        assert speed.s_per_token(4.0, 25.0) == pytest.approx(TOKEN_S, rel=0.03)

    def test_a_slowdown_shows_within_a_second(self, speed: RunSpeed) -> None:
        now = feed(speed, 20.0, 1.0, 2.5 * TOKEN_S)
        assert speed.s_per_token(4.0, now) > 2.0 * TOKEN_S

    def test_a_short_slowdown_is_forgotten_without_runs(self, speed: RunSpeed) -> None:
        """Guards against an engine that nobody uses again after a short slowdown."""
        now = feed(speed, 20.0, 0.6, 2.5 * TOKEN_S)
        assert speed.s_per_token(4.0, now + 4.0) < 1.15 * TOKEN_S

    def test_a_recovered_engine_counts_as_fast_after_few_runs(
        self, speed: RunSpeed
    ) -> None:
        now = feed(speed, 20.0, 10.0, 2.0 * TOKEN_S)
        assert speed.s_per_token(4.0, now) > 1.8 * TOKEN_S
        assert speed.s_per_token(4.0, now + 5.0) < 1.6 * TOKEN_S
        now = feed(speed, now, 1.0, TOKEN_S)
        assert speed.s_per_token(4.0, now) < 1.15 * TOKEN_S

    def test_a_lasting_difference_stays_without_runs(self) -> None:
        speed = RunSpeed()
        now = feed(speed, 0.0, 60.0, 2.0 * TOKEN_S)
        assert speed.s_per_token(4.0, now + 30.0) > 1.9 * TOKEN_S

    def test_a_seed_is_used_until_runs_correct_it(self) -> None:
        """Guards against an owner that starts anew and against one that keeps errors.

        The previous owner may have published while the engine was slow.
        """
        speed = RunSpeed()
        speed.seed(2.5 * TOKEN_S, 1.2)
        assert speed.s_per_token(4.0, 0.0) == pytest.approx(2.5 * TOKEN_S)
        assert speed.run_s(0.0) == pytest.approx(1.2)
        now = feed(speed, 0.0, 3.0, TOKEN_S)
        assert speed.s_per_token(4.0, now) == pytest.approx(TOKEN_S, rel=0.1)

    def test_a_seed_does_not_replace_what_was_learned(self, speed: RunSpeed) -> None:
        speed.seed(1.0, 100.0)
        assert speed.run_s(20.0) < 1.0

    @given(
        st.lists(
            st.tuples(
                st.integers(-5, 10**9),
                st.floats(-1.0, 1e12),
                st.floats(0.0, 1e6),
                st.floats(-10.0, 1e6),
            ),
            max_size=60,
        )
    )
    def test_it_is_bounded_whatever_the_runs(
        self, runs: list[tuple[int, float, float, float]]
    ) -> None:
        """Guards against overflow and against a speed that no run can correct."""
        speed = RunSpeed()
        speed.on_run(TOKENS, TOKENS * TOKEN_S, 4.0, 0.0)
        now = 0.0
        for tokens, seconds, active, elapsed_s in runs:
            now += elapsed_s
            speed.on_run(tokens, seconds, active, now)
            for value in (speed.s_per_token(active, now), speed.run_s(now)):
                assert math.isfinite(value) and 0.0 < value <= MAX_RUN_S
        lasting_s = speed.s_per_token(4.0, now + 1e6)
        assert speed.s_per_token(4.0, now) <= MAX_FACTOR * lasting_s * 1.01


class TestRunMeter:
    """Which runs are measured."""

    def test_a_run_is_measured_beside_the_others(self) -> None:
        meter = RunMeter()
        meter.on_granted("a", 0.0)
        meter.on_started("a", 0.1)
        meter.on_granted("b", 0.35)
        meter.on_ended("a", 100, 0.6)
        meter.on_gone("a", 0.6)
        assert meter.speed.run_s(0.6) == pytest.approx(0.6)
        assert meter.speed.mean_s_per_token(0.6) == pytest.approx(0.005)
        assert meter.speed._mean_active == pytest.approx(1.5)

    @pytest.mark.parametrize("case", ["gone", "adopted", "not started"])
    def test_nothing_is_learned_from_other_ends(self, case: str) -> None:
        """Guards against learning the time until a VM was found to be lost."""
        meter = RunMeter()
        if case == "adopted":
            meter.on_adopted("a", 0.0)
        else:
            meter.on_granted("a", 0.0)
        if case != "not started":
            meter.on_started("a", 0.1)
        if case != "gone":
            meter.on_ended("a", 100, 5.0)
        meter.on_gone("a", 5.0)
        assert meter.speed.run_s(5.0) == 0.0


class TestPoolSpeed:
    """The speed that counts for an engine without one."""

    def test_it_is_the_median_of_the_known_ones(self) -> None:
        known = [PoolSpeed(s, 100 * s) for s in (0.002, 0.004, 0.05)]
        pool = PoolSpeed.from_engines([*known, UNKNOWN_SPEED])
        assert pool == PoolSpeed(0.004, 0.4)

    def test_it_is_unknown_where_no_engine_has_one(self) -> None:
        assert PoolSpeed.from_engines([UNKNOWN_SPEED]) == UNKNOWN_SPEED
