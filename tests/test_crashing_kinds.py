"""Requests of each kind that crash the endpoints that run them, at VMs in touch."""

import asyncio
import itertools
import time
from collections.abc import Sequence
from dataclasses import dataclass

import pytest

from bamboovale.standins.crash_triggers import CrashTrigger
from bamboovale.standins.platform_runner import PlatformRunner
from tests.gateway_site import (
    CallerAnswer,
    RunningVM,
    Site,
    call,
    eventually,
    run,
    running_site,
)

STABLE_S = 3.0
"""Time after the third crash from which few more requests may reach endpoints."""
ALLOWED_LATE = 3
PAUSE_S = 0.1
SECONDS = 9.0
BEGUN_S = 0.65
"""From the start of a run to its crash, well after its answer began."""
EVENT_S = 0.1
VMS = 3
PLAIN_ENDPOINTS = 3
ENGINES = 8


@dataclass(frozen=True)
class Kind:
    """A kind of request; one without a body is a GET."""

    path: str
    adapter: str | None = None
    body: bytes = b""

    def trigger(self) -> CrashTrigger:
        """Return what crashes endpoints under this request."""
        return CrashTrigger(target=self.path)

    async def send(self, vm: RunningVM) -> CallerAnswer:
        """Send the request to a VM."""
        return await call(
            vm.address,
            self.path,
            adapter=self.adapter,
            body=self.body,
            method="POST" if self.body else "GET",
            deadline_ms=2000,
        )


KINDS = {
    "safe_get": Kind("/check/1"),
    "at_most_once": Kind("/book/1", body=b"book it"),
    "stream": Kind("/chat/1", "a1", b"write it"),
    "resumable_stream": Kind("/long/1", "a1", b"write more"),
}
by_kind = pytest.mark.parametrize("kind", KINDS.values(), ids=KINDS)


def set_up(site: Site, trigger: CrashTrigger, fail_unrun_every: int | None) -> None:
    """Have all endpoints crash under the request, and fail some before they run."""
    for endpoint in [*site.services, *site.runners]:
        endpoint.trigger = trigger
        endpoint.faults.fail_unrun_every = fail_unrun_every


async def send_in_turn(
    vms: Sequence[RunningVM], kind: Kind, seconds: float = SECONDS
) -> list[int]:
    """Send the request for a while, at each VM in turn; return the statuses."""
    until = time.monotonic() + seconds
    statuses = []
    for vm in itertools.cycle(vms):
        if time.monotonic() > until:
            return statuses
        statuses.append((await kind.send(vm)).status)
        await asyncio.sleep(PAUSE_S)
    return statuses


async def check_refused(kind: Kind, fail_unrun_every: int | None = None) -> None:
    """Check that a request is refused everywhere soon after its third crash."""
    async with running_site(VMS, services=PLAIN_ENDPOINTS, runners=ENGINES) as site:
        trigger = kind.trigger()
        set_up(site, trigger, fail_unrun_every)
        statuses = await send_in_turn(site.vms, kind)
        assert len(trigger.crashed_at) >= 2
        assert trigger.late_arrivals(STABLE_S) <= ALLOWED_LATE
        refused = [vm for vm in site.vms if (await kind.send(vm)).status == 503]
        assert refused == site.vms
        assert statuses[-VMS:] == [503] * VMS


def running_for_long(runners: Sequence[PlatformRunner]) -> PlatformRunner | None:
    """Return the engine that is in the middle of an answer, if there is one."""
    for runner in runners:
        if any(run.ended == "running" and run.events > 6 for run in runner.runs):
            return runner
    return None


class TestBegunAnswers:
    """The request crashes its engine after its answer has begun."""

    @pytest.mark.parametrize("name", ["stream", "resumable_stream"])
    def test_it_is_refused_everywhere(self, name: str) -> None:
        """Guards against a request that each of its answers clears as it begins."""

        async def test() -> None:
            kind = KINDS[name]
            async with running_site(
                VMS, services=0, runners=ENGINES, events=12
            ) as site:
                trigger = kind.trigger()
                trigger.after_s = BEGUN_S
                set_up(site, trigger, None)
                for runner in site.runners:
                    runner.faults.event_s = EVENT_S
                statuses = await send_in_turn(site.vms, kind, 16.0)
                assert trigger.late_arrivals(STABLE_S) <= ALLOWED_LATE
                assert statuses[-VMS:] == [503] * VMS

        run(test())

    def test_streams_that_are_lost_at_two_engines_are_served(self) -> None:
        """Guards against refusing what ran beside two crashes."""

        async def test() -> None:
            kind = KINDS["stream"]
            async with running_site(services=0, runners=3, events=12) as site:
                for runner in site.runners:
                    runner.faults.event_s = EVENT_S
                for _ in range(2):
                    sent = asyncio.create_task(kind.send(site.vms[0]))
                    await eventually(lambda: running_for_long(site.runners) is not None)
                    running_for_long(site.runners).crash()
                    await sent
                statuses = []
                while 200 not in statuses and len(statuses) < 20:
                    statuses.append((await kind.send(site.vms[0])).status)
                    await asyncio.sleep(PAUSE_S)
                assert statuses[-1] == 200

        run(test())


class TestKinds:
    """The request comes again and again, at any VM."""

    @by_kind
    def test_it_is_refused_everywhere(self, kind: Kind) -> None:
        """Guards against a request that crashes one endpoint after the other."""
        run(check_refused(kind))

    @by_kind
    def test_a_failure_that_an_endpoint_answers_does_not_clear_it(
        self, kind: Kind
    ) -> None:
        """Guards against crashes that a 500 given before the run makes forgotten."""
        run(check_refused(kind, fail_unrun_every=2))
