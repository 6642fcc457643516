"""Chooses the engine from which an entry VM requests a place.

A few adapters get most of the requests. Loaded at every engine they leave no slots for
others; loaded at a single one they overload it. Statuses are up to some tenths of a
second old, and several entry VMs decide by the same ones.

An engine that holds the adapter is preferred as long as it is not busier than the best
other engine by more than the cost of a load. Otherwise the adapter is loaded at an
engine with an open slot, among these at one that recently held it and loads it from its
own cache, and otherwise in rendezvous order, which is the same at every entry VM.

Engines differ in speed, and many entry VMs choose by the same statuses. A run counts by
the engine's time per token relative to its pool, a full batch by the time until a place
becomes free. Of the engines that hold the adapter, each request compares two drawn at
random: if every entry VM took the best one, it would be overloaded before its next
status.

An engine with a free slot goes before all that must evict an adapter, unless it is
busier by more than the time of a load: callers of the evicted adapter would wait as
long. Load times are those that the owners learned.

A new version of an adapter is loaded at another engine than that which holds the older
one: there the load would wait for the runs of the older version, and all requests for
an adapter in constant use with it.
"""

import random
from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bamboovale.decisions.load_times import INITIAL_LOAD_S, margin_s, median_s
from bamboovale.decisions.mechanisms import ALL_ON, Mechanism, Mechanisms
from bamboovale.decisions.place_work import AdapterKey, EngineSnapshot
from bamboovale.decisions.pool_speed import UNKNOWN_SPEED, PoolSpeed
from bamboovale.decisions.rendezvous import RendezvousOrder

ORDERS_COST_S = 0.06
"""The orders to evict an adapter and to load another, one after the other, and the
wait for orders before them; without the load."""
SLOT_TURNOVER_S = 0.12
"""Time between two slots that become free at an engine with all slots in use."""
ACTIVE_COST_S = 0.016
"""For each running request at an engine of typical speed: it shares the steps of the
batch and may pin a slot."""
QUEUED_COST_S = 0.05
"""For each request that waits for a slot; requests without a load do not wait."""
FULL_COST_S = 1.0
"""Batch without a free place, while the time of a run is not known."""
UNKNOWN_COST_S = 1.0
"""Engine without a known state: used when all others are busy."""
REPLACE_COST_S = 1.5
"""A new version at an engine that holds an older one: the load waits for its runs."""
SPREAD_S = 0.3
"""Largest excess over the least busy engine at which an engine gets a load."""
PREFILL_SPREAD_S = 0.1
"""Largest excess of the prompt's prefill time over the fastest engine at which an
engine gets a load: prefill speed differs for longer than load does."""
SAMPLED_HOLDERS = 2
"""Engines with the adapter that one request compares."""


@dataclass(frozen=True)
class EngineCandidate:
    """An engine as this entry VM knows it.

    ``own_tokens``, ``own_loads`` and ``own_requests`` count what this VM sent there
    since the last status: prompt tokens, requests that need a load and all requests;
    ``own_wait_s`` is how much longer the engine's limit lets a request wait for them.
    ``pool`` is the speed that counts for an engine without one. ``owner`` is None while
    no entry VM may order loads there. ``has_status`` is False while only the engine's
    own record is known.
    """

    engine_id: str
    snapshot: EngineSnapshot | None
    owner: str | None
    own_tokens: int = 0
    own_loads: int = 0
    has_status: bool = True
    own_wait_s: float = 0.0
    own_requests: int = 0
    pool: PoolSpeed = UNKNOWN_SPEED

    def run_cost_s(self, prompt_tokens: int = 0) -> float:
        """Return the expected seconds to the first event without a load."""
        snapshot = self.snapshot
        if snapshot is None:
            return UNKNOWN_COST_S
        own_s = snapshot.s_per_token * self.own_tokens
        prefill_s = snapshot.s_per_token * prompt_tokens
        backlog_s = snapshot.backlog_s + self.own_wait_s
        batch_s = self._batch_s(snapshot) + self._place_wait_s(snapshot)
        return backlog_s + own_s + prefill_s + batch_s

    def _batch_s(self, snapshot: EngineSnapshot) -> float:
        """Return the cost of the requests that run there, by the engine's speed."""
        typical_s = self.pool.s_per_output_token
        if not typical_s:
            return ACTIVE_COST_S * snapshot.active
        slowness = (snapshot.s_per_output_token or typical_s) / typical_s
        return ACTIVE_COST_S * slowness * (snapshot.active + self.own_requests)

    def _place_wait_s(self, snapshot: EngineSnapshot) -> float:
        """Return the time until a place is free for one more request.

        Requests queued for places are part of the backlog.
        """
        run_s = snapshot.run_s or self.pool.run_s
        if not run_s:
            return FULL_COST_S if snapshot.active >= snapshot.places else 0.0
        missing = snapshot.active + self.own_requests + 1 - snapshot.places
        return max(0, missing) * run_s / max(1, snapshot.places)

    def load_cost_s(
        self,
        prompt_tokens: int = 0,
        *,
        load_s: float,
        by_slots: bool = True,
        replaces: bool = False,
    ) -> float:
        """Return the expected seconds to the first event with a load of ``load_s``."""
        load_s += ORDERS_COST_S + (REPLACE_COST_S if replaces else 0.0)
        if self.snapshot is None:
            return UNKNOWN_COST_S + load_s
        open_slots = self.snapshot.open_slots - self.own_loads
        slot_s = SLOT_TURNOVER_S * max(0, 1 - open_slots) if by_slots else 0.0
        queued_s = QUEUED_COST_S * self.snapshot.queued
        return self.run_cost_s(prompt_tokens) + max(slot_s, queued_s) + load_s

    def free_slots(self) -> int:
        """Return the free slots that no other adapter is waiting for."""
        if self.snapshot is None:
            return 0
        return min(self.snapshot.free_slots, self.snapshot.open_slots) - self.own_loads

    def has_model(self, model: str) -> bool:
        """Return whether the engine has the base model, as far as known."""
        return self.snapshot is None or model in self.snapshot.models

    def holds(self, key: AdapterKey | None, version: int) -> bool:
        """Return whether the adapter is loaded or loading in this version."""
        if self.snapshot is None:
            return False
        if key is None:
            return True
        if self.has_loaded(key, version):
            return True
        return self.snapshot.coming.get(key, 0) >= version

    def holds_older(self, key: AdapterKey, version: int) -> bool:
        """Return whether an older version of the adapter is loaded or loading."""
        if self.snapshot is None:
            return False
        held = self.snapshot.loaded.get(key) or self.snapshot.coming.get(key)
        return held is not None and held < version

    def has_loaded(self, key: AdapterKey | None, version: int) -> bool:
        """Return whether the adapter is loaded in this version."""
        if self.snapshot is None:
            return False
        return key is None or self.snapshot.loaded.get(key, 0) >= version


