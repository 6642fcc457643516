"""Signs that an endpoint has crashed, as one VM sees them."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum

from bamboovale.gateway.endpoints import EndpointChange, EndpointView
from bamboovale.gateway.model import EndpointRecord

LOOK_DELAYS_S = (0.05, 0.45)
"""From a lost run to looks whether its endpoint's port is closed: a process that
crashes closes all its connections first, and a connection may hang."""


class CrashSign(StrEnum):
    """What showed that an endpoint crashed; a field of log lines."""

    PORT_CLOSED = "port_closed"
    RECORD_GONE = "record_gone"
    ADDRESS_TAKEN = "address_taken"
    """Another start, or another endpoint, registered its address."""
    PEER = "peer"


class CrashSigns:
    """Looks at ports after lost runs, and at the records of endpoints.

    ``on_crash`` is called with an endpoint and the sign that it has crashed.
    """

    def __init__(
        self,
        endpoints: EndpointView,
        is_port_closed: Callable[[EndpointRecord], Awaitable[bool]],
        on_crash: Callable[[str, CrashSign], None],
    ) -> None:
        self._endpoints = endpoints
        self._is_port_closed = is_port_closed
        self._on_crash = on_crash
        self._look_by_endpoint: dict[str, asyncio.Task[None]] = {}

    def on_endpoint(self, change: EndpointChange) -> None:
        """Apply a change of an endpoint's record.

        One that was ready has crashed if it is gone, or if its address is another's.
        """
        if change.record is None:
            if change.was_ready:
                self._on_crash(change.endpoint_id, CrashSign.RECORD_GONE)
        elif change.record.ready and not change.was_ready:
            for other in self._endpoints.ready_at(change.record.address):
                if other.endpoint_id != change.endpoint_id:
                    self._on_crash(other.endpoint_id, CrashSign.ADDRESS_TAKEN)

    def look(self, endpoint_id: str) -> None:
        """Look whether an endpoint at which a run was lost has crashed."""
        if endpoint_id in self._look_by_endpoint:
            return
        task = asyncio.get_running_loop().create_task(self._look(endpoint_id))
        self._look_by_endpoint[endpoint_id] = task
        task.add_done_callback(lambda _: self._look_by_endpoint.pop(endpoint_id))

    async def _look(self, endpoint_id: str) -> None:
        for delay_s in LOOK_DELAYS_S:
            await asyncio.sleep(delay_s)
            record = self._endpoints.record_by_id.get(endpoint_id)
            if record is None or not record.ready:
                # One that leaves closes its port as planned.
                return
            if await self._is_port_closed(record):
                self._on_crash(endpoint_id, CrashSign.PORT_CLOSED)
                return
