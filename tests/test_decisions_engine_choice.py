"""Tests of the choice of an engine by an entry VM."""

import random
from collections import Counter
from dataclasses import replace

import pytest

from bamboovale.decisions.engine_choice import (
    EngineCandidate,
    EngineChooser,
    PoolLoadTimes,
)
from bamboovale.decisions.mechanisms import Mechanisms
from bamboovale.decisions.place_work import EngineSnapshot
from bamboovale.decisions.pool_speed import PoolSpeed

KEY = ("base", "a1")


def make_candidate(
    name: str, owner: str | None = "entry-0", **fields: object
) -> EngineCandidate:
    """Return an engine with 18 slots and a batch of 128."""
    values: dict = {
        "loaded": {},
        "coming": {},
        "models": ("base",),
        "active": 10,
        "places": 128,
        "queued": 0,
        "backlog_s": 0.0,
        "open_slots": 0,
        "kept": 100,
        "s_per_token": 1 / 20_000,
    }
    return EngineCandidate(name, EngineSnapshot(**(values | fields)), owner)


class TestEngineChoice:
    """Tests of affinity against load."""

    def test_every_vm_finds_the_same_engine_for_an_adapter(self) -> None:
        candidates = {f"e{n}": make_candidate(f"e{n}") for n in range(6)}
        chosen = {EngineChooser().choose(KEY, 1, candidates) for _ in range(5)}
        assert len(chosen) == 1

    def test_adapters_spread_over_the_engines(self) -> None:
        candidates = {f"e{n}": make_candidate(f"e{n}") for n in range(6)}
        chooser = EngineChooser()
        counts = Counter(
            chooser.choose(("base", f"a{n}"), 1, candidates) for n in range(600)
        )
        assert len(counts) == 6
        assert max(counts.values()) < 150

    def test_a_holder_is_preferred_while_others_queue_there_for_slots(self) -> None:
        """Guards against a needless copy when only requests with loads are queued."""
        candidates = {f"e{n}": make_candidate(f"e{n}") for n in range(3)}
        candidates["e1"] = make_candidate("e1", loaded={KEY: 1}, queued=40)
        assert EngineChooser().choose(KEY, 1, candidates) == "e1"

    def test_a_slow_holder_gets_a_copy_beside_it(self) -> None:
        """Guards against sending a hot adapter to a slow engine only."""
        candidates = {f"e{n}": make_candidate(f"e{n}") for n in range(3)}
        candidates["e1"] = make_candidate("e1", loaded={KEY: 1}, backlog_s=2.0)
        assert EngineChooser().choose(KEY, 1, candidates) != "e1"

    def test_an_old_version_is_no_holder(self) -> None:
        candidates = {f"e{n}": make_candidate(f"e{n}") for n in range(3)}
        home = EngineChooser().choose(KEY, 2, candidates)
        other = next(name for name in candidates if name != home)
        candidates[other] = make_candidate(other, loaded={KEY: 1})
        assert EngineChooser().choose(KEY, 2, candidates) == home

    def test_an_engine_without_owner_serves_what_it_holds_only(self) -> None:
        candidates = {"e0": make_candidate("e0", owner=None, loaded={KEY: 1})}
        assert EngineChooser().choose(KEY, 1, candidates) == "e0"
        assert EngineChooser().choose(("base", "a2"), 1, candidates) is None

    def test_an_engine_with_an_open_slot_is_preferred_for_a_load(self) -> None:
        """Guards against a load at an engine where adapters already wait for slots."""
        candidates = {f"e{n}": make_candidate(f"e{n}", open_slots=-2) for n in range(3)}
        candidates["e1"] = make_candidate("e1", open_slots=2)
        chosen = {
            EngineChooser().choose(("base", f"a{n}"), 1, candidates) for n in range(50)
        }
        assert chosen == {"e1"}

    def test_own_loads_count_until_the_next_status(self) -> None:
        """Guards against sending all loads between two statuses to one engine."""
        snapshot = make_candidate("e1", open_slots=2).snapshot
        candidates = {
            "e0": make_candidate("e0", open_slots=0),
            "e1": EngineCandidate("e1", snapshot, "entry-0", own_loads=8),
        }
        assert EngineChooser().choose(KEY, 1, candidates) == "e0"

    def test_an_engine_that_recently_held_the_adapter_loads_it_again(self) -> None:
        """Guards against loading elsewhere what an engine still has in its cache."""
        candidates = {f"e{n}": make_candidate(f"e{n}", open_slots=2) for n in range(6)}
        home = EngineChooser().choose(KEY, 1, candidates)
        other = next(name for name in candidates if name != home)
        chooser = EngineChooser()
        held = {
            **candidates,
            other: make_candidate(other, open_slots=2, loaded={KEY: 1}),
        }
        chooser.recently_held.update(held)
        chooser.recently_held.update(candidates)
        assert chooser.choose(KEY, 1, candidates) == other
        assert chooser.choose(KEY, 2, candidates) == home

    def held_and_free(self, **fields: object) -> tuple[EngineChooser, str, dict]:
        """Return engines of which one held the adapter, and another has a free slot."""
        candidates = {f"e{n}": make_candidate(f"e{n}", open_slots=2) for n in range(6)}
        held = make_candidate("e0", open_slots=2, loaded={KEY: 1})
        chooser = EngineChooser()
        chooser.recently_held.update({**candidates, "e0": held})
        chooser.recently_held.update(candidates)
        free = make_candidate("e5", open_slots=2, free_slots=1, **fields)
        return chooser, "e5", {**candidates, "e5": free}

    def test_a_free_slot_goes_before_an_eviction(self) -> None:
        """Guards against evicting an adapter where another engine has a free slot."""
        chooser, free, candidates = self.held_and_free()
        assert chooser.choose(KEY, 1, candidates) == free

    def test_a_free_slot_at_a_busier_engine_is_left(self) -> None:
        chooser, _, candidates = self.held_and_free(backlog_s=1.0)
        assert chooser.choose(KEY, 1, candidates) == "e0"

    def test_own_loads_take_free_slots_until_the_next_status(self) -> None:
        """Guards against sending all loads between two statuses to one free slot."""
        chooser, free, candidates = self.held_and_free()
        candidates[free] = replace(candidates[free], own_loads=1)
        assert chooser.choose(KEY, 1, candidates) == "e0"

    def test_the_choice_follows_learned_load_times(self) -> None:
        """Guards against a copy beside a busy holder where a load takes seconds."""
        candidates = {
            "e0": make_candidate("e0", loaded={KEY: 1}, backlog_s=1.0, load_s=0.1),
            "e1": make_candidate("e1", open_slots=2, load_s=0.1),
        }
        assert EngineChooser().choose(KEY, 1, candidates) == "e1"
        slow = make_candidate("e1", open_slots=2, load_s=2.0)
        assert EngineChooser().choose(KEY, 1, {**candidates, "e1": slow}) == "e0"

    def test_an_unknown_load_time_counts_as_the_median_of_the_pool(self) -> None:
        candidates = {
            f"e{n}": make_candidate(f"e{n}", load_s=load_s)
            for n, load_s in enumerate((0.1, 2.0, 3.0, 0.0))
        }
        times = PoolLoadTimes.from_candidates(candidates)
        assert times.stored_s == 2.0
        assert times.load_s(candidates["e3"], is_cached=False) == 2.2

    def test_an_engine_with_faster_prefill_is_preferred_for_a_long_prompt(self) -> None:
        """Guards against ignoring the prefill speed of otherwise equal engines."""
        candidates = {
            "slow": make_candidate("slow", loaded={KEY: 1}, s_per_token=1 / 13_000),
            "fast": make_candidate(
                "fast", loaded={KEY: 1}, s_per_token=1 / 19_000, active=11
            ),
        }
        assert EngineChooser().choose(KEY, 1, candidates) == "slow"
        assert EngineChooser().choose(KEY, 1, candidates, prompt_tokens=2000) == "fast"

    def test_an_engine_without_its_model_gets_no_requests(self) -> None:
        """Guards against preferring an idle engine that still loads its base model."""
        candidates = {
            f"e{n}": make_candidate(f"e{n}", active=30, backlog_s=0.3) for n in range(2)
        }
        candidates["e2"] = make_candidate("e2", active=0, models=(), open_slots=18)
        chooser = EngineChooser()
        chosen = {chooser.choose(("base", f"a{n}"), 1, candidates) for n in range(50)}
        assert chosen == {"e0", "e1"}

    def test_without_any_engine_that_has_the_model_one_is_chosen(self) -> None:
        candidates = {"e0": make_candidate("e0", models=())}
        assert EngineChooser().choose(KEY, 1, candidates) == "e0"


