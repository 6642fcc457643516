"""``python -m bench.crash_ways``: ways to find what crashes engines, in virtual time.

Each way plays the same requests and crashes at fleets of several sizes: days on which
one part of prompts crashes the engines that begin to write on it, and days on which
engines crash by themselves, one after the other and many at once.
"""

import heapq
import itertools
import math
import random
import sys
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from bamboovale.crashes.evidence import CrashEvidence, Finding, Sound

FLEETS = (6, 86, 300)
SEEDS = (1, 2, 3)
SECONDS = 60.0
CRASHING_FROM_S = 15.0
CRASHING_PER_S = 2.0
PER_ENGINE_S = 3.0
ENGINES_PER_VM = 0.8
CUSTOMERS = 200
SESSIONS = 3000
PREFILL_S = (0.05, 0.4)
STREAM_S = 1.5
DOWN_S = 3.0
SIGN_S = 0.1
"""From a crash to when the VMs that lost runs there know of it."""
HOP_S = 0.12
FANOUT = 4.0
STABLE_S = 3.0
CRASHES = 5
THRESHOLD = 3
CRASHING = "part:crashing"


class Way(Protocol):
    """Decides at one VM which subjects are refused."""

    def on_begun(self, subjects: Sequence[str], now: float) -> list[Finding]:
        """Apply an answer that was begun at this VM."""

    def on_lost(
        self, subject: str, endpoint_id: str, now: float, *, by_peer: bool
    ) -> list[Finding]:
        """Apply a run that was lost with a crashed engine before its answer began."""

    def on_sound(self, subject: str, age_s: float, now: float) -> None:
        """Apply an answer that was begun at another VM."""

    def is_refused(self, subject: str, now: float) -> bool:
        """Return whether a request with the subject is refused."""


@dataclass
class Counts:
    """Refuses after a number of crashes, whatever else is known."""

    crashes: dict[str, set[str]] = field(default_factory=dict)

    def on_begun(self, subjects: Sequence[str], now: float) -> list[Finding]:
        """Ignore it."""
        return []

    def on_lost(
        self, subject: str, endpoint_id: str, now: float, *, by_peer: bool
    ) -> list[Finding]:
        """Count the crash."""
        self.crashes.setdefault(subject, set()).add(endpoint_id)
        return []

    def on_sound(self, subject: str, age_s: float, now: float) -> None:
        """Ignore it."""

    def is_refused(self, subject: str, now: float) -> bool:
        """Return whether the threshold is reached."""
        return len(self.crashes.get(subject, ())) >= THRESHOLD


@dataclass
class Ratio(Counts):
    """Refuses if there are also more crashes than answers begun at this VM."""

    begun: Counter[str] = field(default_factory=Counter)

    def on_begun(self, subjects: Sequence[str], now: float) -> list[Finding]:
        """Count an answer for each subject."""
        self.begun.update(subjects)
        return []

    def is_refused(self, subject: str, now: float) -> bool:
        """Return whether crashes outnumber answers."""
        crashes = len(self.crashes.get(subject, ()))
        return crashes >= THRESHOLD and crashes > self.begun[subject]


@dataclass
class Group(Counts):
    """Refuses what was lost with crashes and began no answer at this VM since."""

    def on_begun(self, subjects: Sequence[str], now: float) -> list[Finding]:
        """Forget the crashes under each subject."""
        for subject in subjects:
            self.crashes.pop(subject, None)
        return []


