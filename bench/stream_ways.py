"""``python -m bench.stream_ways``: ways to know who began a stream, in virtual time.

Each way plays the same streams, kills, resets and cuts. Two software versions serve, so
that a stream goes on only if the VM to which its caller comes back learns who began it.
"""

import functools
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from bamboovale.decisions.rendezvous import first_members
from bamboovale.streams.exchange import ASKED, REPLICAS

FLEETS = (6, 86, 300)
SEEDS = (1, 2)
SECONDS = 20.0
STREAMS_PER_VM_S = 4.0
MAX_STREAMS = 1500
"""Streams of a day that are played; more change no share."""
STREAM_S = 2.0
HOLDERS = 24
"""VMs among which those to tell are chosen."""
LINK_S = 0.001
"""One way between two VMs."""
RECORD_BYTES = 110
LIFE_S = 15.0
"""For how long a start is remembered."""
DOWN_S = 1.0
DETECTION_S = 1.5
"""Time until a VM that is killed is no longer asked."""
RETURN_S = (0.05, 0.6)
"""From the break of a stream until its caller is back."""


@dataclass(frozen=True)
class Fault:
    """VMs that are killed, or whose callers' connections are reset, at a time."""

    at: float
    vms: frozenset[int]
    kills: bool = True


@dataclass(frozen=True)
class Cut:
    """VMs reach only those of their own half."""

    at: float
    until: float


@dataclass(frozen=True)
class Day:
    """One fleet with its faults."""

    vms: int
    seed: int
    faults: tuple[Fault, ...]
    cut: Cut | None = None

    def started_at(self, vm: int, at: float) -> float | None:
        """Return the start of a VM's process, None while it is down."""
        killed = [f.at for f in self.faults if f.kills and vm in f.vms and f.at <= at]
        if not killed:
            return 0.0
        started_at = max(killed) + DOWN_S
        return started_at if started_at <= at else None

    def is_up(self, vm: int, at: float) -> bool:
        """Return whether a VM's process runs."""
        return self.started_at(vm, at) is not None

    def linked(self, one: int, other: int, at: float) -> bool:
        """Return whether two VMs reach one another."""
        is_cut = self.cut is not None and self.cut.at <= at < self.cut.until
        return not is_cut or one % 2 == other % 2

    def seems_up(self, vm: int, at: float) -> bool:
        """Return whether a VM is taken to be up by the others."""
        return self.is_up(vm, max(0.0, at - DETECTION_S))


@dataclass
class Outcome:
    """What a way gave over all its days."""

    resumed: int = 0
    went_on: int = 0
    streams: int = 0
    messages: int = 0
    added_first_s: float = 0.0
    added_resumed_s: float = 0.0
    records: Counter[int] = field(default_factory=Counter)


@dataclass(frozen=True)
class Way:
    """How many VMs are told and asked; ``waits`` for the first that was told."""

    told: int = 0
    asked: int = 0
    waits: bool = False
    then_asks_all: bool = False

    def tell(self, day: Day, stream: str, vm: int, at: float) -> tuple[int, ...]:
        """Return the VMs that are told of a stream that begins."""
        targets = _chosen(day, stream, vm, at, self.told)
        arrives_at = at + LINK_S
        return tuple(t for t in targets if _gets(day, vm, t, at, arrives_at))

    def ask(self, day: Day, stream: str, vm: int, at: float) -> tuple[int, ...]:
        """Return the VMs that are asked."""
        return _chosen(day, stream, vm, at, self.asked)


def _chosen(day: Day, stream: str, vm: int, at: float, count: int) -> tuple[int, ...]:
    """Return VMs by a stream's id, among the holders if they are few."""
    if count <= 0:
        return ()
    if count >= day.vms - 1:
        return tuple(v for v in range(day.vms) if v != vm and day.seems_up(v, at))
    live = [str(v) for v in range(day.vms) if day.seems_up(v, at)]
    holders = [v for v in _holders(tuple(live)) if v != str(vm)]
    return tuple(int(v) for v in first_members(stream, holders, count))


@functools.cache
def _holders(live: tuple[str, ...]) -> list[str]:
    return first_members("owners", live, HOLDERS)


def _gets(day: Day, sender: int, target: int, at: float, arrives_at: float) -> bool:
    """Return whether a message sent at a time arrives."""
    return (
        day.is_up(sender, at)
        and day.is_up(target, arrives_at)
        and day.linked(sender, target, at)
    )


WAYS: dict[str, Callable[[int], Way]] = {
    "tells all": lambda vms: Way(told=vms),
    "tells one, asks three": lambda vms: Way(told=1, asked=3),
    "tells two, asks four": lambda vms: Way(told=2, asked=4),
    "tells three, asks five": lambda vms: Way(REPLICAS, ASKED),
    "tells three and waits, asks five": lambda vms: Way(REPLICAS, ASKED, waits=True),
    "tells none, asks all": lambda vms: Way(asked=vms),
    "tells three, asks five, then all": lambda vms: Way(
        REPLICAS, ASKED, then_asks_all=True
    ),
}


