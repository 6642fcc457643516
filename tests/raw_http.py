"""Sends raw bytes over TCP, for requests that no HTTP library would send."""

import json
import socket
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from errno import ENOTCONN
from typing import Any

TIMEOUT_S = 8.0

Address = tuple[str, int]


@dataclass(frozen=True)
class RawAnswer:
    """The bytes received until the server closed; status 0 if not HTTP."""

    status: int
    text: str

    @property
    def error(self) -> dict[str, Any]:
        """Return the ``error`` object of a JSON response."""
        return json.loads(self.text.partition("\r\n\r\n")[2])["error"]


def send(address: Address, data: bytes, *, then_end: bool = False) -> RawAnswer:
    """Send bytes and read until the server closes; ``then_end`` half-closes first."""
    received = b""
    with socket.create_connection(address, TIMEOUT_S) as connection:
        try:
            connection.sendall(data)
            if then_end:
                connection.shutdown(socket.SHUT_WR)
            while chunk := connection.recv(1 << 16):
                received += chunk
        except OSError as error:
            # Bytes read before a reset are kept. shutdown() after a reset raises
            # ENOTCONN, which is not a ConnectionError.
            if not isinstance(error, ConnectionError) and error.errno != ENOTCONN:
                raise
    text = received.decode("latin-1")
    status = text[9:12] if text.startswith("HTTP/1.1 ") else "0"
    return RawAnswer(int(status), text)


def request(
    method: str,
    path: str,
    body: Any = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return a well-formed request; a body that is not bytes is encoded as JSON."""
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    all_headers = {
        "Host": "x",
        "Connection": "close",
        "Content-Length": str(len(content)),
        **(headers or {}),
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode("latin-1") + content


@contextmanager
def silent_connections(
    address: Address,
    count: int,
    data: bytes,
) -> Iterator[list[socket.socket]]:
    """Hold open connections that sent the given bytes and then stay silent."""
    with ExitStack() as stack:
        connections = [
            stack.enter_context(socket.create_connection(address, 5))
            for _ in range(count)
        ]
        for connection in connections:
            connection.sendall(data)
        yield connections


def trickle(connections: Iterable[socket.socket], data: bytes) -> None:
    """Send bytes on each connection; closed connections are skipped."""
    for connection in connections:
        try:
            connection.sendall(data)
        except OSError:
            continue
