"""Retries of all entry VMs together, counted at endpoints that turn requests away."""

import asyncio
import time

from bamboovale.standins.platform_endpoints import PlatformEndpoint
from bamboovale.standins.retry_arrivals import RetryBound, retry_violations
from tests.gateway_site import Site, call, eventually, run, running_site

BOUND = RetryBound(ratio=0.2, burst=12.0, window_s=10.0)
SETTINGS = {
    "retry-ratio": BOUND.ratio,
    "retry-burst": BOUND.burst,
    "retry-window-s": BOUND.window_s,
}
VMS = 3
REQUESTS = 12
"""Requests sent to each VM at once."""
STARTS = 3


async def turned_away(site: Site, path: str, adapter: str | None) -> list[float]:
    """Send requests to every VM at once; return when they were sent."""
    sent_at = [time.monotonic()] * (REQUESTS * len(site.vms))
    await asyncio.gather(
        *(
            call(item.address, path, adapter=adapter)
            for item in site.vms
            for _ in range(REQUESTS)
        )
    )
    return sent_at


async def configured(site: Site) -> None:
    """Wait until every VM knows the configuration and the endpoints."""
    endpoints = len(site.runners) + len(site.services)
    await eventually(lambda: all(item.vm.state.table for item in site.vms))
    await eventually(
        lambda: all(
            len(item.vm.state.endpoints.record_by_id) == endpoints for item in site.vms
        )
    )


def violations(endpoints: list[PlatformEndpoint], sent_at: list[float]) -> list[str]:
    """Return the windows in which a service got too many retries."""
    arrivals = [
        arrival for endpoint in endpoints for arrival in endpoint.signals.arrivals
    ]
    return list(retry_violations(arrivals, sent_at, BOUND))


class TestRetriesOfAFleet:
    """All endpoints of a service turn everything away, also while VMs start."""

    def test_processes_that_start_in_series_share_one_budget(self) -> None:
        """Guards against processes that know nothing of the retries of others."""

        async def test() -> None:
            async with running_site(vms=VMS, services=3, bounds=SETTINGS) as site:
                for service in site.services:
                    service.faults.refuse = True
                sent_at = await turned_away(site, "/check/1", None)
                for _ in range(STARTS):
                    for number in range(VMS):
                        await site.restart_vm(number)
                    await configured(site)
                    sent_at += await turned_away(site, "/check/1", None)
                assert violations(site.services, sent_at) == []

        run(test())

    def test_vms_that_cannot_hear_one_another_share_one_budget(self) -> None:
        """Guards against VMs that each take the whole fixed part for themselves."""

        async def test() -> None:
            async with running_site(vms=0, runners=0, services=3) as site:
                for service in site.services:
                    service.faults.refuse = True
                for number in range(4 * VMS):
                    name = f"entry-{number}"
                    await site.add_vm(name, peer_key=f"key-of-{name}", **SETTINGS)
                await configured(site)
                await asyncio.sleep(BOUND.window_s)
                sent_at = await turned_away(site, "/check/1", None)
                assert violations(site.services, sent_at) == []

        run(test())

    def test_attempts_that_reach_no_endpoint_need_no_budget(self) -> None:
        """Guards against calls that fail while a VM could reach another endpoint."""

        async def test() -> None:
            bounds = {"retry-ratio": 0.0, "retry-burst": 0}
            async with running_site(services=3, bounds=bounds) as site:
                for service in site.services[:2]:
                    service.crash()
                answers = [await call(site.vms[0].address, "/check/1") for _ in "12345"]
                assert [answer.status for answer in answers] == [200] * len(answers)

        run(test())

    def test_streams_after_starts_in_series_share_one_budget(self) -> None:
        """Guards against streams sent on and on to engines that take none."""

        async def test() -> None:
            async with running_site(vms=VMS, runners=3, bounds=SETTINGS) as site:
                for runner in site.runners:
                    runner.faults.refuse = True
                sent_at = await turned_away(site, "/chat/1", "a1")
                for _ in range(STARTS):
                    for number in range(VMS):
                        await site.restart_vm(number)
                    await site.ready()
                    sent_at += await turned_away(site, "/chat/1", "a1")
                assert violations(list(site.runners), sent_at) == []

        run(test())
