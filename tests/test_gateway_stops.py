"""Requests that a VM gets shortly before and during its planned stop."""

import asyncio
import contextlib
import math
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any
from unittest.mock import AsyncMock

import pytest

from bamboovale.decisions.planned_stop import PlannedStop
from bamboovale.gateway.drain import LISTEN_AFTER_STOP_S
from bamboovale.gateway.engines import Engines, GrantedPlace
from bamboovale.gateway.messages import PlaceRequest
from bamboovale.gateway.model import EndpointRecord
from bamboovale.http1 import server
from bamboovale.http1.request import Request
from bamboovale.http1.responder import Responder
from bamboovale.http1.server import Server
from bamboovale.standins.platform_endpoints import PlatformEndpoint, Run
from tests.gateway_site import (
    HOST,
    MODEL,
    CallerAnswer,
    Site,
    call,
    configuration,
    eventually,
    route,
    run,
    running_site,
)
from tests.path_cuts import REFUSE, cut_from_endpoints

GRACE_S = 5
UNEXCUSED_S = LISTEN_AFTER_STOP_S - 0.1
"""A time after SIGTERM at which requests are accepted, but none may be cut."""
LATE_S = UNEXCUSED_S - 0.7
"""One at which a cut is excused, and many runs would no longer end in time."""
EVENTS = 10
RUN_S = 1.8
"""With its margin longer than a stop goes on after ``LATE_S``."""
LARGE_BYTES = 500_000
SLOW_S = 4.0
"""How long a slow caller reads on after the exit: longer than dead ones are kept."""
PLACES = 8
"""Places of an engine."""
RECORD = EndpointRecord("e", "llm", ("10.0.0.1", 1), "a", True, 8)
PATIENT = {"timeout-ms": 20_000, "gap-target-ms": 400}
SITE: dict[str, Any] = {
    "vms": 2,
    "bounds": {"grace-s": GRACE_S},
    "events": EVENTS,
    "config": configuration(
        extra=(
            route("slow", "llm", "stream", **PATIENT),
            route("draft", "llm", "stream", **{**PATIENT, "goal-ms": 3000}),
        )
    ),
}


async def stream(site: Site, vm: int = 0) -> CallerAnswer:
    """Send a request for an adapter, by the VM that stops if no other is named."""
    return await call(site.vms[vm].address, "/slow/1", adapter="a1", deadline_ms=9000)


async def draft(site: Site) -> CallerAnswer:
    """Send a request that can wait for long, by the VM that stops."""
    return await call(site.vms[0].address, "/draft/1", adapter="a1", deadline_ms=15_000)


