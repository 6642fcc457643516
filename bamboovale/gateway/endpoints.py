"""The endpoints that live, as one entry VM believes."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from bamboovale.gateway.journal import Journal, finite_age_s
from bamboovale.gateway.model import EndpointRecord
from bamboovale.gateway.store_watch import StoreWatch


@dataclass(frozen=True)
class EndpointChange:
    """An endpoint that came, changed or (``record`` None) went."""

    endpoint_id: str
    record: EndpointRecord | None
    was_ready: bool


class EndpointView:
    """All records by id and by service; tells listeners of each change.

    An endpoint may start again under the id that it had. Its new start is another
    endpoint here: the one before is gone, with everything that was kept of it.

    While the store is away, and until a moment after its return, nobody is taken for
    gone because a record is missing: records lapse meanwhile and come back. Where the
    store is away for us alone, other VMs' word that it is settled counts.
    """

    def __init__(self, journal: Journal, store: StoreWatch) -> None:
        self._journal = journal
        self._store = store
        self._record_by_id: dict[str, EndpointRecord] = {}
        self._id_by_registration: dict[str, str] = {}
        self._expired: set[str] = set()
        self._listeners: list[Callable[[EndpointChange], None]] = []
        store.listen(self.drop_expired)

    def listen(self, listener: Callable[[EndpointChange], None]) -> None:
        """Call the listener with each change."""
        self._listeners.append(listener)

    @property
    def record_by_id(self) -> Mapping[str, EndpointRecord]:
        """Return every record, one start of each endpoint."""
        return self._record_by_id

    def ready(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that take new work."""
        return [
            record
            for record in self._record_by_id.values()
            if record.service == service and record.ready
        ]

    def on_record(self, registered_id: str, record: EndpointRecord | None) -> bool:
        """Take a record, or (None) its removal; False if it changes nothing."""
        if record is None:
            self._lapse(registered_id)
            return True
        before = self._current(registered_id)
        if before is not None and record.is_start_before(before):
            self._journal.write(
                "earlier_start",
                endpoint=record.endpoint_id,
                known=before.endpoint_id,
            )
            return False
        returned = registered_id in self._expired
        self._expired.discard(registered_id)
        if before is not None and before.endpoint_id != record.endpoint_id:
            self._drop(registered_id)
            before = None
        self._record_by_id[record.endpoint_id] = record
        self._id_by_registration[registered_id] = record.endpoint_id
        if before is not None and replace(before, models=record.models) == record:
            # Adapters come and go with every heartbeat; their owners tell of them.
            return returned
        self._note_change(before, record)
        return True

    def on_unreadable_record(self, registered_id: str, finding: str) -> bool:
        """Take a record that names no endpoint to use; False if nothing changes.

        Guards against work for an endpoint whose record somebody else has overwritten:
        what we knew may no longer hold. It gets no new work until it registers again,
        with its next heartbeat; what runs there goes on.
        """
        self._journal.write("bad_record", key=registered_id, error=finding)
        known = self._current(registered_id)
        if known is None or not known.ready:
            return False
        return self.on_record(registered_id, replace(known, ready=False))

    def on_restart(self, record: EndpointRecord, started_ms: int) -> None:
        """Take an endpoint's own word that it has started since it registered.

        It holds nothing; its record says so with the next heartbeat.
        """
        known = self._current(record.registered_id)
        if known is not None:
            fresh = replace(known, started_ms=started_ms, models=())
            self.on_record(record.registered_id, fresh)

    def expired_ids(self) -> set[str]:
        """Return the ids of endpoints whose records lapsed in an outage."""
        return {self._id_by_registration[r] for r in self._expired}

    def registered_ids(self) -> set[str]:
        """Return the ids under which endpoints are registered."""
        return set(self._id_by_registration)

    async def watch_expired(self, interval_s: float = 0.25) -> None:
        """Take for gone what lapsed in an outage and did not come back."""
        while True:
            await asyncio.sleep(interval_s)
            if self._store.is_settled():
                self.drop_expired()

    def drop_expired(self) -> None:
        """Drop what lapsed in an outage and has had the time to come back."""
        for registered_id in self._expired:
            self._drop(registered_id)
        self._expired.clear()

    def _current(self, registered_id: str) -> EndpointRecord | None:
        endpoint_id = self._id_by_registration.get(registered_id)
        return None if endpoint_id is None else self._record_by_id[endpoint_id]

    def _note_change(
        self,
        before: EndpointRecord | None,
        record: EndpointRecord,
    ) -> None:
        if before is None or before.ready != record.ready:
            self._journal.write(
                "endpoint",
                endpoint=record.endpoint_id,
                service=record.service,
                address=f"{record.address[0]}:{record.address[1]}",
                failure_domain=record.failure_domain,
                ready=record.ready,
                remaining_s=record.remaining_s,
            )
        was_ready = before is not None and before.ready
        self._tell(EndpointChange(record.endpoint_id, record, was_ready))

    def _lapse(self, registered_id: str) -> None:
        if registered_id not in self._id_by_registration:
            return
        if self._store.is_settled():
            self._drop(registered_id)
            return
        if registered_id not in self._expired:
            self._journal.write(
                "endpoint_lapsed",
                endpoint=self._id_by_registration[registered_id],
                settled_s_ago=finite_age_s(self._store.settled_s_ago()),
                read_failed_s_ago=finite_age_s(self._store.read_failed_s_ago()),
            )
        self._expired.add(registered_id)

    def _drop(self, registered_id: str) -> None:
        endpoint_id = self._id_by_registration.pop(registered_id, None)
        if endpoint_id is None:
            return
        record = self._record_by_id.pop(endpoint_id)
        self._journal.write("endpoint_gone", endpoint=endpoint_id)
        self._tell(EndpointChange(endpoint_id, None, record.ready))

    def _tell(self, change: EndpointChange) -> None:
        for listener in self._listeners:
            listener(change)
