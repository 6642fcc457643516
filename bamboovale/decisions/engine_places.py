"""One engine at its owner: who gets a place, which adapters are loaded and evicted.

Load pattern: thousands of adapters share a few slots on each engine, and many entry
VMs want places at once. If each of them ordered loads by what it knows, they would
evict one another's adapters and overfill the engine, which crashes. One owner decides:

- a request is sent only once its adapter is loaded; sent earlier the engine refuses
  it, which costs a round trip and retry budget;
- an adapter with a place in use is not evicted, so that no order waits behind a run;
- what cannot start in time is refused at once.

Events are methods that return actions. Nothing here reads a clock or a socket.
"""

from dataclasses import dataclass
from typing import Any

from bamboovale.decisions.adapter_slots import AdapterSlots, SlotState
from bamboovale.decisions.engine_busyness import EngineBusyness
from bamboovale.decisions.load_orders import LoadOrders
from bamboovale.decisions.mechanisms import ALL_ON, Mechanism, Mechanisms
from bamboovale.decisions.place_work import (
    Action,
    AdapterKey,
    EngineCapacity,
    EngineSnapshot,
    Grant,
    OrderLoad,
    OrderUnload,
    QueuedRequest,
    RefusalReason,
    Refuse,
    ReportedState,
)
from bamboovale.decisions.prompt_pacing import PromptPacing

KV_SHARE = 0.92
"""Of the token memory, by upper bounds: past it the engine preempts running work."""
FIRST_TOKEN_S = 0.1
"""From a started run to its first event besides reading the prompt."""
VERSION_GRACE_S = 1.5
"""How long requests still start on a replaced version while it is busy, so that they
do not wait for its runs; far below the five seconds allowed."""
STOPPED_GRACE_S = 0.4
"""A lease that is renewed a little late costs nobody a place; past this, another
engine is the better choice."""


@dataclass
class Place:
    """A place in use."""

    request: QueuedRequest
    granted_at: float
    started: bool = False


