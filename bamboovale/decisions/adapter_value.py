"""Value of an adapter to an engine, loaded or waiting to be loaded.

The value of a loaded adapter is the work that waits for it plus the probability that
more comes soon. That is at most one, since an eviction costs at most one later load; a
count of requests would keep the slots of an idle engine while other work waits.

The value of a waiting adapter grows as its requests approach their latest start, so
that each gets a slot before they are refused.
"""

import math

from bamboovale.decisions.batching import WaitQueue
from bamboovale.decisions.demand import RecentDemand
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.work import WorkItem
from bamboovale.models import WorkClass

EXPECTED_FOR_S = 10.0
"""Period for which the probability of another request counts."""
URGENCY = 5.0
"""Additional value of a request at its latest start, in fresh requests."""
WARM_SHARE = 0.5
"""Loads in advance count less than waiting work."""
OVERNIGHT_DISCOUNT = 0.8
"""Discount on overnight requests at a stall weight of 1."""


class AdapterValue:
    """Computes values from waiting work and recent demand."""

    def __init__(self, *, policy: Policy, queue: WaitQueue) -> None:
        self._queue = queue
        self._by_weight = policy.loads_by_weight
        self._overnight_value = 1.0 - OVERNIGHT_DISCOUNT * policy.stall_weight
        self.demand = RecentDemand()

    def of_slot(self, name: str, now: float) -> float:
        """Return the waiting requests plus the probability of another one soon."""
        waiting = sum(self._of_item(item) for item in self._queue.waiting_for(name))
        expected = self.demand.rate(name, now) * EXPECTED_FOR_S
        return waiting + 1.0 - math.exp(-expected)

    def of_newcomer(self, name: str, now: float) -> float:
        """Return the value of loading the adapter."""
        waiting = self._queue.waiting_for(name)
        if not waiting:
            return WARM_SHARE * self.of_slot(name, now)
        if not self._by_weight:
            return 1.0 / (1.0 + min(item.arrived_at for item in waiting))
        elapsed_share = max(_elapsed_wait_share(item, now) for item in waiting)
        return self.of_slot(name, now) + URGENCY * elapsed_share

    def _of_item(self, item: WorkItem) -> float:
        return (
            1.0 if item.work_class is WorkClass.INTERACTIVE else self._overnight_value
        )


def _elapsed_wait_share(item: WorkItem, now: float) -> float:
    """Return the elapsed share of a request's longest wait."""
    max_wait_s = max(1e-3, item.latest_start - item.arrived_at)
    return max(0.0, now - item.arrived_at) / max_wait_s
