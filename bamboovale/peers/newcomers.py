"""Connections at the port for peers that have not proved who they are."""

from collections.abc import Callable
from typing import Any

from websockets.asyncio.server import ServerConnection
from websockets.protocol import State

MAX_OPENING_BYTES = 16 * 1024
"""Of the request that opens a link, and of what comes before its answer; ours have some
hundred."""


class Newcomers:
    """Makes room for new connections by closing the oldest that has proved nothing.

    Guards against a port that takes all descriptors, or the memory, of the process
    before anyone is authenticated. ``on_dropped`` is told each time that one makes
    room, ``on_too_long`` that one has sent too much.
    """

    def __init__(
        self,
        most: float,
        on_dropped: Callable[[], None],
        on_too_long: Callable[[], None],
    ) -> None:
        self._most = most
        self._on_dropped = on_dropped
        self.on_too_long = on_too_long
        self._connections: dict[ServerConnection, None] = {}

    def add(self, connection: ServerConnection) -> None:
        """Take a new connection, for which the oldest one may have to go."""
        if len(self._connections) >= self._most:
            self._on_dropped()
            oldest = next(iter(self._connections))
            self.discard(oldest)
            oldest.transport.abort()
        self._connections[connection] = None

    def discard(self, connection: ServerConnection) -> None:
        """Count a connection no longer, as it is proved or gone."""
        self._connections.pop(connection, None)

    def connection(self, *args: Any, **options: Any) -> "NewConnection":
        """Return a connection of the websockets server."""
        return NewConnection(self, *args, **options)


class NewConnection(ServerConnection):
    """Tells when it is made and lost; other parts are those of websockets."""

    def __init__(self, newcomers: Newcomers, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._newcomers = newcomers
        self._opening_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Count the connection before its handshake begins."""
        super().connection_made(transport)
        self._newcomers.add(self)

    def data_received(self, data: bytes) -> None:
        """Reset the connection if its opening is longer than any of ours."""
        if self.protocol.state is State.CONNECTING:
            self._opening_bytes += len(data)
            if self._opening_bytes > MAX_OPENING_BYTES:
                self._newcomers.on_too_long()
                self.transport.abort()
                return
        super().data_received(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Count the connection no longer."""
        self._newcomers.discard(self)
        super().connection_lost(error)
