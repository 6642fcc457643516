"""What a server takes as a request, and its limits."""

from dataclasses import dataclass, field

import h11

from bamboovale.http1.connection import Headers


@dataclass(frozen=True)
class ServerLimits:
    """Limits on the size of a request, in bytes, and on the time to receive it."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Request:
    """A complete request; header names are lower case, values as sent.

    ``received_at`` is the event loop's time at which the head was complete.
    """

    method: str
    target: str
    headers: Headers = field(repr=False)
    body: bytes
    received_at: float

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if it is absent."""
        return next((value for key, value in self.headers if key == name), None)


class BadRequest(Exception):  # noqa: N818 - HTTP's name
    """The request is rejected with the HTTP status ``status``."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def head_size(head: h11.Request) -> int:
    """Return the approximate size of a request head in bytes."""
    lines = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return lines + len(head.method) + len(head.target) + 14


def check_framing(headers: Headers) -> None:
    """Reject a head whose body length is ambiguous; raises BadRequest.

    Guards against request smuggling: with both Content-Length and Transfer-Encoding,
    two servers may disagree on where the next request starts.
    """
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise BadRequest(400, "both a length and a transfer encoding")
