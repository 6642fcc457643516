"""Places at plain endpoints that one entry VM grants to all: whole VMs."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from bamboovale.routed_vm import SHARED_PLACES, ProcessOptions
from tests.gateway_site import RunningVM, Site, call, eventually, run, running_site

VMS = 3
NOTICE_S = 1.0
"""Some polls: a VM that has just got the partition notices at its next one."""


@asynccontextmanager
async def site_of_few_places(*, shares_places: bool = True) -> AsyncIterator[Site]:
    """Run VMs that outnumber the places of their service, and know its granter."""
    async with running_site(VMS, 0, 2, shares_places=shares_places) as site:
        for service in site.services:
            service.slots = 1
            await service.register("ready")
        await eventually(lambda: all(places_of(item) == 2 for item in site.vms))
        if shares_places:
            await eventually(lambda: site_granter(site) is not None)
        yield site


def places_of(item: Any) -> int:
    """Return how many places a VM knows."""
    return sum(record.slots for record in item.vm.state.endpoints.ready("app"))


def granters(site: Site) -> list[str | None]:
    """Return the VM that each VM takes for the granter."""
    return [item.vm._shared_places._lookup.granter_of("app") for item in site.vms]


def site_granter(site: Site) -> str | None:
    """Return the VM that all VMs take for the granter, None if they differ."""
    known = set(granters(site))
    return known.pop() if len(known) == 1 else None


def places_in_use(site: Site) -> int:
    """Return how many places are granted."""
    return sum(
        endpoint["used"]
        for item in site.vms
        for service in item.vm.dump()["shared_places"]["granted"].values()
        for endpoint in service["endpoints"].values()
    )


def split_by_granter(site: Site) -> tuple[RunningVM, list[RunningVM]]:
    """Return the VM that grants places, and the others."""
    [granter] = [i for i in site.vms if i.node.name == site_granter(site)]
    return granter, [item for item in site.vms if item is not granter]


async def kill(site: Site, item: RunningVM) -> None:
    """End a VM's process without notice."""
    item.task.cancel()
    await asyncio.gather(item.task, return_exceptions=True)
    await item.vm.close()
    site.vms.remove(item)


def is_granted_by_another(site: Site, killed: RunningVM) -> bool:
    """Return whether all VMs take the same VM for the granter, and not this one."""
    return site_granter(site) not in (None, killed.node.name)


def have_noticed_granters(site: Site) -> bool:
    """Return whether each VM has told which granter it takes now."""
    noticed = {
        (line["vm"], line["granter"])
        for line in site.lines()
        if line["event"] == "shared_places_granter"
    }
    known = zip(site.vms, granters(site), strict=True)
    return noticed >= {(item.node.name, granter) for item, granter in known}


async def hanging_call(site: Site, asking: RunningVM) -> "asyncio.Task[Any]":
    """Start a call that gets a place and no answer."""
    await call(asking.address, "/book/1")
    await eventually(lambda: places_in_use(site) == 0)
    for service in site.services:
        service.faults.hang = True
    answer = asyncio.create_task(call(asking.address, "/book/1"))
    await eventually(lambda: places_in_use(site) == 1)
    return answer


def outcomes(site: Site) -> Counter[tuple[str, str | None]]:
    """Return outcome and granter of the requests for places, from log lines."""
    return Counter(
        (place["outcome"], place["granter"])
        for line in site.lines()
        if line["event"] == "request"
        for place in line.get("places", [])
    )


async def call_all(site: Site) -> list[int]:
    """Return the statuses of calls that all VMs get at once."""
    answers = await asyncio.gather(
        *(call(item.address, "/book/1") for item in site.vms for _ in range(4))
    )
    return [answer.status for answer in answers]


