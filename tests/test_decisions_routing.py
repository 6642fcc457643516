"""Tests of routing around slow and failing endpoints of plain services."""

import heapq
import random
from collections.abc import Callable

import pytest

from bamboovale.decisions.retry_budget import RetryBudget, RetryConfig
from bamboovale.decisions.routing import ServiceRouter

ENDPOINTS = ["counter-1", "counter-2", "counter-3", "counter-4"]


def run_calls(
    latency: Callable[[str, float], float],
    *,
    seconds: float,
    rate_per_s: float = 100.0,
    router: ServiceRouter | None = None,
) -> list[tuple[float, str, float]]:
    """Return (start, endpoint, latency) of simulated calls.

    A negative latency is a failed call.
    """
    rng = random.Random(1)
    router = router or ServiceRouter()
    router.set_endpoints(ENDPOINTS)
    calls: list[tuple[float, str, float]] = []
    ends: list[tuple[float, str, str, bool]] = []
    for number in range(int(seconds * rate_per_s)):
        now = number / rate_per_s
        while ends and ends[0][0] <= now:
            ended_at, name, call_id, ok = heapq.heappop(ends)
            router.on_end(name, call_id, ended_at, ok=ok)
        if number % 25 == 0:
            router.on_tick(now)
        name = router.choose(now, rng)
        assert name is not None
        took = latency(name, now)
        router.on_start(name, str(number), now)
        heapq.heappush(ends, (now + abs(took), name, str(number), took > 0))
        calls.append((now, name, took))
    return calls


class TestSlowEndpoint:
    """Guards against an endpoint that hangs and keeps getting calls, or none later."""

    def test_loses_work_within_seconds_and_gets_it_back(self) -> None:
        def latency(name: str, now: float) -> float:
            return 2.0 if name == "counter-1" and 5.0 <= now < 15.0 else 0.02

        calls = run_calls(latency, seconds=60.0)
        hit = [at for at, _, took in calls if took == 2.0]
        assert len(hit) <= 20
        assert len([at for at in hit if at > 7.0]) <= 6
        last = [name for at, name, _ in calls if at > 50.0]
        assert last.count("counter-1") > len(last) / 8

    def test_it_gets_the_calls_that_no_other_endpoint_takes(self) -> None:
        """Guards against refusals where the others are at limits that they name."""
        router, rng = ServiceRouter(), random.Random(1)
        router.set_endpoints(["counter-1", "counter-2"])
        router.on_start("counter-1", "1", 0.0)
        router.on_end("counter-1", "1", 0.6, ok=True)
        assert router.ejected() == ["counter-1"]
        assert router.choose(0.7, rng) == "counter-2"
        assert router.choose(0.7, rng, {"counter-2"}) == "counter-1"
        router.on_start("counter-1", "2", 0.7)
        assert router.choose(2.5, rng, {"counter-2"}) is None

    def test_the_last_endpoint_of_a_pool_is_not_left_out(self) -> None:
        """Guards against refusals after the endpoints that were not ejected left."""
        router, rng = ServiceRouter(), random.Random(1)
        router.set_endpoints(["counter-1", "counter-2"])
        for number in range(5):
            router.on_start("counter-1", str(number), 0.0)
            router.on_end("counter-1", str(number), 0.1, ok=False)
        assert router.ejected() == ["counter-1"]
        router.set_endpoints(["counter-1"])
        assert router.ejected() == []
        assert router.choose(0.2, rng) == "counter-1"

    def test_all_slow_ejects_at_most_a_third(self) -> None:
        router = ServiceRouter()
        run_calls(lambda name, now: -0.01, seconds=5.0, router=router)
        assert len(router.ejected()) <= 1


class TestConcurrencyLimit:
    """Guards against calls beyond the concurrency limit of an endpoint."""

    def test_no_endpoint_without_room(self) -> None:
        router = ServiceRouter()
        router.set_endpoints(["only"])
        rng = random.Random(1)
        sent = 0
        while (name := router.choose(0.0, rng)) is not None:
            router.on_start(name, str(sent), 0.0)
            sent += 1
        assert sent == 32


class TestRetryBudget:
    """Guards against more retries than a share of fresh requests."""

    @pytest.mark.parametrize("rate_per_s", [1, 100])
    def test_everything_fails(self, rate_per_s: int) -> None:
        budget = RetryBudget.from_config(RetryConfig())
        retries = 0
        for number in range(60 * rate_per_s):
            now = number / rate_per_s
            budget.on_fresh(now)
            while budget.take(now):
                retries += 1
        fresh = 60 * rate_per_s
        floor = 3 * (1 + 60 / 10)
        assert 0 < retries <= 0.12 * fresh + floor


class TestGreyEndpoint:
    """Guards against calls to an endpoint that answers many of them with errors."""

    @staticmethod
    def failed_share(error_share: dict[str, float]) -> tuple[float, float]:
        """Return the share of failed calls and that of calls to the grey endpoint."""
        rng = random.Random(3)
        router = ServiceRouter()
        router.set_endpoints(ENDPOINTS)
        failed = grey = 0
        for number in range(2000):
            now = number * 0.05
            name = router.choose(now, rng)
            assert name is not None
            router.on_start(name, str(number), now)
            error = rng.random() < error_share.get(name, 0.1)
            router.on_end(name, str(number), now + 0.03, ok=True, error=error)
            failed += error
            grey += name == "counter-1"
        return failed / 2000, grey / 2000

    def test_it_loses_most_calls_without_failing_in_a_row(self) -> None:
        """Guards against errors that are neither consecutive nor slow.

        Such an endpoint would get as many calls as the others.
        """
        failed, grey = self.failed_share({"counter-1": 0.7})
        assert failed < 0.16
        assert grey < 0.1

    def test_equal_error_shares_change_nothing(self) -> None:
        """Guards against moving calls because of errors that callers cause."""
        _, grey = self.failed_share({})
        assert 0.15 < grey < 0.35
