"""Requests of callers that closed their connection before the loop has read that."""

import asyncio
import random
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import Mock

import h11
import pytest

from bamboovale.decisions.relay_choice import Helper, RelayChoice
from bamboovale.entry.disconnects import DisconnectWatcher
from bamboovale.gateway.call import CallerLeft
from bamboovale.http1.connection import Connection
from bamboovale.http1.request import Request
from bamboovale.http1.responder import Responder
from bamboovale.http1.server import Server
from bamboovale.http1.server_connection import READ_AHEAD_BYTES
from bamboovale.relay.client import Relays
from bamboovale.standins.platform_endpoints import PlatformEndpoint
from bench.routed import HOST, MODEL
from tests.gateway_site import RunningVM, Site, call, eventually, run, running_site
from tests.path_cuts import REFUSE, cut_from_endpoints, put_out_of_reach

LATE_S = 0.6
"""How long the loop stands still; callers have left for half a second then."""
SETTLE_S = 0.3
STREAM_S = 0.3
PLACES = 8
"""Requests that the engine runs at once, by the configuration."""


def request(path: str, attempt: str) -> bytes:
    """Return a caller's request as it is sent."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {attempt}",
        "X-Deadline-Ms: 3000",
        f"X-Model: {MODEL}/a1",
        "X-Token-Count: 100,20",
        "Content-Length: 5",
    ]
    return "\r\n".join([*lines, "", "hello"]).encode()


def arrived(site: Site, attempt: str) -> bool:
    """Return whether a request reached an endpoint."""
    endpoints: list[PlatformEndpoint] = [*site.runners, *site.services]
    return any(
        arrival.request_id == attempt
        for endpoint in endpoints
        for arrival in endpoint.signals.arrivals
    )


def read_all(caller: socket.socket) -> bytes:
    """Read until the connection ends."""
    caller.settimeout(5.0)
    received = b""
    while piece := caller.recv(65536):
        received += piece
    return received


def outcomes(item: RunningVM, attempt: str) -> list[str]:
    """Return how a VM's log says that a request ended."""
    return [x["outcome"] for x in item.journal.of("request") if x["id"] == attempt]


@contextmanager
def closes_unread(item: RunningVM) -> Iterator[None]:
    """Keep a VM from reading what its callers send, as with a loop that is late."""
    connections = list(item.vm._callers.connections)
    for connection in connections:
        connection._transport.pause_reading()
    yield
    for connection in connections:
        if not connection._transport.is_closing():
            connection._transport.resume_reading()


class TestLateLoop:
    """A VM whose loop stood still while a caller sent a request and left."""

    @pytest.mark.parametrize("path", ["/book/1", "/check/1", "/chat/1", "/long/1"])
    def test_a_request_whose_caller_left_is_not_sent_on(self, path: str) -> None:
        """Guards against requests that are sent on after their caller has left."""

        async def test() -> None:
            async with running_site() as site:
                await call(site.vms[0].address, path, adapter="a1")
                with socket.create_connection(site.vms[0].address) as caller:
                    caller.sendall(request(path, "left"))
                time.sleep(LATE_S)
                await eventually(lambda: outcomes(site.vms[0], "left"))
                await asyncio.sleep(SETTLE_S)
                assert not arrived(site, "left")
                assert outcomes(site.vms[0], "left") == ["left"]

        run(test())

    def test_nor_one_on_a_connection_that_was_used_before(self) -> None:
        """Guards against the same on connections that callers keep."""

        async def test() -> None:
            async with running_site() as site:
                with socket.create_connection(site.vms[0].address) as caller:
                    caller.sendall(request("/book/1", "first"))
                    await eventually(lambda: outcomes(site.vms[0], "first"))
                    caller.sendall(request("/book/1", "left"))
                time.sleep(LATE_S)
                await eventually(lambda: outcomes(site.vms[0], "left"))
                await asyncio.sleep(SETTLE_S)
                assert arrived(site, "first")
                assert not arrived(site, "left")

        run(test())

    def test_one_whose_caller_waits_is_served(self) -> None:
        """Guards against requests that are dropped as they were read late."""

        async def test() -> None:
            async with running_site() as site:
                with socket.create_connection(site.vms[0].address) as caller:
                    caller.sendall(request("/book/1", "waits"))
                    time.sleep(LATE_S)
                    caller.settimeout(2.0)
                    received = await asyncio.to_thread(caller.recv, 1000)
                    assert received.startswith(b"HTTP/1.1 200 ")

        run(test())


