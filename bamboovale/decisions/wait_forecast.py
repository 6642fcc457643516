"""Predicts when a request would start on an engine.

Guards against requests that wait until their deadline and are then refused, and against
refusals while places are free. The prediction counts only work that competes for
places, at the recent rate at which places became free, and the load of a missing
adapter.
"""

from bamboovale.decisions.batching import WaitQueue
from bamboovale.decisions.estimates import MovingAverage
from bamboovale.decisions.permits import PermitBook
from bamboovale.decisions.slot_forecast import SlotForecast
from bamboovale.decisions.slot_planner import SlotPlanner
from bamboovale.decisions.work import WorkItem
from bamboovale.models import WorkClass


class WaitForecast:
    """Predicts waits from the queue and measured service times."""

    def __init__(
        self,
        *,
        queue: WaitQueue,
        permits: PermitBook,
        planner: SlotPlanner,
        slot_forecast: SlotForecast,
        service_seconds: float,
    ) -> None:
        self._queue = queue
        self._permits = permits
        self._planner = planner
        self._slot_forecast = slot_forecast
        self.places = 0
        self._service = MovingAverage(service_seconds)
        self._service_by_class = {
            work_class: MovingAverage(service_seconds) for work_class in WorkClass
        }

    @property
    def service_seconds(self) -> float:
        """Return how long a request uses a place, on average."""
        return self._service.value

    @property
    def free_places(self) -> int:
        """Return the number of places that are not in use."""
        return max(0, self.places - self._permits.used_places)

    def on_served(self, work_class: WorkClass, seconds: float) -> None:
        """Add the service time of a request that ended."""
        self._service.add(seconds)
        self._service_by_class[work_class].add(seconds)

    def spacing(self, item: WorkItem) -> float:
        """Return the seconds between a customer's items at equal shares.

        Customers whose adapters are not loaded use no places meanwhile.
        """
        sharing = self._queue.count_waited_adapters(self._planner.slots.loaded)
        seconds = self._service_by_class[item.work_class].value
        return seconds / max(1, self.places) * max(1, sharing)

    def behind(self, ahead: int) -> float:
        """Return the wait behind ``ahead`` items that compete for places."""
        if ahead < self.free_places:
            return 0.0
        seconds_per_place = self._service.value / max(1, self.places)
        return (ahead + 1 - self.free_places) * seconds_per_place

    def of(self, item: WorkItem, now: float) -> float:
        """Return the predicted wait of an item that would be queued now."""
        ahead, tag = self._queue.ahead_of(item, self._planner.slots.loaded)
        queue_wait = self.behind(ahead)
        if queue_wait > 0.0:
            queue_wait = max(queue_wait, tag - now)
        load_wait = self._slot_forecast.wait_for_load(
            item.target.lora_name,
            item.work_class,
            now,
        )
        return max(queue_wait, load_wait)

    def shortest(self, item: WorkItem) -> float:
        """Return the least possible wait of an item."""
        return self._slot_forecast.shortest_wait_for_load(item.target.lora_name)
