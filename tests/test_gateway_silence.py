"""A sound endpoint that is silent for a second and goes on."""

import asyncio

from bamboovale.decisions.routing import FIRST_EJECTION_S
from tests.gateway_site import CallerAnswer, Site, call, run, running_site
from tests.path_cuts import silent_for
from tests.signal_load import engine_with, load, served, slow_services

SILENCE_S = 1.0
AFTER_S = 1.0
RETURN_S = 2.0 * FIRST_EJECTION_S
"""Time in which an endpoint that was ejected for its silence gets calls again."""


def arrivals_beyond_first(site: Site) -> int:
    """Return how many arrivals at endpoints were not the first of their request."""
    endpoints = [*site.runners, *site.services]
    ids = [a.request_id for e in endpoints for a in e.signals.arrivals]
    return len(ids) - len(set(ids))


class TestSilentEngine:
    """An engine sends nothing for a second while streams run there."""

    def test_nothing_is_given_up_for_it(self) -> None:
        """Guards against streams, places and owners lost to a short silence."""

        async def test() -> None:
            async with running_site(vms=3, runners=2) as site:
                engine = await engine_with(site, "a1")
                owners = {name: item.node.name for name, item in site.owned().items()}
                engine.faults.event_s = 0.1
                before = arrivals_beyond_first(site)
                running = [
                    asyncio.create_task(call(item.address, "/chat/1", adapter="a1"))
                    for item in site.vms
                ]
                await asyncio.sleep(0.2)
                async with silent_for(site, engine, SILENCE_S):
                    answers = await load(site, "/chat/1", SILENCE_S, "a1")
                streams: list[CallerAnswer] = list(await asyncio.gather(*running))
                answers += await load(site, "/chat/1", AFTER_S, "a1")
                assert served(streams) == 1.0
                assert served(answers) > 0.9
                assert arrivals_beyond_first(site) == before
                now_owned = site.owned().items()
                assert {name: item.node.name for name, item in now_owned} == owners
                for item in site.vms:
                    assert not item.journal.of("cut_from_endpoints")
                    assert not item.journal.of("ownership_step_back")

        run(test())


class TestSilentPlainEndpoint:
    """One of two plain endpoints sends nothing for a second."""

    def test_calls_go_to_the_other_and_come_back(self) -> None:
        async def test() -> None:
            async with running_site(vms=3, services=2) as site:
                slow_services(site)
                await load(site, "/check/1", 0.5)
                silent = site.services[0]
                async with silent_for(site, silent, SILENCE_S):
                    answers = await load(site, "/check/1", SILENCE_S)
                arrived = len(silent.signals.arrivals)
                answers += await load(site, "/check/1", RETURN_S)
                assert served(answers) > 0.95
                assert len(silent.signals.arrivals) > arrived

        run(test())
