"""Links between this entry VM and its peers: requests, replies and notices.

All links share one thread with one event loop: a thread per link and direction costs
more memory than the links themselves (``docs/design/peers.md`` has the figures).
"""

import asyncio
import contextlib
import itertools
import logging
import threading
from collections import Counter
from collections.abc import Coroutine, Iterable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any

from websockets.asyncio.server import Server, ServerConnection, serve

from bamboovale.metrics import Metrics
from bamboovale.peers.authentication import AddressOf, Authenticator
from bamboovale.peers.channel import HANDSHAKE_TIMEOUT_S, LIBRARY_LOGGER, Channel
from bamboovale.peers.codec import MAX_FRAME_BYTES
from bamboovale.peers.frames import FrameKind, encode_frame
from bamboovale.peers.handshake import MAX_HANDSHAKE_BYTES
from bamboovale.peers.incoming import IncomingLink, NoticeHandler, RequestHandler
from bamboovale.peers.keepalive import SWEEP_S
from bamboovale.peers.outgoing import Outbound, OutgoingLink, PeerUnreachableError
from bamboovale.settings import Settings

logger = logging.getLogger(__name__)

# An unused link is closed, so that a VM does not end up linked to all others.
IDLE_CLOSE_S = 60.0

START_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class LinkState:
    """What the state dump shows of the links with one peer.

    ``outgoing`` is ``open``, ``connecting``, ``backing_off`` or ``idle``; ``incoming``
    counts the links that the peer opened.
    """

    outgoing: str
    incoming: int
    queued: int
    awaiting_reply: int
    round_trip_s: float
    last_error: str


