"""Stored answers of requests with an idempotency key, on the VM that ran them."""

import threading
from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

MAX_BODY_BYTES = 256 * 1024
"""A larger answer is not stored: retries get ``outcome_unknown``."""

MAX_TOTAL_BYTES = 8 * 1024 * 1024
"""Bounds the memory of the store; the oldest answers are dropped first."""


class AnswerState(StrEnum):
    """State of an attempt to run a request."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class StoredAnswer:
    """An attempt's state; status, headers and body are set only if ``ANSWERED``."""

    state: AnswerState
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class AnswerStore:
    """Answers by attempt id, bounded in bytes; thread-safe."""

    def __init__(self) -> None:
        self._answer_by_attempt: OrderedDict[str, StoredAnswer] = OrderedDict()
        self._total_bytes = 0
        self._lock = threading.Lock()

    def begin(self, attempt_id: str) -> None:
        """Record that an attempt is running."""
        self._put(attempt_id, StoredAnswer(AnswerState.RUNNING))

    def end(self, attempt_id: str, answer: StoredAnswer) -> None:
        """Store the outcome of an attempt."""
        if len(answer.body) > MAX_BODY_BYTES:
            answer = StoredAnswer(AnswerState.UNKNOWN)
        self._put(attempt_id, answer)

    def find(self, attempt_id: str) -> StoredAnswer:
        """Return an attempt's stored answer, ``UNKNOWN`` if there is none."""
        with self._lock:
            return self._answer_by_attempt.get(
                attempt_id,
                StoredAnswer(AnswerState.UNKNOWN),
            )

    def _put(self, attempt_id: str, answer: StoredAnswer) -> None:
        with self._lock:
            before = self._answer_by_attempt.pop(attempt_id, None)
            if before is not None:
                self._total_bytes -= _size(before)
            self._answer_by_attempt[attempt_id] = answer
            self._total_bytes += _size(answer)
            while self._total_bytes > MAX_TOTAL_BYTES:
                _, oldest = self._answer_by_attempt.popitem(last=False)
                self._total_bytes -= _size(oldest)


def _size(answer: StoredAnswer) -> int:
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return 200 + headers + len(answer.body)
