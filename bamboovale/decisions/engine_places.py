"""One engine at its owner: who gets a place, which adapters are loaded and evicted.

Load pattern: thousands of adapters share a few slots on each engine, and many entry
VMs want places at once. If each of them ordered loads by what it knows, they would
evict one another's adapters and overfill the engine, which crashes. One owner decides:

- a request is sent only once its adapter is loaded; sent earlier the engine refuses
  it, which costs a round trip and retry budget;
- an adapter with a place in use is not evicted, so that no order waits behind a run;
- loaded, coming and possibly coming adapters together never exceed the slots;
- what cannot start in time is refused at once.

Events are methods that return actions. Nothing here reads a clock or a socket.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from bamboovale.decisions.estimates import MovingAverage

LOADS_AT_ONCE = 4
"""An engine fetches no more adapters than this at a time."""
LOAD_GUESS_S = 0.3
"""Until loads have been measured: what one takes from a weight store without queue."""
REPORT_DELAY_S = 0.13
"""From the end of a load until a report shows it: reports lag by some 100 ms and are
read every 60 ms while a load is expected to end."""
READY_MARGIN_S = 0.03
"""Added to the expected end of a load; a request sent too early is refused by the
engine, which costs a round trip and retry budget."""
WARM_LOAD_S = 0.06
"""An adapter that the engine held recently comes from its own memory, ten times as
fast as from the weight store."""
HELD_KEPT = 100
"""Adapters that an engine is taken to keep in its own memory, the latest ones."""
UNSTARTED_LEAST = 2
"""Runs without a first event before their age says something of the engine."""
EARLY_PENALTY_S = 0.1
"""Added to the expected load time after a request came too early."""
UNLOAD_LOST_S = 5.0
"""An adapter that is still there so long after its unload was accepted stays."""
RATE_WINDOW_S = 2.0
RATE_LEAST_PER_S = 8.0
"""Slots that an engine hands on a second, by the loads of the last seconds; at least
what one with slots for two loads a quarter second can do, so that a quiet engine
refuses nobody."""
SLACK_LOADS = 4
"""Requests ahead that do not count: these loads run side by side."""
FIRST_EVENT_WEIGHT = 0.15
LOAD_LOST_S = 1.5
"""A load that the engine lists neither as loaded nor in transit after this time never
began; reports are some 100 ms old."""
REPORT_LAG_S = 0.5
"""A report read sooner after a change may still show the state before it."""
DEMAND_HALF_LIFE_S = 8.0
"""Popularity shifts within some seconds; an adapter asked for once is cold after."""
KV_SHARE = 0.92
"""Of the token memory, by upper bounds: past it the engine preempts running work."""
PREFILL_TOKENS_PER_S = 20_000.0
"""How fast an engine reads prompts, for comparing engines; only its order of size
matters, since all engines of a pool are compared by the same figure."""
FIRST_TOKEN_S = 0.1
"""From a started run to its first event besides reading the prompt."""
VERSION_GRACE_S = 1.5
"""How long requests still start on a replaced version while it is busy, so that they
do not wait for its runs; far below the five seconds allowed."""

STOPPED_GRACE_S = 0.4
"""A lease that is renewed a little late costs nobody a place; past this, another
engine is the better choice."""

AdapterKey = tuple[str, str]


@dataclass(frozen=True)
class PlaceAsk:
    """A request that wants a place; times are seconds on the owner's clock.

    ``rank`` orders by urgency, 0 first. ``latest_start`` is when a start would be too
    late for the caller. ``adapter`` None asks for the base model itself.
    """

    ask_id: str
    entry_vm: str
    model: str
    adapter: str | None
    version: int
    prompt_tokens: int
    output_tokens: int
    rank: int
    goal_at: float
    latest_start: float

    @property
    def key(self) -> AdapterKey | None:
        """Return the adapter's key, None for the base model."""
        return None if self.adapter is None else (self.model, self.adapter)


