"""What entry VMs believe while the store, or the way to it, fails for some or all."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

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

LEAVING_S = 2.0
"""After an endpoint has left, calls may reach it for so long."""
IN_TOUCH_S = 3.0
"""After a disturbance has ended, or connections fell silent, all bounds hold again."""


@asynccontextmanager
async def one_vm_without_store(site: Site) -> AsyncIterator[RunningVM]:
    """Add a VM that alone loses the store, and return it once it has."""
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
    """One VM can't reach the store, which serves all others."""

    def test_an_endpoint_that_left_gets_no_calls_from_a_vm_without_store(self) -> None:
        """Guards against taking our own cut for an outage in which records lapse."""

        async def test() -> None:
            async with (
                running_site(vms=2, services=2) as site,
                one_vm_without_store(site) as cut_off,
            ):
                await asyncio.sleep(1.0)
                left = site.services[0]
                await left.unregister()
                await asyncio.sleep(LEAVING_S)
                calls_before = len(left.runs)
                for _ in range(8):
                    answer = await call(cut_off.address, "/check/1")
                    assert answer.status == 200
                assert len(left.runs) == calls_before
                assert "service-0" not in cut_off.vm.dump()["endpoints"]

        run(test())


class TestReturnOfTheStore:
    """The store was silent for all VMs and answers again."""

    def test_a_change_right_after_a_silence_is_in_force_in_time(self) -> None:
        """Guards against waiting for an answer that was lost with the silence."""

        async def test() -> None:
            async with running_site(vms=2, behind_proxy=True) as site:
                site.store.faults.mode = "silent"
                site.store_proxy.reset()
                await asyncio.sleep(2.0)
                site.store.faults.mode = "ok"
                await site.store.put("keyed.op", "config", configuration(version=2))
                await eventually(
                    lambda: all(_version(vm) == 2 for vm in site.vms),
                    timeout_s=IN_TOUCH_S,
                )

        run(test())

    def test_a_change_is_in_force_although_open_connections_fell_silent(self) -> None:
        """Guards against trusting a waiting read on a connection that is dead."""

        async def test() -> None:
            async with running_site(vms=2, behind_proxy=True) as site:
                site.store_proxy.silence_open()
                await site.store.put("keyed.op", "config", configuration(version=2))
                await eventually(
                    lambda: all(_version(vm) == 2 for vm in site.vms),
                    timeout_s=IN_TOUCH_S,
                )

        run(test())

    def test_a_leaving_endpoint_is_known_although_connections_fell_silent(self) -> None:
        """Guards against calls to an endpoint whose leaving nobody reads in time."""

        async def test() -> None:
            async with running_site(vms=2, services=2, behind_proxy=True) as site:
                site.store_proxy.silence_open()
                left = site.services[0]
                await left.register("draining")
                await asyncio.sleep(IN_TOUCH_S)
                calls_before = len(left.runs)
                for _ in range(8):
                    await call(site.vms[0].address, "/check/1")
                assert len(left.runs) == calls_before

        run(test())


class TestWhatAnOutageShows:
    """What operators see while the store fails."""

    def test_the_dump_and_the_counters_tell_of_a_read_without_answer(self) -> None:
        """Guards against a lost answer that no log, dump or counter shows."""

        async def test() -> None:
            async with running_site() as site:
                vm = site.vms[0].vm
                await asyncio.sleep(0.3)
                read = vm.dump()["store_reads"]["keyed.op"]
                assert read["open_s"] >= 0.2
                assert read["answered_s_ago"] >= read["open_s"]
                assert vm.records.operator.open_read_s() is not None

        run(test())

    def test_a_record_that_lapses_in_an_outage_is_logged(self) -> None:
        """Guards against an endpoint that is kept for a reason nobody can see."""

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
