"""Tests of learned load times, and of loads into free slots."""

import pytest

from bamboovale.decisions.adapter_slots import AdapterSlots
from bamboovale.decisions.engine_cache import EngineCache
from bamboovale.decisions.load_times import LoadTimes
from bamboovale.decisions.place_work import AdapterKey, ReportedState
from tests.engine_pool_simulation import PoolLoad, PoolResult, simulate_pool

KEY = ("base", "a1")
LOAD_TIMES_S = [0.02, 0.05, 0.1, 0.288, 0.6, 1.2, 5.0]


def mean_wait_s(result: PoolResult) -> float:
    """Return the mean wait of the last requests of a simulation."""
    waits_s = [wait_s for _, wait_s in result.waits_s[-30:]]
    return sum(waits_s) / len(waits_s)


class TestOneRequestAtATime:
    """Adapters in turn at six engines with two slots each, without a fault."""

    @pytest.mark.parametrize("load_s", LOAD_TIMES_S)
    def test_all_engines_are_used_and_nothing_is_refused(self, load_s: float) -> None:
        """Guards against evictions while slots are free, and requests sent too early.

        The engine rejects a request whose adapter is not loaded, and the retries use up
        the fleet's budget.
        """
        result = simulate_pool(PoolLoad((load_s, load_s), max(20.0, 30 * load_s)))
        assert result.refused == 0
        assert min(result.loads_by_engine.values()) >= 1
        assert result.requests_later > 0
        assert result.early_later * 50 <= result.requests_later
        assert max(result.early_by_engine.values(), default=0) <= 1

    @pytest.mark.parametrize("cached_adapters", [0, 30])
    @pytest.mark.parametrize("load_s", LOAD_TIMES_S)
    def test_loads_after_evictions_are_not_waited_for_much_longer_than_they_take(
        self, load_s: float, cached_adapters: int
    ) -> None:
        """Guards against estimates that are safe because they are far too long."""
        load = PoolLoad((load_s, load_s), max(30.0, 60 * load_s), 24, cached_adapters)
        result = simulate_pool(load)
        assert result.refused == 0
        assert result.early_later * 50 <= result.requests_later
        assert mean_wait_s(result) <= 1.1 * load_s + 0.13

    def test_loads_that_take_longer_for_a_while_cost_one_early_request(self) -> None:
        """Guards against one at each load while many engines load at once."""
        load = PoolLoad(
            (0.288, 0.288),
            seconds=60.0,
            adapters=24,
            slow_load_s=(0.8, 0.8),
            slow_between=(20.0, 35.0),
        )
        result = simulate_pool(load)
        assert result.refused == 0
        assert max(result.early_by_engine.values(), default=0) <= 1
        assert mean_wait_s(result) <= 0.45

    def test_loads_of_varying_length_cost_few_early_requests(self) -> None:
        """Guards against an estimate that is the mean, which half of the loads pass."""
        load = PoolLoad((0.1, 0.6), seconds=60.0, adapters=24)
        result = simulate_pool(load)
        assert result.early_later * 20 <= result.requests_later


def report(now: float, *, loading: bool = False, version: int = 0) -> ReportedState:
    """Return a report with the adapter loading, or loaded in a version."""
    loaded: dict[AdapterKey, int] = {KEY: version} if version else {}
    coming = frozenset({KEY} if loading else ())
    return ReportedState({"base": 1}, loaded, coming, 0, now, missing_orders=0)


class TestLoadTimes:
    """What single loads teach."""

    def test_an_early_request_stops_others_until_a_load_is_complete(self) -> None:
        times = LoadTimes()
        times.seed(0.3, 0.0)
        times.on_early(0.33, cached=False)
        assert not times.may_predict
        times.on_complete(0.7, 0.1, cached=False, early_s=0.33)
        assert times.may_predict and times.expected_s() > 0.7

    def test_the_age_of_reports_does_not_count_as_load_time(self) -> None:
        times = LoadTimes()
        times.seed(0.3, 0.0)
        times.lag.add(0.09, 0.1)
        for _ in range(20):
            times.on_complete(0.2, 0.02, cached=False)
        assert 0.1 <= times.mean_s(cached=False) <= 0.12

    def test_quick_loads_of_unknown_adapters_may_come_from_the_cache(self) -> None:
        """Guards against a new owner that takes the cache's time for the store's."""
        times = LoadTimes()
        times.seed(0.3, 0.0)
        for _ in range(3):
            times.on_complete(0.03, 0.03, cached=False)
        assert times.mean_s(cached=False) == 0.3

    def test_a_replacement_that_waits_for_runs_teaches_nothing(self) -> None:
        """Guards against run times that are taken for load times."""
        slots = AdapterSlots(2)
        slots.times.seed(0.3, 0.0)
        slots.add_loaded(KEY, 1, 0.0)
        slots.note_version(KEY, 2, 1.0)
        assert slots.begin_load(KEY, 1.0) == 2
        slots.load_accepted(KEY, 1.0)
        slot = slots.get(KEY)
        assert slot is not None and slot.load is None
        slots.on_report(report(3.9, version=1), 3.9)
        slots.on_report(report(4.0, version=2), 4.0)
        assert slots.is_loaded(KEY)
        assert slots.times.published_s() == (0.3, 0.0)

    def test_a_load_that_began_with_a_lost_order_teaches_nothing(self) -> None:
        slots = AdapterSlots(2)
        slots.times.seed(0.3, 0.0)
        slots.begin_load(KEY, 1.0)
        slots.load_accepted(KEY, 1.5, at_once=True)
        slot = slots.get(KEY)
        assert slot is not None and slot.load is None
        slots.on_report(report(1.51, version=1), 1.51)
        assert slots.times.published_s() == (0.3, 0.0)

    def test_a_long_load_is_not_given_up(self) -> None:
        """Guards against a slot given away while its load of 5 s is in progress."""
        times = LoadTimes()
        times.seed(5.0, 0.0)
        assert times.timeout_s() > 10.0


class TestEngineCache:
    """How many adapters an engine keeps."""

    def test_the_size_follows_what_loads_show(self) -> None:
        cache = EngineCache()
        for number in range(10):
            cache.on_load(("base", f"a{number}"), 1)
        assert cache.loads_since(("base", "a7"), 1) == 2
        assert cache.loads_since(("base", "a7"), 2) is None
        assert cache.holds(2) is None
        cache.on_source(2, was_cached=True)
        cache.on_source(6, was_cached=False)
        assert [cache.holds(n) for n in (2, 4, 6)] == [True, None, False]
        assert cache.size == 6

    def test_remembered_adapters_are_bounded(self) -> None:
        cache = EngineCache()
        for number in range(1000):
            cache.on_load(("base", f"a{number}"), 1)
        assert cache.loads_since(("base", "a0"), 1) is None
