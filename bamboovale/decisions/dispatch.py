"""Dispatch of one engine at its lease holder: queue, slots and permits.

Many entry VMs want places on one engine. If each decided alone, by reports that lag,
they would overfill its batch and evict adapters that others use. With one writer per
engine:

- grants never exceed the engine's batch, less the runs that have no permit;
- an adapter with a permit, or one that the engine reports as running, is not evicted;
- a request gets its permit only while its adapter is known to be loaded;
- a request that cannot start in time is refused at once.

Events are methods that return the actions to carry out, in order. They use no clock,
socket or random numbers: the same events give the same actions.
"""

from dataclasses import dataclass
from typing import Any

from bamboovale.decisions.batching import QUEUE_BYTES, QUEUE_ITEMS, WaitQueue
from bamboovale.decisions.permits import PermitBook
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.refusals import (
    refuse_full,
    refuse_late,
    refuse_leaving,
    refuse_unloadable,
)
from bamboovale.decisions.slot_forecast import SlotForecast
from bamboovale.decisions.slot_planner import SlotPlanner
from bamboovale.decisions.wait_forecast import WaitForecast
from bamboovale.decisions.work import (
    Action,
    EngineHint,
    EngineView,
    Grant,
    Permit,
    Refuse,
    WorkItem,
)
from bamboovale.models import WorkClass

PERMIT_MARGIN_S = 1.0
"""Added to the send deadline before the pin of an unreachable entry VM may end."""
PRIORITY_BY_CLASS = {WorkClass.INTERACTIVE: 0, WorkClass.OVERNIGHT: 10}
ORDERS_STOPPED_GRACE_S = 1.0
"""Longer than the gap that a late lease renewal leaves."""
UNBOUNDED = 1 << 40


@dataclass(frozen=True)
class DispatchConfig:
    """Settings of one engine's dispatch; times in seconds."""

    engine_id: str
    base_model: str
    fencing: int
    stall_weight: float = 0.5
    load_seconds: float = 1.0
    service_seconds: float = 2.0
    send_within_s: float = 1.0
    permit_margin_s: float = PERMIT_MARGIN_S
    queue_limit: int = QUEUE_ITEMS
    queue_bytes_limit: int = QUEUE_BYTES


