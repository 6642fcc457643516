"""Links between this entry VM and its peers: requests, replies and notices.

All links share one thread with one event loop, as a thread per link and direction would
cost more memory than the links themselves (``docs/design/peers.md``).
"""

import asyncio
import contextlib
import itertools
import logging
import math
import threading
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from websockets.asyncio.server import Server, ServerConnection, serve

from bamboovale.http1.sockets import set_socket_buffers
from bamboovale.metrics import Metrics
from bamboovale.peers.authentication import AddressOf, Authenticator
from bamboovale.peers.channel import HANDSHAKE_TIMEOUT_S, WEBSOCKETS_LOGGER, Channel
from bamboovale.peers.codec import MAX_FRAME_BYTES
from bamboovale.peers.frames import FrameKind, encode_frame
from bamboovale.peers.handshake import MAX_HANDSHAKE_BYTES
from bamboovale.peers.incoming import IncomingLink, NoticeHandler, RequestHandler
from bamboovale.peers.keepalive import SWEEP_INTERVAL_S
from bamboovale.peers.loop_calls import call_on
from bamboovale.peers.newcomers import Newcomers
from bamboovale.peers.outgoing import (
    OutboundMessage,
    OutgoingLink,
    PeerUnreachableError,
)

if TYPE_CHECKING:
    from bamboovale.settings import Settings

logger = logging.getLogger(__name__)

# An unused link is closed, so that links do not add up to a full mesh.
IDLE_CLOSE_S = 60.0

START_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class LinkState:
    """State of the links with one peer, for the state dump.

    ``outgoing`` is ``open``, ``connecting``, ``backing_off`` or ``idle``; ``incoming``
    is the number of links that the peer opened.
    """

    outgoing: str
    incoming: int
    queued: int
    awaiting_reply: int
    round_trip_s: float
    last_error: str


