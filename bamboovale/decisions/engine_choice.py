"""Which engine an entry VM asks for a place.

Load pattern: few adapters get most of the requests and most get one now and then. An
adapter loaded everywhere leaves no slots for the others; one loaded at a single engine
makes that engine the bottleneck of its customers. Past some load it is slots that run
out, at one engine sooner than at another, while statuses are some tenths of a second
old and several entry VMs read the same ones.

An engine that holds the adapter is preferred while it is not much busier than the
best engine without it: the difference allowed is what a load costs. Otherwise the
adapter is loaded where that is soon done: an engine with an open slot before one whose
slots are all in use, and among those that are about as busy one that held the adapter
lately, which loads it from its own memory. What is left is decided by rendezvous
hashing, the same at every entry VM. A second copy appears just where one engine is not
enough.
"""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bamboovale.decisions.mechanisms import ALL_ON, Mechanism, Mechanisms
from bamboovale.decisions.place_work import AdapterKey, EngineSnapshot
from bamboovale.decisions.rendezvous import RendezvousOrder

LOAD_COST_S = 0.35
"""A load and the eviction before it, as measured by owners without queue."""
WARM_LOAD_COST_S = 0.1
"""The same for an adapter that the engine held lately: a tenth of the load itself."""
SLOT_TURN_S = 0.12
"""From one slot that loses its last run to the next at an engine whose 18 slots are all
in use: runs of about 1.3 s, some slots with several."""
ACTIVE_COST_S = 0.016
"""What each running request adds: all of a batch share its steps, every new prompt is
read between them, and most of them pin a slot. In virtual time at 170 requests a second
0.86 are in time against 0.81 with half of it (eight seeds)."""
QUEUED_COST_S = 0.05
"""For each request that waits for a slot at the engine; what needs no load does not
wait behind them."""
FULL_COST_S = 1.0
"""A batch without a free place: about one run must end first."""
UNKNOWN_COST_S = 1.0
"""An engine nobody has told about is used when all others are busy."""
SPREAD_S = 0.3
"""An engine is passed over for a load if it is busier than the least busy by this."""


@dataclass(frozen=True)
class EngineCandidate:
    """An engine as this entry VM knows it.

    ``own_tokens`` and ``own_loads`` are what we sent there since its owner was last
    heard: tokens of prompts, and requests that need a load. ``owner`` is None while no
    entry VM may order loads there. ``is_told`` is False while no owner has said a word
    of it: what is known comes from its own record.
    """

    engine_id: str
    snapshot: EngineSnapshot | None
    owner: str | None
    own_tokens: int = 0
    own_loads: int = 0
    has_status: bool = True

    def run_cost_s(self, prompt_tokens: int = 0) -> float:
        """Return the seconds to the first event where no load is needed."""
        snapshot = self.snapshot
        if snapshot is None:
            return UNKNOWN_COST_S
        batch_s = ACTIVE_COST_S * snapshot.active
        full_s = FULL_COST_S if snapshot.active >= snapshot.places else 0.0
        own_s = snapshot.s_per_token * self.own_tokens
        prefill_s = snapshot.s_per_token * prompt_tokens
        return snapshot.backlog_s + own_s + prefill_s + batch_s + full_s

    def load_cost_s(
        self,
        prompt_tokens: int = 0,
        *,
        warm: bool = False,
        by_slots: bool = True,
    ) -> float:
        """Return the seconds to the first event where the adapter must be loaded."""
        load_s = WARM_LOAD_COST_S if warm else LOAD_COST_S
        if self.snapshot is None:
            return UNKNOWN_COST_S + load_s
        open_slots = self.snapshot.open_slots - self.own_loads
        slot_s = SLOT_TURN_S * max(0, 1 - open_slots) if by_slots else 0.0
        queued_s = QUEUED_COST_S * self.snapshot.queued
        return self.run_cost_s(prompt_tokens) + max(slot_s, queued_s) + load_s

    def has_model(self, model: str) -> bool:
        """Tell whether the engine has the base model, as far as is known."""
        return self.snapshot is None or model in self.snapshot.models

    def holds(self, key: AdapterKey | None, version: int) -> bool:
        """Tell whether the adapter is loaded, or about to be, in this version."""
        if self.snapshot is None:
            return False
        if key is None:
            return True
        if self.has_loaded(key, version):
            return True
        return self.snapshot.coming.get(key, 0) >= version

    def has_loaded(self, key: AdapterKey | None, version: int) -> bool:
        """Tell whether the adapter is loaded in this version, not only expected."""
        if self.snapshot is None:
            return False
        return key is None or self.snapshot.loaded.get(key, 0) >= version


