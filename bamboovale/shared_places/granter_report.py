"""What an operator sees of the places that this VM grants: log lines and gauges."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bamboovale.decisions.place_requests import PlaceDecision
from bamboovale.decisions.place_totals import LeftOutChange, PlaceTotals
from bamboovale.decisions.shared_places import SharedPlaces
from bamboovale.gateway.journal import Journal

INTERVAL_S = 1.0
"""Least time between two lines of one service."""

OnTotals = Callable[[str, PlaceTotals | None], None]
"""Takes the totals of a service, None once this VM no longer grants it."""


@dataclass
class _Counts:
    """The decisions since the last line."""

    since: float
    granted: int = 0
    refused: int = 0


class GranterReport:
    """Reports each service once a second at most, and each endpoint left out."""

    def __init__(self, journal: Journal, on_totals: OnTotals) -> None:
        self._journal = journal
        self._on_totals = on_totals
        self._counts_by_service: dict[str, _Counts] = {}

    def on_decisions(
        self,
        service: str,
        places: SharedPlaces,
        decisions: Iterable[PlaceDecision],
        now: float,
    ) -> None:
        """Count decisions, and report if it is time."""
        counts = self._counts_by_service.setdefault(service, _Counts(now))
        for decision in decisions:
            counts.granted += decision.endpoint_id is not None
            counts.refused += decision.retry_after_s is not None
        for change in places.take_changes():
            self._write_change(service, change)
        if now - counts.since >= INTERVAL_S:
            self._report(service, places.totals(now), counts, now)
            self._counts_by_service[service] = _Counts(now)

    def on_lost(self, service: str) -> None:
        """Forget a service that another VM grants now."""
        self._counts_by_service.pop(service, None)
        self._on_totals(service, None)

    def _report(
        self, service: str, totals: PlaceTotals, counts: _Counts, now: float
    ) -> None:
        """Export the totals; a line tells of them only while places are short."""
        self._on_totals(service, totals)
        if counts.refused or totals.left_out:
            self._journal.write(
                "shared_places_short",
                service=service,
                granted=counts.granted,
                refused=counts.refused,
                for_s=round(now - counts.since, 3),
                endpoints=totals.endpoints,
                left_out=totals.left_out,
                slots=totals.slots,
                used=totals.used,
                idle=totals.idle,
                waiting=totals.waiting,
            )

    def _write_change(self, service: str, change: LeftOutChange) -> None:
        if change.is_left_out:
            self._journal.write(
                "shared_place_left_out",
                service=service,
                endpoint=change.endpoint_id,
                failures=change.failures,
                error_share=round(change.error_share, 3),
            )
        else:
            self._journal.write(
                "shared_place_back",
                service=service,
                endpoint=change.endpoint_id,
                failures=change.failures,
            )