class PeerLinks:
    """Sends messages to other entry VMs and receives theirs.

    Its functions may be called from any thread; none of them blocks but ``start``
    and ``stop``. Handlers and future callbacks run on the event loop's thread and
    must not block.
    """

    def __init__(
        self,
        own_id: str,
        address: str,
        port: int,
        key: str,
        address_of: AddressOf,
        metrics: Metrics,
    ) -> None:
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
        self._sweeping: asyncio.Task[None] | None = None
        self._stopping: asyncio.Event | None = None
        self._thread: threading.Thread | None = None

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        address_of: AddressOf,
        metrics: Metrics,
    ) -> "PeerLinks":
        """Create the links of an entry VM; nothing is opened yet.

        ``address_of`` gives the address and peers' port of a VM, or None if it is
        not known; it must not block.
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
        """Send a request; the future holds the reply message.

        Its exception is PeerUnreachableError (nothing was sent), or PeerTimeoutError
        or PeerLostError (the request may have arrived). Raises BadMessageError for a
        message that cannot be encoded.
        """
        number = next(self._numbers)
        future: Future[Any] = Future()
        data = encode_frame(FrameKind.REQUEST, number, message)
        self._submit(vm_id, Outbound(number, data, future), timeout_s)
        return future

    def notify(self, vm_id: str, message: Any) -> None:
        """Send a notice, best effort: it is dropped if the link is down or full."""
        self.notify_all([vm_id], message)

    def notify_all(self, vm_ids: Iterable[str], message: Any) -> None:
        """Send one notice to several peers; it is encoded once."""
        data = encode_frame(FrameKind.NOTICE, 0, message)
        loop = self._loop
        with contextlib.suppress(RuntimeError):  # stopped meanwhile
            if loop is not None:
                loop.call_soon_threadsafe(self._enqueue_notice, tuple(vm_ids), data)

    def link_states(self) -> dict[str, LinkState]:
        """Return the state of the links by VM id."""
        incoming = Counter(link.sender for link in self._incoming.copy())
        links = self._link_by_vm_id.copy()
        return {
            vm_id: _state_of(links.get(vm_id), incoming[vm_id])
            for vm_id in sorted(links.keys() | incoming.keys())
        }

    def stop(self) -> None:
        """Close all links; open requests fail."""
        loop, thread, stopping = self._loop, self._thread, self._stopping
        self._loop = None
        if loop is None or thread is None or stopping is None:
            return
        loop.call_soon_threadsafe(stopping.set)
        thread.join(STOP_TIMEOUT_S)

    def _submit(self, vm_id: str, item: Outbound, timeout_s: float) -> None:
        loop = self._loop
        try:
            if loop is None:
                raise RuntimeError
            loop.call_soon_threadsafe(self._enqueue, vm_id, item, timeout_s)
        except RuntimeError:  # stopped, perhaps between the two lines above
            item.settle(PeerUnreachableError("the links are stopped"))

    def _enqueue_notice(self, vm_ids: tuple[str, ...], data: bytes) -> None:
        """Send a notice over our own link or, where there is none, over the peer's.

        One link for each pair of VMs is enough then, whoever opened it.
        """
        for vm_id in vm_ids:
            incoming = self._newest_incoming.get(vm_id)
            outgoing = self._link_by_vm_id.get(vm_id)
            has_own = outgoing is not None and outgoing.state == "open"
            if incoming is None or has_own:
                self._enqueue(vm_id, Outbound(0, data), None)
            else:
                incoming.notify(data)

    def abort(self, vm_id: str) -> None:
        """Cut the links with a peer that we do not hear; the next message opens one.

        Guards against connections that go silent without a reset while new ones work:
        pings on a link without open requests find that only after ten seconds. Runs on
        the event loop's thread.
        """
        outgoing = self._link_by_vm_id.get(vm_id)
        if outgoing is not None:
            outgoing.abort()
        for incoming in list(self._incoming):
            if incoming.sender == vm_id:
                incoming.abort()

    def _enqueue(self, vm_id: str, item: Outbound, timeout_s: float | None) -> None:
        link = self._link_by_vm_id.get(vm_id)
        if link is None:

            def open_channel() -> Coroutine[Any, Any, Channel]:
                return self._authenticator.open_channel(vm_id)

            def take_notice(message: Any) -> None:
                self._on_notice(vm_id, message)

            link = OutgoingLink(open_channel, self._metrics, take_notice)
            self._link_by_vm_id[vm_id] = link
        link.submit(item, timeout_s)

    async def open(self, on_request: RequestHandler, on_notice: NoticeHandler) -> None:
        """Listen on the running event loop; raises OSError.

        For a process whose handlers live on one loop: no thread is started.
        """

        def take_notice(sender: str, message: Any) -> None:
            try:
                on_notice(sender, message)
            except Exception:
                logger.exception("a notice of %s failed", sender)

        self._on_notice = take_notice

        async def accept(connection: ServerConnection) -> None:
            await self._accept(connection, on_request, take_notice)

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
            logger=LIBRARY_LOGGER,
        )
        self._loop = asyncio.get_running_loop()
        self._sweeping = asyncio.create_task(self._sweep())

    async def close(self) -> None:
        """Close what ``open`` opened; runs on the same loop."""
        if self._sweeping is not None:
            self._sweeping.cancel()
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
        """Serve until told to stop; runs on the thread of the links."""
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
        """Let a peer prove who it is, then serve it."""
        sender = await self._authenticator.accept(connection)
        if sender is None:
            self._metrics.peer_links_closed.labels("unproved").inc()
            connection.transport.abort()
            return
        connection.protocol.max_message_size = MAX_FRAME_BYTES
        outgoing = self._link_by_vm_id.get(sender)
        if outgoing is not None:
            outgoing.end_back_off()
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
        """Look at all links now and then: ping, cut the silent, close the unused.

        One timer serves all links, because a timer for each would wake the process
        hundreds of times a second.
        """
        loop = asyncio.get_running_loop()
        looked_at = loop.time()
        while True:
            await asyncio.sleep(SWEEP_S)
            lag_s = max(0.0, loop.time() - looked_at - 2 * SWEEP_S)
            looked_at = loop.time()
            for incoming in list(self._incoming):
                incoming.check(lag_s)
            for vm_id, link in list(self._link_by_vm_id.items()):
                link.check(lag_s)
                unused_s = looked_at - link.last_used
                if unused_s > IDLE_CLOSE_S and not link.awaiting_reply:
                    del self._link_by_vm_id[vm_id]
                    await link.close()


def _ignore(sender: str, message: Any) -> None:
    """Take no notice before the links are open."""


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
