"""Which endpoint of a plain service gets a call, at one entry VM.

Load pattern: one endpoint becomes slow or fails while calls keep coming. Round robin
sends it as much as before, so that every third booking waits; counting only failures
misses an endpoint that hangs.

Two endpoints are drawn by chance and the one with less expected work wins: calls
outstanding times recent latency, where a call that still hangs counts with its age. An
endpoint that answers with errors more often than others looks busier by that share, so
that one which fails part of its calls loses most of them without being ejected. An
endpoint that fails in a row, or is far slower than its pool, is ejected for a while,
never more than a third of the pool, and comes back by one trial call. Each endpoint has
a limit of calls at once that falls when it answers late or not at all.
"""

import math
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

FAILURES_TO_EJECT = 5
"""Five in a row: by chance at 10 % failures once in 100,000 calls."""
SLOW_FACTOR = 5.0
"""Far outside the spread among healthy endpoints of one pool."""
SLOW_AT_LEAST_S = 0.1
"""Below a tenth of a second slowness is not worth an ejection."""
EJECTED_FIRST_S = 2.0
EJECTED_MOST_S = 30.0
"""Two seconds first, doubled for each ejection in a row: a mended one is back soon."""
EJECTED_SHARE = 1.0 / 3.0
ERROR_COST = 12.0
ERROR_WEIGHT = 0.12
"""How much an endpoint that always answers with errors looks busier, and how fast the
share is learned: from some eight answers. At a share of errors that all have alike the
order among them stays."""
LATENCY_FADES_S = 5.0
"""A slow answer counts at once and fades with this time constant."""
LIMIT_FIRST = 32.0
LIMIT_LEAST = 4.0
LIMIT_MOST = 256.0
LIMIT_CUT = 0.7
FIRST_LATENCY_S = 0.05
"""A guess for endpoints not yet called; replaced by the first answer."""
MEDIAN_VALID_S = 0.25
"""The pool's median costs a sort, so it is kept for a moment."""
DRAWS = 8
"""Draws of two before all are looked at: enough while half of the pool has room."""


@dataclass
class Endpoint:
    """What one entry VM has seen of an endpoint."""

    latency_s: float = FIRST_LATENCY_S
    measured_at: float = 0.0
    error_share: float = 0.0
    failures_in_row: int = 0
    ejections_in_row: int = 0
    limit: float = LIMIT_FIRST
    started_at_by_call: dict[str, float] = field(default_factory=dict)

    def expected_latency(self, now: float) -> float:
        """Return the recent latency, or the age of a call that hangs."""
        faded = math.exp(-max(0.0, now - self.measured_at) / LATENCY_FADES_S)
        recent = FIRST_LATENCY_S + (self.latency_s - FIRST_LATENCY_S) * faded
        oldest = next(iter(self.started_at_by_call.values()), now)
        return max(recent, now - oldest)

    def cost(self, now: float) -> float:
        """Return the expected work before a new call is answered well."""
        work_s = (len(self.started_at_by_call) + 1) * self.expected_latency(now)
        faded = math.exp(-max(0.0, now - self.measured_at) / LATENCY_FADES_S)
        return work_s * (1.0 + ERROR_COST * self.error_share * faded)

    def has_room(self) -> bool:
        """Say whether the endpoint's limit allows one more call."""
        return len(self.started_at_by_call) < self.limit


