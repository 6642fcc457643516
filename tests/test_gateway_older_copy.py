"""VMs whose metadata store returns from an older copy."""

import asyncio
import time
from collections.abc import Sequence

import pytest

from bamboovale.crashes.records import Refused
from bamboovale.standins.platform_endpoints import PlatformEndpoint
from bamboovale.standins.platform_store import PlatformStore, StoreCopy
from bamboovale.store.position import Position
from tests.gateway_site import (
    Site,
    call,
    configuration,
    eventually,
    run,
    running_site,
)

DRAIN_S = 2.0
"""Time after the word that an endpoint leaves from which no request may reach it."""
REWRITE_S = 1.0
SERVERS = "keyed.servers"
ENTRIES = "keyed.entries"
VMS = 3


def end_of(store: PlatformStore, topic: str) -> int:
    """Return the end of a topic."""
    return store._topic(topic).end


async def all_read(site: Site, topic: str) -> None:
    """Wait until every VM has read a topic to its end."""
    followers = [
        follower
        for vm in site.vms
        for follower in vm.vm.records.followers()
        if follower.topic == topic
    ]
    end = Position.at(site.store.era or 0, end_of(site.store, topic))
    await eventually(lambda: all(f.changes.next_offset >= end for f in followers))


async def write_some(site: Site, count: int) -> None:
    """Have records of endpoints written that change nothing."""
    for _ in range(count):
        await site.services[-1].register("ready")


async def arrivals(site: Site, endpoint: PlatformEndpoint, seconds: float) -> int:
    """Call all VMs for a while; return how many calls reached an endpoint."""
    before = len(endpoint.signals.arrivals)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for vm in site.vms:
            await call(vm.address, "/check/1", method="GET")
        await asyncio.sleep(0.02)
    return len(endpoint.signals.arrivals) - before


def knows(site: Site, endpoint_id: str, *, ready: bool) -> bool:
    """Return whether every VM knows an endpoint as ready or not."""
    views = [vm.vm.state.endpoints for vm in site.vms]
    return all(
        endpoint_id in view.record_by_id and view.is_ready(endpoint_id) is ready
        for view in views
    )


async def check_never_ready(site: Site, endpoint_id: str, seconds: float) -> None:
    """Check for a while that no VM believes that an endpoint accepts new work."""
    views = [vm.vm.state.endpoints for vm in site.vms]
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        assert not any(view.is_ready(endpoint_id) for view in views)
        await asyncio.sleep(0.02)


class TestReusedOffsets:
    """The store gives out again the offsets that the VMs have read."""

    @pytest.mark.parametrize("above", [0, 1, 3])
    def test_an_endpoint_that_leaves_at_a_reused_offset_gets_no_calls(
        self, above: int
    ) -> None:
        """Guards against readers that ask by offset alone and miss what is written."""

        async def test() -> None:
            async with running_site(VMS, services=2, runners=0) as site:
                older = site.store.keep_copy()
                await write_some(site, 4)
                await all_read(site, SERVERS)
                end = end_of(site.store, SERVERS)
                await site.store.return_from(older)
                await site.services[0].register("draining")
                await write_some(site, end + above - end_of(site.store, SERVERS))
                await asyncio.sleep(DRAIN_S)
                assert await arrivals(site, site.services[0], 1.0) == 0

        run(test())

    @pytest.mark.parametrize("above", [0, 1])
    def test_a_configuration_at_a_reused_offset_is_taken(self, above: int) -> None:
        """Guards against a configuration that no VM ever reads."""

        async def test() -> None:
            async with running_site(VMS, services=1, runners=0) as site:
                older = site.store.keep_copy()
                for version in range(2, 5):
                    await site.store.put("keyed.op", "config", configuration(version))
                await all_read(site, "keyed.op")
                await site.store.return_from(older)
                for version in range(5, 8 + above):
                    await site.store.put("keyed.op", "config", configuration(version))
                await eventually(
                    lambda: all(
                        vm.vm.state.table.version == 7 + above for vm in site.vms
                    ),
                    timeout_s=4.0,
                )

        run(test())

    def test_two_returns_in_a_row_are_read_without_a_burst_of_calls(self) -> None:
        """Guards against a reader that asks again and again from where nothing is."""

        async def test() -> None:
            async with running_site(VMS, services=2, runners=0) as site:
                older = site.store.keep_copy()
                await write_some(site, 20)
                await site.store.put("keyed.op", "config", configuration(2))
                await all_read(site, SERVERS)
                await all_read(site, "keyed.op")
                await site.store.return_from(older)
                await asyncio.sleep(0.1)
                await site.store.return_from(older)
                before = len(site.store.calls)
                await asyncio.sleep(2.0)
                assert len(site.store.calls) - before < VMS * 2.0 * 15
                await site.services[0].register("draining")
                await asyncio.sleep(DRAIN_S)
                assert await arrivals(site, site.services[0], 0.5) == 0

        run(test())


