"""The endpoints that live, as one entry VM believes."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from bamboovale.gateway.followers import RETURN_S
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import EndpointRecord


@dataclass(frozen=True)
class EndpointChange:
    """An endpoint that came, changed or (``record`` None) went."""

    endpoint_id: str
    record: EndpointRecord | None
    was_ready: bool


class EndpointView:
    """All records by id and by service; tells listeners of each change.

    While the store is away, and until a moment after its return, nobody is taken for
    gone because a record is missing: records lapse meanwhile and come back.
    """

    def __init__(
        self,
        journal: Journal,
        now: Callable[[], float],
    ) -> None:
        self._journal = journal
        self._now = now
        self._record_by_id: dict[str, EndpointRecord] = {}
        self._lapsed: set[str] = set()
        self._listeners: list[Callable[[EndpointChange], None]] = []
        self._store_away_until = 0.0
        self._reachable = True

    def listen(self, listener: Callable[[EndpointChange], None]) -> None:
        """Call the listener with each change."""
        self._listeners.append(listener)

    @property
    def record_by_id(self) -> Mapping[str, EndpointRecord]:
        """Return every record."""
        return self._record_by_id

    def ready(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that take new work."""
        return [
            record
            for record in self._record_by_id.values()
            if record.service == service and record.ready
        ]

    def on_record(self, endpoint_id: str, record: EndpointRecord | None) -> bool:
        """Take a record, or (None) its removal; False if it is only a heartbeat."""
        if record is None:
            self._lapse(endpoint_id)
            return True
        returned = endpoint_id in self._lapsed
        self._lapsed.discard(endpoint_id)
        before = self._record_by_id.get(endpoint_id)
        self._record_by_id[endpoint_id] = record
        if before is not None and replace(before, models=record.models) == record:
            # Adapters come and go with every heartbeat; their owners tell of them.
            return returned
        if before is None or before.ready != record.ready:
            self._journal.write(
                "endpoint",
                endpoint=endpoint_id,
                service=record.service,
                address=f"{record.address[0]}:{record.address[1]}",
                failure_domain=record.failure_domain,
                ready=record.ready,
                remaining_s=record.remaining_s,
            )
        self._tell(EndpointChange(endpoint_id, record, bool(before and before.ready)))
        return True

    def on_snapshot(self, present: set[str]) -> None:
        """Drop what a full read no longer holds."""
        for endpoint_id in list(self._record_by_id):
            if endpoint_id not in present:
                self._lapse(endpoint_id)

    def on_progress(self, reachable: bool) -> None:
        """Note whether the store answers."""
        if reachable and not self._reachable:
            self._store_away_until = self._now() + RETURN_S
        self._reachable = reachable

    async def watch_lapsed(self, interval_s: float = 0.25) -> None:
        """Take for gone what lapsed in an outage and did not come back."""
        while True:
            await asyncio.sleep(interval_s)
            self.drop_lapsed()

    def drop_lapsed(self) -> None:
        """Drop records whose time to come back is over."""
        if not self._reachable or self._now() < self._store_away_until:
            return
        for endpoint_id in self._lapsed:
            self._drop(endpoint_id)
        self._lapsed.clear()

    def _lapse(self, endpoint_id: str) -> None:
        if endpoint_id not in self._record_by_id:
            return
        if self._reachable and self._now() >= self._store_away_until:
            self._drop(endpoint_id)
        else:
            self._lapsed.add(endpoint_id)

    def _drop(self, endpoint_id: str) -> None:
        record = self._record_by_id.pop(endpoint_id, None)
        if record is None:
            return
        self._journal.write("endpoint_gone", endpoint=endpoint_id)
        self._tell(EndpointChange(endpoint_id, None, record.ready))

    def _tell(self, change: EndpointChange) -> None:
        for listener in self._listeners:
            listener(change)
