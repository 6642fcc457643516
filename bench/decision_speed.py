"""Measure the decisions per second of each pure module at several sizes.

Run with ``python -m bench.decision_speed``. The cost of a decision must not grow with
the number of adapters, except for adapters without a cached rendezvous order: these
cost one hash per engine.
"""

import random
import time
from collections.abc import Callable, Iterator

from bamboovale.crashes.suspects import CrashNotice, Suspects
from bamboovale.decisions.admission import Admission, AdmissionConfig, Limits
from bamboovale.decisions.admission import Arrival as AdmissionArrival
from bamboovale.decisions.dispatch import DispatchConfig, EngineDispatch
from bamboovale.decisions.load_scheduler import LoadConfig, LoadScheduler
from bamboovale.decisions.placement import (
    EnginePlacement,
    EngineSite,
    PlacementConfig,
)
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.retry_budget import RetryBudget, RetryConfig
from bamboovale.decisions.routing import ServiceRouter
from bamboovale.decisions.work import EngineHint, EngineView, Grant, WorkItem
from bamboovale.models import AdapterVersion, WorkClass
from bench.profiles import popularity_weights

SECONDS = 0.4
ENDPOINTS = (9, 600)
ADAPTERS = (3000, 17000)


def rate(step: Callable[[int], None]) -> float:
    """Return the number of runs of a step per second."""
    for number in range(2000):
        step(number)
    started = time.perf_counter()
    number = 0
    while time.perf_counter() - started < SECONDS:
        step(number)
        number += 1
    return number / (time.perf_counter() - started)


def names(adapters: int) -> list[str]:
    """Return the adapters of a series of requests with Zipf popularity."""
    weights = popularity_weights(adapters)
    rng = random.Random(1)
    ranks = rng.choices(range(adapters), weights, k=20_000)
    return [f"adapter-{rank}" for rank in ranks]


def item(number: int, adapter: str, now: float) -> WorkItem:
    """Return a request for an adapter."""
    return WorkItem(
        request_id=f"r{number}",
        entry_vm="e1",
        target=AdapterVersion(adapter, "1"),
        source=adapter,
        work_class=WorkClass.INTERACTIVE,
        customer=adapter,
        arrived_at=now,
        latest_start=now + 10.0,
    )


def placement(endpoints: int, adapters: int) -> Callable[[int], None]:
    """Choose engines, with routing hints in between."""
    engines = [f"g{number}" for number in range(endpoints)]
    chooser = EnginePlacement.from_config(PlacementConfig(), Policy.chosen())
    chooser.set_engines(EngineSite(name, "base") for name in engines)
    requested = names(adapters)
    rng = random.Random(1)

    def step(number: int) -> None:
        now = number / 1000
        work_item = item(number, requested[number % len(requested)], now)
        engine = chooser.choose_engine(work_item, "base", now, rng)
        assert engine is not None
        chooser.on_sent(engine, work_item.target.lora_name)
        if number % 5 == 0:
            loaded = tuple(
                f"{requested[(number + n) % len(requested)]}@1" for n in range(8)
            )
            hint = EngineHint(engine, "base", 1, loaded, (), 4, 16, 0, 0.0, 0.4, 1, 1.0)
            chooser.on_hint(hint, now)

    return step


def dispatch(endpoints: int, adapters: int) -> Callable[[int], None]:
    """Pass requests through one engine: request, grant, release, some loads."""
    engine = EngineDispatch.from_config(
        DispatchConfig("g1", "base", 1), Policy.chosen()
    )
    requested = names(adapters)
    hot = frozenset(f"adapter-{number}@1" for number in range(8))
    engine.on_engine_view(EngineView("b1", "base", 16, 8, hot), 0.0)

    def step(number: int) -> None:
        now = number / 100
        actions = engine.on_request(
            item(number, requested[number % len(requested)], now), now
        )
        for action in actions:
            if isinstance(action, Grant):
                engine.on_release(action.permit.permit_id, now)
        if number % 10 == 0:
            engine.on_tick(now)

    return step


def loads(endpoints: int, adapters: int) -> Callable[[int], None]:
    """Request load grants for all engines and complete them."""
    scheduler = LoadScheduler.from_config(LoadConfig())
    requested = names(adapters)

    def step(number: int) -> None:
        now = number / 100
        engine = f"g{number % endpoints}"
        load_grants = scheduler.on_request(
            engine, requested[number % len(requested)], 1.0, now
        )
        for load_grant in load_grants:
            scheduler.on_done(load_grant.number, now, loaded=True)
        if number % 10 == 0:
            scheduler.on_tick(now)

    return step


def admission(endpoints: int, adapters: int) -> Callable[[int], None]:
    """Admit requests for entries with limits."""
    entry = Admission.from_config(AdmissionConfig())
    entry.set_live_vms(endpoints)
    limits = Limits(requests_per_s=1000.0, concurrency=100)
    requested = names(adapters)
    rng = random.Random(1)

    def step(number: int) -> None:
        name = requested[number % len(requested)]
        arrival = AdmissionArrival(f"r{number}", name, name, limits, 1000)
        entry.on_request(arrival, number / 1000, rng)
        entry.on_done(arrival.request_id)

    return step


def routing(endpoints: int, adapters: int) -> Callable[[int], None]:
    """Route calls to a plain service."""
    router = ServiceRouter()
    router.set_endpoints(f"s{number}" for number in range(endpoints))
    rng = random.Random(1)

    def step(number: int) -> None:
        now = number / 1000
        name = router.choose(now, rng)
        assert name is not None
        router.on_start(name, str(number), now)
        router.on_end(name, str(number), now + 0.01, ok=True)

    return step


def retries(endpoints: int, adapters: int) -> Callable[[int], None]:
    """Count a request and take a retry from the budget."""
    budget = RetryBudget.from_config(RetryConfig())

    def step(number: int) -> None:
        budget.on_fresh(number / 1000)
        budget.take(number / 1000)

    return step


def suspects(endpoints: int, adapters: int) -> Callable[[int], None]:
    """Look up fingerprints among thousands of suspects."""
    known = Suspects()
    for number in range(5000):
        known.on_notice(CrashNotice(f"f{number}", "g1", f"b{number}", False), 0.0)

    def step(number: int) -> None:
        known.refusal(f"f{number % 8000}", 1.0)
        known.crashed_endpoints(f"f{number % 8000}", 1.0)

    return step


def measure() -> Iterator[tuple[str, list[float]]]:
    """Yield the name and the rates at all sizes of each module."""
    for module in (placement, dispatch, loads, admission, routing, retries, suspects):
        yield (
            module.__name__,
            [rate(module(e, a)) for e in ENDPOINTS for a in ADAPTERS],
        )


def main() -> None:
    """Print a table with one row per module."""
    sizes = [f"{e} endp. {a} adap." for e in ENDPOINTS for a in ADAPTERS]
    print("| decisions/s | " + " | ".join(sizes) + " |")
    print("|---|" + "---|" * len(sizes))
    for name, rates in measure():
        print(f"| {name} | " + " | ".join(f"{value:,.0f}" for value in rates) + " |")


if __name__ == "__main__":
    main()
