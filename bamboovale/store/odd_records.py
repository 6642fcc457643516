"""Log lines of records that are left out."""

from bamboovale.errors import describe, shorten
from bamboovale.gateway.journal import Journal
from bamboovale.store.interface import KeyedRecord
from bamboovale.store.position import Position

MAX_KEY_CHARS = 128
"""Bounds a key in a log line."""


def log_odd_record(
    journal: Journal, topic: str, record: KeyedRecord, error: Exception
) -> None:
    """Log which record is left out, and why."""
    journal.write(
        "bad_record",
        topic=topic,
        key=shorten(record.key, MAX_KEY_CHARS),
        offset=Position(record.position).offset,
        error=describe(error),
    )
