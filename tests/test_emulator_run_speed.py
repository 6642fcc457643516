"""Tests of engines that differ in speed, by what emulated callers receive."""

import itertools
from collections import defaultdict
from collections.abc import Generator
from dataclasses import replace
from statistics import fmean
from typing import Any

import pytest

from bamboovale.decisions.mechanisms import Mechanisms
from bamboovale.emulator.engine import EngineFigures
from bamboovale.emulator.outcomes import Result
from bamboovale.emulator.scenario import (
    Deployment,
    EngineGroup,
    Fault,
    RequestKind,
    Scenario,
    Tokens,
)
from bamboovale.emulator.simulation import Simulation

ENGINES = 8
SLOW_ENGINES = 2
FIGURES = EngineFigures(
    places=12,
    kv_tokens=174_404,
    adapter_slots=8,
    step_s=0.0055,
    step_s_per_run=0.0002,
    read_tokens_per_s=38_700.0,
    tokens_per_event=7,
    cold_load_s=0.288,
)
FULL_LOAD_PER_S = 14.0
"""Requests per second that one engine of usual speed serves with a full batch."""
LONG_SHARE = 0.04
WITHOUT = ("run-speed", "two-choices")


def kinds(per_s: float, long_share: float) -> tuple[RequestKind, ...]:
    """Return short requests and few with long prompts."""
    return (
        RequestKind(
            name="short",
            per_s=per_s * (1.0 - long_share),
            goal_s=0.515,
            pause_s=0.3,
            deadline_s=5.148,
            prompt=Tokens(646.0, 0.3, 3000),
            output=Tokens(70.0, 0.3, 300),
        ),
        RequestKind(
            name="long",
            per_s=per_s * max(1e-6, long_share),
            goal_s=0.835,
            pause_s=0.3,
            deadline_s=4.176,
            prompt=Tokens(9190.0, 0.2, 16_000),
            output=Tokens(49.0, 0.3, 200),
        ),
    )


def simulation(
    *without: str,
    load: float,
    vms: int = 6,
    slowness: float = 2.0,
    seed: int = 1,
    seconds: float = 8.0,
    long_share: float = LONG_SHARE,
    faults: tuple[Fault, ...] = (),
) -> Simulation:
    """Return a pool with one engine in four slower, at a share of its capacity.

    Statuses are as old as an owner's limits on messages make them.
    """
    slow = replace(FIGURES, slowness=slowness)
    fast_engines = ENGINES - SLOW_ENGINES
    per_s = load * FULL_LOAD_PER_S * (fast_engines + SLOW_ENGINES / slowness)
    loads_interval_s = max(0.1, min(0.45, vms / 200.0))
    deployment = Deployment(
        (EngineGroup(fast_engines, FIGURES), EngineGroup(SLOW_ENGINES, slow)),
        entry_vms=vms,
        adapters=30,
        load_word_s=loads_interval_s,
        status_s=3 * loads_interval_s,
        loads_at_full_speed=16,
        same_statuses=True,
    )
    scenario = Scenario(deployment, kinds(per_s, long_share), seconds, faults=faults)
    return Simulation(scenario, seed, Mechanisms.without(without))


def in_time(*without: str, after: float = 1.0, seeds: int = 3, **changed: Any) -> float:
    """Return the mean share in time over the seeds, of requests after a second."""
    shares = []
    for seed in range(1, seeds + 1):
        result: Result = simulation(*without, seed=seed, **changed).run()
        asked = [o for o in result.outcomes if o.asked_at >= after]
        shares.append(fmean(outcome.is_in_time for outcome in asked))
    return fmean(shares)


