"""How a request ended, as far as its answer says it to the caller."""

import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from bamboovale.claims.answers import AnswerState
from bamboovale.errors import Refusal

JSON_TYPE = ("Content-Type", "application/json")


@dataclass
class AnswerOutcome:
    """Filled in while the answer is sent: a stream's end is known last."""

    state: AnswerState = AnswerState.RUNNING
    code: str = "ok"


class ChunksWithCleanup:
    """Chunks of an answer whose end is acted on exactly once, however it comes.

    A generator that was never begun does not run its ``finally`` when it is closed: a
    caller gone before the first chunk would leave a permit in use and a key claimed.
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
        """End the chunks below, then act on the end."""
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
    """An answer on its way to the caller; ``chunks`` may still be arriving."""

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
        """Return an answer that has come to its end."""
        return cls(
            status,
            [*headers, ("Content-Length", str(len(body)))],
            [body],
            AnswerOutcome(AnswerState.ANSWERED),
        )

    @classmethod
    def refusal(cls, refusal: Refusal, request_id: str) -> "CallerAnswer":
        """Return the JSON form of a refusal."""
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
    """Return the value of a Retry-After header, rounded up; the body has fractions."""
    return str(max(0, -int(-seconds // 1)))
