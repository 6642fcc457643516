"""``python -m bench.return_ways``: ways to hear of a store's return, in virtual time.

The store returns from a copy some seconds old while endpoints go on with their
heartbeats, and one of them says that it leaves at an offset that was given out before.
VMs use the product's followers and views; news between neighbours is modelled.
"""

import asyncio
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from bamboovale.fleet.neighbours import INTERVAL_S, SMALL_INTERVAL_S
from bamboovale.gateway.fleet import MAX_SMALL_FLEET
from bamboovale.gateway.records import (
    ENDPOINTS_LONG_POLL_S,
    ENDPOINTS_PAUSE_S,
    READ_ANEW_S,
    READERS,
    STALE_AFTER_S,
)
from bamboovale.store.registration import WRITES_PER_S
from bench.store_simulation import LEAVING, READY, ModelVM, ReadTimes, SharedStore
from bench.virtual_loop import run_in_virtual_time

FLEETS = (6, 86, 300)
SEEDS = (1, 2, 3)
ENDPOINTS_PER_VM = 2
NEIGHBOURS = 8
NEWS_S = 0.1
"""Time from a change at a VM until it tells its neighbours."""
HEARTBEAT_S = 1.2
COPY_AT_S = 6.0
AWAY_AT_S = 9.0
AWAY_S = 0.5
LEAVES_AFTER_S = 0.3
"""Time from the return until an endpoint writes that it leaves."""
DRAIN_S = 2.0
SECONDS = 20.0
CALLS_PER_VM_S = 1.0
"""Calls of one VM to the leaving endpoint until the VM knows that it leaves."""


@dataclass(frozen=True)
class Way:
    """Whether the era is told as news, and over which time the other VMs read anew."""

    tells_era: bool
    spread_s: float


WAYS = {
    "by rows": Way(tells_era=False, spread_s=READ_ANEW_S),
    "at once": Way(tells_era=True, spread_s=0.0),
    "spread": Way(tells_era=True, spread_s=READ_ANEW_S),
    "long spread": Way(tells_era=True, spread_s=4 * READ_ANEW_S),
}


@dataclass(frozen=True)
class Result:
    """Calls to the store in the busiest second, and times after the return."""

    calls_per_s: int
    writes_per_s: int
    all_read_s: float
    all_know_s: float
    late_calls: float


