"""Answers of endpoints that stop early, as callers of the routed interface see them."""

import asyncio
from collections.abc import Callable

import pytest

from bamboovale.standins.platform_endpoints import PlatformEndpoint
from tests.gateway_site import (
    HOST,
    MODEL,
    CallerAnswer,
    Site,
    call,
    eventually,
    request_id,
    run,
    running_site,
)
from tests.path_cuts import HANG, cut_from_endpoints

MAX_ANSWER_BYTES = 1000
EVENTS = 5
MAX_NOT_SENT = 5
NOT_SENT_PAUSE_S = 0.5
each_end = pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
each_kind = pytest.mark.parametrize(
    "path", ["/book/1", "/check/1", "/chat/1", "/long/1"]
)


def is_stream(path: str) -> bool:
    """Return whether a route leads to the engine."""
    return path in ("/chat/1", "/long/1")


def endpoint_of(site: Site, path: str) -> PlatformEndpoint:
    """Return the only endpoint of a route, with no pauses."""
    if not is_stream(path):
        site.services[0].faults.event_s = 0.0
        return site.services[0]
    engine = site.runners[0]
    engine.preload("a1")
    engine.faults.event_s = 0.0
    return engine


async def ask(site: Site, path: str) -> CallerAnswer:
    """Send a request by the first VM."""
    adapter = "a1" if is_stream(path) else None
    return await call(site.vms[0].address, path, adapter=adapter)


async def ask_until_it_arrives(
    site: Site, path: str, arrived: Callable[[], int]
) -> CallerAnswer:
    """Send requests until one reaches the endpoint; the others must be refused.

    On a busy machine a connection may not be made in time.
    """
    for _ in range(MAX_NOT_SENT):
        before = arrived()
        answer = await ask(site, path)
        if arrived() > before:
            return answer
        assert answer.status == 503
        await asyncio.sleep(NOT_SENT_PAUSE_S)
    raise AssertionError("no request reached the endpoint")


def check_whole(path: str, answer: CallerAnswer) -> None:
    """Check that an answer is all that its endpoint has to say."""
    assert (answer.status, answer.whole) == (200, True)
    assert answer.header("x-server-stamp") is not None
    if is_stream(path):
        assert answer.body.count(b"data:") == EVENTS
    else:
        assert answer.body.startswith(b"service-0 ")


async def check_each_cut(site: Site, path: str, *, step: int = 1) -> None:
    """Check answers that are cut after more and more bytes, until one is whole."""
    endpoint = endpoint_of(site, path)
    for cut in range(1, MAX_ANSWER_BYTES, step):
        endpoint.faults.cut_at = cut
        answer = await ask_until_it_arrives(site, path, lambda: len(endpoint.runs))
        assert endpoint.last_cut is not None
        if not endpoint.last_cut.is_cut:
            check_whole(path, answer)
            return
        assert not answer.whole or answer.status == 502, cut
        assert answer.status in (0, 200, 502), cut
    raise AssertionError("no answer was whole")


class TestCutAnswers:
    """An answer that its endpoint does not finish is a failure or is broken off."""

    @each_kind
    @each_end
    @pytest.mark.parametrize("interim", [False, True])
    def test_none_looks_whole(self, path: str, resets: bool, interim: bool) -> None:
        """Guards against a success, or an end, that no endpoint sent."""

        async def test() -> None:
            async with running_site() as site:
                faults = endpoint_of(site, path).faults
                faults.reset, faults.interim = resets, interim
                await check_each_cut(site, path, step=3 if interim else 1)

        run(test())

    @each_kind
    @each_end
    def test_none_looks_whole_that_another_vm_relays(
        self, path: str, resets: bool
    ) -> None:
        async def test() -> None:
            async with running_site(vms=2) as site:
                endpoint_of(site, path).faults.reset = resets
                with cut_from_endpoints(site, [site.vms[0]], HANG):
                    await check_each_cut(site, path, step=5)
                assert site.vms[1].journal.of("relayed") != []

        run(test())

    @each_end
    def test_no_resumed_stream_looks_whole(self, resets: bool) -> None:
        """Guards against the rest of a stream that seems to be empty or whole."""

        async def test() -> None:
            async with running_site() as site:
                engine = endpoint_of(site, "/long/1")
                engine.faults.reset = resets
                vm = site.vms[0].address
                check_whole(
                    "/long/1", await call(vm, "/long/1", adapter="a1", attempt="first")
                )
                # The VM itself knows who began the stream, and asks nobody.
                resumed = {"Resumes": "first", "Last-Event-Id": "2"}
                for cut in range(1, MAX_ANSWER_BYTES):
                    engine.faults.cut_at = cut
                    runs = len(engine.runs)
                    answer = await call(vm, "/long/1", adapter="a1", headers=resumed)
                    while len(engine.runs) == runs:
                        # A loop that stood still takes the engine for out of reach.
                        assert (answer.status, answer.whole) == (503, True)
                        answer = await call(
                            vm, "/long/1", adapter="a1", headers=resumed
                        )
                    assert engine.last_cut is not None
                    if not engine.last_cut.is_cut:
                        assert (answer.status, answer.whole) == (200, True)
                        assert answer.body.count(b"data:") == EVENTS - 2
                        return
                    assert not answer.whole or answer.status == 502, cut
                raise AssertionError("no answer was whole")

        run(test())

    @each_end
    def test_a_stream_goes_on_at_another_engine(self, resets: bool) -> None:
        """Guards against events that are lost or come twice where a part was cut."""

        async def test() -> None:
            bounds = {"retry-burst": MAX_ANSWER_BYTES}
            async with running_site(runners=2, bounds=bounds) as site:
                cutting, sound = site.runners
                for engine in site.runners:
                    engine.preload("a1")
                await eventually(lambda: both_hold_an_adapter(site))
                sound.faults.event_s = 0.0
                endpoint_of(site, "/long/1").faults.reset = resets
                cuts = 0
                for cut in range(1, MAX_ANSWER_BYTES, 7):
                    cutting.faults.cut_at = cut
                    runs = len(cutting.runs)
                    answer = await ask(site, "/long/1")
                    check_whole("/long/1", answer)
                    cuts += len(cutting.runs) > runs
                assert cuts > 0

        run(test())


