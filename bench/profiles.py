"""Sizes and loads of two deployments, and random arrivals generated from them."""

import bisect
import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import cache

from bamboovale.models import WorkClass

ZIPF_EXPONENT = 1.2
"""Exponent of the Zipf distribution of requests over adapters."""


SLOTS_IN_USE = 0.75
"""Share of the slots that adapters in use may fill; the others allow exchanges."""


@cache
def popularity_weights(adapters: int) -> tuple[float, ...]:
    """Return the share of requests of each adapter, by popularity rank."""
    weights = [1.0 / rank**ZIPF_EXPONENT for rank in range(1, adapters + 1)]
    total = sum(weights)
    return tuple(weight / total for weight in weights)


@dataclass(frozen=True)
class ClassLoad:
    """Share, mean answer length and maximum wait of one work class."""

    share: float
    mean_tokens: int
    max_wait_s: float


@dataclass(frozen=True)
class Profile:
    """Size and load of one deployment; times in seconds."""

    name: str
    engines: int
    entries: int
    failure_domains: tuple[str, ...]
    domain_latency_s: float
    loads_per_s: float
    load_seconds: float
    class_loads: dict[WorkClass, ClassLoad]
    stall_weight: float
    adapters: int = 3000
    customers: int = 300
    max_num_seqs: int = 16
    max_loras: int = 8
    step_s: float = 0.056

    @property
    def service_seconds(self) -> float:
        """Return the mean time that a request occupies a place, in seconds."""
        loads = self.class_loads.values()
        return sum(load.share * load.mean_tokens for load in loads) * self.step_s

    @property
    def capacity_per_s(self) -> float:
        """Return the estimated capacity in requests per second.

        The highest rate at which the places suffice, running requests pin at most
        ``SLOTS_IN_USE`` of the slots and the weight store's load rate is not exceeded.
        """
        slots = self.engines * self.max_loras
        places = self.engines * self.max_num_seqs / self.service_seconds
        low, high = 0.0, places
        for _ in range(40):
            rate = (low + high) / 2
            pinned, loads_per_s = self._expect(rate)
            if pinned > SLOTS_IN_USE * slots or loads_per_s > self.loads_per_s:
                high = rate
            else:
                low = rate
        return low

    def _expect(self, rate: float) -> tuple[float, float]:
        """Return the expected adapters in use and loads per second without queueing."""
        pinned = loads_per_s = 0.0
        for weight in popularity_weights(self.adapters):
            idle = math.exp(-rate * self.service_seconds * weight)
            pinned += 1.0 - idle
            loads_per_s += rate * weight * idle
        return pinned, loads_per_s


LERNWERK = Profile(
    name="lernwerk",
    engines=6,
    entries=6,
    failure_domains=("muc-a", "muc-b", "nue-a"),
    domain_latency_s=0.0015,
    loads_per_s=5.0,
    load_seconds=0.4,
    class_loads={
        WorkClass.INTERACTIVE: ClassLoad(0.8, 100, 10.0),
        WorkClass.OVERNIGHT: ClassLoad(0.2, 300, 300.0),
    },
    stall_weight=0.8,
)
GALLEY = Profile(
    name="galley",
    engines=5,
    entries=6,
    failure_domains=(
        "tx-central-a",
        "tx-central-b",
        "tx-central-c",
        "tx-central-d",
    ),
    domain_latency_s=0.0005,
    loads_per_s=7.0,
    load_seconds=0.286,
    class_loads={
        WorkClass.INTERACTIVE: ClassLoad(0.4, 100, 15.0),
        WorkClass.OVERNIGHT: ClassLoad(0.6, 300, 600.0),
    },
    stall_weight=0.2,
)
PROFILE_BY_NAME = {profile.name: profile for profile in (LERNWERK, GALLEY)}


@dataclass(frozen=True)
class Arrival:
    """One request of a caller."""

    at: float
    adapter: str
    customer: str
    work_class: WorkClass
    tokens: int
    max_wait_s: float


@dataclass(frozen=True)
class Scenario:
    """Load and faults of a run; times count from its start, None means never."""

    name: str
    load: float
    seconds: float = 240.0
    popularity_shift_at: float | None = None
    cold_restart_at: float | None = None
    slow_engine_at: float | None = None
    slow_engine_s: float = 60.0
    slow_factor: float = 4.0
    store_down_at: float | None = None
    store_down_s: float = 20.0
    hot_customer: str = ""
    hot_factor: float = 10.0


class Popularity:
    """Zipf popularity of adapters, whose ranks can be reassigned."""

    def __init__(self, profile: Profile) -> None:
        weights = [1.0 / rank**ZIPF_EXPONENT for rank in range(1, profile.adapters + 1)]
        total = sum(weights)
        self._bounds = list(itertools.accumulate(weight / total for weight in weights))
        self._adapters = [f"adapter-{number}" for number in range(profile.adapters)]
        self._customers = profile.customers

    def shift(self, rng: random.Random) -> None:
        """Reassign the ranks at random."""
        rng.shuffle(self._adapters)

    def draw(self, rng: random.Random) -> str:
        """Draw an adapter by popularity."""
        rank = bisect.bisect_left(self._bounds, rng.random())
        return self._adapters[min(rank, len(self._adapters) - 1)]

    def customer_of(self, adapter: str) -> str:
        """Return the customer; adapters with adjacent numbers have different ones."""
        return f"customer-{int(adapter.removeprefix('adapter-')) % self._customers}"


def arrivals(profile: Profile, scenario: Scenario, seed: int) -> Iterator[Arrival]:
    """Return the arrivals of a run, with the extra ones of a hot customer."""
    base = _base_arrivals(profile, scenario, random.Random(f"{seed}-base"))
    if not scenario.hot_customer:
        return base
    extra = (
        arrival
        for arrival in _base_arrivals(
            profile,
            replace(scenario, load=scenario.load * (scenario.hot_factor - 1)),
            random.Random(f"{seed}-hot"),
        )
        if arrival.customer == scenario.hot_customer
    )
    return iter(sorted([*base, *extra], key=lambda arrival: arrival.at))


def _base_arrivals(
    profile: Profile,
    scenario: Scenario,
    rng: random.Random,
) -> Iterator[Arrival]:
    popularity = Popularity(profile)
    rate = profile.capacity_per_s * scenario.load
    shift_at = scenario.popularity_shift_at
    now = rng.expovariate(rate)
    while now < scenario.seconds:
        if shift_at is not None and now >= shift_at:
            popularity.shift(random.Random("shift"))
            shift_at = None
        yield _draw(profile, popularity, rng, now)
        now += rng.expovariate(rate)


def _draw(
    profile: Profile,
    popularity: Popularity,
    rng: random.Random,
    now: float,
) -> Arrival:
    adapter = popularity.draw(rng)
    overnight = rng.random() < profile.class_loads[WorkClass.OVERNIGHT].share
    work_class = WorkClass.OVERNIGHT if overnight else WorkClass.INTERACTIVE
    load = profile.class_loads[work_class]
    tokens = max(
        8, min(4 * load.mean_tokens, round(rng.gammavariate(2, 0.5) * load.mean_tokens))
    )
    return Arrival(
        at=now,
        adapter=adapter,
        customer=popularity.customer_of(adapter),
        work_class=work_class,
        tokens=tokens,
        max_wait_s=load.max_wait_s,
    )
