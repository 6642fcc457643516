"""Log lines of records that are left out."""

from bamboovale.gateway.journal import Journal
from bamboovale.store.interface import KeyedRecord
from bamboovale.store.position import Position

MAX_ERROR_CHARS = 300
"""Bounds a reason in a log line: it may quote a record of any size."""
MAX_KEY_CHARS = 128


def shorten(text: str, chars: int) -> str:
    """Return a text of a bounded length."""
    return text if len(text) <= chars else f"{text[:chars]}..."


def describe(error: Exception) -> str:
    """Return the type and text of an error, in a bounded length."""
    return shorten(f"{type(error).__name__}: {error}", MAX_ERROR_CHARS)


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
