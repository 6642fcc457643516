"""Predicts when an adapter that is not loaded would be.

Once requests pin all slots, the wait for a slot is much longer than the load itself and
differs between engines. It is predicted from the recent rate at which slots became
free.
"""

from bamboovale.decisions.batching import WaitQueue
from bamboovale.decisions.demand import RecentDemand
from bamboovale.decisions.permits import PermitBook
from bamboovale.decisions.slot_planner import SlotPlanner
from bamboovale.models import WorkClass

UNPINNED_KEY = "unpinned"
TURNOVER_HALF_LIFE_S = 10.0
"""About the length of one answer, in which a slot changes once."""
MIN_TURNOVER_PER_S = 0.1
"""Assumed without recent samples: one slot per long answer."""


class SlotForecast:
    """Predicts the wait for a slot and its load on one engine."""

    def __init__(
        self,
        *,
        planner: SlotPlanner,
        queue: WaitQueue,
        permits: PermitBook,
    ) -> None:
        self._planner = planner
        self._queue = queue
        self._permits = permits
        self._unpinned = RecentDemand(half_life_s=TURNOVER_HALF_LIFE_S)

    def on_released(self, name: str, now: float) -> None:
        """Count a slot that lost its last request."""
        if not self._permits.is_pinned(name):
            self._unpinned.add(UNPINNED_KEY, now)

    def wait_for_load(self, name: str, work_class: WorkClass, now: float) -> float:
        """Return the predicted seconds until an adapter is loaded."""
        planner = self._planner
        if name in planner.slots.loaded and name not in planner.draining:
            return 0.0
        since = planner.slots.loading_since.get(name)
        if since is not None:
            return max(0.0, since + planner.load_seconds - now)
        # Loads that have failed for a while are expected to fail as long again.
        wait_s = max(planner.load_wait.value, planner.failing_for_s)
        already_waits = bool(self._queue.waiting_for(name))
        over = 1 - self.open_slots(now, work_class) - already_waits
        return wait_s + max(0, over) * self.slot_wait(now)

    def shortest_wait_for_load(self, name: str) -> float:
        """Return the least seconds until an adapter is loaded."""
        slots = self._planner.slots
        if name in slots.loaded or name in slots.loading_since:
            return 0.0
        return self._planner.load_seconds

    def open_slots(self, now: float, work_class: WorkClass | None = None) -> int:
        """Return the slots for one more adapter, less the adapters that wait for one.

        For interactive work only adapters with interactive requests count, since it
        does not wait behind overnight work.
        """
        slots = self._planner.slots
        available = len(self._planner.evictable(now)) + slots.free
        waiting = sum(
            1
            for name in self._queue.lora_names
            if name not in slots.loaded
            and not slots.is_coming(name)
            and (
                work_class is not WorkClass.INTERACTIVE
                or self._queue.has_interactive(name)
            )
        )
        return available - waiting

    def slot_wait(self, now: float) -> float:
        """Return the predicted seconds between two slots that become free."""
        rate = self._unpinned.rate(UNPINNED_KEY, now)
        return 1.0 / max(rate, MIN_TURNOVER_PER_S)