class TestUnreadClose:
    """A caller left while its request waited, and the loop has not read that yet."""

    def test_no_retry_is_sent(self) -> None:
        """Guards against retries for callers that have left."""

        async def test() -> None:
            async with running_site(services=2) as site:
                for service in site.services:
                    service.faults.hang = True
                caller = await Connection.open(*site.vms[0].address)
                caller._transport.write(request("/check/1", "left"))
                await eventually(lambda: arrived(site, "left"))
                with closes_unread(site.vms[0]):
                    caller.close()
                    await asyncio.sleep(2.0)
                    assert sum(_arrivals(site, "left")) == 1

        run(test())

    def test_a_place_that_is_granted_is_not_used(self) -> None:
        """Guards against runs that begin as their place comes after the caller left."""

        async def test() -> None:
            async with running_site() as site:
                item = site.vms[0]
                await call(item.address, "/chat/1", adapter="a1")
                site.runners[0].faults.event_s = STREAM_S
                full = [
                    asyncio.create_task(call(item.address, "/chat/1", adapter="a1"))
                    for _ in range(PLACES)
                ]
                await eventually(lambda: len(site.runners[0].runs) == 1 + PLACES)
                caller = await Connection.open(*item.address)
                caller._transport.write(request("/chat/1", "left"))
                await eventually(lambda: _waits(item))
                with closes_unread(item):
                    caller.close()
                    await asyncio.gather(*full)
                    await asyncio.sleep(SETTLE_S)
                    assert not arrived(site, "left")

        run(test())

    def test_a_stream_does_not_go_on_at_another_engine(self) -> None:
        """Guards against streams that are taken up for callers that have left."""

        async def test() -> None:
            async with running_site(runners=2) as site:
                item = site.vms[0]
                await call(item.address, "/long/1", adapter="a1")
                for runner in site.runners:
                    runner.faults.event_s = STREAM_S
                    runner.faults.cut_after = 0
                caller = await Connection.open(*item.address)
                caller._transport.write(request("/long/1", "left"))
                await eventually(lambda: arrived(site, "left"))
                with closes_unread(item):
                    caller.close()
                    await asyncio.sleep(5 * STREAM_S)
                    assert sum(_arrivals(site, "left")) == 1

        run(test())


class TestRelayedRun:
    """A run that a VM began for the caller of another VM."""

    def test_it_ends_as_the_other_vm_dies(self) -> None:
        """Guards against engines that work on for callers whose VM is gone."""

        async def test() -> None:
            async with running_site(vms=2, runners=2) as site:
                await call(site.vms[0].address, "/chat/1", adapter="a1")
                for runner in site.runners:
                    runner.faults.event_s = 3.0
                cut = site.vms[0]
                with cut_from_endpoints(site, [cut], REFUSE):
                    await put_out_of_reach(cut)
                    caller = await Connection.open(*cut.address)
                    caller._transport.write(request("/chat/1", "left"))
                    await eventually(lambda: arrived(site, "left"))
                    cut.vm.links.notify = lambda vm_id, message: None
                    await cut.kill()
                    site.vms.remove(cut)
                    await eventually(lambda: _ends(site, "left") == ["cancelled"], 1.0)

        run(test())


def _arrivals(site: Site, attempt: str) -> Iterator[int]:
    for endpoint in [*site.runners, *site.services]:
        ids = [arrival.request_id for arrival in endpoint.signals.arrivals]
        yield ids.count(attempt)


def _waits(item: RunningVM) -> bool:
    """Return whether a request waits for a place at an engine of this VM."""
    owners = item.vm._engines.owner_by_engine.values()
    return any(owner.places.queue_length() for owner in owners)


