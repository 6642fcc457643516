"""Chooses the engine from which an entry VM requests a place.

Sending each request to the least loaded engine loads every adapter everywhere; sending
it always to the engine that has its adapter overloads the engine of a hot adapter.

The cost of an engine is the wait in its hint, corrected by what this entry VM has sent
since, plus the load that the request would need. Candidates are the first engines of
the adapter in rendezvous order (as many as its demand needs, and some to spill to) and
all that have it loaded. Hints are up to a few seconds old: to keep all entry VMs from
choosing the same idle engine, each counts its own requests once for every live VM. A
wrong hint costs a wait or a refusal that moves on to the next engine.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from bamboovale.decisions.demand import RecentDemand
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.rendezvous import RendezvousOrder
from bamboovale.decisions.work import EngineHint, WorkItem

FILL_SHARE = 0.5
"""Share of a batch that one copy of an adapter uses before another is added."""
SPILL_ENGINES = 3
"""Further candidates if no engine of the adapter has a free place."""
SHRINK_SHARE = 0.6
"""Hysteresis: demand below this share of what added a copy removes it; otherwise noise
would add it again."""
RANK_COST_S = 0.2
"""Prefer the first candidates unless a later one is clearly faster."""
OTHER_DOMAIN_COST_S = 0.003
"""Tie-break: a round trip between failure domains."""
UNKNOWN_WAIT_S = 1.0
"""Engines without a hint come last: they may have no holder yet."""
HINT_EXPIRY_S = 30.0
"""Several missed hints: the holder is gone or unreachable."""


@dataclass(frozen=True)
class EngineSite:
    """A live engine of the VM list."""

    engine_id: str
    base_model: str
    failure_domain: str = ""


@dataclass(frozen=True)
class PlacementConfig:
    """Properties of this entry VM."""

    failure_domain: str = ""
    service_seconds: float = 2.0


@dataclass
class HintState:
    """The last hint of an engine and what was sent there since."""

    hint: EngineHint
    received_at: float
    sent_since: int = 0
    cold_since: int = 0


class EnginePlacement:
    """Chooses engines for one entry VM."""

    @classmethod
    def from_config(cls, config: PlacementConfig, policy: Policy) -> "EnginePlacement":
        """Return a placement without known engines."""
        return cls(config=config, policy=policy)

    def __init__(self, *, config: PlacementConfig, policy: Policy) -> None:
        self._config = config
        self._policy = policy
        self._live_vms = 1
        self._site_by_id: dict[str, EngineSite] = {}
        self._order_by_base_model: dict[str, RendezvousOrder] = {}
        self._state_by_id: dict[str, HintState] = {}
        self._engines_by_lora: dict[str, set[str]] = {}
        self._demand = RecentDemand()
        self._copies_by_name: dict[str, int] = {}

    # Events.

    def set_engines(self, sites: Iterable[EngineSite]) -> None:
        """Set the live engines; others are no longer chosen."""
        self._site_by_id = {site.engine_id: site for site in sites}
        members_by_model: dict[str, list[str]] = {}
        for site in self._site_by_id.values():
            members_by_model.setdefault(site.base_model, []).append(site.engine_id)
        for base_model in set(self._order_by_base_model) | set(members_by_model):
            order = self._order_by_base_model.setdefault(base_model, RendezvousOrder())
            order.set_members(members_by_model.get(base_model, ()))
        for engine_id in set(self._state_by_id) - set(self._site_by_id):
            self._forget(engine_id)

    def set_live_vms(self, count: int) -> None:
        """Set the number of entry VMs that send requests."""
        self._live_vms = max(1, count)

    def on_hint(self, hint: EngineHint, now: float) -> None:
        """Store a hint, unless a later holder has already sent one."""
        state = self._state_by_id.get(hint.engine_id)
        if hint.engine_id not in self._site_by_id:
            return
        if state is not None:
            if hint.fencing < state.hint.fencing:
                return
            self._drop_from_index(state.hint)
        self._state_by_id[hint.engine_id] = HintState(hint, now)
        for lora_name in hint.loaded:
            self._engines_by_lora.setdefault(lora_name, set()).add(hint.engine_id)

    def on_sent(self, engine_id: str, lora_name: str = "") -> None:
        """Count a request for a place, and for a slot if it needs a load."""
        state = self._state_by_id.get(engine_id)
        if state is None:
            return
        state.sent_since += 1
        hint = state.hint
        present = lora_name in hint.loaded or lora_name in hint.loading
        if lora_name and not present:
            state.cold_since += 1

    def on_tick(self, now: float) -> None:
        """Remove expired hints and unused copies."""
        for engine_id, state in list(self._state_by_id.items()):
            if now - state.received_at > HINT_EXPIRY_S:
                self._forget(engine_id)
        self._demand.prune(now)
        for name in list(self._copies_by_name):
            if not self._demand.count(name, now):
                del self._copies_by_name[name]

    # Decisions.

    def choose_engine(
        self,
        item: WorkItem,
        base_model: str,
        now: float,
        rng: random.Random,
        excluded: Collection[str] = (),
    ) -> str | None:
        """Return the engine to use, or None if there is none left."""
        order = self._order_by_base_model.get(base_model)
        if order is None:
            return None
        self._demand.add(item.target.adapter, now)
        if not self._policy.places_by_adapter:
            return self._least_loaded(order, rng, excluded)
        candidates = self._candidates(item, order, now, excluded)
        if not candidates:
            candidates = sorted(order.members.difference(excluded))[:1]
        cost_by_id = {
            engine_id: self._cost(item, engine_id, rank)
            for rank, engine_id in enumerate(candidates)
        }
        return min(candidates, key=lambda name: cost_by_id[name], default=None)

    def copies(self, adapter: str, places: int, now: float) -> int:
        """Return how many engines the demand for an adapter needs."""
        rate = self._demand.rate(adapter, now) * self._live_vms
        needed = rate * self._config.service_seconds / max(1.0, places * FILL_SHARE)
        copies = self._copies_by_name.get(adapter, 1)
        if needed > copies:
            copies += 1
        elif copies > 1 and needed < (copies - 1) * SHRINK_SHARE:
            copies -= 1
        self._copies_by_name[adapter] = copies
        return copies

    def _candidates(
        self,
        item: WorkItem,
        order: RendezvousOrder,
        now: float,
        excluded: Collection[str],
    ) -> list[str]:
        ranked = order.candidates(item.target.adapter)
        first = self._state_by_id.get(ranked[0]) if ranked else None
        places = first.hint.max_num_seqs if first else 1
        count = self.copies(item.target.adapter, places, now) + SPILL_ENGINES
        chosen = [name for name in ranked if name not in excluded][:count]
        for name in sorted(self._engines_by_lora.get(item.target.lora_name, ())):
            if name not in chosen and name not in excluded:
                chosen.append(name)
        return chosen

    def _cost(self, item: WorkItem, engine_id: str, rank: int) -> float:
        cost = rank * RANK_COST_S
        if self._site_by_id[engine_id].failure_domain != self._config.failure_domain:
            cost += OTHER_DOMAIN_COST_S
        state = self._state_by_id.get(engine_id)
        if state is None:
            return cost + UNKNOWN_WAIT_S
        if item.exclusive:
            hint = state.hint
            cost += (hint.max_num_seqs - hint.free_places) * self._place_seconds(hint)
        return cost + self._wait(state) + self._load_cost(item, state)

    def _wait(self, state: HintState) -> float:
        hint = state.hint
        sent = state.sent_since * self._live_vms
        over = max(0, sent - hint.free_places)
        return hint.predicted_wait_s + over * self._place_seconds(hint)

    def _place_seconds(self, hint: EngineHint) -> float:
        return self._config.service_seconds / max(1, hint.max_num_seqs)

    def _load_cost(self, item: WorkItem, state: HintState) -> float:
        hint = state.hint
        name = item.target.lora_name
        if name in hint.loaded:
            return 0.0
        if name in hint.loading:
            return hint.load_seconds / 2
        over = 1 + state.cold_since * self._live_vms - hint.open_slots
        return hint.load_seconds + max(0, over) * hint.slot_wait_s

    def _least_loaded(
        self,
        order: RendezvousOrder,
        rng: random.Random,
        excluded: Collection[str],
    ) -> str | None:
        """Return the engine with the least work, whatever it has loaded (baseline)."""
        names = sorted(order.members.difference(excluded))
        rng.shuffle(names)
        return min(names, key=self._load, default=None)

    def _load(self, engine_id: str) -> float:
        state = self._state_by_id.get(engine_id)
        if state is None:
            return float("inf")
        hint = state.hint
        sent = state.sent_since * self._live_vms
        busy = hint.max_num_seqs - hint.free_places
        return (busy + hint.queued + sent) / max(1, hint.max_num_seqs)

    def _forget(self, engine_id: str) -> None:
        state = self._state_by_id.pop(engine_id, None)
        if state is not None:
            self._drop_from_index(state.hint)

    def _drop_from_index(self, hint: EngineHint) -> None:
        for lora_name in hint.loaded:
            engines = self._engines_by_lora.get(lora_name, set())
            engines.discard(hint.engine_id)
            if not engines:
                self._engines_by_lora.pop(lora_name, None)
