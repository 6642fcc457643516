"""Whether this VM may send a request to an endpoint now, by what the endpoint asked."""

from collections.abc import Callable, Collection, Iterable
from typing import Any

from bamboovale.decisions.brittle_endpoints import BrittleEndpoints
from bamboovale.decisions.endpoint_rests import EndpointRests
from bamboovale.gateway.endpoint_limits import EndpointLimits
from bamboovale.gateway.model import EndpointRecord

REST = "rest"
LIMIT = "limit"
BRITTLE = "brittle"
"""Reasons for which an endpoint is passed over, in log lines and the counter."""


class SendGate:
    """The rests and limits of endpoints; ``on_passed_over`` is called with a reason."""

    def __init__(
        self,
        limits: EndpointLimits,
        rests: EndpointRests,
        brittle: BrittleEndpoints,
        senders: Callable[[], int],
        now: Callable[[], float],
        on_passed_over: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self.limits = limits
        self._rests = rests
        self._brittle = brittle
        self._senders = senders
        self._now = now
        self._on_passed_over = on_passed_over

    def rest_s(self, endpoint_id: str) -> float:
        """Return the seconds for which the endpoint wants nothing from this VM."""
        return self._rests.rest_s(endpoint_id, self._now())

    def wait_s(self, endpoint_id: str, part: float = 1.0) -> float:
        """Return the seconds until this VM may send a request by itself.

        ``part`` is the part of a limit for such requests of all VMs.
        """
        return max(
            self.rest_s(endpoint_id),
            self.limits.wait_s(endpoint_id, part),
            self._brittle.wait_s(endpoint_id, self._now()),
        )

    def waits_s(self, endpoint_ids: Collection[str]) -> dict[str, float]:
        """Return by id how long to wait, for those endpoints that take nothing now."""
        asking = {
            *self._rests.left_by_id(self._now()),
            *self.limits.limited_ids(),
            *self._brittle.brittle_ids(),
        }
        waits_s = {
            endpoint_id: self.wait_s(endpoint_id)
            for endpoint_id in asking
            if endpoint_id in endpoint_ids
        }
        return {endpoint_id: s for endpoint_id, s in waits_s.items() if s > 0.0}

    def most_by_id(self, records: Collection[EndpointRecord]) -> dict[str, int]:
        """Return for brittle endpoints how many requests may be under way."""
        brittle_ids = self._brittle.brittle_ids()
        most_by_id = {}
        for record in records:
            if record.endpoint_id in brittle_ids:
                most = self._brittle.most_under_way(
                    record.endpoint_id, record.slots, self._senders(), self._now()
                )
                assert most is not None
                most_by_id[record.endpoint_id] = most
        return most_by_id

    def on_rejected(self, endpoint_id: str, under_way: int) -> None:
        """Apply a rejection for want of room, with so many requests under way."""
        self._brittle.on_rejected(endpoint_id, under_way, self._senders(), self._now())

    def common_rest_s(self, endpoint_ids: Collection[str]) -> float:
        """Return the seconds until the first of the endpoints is not at rest."""
        left_by_id = self._rests.left_by_id(self._now())
        if not left_by_id:
            return 0.0
        return min((left_by_id.get(name, 0.0) for name in endpoint_ids), default=0.0)

    def take(self, endpoint_id: str) -> None:
        """Count a request that this VM sends by itself."""
        self.limits.take(endpoint_id)

    def _reason(self, endpoint_id: str) -> str:
        if self.rest_s(endpoint_id) > 0.0:
            return REST
        is_limited = self.limits.limit_per_s(endpoint_id) is not None
        return LIMIT if is_limited else BRITTLE

    def note_passed_over(
        self, notes: dict[str, Any], endpoint_ids: Iterable[str]
    ) -> None:
        """Add to a request's log line which endpoints it passes over, and why."""
        passed_over: dict[str, str] = notes.get("passed_over", {})
        for endpoint_id in endpoint_ids:
            if endpoint_id not in passed_over:
                reason = self._reason(endpoint_id)
                notes["passed_over"] = passed_over
                passed_over[endpoint_id] = reason
                self._on_passed_over(reason)