def _ends(site: Site, attempt: str) -> list[str]:
    return [
        item.ended
        for runner in site.runners
        for item in runner.runs
        if item.request_id == attempt
    ]


class TestOwnInterface:
    """Callers of the own interface, whose requests wait for a thread."""

    def test_one_that_left_is_known_before_its_request_is_sent(self) -> None:
        """Guards against calls that are sent before the watching thread runs."""
        caller, accepted = socket.socketpair()
        caller.close()
        called: list[str] = []
        watcher = DisconnectWatcher()
        with watcher.watch(accepted, lambda: called.append("left")):
            assert called == ["left"]
        assert called == ["left"]
        accepted.close()
        watcher.stop()


class TestCloseBehindBytes:
    """A caller closed while bytes to or from it wait in its connection."""

    @staticmethod
    async def cancelled(sends: bytes, *, closes: bool) -> list[str]:
        """Return how a handler ended 1 s after its caller closed, or half-closed."""
        ended: list[str] = []

        async def handle(request: Request, responder: Responder) -> None:
            try:
                if not closes:
                    responder.start(200, [])
                    while True:
                        await responder.write(b"x" * 100_000)
                await asyncio.sleep(10.0)
            except asyncio.CancelledError:
                ended.append("cancelled")
                raise

        running = Server(handle)
        port = await running.listen("127.0.0.1", 0)
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        caller.connect(("127.0.0.1", port))
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        await asyncio.to_thread(caller.sendall, head + sends)
        await eventually(lambda: running.busy == 1)
        await asyncio.sleep(0.2)
        caller.close() if closes else caller.shutdown(socket.SHUT_WR)
        await asyncio.sleep(1.0)
        caller.close()
        running.close()
        return ended

    def test_behind_more_than_is_read_ahead(self) -> None:
        """Guards against work for callers that sent much behind their request."""
        much = b"y" * (READ_AHEAD_BYTES + 200_000)

        async def test() -> None:
            assert await self.cancelled(much, closes=True) == ["cancelled"]

        run(test())

    def test_an_earlier_answer_is_still_delivered(self) -> None:
        """Guards against a whole answer that is dropped with the request behind it."""
        whole = b"x" * 16_000_000

        async def test() -> None:
            async def handle(request: Request, responder: Responder) -> None:
                if request.target == "/second":
                    await asyncio.sleep(10.0)
                responder.answer(200, [], whole)

            running = Server(handle)
            port = await running.listen("127.0.0.1", 0)
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            caller.connect(("127.0.0.1", port))
            for target in ("first", "second"):
                caller.sendall(f"GET /{target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            await eventually(lambda: running.busy == 1)
            await asyncio.sleep(0.2)
            caller.shutdown(socket.SHUT_WR)
            received = await asyncio.to_thread(read_all, caller)
            assert received.count(b"x") == len(whole)
            assert not running.busy
            caller.close()
            running.close()

        run(test())

    def test_with_an_answer_that_it_does_not_take(self) -> None:
        """Guards against a stream that goes on behind a write buffer that is full."""

        async def test() -> None:
            assert await self.cancelled(b"", closes=False) == ["cancelled"]

        run(test())


class TestRelayedRequest:
    """A request that another VM is to send."""

    def test_no_vm_is_asked_for_a_caller_that_left(self) -> None:
        """Guards against VMs that are asked one after another for nobody."""

        def check_wanted() -> None:
            raise CallerLeft

        async def test() -> None:
            links = Mock()
            relays = Relays(
                links,
                lambda: [Helper("other", "zone")],
                RelayChoice(random.Random(1)),
                time.monotonic,
            )
            exchange = relays.open(
                "endpoint",
                "left",
                once_only=True,
                checks_start=False,
                left_s=1.0,
                check_wanted=check_wanted,
            )
            exchange.send(
                h11.Request(method="GET", target="/", headers=[("host", "h")]), b""
            )
            with pytest.raises(CallerLeft):
                await exchange.head()
            exchange.close()
            assert not links.request.called

        run(test())