def play(day: Day, way: Way, outcome: Outcome) -> None:
    """Play one day."""
    rng = random.Random(day.seed)
    live: Counter[int] = Counter()
    wanted = int(day.vms * STREAMS_PER_VM_S * SECONDS)
    for number in range(min(MAX_STREAMS, wanted)):
        vm, at = rng.randrange(day.vms), rng.uniform(0.0, SECONDS)
        lasts_s, back_s = rng.uniform(0.2, STREAM_S), rng.uniform(*RETURN_S)
        returns_to = [rng.randrange(day.vms) for _ in range(20)]
        if not day.is_up(vm, at):
            continue
        stream = f"{day.seed}-{number}"
        told = way.tell(day, stream, vm, at)
        outcome.streams += 1
        outcome.messages += len(_chosen(day, stream, vm, at, way.told))
        outcome.added_first_s += 2 * LINK_S if way.waits and told else 0.0
        live.update((vm, *told))
        broken_at = _broken_at(day, vm, at, at + lasts_s)
        if broken_at is None:
            continue
        back_at = broken_at + back_s
        new_vm = next((v for v in returns_to if day.is_up(v, back_at)), None)
        if new_vm is not None:
            known_by = ((vm, at), *((target, at + LINK_S) for target in told))
            _resume(day, way, outcome, stream, new_vm, back_at, known_by)
    outcome.records.update(live)


def _broken_at(day: Day, vm: int, since: float, until: float) -> float | None:
    """Return when a stream breaks off, None if it ends before."""
    times = [f.at for f in day.faults if vm in f.vms and since < f.at < until]
    return min(times, default=None)


def _resume(
    day: Day,
    way: Way,
    outcome: Outcome,
    stream: str,
    vm: int,
    at: float,
    known_by: Sequence[tuple[int, float]],
) -> None:
    outcome.resumed += 1
    remembers = {v for v, since in known_by if _remembers(day, v, since, at)}
    if vm in remembers:
        outcome.went_on += 1
        return
    asked = way.ask(day, stream, vm, at)
    outcome.messages += 2 * len(asked)
    outcome.added_resumed_s += 2 * LINK_S if asked else 0.0
    knows = any(v in remembers and day.linked(vm, v, at) for v in asked)
    if not knows and way.then_asks_all:
        others = [v for v in range(day.vms) if v != vm and day.seems_up(v, at)]
        outcome.messages += 2 * len(others)
        outcome.added_resumed_s += 2 * LINK_S
        knows = any(v in remembers and day.linked(vm, v, at) for v in others)
    outcome.went_on += knows


def _remembers(day: Day, vm: int, since: float, at: float) -> bool:
    """Return whether a process that was told at a time still runs."""
    started_at = day.started_at(vm, at)
    return started_at is not None and started_at <= since


def days(vms: int) -> dict[str, list[Day]]:
    """Return the days by their kind of fault."""
    found: dict[str, list[Day]] = {}
    for seed in SEEDS:
        rng = random.Random(seed)

        def some(count: int, rng: random.Random = rng) -> frozenset[int]:
            return frozenset(rng.sample(range(vms), count))

        half = vms // 2
        kinds = {
            "one killed": (Fault(8.0, some(1)), Fault(14.0, some(1))),
            "three killed": (Fault(8.0, some(3)),),
            "half killed": (Fault(8.0, some(half)),),
            "half killed twice": (Fault(8.0, some(half)), Fault(9.5, some(half))),
            "connections reset": (Fault(8.0, some(half), kills=False),),
        }
        for name, faults in kinds.items():
            found.setdefault(name, []).append(Day(vms, seed, faults))
        found.setdefault("reset while halves are cut", []).append(
            Day(vms, seed, kinds["connections reset"], Cut(7.0, 12.0))
        )
    return found


def main() -> None:
    """Print one row for each fleet, kind of fault and way."""
    print("| VMs | faults | way | went on | messages a stream | a VM, 1/s |", end="")
    print(" kB a VM | first, ms | resumed, ms |")
    print("|---|---|---|---|---|---|---|---|---|")
    for vms in FLEETS:
        for kind, played in days(vms).items():
            for name, way in WAYS.items():
                outcome = Outcome()
                for day in played:
                    play(day, way(vms), outcome)
                print(_row(vms, kind, name, outcome), flush=True)


def _row(vms: int, kind: str, name: str, outcome: Outcome) -> str:
    streams = max(1, outcome.streams)
    per_stream = outcome.messages / streams
    per_vm_s = per_stream * STREAMS_PER_VM_S
    share = max(outcome.records.values(), default=0) / streams
    kept = share * vms * STREAMS_PER_VM_S * LIFE_S
    cells = (
        f"{outcome.went_on / max(1, outcome.resumed):.2f} of {outcome.resumed}",
        f"{per_stream:.1f}",
        f"{per_vm_s:.0f}",
        f"{kept * RECORD_BYTES / 1000:.0f}",
        f"{1000 * outcome.added_first_s / streams:.1f}",
        f"{1000 * outcome.added_resumed_s / max(1, outcome.resumed):.1f}",
    )
    return f"| {vms} | {kind} | {name} | {' | '.join(cells)} |"


if __name__ == "__main__":
    main()
