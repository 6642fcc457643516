"""Endpoints that name a limit in their answers, and VMs that share it."""

from bamboovale.standins.platform_endpoints import PlatformEndpoint
from tests.gateway_site import run, running_site
from tests.signal_load import engine_with, load, served, slow_services

LIMIT_PER_S = 4.0
STABLE_S = 1.0
"""Time after the first naming from which the limit must hold."""
LOAD_S = 5.5


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
