"""Which order an engine's owner gives next: load, replace, evict, or none.

Load pattern: more adapters are waited for than an engine has slots, while it takes one
order at a time and fetches a few adapters at once. An eviction for each that waits
would empty the engine of what it needs next, and orders given side by side would be
counted against one another's expected number.

So one order is open at a time, for the first in the queue that needs one; an adapter is
evicted only for another that has no free slot, and only one is on its way out.
"""

from collections.abc import Mapping, Sequence

from bamboovale.decisions.adapter_slots import AdapterSlots, SlotState
from bamboovale.decisions.place_work import (
    AdapterKey,
    EngineCapacity,
    OrderLoad,
    OrderUnload,
    QueuedRequest,
)

LOADS_AT_ONCE = 4
"""An engine fetches no more adapters than this at a time."""


class LoadOrders:
    """The orders of one engine, over its slots and base models."""

    def __init__(self, capacity: EngineCapacity, slots: AdapterSlots) -> None:
        self.version_by_model: dict[str, int] = {}
        self.is_open = False
        self._capacity = capacity
        self._slots = slots
        self._model_loading: str | None = None

    def update_models(self, version_by_model: Mapping[str, int]) -> None:
        """Take the base models that a report lists."""
        self.version_by_model = dict(version_by_model)
        if self._model_loading in self.version_by_model:
            self._model_loading = None

    def loads_model(self) -> bool:
        """Tell whether the engine loads its base model."""
        return self._model_loading is not None

    def on_done(
        self,
        order: OrderLoad | OrderUnload,
        now: float,
        *,
        at_once: bool,
    ) -> None:
        """Take an order that was accepted; ``at_once``: it holds already."""
        self.is_open = False
        if order.adapter is None:
            return
        key = (order.model, order.adapter)
        if isinstance(order, OrderUnload):
            self._slots.unload_accepted(key, now, at_once=at_once)
        else:
            self._slots.load_accepted(key, now)

    def on_failed(self, order: OrderLoad | OrderUnload, *, certain: bool) -> None:
        """Take an order that was refused, or (not ``certain``) had no answer."""
        self.is_open = False
        if order.adapter is None:
            self._model_loading = None
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
        """Return the order to give now, for the requests that wait in this order."""
        if self.is_open:
            return None
        order = self._needed(queue, now, may_evict=may_evict)
        self.is_open = order is not None
        return order

    def _needed(
        self,
        queue: Sequence[QueuedRequest],
        now: float,
        *,
        may_evict: bool,
    ) -> OrderLoad | OrderUnload | None:
        models = self._capacity.models
        if len(models) == 1 and not self.version_by_model:
            # Nobody is sent to an engine without its model; it is loaded unasked.
            return self._load_model(models[0])
        for ask in queue:
            order = self._for_request(ask, queue, now, may_evict=may_evict)
            if order is not None:
                return order
        return None

    def _for_request(
        self,
        ask: QueuedRequest,
        queue: Sequence[QueuedRequest],
        now: float,
        *,
        may_evict: bool,
    ) -> OrderLoad | OrderUnload | None:
        if ask.model not in self.version_by_model:
            return self._load_model(ask.model)
        if ask.key is None:
            return None
        if ask.key not in self._slots:
            return self._load_adapter(ask.key, queue, now, may_evict=may_evict)
        if self._slots.is_outdated(ask.key):
            return self._load(ask.key, now)
        return None

    def _load_model(self, model: str) -> OrderLoad | None:
        if self.loads_model() or self.version_by_model:
            return None
        self._model_loading = model
        return OrderLoad(model, None, 0)

    def _load_adapter(
        self,
        key: AdapterKey,
        queue: Sequence[QueuedRequest],
        now: float,
        *,
        may_evict: bool,
    ) -> OrderLoad | OrderUnload | None:
        if self._slots.count(SlotState.LOADING) >= LOADS_AT_ONCE:
            return None
        if self._slots.count(SlotState.UNLOADING):
            return None
        if self._slots.has_free():
            return self._load(key, now)
        if not may_evict:
            return None
        victim = self._slots.victim({ask.key for ask in queue}, now)
        if victim is None:
            return None
        self._slots.begin_unload(victim)
        return OrderUnload(*victim)

    def _load(self, key: AdapterKey, now: float) -> OrderLoad:
        return OrderLoad(*key, self._slots.begin_load(key, now))
