"""Load times that a new owner of an engine starts from.

Guards against owners that learn again, by a request sent too early, what an earlier
owner of the engine or the owner of another engine of the pool knows.
"""

from collections import OrderedDict

from bamboovale.decisions.load_times import median_s
from bamboovale.gateway.messages import EngineStatus
from bamboovale.gateway.model import EndpointRecord
from bamboovale.gateway.vm_state import VMState

MAX_REMEMBERED = 256
"""Bound on the engines whose load times are remembered after their owner stopped."""

LoadSeconds = tuple[float, float]
"""Time of a load from the weight store and from the engine's cache, 0 if unknown."""


class KnownLoadTimes:
    """Load times by engine, from the last status of any owner."""

    def __init__(self, state: VMState) -> None:
        self._state = state
        self._remembered: OrderedDict[str, LoadSeconds] = OrderedDict()

    def remember(self, record: EndpointRecord, status: EngineStatus) -> None:
        """Keep the times of an engine whose owner here stops, for a later start."""
        self._remembered[record.registered_id] = (status.load_s, status.cached_load_s)
        self._remembered.move_to_end(record.registered_id)
        if len(self._remembered) > MAX_REMEMBERED:
            self._remembered.popitem(last=False)

    def of(self, record: EndpointRecord) -> LoadSeconds:
        """Return the times of an engine, those of its earlier start or of its pool."""
        status = self._status(record)
        if status is not None and status.load_s > 0.0:
            return status.load_s, status.cached_load_s
        remembered = self._remembered.get(record.registered_id)
        if remembered is not None and remembered[0] > 0.0:
            return remembered
        return self._pool_median(record.service)

    def _pool_median(self, service: str) -> LoadSeconds:
        records = self._state.endpoints.ready(service)
        found = (self._status(record) for record in records)
        statuses = [status for status in found if status is not None]
        return (
            median_s(status.load_s for status in statuses),
            median_s(status.cached_load_s for status in statuses),
        )

    def _status(self, record: EndpointRecord) -> EngineStatus | None:
        owned = self._state.fleet.engine(record.endpoint_id)
        return None if owned is None else owned.status
