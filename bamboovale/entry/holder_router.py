"""Routes permit messages to the lease holders of engines, here or on a peer."""

from concurrent.futures import Future
from typing import Any

from bamboovale.actors import tell
from bamboovale.engines.messages import (
    CancelReceived,
    PermitRequestReceived,
    ReleaseReceived,
)
from bamboovale.entry.engine_holders import EngineHolders
from bamboovale.errors import ErrorCode
from bamboovale.peers.links import PeerLinks
from bamboovale.peers.messages import (
    PermitCancel,
    PermitRelease,
    PermitReply,
    PermitRequest,
)
from bamboovale.views import Views


class HolderRouter:
    """Implements :class:`~bamboovale.entry.permits.HolderTransport` over peer links."""

    def __init__(
        self,
        own_id: str,
        views: Views,
        holders: EngineHolders,
        links: PeerLinks,
    ) -> None:
        self._own_id = own_id
        self._views = views
        self._holders = holders
        self._links = links

    def holder_of(self, engine_id: str) -> str | None:
        """Return the VM that holds the engine's lease, as far as is known.

        A VM that started during an outage of the log knows no leases and would
        refuse all model requests. It uses the sender of the engine's routing hints
        instead, which checks itself whether it still holds the lease.
        """
        holder = self._views.holder_of(engine_id)
        if holder is not None:
            return holder
        received = self._views.hint_by_engine.get(engine_id)
        return None if received is None else received.from_vm

    def fencing_of(self, engine_id: str) -> int:
        """Return the fencing number of the current lease, -1 if not known."""
        lease = self._views.lease_by_engine.get(engine_id)
        return -1 if lease is None else lease.fencing

    def request_permit(
        self, holder: str, request: PermitRequest, timeout_s: float
    ) -> "Future[Any]":
        """Send the first permit request of an attempt."""
        if holder != self._own_id:
            return self._links.request(holder, request, timeout_s)
        future: Future[Any] = Future()
        deliver_permit_request(self._holders, self._own_id, request, future.set_result)
        return future

    def notify(self, holder: str, message: Any) -> None:
        """Send a message without a reply."""
        if holder != self._own_id:
            self._links.notify(holder, message)
        else:
            deliver_notice(self._holders, self._own_id, message)


def deliver_permit_request(
    holders: EngineHolders,
    from_vm: str,
    request: PermitRequest,
    reply: Any,
) -> None:
    """Pass a permit request to the engine's holder here, or refuse it if none is."""
    holder = holders.find(request.engine_id)
    if holder is None:
        reply(
            PermitReply(
                request_id=request.request_id,
                code=ErrorCode.NO_ENDPOINT,
                reason="the lease on the engine is not here",
                retry_after_s=0.0,
                elsewhere=True,
            )
        )
        return
    tell(holder, PermitRequestReceived(from_vm, request, reply))


def deliver_notice(holders: EngineHolders, from_vm: str, message: Any) -> None:
    """Pass a repeated request, a cancellation or a release to the holder here."""
    holder = holders.find(message.engine_id)
    if holder is None:
        return
    if isinstance(message, PermitRequest):
        tell(holder, PermitRequestReceived(from_vm, message, None))
    elif isinstance(message, PermitCancel):
        tell(holder, CancelReceived(message.request_id))
    elif isinstance(message, PermitRelease):
        tell(holder, ReleaseReceived(message.permit_id, message.refused))
