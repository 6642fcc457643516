"""Requests of a soak that crash endpoints, sound ones beside them, and the checks."""

import asyncio
import itertools
import random
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from bamboovale.http1.connection import ConnectFailed
from bamboovale.standins.crash_triggers import CrashTrigger
from bamboovale.standins.endpoint_signals import Arrival
from bench.routed import call
from bench.soak_customers import Keys
from bench.soak_site import Life, VMProcess
from bench.soak_spans import FaultSpan

STABLE_S = 3.0
"""Time after the last crash that counts until such requests stop arriving, as
configured; and without a fault at a VM until it is in touch."""
ALLOWED_LATE = 3
LEAST_PART = 0.5
LEAST_REQUESTS = 20
BODY = b"crashes endpoints"
ROUTE_PART = "aa01"
CUSTOMER_PART = "bb02"
CRASHING_PART = "cc03"
CRASHING_SHARE = 0.3
FAIL_UNRUN_EVERY = 3
PAUSE_S = 0.05
FIRST_AT_S = 6.0
"""From the start of a soak to the first request that crashes endpoints."""


@dataclass(frozen=True)
class Begun:
    """A sound request: when it was sent to which VM, and whether its answer began."""

    vm: str
    sent_at: float
    begun: bool


@dataclass
class CrashLoad:
    """Sends requests that crash endpoints to any VM, and sound ones that are alike.

    Those with a crashing part share the others with the sound ones; a crashing body is
    sent as it is each time, to plain endpoints if ``is_plain``.
    """

    vms: Sequence[VMProcess]
    keys: Keys
    rng: random.Random
    trigger: CrashTrigger
    is_plain: bool = False
    sound: list[Begun] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)
    numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    @classmethod
    def from_seed(cls, seed: int, vms: Sequence[VMProcess], keys: Keys) -> "CrashLoad":
        """Return a load with a crashing body or part, by the seed."""
        by_part = seed // 4 % 2 == 0
        trigger = CrashTrigger(
            body=None if by_part else BODY, part=CRASHING_PART if by_part else None
        )
        is_plain = not by_part and seed // 8 % 2 == 0
        return cls(vms, keys, random.Random(f"{seed}-crashes"), trigger, is_plain)

    @property
    def fail_unrun_every(self) -> int | None:
        """Return of how many requests plain endpoints fail one before its run."""
        return FAIL_UNRUN_EVERY if self.is_plain else None

    async def run(self) -> None:
        """Send until cancelled."""
        first_at = time.monotonic() + FIRST_AT_S
        async with asyncio.TaskGroup() as group:
            while True:
                share = CRASHING_SHARE if time.monotonic() > first_at else 0.0
                crashing = self.rng.random() < share
                group.create_task(self._send(crashing=crashing))
                await asyncio.sleep(PAUSE_S * self.rng.uniform(0.5, 1.5))

    async def _send(self, *, crashing: bool) -> None:
        vm = self.rng.choice(self.vms)
        number = next(self.numbers)
        parts = [ROUTE_PART, CUSTOMER_PART, f"{number:04x}"]
        body = f"body {number}".encode()
        if crashing and self.trigger.part is not None:
            parts.insert(2, self.trigger.part)
        elif crashing:
            body = BODY
        key = next(iter(self.keys.in_use.values()))[-1]
        sent_at = time.monotonic()
        self.sent_at.append(sent_at)
        try:
            answer = await call(
                vm.callers,
                "/book/x" if self.is_plain else "/chat/x",
                adapter=None if self.is_plain else "a1",
                body=body,
                attempt=f"crash{number}",
                headers={
                    "Authorization": f"Token {key}",
                    "X-Prompt-Prefix": ",".join(f"{part}:100" for part in parts),
                },
            )
        except (ConnectFailed, OSError):
            return
        if not crashing:
            begun = answer.status == 200 and bool(answer.body)
            self.sound.append(Begun(vm.name, sent_at, begun))


def crash_violations(
    load: CrashLoad, faults: Sequence[FaultSpan], lives: Sequence[Life]
) -> Iterator[tuple[str, str]]:
    """Yield each of the two rules that is broken, and the numbers."""
    name_by_host = {vm.document["ip"]: vm.name for vm in load.vms}

    def is_in_touch(vm: str, at: float) -> bool:
        return not _is_disturbed(vm, at, faults, lives)

    def sent_in_touch(arrival: Arrival) -> bool:
        return is_in_touch(name_by_host.get(arrival.vm, arrival.vm), arrival.at)

    late = load.trigger.late_arrivals(STABLE_S, sent_in_touch)
    if late > ALLOWED_LATE:
        crashes = len(load.trigger.crashed_at)
        yield "crashing requests", f"{late} arrived late, {crashes} crashes"
    counted = [item for item in load.sound if is_in_touch(item.vm, item.sent_at)]
    yield from _sound_violations(load.trigger, counted)


def _sound_violations(
    trigger: CrashTrigger, counted: Sequence[Begun]
) -> Iterator[tuple[str, str]]:
    if not trigger.crashed_at:
        return
    crashes = trigger.crashed_at[: trigger.crashes_to_stop]
    since = crashes[-1] + 2 * STABLE_S
    before = [item.begun for item in counted if item.sent_at < crashes[0]]
    after = [item.begun for item in counted if item.sent_at > since]
    if min(len(before), len(after)) < LEAST_REQUESTS:
        return
    part, usual = sum(after) / len(after), sum(before) / len(before)
    if part < LEAST_PART * usual:
        yield "sound beside crashes", f"begun {part:.2f}, before {usual:.2f}"


def _is_disturbed(
    vm: str, at: float, faults: Sequence[FaultSpan], lives: Sequence[Life]
) -> bool:
    """Return whether a fault struck the VM, or one of what all VMs need, just before.

    A planned stop and a start of its process are such faults too.
    """
    since = at - STABLE_S
    if any(fault.overlaps(since, at) for fault in faults):
        return True
    return any(
        moment is not None and since <= moment <= at
        for life in lives
        if life.vm == vm
        for moment in (life.started_at, life.stopped_at, life.killed_at)
    )