class Kept:
    """The evidence that the program keeps, and tells to the other VMs."""

    def __init__(self) -> None:
        self._evidence = CrashEvidence()

    def on_begun(self, subjects: Sequence[str], now: float) -> list[Finding]:
        """Clear each subject."""
        return self._evidence.on_begun(subjects, now)

    def on_sound(self, subject: str, age_s: float, now: float) -> None:
        """Clear the subject, or have it need more crashes."""
        self._evidence.on_sound(subject, age_s, now)

    def is_refused(self, subject: str, now: float) -> bool:
        """Return whether the subject is convicted."""
        return self._evidence.is_refused(subject, now)

    def on_lost(
        self, subject: str, endpoint_id: str, now: float, *, by_peer: bool
    ) -> list[Finding]:
        """Apply a crash and the lost run."""
        found = self._evidence.on_crashed(endpoint_id, now)
        return found + self._evidence.on_run_lost(
            subject, endpoint_id, now, by_peer=by_peer
        )


WAYS: dict[str, Callable[[], Way]] = {
    "count": Counts,
    "ratio": Ratio,
    "group": Group,
    "kept": Kept,
}


@dataclass(frozen=True)
class Run:
    """A request at an engine; ``begins_at`` is when it begins to write."""

    vm: int
    subjects: tuple[str, ...]
    begins_at: float
    ends_at: float


@dataclass
class Result:
    """What a day brought."""

    crashes: int = 0
    late: int = 0
    sound: int = 0
    refused: int = 0
    by_route: Counter[str] = field(default_factory=Counter)
    messages: int = 0


