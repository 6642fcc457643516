"""Learned times of adapter loads at one engine.

Load: more adapters are requested than engines have slots, so that requests wait for
loads. A request that is sent before its load is complete is rejected and uses up the
fleet's retry budget; one that is sent later than needed makes its caller wait. A load
takes 0.02 to 5 s, depends on whether the weights are in the engine's own cache, and
becomes longer while many engines load at once.

The end of a load is not seen itself. A report shows it some time later, and the last
report without it bounds it from below. An estimate moves only if it is outside of these
bounds. Requests are sent after the mean and a multiple of the mean positive deviation,
as a retransmission timer is set (Jacobson, Karels: Congestion Avoidance and Control,
1988).
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

INITIAL_LOAD_S = 0.3
"""Assumed time until the first load is complete."""
GAIN = 0.25
"""Weight of a load outside of the expected bounds."""
DEVIATIONS = 4.0
"""Multiple of the mean deviation that is added to the mean."""
MARGIN = 0.1
"""Part of the mean that is added to it for deviations that reports do not resolve."""
MIN_MARGIN_S = 0.01
"""Least margin: requests and orders take some milliseconds to arrive."""
QUICK_PART = 0.5
"""A load in less than this part of a load from the store came from the cache."""
MAX_QUICK_IN_A_ROW = 3
"""Quick loads in a row of adapters that were never held after which loads from the
store count as quick. Fewer may be in the cache from the time of an earlier owner."""
TIMEOUT_LOADS = 4.0
"""Expected load times after which a load counts as not started."""
MIN_TIMEOUT_S = 1.5
"""Least such time: an order without an answer is repeated for about a second."""
INITIAL_MAX_LAG_S = 0.5
"""Assumed bound on the age of reports until orders have been seen in them."""


def margin_s(load_s: float) -> float:
    """Return the time after the expected end of a load until requests are sent."""
    return max(MIN_MARGIN_S, MARGIN * load_s)


def median_s(times_s: Iterable[float]) -> float:
    """Return the median of the known times, 0 if none is known."""
    known_s = sorted(time_s for time_s in times_s if time_s > 0.0)
    return known_s[len(known_s) // 2] if known_s else 0.0


class _LoadTime:
    """Mean and mean positive deviation of the loads from one source.

    A guess of the mean is kept as long as it is within the bounds of the loads.
    """

    def __init__(self, guess_s: float) -> None:
        self.mean_s = guess_s
        self.is_known = False
        self._deviation_s = 0.0

    def set(self, mean_s: float) -> None:
        """Replace what was learned."""
        self.mean_s = mean_s
        self.is_known = True
        self._deviation_s = 0.0

    def expected_s(self) -> float:
        """Return the time after which a load is very likely complete."""
        return self.mean_s + DEVIATIONS * self._deviation_s + margin_s(self.mean_s)

    def add(self, min_s: float, max_s: float) -> None:
        """Add a load that took between ``min_s`` and ``max_s``."""
        error_s = 0.0
        if self.mean_s < min_s or self.mean_s > max_s:
            error_s = max_s - self.mean_s
        if not self.is_known:
            self.set(self.mean_s if error_s == 0.0 else max_s)
            return
        self.mean_s += GAIN * error_s
        self._deviation_s += GAIN * (max(0.0, error_s) - self._deviation_s)


@dataclass
class ReportLag:
    """Bounds on the age of an engine's reports when they are received, in seconds."""

    min_s: float = 0.0
    max_s: float = INITIAL_MAX_LAG_S

    def add(self, lacked_s: float, shown_s: float) -> None:
        """Add an order that a report lacked and a later one showed, by their times."""
        if shown_s < self.min_s:
            self.min_s = shown_s
        elif lacked_s > self.min_s:
            # A single late report must not set the bound.
            first_s = min(lacked_s, INITIAL_MAX_LAG_S)
            gained_s = GAIN * (lacked_s - self.min_s)
            self.min_s = self.min_s + gained_s if self.min_s else first_s
        if lacked_s > self.max_s:
            self.max_s = shown_s
        else:
            self.max_s = max(self.min_s, min(self.max_s, shown_s))

    def lower(self, age_s: float) -> None:
        """Lower the minimum, as a report was received ``age_s`` after its state."""
        self.min_s = max(0.0, min(self.min_s, age_s))


