"""Endpoints that name a limit in their answers, and VMs that share it."""

import asyncio

from bamboovale.standins.platform_endpoints import PlatformEndpoint, PlatformRunner
from tests.gateway_site import CallerAnswer, Site, call, run, running_site

LIMIT_PER_S = 4.0
STABLE_S = 1.0
"""Time after the first naming from which the limit must hold."""
LOAD_S = 5.5
WORK_S = 0.06
"""Time of a plain call, long enough that a VM uses both endpoints."""
LOAD_PER_S = 30.0


async def load(site: Site, path: str, adapter: str | None = None) -> list[CallerAnswer]:
    """Send requests to all VMs in turn at an even rate; return the answers."""
    tasks = []
    for number in range(int(LOAD_S * LOAD_PER_S)):
        address = site.vms[number % len(site.vms)].address
        tasks.append(asyncio.create_task(call(address, path, adapter=adapter)))
        await asyncio.sleep(1 / LOAD_PER_S)
    return list(await asyncio.gather(*tasks))


def served(answers: list[CallerAnswer]) -> float:
    """Return the share of requests with a whole answer."""
    good = sum(answer.status == 200 and answer.whole for answer in answers)
    return good / len(answers)


def used(endpoint: PlatformEndpoint) -> float:
    """Return the share of its limit that the endpoint got."""
    return len(endpoint.signals.arrivals) / (LOAD_S * LIMIT_PER_S)


async def engine_with(site: Site, adapter: str) -> PlatformRunner:
    """Have the adapter loaded at one engine, known to every VM; return the engine."""
    for item in site.vms:
        answer = await call(item.address, "/chat/1", adapter=adapter)
        assert answer.status == 200
    holders = [item for item in site.runners if adapter in item.version_by_adapter]
    assert len(holders) == 1
    return holders[0]


class TestLimitedEngine:
    """One of two engines names a limit; it alone holds the adapter at first."""

    def test_an_engine_gets_no_more_than_its_limit_from_all_vms(self) -> None:
        """Guards against overloading an engine that has told how much it takes."""

        async def test() -> None:
            async with running_site(vms=3, runners=2) as site:
                limited = await engine_with(site, "a1")
                limited.signals.set_limit(LIMIT_PER_S)
                answers = await load(site, "/chat/1", "a1")
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
                for service in site.services:
                    service.faults.event_s = WORK_S
                site.services[0].signals.set_limit(LIMIT_PER_S)
                answers = await load(site, "/book/1")
                signals = site.services[0].signals
                assert list(signals.limit_violations(STABLE_S)) == []
                assert served(answers) > 0.97
                assert used(site.services[0]) > 0.5

        run(test())