class ServiceRouter:
    """Routes the calls of one pool of a plain service."""

    def __init__(self) -> None:
        self._endpoint_by_id: dict[str, Endpoint] = {}
        self._names: list[str] = []
        self._ejected: dict[str, float] = {}
        self._median_s = FIRST_LATENCY_S
        self._median_at: float | None = None

    def set_endpoints(self, endpoint_ids: Iterable[str]) -> None:
        """Take the live endpoints; calls to those that left still end normally."""
        self._endpoint_by_id = {
            name: self._endpoint_by_id.get(name) or Endpoint() for name in endpoint_ids
        }
        self._names = sorted(self._endpoint_by_id)
        for name in set(self._ejected) - set(self._names):
            del self._ejected[name]
        self._median_at = None

    def choose(
        self,
        now: float,
        rng: random.Random,
        excluded: Collection[str] = (),
    ) -> str | None:
        """Return the endpoint to call, or None if none has room."""
        for name in self._ejected:
            if name not in excluded and self._wants_trial(name, now):
                return name
        drawn = self._draw(rng, excluded)
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
        """Count a call's end; not ``ok`` for a time-out, a broken call or a 5xx.

        ``error`` is for an answer that came in time and says that the call failed.
        """
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return
        started_at = endpoint.started_at_by_call.pop(call_id, now)
        failed = 1.0 if error or not ok else 0.0
        endpoint.error_share += ERROR_WEIGHT * (failed - endpoint.error_share)
        self._measure(endpoint, now - started_at, now)
        if ok:
            self._succeeded(endpoint_id, now)
        else:
            self._failed(endpoint_id, now)

    def on_tick(self, now: float) -> None:
        """Eject endpoints whose calls hang."""
        for name in self._names:
            if name not in self._ejected and self._is_slow(name, now):
                self._eject(name, now)

    def ejected(self) -> list[str]:
        """Return the endpoints that get no calls but trials."""
        return list(self._ejected)

    def _draw(self, rng: random.Random, excluded: Collection[str]) -> list[str]:
        """Return up to two endpoints by chance among those with room."""
        if not self._names:
            return []
        drawn: dict[str, None] = {}
        for _ in range(DRAWS):
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

    def _is_ready(self, name: str) -> bool:
        return name not in self._ejected and self._endpoint_by_id[name].has_room()

    def _wants_trial(self, name: str, now: float) -> bool:
        idle = not self._endpoint_by_id[name].started_at_by_call
        return idle and now >= self._ejected[name]

    def _measure(self, endpoint: Endpoint, latency_s: float, now: float) -> None:
        before = endpoint.expected_latency(now)
        if latency_s > before:
            endpoint.latency_s = latency_s
        else:
            endpoint.latency_s = before + 0.2 * (latency_s - before)
        endpoint.measured_at = now

    def _succeeded(self, name: str, now: float) -> None:
        endpoint = self._endpoint_by_id[name]
        endpoint.failures_in_row = 0
        endpoint.limit = min(LIMIT_MOST, endpoint.limit + 1.0 / endpoint.limit)
        ejected_until = self._ejected.get(name)
        if ejected_until is not None and now < ejected_until:
            return
        if self._is_slow(name, now):
            self._eject(name, now)
        elif ejected_until is not None:
            del self._ejected[name]
            endpoint.ejections_in_row = 0

    def _failed(self, name: str, now: float) -> None:
        endpoint = self._endpoint_by_id[name]
        endpoint.failures_in_row += 1
        endpoint.limit = max(LIMIT_LEAST, endpoint.limit * LIMIT_CUT)
        if now < self._ejected.get(name, now):
            return
        if name in self._ejected or endpoint.failures_in_row >= FAILURES_TO_EJECT:
            self._eject(name, now)

    def _is_slow(self, name: str, now: float) -> bool:
        latency_s = self._endpoint_by_id[name].expected_latency(now)
        if latency_s <= SLOW_AT_LEAST_S:
            return False
        return latency_s > SLOW_FACTOR * self._median(now)

    def _median(self, now: float) -> float:
        """Return the lower median of the pool's latencies."""
        if self._median_at is None or now - self._median_at > MEDIAN_VALID_S:
            latencies = sorted(
                endpoint.expected_latency(now)
                for endpoint in self._endpoint_by_id.values()
            )
            self._median_s = latencies[(len(latencies) - 1) // 2]
            self._median_at = now
        return self._median_s

    def _eject(self, name: str, now: float) -> None:
        if name not in self._ejected:
            most = max(1, int(len(self._names) * EJECTED_SHARE))
            if len(self._names) < 2 or len(self._ejected) >= most:
                return
        endpoint = self._endpoint_by_id[name]
        pause = EJECTED_FIRST_S * 2.0**endpoint.ejections_in_row
        self._ejected[name] = now + min(pause, EJECTED_MOST_S)
        endpoint.ejections_in_row = min(endpoint.ejections_in_row + 1, 10)
