"""Records in the metadata store of which pools of engines are stalled.

Guards against a second series of stream stalls after a restart of all VMs, until they
have detected again that prompts must be paced. One VM writes a record when the state of
its pool changes; every VM reads the records together with the addresses of the others.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.decisions.rendezvous import first_members
from bamboovale.decoding import BadRecordError, reading
from bamboovale.gateway.journal import Journal
from bamboovale.store.interface import KeyedRecord, MetadataStore, StoreError
from bamboovale.store.odd_records import log_odd_record

KEY_PREFIX = "pool:"
"""Distinguishes these records from those of VMs in the same topic."""
MIN_WRITE_INTERVAL_S = 5.0
"""Least time between two writes for a pool, as each is a priced call."""
CLEAR_AFTER_S = 20.0
"""How long a pool must be without stalls before its record is cleared: a VM that has
just started has not received every engine's status yet."""


@dataclass
class StallRecord:
    """Recorded state of one pool.

    ``clear_since`` is since when no stall was observed, None while there is one.
    ``is_lost`` is whether the store may not hold it any more.
    """

    stalled: bool = False
    clear_since: float | None = None
    written_at: float | None = None
    is_lost: bool = False

    def evaluate(self, stalled: bool, now: float) -> bool:
        """Apply an observation; return whether it changes the record."""
        if stalled:
            self.clear_since = None
            changed = not self.stalled
        else:
            self.clear_since = now if self.clear_since is None else self.clear_since
            changed = self.stalled and now - self.clear_since > CLEAR_AFTER_S
        if changed:
            self.stalled = stalled
        return changed

    def may_write(self, now: float) -> bool:
        """Return whether the last write is long enough ago."""
        return self.written_at is None or now - self.written_at > MIN_WRITE_INTERVAL_S


class StallRecords:
    """Stall records by service.

    ``on_read`` is called with the service of each record that is read first.
    """

    def __init__(
        self,
        own_id: str,
        topic: str,
        store: MetadataStore,
        journal: Journal,
        on_read: Callable[[str], None],
    ) -> None:
        self._own_id = own_id
        self._topic = topic
        self._store = store
        self._journal = journal
        self._on_read = on_read
        self._record_by_service: dict[str, StallRecord] = {}

    def on_store_returned(self) -> None:
        """Have the records of stalls written again, as the store may have lost them."""
        for record in self._record_by_service.values():
            record.is_lost = record.stalled
            record.written_at = None

    def is_stalled(self, service: str) -> bool:
        """Return whether the pool is recorded as stalled."""
        known = self._record_by_service.get(service)
        return known is not None and known.stalled

    def apply(self, record: KeyedRecord) -> bool:
        """Apply a record; returns False if it is not a stall record."""
        if not record.key.startswith(KEY_PREFIX):
            return False
        service = record.key.removeprefix(KEY_PREFIX)
        if service in self._record_by_service or record.value is None:
            return True
        try:
            with reading("stalled pool"):
                stalled = json.loads(record.value)["held_up"] is True
        except BadRecordError as error:
            log_odd_record(self._journal, self._topic, record, error)
            return True
        self._record_by_service[service] = StallRecord(stalled)
        self._journal.write("pool_noted", service=service, held_up=stalled)
        self._on_read(service)
        return True

    async def write_changes(
        self,
        stalled_by_service: dict[str, bool],
        owner_ids: set[str],
        now: float,
    ) -> None:
        """Write changed records, if this VM is the owner designated to write them."""
        for service, stalled in stalled_by_service.items():
            known = self._record_by_service.setdefault(service, StallRecord())
            if not known.may_write(now):
                continue
            was_lost, known.is_lost = known.is_lost, False
            if not known.evaluate(stalled, now) and not was_lost:
                continue
            if self._own_id in first_members(service, owner_ids, 1):
                known.written_at = now
                await self._write(service, known.stalled)

    async def _write(self, service: str, stalled: bool) -> None:
        value = json.dumps({"held_up": stalled}).encode()
        try:
            await self._store.put(self._topic, f"{KEY_PREFIX}{service}", value)
        except StoreError as error:
            self._journal.write("pool_note_lost", service=service, error=str(error))
            return
        self._journal.write("pool_note", service=service, held_up=stalled)
