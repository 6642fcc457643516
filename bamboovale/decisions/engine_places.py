"""Places, queue and adapters of one engine, decided by its owner.

Many entry VMs request places on one engine, and thousands of adapters share its slots.
If each VM ordered loads from its own view, they would evict adapters that others need
and overload the engine until it crashes. A single owner decides:

- a request is sent only once its adapter is loaded, since the engine refuses it
  otherwise;
- an adapter with a place in use is not evicted, since the order would wait for the run;
- an engine that names a limit gets no more requests a second than that;
- a request that cannot start in time is refused at once.

Events are methods that return actions. They use no clock or socket.
"""

from dataclasses import dataclass
from typing import Any

from bamboovale.decisions.adapter_slot import SlotState
from bamboovale.decisions.adapter_slots import AdapterSlots
from bamboovale.decisions.engine_busyness import EngineBusyness
from bamboovale.decisions.load_orders import LoadOrders
from bamboovale.decisions.mechanisms import ALL_ON, Mechanism, Mechanisms
from bamboovale.decisions.place_queue import PlaceQueue
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
from bamboovale.decisions.request_pace import RequestPace
from bamboovale.decisions.run_meter import RunMeter

MAX_KV_SHARE = 0.92
"""Share of the KV cache that granted requests may reserve, to avoid preemption."""
VERSION_GRACE_S = 1.5
"""How long requests still start on a replaced version that is in use."""
STOPPED_GRACE_S = 0.4
"""Time after which stopped orders cause refusals: longer than a late lease renewal."""

MAX_ENDED_IDS = 1024
"""Runs whose end is remembered as it came before the news of the run."""


@dataclass
class Place:
    """A place in use by a granted request."""

    request: QueuedRequest
    granted_at: float
    started: bool = False


