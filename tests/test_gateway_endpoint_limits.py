"""Endpoints that name a limit in their answers, and VMs that share it."""

import asyncio
import time

from bamboovale.standins.platform_endpoints import PlatformEndpoint
from tests.gateway_site import RunningVM, Site, call, eventually, run, running_site
from tests.signal_load import engine_with, load, served, slow_services

LIMIT_PER_S = 4.0
STABLE_S = 1.0
"""Time after the first naming from which the limit must hold."""
LOAD_S = 5.5
PAUSE_S = 0.5
"""Time for which the event loop of all VMs stands still."""


def used(endpoint: PlatformEndpoint) -> float:
    """Return the share of its limit that the endpoint got."""
    return len(endpoint.signals.arrivals) / (LOAD_S * LIMIT_PER_S)


class TestLimitedEngine:
    """One of two engines names a limit; it alone holds the adapter at first."""

    def test_an_engine_gets_no_more_than_its_limit_from_all_vms(self) -> None:
        """Guards against overloading an engine that has told how much it takes."""

        async def test() -> None:
            async with running_site(vms=3, runners=2) as site:
                limited = await engine_with(site, "a1")
                limited.signals.set_limit(LIMIT_PER_S)
                answers = await load(site, "/chat/1", LOAD_S, "a1")
                assert list(limited.signals.limit_violations(STABLE_S)) == []
                assert served(answers) > 0.97
                assert used(limited) > 0.5

        run(test())


class TestLimitedPlainEndpoint:
    """One of two endpoints of a plain service names a limit."""

    def test_a_plain_endpoint_gets_no_more_than_its_limit_from_all_vms(self) -> None:
        """Guards against overloading an endpoint that has told how much it takes."""

        async def test() -> None:
            async with running_site(vms=3, services=2) as site:
                slow_services(site)
                site.services[0].signals.set_limit(LIMIT_PER_S)
                answers = await load(site, "/book/1", LOAD_S)
                signals = site.services[0].signals
                assert list(signals.limit_violations(STABLE_S)) == []
                assert served(answers) > 0.97
                assert used(site.services[0]) > 0.5

        run(test())

    def test_a_pause_of_the_vms_refuses_no_calls(self) -> None:
        """Guards against an endpoint ejected as slow while the other has a limit."""

        async def test() -> None:
            async with running_site(vms=3, services=2) as site:
                slow_services(site)
                site.services[0].signals.set_limit(LIMIT_PER_S)
                loop = asyncio.get_running_loop()
                loop.call_later(LOAD_S / 2, time.sleep, PAUSE_S)
                answers = await load(site, "/book/1", LOAD_S)
                assert served(answers) > 0.97

        run(test())


class TestNews:
    """What VMs hear of a limit from one another."""

    def test_a_vm_that_starts_later_hears_of_a_limit_and_of_its_end(self) -> None:
        """Guards against a VM that starts and sends as if there were no limit."""

        async def test() -> None:
            async with running_site(vms=2, services=1) as site:
                signals = site.services[0].signals
                signals.set_limit(LIMIT_PER_S)
                assert (await call(site.vms[0].address, "/book/1")).status == 200
                await site.add_vm("entry-2")
                await eventually(lambda: limits_known(site) == [LIMIT_PER_S] * 3)
                signals.set_limit(None)
                await eventually_free(site, site.vms[0])

        run(test())


def limits_known(site: Site) -> list[float | None]:
    """Return the limit that each VM knows of the first plain endpoint."""
    return [item.vm.state.limits.limit_per_s("service-0") for item in site.vms]


async def eventually_free(site: Site, sharing: RunningVM) -> None:
    """Call the endpoint until every VM knows that its limit has ended."""
    for _ in range(50):
        await call(sharing.address, "/book/1")
        if limits_known(site) == [None] * len(site.vms):
            return
        await asyncio.sleep(0.05)
    raise AssertionError("not all VMs know that the limit has ended")
