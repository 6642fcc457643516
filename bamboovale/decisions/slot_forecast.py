"""When an adapter that is not loaded would probably be.

Load pattern: more adapters wanted than slots. Once requests pin all slots the wait for
one is far longer than the load itself, and it differs between engines: told only the
time of a load, entry VMs send rare adapters to an engine that can't take them. The pace
at which slots became free lately predicts it.
"""

from bamboovale.decisions.batching import WaitQueue
from bamboovale.decisions.demand import RecentDemand
from bamboovale.decisions.permits import PermitBook
from bamboovale.decisions.slot_planner import SlotPlanner
from bamboovale.models import WorkClass

UNPINNED = "unpinned"
TURNOVER_HALF_LIFE_S = 10.0
"""About the length of one answer, in which a slot changes once."""
SLOWEST_TURNOVER_PER_S = 0.1
"""A slot each 10 s when nothing was measured: about the length of one long answer."""


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

    def released(self, name: str, now: float) -> None:
        """Count a slot that lost its last request."""
        if not self._permits.is_pinned(name):
            self._unpinned.add(UNPINNED, now)

    def wait_for_load(self, name: str, work_class: WorkClass, now: float) -> float:
        """Return the seconds until an adapter is probably loaded."""
        planner = self._planner
        if name in planner.slots.loaded and name not in planner.draining:
            return 0.0
        since = planner.slots.loading_since.get(name)
        if since is not None:
            return max(0.0, since + planner.load_seconds - now)
        # What has failed for some time will probably fail for as long again.
        wait_s = max(planner.load_wait.value, planner.failing_for_s)
        already_waits = bool(self._queue.waiting_for(name))
        over = 1 - self.open_slots(now, work_class) - already_waits
        return wait_s + max(0, over) * self.slot_wait(now)

    def shortest_wait_for_load(self, name: str) -> float:
        """Return the seconds below which an adapter can't be loaded."""
        slots = self._planner.slots
        if name in slots.loaded or name in slots.loading_since:
            return 0.0
        return self._planner.load_seconds

    def open_slots(self, now: float, work_class: WorkClass | None = None) -> int:
        """Return the slots for one more adapter, less those that wait for one.

        Interactive work does not queue behind a night's copy: for it only the adapters
        count that interactive work waits for.
        """
        slots = self._planner.slots
        opening = len(self._planner.evictable(now)) + slots.free
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
        return opening - waiting

    def slot_wait(self, now: float) -> float:
        """Return the seconds between two slots that lose their last request."""
        rate = self._unpinned.rate(UNPINNED, now)
        return 1.0 / max(rate, SLOWEST_TURNOVER_PER_S)