@dataclass(frozen=True)
class PoolLoadTimes:
    """Median load times of a pool, for engines whose own are not known; in seconds."""

    stored_s: float
    cached_s: float

    @classmethod
    def from_candidates(cls, engines: Mapping[str, EngineCandidate]) -> "PoolLoadTimes":
        """Return the medians of the times that the engines' owners published."""
        snapshots = [
            candidate.snapshot
            for candidate in engines.values()
            if candidate.snapshot is not None
        ]
        stored_s = median_s([item.load_s for item in snapshots]) or INITIAL_LOAD_S
        cached_s = median_s([item.cached_load_s for item in snapshots])
        return cls(stored_s, cached_s or stored_s)

    def load_s(self, candidate: EngineCandidate, *, is_cached: bool) -> float:
        """Return the expected time of a load, from the engine's cache or the store."""
        own = candidate.snapshot
        if is_cached:
            mean_s = (own.cached_load_s if own is not None else 0.0) or self.cached_s
        else:
            mean_s = (own.load_s if own is not None else 0.0) or self.stored_s
        return mean_s + margin_s(mean_s)


def _filter_by_model(
    engines: dict[str, EngineCandidate], model: str
) -> dict[str, EngineCandidate]:
    """Leave out engines without the base model if others have it.

    Guards against a newly started engine: it is idle, but requests there wait for the
    weights of the base model.
    """
    able = {
        name: candidate
        for name, candidate in engines.items()
        if candidate.has_model(model)
    }
    return able or engines


class RecentlyHeldAdapters:
    """Adapters that engines held recently, with their versions.

    A status lists loaded adapters only; earlier ones are remembered here.
    """

    def __init__(self) -> None:
        self._version_by_engine: dict[str, OrderedDict[AdapterKey, int]] = {}
        self._loaded_by_engine: dict[str, dict[AdapterKey, int]] = {}

    def update(self, candidate_by_id: Mapping[str, EngineCandidate]) -> None:
        """Record what engines have loaded; forget engines that are gone.

        A restarted engine has a new id and an empty cache.
        """
        for engine_id in self._version_by_engine.keys() - candidate_by_id.keys():
            del self._version_by_engine[engine_id]
            del self._loaded_by_engine[engine_id]
        for engine_id, candidate in candidate_by_id.items():
            if candidate.snapshot is not None:
                self._update_engine(engine_id, candidate.snapshot)

    def _update_engine(self, engine_id: str, snapshot: EngineSnapshot) -> None:
        loaded = snapshot.loaded
        if loaded is self._loaded_by_engine.get(engine_id):
            return  # same status as before
        self._loaded_by_engine[engine_id] = loaded
        held = self._version_by_engine.setdefault(engine_id, OrderedDict())
        for key, version in loaded.items():
            held[key] = version
            held.move_to_end(key)
        while len(held) > snapshot.kept:
            held.popitem(last=False)

    def holders(self, key: AdapterKey, version: int) -> set[str]:
        """Return the engines that recently held the adapter in this version."""
        return {
            engine_id
            for engine_id, held in self._version_by_engine.items()
            if held.get(key, 0) >= version
        }


