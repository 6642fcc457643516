"""Chooses the next order of an engine's owner: load, replace, evict or none.

More adapters are waited for than an engine has slots, and it takes one order at a time.
An eviction for each waiting adapter would empty the engine, and concurrent orders would
disagree on the expected order number. Therefore one order is open at a time, for the
first queued request that needs one. An adapter is evicted only if no slot is free, and
only one eviction is in progress.
"""

from collections.abc import Mapping, Sequence

from bamboovale.decisions.adapter_slot import SlotState
from bamboovale.decisions.adapter_slots import AdapterSlots
from bamboovale.decisions.place_work import (
    AdapterKey,
    EngineCapacity,
    OrderLoad,
    OrderUnload,
    QueuedRequest,
)

MAX_CONCURRENT_LOADS = 4
"""Number of adapters that an engine fetches at the same time."""


class LoadOrders:
    """Orders of one engine, by its slots and base models."""

    def __init__(self, capacity: EngineCapacity, slots: AdapterSlots) -> None:
        self.version_by_model: dict[str, int] = {}
        self.is_open = False
        self._capacity = capacity
        self._slots = slots
        self._loading_model: str | None = None

    def update_models(self, version_by_model: Mapping[str, int]) -> None:
        """Store the base models that a report lists."""
        self.version_by_model = dict(version_by_model)
        if self._loading_model in self.version_by_model:
            self._loading_model = None

    def loads_model(self) -> bool:
        """Return whether the engine is loading its base model."""
        return self._loading_model is not None

    def on_done(
        self,
        order: OrderLoad | OrderUnload,
        now: float,
        *,
        at_once: bool,
    ) -> None:
        """Handle an accepted order; ``at_once``: it has already been carried out."""
        self.is_open = False
        if order.adapter is None:
            return
        key = (order.model, order.adapter)
        if isinstance(order, OrderUnload):
            self._slots.unload_accepted(key, now, at_once=at_once)
        else:
            self._slots.load_accepted(key, now, at_once=at_once)

    def on_failed(self, order: OrderLoad | OrderUnload, *, certain: bool) -> None:
        """Handle an order that was refused, or (not ``certain``) got no answer."""
        self.is_open = False
        if order.adapter is None:
            self._loading_model = None
        elif isinstance(order, OrderUnload):
            self._slots.unload_failed((order.model, order.adapter))
        elif certain:
            self._slots.load_failed((order.model, order.adapter))

    def next(
        self,
        queue: Sequence[QueuedRequest],
        now: float,
        *,
        may_evict: bool,
    ) -> OrderLoad | OrderUnload | None:
        """Return the next order for the queued requests, None if none is needed."""
        if self.is_open or self._slots.engine_is_busy:
            return None
        order = self._next_needed(queue, now, may_evict=may_evict)
        self.is_open = order is not None
        return order

    def _next_needed(
        self,
        queue: Sequence[QueuedRequest],
        now: float,
        *,
        may_evict: bool,
    ) -> OrderLoad | OrderUnload | None:
        models = self._capacity.models
        if len(models) == 1 and not self.version_by_model:
            # No requests go to an engine without its model: load it in advance.
            return self._load_model(models[0])
        for request in queue:
            order = self._for_request(request, queue, now, may_evict=may_evict)
            if order is not None:
                return order
        return None

    def _for_request(
        self,
        request: QueuedRequest,
        queue: Sequence[QueuedRequest],
        now: float,
        *,
        may_evict: bool,
    ) -> OrderLoad | OrderUnload | None:
        if request.model not in self.version_by_model:
            return self._load_model(request.model)
        if request.key is None:
            return None
        if request.key not in self._slots:
            return self._load_adapter(request.key, queue, now, may_evict=may_evict)
        if self._slots.is_outdated(request.key):
            return self._load(request.key, now)
        return None

    def _load_model(self, model: str) -> OrderLoad | None:
        if self.loads_model() or self.version_by_model:
            return None
        self._loading_model = model
        return OrderLoad(model, None, 0)

    def _load_adapter(
        self,
        key: AdapterKey,
        queue: Sequence[QueuedRequest],
        now: float,
        *,
        may_evict: bool,
    ) -> OrderLoad | OrderUnload | None:
        if self._slots.count(SlotState.LOADING) >= MAX_CONCURRENT_LOADS:
            return None
        if self._slots.count(SlotState.UNLOADING):
            return None
        if self._slots.has_free():
            return self._load(key, now)
        if not may_evict:
            return None
        victim = self._slots.victim({request.key for request in queue}, now)
        if victim is None:
            return None
        self._slots.begin_unload(victim)
        return OrderUnload(*victim)

    def _load(self, key: AdapterKey, now: float) -> OrderLoad:
        return OrderLoad(*key, self._slots.begin_load(key, now))
