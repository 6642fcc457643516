"""Endpoints that say in their answers that they leave, and not yet in the store."""

import asyncio

from tests.gateway_site import (
    CallerAnswer,
    Site,
    call,
    eventually,
    run,
    running_site,
)
from tests.signal_load import (
    OneOfTwo,
    engine_with,
    one_of_two_engines,
    one_of_two_services,
    served,
)

DRAIN_S = 1.0
"""Time after a VM was told from which it may send nothing; half of the platform's."""
LOAD_S = 3.0


def knows_of_leaving(site: Site, endpoint_id: str) -> bool:
    """Return whether every VM knows that the endpoint leaves."""
    return all(
        item.vm.dump()["leaving_endpoints"] == [endpoint_id] for item in site.vms
    )


async def eventually_told(site: Site) -> None:
    """Call the leaving endpoint by one VM until all know that it leaves."""
    for _ in range(100):
        await call(site.vms[0].address, "/book/1")
        if knows_of_leaving(site, "service-0"):
            return
    raise AssertionError("not all VMs know that the endpoint leaves")


async def call_model(site: Site) -> CallerAnswer:
    """Send a request for an adapter by the first VM."""
    return await call(site.vms[0].address, "/chat/1", adapter="a1")


async def check_leaving(tried: OneOfTwo) -> None:
    """Check that VMs heed an endpoint that leaves, whatever its record says."""
    signals = tried.endpoint.signals
    signals.leaving = True
    answers = await tried.load(LOAD_S / 2)
    await tried.endpoint.register("ready")
    answers += await tried.load(LOAD_S / 2)
    assert signals.leaving_told_at
    assert list(signals.drain_violations(DRAIN_S)) == []
    assert served(answers) > 0.97


class TestLeavingEndpoint:
    """The store's record says that the endpoint is ready, as its writes are lost."""

    def test_an_engine_that_leaves_gets_no_requests_of_vms_that_were_told(self) -> None:
        """Guards against streams that end with an engine that had said it leaves."""

        async def test() -> None:
            async with one_of_two_engines() as tried:
                await check_leaving(tried)

        run(test())

    def test_a_plain_endpoint_that_leaves_gets_no_calls_of_vms_that_were_told(
        self,
    ) -> None:
        """Guards against calls lost with an endpoint that had said it leaves."""

        async def test() -> None:
            async with one_of_two_services() as tried:
                await check_leaving(tried)

        run(test())

    def test_one_answer_is_enough_for_all_vms_and_for_one_that_starts_later(
        self,
    ) -> None:
        """Guards against each VM losing an answer of its own before it knows."""

        async def test() -> None:
            async with one_of_two_services() as tried:
                site, service = tried.site, tried.endpoint
                service.signals.leaving = True
                await eventually_told(site)
                await site.add_vm("entry-3")
                await eventually(lambda: knows_of_leaving(site, "service-0"))
                arrivals = len(service.signals.arrivals)
                for item in site.vms * 4:
                    assert (await call(item.address, "/book/1")).status == 200
                assert len(service.signals.arrivals) == arrivals

        run(test())

    def test_a_restart_under_the_same_id_is_not_leaving(self) -> None:
        """Guards against an endpoint that stays unused after it has started anew."""

        async def test() -> None:
            async with running_site(runners=2) as site:
                engine = await engine_with(site, "a1")
                engine.signals.leaving = True
                assert (await call_model(site)).status == 200
                vm = site.vms[0].vm
                await eventually(lambda: vm.dump()["leaving_endpoints"] != [])
                engine.signals.leaving = False
                await engine.restart(1000)
                restarted = f"{engine.endpoint_id}@1000"
                await eventually(lambda: vm.state.endpoints.is_ready(restarted))
                assert vm.dump()["leaving_endpoints"] == []

        run(test())

    def test_a_place_granted_by_an_engine_that_leaves_meanwhile_is_not_used(
        self,
    ) -> None:
        """Guards against requests that were queued when their engine said it leaves."""

        async def test() -> None:
            async with running_site(vms=2, load_s=0.5) as site:
                engine = site.runners[0]
                owner = site.owned()[engine.endpoint_id]
                sender = next(item for item in site.vms if item is not owner)
                waiting = asyncio.create_task(
                    call(sender.address, "/chat/1", adapter="a1")
                )
                await eventually(lambda: engine.orders != [])
                sender.vm.state.endpoints.on_leaving(engine.endpoint_id, "peer")
                assert (await waiting).status == 503
                assert engine.signals.arrivals == []

        run(test())
