"""HTTP/1.1 server: its listener, its connections and their bounds."""

import asyncio
import math
from collections.abc import Callable

from bamboovale.http1.connection_limit import ConnectionLimit
from bamboovale.http1.memory import MemoryBudget
from bamboovale.http1.request import BadRequest, Request, ServerLimits
from bamboovale.http1.responder import Handler
from bamboovale.http1.server_connection import CONNECTION_BYTES, ServerConnection
from bamboovale.http1.sockets import SOCKET_BUFFER_BYTES, set_socket_buffers
from bamboovale.http1.turns import Turns

LAST_SEND_BUFFER_BYTES = 4 * 1024 * 1024
"""What the kernel may hold of an answer as the process exits; it delivers it after."""
LEAST_RECEIVE_BYTES = 16 * 1024
"""What the kernel may always hold of one connection before the loop reads it."""


class Server:
    """An HTTP server; ``limits`` is called for each request.

    ``memory`` bounds what all its clients hold, with those of other servers that have
    the same budget; ``connection_limit`` how many connections they keep open.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits] = ServerLimits,
        on_bad_request: Callable[[BadRequest], None] = lambda bad: None,
        memory: MemoryBudget | None = None,
        connection_limit: ConnectionLimit | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.on_bad_request = on_bad_request
        self.memory = memory or MemoryBudget()
        self.connections: set[ServerConnection] = set()
        self.keeps_slow = False
        self.turns = Turns()
        self._connection_limit = connection_limit or ConnectionLimit()
        self._listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Bind and return the port; raises OSError."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            port,
            backlog=self._connection_limit.backlog,
        )
        listener = self._listener.sockets[0]
        set_socket_buffers(listener, self._receive_buffer_bytes())
        return int(listener.getsockname()[1])

    def _receive_buffer_bytes(self) -> int:
        """Return what the kernel may hold unread of each connection.

        Guards against bytes of a crowd that fill the memory before the loop has read
        any: all connections together may have as much as the budget, and none more
        than a request.
        """
        limits, most = self.limits(), self._connection_limit.most
        request_bytes = limits.head_bytes + limits.body_bytes
        share = math.inf if most == math.inf else self.memory.limit_bytes / most
        wanted = min(SOCKET_BUFFER_BYTES, request_bytes, share)
        return int(max(LEAST_RECEIVE_BYTES, wanted))

    def admit(self, new: ServerConnection) -> bool:
        """Return whether a new connection may stay, in place of another one if full."""
        if not self._connection_limit.admit(new, self.connections):
            return False
        self.connections.add(new)
        self.memory.add(new)
        self.memory.grow(CONNECTION_BYTES)
        return True

    def forget(self, connection: ServerConnection) -> None:
        """Count a closed connection no longer."""
        self.connections.discard(connection)
        self.memory.remove(connection)

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._listener is not None:
            self._listener.close()

    def close(self) -> None:
        """Stop listening and reset every connection."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()

    def keep_slow(self) -> None:
        """Take no slow caller for a dead one any more, before an exit.

        Guards against resets of callers whose complete answers wait in the kernel. Dead
        ones are forgotten with the process.
        """
        self.keeps_slow = True
        for connection in list(self.connections):
            connection.keep_slow()

    def hasten(self) -> None:
        """Hand over to the kernel what callers have not taken, before an exit.

        Guards against dropping complete answers of callers that read slowly.
        """
        share = self.memory.limit_bytes / max(1, len(self.connections))
        for connection in list(self.connections):
            connection.hasten(int(min(LAST_SEND_BUFFER_BYTES, share)))

    def close_idle(self) -> None:
        """Close connections with no request in flight."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def undelivered(self) -> list[tuple[Request, int]]:
        """Return the requests whose answers are complete but not sent, with bytes."""
        return [
            (connection.last_request, connection.unsent_bytes)
            for connection in self.connections
            if connection.last_request is not None
            and not connection.busy
            and connection.unsent_bytes
        ]

    @property
    def busy(self) -> int:
        """Return the number of requests in flight."""
        return sum(connection.busy for connection in self.connections)
