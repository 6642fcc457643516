"""Requests that crash the endpoints that run them, at VMs in touch."""

import asyncio
import time
from collections.abc import Sequence

import pytest

from bamboovale.crashes.subjects import fingerprint
from bamboovale.fleet.messages import CrashedEndpoint, SuspectRequest
from bamboovale.standins.crash_triggers import CrashTrigger, Return
from bamboovale.standins.platform_endpoints import PlatformEndpoint
from tests.gateway_site import (
    HOST,
    RunningVM,
    Site,
    call,
    eventually,
    run,
    running_site,
)
from tests.path_cuts import HANG, cut_from_endpoints

STABLE_S = 3.0
"""Time after the third crash from which few more requests may reach endpoints."""
ALLOWED_LATE = 3
BODY = b"crashes endpoints"
PAUSE_S = 0.1


def set_trigger(endpoints: Sequence[PlatformEndpoint], trigger: CrashTrigger) -> None:
    """Have endpoints crash under what the trigger names."""
    for endpoint in endpoints:
        endpoint.trigger = trigger


async def send_for(
    vms: Sequence[RunningVM],
    path: str,
    seconds: float,
    adapter: str | None = None,
    deadline_ms: int = 3000,
) -> list[int]:
    """Send the request again and again, at each VM in turn; return the statuses."""
    until = time.monotonic() + seconds
    statuses = []
    while time.monotonic() < until:
        for item in vms:
            answer = await call(
                item.address,
                path,
                adapter=adapter,
                body=BODY,
                deadline_ms=deadline_ms,
            )
            statuses.append(answer.status)
            await asyncio.sleep(PAUSE_S)
    return statuses


def tell_of_crashes(vm: RunningVM, request: str) -> None:
    """Tell a VM, as another one would, that a request has crashed two endpoints."""
    for name in ("gone-1", "gone-2"):
        vm.vm.peering.gossip._apply_crash_news(
            [SuspectRequest(request, name), CrashedEndpoint(name)]
        )


async def crash(site: Site, trigger: CrashTrigger, path: str, crashes: int) -> None:
    """Send the request by the first VM until it has crashed endpoints."""
    while len(trigger.crashed_at) < crashes:
        await call(site.vms[0].address, path, body=BODY)
        await asyncio.sleep(PAUSE_S)


async def check_refused(site: Site, trigger: CrashTrigger, path: str) -> None:
    """Check that next to nothing arrives later than a time after the third crash."""
    await send_for(site.vms, path, 2 * STABLE_S)
    assert len(trigger.crashed_at) >= 2
    assert trigger.late_arrivals(STABLE_S) <= ALLOWED_LATE
    assert (await call(site.vms[0].address, path, body=BODY)).status == 503


class TestStandIn:
    """The stand-in crashes under the request, and is back as another start."""

    @pytest.mark.parametrize("returns", [Return.NEW_ID, Return.SAME_ID])
    def test_an_endpoint_crashes_and_comes_back(self, returns: Return) -> None:
        async def test() -> None:
            async with running_site(services=1, runners=0) as site:
                trigger = CrashTrigger(body=BODY, returns=returns, back_s=0.2)
                set_trigger(site.services, trigger)
                vm = site.vms[0]
                before = site.services[0].endpoint_id
                answer = await call(vm.address, "/book/1", body=BODY)
                assert answer.status == 502
                assert len(trigger.crashed_at) == len(trigger.arrived_at) == 1
                endpoints = vm.vm.state.endpoints
                await eventually(lambda: len(endpoints.ready("app")) > 0)
                await eventually(
                    lambda: (
                        before not in [e.endpoint_id for e in endpoints.ready("app")]
                    )
                )
                assert (await call(vm.address, "/book/1")).status == 200

        run(test())


