"""Callers of a soak that leave, and the check that nobody works for them.

It follows the operators' two sentences on clients that have left.
"""

import asyncio
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from math import inf

from bamboovale.http1.connection import ConnectFailed, Connection
from bamboovale.standins.endpoint_signals import Arrival
from bamboovale.standins.platform_endpoints import Run
from bench.soak_callers import Attempt, Kind, Load
from bench.soak_delay import LoopDelay
from bench.soak_load import SoakLoad
from bench.soak_site import Life, VMProcess
from bench.soak_spans import FaultSpan
from bench.soak_stops import BUSY

LEFT_S = 0.5
"""Time after a caller's close from which nothing may reach an endpoint for it."""
FEW = 3
WORK_SHARE = 0.25
"""Most of the runs that go on for so long, of those that would have lasted."""
STABLE_S = 3.0
"""Time without disruption after which a VM is in touch, as configured."""

RATE_PER_CALLER_S = 4.0
LEAVES_SHARE = 0.7
LEAVES_AFTER_S = 0.25
NEW_SHARE = 0.3
"""Share of requests on new connections."""
HALVES_SHARE = 0.1
RUN_S = 1.0
"""How long a run is taken to last by itself: streams do, so that callers leave while
they go on."""
EVENTS = 5
EVENT_S = RUN_S / EVENTS
CANCELLED = "cancelled"
"""How a run ends whose connection is closed before."""


class LeaveLoad(SoakLoad):
    """Sends requests at a steady rate; most of their callers leave early."""

    async def run(self) -> None:
        """Send requests until cancelled."""
        rate_per_s = RATE_PER_CALLER_S * self._callers
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self._rng.expovariate(rate_per_s))
                group.create_task(self._send(self._rng.choice(list(self._vms))))

    async def _send(self, vm: VMProcess) -> None:
        kind = self._rng.choice(list(Kind))
        leaves = self._rng.random() < LEAVES_SHARE
        is_halved = self._rng.random() < HALVES_SHARE
        load = Load(
            EVENTS,
            half_s=2 * LEAVES_AFTER_S if is_halved else 0.0,
            leaves_after_s=LEAVES_AFTER_S if leaves else None,
        )
        try:
            connection = await self._connect(vm)
        except (ConnectFailed, OSError):
            return
        attempt = await self._caller(vm).send_on(connection, kind, vm, load)
        self._attempts.append(attempt)
        self._give_back(vm, connection)

    async def _connect(self, vm: VMProcess) -> Connection:
        kept = self._kept.get(vm.name, [])
        while kept and self._rng.random() > NEW_SHARE:
            connection = kept.pop()
            if not connection.closed and not connection._ended:
                return connection
        return await Connection.open(*vm.callers)


@dataclass(frozen=True)
class LeftRequest:
    """A request whose caller closed its connection before the answer was whole.

    ``late_s`` are its arrivals at endpoints after the allowed time, in seconds after
    the close; ``works_on`` is whether a run that would have lasted until then did, None
    without one. ``in_touch`` is whether the VM counts.
    """

    attempt: Attempt
    late_s: tuple[float, ...]
    works_on: bool | None
    in_touch: bool


def left_requests(
    attempts: Iterable[Attempt],
    arrivals: Iterable[Arrival],
    runs_by_id: Mapping[str, Sequence[Run]],
    faults: Sequence[FaultSpan],
    lives: Sequence[Life],
    delay: LoopDelay,
) -> Iterator[LeftRequest]:
    """Yield each request whose caller left, with what was done for it since."""
    arrivals_by_id: dict[str, list[Arrival]] = {}
    for arrival in arrivals:
        arrivals_by_id.setdefault(arrival.request_id, []).append(arrival)
    for attempt in attempts:
        if attempt.closed_at is None:
            continue
        until = attempt.closed_at + LEFT_S
        late_s = tuple(
            arrival.at - attempt.closed_at
            for arrival in arrivals_by_id.get(attempt.request_id, ())
            if arrival.at - delay.around_s(arrival.at) > until
        )
        last_at = attempt.closed_at + max(late_s, default=LEFT_S)
        yield LeftRequest(
            attempt,
            late_s,
            _works_on(runs_by_id.get(attempt.request_id, ()), until, delay),
            _is_in_touch(attempt, last_at, faults, lives),
        )


def left_violations(
    left: Iterable[LeftRequest], *, is_complete: bool
) -> Iterator[tuple[str, str]]:
    """Yield which of the two sentences is broken, and by what.

    The share of the second one is of all requests: it counts once they are complete.
    """
    counted = [request for request in left if request.in_touch]
    late = [request for request in counted if request.late_s]
    if sum(len(request.late_s) for request in late) > FEW:
        yield "nothing sent on for callers that left", _describe(late)
    lasting = [
        request
        for request in counted
        if request.works_on is not None and request.attempt.kind is not Kind.BOOK
    ]
    working = [request for request in lasting if request.works_on]
    if is_complete and len(working) > WORK_SHARE * len(lasting):
        detail = f"{len(working)} of {len(lasting)} runs went on: {_describe(working)}"
        yield "no work for callers that left", detail


def describe_left(left: Sequence[LeftRequest]) -> str:
    """Return how much was done for callers that had left."""
    lasting = [request for request in left if request.works_on is not None]
    late = [request for request in left if request.late_s]
    return (
        f"{len(left)} callers left ({sum(x.in_touch for x in left)} at VMs in touch);"
        f" sent on later: {len(late)} ({sum(x.in_touch for x in late)}),"
        f" work went on for {sum(bool(x.works_on) for x in lasting)} of {len(lasting)}"
    )


def _works_on(runs: Sequence[Run], until: float, delay: LoopDelay) -> bool | None:
    """Return whether a run went on that would have lasted; None without one."""
    begun = [run for run in runs if run.started_at < until]
    if any(_noted_end(run, delay) > until for run in begun):
        return True
    would_last = [
        run
        for run in begun
        if run.ended == CANCELLED and until < run.started_at + RUN_S
    ]
    return False if would_last else None


def _noted_end(run: Run, delay: LoopDelay) -> float:
    """Return the earliest time at which a run may have ended."""
    if run.ended_at is None:
        return inf
    return run.ended_at - delay.around_s(run.ended_at)


def _is_in_touch(
    attempt: Attempt,
    until: float,
    faults: Sequence[FaultSpan],
    lives: Sequence[Life],
) -> bool:
    """Return whether nothing happened to a VM shortly before or meanwhile."""
    assert attempt.closed_at is not None
    since = attempt.closed_at - STABLE_S
    disturbed = any(
        fault.name != BUSY
        and fault.subject in (attempt.vm, "store")
        and fault.overlaps(since, until)
        for fault in faults
    )
    times = [
        at
        for life in lives
        if life.vm == attempt.vm
        for at in (life.started_at, life.stopped_at, life.killed_at, life.ended_at)
    ]
    changed = any(at is not None and since <= at <= until for at in times)
    stops = any(
        life.stopped_at is not None
        and life.stopped_at <= until
        and (life.ended_at is None or life.ended_at >= since)
        for life in lives
        if life.vm == attempt.vm
    )
    return not (disturbed or changed or stops)


def _describe(left: Sequence[LeftRequest]) -> str:
    shown = [
        f"{request.attempt.request_id} ({request.attempt.kind} at {request.attempt.vm},"
        f" {', '.join(f'{s:.2f} s' for s in request.late_s) or 'works'})"
        for request in left[:5]
    ]
    return f"{len(left)} requests: {'; '.join(shown)}"