class Play:
    """One fleet in one way."""

    def __init__(self, way: Way, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.way = way
        self.store = SharedStore()
        self.is_large = count > MAX_SMALL_FLEET
        self.names = [f"e{n}" for n in range(count * ENDPOINTS_PER_VM)]
        self.count = count
        self.interval_s = INTERVAL_S if self.is_large else SMALL_INTERVAL_S

    async def run(self) -> Result:
        """Play; return what was measured."""
        self._start_vms()
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(vm.follower.follow()) for vm in self.vms]
        tasks += [loop.create_task(self._tell(vm)) for vm in self.vms]
        tasks += [loop.create_task(self._beat(name)) for name in self.names]
        await asyncio.sleep(COPY_AT_S)
        older = list(self.store.records)
        await asyncio.sleep(AWAY_AT_S - COPY_AT_S)
        self.store.is_away = True
        await asyncio.sleep(AWAY_S)
        self.store.is_away = False
        self.store.return_from(older)
        returned_at = loop.time()
        await asyncio.sleep(LEAVES_AFTER_S)
        self.store.append(self.names[0], LEAVING)
        result = await self._measure(returned_at)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return result

    def _start_vms(self) -> None:
        times = ReadTimes(
            wait_s=ENDPOINTS_LONG_POLL_S,
            pause_s=ENDPOINTS_PAUSE_S,
            stale_s=STALE_AFTER_S,
            delay_s=lambda: self.way.spread_s * self.rng.random(),
        )
        readers = READERS if self.is_large else self.count
        self.vms = [
            ModelVM(self.store, times, reads=number < readers)
            for number in range(self.count)
        ]
        self.neighbours = {
            vm: self.rng.sample(
                [other for other in self.vms if other is not vm],
                min(NEIGHBOURS, self.count - 1),
            )
            for vm in self.vms
        }

    async def _beat(self, name: str) -> None:
        """Write an endpoint's record with each heartbeat."""
        await asyncio.sleep(HEARTBEAT_S * self.rng.random())
        while True:
            if not self.store.is_away:
                self.store.append(name, self.store.written.get(name, READY))
            await asyncio.sleep(HEARTBEAT_S)

    async def _tell(self, vm: ModelVM) -> None:
        """Tell a VM's neighbours its news, and all it has with each heartbeat."""
        await asyncio.sleep(NEWS_S * self.rng.random())
        heartbeat_at, told_era = 0.0, 0
        while True:
            now = asyncio.get_running_loop().time()
            is_due = now >= heartbeat_at
            is_news = self.way.tells_era and vm.eras.current > told_era
            if is_due:
                heartbeat_at = now + self.interval_s
            for other in self.neighbours[vm]:
                if self.way.tells_era and (is_due or is_news):
                    other.eras.observe(vm.eras.current, "peer")
                if is_due or self._has_rows(vm, other):
                    other.hear(vm)
            told_era = vm.eras.current
            await asyncio.sleep(NEWS_S)

    @staticmethod
    def _has_rows(vm: ModelVM, other: ModelVM) -> bool:
        known = other.follower.changes.next_offset
        return known is not None and vm.follower.changes.has_rows_from(known)

    async def _measure(self, returned_at: float) -> Result:
        loop = asyncio.get_running_loop()
        read_at = self._watch(lambda vm: vm.known_era() == self.store.era)
        know_at = self._watch(lambda vm: not vm.view.is_ready(self.names[0]))
        while loop.time() < SECONDS:
            next(read_at)
            next(know_at)
            await asyncio.sleep(NEWS_S / 4)
        read_times, know_times = next(read_at), next(know_at)
        late_from = returned_at + LEAVES_AFTER_S + DRAIN_S
        late_s = sum(max(0.0, at - late_from) for at in know_times.values())
        return Result(
            calls_per_s=_busiest(self.store.called_at, returned_at),
            writes_per_s=_busiest(self._addresses_at(returned_at), returned_at),
            all_read_s=max(read_times.values()) - returned_at,
            all_know_s=max(know_times.values()) - returned_at - LEAVES_AFTER_S,
            late_calls=late_s * CALLS_PER_VM_S,
        )

    def _watch(
        self, holds: Callable[[ModelVM], bool]
    ) -> Iterator[dict[ModelVM, float]]:
        """Yield, each time, since when a condition holds at each VM; never: the end."""
        since = dict.fromkeys(self.vms, SECONDS)
        while True:
            now = asyncio.get_running_loop().time()
            for vm in self.vms:
                since[vm] = min(since[vm], now) if holds(vm) else SECONDS
            yield since

    def _addresses_at(self, returned_at: float) -> list[float]:
        """Return when the VMs write their addresses again."""
        spread_s = self.count / WRITES_PER_S
        return [returned_at + spread_s * self.rng.random() for _ in self.vms]


def _busiest(times: list[float], since: float) -> int:
    """Return the most calls in any second after a moment."""
    found = sorted(at for at in times if at >= since)
    return max(
        (
            sum(at <= later < at + 1.0 for later in found[n:])
            for n, at in enumerate(found)
        ),
        default=0,
    )


def play(way: Way, count: int, seed: int) -> Result:
    """Return the result of one fleet in one way."""
    results: list[Result] = []

    async def one() -> None:
        results.append(await Play(way, count, seed).run())

    run_in_virtual_time(one())
    return results[0]


def main() -> None:
    """Print a table row for each way and fleet."""
    print("| way | VMs | calls/s | addresses/s | all read, s | all know, s | late |")
    print("|---|---|---|---|---|---|---|")
    for count in FLEETS:
        for name, way in WAYS.items():
            found = [play(way, count, seed) for seed in SEEDS]
            print(
                f"| {name} | {count} | {max(r.calls_per_s for r in found)} "
                f"| {max(r.writes_per_s for r in found)} "
                f"| {max(r.all_read_s for r in found):.2f} "
                f"| {max(r.all_know_s for r in found):.2f} "
                f"| {sum(r.late_calls for r in found):.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
