"""The live endpoints as known to one entry VM."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from bamboovale.gateway.journal import Journal, finite_age_s
from bamboovale.gateway.model import EndpointRecord
from bamboovale.store.removed_records import RemovedRecords
from bamboovale.store.watch import StoreWatch


@dataclass(frozen=True)
class EndpointChange:
    """An endpoint that was added, changed or (``record`` None) removed."""

    endpoint_id: str
    record: EndpointRecord | None
    was_ready: bool


class EndpointView:
    """All endpoint records by id and by service; notifies listeners of each change.

    A restart under the same registered id is a new endpoint: the previous one is
    removed together with all state kept for it.

    An endpoint that said that it leaves, in its record or in an answer, gets no new
    work whatever another record says: the store may not have taken the next one yet, or
    may have returned from an older copy.

    A missing record removes an endpoint only while the store is settled (see
    ``StoreWatch``): in an outage records expire and are written again afterwards.
    """

    def __init__(
        self, journal: Journal, store: StoreWatch, now: Callable[[], float]
    ) -> None:
        self._journal = journal
        self._now = now
        self._store = store
        self._record_by_id: dict[str, EndpointRecord] = {}
        self._id_by_registration: dict[str, str] = {}
        self._expired: set[str] = set()
        self._leaving: set[str] = set()
        self._left_at_by_id: dict[str, float] = {}
        self._removed = RemovedRecords()
        self._listeners: list[Callable[[EndpointChange], None]] = []
        store.listen(self.drop_expired)

    def listen(self, listener: Callable[[EndpointChange], None]) -> None:
        """Call the listener with each change."""
        self._listeners.append(listener)

    @property
    def record_by_id(self) -> Mapping[str, EndpointRecord]:
        """Return all records by endpoint id, one start of each endpoint."""
        return self._record_by_id

    def ready(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that accept new work."""
        return [
            record
            for record in self._record_by_id.values()
            if record.service == service and record.ready
        ]

    def ready_at(self, address: tuple[str, int]) -> list[EndpointRecord]:
        """Return the endpoints with an address that accept new work."""
        return [
            record
            for record in self._record_by_id.values()
            if record.address == address and record.ready
        ]

    def leaving(self, service: str, within_s: float) -> list[EndpointRecord]:
        """Return the endpoints of a service that began to leave within a time."""
        now = self._now()
        return [
            self._record_by_id[endpoint_id]
            for endpoint_id, left_at in self._left_at_by_id.items()
            if now - left_at <= within_s
            and self._record_by_id[endpoint_id].service == service
        ]

    def is_ready(self, endpoint_id: str) -> bool:
        """Return whether an endpoint accepts new work."""
        record = self._record_by_id.get(endpoint_id)
        return record is not None and record.ready

    def on_record(
        self,
        registered_id: str,
        record: EndpointRecord | None,
        position: int = 0,
        *,
        from_copy: bool = False,
    ) -> bool:
        """Apply a record, or (None) its removal; returns False if nothing changes.

        ``position`` is that of the record in its topic, ``from_copy`` whether the store
        may just have brought back an older one, or lost it.
        """
        if record is None:
            if not from_copy:
                self._removed.on_removed(registered_id)
            self._expire(registered_id)
            return True
        if self._removed.is_copy(registered_id, position, from_copy=from_copy):
            self._journal.write("removed_endpoint_in_copy", endpoint=registered_id)
            return False
        if not record.ready:
            self._leaving.add(record.endpoint_id)
        return self._apply(registered_id, record)

    def _apply(self, registered_id: str, record: EndpointRecord) -> bool:
        before = self._current(registered_id)
        if before is not None and record.is_start_before(before):
            self._journal.write(
                "earlier_start",
                endpoint=record.endpoint_id,
                known=before.endpoint_id,
            )
            return False
        if record.endpoint_id in self._leaving:
            record = replace(record, ready=False)
        was_expired = registered_id in self._expired
        self._expired.discard(registered_id)
        if before is not None and not record.is_same_start(before):
            self._drop(registered_id)
            before = None
        self._record_by_id[record.endpoint_id] = record
        self._id_by_registration[registered_id] = record.endpoint_id
        if before is not None and replace(before, models=record.models) == record:
            # Adapters change with every heartbeat; engine owners publish them.
            return was_expired
        self._log_change(before, record)
        return True

    def on_unreadable_record(self, registered_id: str) -> bool:
        """Apply a record that cannot be decoded; returns False if nothing changes.

        Guards against sending work to an endpoint whose record was overwritten: it gets
        no new work until its next heartbeat registers it again; current runs go on.
        """
        known = self._current(registered_id)
        if known is None or not known.ready:
            return False
        return self._apply(registered_id, replace(known, ready=False))

    def on_leaving(self, endpoint_id: str, origin: str) -> bool:
        """Apply that an endpoint said it leaves; return whether it is known and new.

        ``origin`` is ``answer`` or ``peer``.
        """
        record = self._record_by_id.get(endpoint_id)
        if record is None or endpoint_id in self._leaving:
            return False
        self._leaving.add(endpoint_id)
        self._journal.write(
            "endpoint_leaving", endpoint=endpoint_id, origin=origin, ready=record.ready
        )
        leaving = replace(record, ready=False)
        self._record_by_id[endpoint_id] = leaving
        self._log_change(record, leaving)
        return True

    def leaving_ids(self) -> set[str]:
        """Return the endpoints that said in an answer that they leave."""
        return set(self._leaving)

    def on_restart(self, record: EndpointRecord, started_ms: int) -> None:
        """Apply a restart that an endpoint's report shows before its record does.

        The restarted endpoint holds no models, and may have other software.
        """
        known = self._current(record.registered_id)
        if known is not None:
            fresh = replace(
                known, started_ms=started_ms, models=(), software_version=None
            )
            self.on_record(record.registered_id, fresh)

    def expired_ids(self) -> set[str]:
        """Return the ids of endpoints whose records expired in a store outage."""
        return {self._id_by_registration[r] for r in self._expired}

    def registered_ids(self) -> set[str]:
        """Return the ids under which endpoints are registered."""
        return set(self._id_by_registration)

    async def watch_expired(self, interval_s: float = 0.25) -> None:
        """Drop expired endpoints whenever the store is settled."""
        while True:
            await asyncio.sleep(interval_s)
            if self._store.is_settled():
                self.drop_expired()

    def drop_expired(self) -> None:
        """Drop endpoints whose records expired in an outage and were not renewed."""
        for registered_id in self._expired:
            known = self._current(registered_id)
            if known is not None and not known.ready:
                self._removed.on_removed(registered_id)
            self._drop(registered_id)
        self._expired.clear()

    def _current(self, registered_id: str) -> EndpointRecord | None:
        endpoint_id = self._id_by_registration.get(registered_id)
        return None if endpoint_id is None else self._record_by_id[endpoint_id]

    def _log_change(
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
                software=record.software_version,
                ready=record.ready,
                remaining_s=record.remaining_s,
            )
        was_ready = before is not None and before.ready
        if was_ready and not record.ready:
            self._left_at_by_id[record.endpoint_id] = self._now()
        elif record.ready:
            self._left_at_by_id.pop(record.endpoint_id, None)
        self._notify(EndpointChange(record.endpoint_id, record, was_ready))

    def _expire(self, registered_id: str) -> None:
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
        self._leaving.discard(endpoint_id)
        self._left_at_by_id.pop(endpoint_id, None)
        self._journal.write("endpoint_gone", endpoint=endpoint_id)
        self._notify(EndpointChange(endpoint_id, None, record.ready))

    def _notify(self, change: EndpointChange) -> None:
        for listener in self._listeners:
            listener(change)