class TestCrashingRequest:
    """One request comes again and again, at any VM."""

    @pytest.mark.parametrize("path", ["/check/1", "/chat/1"])
    def test_it_is_refused_everywhere(self, path: str) -> None:
        """Guards against a request that crashes one endpoint after the other."""

        async def test() -> None:
            async with running_site(vms=3, services=6, runners=6) as site:
                trigger = CrashTrigger(body=BODY)
                set_trigger([*site.services, *site.runners], trigger)
                if path == "/chat/1":
                    await send_for(site.vms, path, 2 * STABLE_S, adapter="a1")
                    assert trigger.late_arrivals(STABLE_S) <= ALLOWED_LATE
                else:
                    await check_refused(site, trigger, path)

        run(test())

    def test_its_crashes_count_while_no_record_expires(self) -> None:
        """Guards against a store outage that hides which endpoints crashed."""

        async def test() -> None:
            async with running_site(vms=3, services=6, runners=0) as site:
                trigger = CrashTrigger(body=BODY, expires_s=None)
                set_trigger(site.services, trigger)
                await check_refused(site, trigger, "/check/1")

        run(test())

    def test_a_run_lost_before_the_call_times_out_is_known(self) -> None:
        """Guards against crashes unseen as the call's next attempt hangs."""

        async def test() -> None:
            async with running_site(services=2, runners=0) as site:
                trigger = CrashTrigger(body=BODY, back_s=0.1, expires_s=0.2)
                set_trigger(site.services[:1], trigger)
                site.services[1].faults.hang = True
                journal = site.vms[0].journal
                lost: list[dict] = []
                for number in range(20):
                    body = BODY + bytes(number)
                    await call(
                        site.vms[0].address, "/check/1", body=body, deadline_ms=400
                    )
                    await asyncio.sleep(trigger.back_s)
                    lost = [
                        line
                        for line in journal.of("request")
                        if line["outcome"] == "timed_out"
                        and line["attempts"][0]["failed"].startswith("no answer: ")
                    ]
                known = [line["id"] for line in journal.of("run_broke_off")]
                assert lost[0]["id"] in known

        run(test())

    def test_a_stream_that_ends_inside_an_event_is_a_lost_run(self) -> None:
        """Guards against crashes unseen where answers have no length."""

        async def test() -> None:
            async with running_site() as site:
                engine = site.runners[0]
                engine.preload("a1")
                engine.faults.unframed = True
                engine.faults.cut_after = 0
                answer = await call(site.vms[0].address, "/chat/1", adapter="a1")
                assert answer.status != 200 or not answer.whole
                assert site.vms[0].journal.of("run_broke_off") != []

        run(test())

    @pytest.mark.parametrize("path", ["/check/1", "/chat/1"])
    def test_requests_that_wait_are_refused_too(self, path: str) -> None:
        """Guards against attempts of requests admitted before the crashes."""

        async def test() -> None:
            async with running_site(services=2, runners=1, load_s=0.5) as site:
                trigger = CrashTrigger(body=BODY)
                set_trigger([*site.services, *site.runners], trigger)
                vm = site.vms[0]
                adapter = "a1" if path == "/chat/1" else None
                for service in site.services:
                    service.faults.room = 0
                waiting = asyncio.create_task(
                    call(vm.address, path, body=BODY, adapter=adapter)
                )
                await asyncio.sleep(0.05)
                tell_of_crashes(vm, fingerprint(HOST, path, BODY))
                for service in site.services:
                    service.faults.room = None
                assert (await waiting).status == 503
                assert trigger.crashed_at == []

        run(test())

    def test_crashes_count_that_only_a_helper_sees(self) -> None:
        """Guards against a VM that sends by way of another and sees no crash."""

        async def test() -> None:
            async with running_site(vms=2, services=6, runners=0) as site:
                trigger = CrashTrigger(body=BODY, returns=Return.NEVER, expires_s=None)
                set_trigger(site.services, trigger)
                cut = site.vms[0]
                with cut_from_endpoints(site, [cut], HANG):
                    for _ in range(5):
                        await call(cut.address, "/check/1", deadline_ms=1000)
                    for _ in range(6):
                        await call(cut.address, "/book/1", body=BODY)
                        await asyncio.sleep(0.5)
                assert len(trigger.crashed_at) == 2

        run(test())

    def test_a_vm_that_starts_later_refuses_it(self) -> None:
        """Guards against evidence that only those have that saw the crashes."""

        async def test() -> None:
            async with running_site(vms=2, services=6, runners=0) as site:
                trigger = CrashTrigger(body=BODY, expires_s=1.0)
                set_trigger(site.services, trigger)
                await crash(site, trigger, "/check/1", 2)
                await asyncio.sleep(STABLE_S)
                started = await site.add_vm("entry-2")
                await eventually(lambda: started.vm.state.serving())
                await asyncio.sleep(1.0)
                arrived = len(trigger.arrived_at)
                await send_for([started], "/check/1", 2.0)
                assert len(trigger.arrived_at) == arrived

        run(test())

    def test_all_vms_restart_and_refuse_it(self) -> None:
        """Guards against evidence that ends with the processes that saw it."""

        async def test() -> None:
            async with running_site(vms=2, services=6, runners=0) as site:
                trigger = CrashTrigger(body=BODY)
                set_trigger(site.services, trigger)
                await check_refused(site, trigger, "/check/1")
                arrived = len(trigger.arrived_at)
                for _ in range(2):
                    for number in range(2):
                        await site.restart_vm(number)
                    await eventually(
                        lambda: all(v.vm.state.serving() for v in site.vms)
                    )
                    await asyncio.sleep(1.0)
                    await send_for(site.vms, "/check/1", STABLE_S / 2)
                assert len(trigger.arrived_at) == arrived

        run(test())
