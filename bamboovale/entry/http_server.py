"""HTTP listeners of an entry VM for callers and for administration."""

import threading
from collections.abc import Callable
from typing import Any

from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPServer

from bamboovale.entry.request_gate import GatedServer

SOCKET_TIMEOUT_S = 5
"""Limit of one read or write, since a slow caller holds a thread."""

KEEP_ALIVE_S = 60
"""Idle connections are closed after this time. The server checks the clock before the
socket, so a VM that was paused for longer drops requests that arrived meanwhile."""

MAX_IDLE_CONNECTIONS = 1000
"""Idle connections kept; each uses a descriptor but no thread."""

ACCEPT_QUEUE = 256
MAX_HEADER_BYTES = 32 * 1024
BODY_MARGIN_BYTES = 1024
"""Margin of the server's body limit over ours, which answers with a JSON error."""


class ConnectionGateway(wsgi.Gateway_10):
    """Gives the application the connection, to detect disconnects and to close it."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment with the connection's socket and a close hook."""
        environ = super().get_environ()
        request = self.req
        environ["bamboovale.socket"] = request.conn.socket
        environ["bamboovale.close"] = lambda: setattr(request, "close_connection", True)
        return environ


class CallerConnection(HTTPConnection):
    """A connection with a read and write timeout shorter than its idle timeout."""

    def __init__(self, server: Any, sock: Any, *more: Any) -> None:
        super().__init__(server, sock, *more)
        sock.settimeout(SOCKET_TIMEOUT_S)


class HttpListener:
    """An HTTP server on one port with its thread pool."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        app: Callable[..., Any],
        threads: int,
        max_body_bytes: int,
    ) -> None:
        self._server: HTTPServer = GatedServer(
            address,
            app,
            numthreads=threads,
            request_queue_size=ACCEPT_QUEUE,
            timeout=KEEP_ALIVE_S,
        )
        self._server.gateway = ConnectionGateway
        self._server.ConnectionClass = CallerConnection
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = 2 * max_body_bytes + BODY_MARGIN_BYTES
        self._server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._thread = threading.Thread(
            target=self._server.serve,
            name=f"http-{name}",
            daemon=True,
        )

    def start(self) -> None:
        """Bind the port and start serving; raises OSError if it cannot be bound."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and end the threads, if the port was bound."""
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join(timeout=SOCKET_TIMEOUT_S)
