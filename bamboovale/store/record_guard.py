"""Applies records so that one that fails ends nothing else."""

import asyncio
from collections.abc import Callable, Sequence

from bamboovale.gateway.journal import Journal
from bamboovale.store.interface import KeyedRecord
from bamboovale.store.odd_records import log_odd_record

RECORDS_AT_ONCE = 500
"""Records that are applied before other tasks get a turn: one page of the store."""


class RecordGuard:
    """Applies records of one topic; what one of them raises is logged.

    ``on_odd`` is called with a record that was left out. Both callbacks return False if
    nothing changed that other VMs need.
    """

    def __init__(
        self,
        topic: str,
        journal: Journal,
        on_record: Callable[[KeyedRecord], bool | None],
        on_odd: Callable[[KeyedRecord], bool | None] = lambda record: None,
    ) -> None:
        self._topic = topic
        self._journal = journal
        self._on_record = on_record
        self._on_odd = on_odd

    async def apply_all(self, records: Sequence[KeyedRecord]) -> list[bool | None]:
        """Apply many records; other tasks get a turn between them.

        Guards against requests that wait for a topic with very many records.
        """
        results: list[bool | None] = []
        for first in range(0, len(records), RECORDS_AT_ONCE):
            if first:
                await asyncio.sleep(0)
            some = records[first : first + RECORDS_AT_ONCE]
            results += [self.apply(record) for record in some]
        return results

    def apply(self, record: KeyedRecord) -> bool | None:
        """Apply a record, or leave it out."""
        try:
            return self._on_record(record)
        except Exception as error:
            log_odd_record(self._journal, self._topic, record, error)
        try:
            return self._on_odd(record)
        except Exception as error:
            log_odd_record(self._journal, self._topic, record, error)
        return None
