"""Parts of prompts that crash the engines that begin to write an answer on them."""

import asyncio
import itertools
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import pytest

from bamboovale.standins.crash_triggers import CrashTrigger, Return
from bamboovale.standins.platform_endpoints import PlatformEndpoint
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
"""Time after the fifth crash from which few more requests may reach engines."""
CRASHES = 5
ALLOWED_LATE = 3
LEAST_PART = 0.5
"""Least part of sound requests that begin at the first attempt, of those before."""
ROUTE_PART = "aa01"
"""The first part of all prompts of the route."""
CUSTOMER_PART = "bb02"
CRASHING_PART = "cc03"
PER_S = 30.0
CRASHING_SHARE = 0.2
EVENT_S = 0.04
BEFORE_S = 2.0
GAP_S = 1.0
"""From the expiry of records to the next start of their endpoints."""

_numbers = itertools.count(1)


@dataclass
class Answers:
    """The answers to sound and to crashing requests, with the times they were sent."""

    sound: list[tuple[float, CallerAnswer]] = field(default_factory=list)
    crashing: list[tuple[float, CallerAnswer]] = field(default_factory=list)

    def begun(self, since: float, until: float) -> float:
        """Return the share of sound requests that brought an event."""
        found = [a for at, a in self.sound if since <= at < until]
        assert len(found) >= 20
        return sum(a.status == 200 and bool(a.body) for a in found) / len(found)


async def send(vm: RunningVM, answers: Answers, *, crashing: bool) -> None:
    """Send one request; those with the crashing part share all others with the rest."""
    number = next(_numbers)
    parts = [ROUTE_PART, CUSTOMER_PART, f"{number:04x}"]
    if crashing:
        parts.insert(2, CRASHING_PART)
    prefix = ",".join(f"{part}:100" for part in parts)
    sent_at = time.monotonic()
    answer = await call(
        vm.address,
        "/chat/1",
        adapter="a1",
        body=f"body {number}".encode(),
        headers={"X-Prompt-Prefix": prefix},
    )
    kept = answers.crashing if crashing else answers.sound
    kept.append((sent_at, answer))


async def load(
    vms: Sequence[RunningVM],
    answers: Answers,
    seconds: float,
    crashing_share: float,
    rng: random.Random,
) -> None:
    """Send requests to VMs at random for a while, and wait for the answers.

    After a pause of the event loop those that are late follow at once.
    """
    tasks = []
    next_at = time.monotonic()
    until = next_at + seconds
    while next_at < until:
        crashing = rng.random() < crashing_share
        tasks.append(
            asyncio.create_task(send(rng.choice(vms), answers, crashing=crashing))
        )
        next_at += rng.expovariate(PER_S)
        await asyncio.sleep(next_at - time.monotonic())
    await asyncio.gather(*tasks)


async def play(site: Site, trigger: CrashTrigger) -> Answers:
    """Send sound requests, then such with the crashing part among them."""
    for runner in site.runners:
        runner.faults.event_s = EVENT_S
        runner.trigger = trigger
    answers, rng = Answers(), random.Random(5)
    await load(site.vms, answers, BEFORE_S, 0.0, rng)
    while len(trigger.crashed_at) < CRASHES and not is_refused(answers):
        await load(site.vms, answers, 0.5, CRASHING_SHARE, rng)
    await load(site.vms, answers, 2 * STABLE_S, CRASHING_SHARE, rng)
    return answers


def is_refused(answers: Answers) -> bool:
    """Return whether the last requests with the crashing part were refused."""
    last = [answer.status for _, answer in answers.crashing[-6:]]
    return len(last) == 6 and set(last) == {503}


