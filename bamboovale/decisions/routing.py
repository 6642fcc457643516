"""Chooses the endpoint of a plain service for a call, at one entry VM.

Round robin continues to send calls to a slow or failing endpoint, and counting failures
misses one that hangs.

Of two random endpoints the one with less expected work is chosen: outstanding calls
times recent latency, where a call that hangs counts with its age. An endpoint with a
larger share of errors than others counts as busier, so that it loses most calls without
being ejected. An endpoint that has stopped working, or is far slower than its pool, is
ejected for a while and returns by one trial call; at most a third of the pool is
ejected. A failure that comes fast makes no endpoint faster. A slow one still gets the
calls that no other endpoint takes. Each endpoint has a concurrency limit that falls
with failed or late calls. A call that an endpoint rejected because it was full is no
failure of the endpoint.
"""

import math
import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from bamboovale.decisions.failure_row import FailureRow

SLOW_FACTOR = 5.0
"""Multiple of the median latency, far outside the spread of healthy endpoints."""
MIN_SLOW_S = 0.1
"""Latency below which an endpoint is not ejected."""
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
"""Bound of the doubling time of consecutive ejections; the first is short, so that a
repaired endpoint is back soon."""
MAX_EJECTED_SHARE = 1.0 / 3.0
ERROR_COST = 12.0
"""Scales the cost by the share of errors."""
REJECTION_COST = 4.0
REJECTION_WEIGHT = 0.25
REJECTION_DECAY_S = 1.0
"""The same for calls that an endpoint rejected as it was full, which passes within the
time of a few calls."""
LATENCY_DECAY_S = 5.0
"""Time constant with which a slow answer decays."""
INITIAL_LIMIT = 32.0
MIN_LIMIT = 4.0
MAX_LIMIT = 256.0
LIMIT_DECREASE = 0.7
INITIAL_LATENCY_S = 0.05
"""Assumed until the first answer."""
MEDIAN_VALID_S = 0.25
"""How long the median of the pool is cached, as computing it costs a sort."""
MAX_DRAWS = 8
"""Random draws before all endpoints are examined: enough while half of the pool has
room."""


@dataclass
class Endpoint:
    """State of one endpoint at this entry VM."""

    latency_s: float = INITIAL_LATENCY_S
    measured_at: float = 0.0
    failures: FailureRow = field(default_factory=FailureRow)
    rejected_share: float = 0.0
    rejected_at: float = 0.0
    ejections_in_row: int = 0
    limit: float = INITIAL_LIMIT
    most: int | None = None
    started_at_by_call: dict[str, float] = field(default_factory=dict)

    def expected_latency(self, now: float) -> float:
        """Return the recent latency, or the age of the oldest call if longer."""
        return max(self._recent_latency(now), self._oldest_age(now))

    def is_answering(self, now: float) -> bool:
        """Return whether its last call succeeded, none hangs, and one more has room."""
        hangs = self._oldest_age(now) > self._recent_latency(now)
        return not self.failures.length and not hangs and self.has_room()

    def _recent_latency(self, now: float) -> float:
        faded = math.exp(-max(0.0, now - self.measured_at) / LATENCY_DECAY_S)
        return INITIAL_LATENCY_S + (self.latency_s - INITIAL_LATENCY_S) * faded

    def _oldest_age(self, now: float) -> float:
        oldest = next(iter(self.started_at_by_call.values()), now)
        return now - oldest

    def cost(self, now: float) -> float:
        """Return the expected work before a new call succeeds."""
        work_s = (len(self.started_at_by_call) + 1) * self.expected_latency(now)
        faded = math.exp(-max(0.0, now - self.measured_at) / LATENCY_DECAY_S)
        full = REJECTION_COST * self.recently_rejected(now)
        return work_s * (1.0 + ERROR_COST * self.failures.error_share * faded + full)

    def recently_rejected(self, now: float) -> float:
        """Return the share of calls that were rejected, less the longer ago."""
        age_s = max(0.0, now - self.rejected_at)
        return self.rejected_share * math.exp(-age_s / REJECTION_DECAY_S)

    def has_room(self) -> bool:
        """Return whether the concurrency limits allow one more call."""
        under_way = len(self.started_at_by_call)
        return under_way < self.limit and (self.most is None or under_way < self.most)


