"""An answer to a caller, its outcome, and clean-up after it was sent."""

import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from bamboovale.claims.answers import AnswerState
from bamboovale.errors import Refusal

JSON_TYPE = ("Content-Type", "application/json")


@dataclass
class AnswerOutcome:
    """Outcome of a request; updated while a stream is sent."""

    state: AnswerState = AnswerState.RUNNING
    code: str = "ok"


class ChunksWithCleanup:
    """Chunks of an answer; calls ``on_close`` exactly once, however they end.

    A generator that was never started does not run its ``finally`` when closed, so a
    caller that disconnects before the first chunk would leave a permit in use.
    """

    def __init__(self, chunks: Iterable[bytes], on_close: Callable[[], None]) -> None:
        self._chunks = iter(chunks)
        self._on_close: Callable[[], None] | None = on_close

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._chunks)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the wrapped chunks, then call ``on_close``."""
        on_close, self._on_close = self._on_close, None
        if on_close is None:
            return
        try:
            close_chunks = getattr(self._chunks, "close", None)
            if close_chunks is not None:
                close_chunks()
        finally:
            on_close()


@dataclass
class CallerAnswer:
    """An answer to a caller; ``chunks`` may still be streaming."""

    status: int
    headers: list[tuple[str, str]]
    chunks: Iterable[bytes]
    outcome: AnswerOutcome = field(default_factory=AnswerOutcome)

    @classmethod
    def complete(
        cls,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> "CallerAnswer":
        """Return an answer with its complete body."""
        return cls(
            status,
            [*headers, ("Content-Length", str(len(body)))],
            [body],
            AnswerOutcome(AnswerState.ANSWERED),
        )

    @classmethod
    def refusal(cls, refusal: Refusal, request_id: str) -> "CallerAnswer":
        """Return a refusal as an answer in JSON."""
        body = json.dumps(refusal.to_json(request_id)).encode()
        headers = [
            JSON_TYPE,
            ("Content-Length", str(len(body))),
            ("X-Request-Id", request_id),
        ]
        if refusal.retry_after_s is not None:
            headers.append(("Retry-After", _whole_seconds(refusal.retry_after_s)))
        state = AnswerState.NOT_RUN if refusal.not_run else AnswerState.UNKNOWN
        outcome = AnswerOutcome(state, refusal.code.value)
        return cls(refusal.status, headers, [body], outcome)


def _whole_seconds(seconds: float) -> str:
    """Return the value of a Retry-After header, rounded up to whole seconds."""
    return str(max(0, -int(-seconds // 1)))