@dataclass(frozen=True)
class Grant:
    """The request may be sent; the engine holds this version.

    ``confirmed`` is False while no report has shown the adapter's load to be complete.
    """

    ask: PlaceAsk
    version: int
    confirmed: bool = True


class RefusalReason(Enum):
    """Why a place is not given."""

    LATE = auto()
    FULL = auto()
    CANNOT_LOAD = auto()


@dataclass(frozen=True)
class Refuse:
    """The request was not sent; it may come back after ``retry_after_s``."""

    ask: PlaceAsk
    reason: RefusalReason
    retry_after_s: float


@dataclass(frozen=True)
class OrderLoad:
    """Ask the engine to load an adapter, or to replace it with another version."""

    model: str
    adapter: str | None
    version: int


@dataclass(frozen=True)
class OrderUnload:
    """Ask the engine to drop an adapter or a model."""

    model: str
    adapter: str | None


Action = Grant | Refuse | OrderLoad | OrderUnload


class SlotState(Enum):
    """What is known of an adapter's slot."""

    LOADED = auto()
    LOADING = auto()
    UNLOADING = auto()


@dataclass
class Slot:
    """One adapter at the engine."""

    version: int
    state: SlotState
    changed_at: float
    active: int = 0
    demand: float = 0.0
    used_at: float = 0.0
    ready_at: float | None = None
    confirmed: bool = True

    def demand_at(self, now: float) -> float:
        """Return the recent uses, fading by half-lives."""
        faded = 0.5 ** (max(0.0, now - self.used_at) / DEMAND_HALF_LIFE_S)
        return self.demand * faded

    def is_evictable(self) -> bool:
        """Tell whether it is surely loaded and nobody uses it."""
        return self.state is SlotState.LOADED and self.confirmed and not self.active

    def use(self, now: float) -> None:
        """Count one use."""
        self.demand = self.demand_at(now) + 1.0
        self.used_at = now


@dataclass(frozen=True)
class EngineFacts:
    """What the engine holds, as far as is known: a report or our own belief."""

    version_by_model: dict[str, int]
    version_by_adapter: dict[AdapterKey, int]
    loading: frozenset[AdapterKey]
    active: int
    read_at: float


@dataclass(frozen=True)
class EngineCapacity:
    """Places, token memory and adapter slots of one engine."""

    places: int
    kv_tokens: int
    adapter_slots: int


@dataclass(frozen=True)
class EngineOutlook:
    """What entry VMs choose an engine by.

    ``backlog_s`` is the time that prompts already sent keep the engine reading, or by
    which its first events come late.
    """

    loaded: dict[AdapterKey, int]
    coming: dict[AdapterKey, int]
    models: tuple[str, ...]
    active: int
    places: int
    queued: int
    backlog_s: float
    free_slots: int


@dataclass
class Place:
    """A place in use."""

    ask: PlaceAsk
    granted_at: float
    started: bool = False


@dataclass
class _Newest:
    version: int
    known_at: float


