"""An answer of a stand-in that has no length and ends with its connection."""

from bamboovale.http1.connection import Headers
from bamboovale.http1.responder import Responder
from bamboovale.http1.sockets import reset_on_close


class UnframedAnswer:
    """Writes an answer that has no length and ends with its connection."""

    def __init__(self, responder: Responder) -> None:
        self.started = False
        self._connection = responder._connection

    def start(self, status: int, headers: Headers) -> None:
        """Write the head."""
        self.started = True
        lines = [name + b": " + value for name, value in headers]
        head = [f"HTTP/1.1 {status} OK".encode(), *lines, b"", b""]
        self._connection._transport.write(b"\r\n".join(head))

    async def write(self, data: bytes) -> None:
        """Write bytes of the body."""
        self._connection._transport.write(data)

    def finish(self) -> None:
        """End the answer by closing its connection."""
        self._connection.close_after = True
        self._connection._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        reset_on_close(self._connection._transport.get_extra_info("socket"))
        self._connection.abort()
