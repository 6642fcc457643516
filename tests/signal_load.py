"""An even load on all VMs of a small deployment, for endpoints that send signals."""

import asyncio

from bamboovale.standins.platform_runner import PlatformRunner
from tests.gateway_site import CallerAnswer, Site, call

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
