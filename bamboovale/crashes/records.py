"""Records in the metadata store of what is refused as it crashes endpoints.

Guards against evidence that ends with the processes that have it: after a restart of
all VMs such a request would crash as many endpoints again. One VM writes a record when
a request is refused for the first time, or for longer; every VM reads the records
together with the addresses of the others.
"""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.decoding import BadRecordError, reading, to_int, to_number, to_text
from bamboovale.gateway.journal import Journal
from bamboovale.store.interface import KeyedRecord, MetadataStore, StoreError
from bamboovale.store.odd_records import log_odd_record

KEY_PREFIX = "crash:"
"""Distinguishes these records from those of VMs in the same topic."""
MAX_AGE_S = 24 * 3600.0
"""Older records are not read, as the endpoints may have been mended."""


@dataclass(frozen=True)
class Refused:
    """A subject that is refused for a number of crashes, none: it is not any more.

    ``trials`` and ``was_sound`` are those of its suspicion.
    """

    subject: str
    crashes: int
    trials: int = 0
    was_sound: bool = False


class RefusalRecords:
    """Writes and reads the records; ``on_read`` is called with each new one."""

    def __init__(
        self,
        topic: str,
        store: MetadataStore,
        journal: Journal,
        on_read: Callable[[Refused], None],
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self._topic = topic
        self._store = store
        self._journal = journal
        self._on_read = on_read
        self._time_of_day = time_of_day
        self._position_by_key: dict[str, int] = {}

    def apply(self, record: KeyedRecord) -> bool:
        """Apply a record; returns False if it is not one of these."""
        if not record.key.startswith(KEY_PREFIX):
            return False
        known = self._position_by_key.get(record.key)
        if record.value is None or known == record.position:
            return True
        self._position_by_key[record.key] = record.position
        try:
            refused, at = decode_refused(record.key, record.value)
        except BadRecordError as error:
            log_odd_record(self._journal, self._topic, record, error)
            return True
        if self._time_of_day() - at < MAX_AGE_S:
            self._on_read(refused)
        return True

    async def write(self, refused: Refused) -> None:
        """Write a record; a failure is logged, as the other VMs know it too."""
        fields = {
            "crashes": refused.crashes,
            "trials": refused.trials,
            "was_sound": refused.was_sound,
            "at": self._time_of_day(),
        }
        key = f"{KEY_PREFIX}{refused.subject}"
        try:
            await self._store.put(self._topic, key, json.dumps(fields).encode())
        except StoreError as error:
            self._journal.write(
                "refusal_record_lost", subject=refused.subject, error=str(error)
            )


def decode_refused(key: str, value: bytes) -> tuple[Refused, float]:
    """Return what is refused and since when, as time of day; raises BadRecordError."""
    with reading("refused request"):
        fields = json.loads(value)
        refused = Refused(
            to_text(key.removeprefix(KEY_PREFIX)),
            to_int(fields["crashes"]),
            to_int(fields.get("trials", 0)),
            bool(fields.get("was_sound", False)),
        )
        return refused, to_number(fields["at"])