POOL = PoolSpeed(s_per_output_token=0.005, run_s=0.4)


def candidate_of_speed(
    name: str, speed: float = 1.0, **fields: object
) -> EngineCandidate:
    """Return an engine with 12 places that holds the adapter, in a pool of speed 1."""
    values = {
        "loaded": {KEY: 1},
        "places": 12,
        "active": 6,
        "s_per_output_token": POOL.s_per_output_token / speed,
        "run_s": POOL.run_s / speed,
    }
    return replace(make_candidate(name, **(values | fields)), pool=POOL)


class TestRunSpeed:
    """Tests of the choice among engines of different speed."""

    def test_a_slow_engine_gets_fewer_runs(self) -> None:
        """Guards against as many runs at a slow engine as at a fast one."""
        slow, fast = candidate_of_speed("slow", 0.5), candidate_of_speed("fast")
        assert slow.run_cost_s() > fast.run_cost_s()
        busier = candidate_of_speed("fast", active=11)
        assert slow.run_cost_s() > busier.run_cost_s()

    def test_an_unknown_engine_counts_as_the_median(self) -> None:
        unknown = candidate_of_speed("new", s_per_output_token=0.0, run_s=0.0)
        assert unknown.run_cost_s() == candidate_of_speed("known").run_cost_s()

    def test_a_full_batch_costs_the_time_until_a_place_is_free(self) -> None:
        """Guards against a load where a place at a holder is free sooner."""
        full = candidate_of_speed("full", active=12)
        cost_s = full.run_cost_s() - candidate_of_speed("busy", active=11).run_cost_s()
        assert cost_s == pytest.approx(POOL.run_s / 12 + 0.016)
        idle = candidate_of_speed("idle", active=0, loaded={}, open_slots=3)
        chosen = EngineChooser().choose(KEY, 1, {"full": full, "idle": idle})
        assert chosen == "full"

    def test_own_requests_count_until_the_next_status(self) -> None:
        """Guards against sending all requests between two statuses to one engine."""
        sent = replace(candidate_of_speed("e0"), own_requests=3)
        candidates = {"e0": sent, "e1": candidate_of_speed("e1", active=8)}
        assert EngineChooser().choose(KEY, 1, candidates) == "e1"

    def test_without_the_speed_of_any_engine_the_usual_costs_count(self) -> None:
        candidate = make_candidate("e", active=12, places=12)
        sent = replace(candidate, own_requests=4)
        assert sent.run_cost_s() == candidate.run_cost_s() == pytest.approx(1.192)

    def test_a_long_prompt_is_loaded_where_prefill_is_fast(self) -> None:
        """Guards against long prompts that stall the streams of slow engines."""
        candidates = {
            f"e{n}": make_candidate(
                f"e{n}", open_slots=2, s_per_token=1 / (20_000 if n else 40_000)
            )
            for n in range(4)
        }
        for number in range(20):
            key = ("base", f"a{number}")
            assert EngineChooser().choose(key, 1, candidates, (), 9000) == "e0"
        chosen = {
            EngineChooser().choose(("base", f"a{n}"), 1, candidates, (), 600)
            for n in range(20)
        }
        assert len(chosen) > 2


