"""Callers of the play of stops: long streams, sent where a stop leaves little time.

They arrive at a steady rate, and in bursts shortly before callers forget the address of
a VM that stops. Those that are refused come back at another VM.
"""

import asyncio
import itertools
import math
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import median
from typing import Any

from bamboovale.http1.connection import ConnectFailed, Connection
from bench.soak_callers import STREAMS, Attempt, Load
from bench.soak_load import SoakLoad
from bench.soak_site import Life, VMProcess
from bench.soak_stops import RUNS_ON_S

DEADLINE_S = 10.0
"""Beyond the longest stop: it, and not a deadline, ends the longest runs."""
CACHED_S = 3.3
"""Time after SIGTERM for which callers use a VM's address."""
BURST_S = (2.9, 3.3)
"""Time after SIGTERM in which the bursts are sent."""
BURST_PER_CALLER = 0.6
BURST_EVENTS = (30, 130)
MOST_EVENTS = 180
STREAMS_PER_CALLER_S = 0.6
HALVES_SHARE = 0.1
HALF_S = (0.02, 0.4)
"""Shortest and longest pause between the halves of a body."""
REUSE_SHARE = 0.5
MOST_TRIES = 4
RETRY_PAUSE_S = 0.05
REFUSED = (429, 503)


@dataclass
class Stream:
    """One stream that a caller wants, and its tries that have ended."""

    begun_at: float
    load: Load
    has_ended: bool = False
    tries: list[Attempt] = field(default_factory=list)

    @property
    def outcome(self) -> str:
        """Return how it ended for the caller."""
        if not self.has_ended:
            return "under way"
        return _outcome(self.tries[-1]) if self.tries else "no VM"

    @property
    def first_s(self) -> float | None:
        """Return how long the caller waited for the first event."""
        last = self.tries[-1] if self.tries else None
        if last is None or last.status != 200 or last.first_at is None:
            return None
        return last.first_at - self.begun_at


def _outcome(attempt: Attempt) -> str:
    if attempt.status == 200:
        return "served" if attempt.whole else "cut"
    return "refused" if attempt.status in REFUSED else "failed"


class StopLoad(SoakLoad):
    """Sends streams to VMs that stop in series."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.streams: list[Stream] = []

    async def run(self) -> None:
        """Send streams until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._steady(group))
            for vm in self._vms:
                group.create_task(self._bursts(vm, group))

    async def _steady(self, group: asyncio.TaskGroup) -> None:
        """Send streams of all lengths, most of them short."""
        rate_per_s = STREAMS_PER_CALLER_S * self._callers
        while True:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            events = round(math.exp(self._rng.uniform(0.0, math.log(MOST_EVENTS))))
            group.create_task(self._serve(self._load(events), None))

    async def _bursts(self, vm: VMProcess, group: asyncio.TaskGroup) -> None:
        """Send long streams to a VM just before its address is forgotten."""
        for number in itertools.count():
            while len(vm.lives) <= number or vm.lives[number].stopped_at is None:
                await asyncio.sleep(0.1)
            stopped_at = vm.lives[number].stopped_at
            assert stopped_at is not None
            for _ in range(round(BURST_PER_CALLER * self._callers)):
                load = self._load(self._rng.randint(*BURST_EVENTS))
                at = stopped_at + self._rng.uniform(*BURST_S) - load.half_s
                group.create_task(self._serve(load, vm, at))

    def _load(self, events: int) -> Load:
        is_halved = self._rng.random() < HALVES_SHARE
        half_s = self._rng.uniform(*HALF_S) if is_halved else 0.0
        return Load(events, DEADLINE_S, half_s)

    async def _serve(self, load: Load, vm: VMProcess | None, at: float = 0.0) -> None:
        """Send a stream, to another VM each time that it is refused."""
        await asyncio.sleep(at - time.monotonic())
        stream = Stream(time.monotonic(), load)
        self.streams.append(stream)
        for _ in range(MOST_TRIES):
            vm = vm or self._choose()
            try:
                attempt = await self._send(load, vm)
            except (ConnectFailed, OSError):
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                self._attempts.append(attempt)
                stream.tries.append(attempt)
                if attempt.status not in REFUSED:
                    break
                await asyncio.sleep(self._rng.random() * (attempt.retry_after_s or 0.1))
            vm = self._choose(but=vm)
        stream.has_ended = True

    def _choose(self, but: VMProcess | None = None) -> VMProcess:
        """Return a VM whose address callers have, or an open connection to it."""
        others = [vm for vm in self._vms if vm is not but]
        known = [vm for vm in others if _is_known(vm) or self._open_to(vm)]
        return self._rng.choice(known or list(self._vms))

    def _open_to(self, vm: VMProcess) -> list[Connection]:
        """Return the connections to a VM that wait for a request."""
        kept = self._kept.get(vm.name, [])
        is_open = [not c.closed and c.reusable and not c._ended for c in kept]
        self._kept[vm.name] = list(itertools.compress(kept, is_open))
        return self._kept[vm.name]

    async def _send(self, load: Load, vm: VMProcess) -> Attempt:
        kept = self._open_to(vm)
        if kept and (not _is_known(vm) or self._rng.random() < REUSE_SHARE):
            connection = kept.pop()
        else:
            connection = await Connection.open(*vm.callers)
        kind = self._rng.choice(STREAMS)
        try:
            return await self._caller(vm).send_on(connection, kind, vm, load)
        finally:
            self._give_back(vm, connection)


def _is_known(vm: VMProcess) -> bool:
    """Return whether callers have a VM's address."""
    if not vm.lives:
        return False
    stopped_at = vm.lives[-1].stopped_at
    return stopped_at is None or time.monotonic() < stopped_at + CACHED_S


def _is_late(attempt: Attempt, lives: Sequence[Life]) -> bool:
    """Return whether a request was sent in the last moments of a VM's address."""
    return any(
        life.vm == attempt.vm
        and life.stopped_at is not None
        and RUNS_ON_S <= attempt.sent_at - life.stopped_at <= CACHED_S
        for life in lives
    )


def describe_streams(streams: Sequence[Stream], lives: Sequence[Life]) -> str:
    """Return what became of the streams, and what their callers waited."""
    late = Counter(
        _outcome(attempt)
        for stream in streams
        for attempt in stream.tries
        if _is_late(attempt, lives)
    )
    outcomes = Counter(stream.outcome for stream in streams)
    tries = sum(len(stream.tries) for stream in streams)
    refusals = sum(a.status in REFUSED for s in streams for a in s.tries)
    first_s = sorted(s.first_s for s in streams if s.first_s is not None) or [0.0]
    return (
        f"{len(streams)} streams {dict(outcomes.most_common())}, {tries} tries, "
        f"{refusals} refusals, first event after {median(first_s):.2f} s in the median,"
        f" {first_s[int(0.9 * len(first_s))]:.2f} s at nine tenths;"
        f" tries {RUNS_ON_S} to {CACHED_S} s after SIGTERM: {dict(late.most_common())}"
    )
