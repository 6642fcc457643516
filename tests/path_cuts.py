"""Cuts of entry VMs from endpoints, while all else reaches them."""

import asyncio
from collections.abc import AsyncIterator, Collection, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import pytest

from bamboovale.http1.connection import CONNECT_TIMEOUT_S, ConnectFailed, Connection
from tests.gateway_site import RunningVM, Site, eventually

HANG = "hang"
"""New connections get no answer, and open ones pass nothing."""
REFUSE = "refuse"
"""New connections are refused, and open ones are reset."""
BREAK = "break"
"""New connections are made and reset at once, and open ones are reset."""
LIVE_ON = "live on"
"""New connections are refused, and open ones go on."""


@contextmanager
def cut_from_endpoints(
    site: Site,
    vms: Collection[RunningVM],
    how: str,
    endpoint_ids: Collection[str] | None = None,
) -> Iterator[None]:
    """Cut VMs from all endpoints, or those given, until the end of the block."""
    endpoints = [
        endpoint
        for endpoint in [*site.runners, *site.services]
        if endpoint_ids is None or endpoint.endpoint_id in endpoint_ids
    ]
    addresses = {endpoint.address for endpoint in endpoints}
    hosts = {item.node.ip for item in vms}
    open_connection = Connection.open

    async def open_or_fail(
        host: str,
        port: int,
        source: str | None = None,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> Connection:
        if source not in hosts or (host, port) not in addresses:
            return await open_connection(host, port, source, timeout_s)
        if how == HANG:
            await asyncio.sleep(timeout_s)
        if how == BREAK:
            connection = await open_connection(host, port, source, timeout_s)
            asyncio.get_running_loop().call_soon(connection._transport.abort)
            return connection
        raise ConnectFailed("cut")

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Connection, "open", open_or_fail)
        if how != LIVE_ON:
            for connection in _open_connections(
                vms, {e.endpoint_id for e in endpoints}
            ):
                if how == HANG:
                    patch.setattr(connection, "data_received", lambda data: None)
                else:
                    connection.close()
        yield


def _open_connections(
    vms: Collection[RunningVM], endpoint_ids: Collection[str]
) -> Iterator[Any]:
    """Yield the idle connections of VMs to endpoints."""
    for item in vms:
        for pool in (item.vm._pools.endpoint, item.vm._pools.control):
            for endpoint_id, kept in pool._pool_by_id.items():
                if endpoint_id in endpoint_ids:
                    yield from list(kept.idle)


@asynccontextmanager
async def silent_for(site: Site, endpoint: Any, seconds: float) -> AsyncIterator[None]:
    """Have a sound endpoint send nothing for a while, and go on after that."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    open_connection = Connection.open
    receive = Connection.data_received
    port = endpoint.address[1]

    async def open_late(
        host: str,
        port_: int,
        source: str | None = None,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> Connection:
        left_s = ends_at - loop.time()
        if port_ == port and left_s > 0.0:
            await asyncio.sleep(min(left_s, timeout_s))
            if left_s > timeout_s:
                raise ConnectFailed("timeout")
        return await open_connection(host, port_, source, timeout_s)

    held: list[tuple[Any, bytes]] = []

    def receive_held() -> None:
        while held:
            receive(*held.pop(0))

    def receive_late(connection: Any, data: bytes) -> None:
        if loop.time() >= ends_at:
            receive_held()
        peer = connection._transport.get_extra_info("peername")
        if loop.time() < ends_at and peer is not None and peer[1] == port:
            held.append((connection, data))
        else:
            receive(connection, data)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Connection, "open", open_late)
        patch.setattr(Connection, "data_received", receive_late)
        loop.call_at(ends_at, receive_held)
        yield
        await asyncio.sleep(max(0.0, ends_at - loop.time()) + 0.05)


async def put_out_of_reach(vm: RunningVM) -> None:
    """Have a VM that is cut off find it out, by requests that need not succeed."""
    await eventually(lambda: _is_cut_after_failures(vm))


def _is_cut_after_failures(vm: RunningVM) -> bool:
    watch = vm.vm.state.path_watch
    for endpoint_id in vm.vm.state.endpoints.record_by_id:
        watch.on_failed(endpoint_id, "cut")
    return watch.check()
