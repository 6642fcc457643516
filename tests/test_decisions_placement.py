"""Tests of where entry VMs send the requests of an adapter."""

import random

from bamboovale.decisions.placement import (
    EnginePlacement,
    EngineSite,
    PlacementConfig,
)
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.rendezvous import RendezvousOrder
from bamboovale.decisions.work import EngineHint, WorkItem
from bamboovale.models import AdapterVersion, WorkClass

ENGINES = [f"tutor-llm-{number}" for number in range(1, 7)]


def make_item(adapter: str) -> WorkItem:
    return WorkItem(
        request_id="r",
        entry_vm="entry-1",
        target=AdapterVersion(adapter, "1"),
        source="",
        work_class=WorkClass.INTERACTIVE,
        customer="x",
        arrived_at=0.0,
        latest_start=100.0,
    )


def make_hint(engine_id: str, **changes: object) -> EngineHint:
    values = {
        "fencing": 1,
        "loaded": (),
        "loading": (),
        "free_places": 8,
        "max_num_seqs": 8,
        "queued": 0,
        "predicted_wait_s": 0.0,
        "load_seconds": 0.4,
    }
    return EngineHint(engine_id=engine_id, base_model="base", **{**values, **changes})


def make_placement(policy: Policy | None = None) -> EnginePlacement:
    placement = EnginePlacement.from_config(
        PlacementConfig(),
        policy or Policy.chosen(),
    )
    placement.set_engines(EngineSite(name, "base") for name in ENGINES)
    for name in ENGINES:
        placement.on_hint(make_hint(name), 0.0)
    return placement


def choose(placement: EnginePlacement, adapter: str, now: float = 0.0) -> str | None:
    return placement.choose_engine(make_item(adapter), "base", now, random.Random(1))


class TestRendezvous:
    """Guards against a lost engine that moves adapters of other engines."""

    def test_lost_member_moves_only_its_keys(self) -> None:
        order = RendezvousOrder(ENGINES)
        keys = [f"adapter-{number}" for number in range(300)]
        before = {key: order.candidates(key) for key in keys}
        order.set_members(ENGINES[1:])
        for key in keys:
            kept = tuple(name for name in before[key] if name != ENGINES[0])
            assert order.candidates(key) == kept
        firsts = [before[key][0] for key in keys]
        assert all(30 <= firsts.count(name) <= 75 for name in ENGINES)

    def test_candidates_among_some_members_are_those_of_an_order_of_them(self) -> None:
        """Guards against VMs that choose differently for engines of one pool."""
        names = [f"engine-{number}" for number in range(45)]
        order = RendezvousOrder(names, kept=None)
        rng = random.Random(3)
        for number in range(200):
            some = rng.sample(names, rng.randrange(1, len(names)))
            among = order.candidates_among(f"a{number}", set(some))
            assert tuple(among) == RendezvousOrder(some).candidates(f"a{number}")


class TestChoice:
    """Guards against choosing a costlier engine or one that is not live."""

    def test_same_engine_for_cold_adapter_at_every_entry_vm(self) -> None:
        chosen = {choose(make_placement(), "cold") for _ in range(3)}
        assert len(chosen) == 1

    def test_an_engine_with_the_adapter_loaded_is_chosen(self) -> None:
        placement = make_placement()
        placement.on_hint(make_hint("tutor-llm-4", loaded=("a@1",)), 0.1)
        assert choose(placement, "a") == "tutor-llm-4"

    def test_a_load_is_preferred_to_a_busy_engine(self) -> None:
        placement = make_placement()
        busy = make_hint(
            "tutor-llm-4",
            loaded=("a@1",),
            free_places=0,
            predicted_wait_s=9.0,
        )
        placement.on_hint(busy, 0.1)
        assert choose(placement, "a") != "tutor-llm-4"

    def test_leaving_engine_is_not_chosen(self) -> None:
        placement = make_placement()
        placement.on_hint(make_hint("tutor-llm-4", loaded=("a@1",)), 0.1)
        placement.set_engines(
            EngineSite(name, "base") for name in ENGINES if name != "tutor-llm-4"
        )
        placement.on_hint(make_hint("tutor-llm-4", loaded=("a@1",)), 0.2)
        assert choose(placement, "a") != "tutor-llm-4"

    def test_hint_of_previous_holder_is_ignored(self) -> None:
        placement = make_placement()
        placement.on_hint(make_hint("tutor-llm-4", fencing=9, loaded=("a@1",)), 0.1)
        placement.on_hint(make_hint("tutor-llm-4", fencing=3), 0.2)
        assert choose(placement, "a") == "tutor-llm-4"

    def test_stale_hints_do_not_herd(self) -> None:
        placement = make_placement()
        placement.set_live_vms(6)
        for name in ENGINES:
            placement.on_hint(make_hint(name, loaded=("a@1",)), 0.1)
        chosen = []
        for _ in range(60):
            name = choose(placement, "a", 0.2)
            assert name is not None
            placement.on_sent(name, "a@1")
            chosen.append(name)
        assert max(chosen.count(name) for name in ENGINES) <= 15


class TestCopies:
    """Guards against too few copies of a hot adapter and too many of a cold one."""

    def test_grow_and_shrink(self) -> None:
        placement = make_placement()
        now = 0.0
        for number in range(900):
            now = number / 15
            choose(placement, "hot", now)
        grown = placement.copies("hot", 8, now)
        assert grown >= 5
        for second in range(120):
            placement.on_tick(now + second)
            shrunk = placement.copies("hot", 8, now + second)
        assert shrunk == 1
