"""Tests of the choice of an engine by an entry VM."""

from collections import Counter
from dataclasses import replace

from bamboovale.decisions.engine_choice import (
    EngineCandidate,
    EngineChooser,
    PoolLoadTimes,
)
from bamboovale.decisions.place_work import EngineSnapshot

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
