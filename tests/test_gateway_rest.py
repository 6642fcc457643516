"""Endpoints that turn a VM away and ask it for a rest."""

from tests.gateway_site import CallerAnswer, run, running_site
from tests.signal_load import engine_with, load, served, slow_services

REST_S = 2.0
LOAD_S = 3.0


def told_to_return_s(answers: list[CallerAnswer]) -> list[float]:
    """Return the Retry-After of each refused request, in seconds."""
    refused = [answer for answer in answers if answer.status == 503]
    return [float(answer.header("retry-after") or 0.0) for answer in refused]


class TestRestingEndpoint:
    """One of two endpoints turns everything away and asks for rest each time."""

    def test_an_engine_at_rest_gets_no_requests_of_vms_that_it_turned_away(
        self,
    ) -> None:
        """Guards against an engine that sheds load, looks idle and gets more."""

        async def test() -> None:
            async with running_site(vms=3, runners=2) as site:
                engine = await engine_with(site, "a1")
                engine.signals.rest_s = REST_S
                answers = await load(site, "/chat/1", LOAD_S, "a1")
                assert engine.signals.rests
                assert list(engine.signals.rest_violations()) == []
                assert served(answers) > 0.97

        run(test())

    def test_a_plain_endpoint_at_rest_gets_no_calls_of_vms_that_it_turned_away(
        self,
    ) -> None:
        """Guards against calls that an overloaded endpoint must turn away again."""

        async def test() -> None:
            async with running_site(vms=3, services=2) as site:
                slow_services(site)
                service = site.services[0]
                service.signals.rest_s = REST_S
                answers = await load(site, "/book/1", LOAD_S)
                assert service.signals.rests
                assert list(service.signals.rest_violations()) == []
                assert served(answers) > 0.97

        run(test())


class TestRestingPool:
    """All endpoints of a service turn everything away and ask for rest."""

    def test_calls_are_refused_with_the_end_of_the_rest_and_not_repeated(self) -> None:
        """Guards against repeats that keep a whole pool from recovering."""

        async def test() -> None:
            async with running_site(vms=3, services=2) as site:
                for service in site.services:
                    service.signals.rest_s = REST_S
                answers = await load(site, "/book/1", LOAD_S)
                for service in site.services:
                    assert list(service.signals.rest_violations()) == []
                retries_s = told_to_return_s(answers)
                assert len(retries_s) == len(answers)
                assert sum(retry_s > REST_S / 4 for retry_s in retries_s) > 0.6 * len(
                    retries_s
                )

        run(test())
