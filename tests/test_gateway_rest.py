"""Endpoints that turn a VM away and ask it for a rest."""

import asyncio
import time

from bamboovale.decisions.endpoint_rests import EndpointRests
from bamboovale.gateway.engine_owner import IDLE_POLL_INTERVAL_S
from tests.gateway_site import CallerAnswer, call, eventually, run, running_site
from tests.signal_load import (
    OneOfTwo,
    load,
    one_of_two_engines,
    one_of_two_services,
    served,
)

REST_S = 2.0
LOAD_S = 3.0


def told_to_return_s(answers: list[CallerAnswer]) -> list[float]:
    """Return the Retry-After of each refused request, in seconds."""
    refused = [answer for answer in answers if answer.status == 503]
    return [float(answer.header("retry-after") or 0.0) for answer in refused]


async def check_rest(tried: OneOfTwo) -> None:
    """Check that VMs send an endpoint nothing while it wants rest from them."""
    signals = tried.endpoint.signals
    signals.rest_s = REST_S
    answers = await tried.load(LOAD_S)
    assert signals.rests
    assert list(signals.rest_violations()) == []
    assert served(answers) > 0.97


class TestRestingEndpoint:
    """One of two endpoints turns everything away and asks for rest each time."""

    def test_an_engine_at_rest_gets_no_requests_of_vms_that_it_turned_away(
        self,
    ) -> None:
        """Guards against an engine that sheds load, looks idle and gets more."""

        async def test() -> None:
            async with one_of_two_engines() as tried:
                await check_rest(tried)

        run(test())

    def test_a_plain_endpoint_at_rest_gets_no_calls_of_vms_that_it_turned_away(
        self,
    ) -> None:
        """Guards against calls that an overloaded endpoint must turn away again."""

        async def test() -> None:
            async with one_of_two_services() as tried:
                await check_rest(tried)

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

    def test_a_request_whose_goal_is_before_the_end_is_refused_at_once(self) -> None:
        """Guards against requests that wait for engines which want none."""

        async def test() -> None:
            async with running_site(runners=2) as site:
                for runner in site.runners:
                    site.vms[0].vm.state.rests.on_turned_away(
                        runner.endpoint_id, REST_S, site.vms[0].vm.state.now()
                    )
                started_at = time.monotonic()
                answer = await call(site.vms[0].address, "/chat/1", adapter="a1")
                assert answer.status == 503
                assert time.monotonic() - started_at < 0.2
                assert float(answer.header("retry-after") or 0.0) > REST_S / 2

        run(test())

    def test_a_request_waits_for_a_rest_that_ends_within_its_goal(self) -> None:
        async def test() -> None:
            async with running_site(runners=1) as site:
                runner, state = site.runners[0], site.vms[0].vm.state
                state.rests.on_turned_away(runner.endpoint_id, 0.15, state.now())
                answer = await call(site.vms[0].address, "/chat/1", adapter="a1")
                assert answer.status == 200

        run(test())

    def test_a_place_granted_by_an_engine_that_wants_rest_is_not_used(self) -> None:
        """Guards against requests that were queued when their engine asked for rest."""

        async def test() -> None:
            async with running_site(runners=2, load_s=0.5) as site:
                state = site.vms[0].vm.state
                waiting = asyncio.create_task(
                    call(site.vms[0].address, "/chat/1", adapter="a1")
                )
                await eventually(lambda: any(item.orders for item in site.runners))
                engine = next(item for item in site.runners if item.orders)
                state.rests.on_turned_away(engine.endpoint_id, 5.0, state.now())
                assert (await waiting).status == 200
                assert engine.runs == []

        run(test())

    def test_an_owner_orders_nothing_at_an_engine_that_wants_rest(self) -> None:
        """Guards against orders and reports that count as requests in a rest."""

        async def test() -> None:
            async with running_site(runners=1) as site:
                engine, state = site.runners[0], site.vms[0].vm.state
                state.rests.on_turned_away(engine.endpoint_id, 3.0, state.now())
                calls = engine.reports_read
                answer = await call(site.vms[0].address, "/chat/1", adapter="a1")
                assert answer.status == 503
                await asyncio.sleep(IDLE_POLL_INTERVAL_S + 0.5)
                assert (engine.orders, engine.reports_read) == ([], calls)

        run(test())


class TestEndpointRests:
    """Until when endpoints want nothing."""

    def test_a_later_refusal_does_not_shorten_a_rest(self) -> None:
        rests = EndpointRests()
        assert rests.on_turned_away("e", 3.0, 10.0)
        assert not rests.on_turned_away("e", 1.0, 11.0)
        assert rests.rest_s("e", 11.0) == 2.0
        assert not rests.on_turned_away("e", 3.0, 12.0)
        assert rests.rest_s("e", 12.0) == 3.0

    def test_a_rest_ends_and_may_begin_again(self) -> None:
        rests = EndpointRests()
        rests.on_turned_away("e", 1.0, 10.0)
        assert rests.rest_s("e", 11.0) == 0.0
        assert rests.left_by_id(11.0) == {}
        assert rests.on_turned_away("e", 1.0, 11.5)

    def test_no_rest_is_no_rest(self) -> None:
        rests = EndpointRests()
        assert not rests.on_turned_away("e", 0.0, 10.0)
        assert rests.rest_s("e", 10.0) == 0.0
