"""An authenticated connection with its counters."""

import ipaddress
import logging
from typing import Any

from bamboovale.metrics import Metrics

# A peer in the same region answers in milliseconds; another region in some 100 ms.
HANDSHAKE_TIMEOUT_S = 1.0

# A peer that takes this many frames behind is served no more of them: what waits
# longer than its timeout is worthless, and the memory of a link stays bounded.
QUEUE_LIMIT = 512

# The library reports each failed connection with a traceback. Ours are counted.
LIBRARY_LOGGER = logging.getLogger("bamboovale.peers.library")
LIBRARY_LOGGER.propagate = False
LIBRARY_LOGGER.addHandler(logging.NullHandler())
LIBRARY_LOGGER.setLevel(logging.CRITICAL)


def is_loopback(address: str) -> bool:
    """Tell whether an IP address reaches this VM only."""
    return ipaddress.ip_address(address).is_loopback


class Channel:
    """Sends and receives frames, and remembers why it was closed.

    The library's own keepalive is not used: its ping waits for room in the send
    buffer without a timeout, so that a peer which reads nothing is never found.
    """

    def __init__(self, connection: Any, metrics: Metrics) -> None:
        self._connection = connection
        self._metrics = metrics
        self.close_cause = "closed"

    async def send(self, data: bytes) -> None:
        """Send one frame; raises ConnectionClosed."""
        self._metrics.peer_messages_out.inc()
        self._metrics.peer_bytes_out.inc(len(data))
        await self._connection.send(data)

    async def receive(self) -> bytes | str:
        """Return the next frame; raises ConnectionClosed."""
        data = await self._connection.recv()
        self._metrics.peer_messages_in.inc()
        self._metrics.peer_bytes_in.inc(len(data))
        return data  # type: ignore[no-any-return]

    def abort(self, cause: str) -> None:
        """Close at once, whatever is still unsent; the first cause is counted."""
        if self.close_cause == "closed":
            self.close_cause = cause
        self._connection.transport.abort()
