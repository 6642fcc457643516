"""Brittle endpoints, which fall over if they must turn many requests away."""

import asyncio

from bamboovale.decisions.brittle_endpoints import BrittleEndpoints
from tests.gateway_site import CallerAnswer, Site, call, run, running_site
from tests.signal_load import served, slow_services

BEARS_PER_S = 4.0
ROOM = 3
BURST = 4
"""Calls sent to each VM at once."""
BURSTS = 20
MAX_FALLS = 2.0
MAX_FALLS_PER_ENDPOINT = 0.1


async def bursts(site: Site) -> list[CallerAnswer]:
    """Send bursts of calls to all VMs at once; return the answers."""
    answers: list[CallerAnswer] = []
    for _ in range(BURSTS):
        answers += await asyncio.gather(
            *(call(item.address, "/book/1") for item in site.vms for _ in range(BURST))
        )
        await asyncio.sleep(0.1)
    return answers


class TestBrittlePool:
    """All endpoints of a service are brittle, and let few requests wait."""

    def test_they_fall_over_no_more_often_than_allowed(self) -> None:
        """Guards against bursts that topple endpoints which say that they are weak."""

        async def test() -> None:
            async with running_site(vms=3, services=3) as site:
                slow_services(site)
                for service in site.services:
                    service.signals.bears_per_s = BEARS_PER_S
                for item in site.vms:
                    for _ in range(6):
                        await call(item.address, "/check/1")
                for service in site.services:
                    service.faults.room = ROOM
                answers = await bursts(site)
                falls = sum(service.signals.falls() for service in site.services)
                assert falls <= MAX_FALLS + MAX_FALLS_PER_ENDPOINT * len(site.services)
                assert served(answers) > 0.5

        run(test())


class TestBrittleEndpoints:
    """What a VM may have under way at a brittle endpoint."""

    def test_its_part_of_the_slots_and_at_least_one(self) -> None:
        brittle = BrittleEndpoints()
        assert brittle.most_under_way("a", 6, 3, 0.0) is None
        assert brittle.on_answer("a", 5.0, 0.0, 0.0)
        assert brittle.most_under_way("a", 6, 3, 0.0) == 2
        assert brittle.most_under_way("a", 6, 60, 0.0) == 1

    def test_all_vms_together_cause_half_of_what_it_bears(self) -> None:
        """Guards against VMs that each spend the whole of what an endpoint bears."""
        brittle = BrittleEndpoints()
        brittle.on_answer("a", 8.0, 0.0, 0.0)
        brittle.on_rejected("a", 3, 4, 1.0)
        assert brittle.wait_s("a", 1.0) == 1.0
        assert brittle.wait_s("a", 2.0) == 0.0
        assert brittle.most_under_way("a", 64, 4, 1.0) == 1

    def test_it_ends_with_an_answer_without_the_signal(self) -> None:
        brittle = BrittleEndpoints()
        brittle.on_answer("a", 8.0, 0.0, 0.5)
        assert not brittle.on_answer("a", None, 0.4, 0.6)
        assert brittle.on_answer("a", None, 0.7, 0.8)
        assert brittle.brittle_ids() == set()
