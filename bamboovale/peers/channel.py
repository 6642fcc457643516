"""A channel: an authenticated connection that counts its traffic."""

import asyncio
import ipaddress
import logging
from typing import Any

from websockets.protocol import State

from bamboovale.metrics import Metrics

HANDSHAKE_TIMEOUT_S = 1.0

# Bounds the memory of a link to a peer that reads too slowly.
QUEUE_LIMIT = 512
FRAMES_A_TURN = 32
"""Received frames that are handled before other links have their turn."""

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
        self._frames = 0

    async def send(self, data: bytes) -> None:
        """Send one frame once there is room for it; raises ConnectionClosed."""
        if self.is_clear():
            self.send_now(data)
            return
        self._count_out(data)
        await self._connection.send(data)

    def is_clear(self) -> bool:
        """Return whether the connection is open and all earlier frames have left."""
        transport = self._connection.transport
        return (
            self._connection.protocol.state is State.OPEN
            and not transport.is_closing()
            and not transport.get_write_buffer_size()
        )

    def send_now(self, data: bytes) -> None:
        """Send one frame without waiting; only for a channel that is clear.

        Uses the protocol of websockets without its task and locks, which cost several
        times as much as the frame.
        """
        self._count_out(data)
        protocol = self._connection.protocol
        protocol.send_binary(data)
        for part in protocol.data_to_send():
            self._connection.transport.write(part)

    def _count_out(self, data: bytes) -> None:
        self._metrics.peer_messages_out.inc()
        self._metrics.peer_bytes_out.inc(len(data))

    async def receive(self) -> bytes | str:
        """Return the next frame; raises ConnectionClosed.

        Guards against a peer that sends more than is handled: frames that are already
        here come without a wait.
        """
        self._frames += 1
        if self._frames % FRAMES_A_TURN == 0:
            await asyncio.sleep(0)
        data = await self._connection.recv()
        self._metrics.peer_messages_in.inc()
        self._metrics.peer_bytes_in.inc(len(data))
        return data  # type: ignore[no-any-return]

    def abort(self, cause: str) -> None:
        """Close at once and drop unsent data; the first cause is kept."""
        if self.close_cause == "closed":
            self.close_cause = cause
        self._connection.transport.abort()