class Day:
    """One fleet on one day, with a way at each VM."""

    def __init__(
        self, vms: int, seed: int, new_way: Callable[[], Way], *, storm: bool
    ) -> None:
        self._rng = random.Random(f"{vms}-{seed}-{storm}")
        self._vms = vms
        self._engines = max(5, int(vms * ENGINES_PER_VM))
        self._way_by_vm = [new_way() for _ in range(vms)]
        self._runs_by_engine: list[list[Run]] = [[] for _ in range(self._engines)]
        self._down_until = [0.0] * self._engines
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now = 0.0
        self._fifth_at = math.inf
        self._told: set[tuple[str, str, str]] = set()
        self._storm = storm
        self.result = Result()

    def play(self) -> Result:
        """Play the day."""
        self._at(0.0, self._send_sound)
        if self._storm:
            self._at(CRASHING_FROM_S, self._crash_one)
            for at in (20.0, 24.0, 28.0, 40.0):
                self._at(at, self._crash_many)
        else:
            self._at(CRASHING_FROM_S, self._send_crashing)
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            if self._now > SECONDS:
                break
            event()
        return self.result

    def _at(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event))

    # Requests.

    def _send_sound(self) -> None:
        rate = PER_ENGINE_S * self._engines
        self._at(self._now + self._rng.expovariate(rate), self._send_sound)
        customer = int(CUSTOMERS * self._rng.random() ** 2)
        parts = (
            f"part:route{customer % 2}",
            f"part:c{customer}",
            f"part:s{self._rng.randrange(SESSIONS)}",
        )
        self._send((f"r{next(self._numbers)}", *parts))

    def _send_crashing(self) -> None:
        wait_s = self._rng.expovariate(CRASHING_PER_S)
        self._at(self._now + wait_s, self._send_crashing)
        parts = ("part:route0", "part:c0", CRASHING)
        self._send((f"r{next(self._numbers)}", *parts))

    def _send(self, subjects: tuple[str, ...]) -> None:
        vm = self._rng.randrange(self._vms)
        way, is_sound = self._way_by_vm[vm], CRASHING not in subjects
        is_refused = any(way.is_refused(subject, self._now) for subject in subjects)
        if is_sound:
            self.result.sound += 1
            self.result.refused += is_refused
            self.result.by_route[subjects[1]] += is_refused
        up = [e for e in range(self._engines) if self._down_until[e] <= self._now]
        if is_refused or not up:
            return
        if not is_sound and self._now > self._fifth_at + STABLE_S:
            self.result.late += 1
        engine = self._rng.choice(up)
        begins_at = self._now + self._rng.uniform(*PREFILL_S)
        run = Run(vm, subjects, begins_at, begins_at + STREAM_S)
        self._runs_by_engine[engine].append(run)
        self._at(begins_at, lambda: self._begin(engine, run))

    def _begin(self, engine: int, run: Run) -> None:
        if run not in self._runs_by_engine[engine]:
            return
        if CRASHING in run.subjects:
            self._crash(engine)
            return
        self._tell(run.vm, self._way_by_vm[run.vm].on_begun(run.subjects, self._now))

    # Crashes.

    def _crash_one(self) -> None:
        self._at(self._now + self._rng.expovariate(1.0), self._crash_one)
        self._crash(self._rng.randrange(self._engines))

    def _crash_many(self) -> None:
        for engine in self._rng.sample(range(self._engines), self._engines * 2 // 3):
            self._crash(engine)

    def _crash(self, engine: int) -> None:
        if self._down_until[engine] > self._now:
            return
        self.result.crashes += 1
        if self.result.crashes == CRASHES:
            self._fifth_at = self._now
        endpoint_id = f"e{engine}@{self._now:.3f}"
        self._down_until[engine] = self._now + DOWN_S
        lost, self._runs_by_engine[engine] = self._runs_by_engine[engine], []
        for run in lost:
            if run.begins_at >= self._now:
                self._at(self._now + SIGN_S, partial(self._lose, run, endpoint_id))

    def _lose(self, run: Run, endpoint_id: str) -> None:
        for subject in run.subjects:
            way = self._way_by_vm[run.vm]
            found = way.on_lost(subject, endpoint_id, self._now, by_peer=False)
            self._tell(run.vm, found)
            if ("lost", subject, endpoint_id) not in self._told:
                self._told.add(("lost", subject, endpoint_id))
                hear = partial(self._hear, subject, endpoint_id)
                self._broadcast(run.vm, hear)

    def _hear(self, subject: str, endpoint_id: str, vm: int) -> None:
        way = self._way_by_vm[vm]
        self._tell(vm, way.on_lost(subject, endpoint_id, self._now, by_peer=True))

    def _tell(self, vm: int, found: list[Finding]) -> None:
        """Tell the other VMs what is sound, once for each crash."""
        for finding in found:
            if not isinstance(finding, Sound):
                continue
            key = (f"sound{finding.age_s < 1.0}", finding.subject, finding.endpoint_id)
            if key not in self._told:
                self._told.add(key)
                self._broadcast(vm, partial(self._hear_sound, finding))

    def _hear_sound(self, sound: Sound, vm: int) -> None:
        self._way_by_vm[vm].on_sound(sound.subject, sound.age_s, self._now)

    def _broadcast(self, sender: int, hear: Callable[[int], None]) -> None:
        hops = 1 + math.ceil(math.log(max(1.0, self._vms / 16), FANOUT))
        self.result.messages += 1
        for vm in range(self._vms):
            if vm != sender:
                delay_s = HOP_S * self._rng.randint(1, hops)
                self._at(self._now + delay_s, partial(hear, vm))


def main(names: Sequence[str]) -> None:
    """Print a line for each way named, by default all, fleet and kind of day."""
    print("way    VMs  day      crashes  late  refused of sound  worst route  rows")
    for vms in FLEETS:
        for storm in (False, True):
            for name in names or WAYS:
                results = [Day(vms, s, WAYS[name], storm=storm).play() for s in SEEDS]
                crashes = [r.crashes for r in results]
                late = [r.late for r in results]
                refused = sum(r.refused for r in results)
                sound = sum(r.sound for r in results)
                routes = Counter[str]()
                for result in results:
                    routes += result.by_route
                kind = "storm" if storm else "one part"
                print(
                    f"{name:6} {vms:3}  {kind:8} {crashes!s:>15} {late!s:>13}"
                    f" {refused:6} of {sound:6} {max(routes.values(), default=0):6}"
                    f" {sum(r.messages for r in results):6}",
                    flush=True,
                )


if __name__ == "__main__":
    main(sys.argv[1:])
