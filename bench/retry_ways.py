"""``python -m bench.retry_ways``: ways to keep a fleet's retry budget, in virtual time.

Each way plays the same requests, failures and faults of VMs. A request whose attempt
fails wants the next one a moment later, as often as the product would try.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from bamboovale.decisions.retry_share import RetryShare, RetryShareConfig
from bamboovale.standins.endpoint_signals import Arrival
from bamboovale.standins.retry_arrivals import RetryBound, retry_windows

FLEETS = (9, 86, 300)
SEEDS = (1, 2, 3)
SECONDS = 60.0
REQUESTS_PER_VM_S = 5.0
BURST_PER_VM = 2.5
RATIO = 0.2
WINDOW_S = 10.0
MAX_RETRIES = 3
RETRY_AFTER_S = 0.1
DETECTION_S = 2.5
"""Time until a VM that is killed or cut off is missed."""
JOIN_S = 0.3
"""Time until a VM that starts knows the others."""
DOWN_S = 1.0
TAKEOVER_S = 3.0
"""Time until another VM keeps the account of one that was killed or cut off."""
NEED = 0.9
NEED_USUALLY = 0.02
"""Part of attempts that fail, in trouble and otherwise."""


@dataclass(frozen=True)
class Kill:
    """VMs by number that are killed at a time and are back ``DOWN_S`` later."""

    at: float
    vms: Sequence[int]


@dataclass(frozen=True)
class Cut:
    """VMs that hear only those of their own group; ``groups`` of equal size."""

    at: float
    until: float
    groups: int


@dataclass(frozen=True)
class Day:
    """One fleet with its faults; attempts fail often in ``trouble`` (from, to)."""

    vms: int
    seed: int
    kills: tuple[Kill, ...] = ()
    cuts: tuple[Cut, ...] = ()
    trouble: tuple[tuple[float, float], ...] = ((15.0, 45.0),)

    @property
    def bound(self) -> RetryBound:
        """Return the bound of the fleet."""
        return RetryBound(RATIO, BURST_PER_VM * self.vms, WINDOW_S)

    def fails(self, at: float, rng: random.Random) -> bool:
        """Return whether an attempt fails."""
        in_trouble = any(start <= at < end for start, end in self.trouble)
        return rng.random() < (NEED if in_trouble else NEED_USUALLY)

    def started_at(self, vm: int, at: float) -> float | None:
        """Return the start of a VM's process, None while it is down."""
        started_at = -WINDOW_S
        for kill in self.kills:
            if vm in kill.vms and kill.at <= at:
                started_at = max(started_at, kill.at + DOWN_S)
        return started_at if started_at <= at else None

    def group(self, vm: int, at: float) -> tuple[int, ...]:
        """Return what a VM has in common with those that hear it."""
        return tuple(vm % cut.groups for cut in self.cuts if cut.at <= at < cut.until)


class Way:
    """Decides on retries of one fleet; ``messages`` counts those between VMs."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.messages = 0

    def on_fresh(self, vm: int, at: float) -> None:
        """Count a caller's request."""
        raise NotImplementedError

    def take(self, vm: int, at: float) -> bool:
        """Decide on a retry."""
        raise NotImplementedError


class OwnShares(Way):
    """Each process has a share of its own; ``config`` is that of all shares."""

    def __init__(self, day: Day) -> None:
        super().__init__(day)
        burst = self.burst(day)
        self._config = RetryShareConfig(RATIO, burst, WINDOW_S)
        self._share_by_start: dict[tuple[int, float], RetryShare] = {}

    def burst(self, day: Day) -> float:
        """Return the burst that the shares divide."""
        return day.bound.burst

    def fleet_size(self, vm: int, at: float, started_at: float) -> int:
        """Return the number of VMs that the burst is divided by."""
        return 1 if at < started_at + JOIN_S else self.day.vms

    def share(self, vm: int, at: float) -> RetryShare:
        """Return the share of the process that runs now."""
        started_at = self.day.started_at(vm, at)
        assert started_at is not None
        key = vm, started_at
        if key not in self._share_by_start:
            self._share_by_start[key] = self.new_share(started_at)
        share = self._share_by_start[key]
        share.set_fleet_size(self.fleet_size(vm, at, started_at), at)
        return share

    def new_share(self, started_at: float) -> RetryShare:
        """Return the share of a process that starts."""
        return RetryShare.from_config(self._config, started_at)

    def on_fresh(self, vm: int, at: float) -> None:
        """Count a caller's request."""
        self.share(vm, at).on_fresh(at)

    def take(self, vm: int, at: float) -> bool:
        """Decide on a retry."""
        return self.share(vm, at).take(at)


class RequestsOnly(OwnShares):
    """The part of the requests alone."""

    def burst(self, day: Day) -> float:
        """Return no burst."""
        return 0.0


class PartsOfLive(OwnShares):
    """Equal parts of the burst for the VMs that are heard, at once."""

    def __init__(self, day: Day) -> None:
        super().__init__(day)
        self._live_by_group: dict[tuple[float, tuple[int, ...]], int] = {}

    def new_share(self, started_at: float) -> RetryShare:
        """Return a share that knows nothing of the process before."""
        return RetryShare.from_config(self._config, started_at - WINDOW_S)

    def fleet_size(self, vm: int, at: float, started_at: float) -> int:
        """Return the number of VMs that are heard."""
        if at < started_at + JOIN_S:
            return 1
        then = round(at - DETECTION_S, 1)
        heard = self.day.group(vm, then)
        if (then, heard) not in self._live_by_group:
            self._live_by_group[then, heard] = sum(
                self.day.started_at(other, then) is not None
                and self.day.group(other, then) == heard
                for other in range(self.day.vms)
            )
        return max(1, self._live_by_group[then, heard])