class EnginePlaces:
    """Places and queue of one engine, over its slots."""

    def __init__(
        self,
        capacity: EngineCapacity,
        mechanisms: Mechanisms = ALL_ON,
    ) -> None:
        self.capacity = capacity
        self._mechanisms = mechanisms
        self.may_order = False
        self.may_evict_from = 0.0
        self.slots = AdapterSlots(capacity.adapter_slots)
        self._busyness = EngineBusyness()
        self.pacing = PromptPacing()
        self._paced_until: float | None = None
        self._orders = LoadOrders(capacity, self.slots)
        self._stopped_at: float | None = None
        self._queue: list[QueuedRequest] = []
        self._paced_since: dict[str, float] = {}
        self._place_by_id: dict[str, Place] = {}
        self._tokens = 0
        self._known = False
        self._reported_active = 0

    # Events from the engine.

    def on_report(self, facts: ReportedState, now: float) -> list[Action]:
        """Take a report."""
        self._known = True
        self._orders.update_models(facts.version_by_model)
        self._reported_active = facts.active
        self.slots.on_report(facts, now)
        return self.decide(now)

    def on_order_done(
        self,
        order: OrderLoad | OrderUnload,
        now: float,
        *,
        at_once: bool,
    ) -> list[Action]:
        """Take an order that was accepted; ``at_once``: it holds already."""
        self._orders.on_done(order, now, at_once=at_once)
        if isinstance(order, OrderLoad) and order.adapter is not None:
            self._busyness.on_load(now)
        return self.decide(now)

    def on_order_failed(
        self,
        order: OrderLoad | OrderUnload,
        *,
        certain: bool,
    ) -> None:
        """Take an order that was refused, or (not ``certain``) had no answer.

        An order without an answer may still be carried out: its slot stays taken until
        a report shows what became of it.
        """
        self._orders.on_failed(order, certain=certain)

    def on_run_refused(
        self,
        ask_id: str,
        now: float,
        *,
        not_held: bool,
    ) -> list[Action]:
        """Take an engine's refusal; ``not_held`` if it says it lacks the adapter."""
        place = self._place_by_id.get(ask_id)
        if place is not None and place.request.key is not None:
            self.slots.run_refused(place.request.key, now, not_held=not_held)
        self.pacing.on_refused(ask_id)
        return self.on_release(ask_id, now)

    # Events from entry VMs.

    def on_request(self, ask: QueuedRequest, now: float) -> list[Action]:
        """Queue a request, or refuse it at once."""
        if ask.key is not None:
            self.slots.note_version(ask.key, ask.version, now)
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
        tokens = place.request.prompt_tokens
        late_s = now - place.granted_at - self.pacing.prefill_s(tokens)
        self._busyness.on_first_event(late_s, now)
        if self._mechanisms.has(Mechanism.READING_SPEED):
            self.pacing.on_first_event(ask_id, now)

    def on_stall(self, ask_id: str, pause_s: float, now: float) -> None:
        """Take word that a run's stream has just paused for long."""
        if ask_id in self._place_by_id:
            self.pacing.on_stall(pause_s, now)

    def adopt_place(self, ask: QueuedRequest, version: int, now: float) -> None:
        """Take over a place that the engine's last owner granted."""
        if ask.ask_id in self._place_by_id:
            return
        self._place_by_id[ask.ask_id] = Place(ask, now, started=True)
        self._tokens += ask.tokens
        if ask.key is not None:
            self.slots.note_version(ask.key, version, now)
            self.slots.add_loaded(ask.key, version, now).active += 1

    def on_release(
        self,
        ask_id: str,
        now: float,
        *,
        aborted: bool = False,
    ) -> list[Action]:
        """Free a place; ``aborted``: the engine may still work on the request."""
        place = self._place_by_id.pop(ask_id, None)
        if place is not None:
            self._tokens -= place.request.tokens
            slot = self.slots.get(place.request.key)
            if slot is not None:
                slot.active = max(0, slot.active - 1)
                if aborted:
                    slot.aborted_at[place.request.request_id] = now
        return self.decide(now)

    def on_entry_gone(self, entry_vm: str, now: float) -> list[Action]:
        """Free the places of an entry VM that is dead; its queue goes with it."""
        self._queue = [ask for ask in self._queue if ask.entry_vm != entry_vm]
        gone = [
            ask_id
            for ask_id, place in self._place_by_id.items()
            if place.request.entry_vm == entry_vm
        ]
        actions: list[Action] = []
        for ask_id in gone:
            actions += self.on_release(ask_id, now)
        return actions

    # Decisions.

    def decide(self, now: float) -> list[Action]:
        """Return what follows from the present state."""
        if not self._known:
            return []
        self._note_stop(now)
        self.slots.mark_ready(now)
        self._sort_queue(now)
        actions: list[Action] = self._grants(now)
        actions += self._refusals(now)
        if self.may_order:
            may_evict = now >= self.may_evict_from
            order = self._orders.next(self._queue, now, may_evict=may_evict)
            if order is not None:
                actions.append(order)
        return actions

    def snapshot(self, now: float) -> EngineSnapshot:
        """Return what entry VMs choose by."""
        return EngineSnapshot(
            loaded=self.slots.versions(SlotState.LOADED),
            coming=self.slots.versions(SlotState.LOADING),
            models=tuple(self._orders.version_by_model),
            active=len(self._place_by_id),
            places=self.capacity.places,
            queued=len(self._queue),
            backlog_s=self._backlog_s(now),
            open_slots=self._open_slots(),
            kept=self.slots.cache_size,
            s_per_token=self.pacing.speed.s_per_token,
            held_up=self.pacing.stall_detector.is_stalled(),
        )

    def summary(self, now: float) -> dict[str, Any]:
        """Return how full the engine is, for the log."""
        return {
            "active": len(self._place_by_id),
            "queued": len(self._queue),
            "reported": self._reported_active,
            "slots": self.capacity.adapter_slots,
            "loaded": self.slots.count(SlotState.LOADED),
            "loading": self.slots.count(SlotState.LOADING),
            "pinned": self.slots.pinned(),
            "backlog_s": round(self._backlog_s(now), 2),
            "late_s": round(self._busyness.late_s(now), 3),
            "reads_per_s": round(1 / self.pacing.speed.s_per_token),
            "paced": self.pacing.is_on(),
            "fixed_s": round(self.pacing.speed.fixed_s, 4),
            "load_s": round(self.slots.load_s.value, 3),
            "kept": self.slots.cache_size,
            "may_order": self.may_order,
            "order_open": self._orders.is_open,
        }

    def _open_slots(self) -> int:
        wanted = {ask.key for ask in self._queue}
        waiting = sum(key is not None and key not in self.slots for key in wanted)
        return self.slots.free() + self.slots.evictable(wanted) - waiting

    def _backlog_s(self, now: float) -> float:
        ages_s = [
            now - place.granted_at - self.pacing.prefill_s(place.request.prompt_tokens)
            for place in self._place_by_id.values()
            if not place.started
        ]
        queued_tokens = sum(
            ask.prompt_tokens for ask in self._queue if self.slots.is_loaded(ask.key)
        )
        pacing_s = self.pacing.backlog_s(queued_tokens, now)
        if not self._mechanisms.has(Mechanism.LATENESS):
            return pacing_s
        return max(pacing_s, self._busyness.backlog_s(ages_s, now))

    def awaits_report(self) -> bool:
        """Tell whether a fresh report would bring news."""
        return self._orders.loads_model() or self.slots.awaits_report()

    def loads_model(self) -> bool:
        """Tell whether the engine loads its base model, which takes seconds."""
        return self._orders.loads_model()

    def queue_length(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    def _sort_queue(self, now: float) -> None:
        """Put first what can still meet its goal, the earliest goal before others.

        Past capacity, first come first served makes every request late by the same
        wait. Serving those that can still be in time keeps most of them in time; the
        late ones take what is left until their callers' patience ends.
        """
        if not self._mechanisms.has(Mechanism.GOAL_ORDER):
            return
        load_s = self.slots.load_s.value

        def place_in_queue(ask: QueuedRequest) -> tuple[bool, float]:
            start_s = 0.0 if self.slots.is_loaded(ask.key) else load_s
            prefill_s = self.pacing.prefill_s(ask.prompt_tokens)
            late = now + start_s + prefill_s + FIRST_TOKEN_S > ask.goal_at
            return late, ask.latest_start if late else ask.goal_at

        self._queue.sort(key=place_in_queue)

    def _grants(self, now: float) -> list[Action]:
        """Give places in the queue's order, none before the one that reading holds up.

        Those behind it would take the stretch that it waits for, and a long prompt
        would never begin beside short ones.
        """
        grants: list[Action] = []
        kept: list[QueuedRequest] = []
        self._paced_until = None
        pauses = [place.request.pause_s for place in self._place_by_id.values()]
        for ask in self._queue:
            version = self._startable_version(ask, now)
            if version is None or not self._has_room(ask):
                kept.append(ask)
                continue
            if self._paced_until is not None:
                self._paced_since.setdefault(ask.ask_id, now)
                kept.append(ask)
                continue
            pauses.append(ask.pause_s)
            pause_s = min((p for p in pauses if p is not None), default=None)
            wait_s = self._pacing_wait_s(ask, pause_s, now)
            if wait_s > 0.0:
                self._paced_until = now + wait_s
                self._paced_since.setdefault(ask.ask_id, now)
                kept.append(ask)
            else:
                grants.append(self._grant(ask, version, now))
        self._queue = kept
        self._forget_paced()
        return grants

    def _pacing_wait_s(
        self,
        ask: QueuedRequest,
        pause_s: float | None,
        now: float,
    ) -> float:
        if not self._mechanisms.has(Mechanism.PACING):
            return 0.0
        return self.pacing.wait_s(ask.prompt_tokens, pause_s, now)

    def _forget_paced(self) -> None:
        """Forget who left the queue without a place."""
        if len(self._paced_since) > len(self._queue):
            waiting = {ask.ask_id for ask in self._queue}
            for ask_id in self._paced_since.keys() - waiting:
                del self._paced_since[ask_id]

    def next_decision_at(self) -> float | None:
        """Return when to decide again though nothing happens before; None: no need."""
        times = (self.slots.next_ready_at(), self._paced_until)
        return min((at for at in times if at is not None), default=None)

    def _startable_version(self, ask: QueuedRequest, now: float) -> int | None:
        if ask.key is None:
            return self._orders.version_by_model.get(ask.model)
        slot = self.slots.get(ask.key)
        if slot is None or slot.state is not SlotState.LOADED:
            return None
        newest = self.slots.newest(ask.key)
        if slot.version >= newest.version:
            return slot.version
        busy = slot.active > 0 and now - newest.known_at < VERSION_GRACE_S
        return slot.version if busy else None

    def _has_room(self, ask: QueuedRequest) -> bool:
        if not self._place_by_id:
            return True
        if len(self._place_by_id) >= self.capacity.places:
            return False
        return self._tokens + ask.tokens <= KV_SHARE * self.capacity.kv_tokens

    def _grant(self, ask: QueuedRequest, version: int, now: float) -> Grant:
        self._place_by_id[ask.ask_id] = Place(ask, now)
        self._tokens += ask.tokens
        paced_s = now - self._paced_since.pop(ask.ask_id, now)
        self.pacing.on_granted(ask.ask_id, ask.prompt_tokens, now)
        slot = self.slots.get(ask.key)
        if slot is None:
            return Grant(ask, version, paced_s=paced_s)
        slot.active += 1
        slot.use(now)
        return Grant(ask, version, slot.confirmed, paced_s)

    def _refusals(self, now: float) -> list[Action]:
        """Refuse what can no longer start in time."""
        refusals: list[Action] = []
        kept: list[QueuedRequest] = []
        load_s = self.slots.load_s.value
        waits_s = self._predicted_waits(now)
        for ask, wait_s in zip(self._queue, waits_s, strict=True):
            too_long_s = now + wait_s - ask.latest_start
            if too_long_s > 0.0:
                retry_s = max(load_s, too_long_s)
                refusals.append(Refuse(ask, RefusalReason.LATE, retry_s))
            elif self._cannot_load(ask, now):
                refusals.append(Refuse(ask, RefusalReason.CANNOT_LOAD, load_s))
            else:
                kept.append(ask)
        self._queue = kept
        return refusals

    def _predicted_waits(self, now: float) -> list[float]:
        """Return for each waiting request when its turn for a slot should come.

        What needs a load waits for those before it, at the rate at which requests have
        lately got slots. What waits for a load under way waits for no one else.
        """
        if not self._mechanisms.has(Mechanism.EARLY_REFUSAL):
            return [0.0] * len(self._queue)
        self._busyness.on_full(self._open_slots() < 0, now)
        waits_s = []
        ahead: set[AdapterKey] = set()
        for ask in self._queue:
            if ask.key is None or ask.key in self.slots or not self.may_order:
                waits_s.append(0.0)
                continue
            ahead.add(ask.key)
            waits_s.append(self._busyness.slot_wait_s(len(ahead), now))
        return waits_s

    def _note_stop(self, now: float) -> None:
        if self.may_order:
            self._stopped_at = None
        elif self._stopped_at is None:
            self._stopped_at = now

    def _cannot_load(self, ask: QueuedRequest, now: float) -> bool:
        """Tell whether a load is needed and orders have been forbidden for a while."""
        if self._stopped_at is None or now - self._stopped_at < STOPPED_GRACE_S:
            return False
        return ask.key is not None and ask.key not in self.slots
