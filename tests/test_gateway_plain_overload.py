"""A plain service near its capacity: what callers of several entry VMs get."""

import asyncio
import random
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest

from bamboovale.decisions.retry_share import RetryShareConfig
from bamboovale.gateway import plain_calls
from bamboovale.gateway.call import Call, CallFailed, CallRefused
from bamboovale.gateway.endpoint_client import NotRun
from bamboovale.gateway.model import CallFacts, CallKind, EndpointRecord, Route
from bamboovale.gateway.plain_calls import PlainCalls
from bamboovale.gateway.retry_budgets import RetryBudgets
from bamboovale.http1.request import Request
from bamboovale.shared_places.places import OwnChoice
from bench.virtual_loop import run_in_virtual_time
from tests.gateway_site import RecordedJournal

VMS = 8
SLOTS = 6
WORK_S = 0.03
GOAL_S = 0.3
SECONDS = 3.0
LOAD = 0.7
"""Part of the pool's capacity that is offered."""
ROUTE = Route(
    name="book",
    host="shop",
    path_prefix="/book/",
    kind=CallKind.UNSAFE,
    timeout_s=1.5,
    goal_s=GOAL_S,
    priority=0,
    weight_by_service={"app": 1.0},
    max_attempts=1,
)
RECORDS = {
    name: EndpointRecord(name, "app", ("127.0.0.1", 1), "a", True, SLOTS)
    for name in ("app-1", "app-2")
}


def now() -> float:
    """Return the time of the running event loop."""
    return asyncio.get_running_loop().time()


@dataclass
class FullPool:
    """Endpoints with few slots that reject calls beyond them at once."""

    running: dict[str, int] = field(default_factory=lambda: dict.fromkeys(RECORDS, 0))
    arrivals: int = 0
    record_by_id = RECORDS

    def ready(self, service: str) -> list[EndpointRecord]:
        """Return both endpoints."""
        return list(RECORDS.values())

    def is_ready(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is known."""
        return endpoint_id in RECORDS

    def waits_s(self, endpoint_ids: frozenset[str]) -> dict[str, float]:
        """Return that all endpoints take calls."""
        return {}

    def most_by_id(self, records: list[EndpointRecord]) -> dict[str, int]:
        """Return that no endpoint is brittle."""
        return {}

    def on_rejected(self, endpoint_id: str, under_way: int) -> None:
        """Do nothing, as no endpoint is brittle."""

    def take(self, endpoint_id: str) -> None:
        """Count nothing, as no endpoint names a limit."""

    def note_passed_over(self, notes: dict, endpoint_ids: set[str]) -> None:
        """Check that no endpoint is passed over."""
        assert not endpoint_ids

    def has_caller_left(self) -> bool:
        """Return that callers wait."""
        return False

    def is_refused(self, call: Any) -> bool:
        """Return that no call has crashed endpoints."""
        return False

    @contextmanager
    def watch(self, call: Any, record: EndpointRecord) -> Iterator[None]:
        """Watch nothing, as no endpoint crashes."""
        yield

    @asynccontextmanager
    async def attempt(
        self, call: Any, record: EndpointRecord, *arguments: Any, **fields: Any
    ) -> AsyncIterator["FullPool"]:
        """Run a call, or reject it."""
        self.arrivals += 1
        endpoint_id = record.endpoint_id
        if self.running[endpoint_id] >= SLOTS:
            raise NotRun("full", reached=True)
        self.running[endpoint_id] += 1
        try:
            await asyncio.sleep(WORK_S)
        finally:
            self.running[endpoint_id] -= 1
        yield self

    @property
    def facts(self) -> "FullPool":
        """Return the head of the answer."""
        return self

    status = 200
    reads_not_run = False
    headers: tuple = ()

    async def read_body(self) -> bytes:
        """Return an empty body."""
        return b""

    def answer(self, *arguments: Any) -> None:
        """Accept the answer to the caller."""


async def in_time_at(load: float) -> tuple[float, float]:
    """Return the share of calls answered in time, and arrivals a call."""
    pool = FullPool()
    rng = random.Random(7)
    config = RetryShareConfig(0.2, 200.0, 10.0)
    journal = RecordedJournal("vm")
    retries = RetryBudgets(journal, config, lambda: 1, now, is_first_start=True)
    parts: Any = pool
    vms = [
        PlainCalls(parts, parts, parts, parts, retries, parts, now, rng)
        for _ in range(VMS)
    ]
    tasks = []
    per_s = load * SLOTS * len(RECORDS) / WORK_S
    end = now() + SECONDS
    while now() < end:
        tasks.append(asyncio.create_task(_is_in_time(rng.choice(vms), pool)))
        await asyncio.sleep(rng.expovariate(per_s))
    results = await asyncio.gather(*tasks)
    return sum(results) / len(results), pool.arrivals / len(results)


async def _is_in_time(vm: PlainCalls, pool: Any) -> bool:
    started_at = now()
    request = Request("POST", "/book/1", [], b"", started_at)
    facts = CallFacts("id", "shop", None, None, [])
    call = Call(request, facts, ROUTE, "app", pool, started_at + ROUTE.timeout_s)
    try:
        await vm.run(call)
    except (CallRefused, CallFailed):
        return False
    return now() - started_at <= GOAL_S


class GrantsUnknown:
    """Grants an endpoint that this VM does not know."""

    @asynccontextmanager
    async def open(self, *arguments: Any) -> AsyncIterator[OwnChoice]:
        """Give such a place."""
        yield OwnChoice("app-9")


class TestGrantedPlace:
    """A place that another VM granted."""

    def test_a_call_goes_elsewhere_if_the_endpoint_is_not_known_here(self) -> None:
        """Guards against calls that fail as the granter has read more of the store."""

        async def test() -> None:
            pool: Any = FullPool()
            journal = RecordedJournal("vm")
            config = RetryShareConfig(0.2, 200.0, 10.0)
            retries = RetryBudgets(journal, config, lambda: 1, now)
            rng = random.Random(7)
            vm = PlainCalls(
                *(pool, pool, pool, pool, retries, pool, now, rng), GrantsUnknown()
            )
            assert await _is_in_time(vm, pool)

        run_in_virtual_time(test())


class TestFullPool:
    """Calls arrive unevenly at a pool that can carry them."""

    def test_few_calls_are_refused_at_seven_tenths_of_the_capacity(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against refusals while an endpoint has room within the goal."""

        async def test() -> None:
            waiting, arrivals = await in_time_at(LOAD)
            assert waiting > 0.97
            assert arrivals < 1.6
            monkeypatch.setattr(plain_calls, "FULL_PATIENCE_GOALS", 0.0)
            at_once, _ = await in_time_at(LOAD)
            assert waiting > at_once

        run_in_virtual_time(test())