def _with_model(
    views: dict[str, EngineCandidate], model: str
) -> dict[str, EngineCandidate]:
    """Leave out engines without the base model while others have it.

    Guards against an engine that has just started: idle as it is, it looks best, and
    what is sent there waits for the model's weights, 0.6 to 5.7 s.
    """
    able = {name: view for name, view in views.items() if view.has_model(model)}
    return able or views


class RecentlyHeldAdapters:
    """The adapters that engines have held of late, in the versions they had.

    Their owners tell only what is loaded now; what was seen before is remembered here.
    """

    def __init__(self) -> None:
        self._version_by_engine: dict[str, OrderedDict[AdapterKey, int]] = {}
        self._seen_by_engine: dict[str, dict[AdapterKey, int]] = {}

    def update(self, view_by_id: Mapping[str, EngineCandidate]) -> None:
        """Remember what engines have loaded; forget engines that are gone.

        Each start of an engine has an id of its own, and begins with nothing.
        """
        for engine_id in self._version_by_engine.keys() - view_by_id.keys():
            del self._version_by_engine[engine_id]
            del self._seen_by_engine[engine_id]
        for engine_id, view in view_by_id.items():
            if view.snapshot is not None:
                self._see_engine(engine_id, view.snapshot)

    def _see_engine(self, engine_id: str, snapshot: EngineSnapshot) -> None:
        loaded = snapshot.loaded
        if loaded is self._seen_by_engine.get(engine_id):
            return  # the same word of its owner as before
        self._seen_by_engine[engine_id] = loaded
        held = self._version_by_engine.setdefault(engine_id, OrderedDict())
        for key, version in loaded.items():
            held[key] = version
            held.move_to_end(key)
        while len(held) > snapshot.kept:
            held.popitem(last=False)

    def holders(self, key: AdapterKey, version: int) -> set[str]:
        """Return the engines that held the adapter lately in this version."""
        return {
            engine_id
            for engine_id, held in self._version_by_engine.items()
            if held.get(key, 0) >= version
        }


class EngineChooser:
    """Chooses among the engines of one pool."""

    def __init__(self, mechanisms: Mechanisms = ALL_ON) -> None:
        self.recently_held = RecentlyHeldAdapters()
        self._mechanisms = mechanisms
        self._order = RendezvousOrder()

    def choose(
        self,
        key: AdapterKey | None,
        version: int,
        view_by_id: Mapping[str, EngineCandidate],
        excluded: Collection[str] = (),
        prompt_tokens: int = 0,
    ) -> str | None:
        """Return the engine to ask, None if there is none."""
        open_views = {
            name: view
            for name, view in view_by_id.items()
            if name not in excluded and (view.owner or view.has_loaded(key, version))
        }
        if not open_views:
            return None
        if key is not None:
            open_views = _with_model(open_views, key[0])
        holders = [
            name for name, view in open_views.items() if view.holds(key, version)
        ]
        best = min(
            holders,
            key=lambda name: open_views[name].run_cost_s(prompt_tokens),
            default=None,
        )
        if key is None:
            return best or self._for_load("", open_views, prompt_tokens)[0]
        warm: set[str] = set()
        if self._mechanisms.has(Mechanism.HELD_LATELY):
            warm = self.recently_held.holders(key, version)
        name = f"{key[0]}/{key[1]}"
        fresh, fresh_s = self._for_load(
            name,
            open_views,
            prompt_tokens,
            holders,
            warm,
        )
        if best is None or fresh is None:
            return best or fresh
        held_s = open_views[best].run_cost_s(prompt_tokens)
        return best if held_s <= fresh_s else fresh

    def _for_load(
        self,
        name: str,
        views: Mapping[str, EngineCandidate],
        prompt_tokens: int,
        holders: Collection[str] = (),
        warm: Collection[str] = (),
    ) -> tuple[str | None, float]:
        """Return the engine that should load the adapter, and the expected wait."""
        by_slots = self._mechanisms.has(Mechanism.OPEN_SLOTS)
        able = {
            engine_id: view.load_cost_s(
                prompt_tokens,
                warm=engine_id in warm,
                by_slots=by_slots,
            )
            for engine_id, view in views.items()
            if view.owner is not None and engine_id not in holders
        }
        if not able:
            return None, 0.0
        bound = min(able.values()) + SPREAD_S
        open_to_it = {engine_id for engine_id in able if able[engine_id] <= bound}
        kept = open_to_it.intersection(warm)
        if kept:
            chosen = min(kept, key=lambda engine_id: able[engine_id])
            return chosen, able[chosen]
        self._order.set_members(able)
        for engine_id in self._order.candidates(name):
            if engine_id in open_to_it:
                return engine_id, able[engine_id]
        chosen = min(able, key=lambda engine_id: able[engine_id])
        return chosen, able[chosen]