class LoadTimes:
    """Load times of one engine, from the weight store and from its own cache.

    ``cached`` is whether an adapter is expected in the engine's cache, None if it was
    held before but may have left the cache since.
    """

    def __init__(self) -> None:
        self.lag = ReportLag()
        self._stored = _LoadTime(INITIAL_LOAD_S)
        self._cached = _LoadTime(math.inf)
        self._quick_in_a_row = 0
        self._is_contradicted = False

    def seed(self, load_s: float, cached_s: float) -> None:
        """Start from the means that another owner learned; 0 if unknown."""
        if load_s > 0.0:
            self._stored.set(load_s)
        if cached_s > 0.0:
            self._cached.set(cached_s)

    @property
    def is_known(self) -> bool:
        """Return whether any load time was learned."""
        return self._stored.is_known

    @property
    def may_predict(self) -> bool:
        """Return whether requests may be sent before a report shows their load.

        After a request that came too early no other is sent so until a load is
        complete: a wrong estimate costs one request.
        """
        return not self._is_contradicted

    def mean_s(self, cached: bool | None) -> float:
        """Return the mean time of a load; from the cache a guess while unknown."""
        if cached and not self._cached.is_known:
            return QUICK_PART / 2 * self._stored.mean_s
        return self._of(cached).mean_s

    def expected_s(self, cached: bool | None = False) -> float:
        """Return the time from an order's answer after which its load is complete."""
        return self._of(cached).expected_s()

    def timeout_s(self) -> float:
        """Return the time after which a load that no report shows did not start."""
        return max(MIN_TIMEOUT_S, TIMEOUT_LOADS * self.expected_s())

    def published_s(self) -> tuple[float, float]:
        """Return the means of loads from the store and the cache, 0 if unknown."""
        stored_s, cached_s = (
            time.mean_s if time.is_known else 0.0
            for time in (self._stored, self._cached)
        )
        return stored_s, cached_s

    def on_complete(
        self,
        took_s: float,
        since_absent_s: float,
        cached: bool | None,
        early_s: float = 0.0,
    ) -> bool | None:
        """Add a load that a report shows as complete.

        ``took_s`` is the time from the order's answer until the report,
        ``since_absent_s`` that from the last report without the adapter to this one,
        ``early_s`` after how long the engine still rejected a request for it, 0 if it
        did not. Returns whether the weights came from the cache, None if unclear.
        """
        self._is_contradicted = False
        if early_s > took_s - self.lag.min_s:
            self.lag.lower(took_s - early_s)
        max_s = max(0.0, took_s - self.lag.min_s)
        min_s = max(early_s, took_s - since_absent_s - self.lag.max_s)
        was_cached = self._was_cached(min_s, max_s, cached)
        if cached if was_cached is None else was_cached:
            self._cached.add(min_s, max_s)
        elif self._is_usual(max_s, cached):
            self._stored.add(min_s, max_s)
        return was_cached

    def on_early(self, after_s: float, cached: bool | None) -> None:
        """Handle a request that came too early, ``after_s`` after the order's answer.

        The load is measured once it is complete.
        """
        self._is_contradicted = True
        time = self._of(cached)
        if time.is_known:
            time.add(after_s, max(after_s, time.expected_s()))

    def _of(self, cached: bool | None) -> _LoadTime:
        return self._cached if cached and self._cached.is_known else self._stored

    def _was_cached(
        self, min_s: float, max_s: float, cached: bool | None
    ) -> bool | None:
        """Return whether a load came from the cache, None if its bounds allow both."""
        if cached is False or not self._stored.is_known:
            return False
        limit_s = QUICK_PART * self._stored.mean_s
        if max_s < limit_s:
            return True
        return False if min_s >= limit_s else None

    def _is_usual(self, max_s: float, cached: bool | None) -> bool:
        """Return whether a load counts for the time of loads from the store."""
        is_quick = max_s < QUICK_PART * self._stored.mean_s
        if cached is not False or not self._stored.is_known or not is_quick:
            self._quick_in_a_row = 0
            return True
        self._quick_in_a_row += 1
        return self._quick_in_a_row > MAX_QUICK_IN_A_ROW
