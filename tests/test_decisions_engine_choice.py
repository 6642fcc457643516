"""Which engine an entry VM asks, judged by where requests go."""

from collections import Counter

from bamboovale.decisions.engine_choice import EngineCandidate, EngineChooser
from bamboovale.decisions.place_work import EngineSnapshot

KEY = ("base", "a1")


def view(name: str, owner: str | None = "entry-0", **fields: object) -> EngineCandidate:
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
    """Affinity against load."""

    def test_every_vm_finds_the_same_engine_for_an_adapter(self) -> None:
        views = {f"e{n}": view(f"e{n}") for n in range(6)}
        chosen = {EngineChooser().choose(KEY, 1, views) for _ in range(5)}
        assert len(chosen) == 1

    def test_adapters_spread_over_the_engines(self) -> None:
        views = {f"e{n}": view(f"e{n}") for n in range(6)}
        chooser = EngineChooser()
        counts = Counter(
            chooser.choose(("base", f"a{n}"), 1, views) for n in range(600)
        )
        assert len(counts) == 6
        assert max(counts.values()) < 150

    def test_a_holder_is_preferred_while_others_queue_there_for_slots(self) -> None:
        """Many requests wait at an engine for slots; ours needs none.

        Sent elsewhere, it would load a copy that takes a slot from others.
        """
        views = {f"e{n}": view(f"e{n}") for n in range(3)}
        views["e1"] = view("e1", loaded={KEY: 1}, queued=40)
        assert EngineChooser().choose(KEY, 1, views) == "e1"

    def test_a_slow_holder_gets_a_copy_beside_it(self) -> None:
        """The engine that holds a hot adapter turns slow: first events come late."""
        views = {f"e{n}": view(f"e{n}") for n in range(3)}
        views["e1"] = view("e1", loaded={KEY: 1}, backlog_s=2.0)
        assert EngineChooser().choose(KEY, 1, views) != "e1"

    def test_an_old_version_is_no_holder(self) -> None:
        views = {f"e{n}": view(f"e{n}") for n in range(3)}
        home = EngineChooser().choose(KEY, 2, views)
        other = next(name for name in views if name != home)
        views[other] = view(other, loaded={KEY: 1})
        assert EngineChooser().choose(KEY, 2, views) == home

    def test_an_engine_without_owner_serves_what_it_holds_only(self) -> None:
        views = {"e0": view("e0", owner=None, loaded={KEY: 1})}
        assert EngineChooser().choose(KEY, 1, views) == "e0"
        assert EngineChooser().choose(("base", "a2"), 1, views) is None

    def test_an_engine_with_an_open_slot_is_preferred_for_a_load(self) -> None:
        """All slots of one engine are in use, and two adapters wait there already."""
        views = {f"e{n}": view(f"e{n}", open_slots=-2) for n in range(3)}
        views["e1"] = view("e1", open_slots=2)
        chosen = {
            EngineChooser().choose(("base", f"a{n}"), 1, views) for n in range(50)
        }
        assert chosen == {"e1"}

    def test_own_loads_count_until_the_owner_tells_of_them(self) -> None:
        """Ten requests for rare adapters arrive between two words of the owners.

        All of them would go to the engine that had two open slots when last heard.
        """
        snapshot = view("e1", open_slots=2).snapshot
        views = {
            "e0": view("e0", open_slots=0),
            "e1": EngineCandidate("e1", snapshot, "entry-0", own_loads=8),
        }
        assert EngineChooser().choose(KEY, 1, views) == "e0"

    def test_an_engine_that_held_the_adapter_lately_loads_it_again(self) -> None:
        """The adapter was evicted; its engine still has it in its own memory.

        Loaded elsewhere it would come from the weight store, ten times as slowly.
        """
        views = {f"e{n}": view(f"e{n}", open_slots=2) for n in range(6)}
        home = EngineChooser().choose(KEY, 1, views)
        other = next(name for name in views if name != home)
        chooser = EngineChooser()
        held = {**views, other: view(other, open_slots=2, loaded={KEY: 1})}
        chooser.recently_held.update(held)
        chooser.recently_held.update(views)
        assert chooser.choose(KEY, 1, views) == other
        assert chooser.choose(KEY, 2, views) == home

    def test_an_engine_that_reads_faster_is_preferred_for_a_long_prompt(self) -> None:
        """One engine reads 13 tokens a ms, the other 19; both are as busy otherwise."""
        views = {
            "slow": view("slow", loaded={KEY: 1}, s_per_token=1 / 13_000),
            "fast": view("fast", loaded={KEY: 1}, s_per_token=1 / 19_000, active=11),
        }
        assert EngineChooser().choose(KEY, 1, views) == "slow"
        assert EngineChooser().choose(KEY, 1, views, prompt_tokens=2000) == "fast"

    def test_an_engine_without_its_model_gets_nothing(self) -> None:
        """An engine of three has just started and loads its model for seconds.

        Idle it looks best of all: what was sent there waited for the weights until it
        was refused, while the others had places.
        """
        views = {f"e{n}": view(f"e{n}", active=30, backlog_s=0.3) for n in range(2)}
        views["e2"] = view("e2", active=0, models=(), open_slots=18)
        chooser = EngineChooser()
        chosen = {chooser.choose(("base", f"a{n}"), 1, views) for n in range(50)}
        assert chosen == {"e0", "e1"}

    def test_where_no_engine_has_the_model_one_is_asked_all_the_same(self) -> None:
        views = {"e0": view("e0", models=())}
        assert EngineChooser().choose(KEY, 1, views) == "e0"