class EngineChooser:
    """Chooses among the engines of one pool."""

    def __init__(
        self, mechanisms: Mechanisms = ALL_ON, rng: random.Random | None = None
    ) -> None:
        self.recently_held = RecentlyHeldAdapters()
        self._mechanisms = mechanisms
        self._rng = rng or random.Random()
        self._order = RendezvousOrder(kept=None)

    def choose(
        self,
        key: AdapterKey | None,
        version: int,
        candidate_by_id: Mapping[str, EngineCandidate],
        excluded: Collection[str] = (),
        prompt_tokens: int = 0,
    ) -> str | None:
        """Return the id of the engine to use, None if there is none."""
        self._order.set_members(candidate_by_id)
        open_candidates = {
            name: candidate
            for name, candidate in candidate_by_id.items()
            if name not in excluded
            and (candidate.owner or candidate.has_loaded(key, version))
        }
        if not open_candidates:
            return None
        if key is not None:
            open_candidates = _filter_by_model(open_candidates, key[0])
        holders = [
            name
            for name, candidate in open_candidates.items()
            if candidate.holds(key, version)
        ]
        best = min(
            self._sample(holders),
            key=lambda name: open_candidates[name].run_cost_s(prompt_tokens),
            default=None,
        )
        if key is None:
            return best or self._for_load(None, 0, open_candidates, prompt_tokens)[0]
        warm: set[str] = set()
        if self._mechanisms.has(Mechanism.HELD_LATELY):
            warm = self.recently_held.holders(key, version)
        fresh, fresh_s = self._for_load(
            key,
            version,
            open_candidates,
            prompt_tokens,
            holders,
            warm,
        )
        if best is None or fresh is None:
            return best or fresh
        held_s = open_candidates[best].run_cost_s(prompt_tokens)
        return best if held_s <= fresh_s else fresh

    def _sample(self, holders: list[str]) -> list[str]:
        """Return the holders that this request compares."""
        few = len(holders) <= SAMPLED_HOLDERS
        if few or not self._mechanisms.has(Mechanism.TWO_CHOICES):
            return holders
        return self._rng.sample(holders, SAMPLED_HOLDERS)

    def _for_load(
        self,
        key: AdapterKey | None,
        version: int,
        engines: Mapping[str, EngineCandidate],
        prompt_tokens: int,
        holders: Collection[str] = (),
        warm: Collection[str] = (),
    ) -> tuple[str | None, float]:
        """Return the engine that should load the adapter, and the expected wait."""
        by_slots = self._mechanisms.has(Mechanism.OPEN_SLOTS)
        load_times = PoolLoadTimes.from_candidates(engines)
        replaced: set[str] = set()
        if key is not None and self._mechanisms.has(Mechanism.VERSION_ELSEWHERE):
            replaced = {
                engine_id
                for engine_id, candidate in engines.items()
                if candidate.holds_older(key, version)
            }
        able = {
            engine_id: candidate.load_cost_s(
                prompt_tokens,
                load_s=load_times.load_s(candidate, is_cached=engine_id in warm),
                by_slots=by_slots,
                replaces=engine_id in replaced,
            )
            for engine_id, candidate in engines.items()
            if candidate.owner is not None and engine_id not in holders
        }
        if not able:
            return None, 0.0
        min_cost_s = min(able.values())
        free = self._with_free_slots(engines, able, min_cost_s + load_times.stored_s)
        acceptable = free or {
            engine_id for engine_id in able if able[engine_id] <= min_cost_s + SPREAD_S
        }
        if self._mechanisms.has(Mechanism.RUN_SPEED):
            acceptable = _fast_prefill(acceptable, engines, prompt_tokens)
        warm_acceptable = acceptable.intersection(warm)
        if warm_acceptable:
            chosen = min(warm_acceptable, key=lambda engine_id: able[engine_id])
            return chosen, able[chosen]
        name = "" if key is None else f"{key[0]}/{key[1]}"
        for engine_id in self._order.candidates_among(name, able):
            if engine_id in acceptable:
                return engine_id, able[engine_id]
        chosen = min(acceptable, key=lambda engine_id: able[engine_id])
        return chosen, able[chosen]

    def _with_free_slots(
        self,
        engines: Mapping[str, EngineCandidate],
        cost_s_by_id: Mapping[str, float],
        max_cost_s: float,
    ) -> set[str]:
        """Return the engines with a free slot up to a cost."""
        if not self._mechanisms.has(Mechanism.FREE_SLOTS):
            return set()
        return {
            engine_id
            for engine_id, cost_s in cost_s_by_id.items()
            if cost_s <= max_cost_s and engines[engine_id].free_slots() > 0
        }


def _fast_prefill(
    engine_ids: set[str],
    engines: Mapping[str, EngineCandidate],
    prompt_tokens: int,
) -> set[str]:
    """Return the engines whose prefill of the prompt takes little more than the least.

    Guards against a long prompt at a slow engine, whose streams it stalls.
    """
    prefill_s = {
        engine_id: snapshot.s_per_token * prompt_tokens
        for engine_id in engine_ids
        if (snapshot := engines[engine_id].snapshot) is not None
    }
    max_s = min(prefill_s.values(), default=0.0) + PREFILL_SPREAD_S
    return {name for name in engine_ids if prefill_s.get(name, 0.0) <= max_s}
