"""Requests that no HTTP library would send."""

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
    """What came back until the other side closed; status 0 if nothing did."""

    status: int
    text: str

    @property
    def error(self) -> dict[str, Any]:
        """Return the error of an answer in the product's own form."""
        return json.loads(self.text.partition("\r\n\r\n")[2])["error"]


def send(address: Address, data: bytes, *, then_end: bool = False) -> RawAnswer:
    """Send bytes and read until the other side closes; may end the sending first."""
    received = b""
    with socket.create_connection(address, TIMEOUT_S) as connection:
        try:
            connection.sendall(data)
            if then_end:
                connection.shutdown(socket.SHUT_WR)
            while piece := connection.recv(1 << 16):
                received += piece
        except OSError as error:
            # What was read before a reset counts. A reset before our end of the
            # request shows as "not connected", which is no ConnectionError.
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
    """Return a well-framed request; a body that is not bytes goes as JSON."""
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    named = {
        "Host": "x",
        "Connection": "close",
        "Content-Length": str(len(content)),
        **(headers or {}),
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in named.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode("latin-1") + content


@contextmanager
def silent_connections(
    address: Address,
    count: int,
    data: bytes,
) -> Iterator[list[socket.socket]]:
    """Hold connections that have sent the same bytes and then no more."""
    with ExitStack() as stack:
        connections = [
            stack.enter_context(socket.create_connection(address, 5))
            for _ in range(count)
        ]
        for connection in connections:
            connection.sendall(data)
        yield connections


def trickle(connections: Iterable[socket.socket], data: bytes) -> None:
    """Send a few bytes on each connection; those that were closed are left out."""
    for connection in connections:
        try:
            connection.sendall(data)
        except OSError:
            continue