class EnginePlaces:
    """Places, slots and queue of one engine."""

    def __init__(self, capacity: EngineCapacity) -> None:
        self.capacity = capacity
        self.may_order = False
        self.load_s = MovingAverage(LOAD_GUESS_S)
        self._slot_by_key: dict[AdapterKey, Slot] = {}
        self._version_by_model: dict[str, int] = {}
        self._model_loading_since: dict[str, float] = {}
        self._unloaded_at: dict[AdapterKey, float] = {}
        self._held: OrderedDict[AdapterKey, None] = OrderedDict()
        self._loads_at: deque[float] = deque()
        self._late_s = MovingAverage(0.0, weight=FIRST_EVENT_WEIGHT)
        self._stopped_at: float | None = None
        self._queue: list[PlaceAsk] = []
        self._place_by_id: dict[str, Place] = {}
        self._newest_by_key: dict[AdapterKey, _Newest] = {}
        self._order_open = False
        self._known = False
        self._reported_active = 0
        self._backlog_until = 0.0

    # Events from the engine.

    def on_facts(self, facts: EngineFacts, now: float) -> list[Action]:
        """Take a report; what it may not show yet is kept as it is believed."""
        self._known = True
        self._version_by_model = dict(facts.version_by_model)
        self._reported_active = facts.active
        for model in facts.version_by_model:
            self._model_loading_since.pop(model, None)
        for key, version in facts.version_by_adapter.items():
            if not self._just_unloaded(key, facts):
                self._see_loaded(key, version, now)
        for key in facts.loading:
            if key not in self._slot_by_key and not self._just_unloaded(key, facts):
                newest = self._newest_by_key.get(key)
                version = newest.version if newest else 1
                self._slot_by_key[key] = Slot(version, SlotState.LOADING, now)
        for key in list(self._slot_by_key):
            if key not in facts.version_by_adapter and key not in facts.loading:
                self._miss(key, now)
        return self.decide(now)

    def on_order_done(
        self,
        order: OrderLoad | OrderUnload,
        now: float,
        *,
        at_once: bool,
    ) -> list[Action]:
        """Take an order that was accepted; ``at_once``: it holds already.

        An unload that was only accepted waits for runs that we do not know of: its
        slot stays taken until a report shows it empty. Given away before, the engine
        would be ordered past its slots.
        """
        self._order_open = False
        if isinstance(order, OrderUnload) and order.adapter is not None:
            key = (order.model, order.adapter)
            if at_once:
                self._slot_by_key.pop(key, None)
                self._unloaded_at[key] = now
            elif key in self._slot_by_key:
                self._slot_by_key[key].changed_at = now
        elif order.adapter is not None:
            self._load_accepted((order.model, order.adapter), now)
        return self.decide(now)

    def _load_accepted(self, key: AdapterKey, now: float) -> None:
        slot = self._slot_by_key.get(key)
        if slot is None or slot.state is not SlotState.LOADING:
            return
        slot.changed_at = now
        # A replacement waits for runs: only a report tells when it is complete.
        if not slot.active:
            slot.ready_at = now + self._expected_load_s(key)
        self._loads_at.append(now)
        self._held[key] = None
        self._held.move_to_end(key)
        if len(self._held) > HELD_KEPT:
            self._held.popitem(last=False)

    def on_order_failed(
        self,
        order: OrderLoad | OrderUnload,
        now: float,
        *,
        certain: bool,
    ) -> list[Action]:
        """Take an order that was refused, or (not ``certain``) had no answer.

        An order without an answer may still be carried out: its slot stays taken until
        a report shows what became of it.
        """
        self._order_open = False
        if order.adapter is None:
            self._model_loading_since.pop(order.model, None)
            return []
        key = (order.model, order.adapter)
        slot = self._slot_by_key.get(key)
        if slot is None:
            return []
        if isinstance(order, OrderUnload):
            slot.state = SlotState.LOADED
        elif certain and slot.state is SlotState.LOADING:
            del self._slot_by_key[key]
        return []

    def on_refused_run(
        self,
        ask_id: str,
        now: float,
        *,
        not_held: bool,
    ) -> list[Action]:
        """Take an engine's refusal; ``not_held`` if it says it lacks the adapter."""
        place = self._place_by_id.get(ask_id)
        key = place.ask.key if place is not None else None
        slot = self._slot_by_key.get(key) if key is not None else None
        if key is not None and slot is not None and slot.state is SlotState.LOADED:
            if not slot.confirmed:
                self._came_early(slot)
            elif not_held:
                del self._slot_by_key[key]
        return self.on_release(ask_id, now)

    def _came_early(self, slot: Slot) -> None:
        """Wait for a report: the load was not complete when it was expected."""
        slot.state = SlotState.LOADING
        slot.ready_at = None
        self.load_s.add(self.load_s.value + EARLY_PENALTY_S)

    # Events from entry VMs.

    def on_ask(self, ask: PlaceAsk, now: float) -> list[Action]:
        """Queue a request, or refuse it at once."""
        if ask.key is not None:
            self.note_version(ask.key, ask.version, now)
        self._queue.append(ask)
        return self.decide(now)

    def on_cancel(self, ask_id: str, now: float) -> list[Action]:
        """Drop a request whose caller is gone, queued or placed."""
        self._queue = [ask for ask in self._queue if ask.ask_id != ask_id]
        return self.on_release(ask_id, now)

    def on_started(self, ask_id: str, now: float) -> None:
        """Take the first event of a run: how late it came tells how busy we are."""
        place = self._place_by_id.get(ask_id)
        if place is None or place.started:
            return
        place.started = True
        self._late_s.add(now - place.granted_at - _reading_s(place.ask))

    def on_release(self, ask_id: str, now: float) -> list[Action]:
        """Free a place."""
        place = self._place_by_id.pop(ask_id, None)
        if place is not None and place.ask.key is not None:
            slot = self._slot_by_key.get(place.ask.key)
            if slot is not None:
                slot.active = max(0, slot.active - 1)
        return self.decide(now)

    def on_entry_gone(self, entry_vm: str, now: float) -> list[Action]:
        """Free the places of an entry VM that is dead; its queue goes with it."""
        self._queue = [ask for ask in self._queue if ask.entry_vm != entry_vm]
        gone = [
            ask_id
            for ask_id, place in self._place_by_id.items()
            if place.ask.entry_vm == entry_vm
        ]
        actions: list[Action] = []
        for ask_id in gone:
            actions += self.on_release(ask_id, now)
        return actions

    def note_version(self, key: AdapterKey, version: int, now: float) -> None:
        """Learn of a version that some operator has named."""
        newest = self._newest_by_key.get(key)
        if newest is None:
            self._newest_by_key[key] = _Newest(version, now)
        elif version > newest.version:
            newest.version = version
            newest.known_at = now

    # Decisions.

    def decide(self, now: float) -> list[Action]:
        """Return what follows from the present state."""
        if not self._known:
            return []
        self._note_stop(now)
        self._note_ready(now)
        self._sort_queue(now)
        actions: list[Action] = self._grants(now)
        actions += self._refusals(now)
        if self.may_order and not self._order_open:
            order = self._next_order(now)
            if order is not None:
                self._order_open = True
                actions.append(order)
        return actions

    def outlook(self, now: float) -> EngineOutlook:
        """Return what entry VMs choose by."""
        loaded: dict[AdapterKey, int] = {}
        coming: dict[AdapterKey, int] = {}
        for key, slot in self._slot_by_key.items():
            if slot.state is SlotState.LOADED:
                loaded[key] = slot.version
            elif slot.state is SlotState.LOADING:
                coming[key] = slot.version
        return EngineOutlook(
            loaded=loaded,
            coming=coming,
            models=tuple(self._version_by_model),
            active=len(self._place_by_id),
            places=self.capacity.places,
            queued=len(self._queue),
            backlog_s=self._backlog_s(now),
            free_slots=self.capacity.adapter_slots - len(self._slot_by_key),
        )

    def summary(self, now: float) -> dict[str, Any]:
        """Return how full the engine is, for the log."""
        states = [slot.state for slot in self._slot_by_key.values()]
        return {
            "active": len(self._place_by_id),
            "queued": len(self._queue),
            "reported": self._reported_active,
            "slots": self.capacity.adapter_slots,
            "loaded": states.count(SlotState.LOADED),
            "loading": states.count(SlotState.LOADING),
            "pinned": sum(slot.active > 0 for slot in self._slot_by_key.values()),
            "backlog_s": round(self._backlog_s(now), 2),
            "late_s": round(self._late_s.value, 3),
            "load_s": round(self.load_s.value, 3),
            "may_order": self.may_order,
            "order_open": self._order_open,
        }

    def _backlog_s(self, now: float) -> float:
        """Return how long a new prompt waits, by what was sent and by what was seen.

        Guards against an engine that turned slow: what was sent says nothing then, and
        first events that have not come yet have no measured time. Their age counts.
        """
        ages = [
            now - place.granted_at - _reading_s(place.ask)
            for place in self._place_by_id.values()
            if not place.started
        ]
        waiting_s = sum(ages) / len(ages) if len(ages) >= UNSTARTED_LEAST else 0.0
        return max(0.0, self._backlog_until - now, self._late_s.value, waiting_s)

    def has_loads_coming(self) -> bool:
        """Tell whether a fresh report would bring news."""
        return bool(self._model_loading_since) or any(
            slot.state is SlotState.LOADING or not slot.confirmed
            for slot in self._slot_by_key.values()
        )

    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    def next_ready_at(self) -> float | None:
        """Return when the next load is expected to be complete."""
        times = [
            slot.ready_at
            for slot in self._slot_by_key.values()
            if slot.state is SlotState.LOADING and slot.ready_at is not None
        ]
        return min(times, default=None)

    def _note_ready(self, now: float) -> None:
        """Take loads for complete once their expected time is over."""
        for slot in self._slot_by_key.values():
            if slot.state is not SlotState.LOADING or slot.ready_at is None:
                continue
            if now >= slot.ready_at:
                slot.state = SlotState.LOADED
                slot.confirmed = False

    def _expected_load_s(self, key: AdapterKey) -> float:
        if key in self._held:
            return WARM_LOAD_S
        return max(WARM_LOAD_S, self.load_s.value - REPORT_DELAY_S) + READY_MARGIN_S

    def _sort_queue(self, now: float) -> None:
        """Put first what can still meet its goal, the earliest goal before others.

        Past capacity, first come first served makes every request late by the same
        wait. Serving those that can still be in time keeps most of them in time; the
        late ones take what is left until their callers' patience ends.
        """
        load_s = self.load_s.value

        def place_in_queue(ask: PlaceAsk) -> tuple[bool, float]:
            start_s = 0.0 if self._is_loaded(ask) else load_s
            late = now + start_s + _reading_s(ask) + FIRST_TOKEN_S > ask.goal_at
            return late, ask.latest_start if late else ask.goal_at

        self._queue.sort(key=place_in_queue)

    def _is_loaded(self, ask: PlaceAsk) -> bool:
        slot = self._slot_by_key.get(ask.key) if ask.key else None
        return slot is not None and slot.state is SlotState.LOADED

    def _grants(self, now: float) -> list[Action]:
        grants: list[Action] = []
        kept: list[PlaceAsk] = []
        for ask in self._queue:
            version = self._startable_version(ask, now)
            if version is not None and self._has_room(ask):
                grants.append(self._grant(ask, version, now))
            else:
                kept.append(ask)
        self._queue = kept
        return grants

    def _startable_version(self, ask: PlaceAsk, now: float) -> int | None:
        if ask.key is None:
            return self._version_by_model.get(ask.model)
        slot = self._slot_by_key.get(ask.key)
        if slot is None or slot.state is not SlotState.LOADED:
            return None
        newest = self._newest_by_key[ask.key]
        if slot.version >= newest.version:
            return slot.version
        busy = slot.active > 0 and now - newest.known_at < VERSION_GRACE_S
        return slot.version if busy else None

    def _has_room(self, ask: PlaceAsk) -> bool:
        if not self._place_by_id:
            return True
        if len(self._place_by_id) >= self.capacity.places:
            return False
        tokens = sum(_tokens(place.ask) for place in self._place_by_id.values())
        return tokens + _tokens(ask) <= KV_SHARE * self.capacity.kv_tokens

    def _grant(self, ask: PlaceAsk, version: int, now: float) -> Grant:
        self._place_by_id[ask.ask_id] = Place(ask, now)
        if ask.key is not None:
            slot = self._slot_by_key[ask.key]
            slot.active += 1
            slot.use(now)
        self._backlog_until = max(now, self._backlog_until) + _reading_s(ask)
        confirmed = ask.key is None or self._slot_by_key[ask.key].confirmed
        return Grant(ask, version, confirmed)

    def _refusals(self, now: float) -> list[Action]:
        """Refuse what can no longer start in time."""
        reason_by_id: dict[str, RefusalReason] = {}
        waits_s = self._predicted_waits(now)
        for ask, wait_s in zip(self._queue, waits_s, strict=True):
            if now + wait_s > ask.latest_start:
                reason_by_id[ask.ask_id] = RefusalReason.LATE
            elif self._cannot_load(ask, now):
                reason_by_id[ask.ask_id] = RefusalReason.CANNOT_LOAD
        refused = [ask for ask in self._queue if ask.ask_id in reason_by_id]
        if refused:
            self._queue = [a for a in self._queue if a.ask_id not in reason_by_id]
        retry_s = self.load_s.value
        return [Refuse(ask, reason_by_id[ask.ask_id], retry_s) for ask in refused]

    def _predicted_waits(self, now: float) -> list[float]:
        """Return for each waiting request when its turn for a slot should come.

        What needs a load waits for those before it, at the rate at which requests have
        lately got slots. What waits for a load under way waits for no one else.
        """
        rate_per_s = self._slot_rate_per_s(now)
        waits_s = []
        ahead: set[AdapterKey] = set()
        for ask in self._queue:
            if ask.key is None or ask.key in self._slot_by_key or not self.may_order:
                waits_s.append(0.0)
                continue
            ahead.add(ask.key)
            waits_s.append(max(0.0, (len(ahead) - SLACK_LOADS) / rate_per_s))
        return waits_s

    def _slot_rate_per_s(self, now: float) -> float:
        while self._loads_at and now - self._loads_at[0] > RATE_WINDOW_S:
            self._loads_at.popleft()
        return max(RATE_LEAST_PER_S, len(self._loads_at) / RATE_WINDOW_S)

    def _note_stop(self, now: float) -> None:
        if self.may_order:
            self._stopped_at = None
        elif self._stopped_at is None:
            self._stopped_at = now

    def _cannot_load(self, ask: PlaceAsk, now: float) -> bool:
        """Tell whether a load is needed and orders have been forbidden for a while."""
        if self._stopped_at is None or now - self._stopped_at < STOPPED_GRACE_S:
            return False
        return ask.key is not None and ask.key not in self._slot_by_key

    def _next_order(self, now: float) -> OrderLoad | OrderUnload | None:
        for ask in self._queue:
            if ask.model not in self._version_by_model:
                model_order = self._load_model(ask.model, now)
                if model_order is not None:
                    return model_order
                continue
            if ask.key is None:
                continue
            slot = self._slot_by_key.get(ask.key)
            if slot is None:
                order = self._load_adapter(ask.key, now)
                if order is not None:
                    return order
            elif self._is_outdated(ask.key, slot, now):
                return self._order_load(ask.key, now)
        return None

    def _load_model(self, model: str, now: float) -> OrderLoad | None:
        if self._model_loading_since or self._version_by_model:
            return None
        self._model_loading_since[model] = now
        return OrderLoad(model, None, 0)

    def _load_adapter(
        self, key: AdapterKey, now: float
    ) -> OrderLoad | OrderUnload | None:
        if self._loads_coming() >= LOADS_AT_ONCE:
            return None
        if len(self._slot_by_key) < self.capacity.adapter_slots:
            return self._order_load(key, now)
        victim = self._victim(now)
        if victim is None:
            return None
        self._slot_by_key[victim].state = SlotState.UNLOADING
        return OrderUnload(*victim)

    def _order_load(self, key: AdapterKey, now: float) -> OrderLoad:
        version = self._newest_by_key[key].version
        slot = self._slot_by_key.get(key)
        if slot is None:
            self._slot_by_key[key] = Slot(version, SlotState.LOADING, now)
        else:
            slot.state = SlotState.LOADING
            slot.version = version
            slot.changed_at = now
            slot.ready_at = None
            self._held.pop(key, None)  # the new version comes from the weight store
        return OrderLoad(*key, version)

    def _is_outdated(self, key: AdapterKey, slot: Slot, now: float) -> bool:
        if slot.state is not SlotState.LOADED:
            return False
        return slot.version < self._newest_by_key[key].version

    def _victim(self, now: float) -> AdapterKey | None:
        """Return the idle adapter that is least worth its slot: outdated, then cold.

        An adapter that is only expected to be loaded may still be in transit. Told to
        unload it, the engine answers that it does not hold it, and it arrives later in
        a slot that has been given away.
        """
        wanted = {ask.key for ask in self._queue}
        idle = [
            (not self._outdated(key), slot.demand_at(now), slot.used_at, key)
            for key, slot in self._slot_by_key.items()
            if slot.is_evictable() and key not in wanted
        ]
        return min(idle)[-1] if idle else None

    def _outdated(self, key: AdapterKey) -> bool:
        newest = self._newest_by_key.get(key)
        return newest is not None and self._slot_by_key[key].version < newest.version

    def _loads_coming(self) -> int:
        return sum(
            slot.state is SlotState.LOADING for slot in self._slot_by_key.values()
        )

    # Reports against belief.

    def _see_loaded(self, key: AdapterKey, version: int, now: float) -> None:
        slot = self._slot_by_key.get(key)
        if slot is None:
            self._slot_by_key[key] = Slot(version, SlotState.LOADED, now)
        elif slot.state is SlotState.LOADING and version >= slot.version:
            self._confirm(slot, version, now)
        elif slot.state is SlotState.LOADED and not slot.confirmed:
            if version >= slot.version:
                self._confirm(slot, version, now)
        elif slot.state is SlotState.LOADING and self._is_old(slot, now):
            slot.state = SlotState.LOADED
            slot.version = version
        elif slot.state is SlotState.LOADED:
            slot.version = version
        elif now - slot.changed_at > UNLOAD_LOST_S:
            slot.state = SlotState.LOADED

    def _confirm(self, slot: Slot, version: int, now: float) -> None:
        took_s = now - slot.changed_at
        if took_s > 2 * WARM_LOAD_S + REPORT_DELAY_S:
            self.load_s.add(took_s)
        slot.version = version
        slot.state = SlotState.LOADED
        slot.confirmed = True
        slot.ready_at = None

    def _is_old(self, slot: Slot, now: float) -> bool:
        """Tell whether a replacement that waits for runs has waited long enough."""
        return now - slot.changed_at > LOAD_LOST_S and not slot.active

    def _just_unloaded(self, key: AdapterKey, facts: EngineFacts) -> bool:
        """Tell whether the report may be older than an unload.

        Guards against taking an adapter for loaded that is gone: it would be evicted
        again and again, each time with an order that does nothing.
        """
        at = self._unloaded_at.get(key)
        if at is None:
            return False
        if facts.read_at - at < REPORT_LAG_S:
            return True
        del self._unloaded_at[key]
        return False

    def _miss(self, key: AdapterKey, now: float) -> None:
        slot = self._slot_by_key[key]
        expected = slot.state is SlotState.LOADED and not slot.confirmed
        coming = slot.state is SlotState.LOADING or expected
        kept_s = LOAD_LOST_S if coming else REPORT_LAG_S
        if now - slot.changed_at > kept_s:
            del self._slot_by_key[key]

    def places_by_vm(self) -> Iterable[str]:
        """Return the entry VMs that hold places or wait."""
        placed = {place.ask.entry_vm for place in self._place_by_id.values()}
        return placed | {ask.entry_vm for ask in self._queue}


def _reading_s(ask: PlaceAsk) -> float:
    return ask.prompt_tokens / PREFILL_TOKENS_PER_S


def _tokens(ask: PlaceAsk) -> int:
    return ask.prompt_tokens + ask.output_tokens