async def learn_run_time(site: Site, run_s: float = RUN_S) -> None:
    """Have all VMs know how long a run takes."""
    [runner] = site.runners
    runner.faults.event_s = run_s / EVENTS
    for _ in range(2):
        await asyncio.gather(*(stream(site) for _ in range(PLACES // 2)))
    fleet = site.vms[0].vm.state.fleet
    await eventually(
        lambda: fleet.engine(runner.endpoint_id).published.run_s > 0.7 * run_s
    )


@contextmanager
def large_answers(service: PlatformEndpoint) -> Iterator[None]:
    """Have the endpoint's answers be longer than a socket's buffers."""

    async def answer(request: Request, responder: Responder, run: Run) -> None:
        await asyncio.sleep(service.faults.event_s)
        headers = service._answer_headers(run, responder)
        responder.answer(200, headers, b"x" * LARGE_BYTES)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(service, "_answer", answer)
        yield


def plain_request(name: str) -> bytes:
    """Return a request to a plain service."""
    return (
        f"GET /book/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\n\r\n"
    ).encode()


@contextmanager
def slow_caller(address: tuple[str, int]) -> Iterator[socket.socket]:
    """Send a request, with little room for its answer."""
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        caller.connect(address)
        caller.sendall(plain_request("slow"))
        yield caller


def shrink_send_buffers(callers: Server) -> None:
    """Have the kernel take few bytes at once, as on a network; loopback takes many."""
    for connection in callers.connections:
        caller = connection._transport.get_extra_info("socket")
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)


def read_all(caller: socket.socket) -> bytes:
    """Read until the connection ends."""
    caller.settimeout(5.0)
    received = b""
    with contextlib.suppress(ConnectionError):
        while piece := caller.recv(65536):
            received += piece
    return received


class TestRequestsTooLate:
    """Requests that the VM cannot complete before it exits."""

    def test_a_stream_that_would_be_cut_is_refused(self) -> None:
        """Guards against taking on a run that lasts longer than the stop."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                await learn_run_time(site)
                before = len(site.runners[0].runs)
                site.vms[0].vm.stop()
                await asyncio.sleep(LATE_S)
                answer = await stream(site)
                assert (answer.status, answer.whole) == (503, True)
                assert float(answer.header("retry-after") or 9) < 1.0
                assert answer.header("connection") == "close"
                assert len(site.runners[0].runs) == before

        run(test())

    def test_a_stream_of_unknown_length_is_refused(self) -> None:
        """Guards against a VM that takes an unknown run for a short one."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                site.runners[0].faults.event_s = RUN_S / EVENTS
                site.vms[0].vm.stop()
                await asyncio.sleep(LATE_S)
                answer = await stream(site)
                assert (answer.status, answer.whole) == (503, True)
                assert not site.runners[0].runs

        run(test())

    def test_one_of_unknown_length_is_served_at_first(self) -> None:
        """Guards against refusals by VMs that have just started."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                site.runners[0].faults.event_s = RUN_S / EVENTS
                site.vms[0].vm.stop()
                await asyncio.sleep(0.5)
                answer = await stream(site)
                assert (answer.status, answer.whole) == (200, True)

        run(test())

    def test_no_place_is_waited_for_until_the_run_would_be_cut(self) -> None:
        """Guards against runs that begin too late, after a wait for a full engine."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                await learn_run_time(site)
                learned = len(site.runners[0].runs)
                site.vms[0].vm.stop()
                await asyncio.sleep(1.5)
                full = [asyncio.create_task(stream(site, vm=1)) for _ in range(PLACES)]
                before = learned + PLACES
                await eventually(lambda: len(site.runners[0].runs) == before)
                async with asyncio.timeout(RUN_S / 2):
                    answer = await stream(site)
                assert (answer.status, answer.whole) == (503, True)
                assert len(site.runners[0].runs) == before
                assert {item.status for item in await asyncio.gather(*full)} == {200}

        run(test())

    def test_one_that_waits_as_the_stop_begins_is_refused_in_time(self) -> None:
        """Guards against a wait for a run that can no longer be completed."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                await learn_run_time(site)
                site.runners[0].faults.event_s = 4.0 / EVENTS
                before = len(site.runners[0].runs) + PLACES
                full = [asyncio.create_task(stream(site, vm=1)) for _ in range(PLACES)]
                await eventually(lambda: len(site.runners[0].runs) == before)
                waiting = asyncio.create_task(draft(site))
                await asyncio.sleep(0.1)
                site.vms[0].vm.stop()
                async with asyncio.timeout(GRACE_S / 2 + 0.5):
                    answer = await waiting
                assert (answer.status, answer.whole) == (503, True)
                assert len(site.runners[0].runs) == before
                for task in full:
                    task.cancel()

        run(test())

    def test_a_stream_that_can_be_completed_is_served(self) -> None:
        """Guards against refusals by a VM that callers cannot know to be stopping."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                await learn_run_time(site)
                site.vms[0].vm.stop()
                await asyncio.sleep(1.0)
                answer = await stream(site)
                assert (answer.status, answer.whole) == (200, True)

        run(test())


class TestPromisedRequests:
    """Requests that come when the platform excuses no cut any more."""

    def test_a_stream_that_only_an_estimate_would_end_is_refused(self) -> None:
        """Guards against a cut of a run that is slower than expected."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                await learn_run_time(site, run_s=0.2)
                site.runners[0].faults.event_s = 6.0 / EVENTS
                before = len(site.runners[0].runs)
                site.vms[0].vm.stop()
                await asyncio.sleep(UNEXCUSED_S)
                async with asyncio.timeout(0.5):
                    answer = await stream(site)
                assert (answer.status, answer.whole) == (503, True)
                assert float(answer.header("retry-after") or 9) < 1.0
                assert answer.header("connection") == "close"
                assert len(site.runners[0].runs) == before

        run(test())

    def test_what_the_deadline_ends_in_time_is_served(self) -> None:
        """Guards against refusals of requests that the clock alone ends in time."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                await learn_run_time(site, run_s=0.2)
                address = site.vms[0].address
                site.vms[0].vm.stop()
                await asyncio.sleep(UNEXCUSED_S - 0.05)
                answers = await asyncio.gather(
                    call(address, "/book/1", deadline_ms=900),
                    call(address, "/slow/1", adapter="a1", deadline_ms=900),
                )
                assert [(item.status, item.whole) for item in answers] == [
                    (200, True),
                    (200, True),
                ]

        run(test())

    def test_a_body_that_ends_late_makes_a_late_request(self) -> None:
        """Guards against a request dated by its head."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                await learn_run_time(site, run_s=0.2)
                before = len(site.runners[0].runs)
                stopping = site.vms[0]
                reader, writer = await asyncio.open_connection(*stopping.address)
                head = (
                    f"POST /slow/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: 9000\r\n"
                    f"X-Model: {MODEL}/a1\r\nX-Token-Count: 100,20\r\n"
                    f"X-Request-Id: halves\r\nContent-Length: 2\r\n\r\n"
                )
                stopping.vm.stop()
                await asyncio.sleep(UNEXCUSED_S - 0.5)
                writer.write(head.encode() + b"{")
                await asyncio.sleep(0.5)
                writer.write(b"}")
                assert b" 503 " in await asyncio.wait_for(reader.readline(), 0.5)
                assert len(site.runners[0].runs) == before
                writer.close()

        run(test())


class TestRequestsLeftAtTheEnd:
    """Requests without an answer when the time for the stop is over."""

    def test_one_that_waits_for_a_place_is_refused(self) -> None:
        """Guards against a reset of requests that another VM can still run."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                site.runners[0].faults.hang = True
                full = [asyncio.create_task(stream(site, vm=1)) for _ in range(PLACES)]
                await eventually(lambda: len(site.runners[0].runs) == PLACES)
                site.vms[0].vm.stop()
                await asyncio.sleep(LATE_S)
                answer = await stream(site)
                assert (answer.status, answer.whole) == (503, True)
                assert float(answer.header("retry-after") or 9) < 1.0
                assert len(site.runners[0].runs) == PLACES
                for task in full:
                    task.cancel()

        run(test())

    def test_one_that_waits_until_the_end_is_refused(self) -> None:
        """Guards against a reset of requests that were never sent to an engine."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                site.runners[0].faults.hang = True
                full = [asyncio.create_task(stream(site, vm=1)) for _ in range(PLACES)]
                await eventually(lambda: len(site.runners[0].runs) == PLACES)
                with pytest.MonkeyPatch.context() as patch:
                    patch.setattr(
                        PlannedStop, "latest_start", lambda self, run_s: math.inf
                    )
                    waiting = asyncio.create_task(draft(site))
                    await asyncio.sleep(0.1)
                    site.vms[0].vm.stop()
                    answer = await waiting
                assert (answer.status, answer.whole) == (503, True)
                assert len(site.runners[0].runs) == PLACES
                for task in full:
                    task.cancel()

        run(test())

    def test_one_that_may_have_run_is_told_so(self) -> None:
        """Guards against a reset that leaves the caller without any answer."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                site.runners[0].faults.hang = True
                site.services[0].faults.hang = True
                waiting = asyncio.create_task(stream(site))
                await eventually(lambda: bool(site.runners[0].runs))
                site.vms[0].vm.stop()
                await asyncio.sleep(LATE_S)
                address = site.vms[0].address
                answers = await asyncio.gather(waiting, call(address, "/book/1"))
                assert [(item.status, item.whole) for item in answers] == [
                    (502, True),
                    (502, True),
                ]
                await site.vms[0].task
                lines = site.vms[0].journal.of("request")
                assert {line["outcome"] for line in lines} == {"cut_by_stop"}

        run(test())


class TestDelivery:
    """Complete answers that callers have not taken when the VM exits."""

    def test_a_caller_that_reads_slowly_gets_all_of_it(self) -> None:
        """Guards against bytes of complete answers that the exit drops."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                site.services[0].faults.event_s = 0.5
                with (
                    large_answers(site.services[0]),
                    slow_caller(site.vms[0].address) as caller,
                ):
                    await eventually(lambda: bool(site.services[0].runs))
                    shrink_send_buffers(site.vms[0].vm._callers)
                    site.vms[0].vm.stop()
                    received = await asyncio.to_thread(caller.recv, 4000)
                    while not site.vms[0].task.done():
                        await asyncio.sleep(0.2)
                        received += await asyncio.to_thread(caller.recv, 4000)
                    for _ in range(round(SLOW_S / 0.2)):
                        await asyncio.sleep(0.2)
                        received += await asyncio.to_thread(caller.recv, 4000)
                    assert len(received) < LARGE_BYTES / 2
                    received += await asyncio.to_thread(read_all, caller)
                assert received.startswith(b"HTTP/1.1 200 ")
                assert received.count(b"x") >= LARGE_BYTES

        run(test())

    def test_one_that_does_not_leave_has_a_line(self) -> None:
        """Guards against answers dropped by an exit that nobody notices."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                site.services[0].faults.event_s = 2.0
                with (
                    large_answers(site.services[0]),
                    slow_caller(site.vms[0].address) as caller,
                    pytest.MonkeyPatch.context() as patch,
                ):
                    patch.setattr(server, "LAST_SEND_BUFFER_BYTES", 32768)
                    await eventually(lambda: bool(site.services[0].runs))
                    shrink_send_buffers(site.vms[0].vm._callers)
                    site.vms[0].vm.stop()
                    while not site.vms[0].task.done():
                        await asyncio.sleep(0.2)
                        await asyncio.to_thread(caller.recv, 4000)
                [line] = site.vms[0].journal.of("undelivered")
                assert line["id"] == "slow"
                assert line["received_s"] < line["cut_s"]
                assert 0 < line["unsent_bytes"] < LARGE_BYTES

        run(test())

    def test_a_request_behind_another_is_answered(self) -> None:
        """Guards against a close that drops a request which was read."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                site.services[0].faults.event_s = 0.5
                site.vms[0].vm.stop()
                address = site.vms[0].address
                reader, writer = await asyncio.open_connection(*address)
                writer.write(plain_request("first") + plain_request("second"))
                received = await asyncio.wait_for(reader.read(), 4.0)
                writer.close()
                assert received.count(b"HTTP/1.1 200 ") == 2
                assert received.count(b"connection: close") == 1
                assert received.endswith(b"second")

        run(test())


class TestConnectionsAtTheEnd:
    """Callers that connect as the VM is about to exit."""

    def test_one_that_the_loop_has_not_accepted_is_answered(self) -> None:
        """Guards against an exit that resets what comes while the loop is late."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                stopping = site.vms[0]
                stopping.vm.stop()
                while not stopping.vm.state.draining:
                    await asyncio.sleep(0.002)
                with slow_caller(stopping.address) as caller:
                    time.sleep(0.1)
                    received = await asyncio.to_thread(read_all, caller)
                assert received.startswith(b"HTTP/1.1 503 ")

        run(test())


class TestErrorsOfAStop:
    """Parts of the stop that fail."""

    def test_streams_are_completed_though_engines_are_not_released(self) -> None:
        """Guards against an error that ends the process with its callers' streams."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                stopping = site.vms[0]
                site.runners[0].faults.event_s = RUN_S / EVENTS
                waiting = asyncio.create_task(stream(site))
                await eventually(lambda: bool(site.runners[0].runs))
                leave = AsyncMock(side_effect=KeyError("engine"))
                with pytest.MonkeyPatch.context() as patch:
                    patch.setattr(stopping.vm._ownership, "leave", leave)
                    stopping.vm.stop()
                    answer = await waiting
                    assert not stopping.task.done()
                assert (answer.status, answer.whole) == (200, True)
                await stopping.task
                assert stopping.journal.of("task_failed")

        run(test())


class TestRequestsOfOtherVMs:
    """Requests that a VM which stops sends for another one."""

    def test_a_stream_sent_for_another_vm_is_completed(self) -> None:
        """Guards against an exit as soon as the VM has no callers of its own."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                cut, helper = site.vms
                site.runners[0].faults.event_s = 0.38
                with cut_from_endpoints(site, [cut], REFUSE):
                    waiting = asyncio.create_task(stream(site))
                    await eventually(lambda: bool(site.runners[0].runs))
                    assert helper.vm.dump()["relayed_under_way"] == 1
                    helper.vm.stop()
                    answer = await waiting
                assert (answer.status, answer.whole) == (200, True)

        run(test())

    def test_none_is_taken_on_that_may_outlast_the_stop(self) -> None:
        """Guards against cutting a request whose own VM does not stop."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                cut, helper = site.vms
                with cut_from_endpoints(site, [cut], REFUSE):
                    helper.vm.stop()
                    await asyncio.sleep(LATE_S / 2)
                    short = await call(cut.address, "/book/1", deadline_ms=1000)
                    assert (short.status, short.whole) == (200, True)
                    site.services[0].faults.event_s = 3.4
                    answer = await call(cut.address, "/book/1", deadline_ms=4000)
                assert (answer.status, answer.whole) == (503, True)
                assert len(site.services[0].runs) == 1

        run(test())


class TestExpectedRunTime:
    """What a VM knows of the speed of an engine."""

    def test_own_runs_tell_it_while_the_owner_does_not_know_it(self) -> None:
        """Guards against runs taken on unseen while owners stop one by one."""
        now = 0.0
        links = SimpleNamespace(notify=lambda vm_id, message: None)
        fleet = SimpleNamespace(engine=lambda engine_id: None)
        engines = Engines("me", fleet, links, lambda: now)  # type: ignore[arg-type]
        assert engines.speed(RECORD, "base").run_time_s(100, 50) == 0.0
        for number in range(4):
            place = GrantedPlace("e", f"r{number}", "other", 1)
            request = PlaceRequest(
                "e", place.ask_id, "base", "a1", 1, 100, 50, 0, 1.0, 1.0
            )
            engines.track_run(place, request)
            now += 0.5
            engines.notify_started(place)
            now += 3.0
            engines.release(place)
        assert engines.speed(RECORD, "base").run_time_s(100, 50) == pytest.approx(3.0)

    def test_runs_that_were_broken_off_tell_nothing(self) -> None:
        """Guards against an engine that seems fast as callers leave it early."""
        now = 0.0
        links = SimpleNamespace(notify=lambda vm_id, message: None)
        fleet = SimpleNamespace(engine=lambda engine_id: None)
        engines = Engines("me", fleet, links, lambda: now)  # type: ignore[arg-type]
        place = GrantedPlace("e", "r", "other", 1)
        engines.track_run(
            place, PlaceRequest("e", "r", "base", "a1", 1, 100, 50, 0, 1.0, 1.0)
        )
        engines.notify_started(place)
        now += 0.1
        engines.release(place, aborted=True)
        assert engines.speed(RECORD, "base").run_time_s(100, 50) == 0.0


class TestLogOfAStop:
    """What the log says of requests around a planned stop."""

    def test_a_stream_cut_by_the_stop_is_told_from_one_whose_caller_left(self) -> None:
        """Guards against streams cut by stops that nobody notices."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                site.runners[0].faults.event_s = 2.0
                stopping = site.vms[0]
                waiting = asyncio.create_task(stream(site))
                left = asyncio.create_task(stream(site))
                await eventually(lambda: len(site.runners[0].runs) == 2)
                stopping.vm.stop()
                await asyncio.sleep(1.0)
                left.cancel()
                assert not (await waiting).whole
                await stopping.task
                lines = stopping.journal.of("request")
                assert [line["outcome"] for line in lines] == ["left", "cut_by_stop"]
                assert all(-1.0 < line["since_stop_s"] < 0.0 for line in lines)

        run(test())

    def test_each_cut_has_a_line_that_many_requests_do_not_drop(self) -> None:
        """Guards against a cut that the limit on lines of all requests hides."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                site.runners[0].faults.event_s = 2.0
                waiting = asyncio.create_task(stream(site))
                await eventually(lambda: bool(site.runners[0].runs))
                site.vms[0].vm.stop()
                assert not (await waiting).whole
                await site.vms[0].task
                [line] = site.vms[0].journal.of("cut_by_stop")
                assert line["id"] == site.runners[0].runs[0].request_id
                assert line["received_s"] <= line["sent_s"] < 0.5
                assert line["cut_s"] == pytest.approx(GRACE_S - 0.7, abs=0.3)
                assert (line["answer_started"], line["answer_whole"]) == (True, False)

        run(test())
