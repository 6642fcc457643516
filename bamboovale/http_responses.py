"""Responses of HTTP servers over blocking sockets, of which only whole ones count.

``http.client`` takes the end of a connection for the end of a line, of a head and of a
chunked body, and an interim response other than 100 for the final one. Connections of
this module raise instead, and skip interim responses; ``urllib3`` does all else.
"""

import http.client
import io
import socket
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

FIRST_FINAL_STATUS = 200
MAX_INTERIM_RESPONSES = 16


class ResponseCutError(ConnectionError):
    """The connection ended within the lines of a response."""


class _WholeLines(io.BufferedReader):
    """Reads from a connection; a line ends with its end, never with the connection."""

    def readline(self, size: int | None = -1, /) -> bytes:
        line = super().readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise ResponseCutError("the response was cut")
        return line


class _FinalResponse(http.client.HTTPResponse):
    """A final response, whose head is whole once it has begun."""

    def __init__(self, sock: socket.socket, *args: Any, **options: Any) -> None:
        super().__init__(sock, *args, **options)
        self._heads = 0
        self.fp.close()
        self.fp = _WholeLines(sock.makefile("rb", buffering=0))

    def begin(self) -> None:
        """Read the head, after those of interim responses."""
        super().begin()
        while self.status < FIRST_FINAL_STATUS:
            self.headers = self.msg = None  # type: ignore[assignment]
            super().begin()

    def _read_status(self) -> tuple[str, int, str]:
        """Read a status line; interim responses are bounded, also those of the base."""
        self._heads += 1
        if self._heads > MAX_INTERIM_RESPONSES + 1:
            raise http.client.HTTPException("only interim responses")
        return super()._read_status()  # type: ignore[misc,no-any-return]


class Connection(HTTPConnection):
    """A connection on which only whole responses are received."""

    response_class = _FinalResponse


class SecureConnection(HTTPSConnection):
    """The same with TLS."""

    response_class = _FinalResponse


class ConnectionPool(urllib3.HTTPConnectionPool):
    """Such connections to one address."""

    ConnectionCls = Connection


class SecureConnectionPool(urllib3.HTTPSConnectionPool):
    """The same with TLS."""

    ConnectionCls = SecureConnection


class PoolManager(urllib3.PoolManager):
    """Such connections to any address."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.pool_classes_by_scheme = {
            "http": ConnectionPool,
            "https": SecureConnectionPool,
        }
