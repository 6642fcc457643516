"""Endpoints that say in their answers that they leave, and not yet in the store."""

from tests.gateway_site import run, running_site
from tests.signal_load import engine_with, load, served, slow_services

DRAIN_S = 1.0
"""Time after a VM was told from which it may send nothing; half of the platform's."""
LOAD_S = 3.0


class TestLeavingEndpoint:
    """The store's record says that the endpoint is ready, as its writes are lost."""

    def test_an_engine_that_leaves_gets_no_requests_of_vms_that_were_told(self) -> None:
        """Guards against streams that end with an engine that had said it leaves."""

        async def test() -> None:
            async with running_site(vms=3, runners=2) as site:
                engine = await engine_with(site, "a1")
                engine.signals.leaving = True
                answers = await load(site, "/chat/1", LOAD_S / 2, "a1")
                await engine.register("ready")
                answers += await load(site, "/chat/1", LOAD_S / 2, "a1")
                assert engine.signals.leaving_told_at
                assert list(engine.signals.drain_violations(DRAIN_S)) == []
                assert served(answers) > 0.97

        run(test())

    def test_a_plain_endpoint_that_leaves_gets_no_calls_of_vms_that_were_told(
        self,
    ) -> None:
        """Guards against calls lost with an endpoint that had said it leaves."""

        async def test() -> None:
            async with running_site(vms=3, services=2) as site:
                slow_services(site)
                service = site.services[0]
                service.signals.leaving = True
                answers = await load(site, "/book/1", LOAD_S / 2)
                await service.register("ready")
                answers += await load(site, "/book/1", LOAD_S / 2)
                assert service.signals.leaving_told_at
                assert list(service.signals.drain_violations(DRAIN_S)) == []
                assert served(answers) > 0.97

        run(test())
