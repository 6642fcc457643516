"""How a handler answers a request."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

from bamboovale.http1.connection import Headers
from bamboovale.http1.request import Request

if TYPE_CHECKING:
    from bamboovale.http1.server_connection import ServerConnection


class Upstream(Protocol):
    """Where the answer to a request comes from."""

    def held_bytes(self) -> int:
        """Return the bytes received from there that are not taken."""


class Responder:
    """Writes the response to one request."""

    def __init__(self, connection: "ServerConnection") -> None:
        self._connection = connection
        self.started = False

    def close_after(self) -> None:
        """Close the connection once this response is complete."""
        self._connection.close_after = True

    def start(self, status: int, headers: Headers) -> None:
        """Write the response head."""
        self.started = True
        self._connection.write_head(status, headers)

    async def write(self, data: bytes) -> None:
        """Write bytes of the body; waits while the write buffer is full."""
        self._connection.write_data(data)
        del data  # the connection holds it now
        await self._connection.drain()

    def finish(self) -> None:
        """Complete the response."""
        self._connection.write_end()

    def caller_host(self) -> str:
        """Return the address from which the caller connects."""
        return self._connection.caller_host()

    def abort(self) -> None:
        """Reset the connection, so that a partial response does not look complete."""
        self._connection.abort()

    def read_from(self, upstream: Upstream | None) -> None:
        """Count what an endpoint has sent for the caller as held by the caller."""
        self._connection.read_from(upstream)

    def hold(self, answer_bytes: int) -> None:
        """Count the bytes of an answer that is kept until it is whole."""
        self._connection.hold_answer(answer_bytes)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that this process still holds for the caller."""
        return self._connection.unsent_bytes

    def has_caller_left(self) -> bool:
        """Return whether the caller has closed the connection, or has just done so.

        Guards against work for nobody: a late loop handles a request, and what it
        waited for, before it reads the close behind it.
        """
        return self._connection.has_caller_left()

    @property
    def caller_silent_s(self) -> float | None:
        """Return how long a caller that left had sent nothing, in seconds.

        None while it is there, and where the kernel does not tell.
        """
        return self._connection.caller_silent_s

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response with a Content-Length."""
        length = (b"content-length", str(len(body)).encode())
        self.start(status, [*headers, length])
        if body:
            self._connection.write_data(body)
        self.finish()


Handler = Callable[[Request, Responder], Awaitable[None]]
