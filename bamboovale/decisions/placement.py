"""Which engine an entry VM asks for a place.

Load pattern: skewed and shifting popularity over engines with few slots. Sending to
the least loaded engine makes each engine load each adapter; sending always to the one
that has it makes a hot adapter's engine the only busy one.

The cost of an engine is the wait it told, corrected by what this entry VM has sent
since, plus the load it would need. Candidates are the adapter's first few engines in
rendezvous order (as many as its measured demand needs, and one more to spill to) and
any that have it loaded. Hints are up to a few seconds old: all entry VMs would rush to
the same idle engine, so each counts its own sends as often as there are entry VMs. A
wrong hint costs a wait or a refusal that goes to the next engine, never a wrong answer.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from bamboovale.decisions.demand import RecentDemand
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.rendezvous import RendezvousOrder
from bamboovale.decisions.work import EngineHint, WorkItem

FILL_SHARE = 0.5
"""One copy carries half a batch of one adapter before the next one is opened."""
SPILL_ENGINES = 3
"""More engines to look at when the adapter has no open one among its own."""
SHRINK_SHARE = 0.6
"""A copy is given up at 60 % of what opened it, or noise would open it again."""
RANK_COST_S = 0.2
"""Stay with the first candidate unless the next is a good part of a load faster."""
OTHER_DOMAIN_COST_S = 0.003
"""A tie-break: two one-way trips between failure domains."""
UNKNOWN_WAIT_S = 1.0
"""Engines without a hint are asked last: they may have no holder yet."""
HINT_FORGOTTEN_S = 30.0
"""Ten hints missed: its holder is gone or cut off."""


@dataclass(frozen=True)
class EngineSite:
    """One live engine of the VM list."""

    engine_id: str
    base_model: str
    failure_domain: str = ""


@dataclass(frozen=True)
class PlacementConfig:
    """What an entry VM knows of itself."""

    failure_domain: str = ""
    service_seconds: float = 2.0


@dataclass
class Known:
    """The last hint of an engine and what was sent there since."""

    hint: EngineHint
    heard_at: float
    sent_since: int = 0
    cold_since: int = 0


class EnginePlacement:
    """Chooses engines at one entry VM."""

    @classmethod
    def from_config(cls, config: PlacementConfig, policy: Policy) -> "EnginePlacement":
        """Return a placement that knows no engine yet."""
        return cls(config=config, policy=policy)

    def __init__(self, *, config: PlacementConfig, policy: Policy) -> None:
        self._config = config
        self._policy = policy
        self._live_vms = 1
        self._site_by_id: dict[str, EngineSite] = {}
        self._order_by_base_model: dict[str, RendezvousOrder] = {}
        self._known_by_id: dict[str, Known] = {}
        self._engines_by_lora: dict[str, set[str]] = {}
        self._demand = RecentDemand()
        self._copies_by_name: dict[str, int] = {}

    # What the entry VM learns.

    def set_engines(self, sites: Iterable[EngineSite]) -> None:
        """Take the live engines; what left is not chosen any more."""
        self._site_by_id = {site.engine_id: site for site in sites}
        members_by_model: dict[str, list[str]] = {}
        for site in self._site_by_id.values():
            members_by_model.setdefault(site.base_model, []).append(site.engine_id)
        for base_model in set(self._order_by_base_model) | set(members_by_model):
            order = self._order_by_base_model.setdefault(base_model, RendezvousOrder())
            order.set_members(members_by_model.get(base_model, ()))
        for engine_id in set(self._known_by_id) - set(self._site_by_id):
            self._forget(engine_id)

    def set_live_vms(self, count: int) -> None:
        """Take the number of entry VMs that send as this one does."""
        self._live_vms = max(1, count)

    def on_hint(self, hint: EngineHint, now: float) -> None:
        """Take what a lease holder tells, unless a later holder told already."""
        known = self._known_by_id.get(hint.engine_id)
        if hint.engine_id not in self._site_by_id:
            return
        if known is not None:
            if hint.fencing < known.hint.fencing:
                return
            self._drop_from_index(known.hint)
        self._known_by_id[hint.engine_id] = Known(hint, now)
        for lora_name in hint.loaded:
            self._engines_by_lora.setdefault(lora_name, set()).add(hint.engine_id)

    def on_sent(self, engine_id: str, lora_name: str = "") -> None:
        """Count a request that asks this engine for a place, and maybe for a slot."""
        known = self._known_by_id.get(engine_id)
        if known is None:
            return
        known.sent_since += 1
        hint = known.hint
        present = lora_name in hint.loaded or lora_name in hint.loading
        if lora_name and not present:
            known.cold_since += 1

    def on_tick(self, now: float) -> None:
        """Forget hints that are too old, and copies that are not needed any more."""
        for engine_id, known in list(self._known_by_id.items()):
            if now - known.heard_at > HINT_FORGOTTEN_S:
                self._forget(engine_id)
        self._demand.prune(now)
        for name in list(self._copies_by_name):
            if not self._demand.count(name, now):
                del self._copies_by_name[name]

    # What it decides.

    def choose_engine(
        self,
        item: WorkItem,
        base_model: str,
        now: float,
        rng: random.Random,
        excluded: Collection[str] = (),
    ) -> str | None:
        """Return the engine to ask, or None if there is none left to ask."""
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
        """Return how many engines an adapter's measured demand needs."""
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
        first = self._known_by_id.get(ranked[0]) if ranked else None
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
        known = self._known_by_id.get(engine_id)
        if known is None:
            return cost + UNKNOWN_WAIT_S
        if item.exclusive:
            hint = known.hint
            cost += (hint.max_num_seqs - hint.free_places) * self._place_seconds(hint)
        return cost + self._wait(known) + self._load_cost(item, known)

    def _wait(self, known: Known) -> float:
        hint = known.hint
        sent = known.sent_since * self._live_vms
        over = max(0, sent - hint.free_places)
        return hint.predicted_wait_s + over * self._place_seconds(hint)

    def _place_seconds(self, hint: EngineHint) -> float:
        return self._config.service_seconds / max(1, hint.max_num_seqs)

    def _load_cost(self, item: WorkItem, known: Known) -> float:
        hint = known.hint
        name = item.target.lora_name
        if name in hint.loaded:
            return 0.0
        if name in hint.loading:
            return hint.load_seconds / 2
        over = 1 + known.cold_since * self._live_vms - hint.open_slots
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
        known = self._known_by_id.get(engine_id)
        if known is None:
            return float("inf")
        hint = known.hint
        sent = known.sent_since * self._live_vms
        busy = hint.max_num_seqs - hint.free_places
        return (busy + hint.queued + sent) / max(1, hint.max_num_seqs)

    def _forget(self, engine_id: str) -> None:
        known = self._known_by_id.pop(engine_id, None)
        if known is not None:
            self._drop_from_index(known.hint)

    def _drop_from_index(self, hint: EngineHint) -> None:
        for lora_name in hint.loaded:
            engines = self._engines_by_lora.get(lora_name, set())
            engines.discard(hint.engine_id)
            if not engines:
                self._engines_by_lora.pop(lora_name, None)