class PeerLinks:
    """Sends messages to other entry VMs and receives theirs.

    Methods may be called from any thread; only ``start`` and ``stop`` block. Handlers
    and callbacks of futures run on the event loop's thread and must not block.
    """

    def __init__(
        self,
        own_id: str,
        address: str,
        port: int,
        key: str,
        address_of: AddressOf,
        metrics: Metrics,
        max_unproved: float = math.inf,
        on_unproved_dropped: Callable[[], None] = lambda: None,
        on_long_opening: Callable[[], None] = lambda: None,
    ) -> None:
        self._newcomers = Newcomers(max_unproved, on_unproved_dropped, on_long_opening)
        self._address = address
        self._port = port
        self._authenticator = Authenticator(own_id, address, key, address_of, metrics)
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._link_by_vm_id: dict[str, OutgoingLink] = {}
        self._incoming: set[IncomingLink] = set()
        self._newest_incoming: dict[str, IncomingLink] = {}
        self._on_notice: NoticeHandler = _ignore
        self._loop: asyncio.AbstractEventLoop | None = None
        self._server: Server | None = None
        self._sweep_task: asyncio.Task[None] | None = None
        self._stopping: asyncio.Event | None = None
        self._thread: threading.Thread | None = None

    @classmethod
    def from_settings(
        cls,
        settings: "Settings",
        address_of: AddressOf,
        metrics: Metrics,
    ) -> "PeerLinks":
        """Create the links of an entry VM without opening any.

        ``address_of`` returns the address and port for links to a VM, or None if they
        are not known; it must not block.
        """
        return cls(
            settings.id,
            settings.address,
            settings.peers_port,
            settings.peer_key,
            address_of,
            metrics,
        )

    def start(self, on_request: RequestHandler, on_notice: NoticeHandler) -> None:
        """Listen for peers; raises OSError if the port cannot be bound."""
        started: Future[None] = Future()
        main = self._main(on_request, on_notice, started)
        self._thread = threading.Thread(
            target=asyncio.run,
            args=(main,),
            name="peer-links",
            daemon=True,
        )
        self._thread.start()
        started.result(START_TIMEOUT_S)

    def request(self, vm_id: str, message: Any, timeout_s: float) -> "Future[Any]":
        """Send a request and return a future of the reply message.

        The future raises PeerUnreachableError (nothing was sent), PeerTimeoutError or
        PeerLostError (the request may have arrived). The call raises BadMessageError
        for a message that cannot be encoded.
        """
        number = next(self._numbers)
        future: Future[Any] = Future()
        data = encode_frame(FrameKind.REQUEST, number, message)
        self._submit(vm_id, OutboundMessage(number, data, future), timeout_s)
        return future

    def notify(self, vm_id: str, message: Any) -> None:
        """Send a notice; it is dropped if the link is down or its queue is full."""
        self.notify_all([vm_id], message)

    def notify_all(self, vm_ids: Iterable[str], message: Any) -> None:
        """Send one notice to several peers, encoded once."""
        data = encode_frame(FrameKind.NOTICE, 0, message)
        loop = self._loop
        with contextlib.suppress(RuntimeError):  # the event loop is closed
            if loop is not None:
                call_on(loop, self._enqueue_notice, tuple(vm_ids), data)

    def link_states(self) -> dict[str, LinkState]:
        """Return the state of the links by VM id."""
        incoming = Counter(link.sender for link in self._incoming.copy())
        links = self._link_by_vm_id.copy()
        return {
            vm_id: _state_of(links.get(vm_id), incoming[vm_id])
            for vm_id in sorted(links.keys() | incoming.keys())
        }

    def stop(self) -> None:
        """Close all links; requests in flight fail."""
        loop, thread, stopping = self._loop, self._thread, self._stopping
        self._loop = None
        if loop is None or thread is None or stopping is None:
            return
        loop.call_soon_threadsafe(stopping.set)
        thread.join(STOP_TIMEOUT_S)

    def _submit(self, vm_id: str, item: OutboundMessage, timeout_s: float) -> None:
        loop = self._loop
        try:
            if loop is None:
                raise RuntimeError
            call_on(loop, self._enqueue, vm_id, item, timeout_s)
        except RuntimeError:  # stopped, or the event loop has just closed
            item.settle(PeerUnreachableError("the links are stopped"))

    def _enqueue_notice(self, vm_ids: tuple[str, ...], data: bytes) -> None:
        """Send a notice on the outgoing link if it is open, else on an incoming one.

        One link per pair of VMs suffices for notices, regardless of who opened it.
        """
        for vm_id in vm_ids:
            incoming = self._newest_incoming.get(vm_id)
            outgoing = self._link_by_vm_id.get(vm_id)
            has_own = outgoing is not None and outgoing.state == "open"
            if incoming is None or has_own:
                self._enqueue(vm_id, OutboundMessage(0, data), None)
            else:
                incoming.notify(data)

    def abort(self, vm_id: str) -> None:
        """Abort the links with a silent peer; the next message opens a new one.

        Guards against connections that go silent without a reset while new ones work,
        which pings on a link without requests detect too late. Runs on the event
        loop's thread.
        """
        outgoing = self._link_by_vm_id.get(vm_id)
        if outgoing is not None:
            outgoing.abort()
        for incoming in list(self._incoming):
            if incoming.sender == vm_id:
                incoming.abort()

    def _enqueue(
        self, vm_id: str, item: OutboundMessage, timeout_s: float | None
    ) -> None:
        link = self._link_by_vm_id.get(vm_id)
        if link is None:

            def open_channel() -> Coroutine[Any, Any, Channel]:
                return self._authenticator.open_channel(vm_id)

            def handle_notice(message: Any) -> None:
                self._on_notice(vm_id, message)

            link = OutgoingLink(open_channel, self._metrics, handle_notice)
            self._link_by_vm_id[vm_id] = link
        link.submit(item, timeout_s)

    async def open(self, on_request: RequestHandler, on_notice: NoticeHandler) -> None:
        """Listen on the running event loop, without a thread; raises OSError.

        For a process whose handlers run on the same event loop.
        """

        def handle_notice(sender: str, message: Any) -> None:
            try:
                on_notice(sender, message)
            except Exception:
                logger.exception("handler of a notice from peer %s failed", sender)

        self._on_notice = handle_notice

        async def accept(connection: ServerConnection) -> None:
            await self._accept(connection, on_request, handle_notice)

        self._server = await serve(
            accept,
            self._address,
            self._port,
            compression=None,
            max_size=MAX_HANDSHAKE_BYTES,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            close_timeout=HANDSHAKE_TIMEOUT_S,
            ping_interval=None,
            server_header=None,
            logger=WEBSOCKETS_LOGGER,
            create_connection=self._newcomers.connection,  # type: ignore[arg-type]
        )
        for listener in self._server.sockets:
            set_socket_buffers(listener)
        self._loop = asyncio.get_running_loop()
        self._sweep_task = asyncio.create_task(self._sweep())

    async def close(self) -> None:
        """Close the links and the server; runs on the loop of ``open``."""
        if self._sweep_task is not None:
            self._sweep_task.cancel()
        await asyncio.gather(*(link.close() for link in self._link_by_vm_id.values()))
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _main(
        self,
        on_request: RequestHandler,
        on_notice: NoticeHandler,
        started: "Future[None]",
    ) -> None:
        """Serve until ``stop`` is called; runs on the thread of the links."""
        self._stopping = asyncio.Event()
        try:
            await self.open(on_request, on_notice)
        except OSError as error:
            started.set_exception(error)
            return
        started.set_result(None)
        await self._stopping.wait()
        await self.close()

    async def _accept(
        self,
        connection: ServerConnection,
        on_request: RequestHandler,
        on_notice: NoticeHandler,
    ) -> None:
        """Authenticate a peer, then serve its link."""
        sender = await self._authenticator.accept(connection)
        if sender is None:
            self._metrics.peer_links_closed.labels("unproved").inc()
            connection.transport.abort()
            return
        self._newcomers.discard(connection)
        connection.protocol.max_message_size = MAX_FRAME_BYTES
        outgoing = self._link_by_vm_id.get(sender)
        if outgoing is not None:
            outgoing.reset_back_off()
        link = IncomingLink(
            sender,
            Channel(connection, self._metrics),
            self._metrics,
            on_request,
            on_notice,
        )
        self._incoming.add(link)
        self._newest_incoming[sender] = link
        try:
            await link.serve()
        finally:
            self._incoming.discard(link)
            if self._newest_incoming.get(sender) is link:
                del self._newest_incoming[sender]

    async def _sweep(self) -> None:
        """Check all links periodically: ping, abort silent ones, close unused ones.

        One timer serves all links, as a timer per link would wake the process far more
        often.
        """
        loop = asyncio.get_running_loop()
        swept_at = loop.time()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            lag_s = max(0.0, loop.time() - swept_at - 2 * SWEEP_INTERVAL_S)
            swept_at = loop.time()
            for incoming in list(self._incoming):
                incoming.check(lag_s)
            for vm_id, link in list(self._link_by_vm_id.items()):
                link.check(lag_s)
                unused_s = swept_at - link.last_used
                if unused_s > IDLE_CLOSE_S and not link.awaiting_reply:
                    del self._link_by_vm_id[vm_id]
                    await link.close()


def _ignore(sender: str, message: Any) -> None:
    """Drop notices before the links are open."""


def _state_of(link: OutgoingLink | None, incoming: int) -> LinkState:
    if link is None:
        return LinkState("idle", incoming, 0, 0, 0.0, "")
    return LinkState(
        outgoing=link.state,
        incoming=incoming,
        queued=link.queued,
        awaiting_reply=link.awaiting_reply,
        round_trip_s=link.round_trip_s,
        last_error=link.last_error,
    )
