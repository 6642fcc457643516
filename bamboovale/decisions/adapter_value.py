"""What an adapter is worth to an engine, loaded or waiting to be.

Load pattern: more adapters are wanted than slots exist. A loaded adapter is worth
the work that waits for it plus the chance that more comes soon. It is a chance below
one and not a number of requests: whatever is evicted costs one more load at most, and
with a number an idle engine kept its slots while work for others waited.

An adapter that is not loaded gains by the share of its requests' patience that has
passed, so that every class gets its turn before it is refused.
"""

import math

from bamboovale.decisions.batching import WaitQueue
from bamboovale.decisions.demand import RecentDemand
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.work import WorkItem
from bamboovale.models import WorkClass

EXPECTED_FOR_S = 10.0
"""A slot is credited with the chance of a request in the next ten seconds."""
URGENCY = 5.0
"""At the end of its patience a request weighs as much as five fresh ones more."""
WARM_SHARE = 0.5
"""Warming goes after work that waits."""
OVERNIGHT_DISCOUNT = 0.8
"""With all weight on stalls an overnight request counts a fifth of another."""


class AdapterValue:
    """Values adapters by waiting work and recent demand."""

    def __init__(self, *, policy: Policy, queue: WaitQueue) -> None:
        self._queue = queue
        self._by_weight = policy.loads_by_weight
        self._overnight = 1.0 - OVERNIGHT_DISCOUNT * policy.stall_weight
        self.demand = RecentDemand()

    def of_slot(self, name: str, now: float) -> float:
        """Return the requests that wait, and the chance that one will come soon."""
        waiting = sum(self._of_item(item) for item in self._queue.waiting_for(name))
        expected = self.demand.rate(name, now) * EXPECTED_FOR_S
        return waiting + 1.0 - math.exp(-expected)

    def of_newcomer(self, name: str, now: float) -> float:
        """Return what a load of the adapter is worth."""
        waiting = self._queue.waiting_for(name)
        if not waiting:
            return WARM_SHARE * self.of_slot(name, now)
        if not self._by_weight:
            return 1.0 / (1.0 + min(item.arrived_at for item in waiting))
        used_up = max(_patience_used(item, now) for item in waiting)
        return self.of_slot(name, now) + URGENCY * used_up

    def _of_item(self, item: WorkItem) -> float:
        return 1.0 if item.work_class is WorkClass.INTERACTIVE else self._overnight


def _patience_used(item: WorkItem, now: float) -> float:
    """Return the share of a request's longest wait that has passed."""
    patience = max(1e-3, item.latest_start - item.arrived_at)
    return max(0.0, now - item.arrived_at) / patience
