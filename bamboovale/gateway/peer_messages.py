"""Passes the messages of other entry VMs to the parts that handle them."""

from collections.abc import Callable
from typing import Any, get_args

from bamboovale.fleet.messages import Gossip
from bamboovale.gateway.engine_owner import EngineOwner
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.lost_engines import OnReachQuery
from bamboovale.gateway.messages import (
    EngineLoads,
    EngineStatuses,
    PlaceCancel,
    PlaceHeld,
    PlacePaused,
    PlaceRelease,
    PlaceReply,
    PlaceRequest,
    PlaceStarted,
    QuotaGrants,
    QuotaReports,
    ReachQuery,
    StatusSubscription,
    TableQuery,
)
from bamboovale.gateway.quota_exchange import QuotaExchange
from bamboovale.gateway.status_exchange import EngineStatusExchange
from bamboovale.gateway.table_exchange import TableExchange
from bamboovale.gateway.vm_state import VMState
from bamboovale.relay.messages import RelayCancel, RelayNext, RelayRequest
from bamboovale.relay.server import RelayServer
from bamboovale.shared_places.exchange import (
    SHARED_PLACE_NOTICES,
    SharedPlaceExchange,
)
from bamboovale.shared_places.messages import SharedPlaceRequest
from bamboovale.streams.exchange import StartExchange
from bamboovale.streams.messages import StreamBegan, StreamQuery

PlaceNotice = PlaceCancel | PlaceRelease | PlaceHeld | PlaceStarted | PlacePaused
PLACE_NOTICES = get_args(PlaceNotice)
"""Notices about a place, for the engine's owner."""


class PeerMessages:
    """Handlers of the requests and notices of other VMs."""

    def __init__(
        self,
        *,
        state: VMState,
        engines: Engines,
        status_exchange: EngineStatusExchange,
        tables: TableExchange,
        quotas: QuotaExchange,
        shared_places: SharedPlaceExchange,
        relay_server: RelayServer,
        stream_starts: StartExchange,
        on_reach_query: OnReachQuery,
        on_gossip: Callable[[str, Gossip], None],
    ) -> None:
        self._state = state
        self._engines = engines
        self._status_exchange = status_exchange
        self._tables = tables
        self._quotas = quotas
        self._shared_places = shared_places
        self._relay_server = relay_server
        self._stream_starts = stream_starts
        self._on_reach_query = on_reach_query
        self._on_gossip = on_gossip

    def on_request(self, sender: str, message: Any, reply: Any) -> None:
        """Answer a peer's request."""
        if isinstance(message, PlaceRequest):
            self._on_place_request(sender, message, reply)
        elif isinstance(message, SharedPlaceRequest):
            self._shared_places.on_request(sender, message, reply)
        elif isinstance(message, RelayRequest | RelayNext):
            self._relay_server.on_query(sender, message, reply)
        elif isinstance(message, StreamQuery):
            reply(self._stream_starts.on_query(message))
        elif isinstance(message, ReachQuery):
            self._on_reach_query(message, reply)
        elif isinstance(message, TableQuery):
            reply(self._tables.answer())
        else:
            name = type(message).__name__
            self._state.journal.write("bad_message", sender=sender, type=name)

    def on_notice(self, sender: str, message: Any) -> None:
        """Handle a peer's notice."""
        if isinstance(message, Gossip):
            self._on_gossip(sender, message)
        elif isinstance(message, EngineStatuses):
            now = self._state.now()
            self._state.fleet.on_statuses(sender, message.statuses, now)
        elif isinstance(message, EngineLoads):
            self._state.fleet.on_loads(sender, message.loads, self._state.now())
        elif isinstance(message, StreamBegan):
            self._stream_starts.on_began(message)
        elif isinstance(message, QuotaReports):
            self._quotas.on_reports(sender, message)
        elif isinstance(message, QuotaGrants):
            self._quotas.on_grants(sender, message)
        elif isinstance(message, StatusSubscription):
            self._status_exchange.on_subscribe(sender)
        elif isinstance(message, RelayCancel):
            self._relay_server.on_cancel(sender, message)
        elif isinstance(message, SHARED_PLACE_NOTICES):
            self._shared_places.on_notice(sender, message)
        elif isinstance(message, PLACE_NOTICES):
            owner = self._engines.owner_by_engine.get(message.engine_id)
            if owner is not None:
                _notify_owner(owner, sender, message)

    def _on_place_request(self, sender: str, message: PlaceRequest, reply: Any) -> None:
        owner = self._engines.owner_by_engine.get(message.engine_id)
        if owner is None:
            reply(PlaceReply(message.ask_id, reason="no owner", not_owner=True))
            return
        self._status_exchange.on_subscribe(sender)
        owner.request_place(sender, message, reply)


def _notify_owner(owner: EngineOwner, sender: str, message: PlaceNotice) -> None:
    if isinstance(message, PlaceCancel):
        owner.cancel(message.ask_id)
    elif isinstance(message, PlaceRelease):
        owner.release(message)
    elif isinstance(message, PlaceHeld):
        owner.on_held(sender, message)
    elif isinstance(message, PlaceStarted):
        owner.on_started(message.ask_id)
    else:
        owner.on_paused(message.ask_id, message.pause_s)
