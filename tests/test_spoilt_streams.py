"""Streams of engines that spoil the id of an event."""

import pytest

from tests.gateway_site import Site, call, run, running_site
from tests.path_cuts import HANG, cut_from_endpoints

EVENTS = 5


def spoil(site: Site, wrong_ids: dict[int, int], together: int) -> None:
    """Have all engines spoil the streams that they begin."""
    for engine in site.runners:
        engine.preload("a1")
        engine.faults.wrong_ids = wrong_ids
        engine.faults.together = together


def ids_in(body: bytes) -> list[int]:
    """Return the ids of a stream's events."""
    lines = body.splitlines()
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]


class TestOneSpoiltEvent:
    """The events before it are sound."""

    @pytest.mark.parametrize("unframed", [False, True])
    @pytest.mark.parametrize("together", [1, 2, EVENTS])
    @pytest.mark.parametrize("relayed", [False, True])
    def test_the_caller_gets_each_event_once(
        self, unframed: bool, together: int, relayed: bool
    ) -> None:
        """Guards against events that are lost as they come with a spoilt one."""

        async def test() -> None:
            async with running_site(vms=2, runners=2) as site:
                spoil(site, {4: 0}, together)
                for engine in site.runners:
                    engine.faults.unframed = unframed
                cut = [site.vms[0]] if relayed else []
                with cut_from_endpoints(site, cut, HANG):
                    answer = await call(site.vms[0].address, "/long/1", adapter="a1")
                assert (answer.status, answer.whole) == (200, True)
                assert ids_in(answer.body) == [1, 2, 3, 4, 5]

        run(test())


class TestWrongPlace:
    """The caller got an event that bears the id of a later one."""

    @pytest.mark.parametrize("together", [1, 2, EVENTS])
    @pytest.mark.parametrize("number", [1, 3])
    def test_no_other_engine_goes_on_after_it(self, number: int, together: int) -> None:
        """Guards against a stream that looks whole and lacks what it skipped."""

        async def test() -> None:
            async with running_site(runners=2) as site:
                spoil(site, {number: 9}, together)
                answer = await call(site.vms[0].address, "/long/1", adapter="a1")
                assert not answer.whole
                assert ids_in(answer.body) == [*range(1, number), 9]
                assert sum(len(engine.runs) for engine in site.runners) == 1

        run(test())
