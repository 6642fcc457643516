"""Applies records so that one that fails ends nothing else."""

from collections.abc import Callable

from bamboovale.gateway.journal import Journal
from bamboovale.store.interface import KeyedRecord
from bamboovale.store.odd_records import log_odd_record


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
