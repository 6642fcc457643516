"""Connections to endpoints, with explicit control over each connection.

The entry VM must know whether any byte of a request may have reached the endpoint, and
must be able to abort a running request from another thread. The pools of ``urllib3``
offer neither, so this module keeps its connections itself.
"""

import contextlib
import socket
import threading
from collections import defaultdict, deque
from http.client import HTTPException
from typing import Any

from urllib3 import BaseHTTPResponse
from urllib3.exceptions import HTTPError

from bamboovale.http_client import CONNECT_TIMEOUT_S
from bamboovale.http_responses import Connection

MAX_IDLE_PER_ENDPOINT = 32
"""Idle connections kept; an engine's batch bounds how many are in use at once."""
READ_BYTES = 64 * 1024
MAX_CARRIED_IDS = 64
"""Latest requests of a connection, of which a second answer is told apart."""
REQUEST_ID = "x-request-id"


class ConnectFailedError(Exception):
    """The connection could not be opened: the request was not sent."""


class ExchangeFailedError(Exception):
    """The connection failed after sending started: the request may have run."""


class EndpointConnection(Connection):
    """A connection that knows which requests it has carried."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.carried_ids: deque[str] = deque(maxlen=MAX_CARRIED_IDS)


class Exchange:
    """One request on one connection."""

    def __init__(self, connection: EndpointConnection) -> None:
        self.connection = connection
        self.response: BaseHTTPResponse | None = None
        self.aborted = False

    def send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> BaseHTTPResponse:
        """Send the request and wait for the status and headers of the answer.

        Guards against a second answer to an earlier request on the connection, which
        arrives where this one's is due. Endpoints may name ids of their own.
        """
        own_ids = {v for name, v in headers.items() if name.lower() == REQUEST_ID}
        earlier_ids = {*self.connection.carried_ids} - own_ids
        self.connection.carried_ids += own_ids
        try:
            self.connection.request(
                method,
                path,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            self.response = self.connection.getresponse()
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            raise ExchangeFailedError(type(error).__name__) from error
        if self.response.headers.get(REQUEST_ID) in earlier_ids:
            raise ExchangeFailedError("an answer to an earlier request")
        return self.response

    def read(self, limit: int) -> bytes:
        """Return the whole body; raises ExchangeFailedError over ``limit`` bytes.

        It is read to its end: ``urllib3`` gives a part of a body that was cut, and
        raises only when more is read.
        """
        assert self.response is not None
        body = bytearray()
        try:
            for piece in self.response.stream(READ_BYTES):
                body += piece
                if len(body) > limit:
                    raise ExchangeFailedError(f"the answer exceeds {limit} bytes")
        except (HTTPError, OSError, ValueError) as error:
            raise ExchangeFailedError(type(error).__name__) from error
        if self.aborted:
            # Without a length the body seems to end where it was aborted.
            raise ExchangeFailedError("aborted")
        return bytes(body)

    def abort(self) -> None:
        """Shut the connection down; may be called from another thread."""
        self.aborted = True
        sock = self.connection.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class EndpointConnections:
    """Idle connections by address.

    A connection whose answer was not read to the end is never reused: its remaining
    bytes would be read as the answer to the next request.
    """

    def __init__(self, source_address: str) -> None:
        self._source = (source_address, 0)
        self._idle_by_address: dict[tuple[str, int], list[EndpointConnection]] = (
            defaultdict(list)
        )
        self._lock = threading.Lock()

    def open(
        self,
        address: tuple[str, int],
        read_timeout_s: float,
        *,
        fresh: bool = False,
    ) -> Exchange:
        """Return an exchange on a connected socket.

        ``fresh`` opens a new one, for requests that may run only once: if the endpoint
        closes an idle connection just as the request is sent, it is unknown whether
        the request ran.
        """
        connection = None if fresh else self._take_idle(address)
        if connection is None:
            connection = self._connect(address)
        assert connection.sock is not None
        connection.timeout = read_timeout_s
        return Exchange(connection)

    def release(self, address: tuple[str, int], exchange: Exchange) -> None:
        """Keep the connection for reuse; its answer must have been read to the end."""
        response = exchange.response
        reusable = (
            response is not None
            and not exchange.aborted
            and response.headers.get("Connection", "").lower() != "close"
        )
        with self._lock:
            idle = self._idle_by_address[address]
            if reusable and len(idle) < MAX_IDLE_PER_ENDPOINT:
                idle.append(exchange.connection)
                return
        exchange.connection.close()

    def discard(self, exchange: Exchange) -> None:
        """Close the connection, with any unread rest of its answer."""
        exchange.connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            for idle in self._idle_by_address.values():
                for connection in idle:
                    connection.close()
            self._idle_by_address.clear()

    def _take_idle(self, address: tuple[str, int]) -> EndpointConnection | None:
        with self._lock:
            idle = self._idle_by_address[address]
            while idle:
                connection = idle.pop()
                if connection.is_connected:
                    return connection
                connection.close()
        return None

    def _connect(self, address: tuple[str, int]) -> EndpointConnection:
        connection = EndpointConnection(
            address[0],
            address[1],
            timeout=CONNECT_TIMEOUT_S,
            source_address=self._source,
        )
        try:
            connection.connect()
        except (HTTPError, OSError) as error:
            connection.close()
            raise ConnectFailedError(type(error).__name__) from error
        return connection
