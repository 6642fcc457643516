"""Which adapters one engine's holder asks to load, and what makes room for them.

Load pattern: more adapters are waited for than slots exist, at a weight store that
gives a few loads a second and is at times down. Asking for all of them wastes turns;
evicting before a turn is there leaves a slot empty for nothing; with a dead store,
evicting for loads that fail would empty the engine. So a holder asks for a turn
first, evicts only when it has one, and has few loads under way; after a failure it
has one until a load succeeds.

When running requests pin every slot, new work for the loaded adapters would keep them
pinned for ever. After some patience the least valued slot takes no new work until it
can be exchanged ("draining").
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bamboovale.decisions.adapter_value import AdapterValue
from bamboovale.decisions.batching import WaitQueue
from bamboovale.decisions.estimates import MovingAverage
from bamboovale.decisions.permits import PermitBook
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.slots import (
    BACK_OFF_MOST_S,
    EXCHANGE_FACTOR,
    RESIDENCE_LOADS,
    Slot,
    SlotTable,
)
from bamboovale.decisions.work import (
    Action,
    EngineView,
    Load,
    RequestLoadGrant,
    ReturnLoadGrant,
    Unload,
    WorkItem,
)

LOADS_AT_ONCE = 2
"""As many as the weight store serves at full speed: more only share its bandwidth."""
ASKS_AT_ONCE = 8
"""Enough for the scheduler to choose among; each ask is a small message."""
ASK_AGAIN_S = 2.0
"""A turn may get lost with its message; a repeated ask only renews its weight."""
LOAD_TIME_WEIGHT = 0.3
"""A wrong setting or a slow store shows after a few loads."""
FAILURE_IS_NEWS_S = 2 * BACK_OFF_MOST_S
"""Two of the longest pauses between tries: later a failure says nothing any more."""
LOAD_GIVEN_UP_S = 60.0
"""Far above any load; guards against an order whose outcome never came back."""
PATIENCE_LOADS = 2.0
"""A slot is drained for work that has waited as long as two loads take."""
DRAINS_AT_ONCE = 2
"""Of 8 slots: more would empty the batch while their last requests end."""


@dataclass
class Ask:
    """A turn asked for."""

    first_at: float
    sent_at: float


class SlotPlanner:
    """Asks for turns, uses them, and keeps the slots of one engine."""

    def __init__(
        self,
        *,
        policy: Policy,
        queue: WaitQueue,
        permits: PermitBook,
        load_seconds: float,
    ) -> None:
        self._policy = policy
        self._queue = queue
        self._permits = permits
        self._rule = policy.make_slot_rule()
        self.slots = SlotTable()
        self.value = AdapterValue(policy=policy, queue=queue)
        self.load_wait = MovingAverage(2.0 * load_seconds)
        self._load_time = MovingAverage(load_seconds, weight=LOAD_TIME_WEIGHT)
        self.may_order = True
        self.may_evict_from = 0.0
        self.draining: set[str] = set()
        self.ask_by_name: dict[str, Ask] = {}
        self._asked_at_by_name: dict[str, float] = {}
        self._source_by_name: dict[str, str] = {}
        self._warm: dict[str, None] = {}
        self._failing_since: float | None = None
        self._failed_at = 0.0

    # What the holder learns.

    def apply_view(self, view: EngineView, read_at: float, now: float) -> None:
        """Take over the engine's own list of loaded adapters."""
        self.slots.max_loras = view.max_loras
        self.slots.update_loaded(view.loaded, read_at, now)

    def on_restart(self, now: float) -> None:
        """Start with empty slots; what was in demand is warmed again."""
        self.slots.clear()
        self.draining.clear()
        self.ask_by_name.clear()
        self._failing_since = None
        if self._policy.warms_after_restart:
            known = [
                n for n in self.value.demand.top(64, now) if n in self._source_by_name
            ]
            self._warm = dict.fromkeys(known[: max(self.slots.max_loras, 1)])

    def on_request(self, item: WorkItem, now: float) -> None:
        """Count a request."""
        name = item.target.lora_name
        self.value.demand.add(name, now)
        self._source_by_name[name] = item.source

    def on_new_version(self, name: str, source: str, replaces: str, now: float) -> None:
        """Expect requests for a new version as many as for the one it replaces."""
        self._source_by_name[name] = source
        self.value.demand.move(replaces, name, now)
        self._warm[name] = None

    def on_granted(self, name: str, now: float) -> None:
        """Note a grant."""
        slot = self.slots.loaded.get(name)
        if slot is not None:
            slot.used_at = now

    def on_loaded(self, name: str, now: float) -> None:
        """Note a finished load."""
        seconds = self.slots.load_done(name, now)
        if seconds is not None:
            self._load_time.add(seconds)
            self._failing_since = None
            asked_at = self._asked_at_by_name.pop(name, None)
            if asked_at is not None:
                self.load_wait.add(now - asked_at)
        self._warm.pop(name, None)

    def on_load_failed(self, name: str, now: float, wait_s: float) -> None:
        """Note a failed load; it is tried again also when nobody waits any more.

        Else a store that refused everybody would never be found mended.
        """
        self._failed_at = now
        if self._failing_since is None:
            self._failing_since = now
            self._warm[name] = None
        self._asked_at_by_name.pop(name, None)
        self.slots.load_failed(name, now, wait_s)

    def on_unloaded(self, victim: str, now: float) -> list[Action]:
        """Use the slot that became free."""
        newcomer = self.slots.unload_done(victim, now)
        if newcomer is None:
            return []
        if not self.may_order:
            return [ReturnLoadGrant(newcomer)]
        return self._load(newcomer, now)

    # What may be served.

    @property
    def load_seconds(self) -> float:
        """Return how long a load takes as measured, without the wait for its turn."""
        return self._load_time.value

    @property
    def grantable(self) -> Iterable[str]:
        """Return the loaded adapters that take new work."""
        if not self.draining:
            return self.slots.loaded.keys()
        return [name for name in self.slots.loaded if name not in self.draining]

    @property
    def failing_for_s(self) -> float:
        """Return how long loads have been seen to fail; zero if the last succeeded."""
        if self._failing_since is None:
            return 0.0
        return self._failed_at - self._failing_since

    def coming(self) -> set[str]:
        """Return the adapters that are asked for or being loaded."""
        newcomers = self.slots.newcomer_by_victim.values()
        coming = set(self.slots.loading_since) | set(self.ask_by_name)
        coming.update(name for name in newcomers if name)
        return coming

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state as JSON, each loaded adapter with its worth."""
        loaded = sorted(self.slots.loaded)
        return {
            "may_order": self.may_order,
            "may_evict_in_s": max(0.0, self.may_evict_from - now),
            "loaded": {
                name: round(self.value.of_slot(name, now), 3) for name in loaded
            },
            "loading": sorted(self.slots.loading_since),
            "evicting": dict(self.slots.newcomer_by_victim),
            "draining": sorted(self.draining),
            "asked": sorted(self.ask_by_name),
            "load_wait_s": round(self.load_wait.value, 3),
            "failing_for_s": round(self.failing_for_s, 3),
        }

    # What it decides.

    def plan(self, now: float) -> list[Action]:
        """Ask for turns for what is worth a load."""
        if not self.may_order or not self.slots.max_loras:
            return []
        missing = self._missing(now)
        self._stop_asking(missing)
        actions = self._renew_asks(missing, now) + self._ask_more(missing, now)
        self._plan_drain(missing, now)
        return actions

    def on_load_grant(self, name: str, now: float) -> list[Action]:
        """Use a turn at the weight store: evict or load, or give it back.

        A turn is a turn: if its adapter needs none any more, the best other one
        takes it.
        """
        ask = self.ask_by_name.pop(name, None)
        unused: list[Action] = [ReturnLoadGrant(name)]
        if not self.may_order or self._loads_under_way() >= self._loads_allowed():
            return unused
        missing = self._missing(now)
        if name not in missing:
            name = next(iter(missing), "")
        if not name:
            return unused
        if self.slots.free:
            self._asked_at_by_name[name] = ask.first_at if ask else now
            return self._load(name, now)
        victim = self._victim(missing[name], self.evictable(now), now)
        if victim is None:
            return unused
        self._asked_at_by_name[name] = ask.first_at if ask else now
        self.draining.discard(victim)
        self.slots.order_unload(victim, name)
        return [Unload(victim)]

    def on_tick(self, now: float) -> None:
        """Forget what is old and give up orders whose outcome never came."""
        self.slots.forget_back_offs(now)
        if now - self._failed_at > FAILURE_IS_NEWS_S:
            # No load was tried for long, so nothing would end the refusals.
            self._failing_since = None
        self.value.demand.prune(now)
        for name, since in list(self.slots.loading_since.items()):
            if now - since > LOAD_GIVEN_UP_S:
                self.on_load_failed(name, now, 0.0)
        if len(self._source_by_name) > 2 * len(self.value.demand) + 64:
            self._forget_sources()

    def _missing(self, now: float) -> dict[str, float]:
        """Return wanted adapters that are neither loaded nor coming, best first."""
        names = set(self._queue.lora_names) | set(self._warm)
        worth_by_name = {
            name: self.value.of_newcomer(name, now)
            for name in names
            if name not in self.slots.loaded
            and name not in self.slots.newcomer_by_victim
            and not self.slots.is_coming(name)
            and not self.slots.backs_off(name, now)
        }
        ranked = sorted(worth_by_name, key=lambda name: (-worth_by_name[name], name))
        return {name: worth_by_name[name] for name in ranked}

    def _stop_asking(self, missing: dict[str, float]) -> None:
        for name in list(self.ask_by_name):
            if name not in missing:
                del self.ask_by_name[name]

    def _renew_asks(self, missing: dict[str, float], now: float) -> list[Action]:
        actions: list[Action] = []
        for name, ask in self.ask_by_name.items():
            if now - ask.sent_at >= ASK_AGAIN_S:
                ask.sent_at = now
                actions.append(RequestLoadGrant(name, missing[name]))
        return actions

    def _ask_more(self, missing: dict[str, float], now: float) -> list[Action]:
        """Ask for the best; where one is not worth a slot, no later one is."""
        actions: list[Action] = []
        evictable = self.evictable(now)
        for name, worth in missing.items():
            if name in self.ask_by_name:
                continue
            if len(self.ask_by_name) >= self._asks_allowed(worth, evictable, now):
                break
            self.ask_by_name[name] = Ask(first_at=now, sent_at=now)
            actions.append(RequestLoadGrant(name, worth))
        return actions

    def _asks_allowed(
        self,
        worth: float,
        evictable: dict[str, Slot],
        now: float,
    ) -> int:
        if self._loads_under_way() >= self._loads_allowed():
            return 0
        room = self.slots.free
        if self._victim(worth, evictable, now) is not None:
            room += len(evictable)
        return min(ASKS_AT_ONCE, room)

    def _loads_under_way(self) -> int:
        return len(self.slots.loading_since) + len(self.slots.newcomer_by_victim)

    def _loads_allowed(self) -> int:
        return LOADS_AT_ONCE if self._failing_since is None else 1

    def evictable(self, now: float) -> dict[str, Slot]:
        """Return the slots that no request uses or is about to use."""
        if now < self.may_evict_from:
            return {}
        return {
            name: slot
            for name, slot in self.slots.loaded.items()
            if not self._permits.is_pinned(name) and not self._not_served_yet(name)
        }

    def _not_served_yet(self, name: str) -> bool:
        """Say whether work that an adapter was loaded for still waits for a place.

        Evicting it would waste the load, and the same work would ask for it again.
        """
        slot = self.slots.loaded[name]
        fresh = slot.used_at <= slot.loaded_at and name not in self.draining
        return fresh and bool(self._queue.waiting_for(name))

    def _victim(
        self,
        worth: float,
        evictable: dict[str, Slot],
        now: float,
    ) -> str | None:
        drained = sorted(name for name in evictable if name in self.draining)
        if drained:
            return drained[0]
        return self._rule.victim(
            evictable,
            worth,
            lambda name: self.value.of_slot(name, now),
            now - RESIDENCE_LOADS * self.load_seconds,
        )

    def _load(self, name: str, now: float) -> list[Action]:
        source = self._source_by_name.get(name)
        if source is None:
            return []
        self.slots.order_load(name, now)
        return [Load(name, source)]

    def _plan_drain(self, missing: dict[str, float], now: float) -> None:
        needy = [name for name in missing if name not in self.ask_by_name]
        if not needy:
            self.draining.clear()
            return
        if not self._rule.drains or len(self.draining) >= DRAINS_AT_ONCE:
            return
        if self.slots.free or self._loads_under_way() >= self._loads_allowed():
            return
        waiting = self._queue.waiting_for(needy[0])
        if not waiting or now < self.may_evict_from:
            return
        oldest = min(item.arrived_at for item in waiting)
        if now - oldest < PATIENCE_LOADS * self.load_seconds:
            return
        self._start_drain(missing[needy[0]], now)

    def _start_drain(self, worth: float, now: float) -> None:
        value_by_name = {
            name: self.value.of_slot(name, now)
            for name in self.slots.loaded
            if name not in self.draining and self._permits.is_pinned(name)
        }
        if not value_by_name:
            return
        least = min(value_by_name, key=lambda name: (value_by_name[name], name))
        if worth > value_by_name[least] * EXCHANGE_FACTOR:
            self.draining.add(least)

    def _forget_sources(self) -> None:
        keep = set(self.value.demand) | set(self._queue.lora_names) | set(self._warm)
        for name in list(self._source_by_name):
            if name not in keep:
                del self._source_by_name[name]
