"""Authentication of links: both sides prove that they hold the shared key."""

import asyncio
from collections.abc import Callable

from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed, WebSocketException

from bamboovale.metrics import Metrics
from bamboovale.peers.channel import (
    HANDSHAKE_TIMEOUT_S,
    WEBSOCKETS_LOGGER,
    Channel,
    is_loopback,
)
from bamboovale.peers.codec import MAX_FRAME_BYTES, BadMessageError
from bamboovale.peers.handshake import (
    HandshakeError,
    authenticate_as_called,
    authenticate_as_caller,
)
from bamboovale.peers.outgoing import PeerUnreachableError

# Limit of open connections whose handshake is not complete.
MAX_UNAUTHENTICATED = 64

AddressOf = Callable[[str], tuple[str, int] | None]


class Authenticator:
    """Opens and accepts links; without a shared key, on loopback only."""

    def __init__(
        self,
        own_id: str,
        address: str,
        key: str,
        address_of: AddressOf,
        metrics: Metrics,
    ) -> None:
        self._own_id = own_id
        self._address = address
        self._key = key
        self._address_of = address_of
        self._metrics = metrics
        self._unauthenticated = 0

    async def open_channel(self, vm_id: str) -> Channel:
        """Connect to a peer and authenticate; raises PeerUnreachableError."""
        target = self._address_of(vm_id)
        if target is None:
            raise PeerUnreachableError("the address of the peer is not known")
        address, port = target
        if not self._key and not is_loopback(address):
            raise PeerUnreachableError("without a peer key only loopback is allowed")
        host = f"[{address}]" if ":" in address else address
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                connection = await connect(
                    f"ws://{host}:{port}/",
                    compression=None,
                    max_size=MAX_FRAME_BYTES,
                    open_timeout=None,
                    close_timeout=HANDSHAKE_TIMEOUT_S,
                    ping_interval=None,
                    user_agent_header=None,
                    proxy=None,
                    logger=WEBSOCKETS_LOGGER,
                    local_addr=(self._address, 0),
                )
                try:
                    await authenticate_as_caller(
                        connection, self._own_id, vm_id, self._key
                    )
                except BaseException:
                    connection.transport.abort()
                    raise
        except TimeoutError as error:
            raise PeerUnreachableError("handshake timed out") from error
        except (HandshakeError, BadMessageError) as error:
            raise PeerUnreachableError(f"handshake failed: {error}") from error
        except (OSError, WebSocketException) as error:
            raise PeerUnreachableError(str(error)) from error
        return Channel(connection, self._metrics)

    async def accept(self, connection: ServerConnection) -> str | None:
        """Return the VM id of the caller, or None if it is rejected.

        Guards against clients that open connections and send nothing: the number and
        the duration of incomplete handshakes are limited.
        """
        remote = connection.remote_address[0]
        if self._unauthenticated >= MAX_UNAUTHENTICATED:
            return None
        if not self._key and not is_loopback(remote):
            return None
        self._unauthenticated += 1
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                return await authenticate_as_called(connection, self._own_id, self._key)
        except (TimeoutError, HandshakeError, ConnectionClosed):
            return None
        except BadMessageError:
            self._metrics.peer_bad_messages.inc()
            return None
        finally:
            self._unauthenticated -= 1