class OneAccount(Way):
    """One VM counts for all; those that do not hear it retry nothing."""

    def __init__(self, day: Day) -> None:
        super().__init__(day)
        config = RetryShareConfig(RATIO, day.bound.burst, WINDOW_S)
        self._config = config
        self._share_by_start: dict[float, RetryShare] = {}

    def _share(self, vm: int, at: float) -> RetryShare | None:
        ended_at = [kill.at for kill in self.day.kills if 0 in kill.vms]
        last = max((end for end in ended_at if end <= at), default=None)
        begins_at = -WINDOW_S if last is None else last + TAKEOVER_S
        if at < begins_at or self.day.group(vm, at) != self.day.group(0, at):
            return None
        if begins_at not in self._share_by_start:
            share = RetryShare.from_config(self._config, begins_at)
            self._share_by_start[begins_at] = share
        share = self._share_by_start[begins_at]
        share.set_fleet_size(1, at)
        return share

    def on_fresh(self, vm: int, at: float) -> None:
        """Count a caller's request, of which the account is told."""
        share = self._share(vm, at)
        if share is not None:
            self.messages += 1
            share.on_fresh(at)

    def take(self, vm: int, at: float) -> bool:
        """Decide on a retry."""
        share = self._share(vm, at)
        self.messages += 2
        return share is not None and share.take(at)


WAYS: dict[str, Callable[[Day], Way]] = {
    "parts for live VMs, at once": PartsOfLive,
    "parts for all that may run, after a window": OwnShares,
    "a part of the requests alone": RequestsOnly,
    "one account": OneAccount,
}


@dataclass
class Outcome:
    """What a day gave; ``largest`` is the fullest window as a share of its bound."""

    largest: float = 0.0
    wanted: int = 0
    retried: int = 0
    refused_with_room: int = 0
    messages: int = 0
    sent_at: list[float] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)


def play(day: Day, way_class: Callable[[Day], Way]) -> Outcome:
    """Play one day."""
    rng = random.Random(day.seed)
    way = way_class(day)
    outcome = Outcome()
    numbers = itertools.count()
    events: list[tuple[float, int, int, str, int]] = []
    at = 0.0
    while (at := at + rng.expovariate(REQUESTS_PER_VM_S * day.vms)) < SECONDS:
        vm = rng.randrange(day.vms)
        heapq.heappush(events, (at, next(numbers), vm, f"r{len(events)}", 0))
    refused_at: list[float] = []
    while events:
        at, _, vm, request_id, tried = heapq.heappop(events)
        if not tried:
            outcome.sent_at.append(at)
        if day.started_at(vm, at) is None:
            continue
        if not tried:
            way.on_fresh(vm, at)
        else:
            outcome.wanted += 1
            if not way.take(vm, at):
                refused_at.append(at)
                continue
            outcome.retried += 1
        outcome.arrivals.append(Arrival(str(vm), at, request_id))
        if tried < MAX_RETRIES and day.fails(at, rng):
            event = (at + RETRY_AFTER_S, next(numbers), vm, request_id, tried + 1)
            heapq.heappush(events, event)
    outcome.messages = way.messages
    _judge(day, outcome, refused_at)
    return outcome


def _judge(day: Day, outcome: Outcome, refused_at: list[float]) -> None:
    windows = list(retry_windows(outcome.arrivals, outcome.sent_at, day.bound))
    outcome.largest = max((n / allowed for _, n, allowed in windows), default=0.0)
    room_at = {round(at): n < allowed / 2 for at, n, allowed in windows}
    outcome.refused_with_room = sum(room_at.get(round(at), True) for at in refused_at)


def days(vms: int, seed: int) -> dict[str, Day]:
    """Return by name the days that are compared."""
    everybody = range(vms)
    third = range(0, vms, 3)
    return {
        "none": Day(vms, seed),
        "all killed at 15, 19, 27 s": Day(
            vms, seed, kills=tuple(Kill(at, everybody) for at in (15.0, 19.0, 27.0))
        ),
        "killed in turn": Day(
            vms,
            seed,
            kills=tuple(
                Kill(15.0 + 20.0 * vm / vms, (vm,)) for vm in (*everybody, *third)
            ),
        ),
        "halves cut": Day(vms, seed, cuts=(Cut(14.0, 40.0, 2),)),
        "all alone, a third killed twice": Day(
            vms,
            seed,
            kills=(Kill(18.0, third), Kill(22.0, third)),
            cuts=(Cut(14.0, 40.0, vms),),
        ),
    }


def main() -> None:
    """Print one row for each way, fleet and day."""
    print(
        "| way | VMs | faults | largest / bound | wanted | sent | refused | messages |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for way, vms in itertools.product(WAYS, FLEETS):
        for name in days(vms, 0):
            outcomes = [play(days(vms, seed)[name], WAYS[way]) for seed in SEEDS]
            largest = max(outcome.largest for outcome in outcomes)
            wanted = sum(outcome.wanted for outcome in outcomes)
            sent = sum(outcome.retried for outcome in outcomes) / wanted
            refused = sum(outcome.refused_with_room for outcome in outcomes) / wanted
            messages = sum(outcome.messages for outcome in outcomes)
            per_vm_s = messages / len(SEEDS) / vms / SECONDS
            print(
                f"| {way} | {vms} | {name} | {largest:.2f} | {wanted // len(SEEDS)} "
                f"| {sent:.2f} | {refused:.2f} | {per_vm_s:.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