class ServiceRouter:
    """Routes the calls to one pool of a plain service."""

    def __init__(self) -> None:
        self._endpoint_by_id: dict[str, Endpoint] = {}
        self._names: list[str] = []
        self._ejected: dict[str, float] = {}
        self._median_s = INITIAL_LATENCY_S
        self._median_at: float | None = None

    def set_endpoints(self, endpoint_ids: Iterable[str]) -> None:
        """Set the live endpoints; calls to removed ones still end normally.

        A pool that shrinks gets back those that are ejected beyond its share.
        """
        self._endpoint_by_id = {
            name: self._endpoint_by_id.get(name) or Endpoint() for name in endpoint_ids
        }
        self._names = sorted(self._endpoint_by_id)
        for name in set(self._ejected) - set(self._names):
            del self._ejected[name]
        while len(self._ejected) > self._max_ejected():
            del self._ejected[min(self._ejected, key=self._ejected.__getitem__)]
        self._median_at = None

    def set_most(self, most_by_id: Mapping[str, int]) -> None:
        """Set how many calls may be under way at some endpoints, and at no others."""
        for name, endpoint in self._endpoint_by_id.items():
            endpoint.most = most_by_id.get(name)

    def under_way(self, endpoint_id: str) -> int:
        """Return the number of calls under way at an endpoint."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        return len(endpoint.started_at_by_call) if endpoint is not None else 0

    def choose(
        self,
        now: float,
        rng: random.Random,
        excluded: Collection[str] = (),
    ) -> str | None:
        """Return the endpoint to call, or None if none has room."""
        for name in self._ejected:
            if name not in excluded and self._is_trial_due(name, now):
                return name
        drawn = self._draw(rng, excluded) or self._slow_but_answering(excluded, now)
        return min(
            drawn,
            key=lambda name: self._endpoint_by_id[name].cost(now),
            default=None,
        )

    def on_start(self, endpoint_id: str, call_id: str, now: float) -> None:
        """Count a call that was sent."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            endpoint.started_at_by_call[call_id] = now

    def on_end(
        self,
        endpoint_id: str,
        call_id: str,
        now: float,
        *,
        ok: bool,
        error: bool = False,
    ) -> None:
        """Record the end of a call; not ``ok`` for a time-out, broken call or 5xx.

        ``error`` marks an answer in time that reports a failure.
        """
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return
        took_s = now - endpoint.started_at_by_call.pop(call_id, now)
        endpoint.rejected_share *= 1.0 - REJECTION_WEIGHT
        if ok and not error:
            endpoint.failures.on_answer()
            self._update_latency(endpoint, took_s, now)
            self._succeeded(endpoint_id, now)
            return
        endpoint.failures.on_failure()
        # A fast failure must not attract calls.
        self._update_latency(endpoint, max(took_s, self._median(now)), now)
        if not ok:
            endpoint.limit = max(MIN_LIMIT, endpoint.limit * LIMIT_DECREASE)
        self._failed(endpoint_id, now)

    def on_rejected(self, endpoint_id: str, call_id: str, now: float) -> None:
        """Record a call that an endpoint rejected, as it was full.

        It counts as busier for a while, but is not ejected: that would leave the load
        of a full pool to fewer endpoints.
        """
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return
        endpoint.started_at_by_call.pop(call_id, None)
        known = endpoint.recently_rejected(now)
        endpoint.rejected_share = known + REJECTION_WEIGHT * (1.0 - known)
        endpoint.rejected_at = now

    def on_tick(self, now: float) -> None:
        """Eject endpoints whose calls hang."""
        for name in self._names:
            if name not in self._ejected and self._is_slow(name, now):
                self._eject(name, now)

    def ejected(self) -> list[str]:
        """Return the endpoints that get no calls except trials."""
        return list(self._ejected)

    def _draw(self, rng: random.Random, excluded: Collection[str]) -> list[str]:
        """Return up to two random endpoints that have room."""
        if not self._names:
            return []
        drawn: dict[str, None] = {}
        for _ in range(MAX_DRAWS):
            name = rng.choice(self._names)
            if name not in excluded and self._is_ready(name):
                drawn[name] = None
            if len(drawn) == 2:
                return list(drawn)
        ready = [
            name
            for name in self._names
            if name not in excluded and self._is_ready(name)
        ]
        return rng.sample(ready, min(2, len(ready)))

    def _slow_but_answering(self, excluded: Collection[str], now: float) -> list[str]:
        """Return ejected endpoints that still answer.

        Guards against refusals where the rest of the pool takes no calls, as endpoints
        have limits or want rest. One that fails or hangs gets no calls even then.
        """
        return [
            name
            for name in self._ejected
            if name not in excluded and self._endpoint_by_id[name].is_answering(now)
        ]

    def _is_ready(self, name: str) -> bool:
        return name not in self._ejected and self._endpoint_by_id[name].has_room()

    def _is_trial_due(self, name: str, now: float) -> bool:
        idle = not self._endpoint_by_id[name].started_at_by_call
        return idle and now >= self._ejected[name]

    def _update_latency(self, endpoint: Endpoint, latency_s: float, now: float) -> None:
        before = endpoint.expected_latency(now)
        if latency_s > before:
            endpoint.latency_s = latency_s
        else:
            endpoint.latency_s = before + 0.2 * (latency_s - before)
        endpoint.measured_at = now

    def _succeeded(self, name: str, now: float) -> None:
        endpoint = self._endpoint_by_id[name]
        endpoint.limit = min(MAX_LIMIT, endpoint.limit + 1.0 / endpoint.limit)
        ejected_until = self._ejected.get(name)
        if ejected_until is not None and now < ejected_until:
            return
        if self._is_slow(name, now):
            self._eject(name, now)
        elif ejected_until is not None:
            del self._ejected[name]
            endpoint.ejections_in_row = 0

    def _failed(self, name: str, now: float) -> None:
        if now < self._ejected.get(name, now):
            return
        if name in self._ejected or self._has_stopped(name):
            self._eject(name, now)

    def _has_stopped(self, name: str) -> bool:
        """Return whether an endpoint has stopped working, by the best other one."""
        shares = (
            endpoint.failures.error_share
            for other, endpoint in self._endpoint_by_id.items()
            if other != name and other not in self._ejected
        )
        failures = self._endpoint_by_id[name].failures
        return failures.is_conclusive(min(shares, default=0.0))

    def _is_slow(self, name: str, now: float) -> bool:
        latency_s = self._endpoint_by_id[name].expected_latency(now)
        if latency_s <= MIN_SLOW_S:
            return False
        return latency_s > SLOW_FACTOR * self._median(now)

    def _median(self, now: float) -> float:
        """Return the lower median of the latencies in the pool."""
        if self._median_at is None or now - self._median_at > MEDIAN_VALID_S:
            latencies = sorted(
                endpoint.expected_latency(now)
                for endpoint in self._endpoint_by_id.values()
            )
            self._median_s = latencies[(len(latencies) - 1) // 2]
            self._median_at = now
        return self._median_s

    def _max_ejected(self) -> int:
        if len(self._names) < 2:
            return 0
        return max(1, int(len(self._names) * MAX_EJECTED_SHARE))

    def _eject(self, name: str, now: float) -> None:
        if name not in self._ejected and len(self._ejected) >= self._max_ejected():
            return
        endpoint = self._endpoint_by_id[name]
        pause = FIRST_EJECTION_S * 2.0**endpoint.ejections_in_row
        self._ejected[name] = now + min(pause, MAX_EJECTION_S)
        endpoint.ejections_in_row = min(endpoint.ejections_in_row + 1, 10)