def both_hold_an_adapter(site: Site) -> bool:
    """Return whether the VM knows that; else it sends all to the one that does."""
    engines = [site.vms[0].vm.state.fleet.engine(f"runner-{n}") for n in range(2)]
    return all(engine and engine.status and engine.status.loaded for engine in engines)


async def ask_by_http_1_0(site: Site) -> bytes:
    """Return all bytes of a stream; raises ConnectionError if it is reset."""
    reader, writer = await asyncio.open_connection(*site.vms[0].address)
    lines = [
        "POST /chat/1 HTTP/1.0",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id()}",
        f"X-Model: {MODEL}/a1",
        "X-Token-Count: 100,20",
        "Content-Length: 0",
        "",
        "",
    ]
    writer.write("\r\n".join(lines).encode())
    try:
        return await reader.read()
    finally:
        writer.close()


class TestCallersWithoutChunks:
    """HTTP/1.0 ends a body without a length by closing its connection."""

    def test_a_whole_stream_ends_in_order(self) -> None:
        async def test() -> None:
            async with running_site() as site:
                endpoint_of(site, "/chat/1")
                assert (await ask_by_http_1_0(site)).count(b"data:") == EVENTS

        run(test())

    def test_a_cut_stream_is_reset(self) -> None:
        """Guards against a stream that ends early and looks complete."""

        async def test() -> None:
            async with running_site() as site:
                endpoint_of(site, "/chat/1").faults.cut_after = 2
                with pytest.raises(ConnectionError):
                    await ask_by_http_1_0(site)

        run(test())

    def test_a_vm_that_ends_resets_its_streams(self) -> None:
        """Guards against streams that look complete as their VM was killed."""

        async def test() -> None:
            async with running_site() as site:
                endpoint_of(site, "/chat/1").faults.event_s = 0.2
                asking = asyncio.create_task(ask_by_http_1_0(site))
                await eventually(lambda: site.runners[0].runs)
                await asyncio.sleep(0.5)
                await site.restart_vm(0)
                with pytest.raises(ConnectionError):
                    await asking

        run(test())


class TestTrust:
    """What a cut answer says of the path to its endpoint, and of its request."""

    @each_kind
    def test_an_endpoint_that_closes_is_reached(self, path: str) -> None:
        """Guards against requests that are refused, as an endpoint answers nothing."""

        async def test() -> None:
            async with running_site() as site:
                endpoint = endpoint_of(site, path)
                for cut in (0, 0, 1, 0):
                    endpoint.faults.cut_at = cut
                    assert (await ask(site, path)).status == 502
                endpoint.faults.cut_at = None
                check_whole(path, await ask(site, path))
                assert site.vms[0].journal.of("endpoint_unreached") == []

        run(test())


class TestCutRefusals:
    """A refusal is a promise once it is whole."""

    @pytest.mark.parametrize("path", ["/book/1", "/check/1"])
    @each_end
    def test_a_cut_one_promises_nothing(self, path: str, resets: bool) -> None:
        """Guards against a "not run" that no endpoint gave."""

        async def test() -> None:
            async with running_site() as site:
                endpoint = endpoint_of(site, path)
                endpoint.faults.reset, endpoint.faults.refuse = resets, True
                for cut in range(1, MAX_ANSWER_BYTES):
                    endpoint.faults.cut_at = cut
                    answer = await ask_until_it_arrives(
                        site, path, lambda: endpoint.refused
                    )
                    assert endpoint.last_cut is not None
                    if not endpoint.last_cut.is_cut:
                        assert answer.status == 503
                        return
                    assert answer.status == 502
                raise AssertionError("no refusal was whole")

        run(test())
