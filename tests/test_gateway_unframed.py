"""Answers that have no length and end with their connection."""

import pytest

from tests.gateway_site import CallerAnswer, Site, call, run, running_site
from tests.path_cuts import HANG, cut_from_endpoints

EVENTS = 5


async def unframed_engine(site: Site, number: int = 0) -> None:
    """Have an engine that holds the adapter answer without a length."""
    engine = site.runners[number]
    engine.preload("a1")
    engine.faults.unframed = True


async def stream(site: Site, path: str = "/chat/1") -> CallerAnswer:
    """Send a request for an adapter by the first VM."""
    return await call(site.vms[0].address, path, adapter="a1")


class TestWholeAnswers:
    """An answer that ends with its connection is whole."""

    def test_a_stream_is_forwarded(self) -> None:
        async def test() -> None:
            async with running_site() as site:
                await unframed_engine(site)
                answer = await stream(site)
                assert (answer.status, answer.whole) == (200, True)
                assert answer.body.count(b"data:") == EVENTS

        run(test())

    def test_a_plain_answer_is_forwarded(self) -> None:
        async def test() -> None:
            async with running_site() as site:
                site.services[0].faults.unframed = True
                answer = await call(site.vms[0].address, "/book/1")
                assert (answer.status, answer.whole) == (200, True)
                assert answer.body.startswith(b"service-0 ")

        run(test())

    def test_answers_that_another_vm_relays_are_forwarded(self) -> None:
        async def test() -> None:
            async with running_site(vms=2) as site:
                site.services[0].faults.unframed = True
                cut = site.vms[0]
                with cut_from_endpoints(site, [cut], HANG):
                    for _ in range(4):
                        answer = await call(cut.address, "/check/1")
                assert (answer.status, answer.whole) == (200, True)
                assert answer.body.startswith(b"service-0 ")

        run(test())


class TestBrokenAnswers:
    """One that is reset, ends inside an event or brings none is not whole."""

    def test_a_plain_answer_that_is_reset_is_lost(self) -> None:
        """Guards against a part of an answer that looks like a whole one."""

        async def test() -> None:
            async with running_site() as site:
                faults = site.services[0].faults
                faults.unframed = faults.reset = True
                answer = await call(site.vms[0].address, "/book/1")
                assert answer.status == 502

        run(test())

    @pytest.mark.parametrize("cut_after", [0, 2])
    def test_a_stream_that_ends_inside_an_event_goes_on(self, cut_after: int) -> None:
        """Guards against a stream that ends early and looks complete."""

        async def test() -> None:
            async with running_site(runners=2) as site:
                for number in range(2):
                    await unframed_engine(site, number)
                site.runners[0].faults.cut_after = cut_after
                for _ in range(4):
                    answer = await stream(site, "/long/1")
                    assert (answer.status, answer.whole) == (200, True)
                    assert answer.body.count(b"data:") == EVENTS

        run(test())

    def test_a_stream_without_an_event_is_lost(self) -> None:
        """Guards against an engine that crashes before it writes and looks sound."""

        async def test() -> None:
            async with running_site() as site:
                await unframed_engine(site)
                site.runners[0].faults.end_after = 0
                answer = await stream(site)
                assert answer.status == 502
                assert site.vms[0].journal.of("run_broke_off") != []

        run(test())