class EngineDispatch:
    """Decides for one engine; the lease holder carries out the returned actions."""

    @classmethod
    def from_config(cls, config: DispatchConfig, policy: Policy) -> "EngineDispatch":
        """Return the dispatch of an engine whose state is not known yet."""
        return cls(config=config, policy=policy)

    def __init__(self, *, config: DispatchConfig, policy: Policy) -> None:
        self._config = config
        self._policy = policy
        bounded = policy.refuses_late
        self._queue = WaitQueue(
            order=policy.make_queue_order(),
            items_limit=config.queue_limit if bounded else UNBOUNDED,
            bytes_limit=config.queue_bytes_limit if bounded else UNBOUNDED,
        )
        self._permits = PermitBook()
        self._planner = SlotPlanner(
            policy=policy,
            queue=self._queue,
            permits=self._permits,
            load_seconds=config.load_seconds,
        )
        self._view: EngineView | None = None
        self._is_leaving = False
        self._may_grant = True
        self._orders_stopped_at: float | None = None
        self._permits_given = 0
        self._exclusive_permit_id = ""
        self._send_margin_s = config.send_within_s + config.permit_margin_s
        self._slot_forecast = SlotForecast(
            planner=self._planner,
            queue=self._queue,
            permits=self._permits,
        )
        self._wait_forecast = WaitForecast(
            queue=self._queue,
            permits=self._permits,
            planner=self._planner,
            slot_forecast=self._slot_forecast,
            service_seconds=config.service_seconds,
        )

    # Events from the engine.

    def on_engine_view(self, view: EngineView, now: float) -> list[Action]:
        """Apply the engine's reported state; a new boot ends all permits."""
        read_at = now if view.read_at is None else view.read_at
        if self._view is not None and self._view.boot_id != view.boot_id:
            self._on_engine_restart(now)
        self._view = view
        self._wait_forecast.places = view.max_num_seqs
        self._permits.drop_other_boots(view.boot_id)
        self._planner.apply_view(view, read_at, now)
        self._permits.linger_unseen(view, read_at - self._send_margin_s)
        self._permits.apply_view(view, read_at)
        return self._decide(now)

    def on_loaded(self, lora_name: str, now: float) -> list[Action]:
        """Grant requests that waited for a load that succeeded."""
        self._planner.on_loaded(lora_name, now)
        return self._decide(now)

    def on_load_failed(
        self,
        lora_name: str,
        now: float,
        retry_after_s: float = 0.0,
    ) -> list[Action]:
        """Back off after a load that failed."""
        self._planner.on_load_failed(lora_name, now, retry_after_s)
        return self._decide(now)

    def on_unloaded(self, lora_name: str, now: float) -> list[Action]:
        """Load into the slot that an eviction freed."""
        return self._planner.on_unloaded(lora_name, now) + self._decide(now)

    def on_unload_failed(self, lora_name: str, now: float) -> list[Action]:
        """Leave the slot unused until the next view of the engine."""
        self._planner.slots.unload_failed(lora_name)
        return self._decide(now)

    # Events from entry VMs.

    def on_request(self, item: WorkItem, now: float) -> list[Action]:
        """Queue a request, or refuse it at once."""
        if self._is_leaving:
            return [refuse_leaving(item)]
        if item.request_id in self._queue:
            return []
        if self._cannot_load(item, now):
            return [refuse_unloadable(item)]
        refusals = self._refuse_if_late(item, now) or self._make_room(item, now)
        if any(refuse.request_id == item.request_id for refuse in refusals):
            return list(refusals)
        self._planner.on_request(item, now)
        self._queue.add(item, self._wait_forecast.spacing(item), now)
        return [*refusals, *self._decide(now)]

    def on_cancel(self, request_id: str, now: float) -> list[Action]:
        """Remove a queued request whose caller disconnected."""
        self._queue.remove(request_id)
        return self._decide(now)

    def on_release(
        self,
        permit_id: str,
        now: float,
        *,
        ended: bool = True,
    ) -> list[Action]:
        """Free a place; not ``ended`` if the engine may still run the request."""
        if not ended:
            self._permits.linger(permit_id, not_before=now)
            return self._decide(now)
        seconds = self._permits.seconds_held(permit_id, now)
        permit = self._permits.release(permit_id, now)
        if permit is not None:
            self._slot_forecast.on_released(permit.lora_name, now)
            self._wait_forecast.on_served(permit_class(permit), seconds)
        return self._decide(now)

    def on_entry_gone(self, entry_vm: str, now: float) -> list[Action]:
        """Drop the queue of a dead entry VM; its permits linger.

        The VM may only be unreachable and still send requests. Before the send deadline
        and a margin have passed, an engine that does not list a request proves nothing.
        """
        for item in [item for item in self._queue if item.entry_vm == entry_vm]:
            self._queue.remove(item.request_id)
        self._permits.linger_of(entry_vm, now + self._send_margin_s)
        return self._decide(now)

    def on_permits_adopted(self, permits: list[Permit], now: float) -> list[Action]:
        """Take over permits that live entry VMs hold from the previous holder."""
        boot_id = self._view.boot_id if self._view else None
        for permit in permits:
            if boot_id is None or permit.boot_id == boot_id:
                self._permits.add(permit, now)
        return self._decide(now)

    # Events from the load scheduler, the lease and the catalogue.

    def on_load_grant(self, lora_name: str, now: float) -> list[Action]:
        """Use a load grant of the weight store."""
        return self._planner.on_load_grant(lora_name, now) + self._decide(now)

    def on_new_version(
        self,
        lora_name: str,
        source: str,
        replaces: str,
        now: float,
    ) -> list[Action]:
        """Load a new version in advance if the replaced one was in demand."""
        if self._planner.value.demand.count(replaces, now) > 0.0:
            self._planner.on_new_version(lora_name, source, replaces, now)
        return self._decide(now)

    def set_may_order(self, allowed: bool, now: float) -> list[Action]:
        """Stop or resume loads and evictions with the lease."""
        self._planner.may_order = allowed
        if allowed:
            self._orders_stopped_at = None
        elif self._orders_stopped_at is None:
            self._orders_stopped_at = now
            # Without exchanges a draining slot would get no requests at all.
            self._planner.draining.clear()
        return self._decide(now)

    def set_may_grant(self, allowed: bool, now: float) -> list[Action]:
        """Stop or resume grants.

        While the log is unavailable to all VMs, a holder with an expired lease
        continues to grant loaded adapters, since no other VM can take its lease. If
        only this holder is cut off, another VM takes over and may evict what is granted
        here.
        """
        self._may_grant = allowed
        return self._decide(now)

    def set_may_evict_from(self, at: float) -> None:
        """Allow no eviction before the given time."""
        self._planner.may_evict_from = at

    def set_leaving(self, now: float) -> list[Action]:
        """Give no new permits; send all queued requests to other engines."""
        self._is_leaving = True
        items = list(self._queue)
        for item in items:
            self._queue.remove(item.request_id)
        return [refuse_leaving(item) for item in items]

    def on_tick(self, now: float) -> list[Action]:
        """Refuse requests that can no longer start in time; end back-offs."""
        self._planner.on_tick(now)
        refusals: list[Action] = []
        for item in list(self._queue):
            if (
                self._policy.refuses_late
                and now + self._wait_forecast.shortest(item) > item.latest_start
            ):
                self._queue.remove(item.request_id)
                refusals.append(refuse_late(item, self._wait_forecast.of(item, now)))
            elif self._cannot_load(item, now):
                self._queue.remove(item.request_id)
                refusals.append(refuse_unloadable(item))
        return refusals + self._decide(now)

    # State.

    def hint(self, now: float) -> EngineHint:
        """Return the routing hint for entry VMs."""
        return EngineHint(
            engine_id=self._config.engine_id,
            base_model=self._config.base_model,
            fencing=self._config.fencing,
            loaded=tuple(sorted(self._planner.grantable)),
            loading=tuple(sorted(self._planner.coming())),
            free_places=self._wait_forecast.free_places,
            max_num_seqs=self._wait_forecast.places,
            queued=len(self._queue),
            predicted_wait_s=self._wait_forecast.behind(len(self._queue)),
            load_seconds=self._planner.load_wait.value,
            open_slots=self._slot_forecast.open_slots(now),
            slot_wait_s=self._slot_forecast.slot_wait(now),
        )

    def permits(self) -> dict[str, Permit]:
        """Return the permits by id, without lingering ones."""
        return dict(self._permits.permit_by_id)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state as JSON for operators."""
        return {
            "engine_id": self._config.engine_id,
            "fencing": self._config.fencing,
            "policy": self._policy.name,
            "boot_id": self._view.boot_id if self._view else None,
            "leaving": self._is_leaving,
            "may_grant": self._may_grant,
            "queued": len(self._queue),
            "queued_bytes": self._queue.size_bytes,
            "free_places": self._wait_forecast.free_places,
            "service_s": round(self._wait_forecast.service_seconds, 3),
            **self._permits.dump(),
            **self._planner.dump(now),
        }

    # Decisions.

    def _decide(self, now: float) -> list[Action]:
        if self._view is None or self._is_leaving:
            return []
        actions: list[Action] = []
        while self._may_grant and (item := self._next_item()) is not None:
            actions.append(self._grant(item, now))
        return actions + self._planner.plan(now)

    def _next_item(self) -> WorkItem | None:
        if not self._wait_forecast.free_places:
            return None
        if self._permits.holds(self._exclusive_permit_id):
            return None
        grantable = self._planner.grantable
        exclusive = self._queue.next_exclusive(grantable)
        if exclusive is not None:
            return None if self._permits.used_places else exclusive
        return self._queue.next_item(grantable)

    def _grant(self, item: WorkItem, now: float) -> Grant:
        assert self._view is not None
        self._queue.remove(item.request_id)
        overnight_waits = self._queue.count(WorkClass.OVERNIGHT) > 0
        self._queue.on_granted(item, overnight_waits)
        self._permits_given += 1
        config = self._config
        permit = Permit(
            permit_id=f"{config.engine_id}:{config.fencing}:{self._permits_given}",
            request_id=item.request_id,
            entry_vm=item.entry_vm,
            engine_id=config.engine_id,
            boot_id=self._view.boot_id,
            lora_name=item.target.lora_name,
            fencing=config.fencing,
            send_within_s=config.send_within_s,
            priority=PRIORITY_BY_CLASS[item.work_class],
        )
        self._permits.add(permit, now)
        self._planner.on_granted(permit.lora_name, now)
        if item.exclusive:
            self._exclusive_permit_id = permit.permit_id
        return Grant(permit)

    def _on_engine_restart(self, now: float) -> None:
        self._permits.clear()
        self._planner.on_restart(now)

    # Predicted waits and refusals.

    def _refuse_if_late(self, item: WorkItem, now: float) -> list[Refuse]:
        if not self._policy.refuses_late:
            return []
        wait_s = self._wait_forecast.of(item, now)
        if now + wait_s <= item.latest_start:
            return []
        return [refuse_late(item, wait_s)]

    def _make_room(self, item: WorkItem, now: float) -> list[Refuse]:
        """Refuse the last item behind this one, or this one, if the queue is full."""
        if self._queue.has_room(item):
            return []
        last = self._queue.last_behind(item)
        if last is None or last.size_bytes < item.size_bytes:
            return [refuse_full(item, self._wait_forecast.behind(len(self._queue)))]
        self._queue.remove(last.request_id)
        return [refuse_full(last, self._wait_forecast.behind(len(self._queue)))]

    def _cannot_load(self, item: WorkItem, now: float) -> bool:
        """Return whether a load is needed while orders are stopped for long."""
        stopped_at = self._orders_stopped_at
        if stopped_at is None or not self._policy.refuses_late:
            return False
        stopped_for_s = now - stopped_at
        loaded = item.target.lora_name in self._planner.slots.loaded
        return stopped_for_s > ORDERS_STOPPED_GRACE_S and not loaded


def permit_class(permit: Permit) -> WorkClass:
    """Return the work class of the request that holds a permit."""
    overnight = permit.priority == PRIORITY_BY_CLASS[WorkClass.OVERNIGHT]
    return WorkClass.OVERNIGHT if overnight else WorkClass.INTERACTIVE
