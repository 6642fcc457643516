"""HTTP requests and answers of the stand-ins."""

import errno
import json
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any


class DroppedConnectionError(ConnectionResetError):
    """Raised to close the connection without an answer."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "connection dropped by a stand-in fault")


@dataclass(frozen=True)
class Request:
    """One HTTP request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    source: str
    is_open: Callable[[], bool]

    def check_open(self) -> None:
        """Raise DroppedConnectionError if the connection is closed.

        Guards against a request that was read before a crash, waited for the engine's
        lock and would take effect on the next boot.
        """
        if not self.is_open():
            raise DroppedConnectionError

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object, or raise ValueError."""
        value = json.loads(self.body)
        if not isinstance(value, dict):
            raise ValueError("the body must be a JSON object")
        return value

    def number(self, name: str, default: int) -> int:
        """Return an integer query parameter, or raise ValueError."""
        return int(self.query.get(name, default))


@dataclass(frozen=True)
class Answer:
    """One HTTP answer: ``body`` is JSON unless it is bytes; ``chunks`` streams."""

    status: int = 200
    body: Any = None
    headers: Mapping[str, str] = field(default_factory=dict)
    chunks: Iterator[bytes] | None = None

    @classmethod
    def error(
        cls,
        status: int,
        kind: str,
        message: str = "",
        headers: Mapping[str, str] | None = None,
    ) -> "Answer":
        """Return an error body in the format of the engines."""
        body = {"error": {"type": kind, "message": message or kind, "code": status}}
        return cls(status, body, headers or {})


Handler = Callable[[Request], Answer]
