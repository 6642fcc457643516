"""What the VMs have learned of a pool of engines, kept in the store over restarts.

Guards against learning anew after all VMs have gone at once: until enough streams have
paused too long, prompts are not paced, and that shows as a second crowd of late streams
right after the restart. One VM writes when what the fleet believes has changed; every
VM reads the notes with the addresses of the others, at no further call.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.decisions.rendezvous import first_members
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.store import KeyedRecord, MetadataStore, StoreError

KEY_PREFIX = "pool:"
"""Apart from the names of VMs, which are keys of the same topic."""
WRITE_PAUSE_S = 5.0
"""Between two writes on one pool: each is a priced call."""


QUIET_S = 20.0
"""A pool is noted as no longer held up after so long without it: a VM that has just
started has not heard of every engine yet."""


@dataclass
class StallRecord:
    """What is known of one pool; ``quiet_since`` is when it was last held up."""

    stalled: bool = False
    quiet_since: float | None = None
    written_at: float | None = None

    def evaluate(self, stalled: bool, now: float) -> bool:
        """Take what is seen now; return whether the note changes by it."""
        if stalled:
            self.quiet_since = None
            changed = not self.stalled
        else:
            self.quiet_since = now if self.quiet_since is None else self.quiet_since
            changed = self.stalled and now - self.quiet_since > QUIET_S
        if changed:
            self.stalled = stalled
        return changed

    def may_write(self, now: float) -> bool:
        """Tell whether the last write is long enough ago."""
        return self.written_at is None or now - self.written_at > WRITE_PAUSE_S


class StallRecords:
    """The notes by service; ``on_read`` is called with each that was read anew."""

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

    def is_stalled(self, service: str) -> bool:
        """Tell whether reading held up the pool's streams when last noted."""
        stored = self._record_by_service.get(service)
        return stored is not None and stored.stalled

    def apply(self, record: KeyedRecord) -> bool:
        """Take a record; False if it is no note on a pool."""
        if not record.key.startswith(KEY_PREFIX):
            return False
        service = record.key.removeprefix(KEY_PREFIX)
        if service in self._record_by_service or record.value is None:
            return True
        try:
            stalled = json.loads(record.value)["held_up"] is True
        except (ValueError, KeyError, TypeError) as error:
            self._journal.write("bad_record", key=record.key, error=repr(error))
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
        """Write what has changed, if we are the owner of engines that does."""
        for service, stalled in stalled_by_service.items():
            stored = self._record_by_service.setdefault(service, StallRecord())
            if not stored.may_write(now) or not stored.evaluate(stalled, now):
                continue
            if self._own_id in first_members(service, owner_ids, 1):
                stored.written_at = now
                await self._write(service, stalled)

    async def _write(self, service: str, stalled: bool) -> None:
        value = json.dumps({"held_up": stalled}).encode()
        try:
            await self._store.put(self._topic, f"{KEY_PREFIX}{service}", value)
        except StoreError as error:
            self._journal.write("pool_note_lost", service=service, error=str(error))
            return
        self._journal.write("pool_note", service=service, held_up=stalled)