class TestAcknowledgedThenLost:
    """What the VMs have read is not in the copy."""

    def test_an_endpoint_that_leaves_stays_so(self) -> None:
        """Guards against a copy that tells of an endpoint as ready again."""

        async def test() -> None:
            async with running_site(VMS, services=2, runners=0) as site:
                leaving = site.services[0]
                older = site.store.keep_copy()
                await leaving.register("draining")
                await eventually(lambda: knows(site, leaving.endpoint_id, ready=False))
                await site.store.return_from(older)
                await check_never_ready(site, leaving.endpoint_id, 3.0)
                await site.store.write_again()
                assert await arrivals(site, leaving, 1.0) == 0

        run(test())

    def test_an_endpoint_that_was_removed_stays_so(self) -> None:
        """Guards against a copy that holds an endpoint that is gone."""

        async def test() -> None:
            async with running_site(VMS, services=2, runners=0) as site:
                gone = site.services[0]
                older = site.store.keep_copy()
                await asyncio.sleep(3.0)
                await gone.unregister()
                views = [vm.vm.state.endpoints for vm in site.vms]
                await eventually(
                    lambda: all(gone.endpoint_id not in v.record_by_id for v in views)
                )
                await site.store.return_from(older)
                await check_never_ready(site, gone.endpoint_id, 3.0)
                assert gone.endpoint_id in site.store._topic(SERVERS).newest
                await gone.register("ready")
                await eventually(lambda: knows(site, gone.endpoint_id, ready=True))

        run(test())

    def test_an_endpoint_that_the_copy_lacks_is_used_until_it_is_back(self) -> None:
        """Guards against dropping endpoints whose records are about to be written."""

        async def test() -> None:
            async with running_site(VMS, services=1, runners=0) as site:
                older = site.store.keep_copy()
                await asyncio.sleep(3.0)
                await site.add_service("service-new")
                await eventually(lambda: knows(site, "service-new", ready=True))
                await site.store.return_from(older)
                until = time.monotonic() + REWRITE_S
                while time.monotonic() < until:
                    assert knows(site, "service-new", ready=True)
                    await asyncio.sleep(0.05)
                await site.store.write_again()
                await asyncio.sleep(3.0)
                assert knows(site, "service-new", ready=True)

        run(test())

    def test_an_endpoint_that_is_not_written_again_is_dropped(self) -> None:
        """Guards against endpoints that are believed in for ever."""

        async def test() -> None:
            async with running_site(VMS, services=1, runners=0) as site:
                older = site.store.keep_copy()
                await site.add_service("service-new")
                await eventually(lambda: knows(site, "service-new", ready=True))
                await site.store.return_from(older)
                views = [vm.vm.state.endpoints for vm in site.vms]
                await eventually(
                    lambda: all("service-new" not in v.record_by_id for v in views)
                )

        run(test())

    def test_an_older_configuration_is_not_in_force_again(self) -> None:
        """Guards against the configuration of the copy."""

        async def test() -> None:
            async with running_site(VMS, services=1, runners=0) as site:
                older = site.store.keep_copy()
                await site.store.put("keyed.op", "config", configuration(2))
                await all_read(site, "keyed.op")
                await site.store.return_from(older)
                await asyncio.sleep(2.0)
                assert [vm.vm.state.table.version for vm in site.vms] == [2] * VMS

        run(test())