class TestCrashingPart:
    """Requests with the part come at any VM, no two alike."""

    @pytest.mark.parametrize("returns", [Return.NEW_ID, Return.SAME_ID])
    def test_it_is_refused_and_sound_requests_are_served(self, returns: Return) -> None:
        """Guards against engines that crash one after the other under one part."""

        async def test() -> None:
            async with running_site(vms=3, services=0, runners=6) as site:
                trigger = CrashTrigger(part=CRASHING_PART, returns=returns)
                started_at = time.monotonic()
                answers = await play(site, trigger)
                assert trigger.crashed_at
                assert trigger.late_arrivals(STABLE_S) <= ALLOWED_LATE
                ended_at = time.monotonic()
                before = answers.begun(started_at, started_at + BEFORE_S)
                after = answers.begun(ended_at - STABLE_S, ended_at)
                assert after >= LEAST_PART * before

        run(test())

    def test_its_crashes_count_while_no_record_expires(self) -> None:
        """Guards against a store outage that hides which engines crashed."""

        async def test() -> None:
            async with running_site(vms=3, services=0, runners=6) as site:
                trigger = CrashTrigger(part=CRASHING_PART, expires_s=None)
                await play(site, trigger)
                assert trigger.late_arrivals(STABLE_S) <= ALLOWED_LATE

        run(test())


async def fall_silent(endpoints: Sequence[PlatformEndpoint], seconds: float) -> None:
    """Have endpoints answer nothing until their records expire, then start anew."""
    for endpoint in endpoints:
        endpoint.faults.hang = True
    await asyncio.sleep(seconds)
    for endpoint in endpoints:
        await endpoint.unregister()
        endpoint.crash()
    await asyncio.sleep(GAP_S)
    for endpoint in endpoints:
        endpoint.faults.hang = False
        await endpoint.start_anew(Return.NEW_ID)


async def all_known(site: Site, endpoints: Sequence[PlatformEndpoint]) -> None:
    """Wait until all VMs know the endpoints that are there now, and no others."""
    ids = {endpoint.endpoint_id for endpoint in endpoints}
    await eventually(
        lambda: all(ids == set(vm.vm.state.endpoints.record_by_id) for vm in site.vms)
    )


class TestOutage:
    """All endpoints fall silent together, and others take their places."""

    @pytest.mark.parametrize("silent_s", [1.5, 4.0, 6.0])
    def test_engines_serve_all_parts_afterwards(self, silent_s: float) -> None:
        """Guards against refusing for minutes what ran when all engines were lost."""

        async def test() -> None:
            async with running_site(vms=3, services=0, runners=6) as site:
                answers, rng = Answers(), random.Random(5)
                started_at = time.monotonic()
                await load(site.vms, answers, BEFORE_S, CRASHING_SHARE, rng)
                outage = asyncio.create_task(fall_silent(site.runners, silent_s))
                await load(
                    site.vms, answers, silent_s + GAP_S + 0.5, CRASHING_SHARE, rng
                )
                await outage
                await all_known(site, site.runners)
                answers.crashing.clear()
                served_from = time.monotonic()
                await load(site.vms, answers, 3.0, CRASHING_SHARE, rng)
                before = answers.begun(started_at, started_at + BEFORE_S)
                after = answers.begun(served_from, time.monotonic())
                assert after >= 0.9 * before
                # Nothing crashes on the part here.
                others = [answer.status for _, answer in answers.crashing]
                assert others.count(200) >= 0.9 * before * len(others)

        run(test())

    def test_plain_endpoints_serve_the_same_request_afterwards(self) -> None:
        """Guards against refusing a request that many callers send alike.

        Also against VMs that take the ends of lost endpoints for their own cut paths.
        """

        async def test() -> None:
            async with running_site(vms=3, services=4, runners=0) as site:

                async def ask(number: int) -> int:
                    vm = site.vms[number % len(site.vms)]
                    answer = await call(vm.address, "/check/1", deadline_ms=1000)
                    return answer.status

                async def ask_for(seconds: float) -> list[int]:
                    until = time.monotonic() + seconds
                    tasks = []
                    while time.monotonic() < until:
                        tasks.append(asyncio.create_task(ask(len(tasks))))
                        await asyncio.sleep(1 / PER_S)
                    return await asyncio.gather(*tasks)

                assert set(await ask_for(1.0)) == {200}
                outage = asyncio.create_task(fall_silent(site.services, 4.0))
                await ask_for(4.5 + GAP_S)
                await outage
                await all_known(site, site.services)
                statuses = await ask_for(1.0)
                assert statuses.count(200) >= 0.9 * len(statuses)

        run(test())
