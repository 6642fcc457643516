"""A channel: an authenticated connection that counts its traffic."""

import ipaddress
import logging
from typing import Any

from bamboovale.metrics import Metrics

HANDSHAKE_TIMEOUT_S = 1.0

# Bounds the memory of a link to a peer that reads too slowly.
QUEUE_LIMIT = 512

# Silences the tracebacks that websockets logs for each failed connection.
WEBSOCKETS_LOGGER = logging.getLogger("bamboovale.peers.library")
WEBSOCKETS_LOGGER.propagate = False
WEBSOCKETS_LOGGER.addHandler(logging.NullHandler())
WEBSOCKETS_LOGGER.setLevel(logging.CRITICAL)


def is_loopback(address: str) -> bool:
    """Return whether an IP address is a loopback address."""
    return ipaddress.ip_address(address).is_loopback


class Channel:
    """Sends and receives frames, and keeps the cause of its closing.

    The keepalive of websockets is not used: its ping waits for room in the send buffer
    without a timeout, so that it never detects a peer which reads nothing.
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
        """Close at once and drop unsent data; the first cause is kept."""
        if self.close_cause == "closed":
            self.close_cause = cause
        self._connection.transport.abort()
