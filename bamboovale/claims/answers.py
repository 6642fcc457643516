"""Answers of keyed requests, kept by the VM that ran them, for their repeats."""

import threading
from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

MAX_BODY_BYTES = 256 * 1024
"""A larger answer is not kept: its repeat is told ``outcome_unknown``."""

MAX_TOTAL_BYTES = 8 * 1024 * 1024
"""An eighth of a node's 64 MB; the oldest answers go first."""


class AnswerState(StrEnum):
    """What became of an attempt."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class StoredAnswer:
    """An attempt's end; status, headers and body only where ``ANSWERED``."""

    state: AnswerState
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class AnswerStore:
    """Answers by attempt id, bounded in bytes."""

    def __init__(self) -> None:
        self._answer_by_attempt: OrderedDict[str, StoredAnswer] = OrderedDict()
        self._total_bytes = 0
        self._lock = threading.Lock()

    def begin(self, attempt_id: str) -> None:
        """Note that an attempt is under way."""
        self._put(attempt_id, StoredAnswer(AnswerState.RUNNING))

    def end(self, attempt_id: str, answer: StoredAnswer) -> None:
        """Note how an attempt ended."""
        if len(answer.body) > MAX_BODY_BYTES:
            answer = StoredAnswer(AnswerState.UNKNOWN)
        self._put(attempt_id, answer)

    def find(self, attempt_id: str) -> StoredAnswer:
        """Return what is known of an attempt of this VM."""
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
