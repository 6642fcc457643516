"""Answers of endpoints that seem to say that a request did not run, and which ran."""

from typing import Any

import pytest

from bamboovale.standins.platform_endpoints import PlatformEndpoint
from tests.gateway_site import (
    CallerAnswer,
    Site,
    call,
    configuration,
    eventually,
    route,
    run,
    running_site,
)
from tests.path_cuts import REFUSE, cut_from_endpoints, put_out_of_reach

PROMISES_NOT_RUN = (408, 421, 429, 503)
REJECTED, ACCEPTED = True, False
RUN_S = 0.1


def calls_with_goal(goal_s: float) -> dict[str, Any]:
    """Return a configuration with one route, whose calls must run once at most."""
    config = configuration()
    config["routes"] = [route("book", "app", "unsafe", **{"goal-ms": 1000 * goal_s})]
    return config


def turn_away(endpoint: PlatformEndpoint, *turns: bool) -> None:
    """Reject the arrivals for which the turn is true, and all after the last turn.

    Each rejection is sent a second time, as the next request arrives.
    """
    endpoint.faults.late_copies = True
    endpoint.faults.event_s = RUN_S
    left = list(turns)
    endpoint._turns_away = lambda: left.pop(0) if left else True


def runs(site: Site, attempt: str) -> int:
    """Return how often a request ran at the endpoints."""
    endpoints = [*site.runners, *site.services]
    return sum(run.request_id == attempt for item in endpoints for run in item.runs)


def assert_truth(site: Site, answer: CallerAnswer, attempt: str) -> None:
    """Check that a request ran once at most, and was not refused if it ran."""
    assert runs(site, attempt) <= 1
    assert not (runs(site, attempt) and answer.status in PROMISES_NOT_RUN)


class TestCopyOfARejection:
    """A second copy of a rejection, where the next answer is expected."""

    def test_a_plain_call_that_is_sent_again_runs_once(self) -> None:
        """Guards against calls that run although a VM takes them for rejected."""

        async def test() -> None:
            async with running_site(runners=0, config=calls_with_goal(1.5)) as site:
                answer = await self._call(site, "one")
                assert_truth(site, answer, "one")
                assert answer.status == 200

        run(test())

    def test_a_plain_call_that_runs_is_not_refused(self) -> None:
        """Guards against the promise that a call did not run which runs."""

        async def test() -> None:
            async with running_site(runners=0, config=calls_with_goal(0.2)) as site:
                for number in range(8):
                    answer = await self._call(site, f"call-{number}")
                    assert_truth(site, answer, f"call-{number}")

        run(test())

    def test_a_stream_that_is_sent_again_runs_once(self) -> None:
        """Guards against streams that run although a VM takes them for rejected."""

        async def test() -> None:
            async with running_site(services=0) as site:
                [engine] = site.runners
                engine.preload("a1")
                address = site.vms[0].address
                await call(address, "/chat/1", adapter="a1")
                turn_away(engine, REJECTED, ACCEPTED, ACCEPTED)
                answer = await call(address, "/chat/1", adapter="a1", attempt="one")
                assert_truth(site, answer, "one")
                assert answer.status == 200

        run(test())

    def test_a_call_that_another_vm_sends_runs_once(self) -> None:
        """Guards against the same in the VM that sends for another one."""

        async def test() -> None:
            config = calls_with_goal(1.5)
            async with running_site(2, 0, 2, config) as site:
                with cut_from_endpoints(site, [site.vms[0]], REFUSE):
                    await put_out_of_reach(site.vms[0])
                    await eventually(site.vms[0].vm.state.fleet.helpers)
                    answer = await self._call(site, "one")
                assert_truth(site, answer, "one")
                assert answer.status == 200

        run(test())

    @pytest.mark.parametrize("unnamed", [False, True], ids=["with id", "without id"])
    def test_the_next_call_on_the_connection_gets_its_own_answer(
        self, unnamed: bool
    ) -> None:
        """Guards against calls that take the answer to an earlier one for their own."""

        async def test() -> None:
            async with running_site(runners=0, config=calls_with_goal(0.2)) as site:
                address = site.vms[0].address
                turn_away(site.services[0], *[REJECTED] * 6)
                site.services[0].faults.unnamed_copies = unnamed
                refused = await call(address, "/book/1", attempt="one")
                turn_away(site.services[0], *[ACCEPTED] * 6)
                answer = await call(address, "/book/1", attempt="two", body=b"body")
                assert (refused.status, answer.status) == (503, 200)
                assert answer.body == b"service-0 two"
                assert runs(site, "two") == 1
                *_, line = site.vms[0].journal.of("request")
                [attempt] = line["attempts"]
                assert (attempt["kept"], attempt["skipped"]) == (True, 1)

        run(test())

    @staticmethod
    async def _call(site: Site, attempt: str) -> CallerAnswer:
        for service in site.services:
            turn_away(service, REJECTED, ACCEPTED, ACCEPTED)
        return await call(site.vms[0].address, "/book/1", attempt=attempt)


class TestFailureOfARun:
    """An answer that does not say that the request did not run."""

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_its_status_does_not_promise_that_the_call_did_not_run(
        self, status: int
    ) -> None:
        """Guards against callers that send a call again which has run."""

        async def test() -> None:
            async with running_site(runners=0, config=calls_with_goal(0.5)) as site:
                site.services[0].faults.fail = True
                site.services[0].faults.fail_status = status
                answer = await call(site.vms[0].address, "/book/1", attempt="one")
                assert_truth(site, answer, "one")
                assert answer.status == 502

        run(test())

    def test_nor_that_a_stream_did_not_run(self) -> None:
        async def test() -> None:
            async with running_site(services=0) as site:
                [engine] = site.runners
                engine.preload("a1")
                address = site.vms[0].address
                await call(address, "/chat/1", adapter="a1")
                engine.faults.fail_unrun_every = 1
                engine.faults.fail_status = 503
                answer = await call(address, "/chat/1", adapter="a1", attempt="one")
                assert_truth(site, answer, "one")
                assert answer.status == 502
                assert site.vms[0].journal.of("run_broke_off") == []

        run(test())

    def test_the_status_of_a_call_that_may_run_again_is_the_endpoints(self) -> None:
        async def test() -> None:
            async with running_site(runners=0) as site:
                site.services[0].faults.fail = True
                site.services[0].faults.fail_status = 429
                answer = await call(site.vms[0].address, "/check/1")
                assert answer.status == 429

        run(test())


class TestUnsafeRoute:
    """A route whose requests must run once, and that is marked as resumable."""

    def test_its_request_is_not_sent_again_after_it_broke_off(self) -> None:
        """Guards against a mark that only streams can have."""

        async def test() -> None:
            once = route("once", "llm", "unsafe", resumable=True)
            config = configuration(extra=(once,))
            async with running_site(runners=2, services=0, config=config) as site:
                for engine in site.runners:
                    engine.preload("a1")
                    engine.faults.cut_after = 2
                answer = await call(
                    site.vms[0].address, "/once/1", adapter="a1", attempt="one"
                )
                assert runs(site, "one") == 1
                assert not answer.whole

        run(test())
