"""Tests of engine choice and owners together under a skewed load."""

import pytest

from tests.engine_load_simulation import Load, Result, Simulation

SLOWER = {"e4": 1.3, "e5": 1.3}


def simulate(per_s: float, seed: int, **fields: object) -> Result:
    load = Load(per_s=per_s, seed=seed, speed_by_engine=SLOWER, **fields)  # type: ignore[arg-type]
    return Simulation(load).run()


class TestSkewedLoad:
    """Guards against late first events and needless loads on six engines.

    Thousands of adapters share 108 slots, and two engines are slower.
    """

    @pytest.mark.parametrize("seed", [1, 2])
    def test_nearly_all_in_time_below_capacity(self, seed: int) -> None:
        result = simulate(150.0, seed)
        assert result.in_time(0.8) >= 0.96
        assert result.cold_loads <= 650

    @pytest.mark.parametrize("seed", [1, 2])
    def test_most_in_time_when_slots_run_out(self, seed: int) -> None:
        result = simulate(170.0, seed)
        assert result.in_time(0.8) >= 0.82
