"""Requests that a VM gets shortly before and during its planned stop."""

import asyncio
from typing import Any

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

GRACE_S = 5
PATIENT = {"timeout-ms": 20_000, "gap-target-ms": 400}
SITE: dict[str, Any] = {
    "vms": 2,
    "bounds": {"grace-s": GRACE_S},
    "config": configuration(extra=(route("slow", "llm", "stream", **PATIENT),)),
}


async def stream(site: Site, **options: Any) -> CallerAnswer:
    """Send a request for an adapter by the VM that stops."""
    return await call(
        site.vms[0].address, "/slow/1", adapter="a1", deadline_ms=9000, **options
    )


class TestLogOfAStop:
    """What the log says of requests around a planned stop."""

    def test_a_stream_cut_by_the_stop_is_told_from_one_whose_caller_left(self) -> None:
        """Guards against streams cut by stops that nobody notices."""

        async def test() -> None:
            async with running_site(**SITE) as site:
                site.runners[0].faults.event_s = 2.0
                stopping = site.vms[0]
                waiting = asyncio.create_task(stream(site))
                left = asyncio.create_task(stream(site))
                await eventually(lambda: len(site.runners[0].runs) == 2)
                stopping.vm.stop()
                await asyncio.sleep(1.0)
                left.cancel()
                assert not (await waiting).whole
                await stopping.task
                lines = stopping.journal.of("request")
                assert [line["outcome"] for line in lines] == ["left", "cut_by_stop"]
                assert all(-1.0 < line["since_stop_s"] < 0.0 for line in lines)

        run(test())
