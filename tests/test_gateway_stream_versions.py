"""Streams at engines whose software versions differ."""

import asyncio
from typing import Any

import pytest

from tests.gateway_site import (
    CallerAnswer,
    Site,
    configuration,
    eventually,
    run,
    running_site,
)
from tests.stream_tries import StreamTries, begin_streams

EVENT_S = 0.05
STREAMS = 4
OLD, NEW = "v1", "v2"


def roomy() -> dict[str, Any]:
    """Return a configuration whose engines have slots for all adapters."""
    config = configuration()
    config["services"][0]["engine"]["adapter-slots"] = STREAMS
    return config


async def add_engine(site: Site, software: str, adapters: int = STREAMS) -> None:
    """Start an engine of a version that holds the first adapters."""
    name = f"runner-{len(site.runners)}"
    runner = await site.add_runner(
        name, software=software, adapter_slots=STREAMS, events=40
    )
    runner.faults.event_s = EVENT_S
    for number in range(1, adapters + 1):
        runner.preload(f"a{number}")


def has_begun(site: Site, streams: list[StreamTries]) -> bool:
    """Return whether an engine has sent events of every stream."""
    begun = {
        run.request_id for runner in site.runners for run in runner.runs if run.events
    }
    return all(begun.issuperset(stream.ids) and stream.ids for stream in streams)


async def begin_at_the_old_version(
    site: Site,
) -> tuple[list[StreamTries], "asyncio.Future[list[CallerAnswer]]"]:
    """Begin streams while only the old version serves, then add engines.

    Of the old version only the first one has the adapters.
    """
    await add_engine(site, OLD)
    await site.ready()
    streams, answers = begin_streams(site.vms[0].address, STREAMS)
    await eventually(lambda: has_begun(site, streams))
    for _ in range(2):
        await add_engine(site, OLD, adapters=0)
        await add_engine(site, NEW)
    await site.ready()
    return streams, answers


class TestWithinOneAnswer:
    """An engine breaks streams off, and their VM goes on elsewhere."""

    @pytest.mark.parametrize("crashes", [False, True])
    def test_a_stream_goes_on_at_the_version_that_began_it(self, crashes: bool) -> None:
        """Guards against answers joined from two software versions."""

        async def test() -> None:
            async with running_site(
                vms=2, runners=0, services=1, config=roomy()
            ) as site:
                streams, answers = await begin_at_the_old_version(site)
                engine = site.runners[0]
                engine.faults.cut_after = 0
                if crashes:
                    engine.crash()
                await answers
                assert [len(stream.versions(site)) for stream in streams] == (
                    [1] * STREAMS
                )
                assert all(stream.is_complete for stream in streams)

        run(test())


class TestOverACallersTries:
    """A stream's VM ends, and its caller comes back at another one."""

    def test_a_stream_goes_on_at_the_version_that_began_it(self) -> None:
        """Guards against a VM that takes up a stream it has never heard of."""

        async def test() -> None:
            async with running_site(
                vms=4, runners=0, services=1, config=roomy()
            ) as site:
                streams, answers = await begin_at_the_old_version(site)
                killed = site.vms.pop(0)
                killed.task.cancel()
                await killed.vm.close()
                await answers
                await site.runners[0].unregister()
                await eventually(lambda: len(site.owned()) == len(site.runners) - 1)
                others = [item.address for item in site.vms]
                for number, stream in enumerate(streams):
                    assert not stream.is_complete
                    await stream.attempt(others[number % len(others)])
                assert [len(stream.versions(site)) for stream in streams] == (
                    [1] * STREAMS
                )
                assert all(stream.is_complete for stream in streams)

        run(test())
