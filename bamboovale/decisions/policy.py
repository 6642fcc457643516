"""Bundles of rules that drive the decisions for an engine.

The chosen rules and a baseline drive the same code, so that measured differences come
from the rules. ``stall_weight`` is set per deployment: 1 minimises load stalls only, 0
maximises full batches only.
"""

from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.decisions.batching import ArrivalOrder, FairOrder, QueueOrder
from bamboovale.decisions.slot_table import LeastRecentlyUsed, LeastValued, SlotRule

DEFAULT_STALL_WEIGHT = 0.5


@dataclass(frozen=True)
class Policy:
    """Rules by name; the factories create separate rules for each engine."""

    name: str
    stall_weight: float
    make_queue_order: Callable[[], QueueOrder]
    make_slot_rule: Callable[[], SlotRule]
    refuses_late: bool
    places_by_adapter: bool
    loads_by_weight: bool
    warms_after_restart: bool

    @classmethod
    def chosen(cls, stall_weight: float = DEFAULT_STALL_WEIGHT) -> "Policy":
        """Return the rules that entry VMs use by default."""
        return cls(
            name="chosen",
            stall_weight=stall_weight,
            make_queue_order=lambda: FairOrder(stall_weight),
            make_slot_rule=LeastValued,
            refuses_late=True,
            places_by_adapter=True,
            loads_by_weight=True,
            warms_after_restart=True,
        )

    @classmethod
    def baseline(cls) -> "Policy":
        """Return least loaded placement, LRU slots, arrival order and no refusals."""
        return cls(
            name="baseline",
            stall_weight=DEFAULT_STALL_WEIGHT,
            make_queue_order=ArrivalOrder,
            make_slot_rule=LeastRecentlyUsed,
            refuses_late=False,
            places_by_adapter=False,
            loads_by_weight=False,
            warms_after_restart=False,
        )

    @classmethod
    def from_name(cls, name: str, stall_weight: float) -> "Policy":
        """Return a policy by its name; raise ValueError for an unknown one."""
        if name == "baseline":
            return cls.baseline()
        if name == "chosen":
            return cls.chosen(stall_weight)
        raise ValueError(f"unknown policy {name!r}: chosen or baseline")
