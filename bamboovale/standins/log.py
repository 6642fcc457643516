"""Stand-in of the platform's append-only log service."""

import json
import re
import threading
import time
from collections import deque
from dataclasses import dataclass, field

from bamboovale.standins.faults import Faults
from bamboovale.standins.history import History
from bamboovale.standins.messages import Answer, DroppedConnectionError, Request
from bamboovale.standins.server import StandInServer

MAX_VALUE_BYTES = 1 << 20
MAX_ANSWER_BYTES = 8 << 20
MAX_RECORDS_IN_ANSWER = 1000
MAX_WAIT_S = 60.0
# Each long poll holds a thread.
THREADS = 160
FAULTS = ("lose_answers", "retention_s", "retention_records", "appends_per_s")

_PATH = re.compile(r"/streams/([^/]+)/records")


@dataclass(frozen=True)
class Record:
    """One appended record; ``value`` is the JSON text as it is sent."""

    offset: int
    time: float
    value: bytes

    def to_json(self) -> bytes:
        """Return the record as JSON text."""
        head = f'{{"offset": {self.offset}, "time": {self.time:.6f}, "value": '
        return head.encode() + self.value + b"}"


@dataclass
class Stream:
    """The retained records of one stream; ``changed`` wakes waiting readers."""

    changed: threading.Condition
    records: deque[Record] = field(default_factory=deque)
    end: int = 0

    @property
    def first(self) -> int:
        """Return the oldest retained offset, or the end of an empty stream."""
        return self.records[0].offset if self.records else self.end

    def append(self, value: bytes, now: float) -> int:
        """Append a value and return its offset."""
        offset = self.end
        self.records.append(Record(offset, now, value))
        self.end += 1
        self.changed.notify_all()
        return offset

    def expire(self, oldest: float, kept: int | None) -> None:
        """Drop records older than wall-clock time ``oldest`` or beyond ``kept``."""
        while self.records and self.records[0].time < oldest:
            self.records.popleft()
        while kept is not None and len(self.records) > kept:
            self.records.popleft()

    def read(self, start: int, limit: int) -> list[Record]:
        """Return up to ``limit`` records from ``start`` on, also limited in bytes."""
        found: list[Record] = []
        size = 0
        skipped = max(start - self.first, 0)
        for index in range(skipped, min(skipped + limit, len(self.records))):
            record = self.records[index]
            size += len(record.value)
            if found and size > MAX_ANSWER_BYTES:
                break
            found.append(record)
        return found


class TokenBucket:
    """A token bucket whose capacity is one second of its rate."""

    def __init__(self, now: float) -> None:
        self._tokens = float("inf")
        self._updated_at = now

    def take(self, per_s: float, now: float) -> bool:
        """Take one token if available and return whether it was."""
        filled = self._tokens + (now - self._updated_at) * per_s
        self._tokens = min(filled, max(per_s, 1.0))
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LogStandIn:
    """Streams of records with offsets, an append rate and a retention time."""

    def __init__(
        self,
        appends_per_s: float,
        retention_s: float,
        faults: Faults,
        history: History,
    ) -> None:
        self._appends_per_s = appends_per_s
        self._retention_s = retention_s
        self._faults = faults
        self._history = history
        self._lock = threading.Lock()
        self._stream_by_name: dict[str, Stream] = {}
        self._bucket = TokenBucket(time.monotonic())

    def answer(self, request: Request) -> Answer:
        """Append to a stream or read from it."""
        match = _PATH.fullmatch(request.path)
        if match is None:
            return Answer.error(404, "not_found")
        if request.method == "POST":
            return self._append(match[1], request)
        if request.method == "GET":
            return self._read(match[1], request)
        return Answer.error(405, "method_not_allowed")

    def _stream(self, name: str) -> Stream:
        if name not in self._stream_by_name:
            changed = threading.Condition(self._lock)
            self._stream_by_name[name] = Stream(changed)
        return self._stream_by_name[name]

    def _append(self, name: str, request: Request) -> Answer:
        if len(request.body) > MAX_VALUE_BYTES:
            return Answer.error(413, "too_large", f"above {MAX_VALUE_BYTES} bytes")
        value = json.dumps(request.json()["value"]).encode()
        per_s = self._faults.get("appends_per_s", self._appends_per_s)
        with self._lock:
            if not self._bucket.take(per_s, time.monotonic()):
                self._history.record("append_refused", stream=name)
                return Answer.error(503, "rate", headers={"Retry-After": "1"})
            stream = self._stream(name)
            offset = stream.append(value, time.time())
            self._expire(stream)
        lost = self._faults.occurs_by_share("lose_answers")
        self._history.record(
            "append",
            stream=name,
            offset=offset,
            bytes=len(value),
            source=request.source,
            answer_lost=lost,
        )
        if lost:
            raise DroppedConnectionError
        return Answer(body={"offset": offset})

    def _read(self, name: str, request: Request) -> Answer:
        start = request.number("from", 0)
        limit = min(request.number("limit", MAX_RECORDS_IN_ANSWER), 10_000)
        wait_s = min(request.number("wait_ms", 0) / 1000, MAX_WAIT_S)
        with self._lock:
            stream = self._stream(name)
            stream.changed.wait_for(lambda: stream.end > start, wait_s)
            self._expire(stream)
            records = stream.read(start, limit)
            first = stream.first
            end = stream.end
        following = records[-1].offset + 1 if records else max(start, first)
        text = b", ".join(record.to_json() for record in records)
        tail = f'], "first": {first}, "next": {following}, "end": {end}}}'
        return Answer(body=b'{"records": [' + text + tail.encode())

    def _expire(self, stream: Stream) -> None:
        retention_s = self._faults.get("retention_s", self._retention_s)
        kept = self._faults.get("retention_records")
        stream.expire(time.time() - retention_s, kept)


def create_server(
    listen: str,
    appends_per_s: float = 300.0,
    retention_s: float = 3600.0,
) -> StandInServer:
    """Return a log service that listens on ``listen`` once started."""
    faults = Faults(FAULTS)
    history = History()
    log = LogStandIn(appends_per_s, retention_s, faults, history)
    return StandInServer(listen, log.answer, faults, history, THREADS)
