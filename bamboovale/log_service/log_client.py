"""Client of the platform's append-only log service.

An append has three outcomes: appended, refused, or *unknown* (no response: it may have
taken effect). Callers resolve an unknown outcome by reading the stream.
"""

from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from bamboovale.http_client import HttpClient, never_connected

APPEND_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 3.0
MAX_RECORDS_PER_READ = 500
MALFORMED = (KeyError, TypeError, ValueError)
"""Raised by JSON that holds not what was asked for."""


@dataclass(frozen=True)
class LogRecord:
    """One record of a stream; ``time`` is the log's wall clock at the append."""

    offset: int
    value: Any
    time: float = 0.0


@dataclass(frozen=True)
class RecordBatch:
    """Records returned by one read.

    ``first`` is the oldest offset that the log retains, ``end`` the offset of its next
    append: a batch that ends before it is not the end of the stream.
    """

    stream: str
    records: tuple[LogRecord, ...]
    first: int
    end: int


@dataclass(frozen=True)
class LogFailure:
    """A call to the log service that failed or was refused.

    ``may_have_taken_effect`` is False only if certainly nothing was appended.
    """

    reason: str
    may_have_taken_effect: bool


class LogClient:
    """Appends to and reads from the streams of the log service."""

    def __init__(self, url: str, http: HttpClient) -> None:
        parts = urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._http = http

    def append(self, stream: str, value: Any) -> Result[int, LogFailure]:
        """Append one record; return its offset."""
        try:
            status, answer = self._http.request_json(
                "POST",
                self._host,
                self._port,
                f"/streams/{stream}/records",
                value={"value": value},
                read_timeout_s=APPEND_TIMEOUT_S,
            )
        except (HTTPError, OSError) as error:
            return Err(
                LogFailure(
                    reason=type(error).__name__,
                    may_have_taken_effect=not never_connected(error),
                )
            )
        if status != 200:
            return Err(LogFailure(f"status {status}", may_have_taken_effect=False))
        try:
            return Ok(int(answer["offset"]))
        except MALFORMED as error:
            return Err(LogFailure(_malformed(error), may_have_taken_effect=True))

    def read(
        self,
        stream: str,
        start: int,
        wait_s: float,
        limit: int = MAX_RECORDS_PER_READ,
    ) -> Result[RecordBatch, LogFailure]:
        """Read records from ``start`` on; wait up to ``wait_s`` for the first one."""
        path = (
            f"/streams/{stream}/records?from={start}&limit={limit}"
            f"&wait_ms={int(wait_s * 1000)}"
        )
        try:
            status, answer = self._http.request_json(
                "GET",
                self._host,
                self._port,
                path,
                read_timeout_s=READ_TIMEOUT_S + wait_s,
            )
        except (HTTPError, OSError) as error:
            return Err(LogFailure(type(error).__name__, may_have_taken_effect=False))
        if status != 200:
            return Err(LogFailure(f"status {status}", may_have_taken_effect=False))
        try:
            records = tuple(
                LogRecord(record["offset"], record["value"], record["time"])
                for record in answer["records"]
            )
            return Ok(RecordBatch(stream, records, answer["first"], answer["end"]))
        except MALFORMED as error:
            return Err(LogFailure(_malformed(error), may_have_taken_effect=False))


def _malformed(error: Exception) -> str:
    return f"malformed answer: {error!r}"