class TestSlowerEngines:
    """One engine in four at half the speed."""

    @pytest.mark.parametrize("vms", [6, 89, 300])
    def test_near_capacity_more_streams_are_in_time(self, vms: int) -> None:
        """Guards against VMs that overload slow engines, or all the best one."""
        usual = in_time(*WITHOUT, load=0.9, vms=vms, seconds=6.0)
        assert in_time(load=0.9, vms=vms, seconds=6.0) > usual + 0.03

    def test_many_vms_do_not_all_choose_the_best_engine(self) -> None:
        """Guards against an engine that is overloaded before its next status."""
        usual = in_time("two-choices", load=0.9, vms=89, seconds=6.0, seeds=6)
        assert in_time(load=0.9, vms=89, seconds=6.0, seeds=6) > usual

    @pytest.mark.parametrize("vms", [6, 89])
    def test_below_capacity_no_fewer_are_in_time(self, vms: int) -> None:
        usual = in_time(*WITHOUT, load=0.6, vms=vms, seeds=8)
        assert in_time(load=0.6, vms=vms, seeds=8) > usual - 0.01

    def test_equal_engines_are_used_no_worse(self) -> None:
        usual = in_time(*WITHOUT, load=0.9, slowness=1.0)
        assert in_time(load=0.9, slowness=1.0) >= usual

    def test_with_half_of_the_owners_lost_more_streams_are_in_time(self) -> None:
        lost = Fault("owner_lost", 4.0, share=0.5)
        usual = in_time(*WITHOUT, load=0.9, faults=(lost,))
        assert in_time(load=0.9, faults=(lost,)) > usual + 0.03


class TestSlowForAWhile:
    """Engines that are slow for a while."""

    def read_by_phase(self, *faults: Fault, ends: tuple[float, ...]) -> list[float]:
        """Return the prompts read by slowed engines, relative to others.

        One value for each span between two consecutive ``ends``.
        """
        tokens: dict[bool, list[list[int]]] = {True: [], False: []}
        for seed in (1, 2, 3):
            played = simulation(
                load=0.8,
                slowness=1.0,
                seed=seed,
                seconds=ends[-1],
                long_share=0.0,
                faults=faults,
            )
            counts: dict[str, list[int]] = defaultdict(list)
            slowed: set[str] = set()
            played.env.process(_count_tokens(played, ends, counts, slowed))
            played.run()
            for name, values in counts.items():
                tokens[name in slowed].append(values)
        return [
            _mean_growth(tokens[True], number) / _mean_growth(tokens[False], number)
            for number in range(len(ends) - 1)
        ]

    def test_a_recovered_engine_is_used_again_within_seconds(self) -> None:
        """Guards against an engine that is avoided after it recovered."""
        slow = Fault("slow", 2.0, for_s=10.0, x=2.0, share=0.25)
        during, after = self.read_by_phase(slow, ends=(3.0, 12.0, 13.0, 17.0))[::2]
        assert during < 0.8
        assert after > 0.85

    def test_an_engine_slow_for_a_moment_is_used_soon_after(self) -> None:
        slow = Fault("slow", 3.0, for_s=0.6, x=2.5, share=0.25)
        assert self.read_by_phase(slow, ends=(4.6, 8.0))[0] > 0.85

    def test_a_moment_of_slowness_costs_no_more_streams_than_before(self) -> None:
        slow = Fault("slow", 3.0, for_s=0.6, x=2.5, share=0.25)
        usual = in_time(*WITHOUT, load=0.9, faults=(slow,))
        assert in_time(load=0.9, faults=(slow,)) >= usual


def _count_tokens(
    played: Simulation,
    ends: tuple[float, ...],
    counts: dict[str, list[int]],
    slowed: set[str],
) -> Generator[Any, Any, None]:
    """Record which engines are slowed, and what each has read at each end."""
    for number in itertools.count(1):
        yield played.env.timeout(0.1)
        for name in played.live_engines():
            owner = played.owner(name)
            assert owner is not None
            if owner.engine.slowness > 1.0:
                slowed.add(name)
            if any(abs(0.1 * number - end) < 0.01 for end in ends):
                counts[name].append(owner.engine.counts.read_tokens)


def _mean_growth(values: list[list[int]], number: int) -> float:
    return fmean(counted[number + 1] - counted[number] for counted in values)
