"""Tests of entry VMs while the store is unreachable for some or all of them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from bamboovale.fleet.neighbours import RECENT_S
from tests.gateway_site import (
    RunningVM,
    Site,
    call,
    configuration,
    eventually,
    proxy_of_store,
    run,
    running_site,
)

REMOVAL_S = 2.0
"""Time after which an endpoint that left must get no more calls."""
RECOVERY_S = 3.0
"""Time after an outage, or after connections died, until all bounds hold again."""


@asynccontextmanager
async def one_vm_without_store(site: Site) -> AsyncIterator[RunningVM]:
    """Add a VM and cut only its connection to the store."""
    proxy = await proxy_of_store(site)
    vm = await site.add_vm("cut-off", store=proxy.address)
    await site.ready()
    proxy.faults.refuse = True
    proxy.reset()
    await eventually(lambda: vm.journal.of("store_lost"))
    yield vm
    proxy.close()


def _version(vm: RunningVM) -> int | None:
    return vm.vm.state.table.version if vm.vm.state.table else None


class TestOneVMWithoutStore:
    """One VM cannot reach the store, which serves all others."""

    def test_an_endpoint_that_left_gets_no_calls_from_a_vm_without_store(self) -> None:
        """Guards against treating a cut of one VM as an outage of the store."""

        async def test() -> None:
            async with (
                running_site(vms=2, services=2) as site,
                one_vm_without_store(site) as cut_off,
            ):
                await asyncio.sleep(1.0)
                left = site.services[0]
                await left.unregister()
                await asyncio.sleep(REMOVAL_S)
                calls_before = len(left.runs)
                for _ in range(8):
                    answer = await call(cut_off.address, "/check/1")
                    assert answer.status == 200
                assert len(left.runs) == calls_before
                assert "service-0" not in cut_off.vm.dump()["endpoints"]

        run(test())


class TestRecoveryOfTheStore:
    """The store answers again after an outage for all VMs."""

    def test_a_change_right_after_an_outage_applies_in_time(self) -> None:
        """Guards against waiting for a read whose answer was lost in the outage."""

        async def test() -> None:
            async with running_site(vms=2, behind_proxy=True) as site:
                site.store.faults.mode = "silent"
                site.store_proxy.reset()
                await asyncio.sleep(2.0)
                site.store.faults.mode = "ok"
                await site.store.put("keyed.op", "config", configuration(version=2))
                await eventually(
                    lambda: all(_version(vm) == 2 for vm in site.vms),
                    timeout_s=RECOVERY_S,
                )

        run(test())

    def test_a_change_applies_although_open_connections_are_dead(self) -> None:
        """Guards against waiting for a long-poll read on a dead connection."""

        async def test() -> None:
            async with running_site(vms=2, behind_proxy=True) as site:
                site.store_proxy.silence_open()
                await site.store.put("keyed.op", "config", configuration(version=2))
                await eventually(
                    lambda: all(_version(vm) == 2 for vm in site.vms),
                    timeout_s=RECOVERY_S,
                )

        run(test())

    def test_a_leaving_endpoint_is_known_although_connections_are_dead(self) -> None:
        """Guards against calls to a leaving endpoint whose record is read late."""

        async def test() -> None:
            async with running_site(vms=2, services=2, behind_proxy=True) as site:
                site.store_proxy.silence_open()
                left = site.services[0]
                await left.register("draining")
                await asyncio.sleep(RECOVERY_S)
                calls_before = len(left.runs)
                for _ in range(8):
                    await call(site.vms[0].address, "/check/1")
                assert len(left.runs) == calls_before

        run(test())


class TestOutageReporting:
    """What operators see while the store is unreachable."""

    def test_a_read_without_answer_is_in_dump_and_metrics(self) -> None:
        """Guards against a lost answer that no log, dump or metric shows."""

        async def test() -> None:
            async with running_site() as site:
                vm = site.vms[0].vm
                await asyncio.sleep(0.3)
                read = vm.dump()["store_reads"]["keyed.op"]
                assert read["open_s"] >= 0.2
                assert read["answered_s_ago"] >= read["open_s"]
                assert vm.records.operator.open_read_s() is not None

        run(test())

    def test_a_record_that_expires_in_an_outage_is_logged(self) -> None:
        """Guards against an endpoint that is kept for no visible reason."""

        async def test() -> None:
            async with running_site() as site:
                site.store.faults.mode = "busy"
                await asyncio.sleep(2.5)
                await site.services[0].unregister()
                site.store.faults.mode = "ok"
                await eventually(lambda: site.vms[0].journal.of("endpoint_lapsed"))
                (line,) = site.vms[0].journal.of("endpoint_lapsed")
                assert line["endpoint"] == "service-0"
                assert site.vms[0].vm.dump()["lapsed_endpoints"] == ["service-0"]

        run(test())


class TestLinksOfAllVMs:
    """All links between the VMs carry nothing for a while."""

    def test_owners_are_known_afterwards(self) -> None:
        """Guards against VMs that stay without news of one another."""

        async def test() -> None:
            async with running_site(vms=2) as site:
                await site.ready()
                links = [item.vm.links for item in site.vms]
                with pytest.MonkeyPatch.context() as patch:
                    for cut in links:
                        patch.setattr(cut, "notify_all", lambda ids, message: None)
                    await eventually(lambda: all(_suspects_some(v) for v in site.vms))
                    await asyncio.sleep(RECENT_S)
                await eventually(lambda: not any(_suspects_some(v) for v in site.vms))
                for number in range(1, 5):
                    await site.add_runner(f"runner-{number}")
                await site.ready()

        run(test())


def _suspects_some(item: RunningVM) -> bool:
    return bool(item.vm.state.fleet.membership.suspected_ids())
