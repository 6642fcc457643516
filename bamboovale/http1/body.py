"""Reads the whole body of an answer within a bound."""

from collections.abc import Callable
from typing import Protocol

from bamboovale.http1.answer_limits import AnswerLimit
from bamboovale.http1.connection import IncompleteResponse


class BodyTooLong(IncompleteResponse):
    """The body is longer than any that is expected."""


class BodySource(Protocol):
    """Gives the parts of a body; ``on_limit`` is told if there are too many bytes."""

    on_limit: Callable[[AnswerLimit], None]

    async def data(self) -> bytes | None:
        """Return the next body bytes, None at its end; raises IncompleteResponse."""


async def read_body(
    source: BodySource,
    most_bytes: int,
    on_size: Callable[[int], None] = lambda size: None,
) -> bytes:
    """Return the rest of a body; ``on_size`` is told how much of it is kept.

    Raises IncompleteResponse, BodyTooLong beyond ``most_bytes``. Nothing is kept then:
    guards against errors that are held, and with them what had been read.
    """
    body = bytearray()
    try:
        while (data := await source.data()) is not None:
            body += data
            on_size(len(body))
            if len(body) > most_bytes:
                raise _too_long(source, most_bytes)
        return bytes(body)
    finally:
        body.clear()


async def skip_body(source: BodySource, most_bytes: int) -> None:
    """Read the rest of a body and keep none of it; raises as ``read_body`` does."""
    size = 0
    while (data := await source.data()) is not None:
        size += len(data)
        if size > most_bytes:
            raise _too_long(source, most_bytes)


def _too_long(source: BodySource, most_bytes: int) -> BodyTooLong:
    source.on_limit(AnswerLimit.BODY)
    return BodyTooLong(f"more than {most_bytes} bytes")
