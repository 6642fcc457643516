"""When endpoints last gave a sign of life, as one VM knows it."""

from collections import OrderedDict

from bamboovale.crashes.lost_runs import MAX_DELAY_S

MAX_ENDPOINTS = 10_000


class LastHeard:
    """The last sign of life of each endpoint, in monotonic seconds.

    Guards against taking the time at which a crash becomes known for that of the crash:
    an endpoint that loses its power or its network is silent for seconds before.
    """

    def __init__(self) -> None:
        self._at_by_endpoint: OrderedDict[str, float] = OrderedDict()
        self._position_by_endpoint: dict[str, int] = {}

    def note(self, endpoint_id: str, now: float) -> None:
        """Record that an endpoint sent something."""
        self._at_by_endpoint[endpoint_id] = now
        self._at_by_endpoint.move_to_end(endpoint_id)
        if len(self._at_by_endpoint) > MAX_ENDPOINTS:
            dropped, _ = self._at_by_endpoint.popitem(last=False)
            self._position_by_endpoint.pop(dropped, None)

    def note_record(self, endpoint_id: str, position: int, now: float) -> None:
        """Record that an endpoint renewed its record; one read again says nothing."""
        if self._position_by_endpoint.get(endpoint_id) != position:
            self._position_by_endpoint[endpoint_id] = position
            self.note(endpoint_id, now)

    def silent_s(self, endpoint_id: str, now: float) -> float:
        """Return for how long an endpoint has been silent, 0 if it was never heard.

        At most the longest time after which a lost run may count.
        """
        return min(now - self._at_by_endpoint.get(endpoint_id, now), MAX_DELAY_S)