class EnginePlaces:
    """Places and queue of one engine, on top of its adapter slots."""

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
        self._limit_pace = RequestPace()
        self._paced_until: float | None = None
        self._orders = LoadOrders(capacity, self.slots)
        self._stopped_at: float | None = None
        self._queue = PlaceQueue(self.slots, self.pacing, mechanisms)
        self._place_by_id: dict[str, Place] = {}
        self._ended_ids: dict[str, None] = {}
        self.runs = RunMeter()
        self._tokens = 0
        self._has_report = False
        self._reported_active = 0

    # Events from the engine.

    def set_limit(self, limit_per_s: float | None, now: float) -> None:
        """Set how many requests a second the engine takes, None if it names none."""
        self._limit_pace.set_rate(limit_per_s, now)

    def on_report(self, report: ReportedState, now: float) -> list[Action]:
        """Apply a report of the engine."""
        self._has_report = True
        self._orders.update_models(report.version_by_model)
        self._reported_active = report.active
        self.slots.on_report(report, now)
        return self.decide(now)

    def on_order_done(
        self,
        order: OrderLoad | OrderUnload,
        now: float,
        *,
        at_once: bool,
    ) -> list[Action]:
        """Handle an accepted order; ``at_once``: it has already been carried out."""
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
        """Handle an order that was refused, or (not ``certain``) got no answer.

        An order without an answer may still be carried out: its slot stays reserved
        until a report shows the outcome.
        """
        self._orders.on_failed(order, certain=certain)

    def on_run_refused(
        self,
        ask_id: str,
        now: float,
        *,
        not_held: bool,
    ) -> list[Action]:
        """Handle a run that the engine refused; ``not_held``: adapter not loaded."""
        place = self._place_by_id.get(ask_id)
        if place is not None and place.request.key is not None:
            self.slots.run_refused(
                place.request.key, now, sent_at=place.granted_at, not_held=not_held
            )
        self.pacing.on_refused(ask_id)
        return self._free(ask_id, now)

    # Events from entry VMs.

    def on_request(self, request: QueuedRequest, now: float) -> list[Action]:
        """Queue a request, grant it a place or refuse it."""
        if request.key is not None:
            self.slots.note_version(request.key, request.version, now)
        self._queue.add(request)
        return self.decide(now)

    def on_cancel(self, ask_id: str, now: float) -> list[Action]:
        """Remove a request, queued or granted, whose caller disconnected."""
        self._queue.remove(lambda request: request.ask_id == ask_id)
        return self._free(ask_id, now)

    def on_started(self, ask_id: str, now: float) -> None:
        """Handle the first event of a run; its lateness measures the load."""
        place = self._place_by_id.get(ask_id)
        if place is None or place.started:
            return
        place.started = True
        self.runs.on_started(ask_id, now)
        tokens = place.request.prompt_tokens
        late_s = now - place.granted_at - self.pacing.prefill_s(tokens)
        self._busyness.on_first_event(late_s, now)
        if self._mechanisms.has(Mechanism.READING_SPEED):
            self.pacing.on_first_event(ask_id, now)

    def on_stall(self, ask_id: str, pause_s: float, now: float) -> None:
        """Record that a run's stream has just stalled for ``pause_s``."""
        if ask_id in self._place_by_id:
            self.pacing.on_stall(pause_s, now)

    def adopt_place(self, request: QueuedRequest, version: int, now: float) -> None:
        """Take over a place that the previous owner granted.

        Guards against a place for nobody: its end may come first, on another link.
        """
        if request.ask_id in self._place_by_id or request.ask_id in self._ended_ids:
            return
        self._place_by_id[request.ask_id] = Place(request, now, started=True)
        self.runs.on_adopted(request.ask_id, now)
        self._tokens += request.tokens
        if request.key is not None:
            self.slots.note_version(request.key, version, now)
            self.slots.add_loaded(request.key, version, now).active += 1

    def on_release(
        self,
        ask_id: str,
        now: float,
        *,
        aborted: bool = False,
    ) -> list[Action]:
        """Free a place; ``aborted``: the engine may still run the request."""
        place = self._place_by_id.get(ask_id)
        if place is None:
            self._note_ended(ask_id)
        elif not aborted:
            self.runs.on_ended(ask_id, place.request.output_tokens, now)
        return self._free(ask_id, now, aborted=aborted)

    def _note_ended(self, ask_id: str) -> None:
        """Remember the end of an unknown run; the oldest is forgotten."""
        self._ended_ids[ask_id] = None
        if len(self._ended_ids) > MAX_ENDED_IDS:
            del self._ended_ids[next(iter(self._ended_ids))]

    def _free(self, ask_id: str, now: float, *, aborted: bool = False) -> list[Action]:
        """Free a place without measuring its run."""
        place = self._place_by_id.pop(ask_id, None)
        self.runs.on_gone(ask_id, now)
        if place is not None:
            self._tokens -= place.request.tokens
            slot = self.slots.get(place.request.key)
            if slot is not None:
                slot.active = max(0, slot.active - 1)
                if aborted:
                    slot.aborted_at[place.request.request_id] = now
        return self.decide(now)

    def on_entry_gone(
        self, entry_vm: str, now: float, *, before_start: int | None = None
    ) -> list[Action]:
        """Free the places and drop the queued requests of a dead entry VM.

        With ``before_start``, only those of its processes before that start.
        """

        def is_gone(request: QueuedRequest) -> bool:
            ended = before_start is None or request.entry_start < before_start
            return request.entry_vm == entry_vm and ended

        self._queue.remove(is_gone)
        gone = [
            ask_id
            for ask_id, place in self._place_by_id.items()
            if is_gone(place.request)
        ]
        actions: list[Action] = []
        for ask_id in gone:
            actions += self._free(ask_id, now)
        return actions

    # Decisions.

    def decide(self, now: float) -> list[Action]:
        """Return the actions that follow from the current state."""
        if not self._has_report:
            return []
        self._update_stopped_at(now)
        self.slots.mark_ready(now)
        self._queue.sort(now)
        actions: list[Action] = self._grants(now)
        actions += self._refusals(now)
        if self.may_order:
            may_evict = now >= self.may_evict_from
            order = self._orders.next(self._queue.requests, now, may_evict=may_evict)
            if order is not None:
                actions.append(order)
        return actions

    def snapshot(self, now: float) -> EngineSnapshot:
        """Return the state by which entry VMs choose an engine."""
        load_s, cached_load_s = self.slots.times.published_s()
        return EngineSnapshot(
            loaded=self.slots.versions(SlotState.LOADED),
            coming=self.slots.versions(SlotState.LOADING),
            models=tuple(self._orders.version_by_model),
            active=len(self._place_by_id),
            places=self.capacity.places,
            queued=len(self._queue),
            backlog_s=self._backlog_s(now),
            open_slots=self._open_slots(),
            kept=self.slots.cache.size,
            s_per_token=self.pacing.speed.s_per_token,
            held_up=self.pacing.stall_detector.is_stalled(),
            load_s=load_s,
            cached_load_s=cached_load_s,
            free_slots=self.slots.free(),
            s_per_output_token=self._s_per_output_token(now),
            run_s=self._run_s(now),
        )

    def summary(self, now: float) -> dict[str, Any]:
        """Return the load of the engine for the log."""
        load_s, cached_load_s = self.slots.times.published_s()
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
            "limit_wait_s": round(self._limit_pace.wait_s(now), 3),
            "reads_per_s": round(1 / self.pacing.speed.s_per_token),
            "paced": self.pacing.is_on(),
            "fixed_s": round(self.pacing.speed.fixed_s, 4),
            "token_ms": round(1000 * self.runs.speed.mean_s_per_token(now), 3),
            "run_s": round(self.runs.speed.run_s(now), 3),
            "load_s": round(load_s, 3),
            "cached_load_s": round(cached_load_s, 3),
            "kept": self.slots.cache.size,
            "may_order": self.may_order,
            "order_open": self._orders.is_open,
        }

    def _open_slots(self) -> int:
        wanted = self._queue.keys()
        waiting = sum(key is not None and key not in self.slots for key in wanted)
        return self.slots.free() + self.slots.evictable(wanted) - waiting

    def _backlog_s(self, now: float) -> float:
        ages_s = [
            now - place.granted_at - self.pacing.prefill_s(place.request.prompt_tokens)
            for place in self._place_by_id.values()
            if not place.started
        ]
        queued_tokens = sum(
            request.prompt_tokens
            for request in self._queue
            if self.slots.is_loaded(request.key)
        )
        limit_s = self._limit_pace.wait_s(now, len(self._queue))
        wait_s = max(limit_s, self.pacing.backlog_s(queued_tokens, now))
        place_s = self._place_wait_s(self._startable_count(), now)
        if not self._mechanisms.has(Mechanism.LATENESS):
            return max(wait_s, place_s)
        return max(wait_s, place_s + self._busyness.backlog_s(ages_s, now))

    def _startable_count(self) -> int:
        """Return how many queued requests wait for no load."""
        return sum(self._is_startable(request) for request in self._queue)

    def _is_startable(self, request: QueuedRequest) -> bool:
        """Return whether a queued request waits for no load."""
        return request.key is None or self.slots.is_loaded(request.key)

    def _place_wait_s(self, position: int, now: float) -> float:
        """Return the time until ``position`` more requests than now have a place.

        A full batch frees a place whenever one of its runs ends. 0 while the time of a
        run is unknown.
        """
        missing = len(self._place_by_id) + position - self.capacity.places
        return max(0, missing) * self._run_s(now) / self.capacity.places

    def _run_s(self, now: float) -> float:
        """Return the mean time of a run, 0 if it is unknown."""
        if not self._mechanisms.has(Mechanism.RUN_SPEED):
            return 0.0
        return self.runs.speed.run_s(now)

    def _s_per_output_token(self, now: float) -> float:
        if not self._mechanisms.has(Mechanism.RUN_SPEED):
            return 0.0
        return self.runs.speed.mean_s_per_token(now)

    def next_report_at(self, now: float) -> float | None:
        """Return when a report should show an order as complete, None without one."""
        return self.slots.next_report_at(now)

    def loads_model(self) -> bool:
        """Return whether the engine is loading its base model, which takes seconds."""
        return self._orders.loads_model()

    def queue_length(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def _grants(self, now: float) -> list[Action]:
        """Grant places in queue order, none behind a request that waits for pacing.

        Guards against short prompts that use up the prefill time for which a long one
        waits. The engine's limit paces requests in the same order.
        """
        grants: list[Action] = []
        remaining: list[QueuedRequest] = []
        self._paced_until = None
        is_paced = False
        pauses = [place.request.pause_s for place in self._place_by_id.values()]
        for request in self._queue:
            version = self._startable_version(request, now)
            if version is None or not self._has_room(request):
                remaining.append(request)
                continue
            if self._paced_until is not None:
                if is_paced:
                    self._queue.note_paced(request, now)
                remaining.append(request)
                continue
            pauses.append(request.pause_s)
            pause_s = min((p for p in pauses if p is not None), default=None)
            pacing_s = self._pacing_wait_s(request, pause_s, now)
            wait_s = max(pacing_s, self._limit_pace.wait_s(now))
            if wait_s > 0.0:
                self._paced_until = now + wait_s
                is_paced = pacing_s > 0.0
                if is_paced:
                    self._queue.note_paced(request, now)
                remaining.append(request)
            else:
                grants.append(self._grant(request, version, now))
        self._queue.keep(remaining)
        return grants

    def _pacing_wait_s(
        self,
        request: QueuedRequest,
        pause_s: float | None,
        now: float,
    ) -> float:
        if not self._mechanisms.has(Mechanism.PACING):
            return 0.0
        return self.pacing.wait_s(request.prompt_tokens, pause_s, now)

    def next_decision_at(self) -> float | None:
        """Return when to decide next without an event, None if not needed."""
        times = (self.slots.next_ready_at(), self._paced_until)
        return min((at for at in times if at is not None), default=None)

    def _startable_version(self, request: QueuedRequest, now: float) -> int | None:
        if request.key is None:
            return self._orders.version_by_model.get(request.model)
        slot = self.slots.get(request.key)
        if slot is None or slot.state is not SlotState.LOADED:
            return None
        if not self.slots.may_start(slot):
            return None
        newest = self.slots.newest(request.key)
        if slot.version >= newest.version:
            return slot.version
        busy = slot.active > 0 and now - newest.known_at < VERSION_GRACE_S
        return slot.version if busy else None

    def _has_room(self, request: QueuedRequest) -> bool:
        if not self._place_by_id:
            return True
        if len(self._place_by_id) >= self.capacity.places:
            return False
        return self._tokens + request.tokens <= MAX_KV_SHARE * self.capacity.kv_tokens

    def _grant(self, request: QueuedRequest, version: int, now: float) -> Grant:
        self._place_by_id[request.ask_id] = Place(request, now)
        self.runs.on_granted(request.ask_id, now)
        self._tokens += request.tokens
        self._limit_pace.take(now)
        paced_s = self._queue.end_pacing(request, now)
        self.pacing.on_granted(request.ask_id, request.prompt_tokens, now)
        slot = self.slots.get(request.key)
        if slot is None:
            return Grant(request, version, paced_s=paced_s)
        slot.active += 1
        slot.use(now)
        return Grant(request, version, slot.confirmed, paced_s)

    def _refusals(self, now: float) -> list[Action]:
        """Refuse requests that can no longer start in time.

        One that the engine's limit keeps past its goal is refused at once: another
        engine may take it sooner.
        """
        refusals: list[Action] = []
        remaining: list[QueuedRequest] = []
        load_s = self.slots.times.expected_s()
        waits_s = self._predicted_waits(now)
        for request, wait_s in zip(self._queue, waits_s, strict=True):
            limit_s = self._limit_pace.wait_s(now, len(remaining))
            excess_s = now + wait_s - request.latest_start
            if excess_s > 0.0:
                retry_s = max(load_s, excess_s)
                refusals.append(Refuse(request, RefusalReason.LATE, retry_s))
            elif limit_s > 0.0 and now + limit_s > request.goal_at:
                refusals.append(Refuse(request, RefusalReason.LIMITED, limit_s))
            elif self._cannot_load(request, now):
                refusals.append(Refuse(request, RefusalReason.CANNOT_LOAD, load_s))
            else:
                remaining.append(request)
        self._queue.keep(remaining)
        return refusals

    def _predicted_waits(self, now: float) -> list[float]:
        """Return the predicted wait for a slot of each queued request.

        A request that needs a load waits for the loads queued before it, at the recent
        slot turnover. One whose load is in progress does not wait for others, one whose
        adapter is loaded waits for places behind others of its kind.
        """
        if not self._mechanisms.has(Mechanism.EARLY_REFUSAL):
            return [0.0] * len(self._queue)
        self._busyness.on_full(self._open_slots() < 0, now)
        waits_s = []
        ahead: set[AdapterKey] = set()
        startable = 0
        for request in self._queue:
            if self._is_startable(request):
                startable += 1
                waits_s.append(self._place_wait_s(startable, now))
                continue
            key = request.key
            if key is None or key in self.slots or not self.may_order:
                waits_s.append(0.0)
                continue
            ahead.add(key)
            waits_s.append(self._busyness.slot_wait_s(len(ahead), now))
        return waits_s

    def _update_stopped_at(self, now: float) -> None:
        if self.may_order:
            self._stopped_at = None
        elif self._stopped_at is None:
            self._stopped_at = now

    def _cannot_load(self, request: QueuedRequest, now: float) -> bool:
        """Return whether a load is needed while orders have been stopped for long."""
        if self._stopped_at is None or now - self._stopped_at < STOPPED_GRACE_S:
            return False
        return request.key is not None and request.key not in self.slots
