"""Paces the requests to an endpoint that takes only so many a second.

A token bucket that starts empty: what was sent before a limit was known, or by an
earlier owner of an engine, is not known, and must not be added to a full bucket.
"""

import math

LEAST_PER_S = 0.25
"""Rate at which an endpoint whose limit is lower still gets requests: their answers
show when the limit ends."""
BURST_S = 0.1
"""Capacity in seconds of the rate; one request at least."""

ROUNDING = 1e-9
"""Part of a request by which sums of floating-point numbers may be short."""


class RequestPace:
    """The pace of one endpoint's requests at one sender; without a rate all may go."""

    def __init__(self) -> None:
        self._per_s: float | None = None
        self._tokens = 0.0
        self._filled_at = 0.0

    def set_rate(self, per_s: float | None, now: float) -> None:
        """Set how many requests a second may go; None: all, 0: none at all."""
        if per_s == self._per_s:
            return
        if self._per_s is None:
            self._tokens = 0.0
            self._filled_at = now
        self._fill(now)
        self._per_s = per_s

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until the request behind ``ahead`` others may go."""
        if self._per_s is None:
            return 0.0
        self._fill(now)
        missing = 1.0 + ahead - self._tokens
        if missing <= ROUNDING:
            return 0.0
        return missing / self._per_s if self._per_s > 0.0 else math.inf

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        if self._per_s is not None:
            self._fill(now)
            self._tokens -= 1.0

    def _fill(self, now: float) -> None:
        per_s = self._per_s or 0.0
        gained = per_s * max(0.0, now - self._filled_at)
        self._tokens = min(max(1.0, BURST_S * per_s), self._tokens + gained)
        self._filled_at = now


def enforced_per_s(limit_per_s: float | None) -> float | None:
    """Return the rate to keep to for a limit, None without one."""
    return None if limit_per_s is None else max(LEAST_PER_S, limit_per_s)
