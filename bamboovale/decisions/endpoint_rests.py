"""Until when endpoints want no requests from this VM, as they asked in refusals.

An endpoint that turns everything away has nothing to do, so that it looks like the best
choice; only its own word keeps more requests from it.
"""

from collections.abc import Mapping


class EndpointRests:
    """The end of each endpoint's rest by id; times are of the VM's clock."""

    def __init__(self) -> None:
        self._until_by_id: dict[str, float] = {}

    def on_turned_away(self, endpoint_id: str, rest_s: float, now: float) -> bool:
        """Apply a refusal that asks for rest; return whether a rest begins.

        A later refusal lengthens the rest and never shortens it: the time that was
        asked for first still holds.
        """
        begins = self.rest_s(endpoint_id, now) <= 0.0 < rest_s
        until = max(now + rest_s, self._until_by_id.get(endpoint_id, now))
        self._until_by_id[endpoint_id] = until
        return begins

    def rest_s(self, endpoint_id: str, now: float) -> float:
        """Return the seconds of rest that are left, 0 if there are none."""
        return max(0.0, self._until_by_id.get(endpoint_id, now) - now)

    def forget(self, endpoint_id: str) -> None:
        """Drop the rest of an endpoint that is gone."""
        self._until_by_id.pop(endpoint_id, None)

    def left_by_id(self, now: float) -> Mapping[str, float]:
        """Return the seconds that are left by endpoint, for those at rest."""
        return {
            endpoint_id: until - now
            for endpoint_id, until in self._until_by_id.items()
            if until > now
        }