class TestTwoChoices:
    """Tests of many VMs that decide by the same statuses."""

    def shares(self, vms: int, *without: str) -> list[float]:
        """Return the engines' shares of one request of each VM, least first."""
        mechanisms = Mechanisms.without(without)
        candidates = {
            f"e{n}": candidate_of_speed(f"e{n}", active=6 + (n > 0)) for n in range(10)
        }
        counts = Counter(
            EngineChooser(mechanisms, random.Random(number)).choose(KEY, 1, candidates)
            for number in range(vms)
        )
        return sorted(counts[name] / vms for name in candidates)

    @pytest.mark.parametrize("vms", [89, 300])
    def test_the_least_busy_holder_is_not_chosen_by_all(self, vms: int) -> None:
        assert self.shares(vms, "two-choices")[-1] == 1.0
        shares = self.shares(vms)
        assert shares[-1] < 0.3
        assert shares[0] > 0.0

    def test_the_busiest_holder_is_not_chosen(self) -> None:
        candidates = {f"e{n}": candidate_of_speed(f"e{n}") for n in range(5)}
        candidates["e4"] = candidate_of_speed("e4", active=12, backlog_s=0.2)
        chosen = {
            EngineChooser(rng=random.Random(number)).choose(KEY, 1, candidates)
            for number in range(100)
        }
        assert chosen == {"e0", "e1", "e2", "e3"}
