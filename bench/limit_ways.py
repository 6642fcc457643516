"""``python -m bench.limit_ways``: ways to keep an endpoint's limit, in virtual time.

Each way plays the same demand: an endpoint names a limit, VMs hear of it one after
another, the limit halves, and some VMs are thought gone by the others for a while.
"""

import random
from bisect import bisect_right
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bamboovale.decisions.limit_share import share_per_s
from bamboovale.decisions.request_pace import RequestPace
from bamboovale.standins.endpoint_signals import (
    LIMIT_FACTOR,
    LIMIT_SLACK,
    LIMIT_WINDOW_S,
    TOLD_AFTER_S,
)

FLEETS = (9, 24, 60)
"""VMs that callers are sent to in fleets of 9, 86 and 300."""
LIMITS_PER_S = (0.5, 4.0, 50.0, 500.0)
SEEDS = (1, 2, 3, 4)
DEMAND = 3.0
"""Demand as a multiple of the limit, spread evenly over the VMs."""
FALLS_AT_S = 10.0
ENDS_AT_S = 20.0
HEARD_WITHIN_S = 0.5
"""Time in which all VMs hear of a limit or of its change."""
STABLE_S = 3.0
ENDPOINT = "endpoint"

Share = Callable[[float, str, Sequence[str]], float]


@dataclass(frozen=True)
class Day:
    """One fleet, limit and seed; ``missing`` VMs are thought gone by every other VM."""

    vms: int
    limit_per_s: float
    seed: int
    missing: int = 0


@dataclass(frozen=True)
class Outcome:
    """The largest window as a share of the bound, and what of the limit was used."""

    largest: float
    used: float


def equal_share(per_s: float, vm_id: str, vm_ids: Sequence[str]) -> float:
    """Return the share where every live VM has the same one."""
    return per_s / len(vm_ids)


def shares_of_a_few(per_s: float, vm_id: str, vm_ids: Sequence[str]) -> float:
    """Return the share where only a few VMs send."""
    return share_per_s(ENDPOINT, per_s, vm_id, vm_ids)


def granted_by_owner(per_s: float, vm_id: str, vm_ids: Sequence[str]) -> float:
    """Return the share where one VM grants the requests of all."""
    return per_s


WAYS: dict[str, Share] = {
    "equal shares of all": equal_share,
    "equal shares of a few": shares_of_a_few,
    "grants of one owner": granted_by_owner,
}


def play(day: Day, way: str) -> Outcome:
    """Play a day; requests that find no token are refused."""
    rng = random.Random(day.seed)
    vm_ids = [f"vm-{number}" for number in range(day.vms)]
    is_owned = WAYS[way] is granted_by_owner
    paces = {vm_id: RequestPace() for vm_id in ("owner",) if is_owned} or {
        vm_id: RequestPace() for vm_id in vm_ids
    }
    set_for: dict[str, float] = {}
    heard_s = {name: rng.uniform(0.0, HEARD_WITHIN_S) for name in paces}
    known = {name: _known(day, vm_ids, name) for name in paces}
    sent_at: list[float] = []
    at = 0.0
    while (at := at + rng.expovariate(DEMAND * day.limit_per_s)) < ENDS_AT_S:
        name = "owner" if is_owned else rng.choice(vm_ids)
        pace = paces[name]
        limit_per_s = _limit_at(day, at - heard_s[name])
        if limit_per_s is not None and set_for.get(name) != limit_per_s:
            set_for[name] = limit_per_s
            pace.set_rate(WAYS[way](limit_per_s, name, known[name]), at)
        if pace.wait_s(at) <= 0.0:
            pace.take(at)
            if at >= heard_s[name] + TOLD_AFTER_S:
                sent_at.append(at)
    return _outcome(day, sent_at)


def _known(day: Day, vm_ids: Sequence[str], name: str) -> list[str]:
    """Return the VMs that a VM takes for live: itself, and all that are not missing."""
    return [v for n, v in enumerate(vm_ids) if n >= day.missing or v == name]


def _limit_at(day: Day, at: float) -> float | None:
    if at < 0.0:
        return None
    return day.limit_per_s / (2.0 if at >= FALLS_AT_S else 1.0)


def _outcome(day: Day, sent_at: list[float]) -> Outcome:
    largest = 0.0
    for index, at in enumerate(sent_at):
        ends_at = at + LIMIT_WINDOW_S
        if ends_at < STABLE_S:
            continue
        got = bisect_right(sent_at, ends_at) - index
        per_s = day.limit_per_s / (2.0 if at >= FALLS_AT_S + HEARD_WITHIN_S else 1.0)
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * per_s + LIMIT_SLACK
        largest = max(largest, got / allowed)
    falls_s = ENDS_AT_S - FALLS_AT_S
    told_s = FALLS_AT_S - HEARD_WITHIN_S / 2.0 - TOLD_AFTER_S
    most = day.limit_per_s * (told_s + falls_s / 2.0)
    return Outcome(largest, len(sent_at) / most)


def main() -> None:
    """Print one row for each way, fleet and limit."""
    print("| way | VMs | limit | largest window / bound | the same, 3 gone | used |")
    print("|---|---|---|---|---|---|")
    for way in WAYS:
        for vms in FLEETS:
            for limit_per_s in LIMITS_PER_S:
                days = [Day(vms, limit_per_s, seed) for seed in SEEDS]
                split = [Day(vms, limit_per_s, seed, missing=3) for seed in SEEDS]
                outcomes = [play(day, way) for day in days]
                largest = max(outcome.largest for outcome in outcomes)
                wrong = max(play(day, way).largest for day in split)
                used = sum(outcome.used for outcome in outcomes) / len(outcomes)
                print(
                    f"| {way} | {vms} | {limit_per_s:g} | {largest:.2f} | {wrong:.2f} "
                    f"| {used:.2f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
