"""An even load on all VMs of a small deployment, for endpoints that send signals."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from bamboovale.standins.platform_endpoints import PlatformEndpoint
from bamboovale.standins.platform_runner import PlatformRunner
from tests.gateway_site import CallerAnswer, Site, call, running_site

LOAD_PER_S = 30.0
WORK_S = 0.06
"""Time of a plain call, long enough that a VM uses both endpoints."""


async def load(
    site: Site, path: str, seconds: float, adapter: str | None = None
) -> list[CallerAnswer]:
    """Send requests to all VMs in turn at an even rate; return the answers."""
    tasks = []
    for number in range(int(seconds * LOAD_PER_S)):
        address = site.vms[number % len(site.vms)].address
        tasks.append(asyncio.create_task(call(address, path, adapter=adapter)))
        await asyncio.sleep(1 / LOAD_PER_S)
    return list(await asyncio.gather(*tasks))


def served(answers: list[CallerAnswer]) -> float:
    """Return the share of requests with a whole answer."""
    good = sum(answer.status == 200 and answer.whole for answer in answers)
    return good / len(answers)


async def engine_with(site: Site, adapter: str) -> PlatformRunner:
    """Have the adapter loaded at one engine, known to every VM; return the engine."""
    for item in site.vms:
        answer = await call(item.address, "/chat/1", adapter=adapter)
        assert answer.status == 200
    holders = [item for item in site.runners if adapter in item.version_by_adapter]
    assert len(holders) == 1
    return holders[0]


def slow_services(site: Site) -> None:
    """Have each plain call take ``WORK_S``."""
    for service in site.services:
        service.faults.event_s = WORK_S


@dataclass(frozen=True)
class OneOfTwo:
    """One of two endpoints of a service, and the requests that lead to it."""

    site: Site
    endpoint: PlatformEndpoint
    path: str
    adapter: str | None = None

    async def load(self, seconds: float) -> list[CallerAnswer]:
        """Send requests that either endpoint can answer; return the answers."""
        return await load(self.site, self.path, seconds, self.adapter)


@asynccontextmanager
async def one_of_two_engines() -> AsyncIterator[OneOfTwo]:
    """Run three VMs and two engines; the one yielded holds the adapter."""
    async with running_site(vms=3, runners=2) as site:
        engine = await engine_with(site, "a1")
        yield OneOfTwo(site, engine, "/chat/1", "a1")


@asynccontextmanager
async def one_of_two_services() -> AsyncIterator[OneOfTwo]:
    """Run three VMs and two plain endpoints whose calls take some time."""
    async with running_site(vms=3, services=2) as site:
        slow_services(site)
        yield OneOfTwo(site, site.services[0], "/book/1")