class TestSharedPlaces:
    """Calls at a service with fewer places than VMs."""

    def test_one_vm_grants_places_and_gets_them_back(self) -> None:
        async def test() -> None:
            async with site_of_few_places() as site:
                granter = site_granter(site)
                for _ in range(3):
                    assert set(await call_all(site)) == {200}
                assert outcomes(site)["granted", granter] > 2 * 4 * VMS
                await eventually(lambda: places_in_use(site) == 0)

        run(test())

    def test_calls_are_answered_when_the_granter_is_killed(self) -> None:
        """Guards against calls that are lost with the VM that grants places."""

        async def test() -> None:
            async with site_of_few_places() as site:
                killed, _ = split_by_granter(site)
                await call_all(site)
                await kill(site, killed)
                assert set(await call_all(site)) == {200}
                await eventually(lambda: is_granted_by_another(site, killed))
                assert set(await call_all(site)) == {200}
                assert outcomes(site)["granted", site_granter(site)] > 0

        run(test())

    def test_vms_without_calls_notice_a_new_granter(self) -> None:
        """Guards against calls in progress that a new granter never hears of."""

        async def test() -> None:
            async with site_of_few_places() as site:
                killed, _ = split_by_granter(site)
                await call_all(site)
                await kill(site, killed)
                await eventually(lambda: is_granted_by_another(site, killed))
                await eventually(lambda: have_noticed_granters(site), NOTICE_S)

        run(test())

    def test_the_places_of_a_vm_that_restarts_are_freed(self) -> None:
        """Guards against places that are lost until the deadlines of their calls."""

        async def test() -> None:
            async with site_of_few_places() as site:
                _, [asking, _] = split_by_granter(site)
                answer = await hanging_call(site, asking)
                # A killed process releases nothing.
                asking.vm.links.notify = lambda vm_id, message: None  # type: ignore[method-assign]
                await site.restart_vm(site.vms.index(asking))
                await eventually(lambda: places_in_use(site) == 0, 1.5)
                answer.cancel()

        run(test())

    def test_nothing_is_asked_while_the_setting_is_off(self) -> None:
        async def test() -> None:
            async with site_of_few_places(shares_places=False) as site:
                assert set(await call_all(site)) == {200}
                assert not outcomes(site)
                dump = site.vms[0].vm.dump()["shared_places"]
                assert dump == {"granted": {}, "granters": {}}

        run(test())


class TestSetting:
    """The setting of the process."""

    @pytest.mark.parametrize("value", ["", "yes"])
    def test_another_value_is_a_finding(self, value: str) -> None:
        options = ProcessOptions.from_environment({SHARED_PLACES: value})
        places = [finding.place for finding in options.unwrap_err()]
        assert "shared-places" in places
        usual = ProcessOptions.from_environment({}).unwrap_err()
        assert "shared-places" not in [finding.place for finding in usual]


def forget_holders(site: Site) -> None:
    """Let no VM know a holder of partitions, as while the store is away."""
    for item in site.vms:
        item.vm.state.fleet.partition_holder = lambda number: None
        item.vm._shared_places._lookup._partitions = NoPartitions()


class NoPartitions:
    """A VM holds nothing in the store."""

    def held_partitions(self) -> frozenset[int]:
        """Return none."""
        return frozenset()


class TestNoHolder:
    """The store names no granter."""

    def test_the_vms_agree_on_one_that_grants(self) -> None:
        """Guards against full endpoints until the store is back."""

        async def test() -> None:
            async with site_of_few_places() as site:
                forget_holders(site)
                assert site_granter(site) is not None
                for item in site.vms:
                    assert (await call(item.address, "/book/1")).status == 200
                outcomes = [
                    place["outcome"]
                    for item in site.vms
                    for line in item.journal.of("request")
                    for place in line.get("places", [])
                ]
                assert outcomes == ["granted"] * VMS

        run(test())

    def test_a_vm_that_has_met_few_others_takes_none_for_the_granter(self) -> None:
        """Guards against VMs that each grant all places as they start."""

        async def test() -> None:
            async with site_of_few_places() as site:
                forget_holders(site)
                fleet = site.vms[0].vm.state.fleet
                fleet.expected_size = lambda: 2 * fleet.size()
                assert granters(site)[0] is None

        run(test())