class TestWrittenByVMs:
    """What the VMs wrote is not in the copy."""

    def test_addresses_are_written_again(self) -> None:
        """Guards against a VM that starts and finds no others."""

        async def test() -> None:
            async with running_site(VMS, services=1, runners=0) as site:
                older = StoreCopy({}, {})
                await site.store.return_from(older)
                await site.store.write_again()
                names = {vm.node.name for vm in site.vms}
                await eventually(
                    lambda: site.store._topic(ENTRIES).newest.keys() >= names
                )

        run(test())

    def test_refusals_are_written_again(self) -> None:
        """Guards against evidence that the store's copy and a restart take away."""

        async def test() -> None:
            async with running_site(VMS, services=1, runners=0) as site:
                older = site.store.keep_copy()
                for vm in site.vms:
                    vm.vm._crashes.on_record(Refused("subject", 2))
                await site.store.return_from(older)
                await site.store.write_again()
                await eventually(
                    lambda: "crash:subject" in site.store._topic(ENTRIES).newest
                )

        run(test())

    @pytest.mark.parametrize("rises", [1, 4])
    def test_owners_go_on_ordering(self, rises: int) -> None:
        """Guards against owners whose orders engines refuse as those of older ones."""

        async def test() -> None:
            async with running_site(VMS, services=0, runners=3) as site:
                older = site.store.keep_copy()
                for _ in range(rises):
                    site.store.reassign_partitions("engine-owners")
                    await asyncio.sleep(1.0)
                for number in range(6):
                    path, adapter = "/chat/1", f"a{number}"
                    await call(site.vms[0].address, path, adapter=adapter)
                ordered = [len(runner.orders) for runner in site.runners]
                await site.store.return_from(older)
                await site.store.write_again()
                await asyncio.sleep(3.0)
                statuses = [
                    (await call(vm.address, "/chat/1", adapter=f"a{number}")).status
                    for number in range(10, 22)
                    for vm in site.vms[number % VMS :][:1]
                ]
                assert statuses == [200] * len(statuses)
                assert refused_orders(site, ordered) == 0

        run(test())


def refused_orders(site: Site, before: Sequence[int]) -> int:
    """Return how many orders engines have refused as fenced since a count."""
    return sum(
        order.status == 412
        for runner, count in zip(site.runners, before, strict=True)
        for order in runner.orders[count:]
    )


class TestWithoutEra:
    """The platform's answers carry no number of the era."""

    def test_the_first_return_is_seen_where_it_brings_the_first_number(self) -> None:
        """Guards against a first number that is taken for the one of the start."""

        async def test() -> None:
            async with running_site(VMS, services=2, runners=0, era=None) as site:
                older = StoreCopy({}, {})
                await write_some(site, 4)
                await all_read(site, SERVERS)
                site.store.era = 0
                await site.store.return_from(older)
                await site.store.write_again()
                names = {vm.node.name for vm in site.vms}
                await eventually(
                    lambda: site.store._topic(ENTRIES).newest.keys() >= names
                )
                assert [vm.vm.state.eras.returns for vm in site.vms] == [1] * VMS

        run(test())

    def test_changes_are_read_as_before(self) -> None:
        async def test() -> None:
            async with running_site(VMS, services=2, runners=0, era=None) as site:
                await site.services[0].register("draining")
                await asyncio.sleep(DRAIN_S)
                assert await arrivals(site, site.services[0], 0.5) == 0

        run(test())
