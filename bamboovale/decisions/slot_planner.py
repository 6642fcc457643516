"""Plans the adapter slots of one engine at its lease holder.

More adapters are waited for than slots exist, and the weight store allows a few loads a
second and may be unavailable. An eviction before a load is granted would leave a slot
empty, and evictions for loads that fail would empty the engine. A holder therefore
requests a load grant first, evicts only once it has one, and has few loads in progress;
after a failure it has one until a load succeeds.

If running requests pin all slots, new requests for loaded adapters would pin them for
ever. After a while the least valued slot is drained: it gets no new requests until its
adapter can be exchanged.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bamboovale.decisions.adapter_value import AdapterValue
from bamboovale.decisions.batching import WaitQueue
from bamboovale.decisions.estimates import MovingAverage
from bamboovale.decisions.permits import PermitBook
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.slot_table import (
    EXCHANGE_FACTOR,
    MAX_BACK_OFF_S,
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

MAX_CONCURRENT_LOADS = 2
"""More loads only share the bandwidth of the weight store."""
MAX_PENDING_REQUESTS = 8
"""Enough for the load scheduler to choose among."""
RENEW_AFTER_S = 2.0
"""Guards against a lost grant: a repeated load request only renews its weight."""
LOAD_TIME_WEIGHT = 0.3
"""Weight of one load in the average load time."""
FAILURE_VALID_S = 2 * MAX_BACK_OFF_S
"""Age at which the last failed load no longer predicts failures: two of the longest
pauses between tries."""
LOAD_TIMEOUT_S = 60.0
"""Guards against an order whose outcome is never reported."""
DRAIN_AFTER_LOADS = 2.0
"""Wait of a request, in load times, after which a slot is drained for it."""
MAX_DRAINING = 2
"""More would leave much of the batch unused while the last requests end."""


@dataclass
class PendingRequest:
    """A pending request for a load grant."""

    first_at: float
    sent_at: float


class SlotPlanner:
    """Requests load grants, uses them and manages the slots of one engine."""

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
        self.request_by_name: dict[str, PendingRequest] = {}
        self._requested_at_by_name: dict[str, float] = {}
        self._source_by_name: dict[str, str] = {}
        self._warm_up: dict[str, None] = {}
        self._failing_since: float | None = None
        self._failed_at = 0.0

    # Events.

    def apply_view(self, view: EngineView, read_at: float, now: float) -> None:
        """Apply the engine's list of loaded adapters."""
        self.slots.max_loras = view.max_loras
        self.slots.update_loaded(view.loaded, read_at, now)

    def on_restart(self, now: float) -> None:
        """Start with empty slots; load adapters in demand in advance."""
        self.slots.clear()
        self.draining.clear()
        self.request_by_name.clear()
        self._failing_since = None
        if self._policy.warms_after_restart:
            known = [
                n for n in self.value.demand.top(64, now) if n in self._source_by_name
            ]
            self._warm_up = dict.fromkeys(known[: max(self.slots.max_loras, 1)])

    def on_request(self, item: WorkItem, now: float) -> None:
        """Count a request for its adapter."""
        name = item.target.lora_name
        self.value.demand.add(name, now)
        self._source_by_name[name] = item.source

    def on_new_version(self, name: str, source: str, replaces: str, now: float) -> None:
        """Move the demand of the replaced version and load the new one in advance."""
        self._source_by_name[name] = source
        self.value.demand.move(replaces, name, now)
        self._warm_up[name] = None

    def on_granted(self, name: str, now: float) -> None:
        """Record a grant for an adapter."""
        slot = self.slots.loaded.get(name)
        if slot is not None:
            slot.used_at = now

    def on_loaded(self, name: str, now: float) -> None:
        """Record a finished load."""
        seconds = self.slots.load_done(name, now)
        if seconds is not None:
            self._load_time.add(seconds)
            self._failing_since = None
            requested_at = self._requested_at_by_name.pop(name, None)
            if requested_at is not None:
                self.load_wait.add(now - requested_at)
        self._warm_up.pop(name, None)

    def on_load_failed(self, name: str, now: float, wait_s: float) -> None:
        """Record a failed load; it is retried even without a queued request.

        Otherwise a recovered weight store would stay undetected while all requests are
        refused.
        """
        self._failed_at = now
        if self._failing_since is None:
            self._failing_since = now
            self._warm_up[name] = None
        self._requested_at_by_name.pop(name, None)
        self.slots.load_failed(name, now, wait_s)

    def on_unloaded(self, victim: str, now: float) -> list[Action]:
        """Load the next adapter into the slot that became free."""
        newcomer = self.slots.unload_done(victim, now)
        if newcomer is None:
            return []
        if not self.may_order:
            return [ReturnLoadGrant(newcomer)]
        return self._load(newcomer, now)

    # State.

    @property
    def load_seconds(self) -> float:
        """Return the average load time without the wait for a grant."""
        return self._load_time.value

    @property
    def grantable(self) -> Iterable[str]:
        """Return the loaded adapters that get new requests."""
        if not self.draining:
            return self.slots.loaded.keys()
        return [name for name in self.slots.loaded if name not in self.draining]

    @property
    def failing_for_s(self) -> float:
        """Return how long loads have been failing; zero if the last one succeeded."""
        if self._failing_since is None:
            return 0.0
        return self._failed_at - self._failing_since

    def coming(self) -> set[str]:
        """Return the adapters with a load in progress or requested."""
        newcomers = self.slots.newcomer_by_victim.values()
        coming = set(self.slots.loading_since) | set(self.request_by_name)
        coming.update(name for name in newcomers if name)
        return coming

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state as JSON, each loaded adapter with its value."""
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
            "asked": sorted(self.request_by_name),
            "load_wait_s": round(self.load_wait.value, 3),
            "failing_for_s": round(self.failing_for_s, 3),
        }

    # Decisions.

    def plan(self, now: float) -> list[Action]:
        """Request load grants for the adapters that are worth one."""
        if not self.may_order or not self.slots.max_loras:
            return []
        missing = self._missing(now)
        self._drop_requests(missing)
        actions = self._renew_requests(missing, now) + self._add_requests(missing, now)
        self._plan_drain(missing, now)
        return actions

    def on_load_grant(self, name: str, now: float) -> list[Action]:
        """Use a load grant: evict or load, or return the grant.

        If the adapter no longer needs the grant, the most valued missing one uses it.
        """
        request = self.request_by_name.pop(name, None)
        unused: list[Action] = [ReturnLoadGrant(name)]
        if not self.may_order or self._loads_in_progress() >= self._max_loads():
            return unused
        missing = self._missing(now)
        if name not in missing:
            name = next(iter(missing), "")
        if not name:
            return unused
        if self.slots.free:
            self._requested_at_by_name[name] = request.first_at if request else now
            return self._load(name, now)
        victim = self._victim(missing[name], self.evictable(now), now)
        if victim is None:
            return unused
        self._requested_at_by_name[name] = request.first_at if request else now
        self.draining.discard(victim)
        self.slots.order_unload(victim, name)
        return [Unload(victim)]

    def on_tick(self, now: float) -> None:
        """Remove old state and give up orders without an outcome."""
        self.slots.forget_back_offs(now)
        if now - self._failed_at > FAILURE_VALID_S:
            # Without a load attempt no event would end the refusals.
            self._failing_since = None
        self.value.demand.prune(now)
        for name, since in list(self.slots.loading_since.items()):
            if now - since > LOAD_TIMEOUT_S:
                self.on_load_failed(name, now, 0.0)
        if len(self._source_by_name) > 2 * len(self.value.demand) + 64:
            self._forget_sources()

    def _missing(self, now: float) -> dict[str, float]:
        """Return wanted adapters that are neither loaded nor coming, by value."""
        names = set(self._queue.lora_names) | set(self._warm_up)
        value_by_name = {
            name: self.value.of_newcomer(name, now)
            for name in names
            if name not in self.slots.loaded
            and name not in self.slots.newcomer_by_victim
            and not self.slots.is_coming(name)
            and not self.slots.is_backing_off(name, now)
        }
        ranked = sorted(value_by_name, key=lambda name: (-value_by_name[name], name))
        return {name: value_by_name[name] for name in ranked}

    def _drop_requests(self, missing: dict[str, float]) -> None:
        for name in list(self.request_by_name):
            if name not in missing:
                del self.request_by_name[name]

    def _renew_requests(self, missing: dict[str, float], now: float) -> list[Action]:
        actions: list[Action] = []
        for name, request in self.request_by_name.items():
            if now - request.sent_at >= RENEW_AFTER_S:
                request.sent_at = now
                actions.append(RequestLoadGrant(name, missing[name]))
        return actions

    def _add_requests(self, missing: dict[str, float], now: float) -> list[Action]:
        """Request grants in order of value, until one is not worth a slot."""
        actions: list[Action] = []
        evictable = self.evictable(now)
        for name, newcomer_value in missing.items():
            if name in self.request_by_name:
                continue
            if len(self.request_by_name) >= self._max_requests(
                newcomer_value, evictable, now
            ):
                break
            self.request_by_name[name] = PendingRequest(first_at=now, sent_at=now)
            actions.append(RequestLoadGrant(name, newcomer_value))
        return actions

    def _max_requests(
        self,
        newcomer_value: float,
        evictable: dict[str, Slot],
        now: float,
    ) -> int:
        if self._loads_in_progress() >= self._max_loads():
            return 0
        room = self.slots.free
        if self._victim(newcomer_value, evictable, now) is not None:
            room += len(evictable)
        return min(MAX_PENDING_REQUESTS, room)

    def _loads_in_progress(self) -> int:
        return len(self.slots.loading_since) + len(self.slots.newcomer_by_victim)

    def _max_loads(self) -> int:
        return MAX_CONCURRENT_LOADS if self._failing_since is None else 1

    def evictable(self, now: float) -> dict[str, Slot]:
        """Return the slots that no request uses or is about to use."""
        if now < self.may_evict_from:
            return {}
        return {
            name: slot
            for name, slot in self.slots.loaded.items()
            if not self._permits.is_pinned(name) and not self._is_awaiting_place(name)
        }

    def _is_awaiting_place(self, name: str) -> bool:
        """Return whether the requests that caused a load still wait for a place.

        Guards against evicting the adapter before any of them has run.
        """
        slot = self.slots.loaded[name]
        fresh = slot.used_at <= slot.loaded_at and name not in self.draining
        return fresh and bool(self._queue.waiting_for(name))

    def _victim(
        self,
        newcomer_value: float,
        evictable: dict[str, Slot],
        now: float,
    ) -> str | None:
        drained = sorted(name for name in evictable if name in self.draining)
        if drained:
            return drained[0]
        return self._rule.victim(
            evictable,
            newcomer_value,
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
        unrequested = [name for name in missing if name not in self.request_by_name]
        if not unrequested:
            self.draining.clear()
            return
        if not self._rule.drains or len(self.draining) >= MAX_DRAINING:
            return
        if self.slots.free or self._loads_in_progress() >= self._max_loads():
            return
        waiting = self._queue.waiting_for(unrequested[0])
        if not waiting or now < self.may_evict_from:
            return
        oldest = min(item.arrived_at for item in waiting)
        if now - oldest < DRAIN_AFTER_LOADS * self.load_seconds:
            return
        self._start_drain(missing[unrequested[0]], now)

    def _start_drain(self, newcomer_value: float, now: float) -> None:
        value_by_name = {
            name: self.value.of_slot(name, now)
            for name in self.slots.loaded
            if name not in self.draining and self._permits.is_pinned(name)
        }
        if not value_by_name:
            return
        least = min(value_by_name, key=lambda name: (value_by_name[name], name))
        if newcomer_value > value_by_name[least] * EXCHANGE_FACTOR:
            self.draining.add(least)

    def _forget_sources(self) -> None:
        keep = set(self.value.demand) | set(self._queue.lora_names) | set(self._warm_up)
        for name in list(self._source_by_name):
            if name not in keep:
                del self._source_by_name[name]
