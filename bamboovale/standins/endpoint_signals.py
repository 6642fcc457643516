"""What a stand-in endpoint says of itself in its answers, and checks of who heeds it.

A VM is known by the address from which it connects.
"""

import math
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from bamboovale.http1.connection import Headers

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5.0
"""In a window an endpoint may get the factor of what its limit allows, and the slack
more."""
TOLD_AFTER_S = 0.5
"""A VM is held to a limit or a rest from this time after it was answered with it."""
MAX_IN_REST = 2
"""Requests that an endpoint at rest may still get from a VM."""


@dataclass(frozen=True)
class Arrival:
    """A request of a caller that reached the endpoint."""

    vm: str
    at: float
    request_id: str


@dataclass(frozen=True)
class LimitSpan:
    """A limit in requests a second, from when it was first named until it ended."""

    per_s: float
    named_at: float
    ended_at: float | None = None


@dataclass(frozen=True)
class Rest:
    """A VM was turned away at a time and asked for so many seconds of rest."""

    vm: str
    at: float
    rest_s: float


@dataclass
class SignalRecord:
    """The signals of one endpoint, and the record of answers and arrivals.

    While ``rest_s`` is set the endpoint turns requests away and asks for that rest.
    While ``bears_per_s`` is set it is brittle: it falls over if it must turn more
    requests away in a second.
    """

    now: Callable[[], float] = time.monotonic
    leaving: bool = False
    rest_s: float | None = None
    bears_per_s: float | None = None
    rejected_at: list[float] = field(default_factory=list)
    rests: list[Rest] = field(default_factory=list)
    leaving_told_at: dict[str, float] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    limits: list[LimitSpan] = field(default_factory=list)
    _limit_told_at: dict[str, float] = field(default_factory=dict)

    # Signals.

    def set_limit(self, per_s: float | None) -> None:
        """Name a limit from the next answer on, or (None) no longer."""
        now = self.now()
        if self.limits and self.limits[-1].ended_at is None:
            last = self.limits.pop()
            self.limits.append(LimitSpan(last.per_s, last.named_at, now))
        if per_s is None:
            self._limit_told_at.clear()
        else:
            self.limits.append(LimitSpan(per_s, now))

    def end_all(self) -> None:
        """End all signals, as a restart or the end of a test does."""
        self.set_limit(None)
        self.leaving = False
        self.rest_s = None
        self.bears_per_s = None
        self.excuse()

    def excuse(self, vm: str | None = None) -> None:
        """Hold a VM, or (None) all, to nothing that they were told until now.

        A restart, a freeze or a cut of a VM excuses it.
        """
        if vm is None:
            self._limit_told_at.clear()
            self.leaving_told_at.clear()
            self.rests.clear()
            return
        self._limit_told_at.pop(vm, None)
        self.leaving_told_at.pop(vm, None)
        self.rests = [rest for rest in self.rests if rest.vm != vm]

    def take_back(self, vm: str, since: float) -> None:
        """Hold a VM to nothing that it was told since a time: the answer was cut."""
        for told_at in (self._limit_told_at, self.leaving_told_at):
            if told_at.get(vm, -math.inf) >= since:
                del told_at[vm]
        self.rests = [r for r in self.rests if r.vm != vm or r.at < since]

    def answer_headers(self, vm: str) -> Headers:
        """Return the headers of an answer to a VM, and record that it was told."""
        headers: Headers = []
        if self.limits and self.limits[-1].ended_at is None:
            self._limit_told_at.setdefault(vm, self.now())
            headers.append((b"server-limit", f"{self.limits[-1].per_s:g}".encode()))
        if self.bears_per_s is not None:
            headers.append((b"server-brittle", f"{self.bears_per_s:g}".encode()))
        if self.leaving:
            self.leaving_told_at.setdefault(vm, self.now())
            headers.append((b"server-leaving", b"1"))
        return headers

    def refusal_headers(self, vm: str) -> Headers:
        """Return the headers of an answer that turns a VM away."""
        headers = self.answer_headers(vm)
        if self.rest_s is not None:
            self.rests.append(Rest(vm, self.now(), self.rest_s))
            headers.append((b"retry-after", f"{self.rest_s:g}".encode()))
        return headers

    def on_arrival(self, vm: str, request_id: str) -> None:
        """Record a request of a caller."""
        self.arrivals.append(Arrival(vm, self.now(), request_id))

    def on_rejected(self) -> None:
        """Record a request that was turned away for want of room."""
        self.rejected_at.append(self.now())

    # Checks.

    def falls(self) -> int:
        """Return how often a brittle endpoint would have fallen over.

        A fall empties the second in which too many were turned away.
        """
        falls = 0
        recent: list[float] = []
        for at in self.rejected_at:
            recent = [other for other in recent if at - other < 1.0] + [at]
            if self.bears_per_s is not None and len(recent) > self.bears_per_s:
                falls += 1
                recent = []
        return falls

    def limit_violations(self, stable_s: float) -> Iterator[str]:
        """Yield each window in which VMs that were told sent too much.

        ``stable_s`` is the time after the first naming from which windows count. Where
        the limit changed in a window, the highest one counts.
        """
        counted = [arrival.at for arrival in self.arrivals if self._was_told(arrival)]
        for index, ends_at in enumerate(counted):
            starts_at = ends_at - LIMIT_WINDOW_S
            spans = [
                span for span in self.limits if _overlaps(span, starts_at, ends_at)
            ]
            if not spans or ends_at < self.limits[0].named_at + stable_s:
                continue
            if spans[-1].ended_at is not None and spans[-1].ended_at < ends_at:
                continue
            per_s = max(span.per_s for span in spans)
            allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * per_s + LIMIT_SLACK
            got = sum(starts_at < at <= ends_at for at in counted[: index + 1])
            if got > allowed:
                yield f"{got} requests in {LIMIT_WINDOW_S:g} s, allowed {allowed:.1f}"

    def drain_violations(self, drain_s: float) -> Iterator[str]:
        """Yield each request later than ``drain_s`` after its VM was told to go."""
        for arrival in self.arrivals:
            told_at = self.leaving_told_at.get(arrival.vm)
            if told_at is not None and arrival.at > told_at + drain_s:
                late_s = arrival.at - told_at
                yield f"{arrival.vm} sent {late_s:.2f} s after it was told"

    def rest_violations(self) -> Iterator[str]:
        """Yield each rest in which its VM sent more than it may."""
        for rest in self.rests:
            starts_at, ends_at = rest.at + TOLD_AFTER_S, rest.at + rest.rest_s
            got = sum(
                arrival.vm == rest.vm and starts_at < arrival.at < ends_at
                for arrival in self.arrivals
            )
            if got > MAX_IN_REST:
                yield f"{rest.vm} sent {got} requests in {rest.rest_s:g} s of rest"

    def _was_told(self, arrival: Arrival) -> bool:
        told_at = self._limit_told_at.get(arrival.vm)
        return told_at is not None and arrival.at >= told_at + TOLD_AFTER_S


def _overlaps(span: LimitSpan, starts_at: float, ends_at: float) -> bool:
    return span.named_at <= ends_at and (span.ended_at or ends_at) >= starts_at
