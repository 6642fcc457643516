"""How busy one engine is: lateness of first events and turnover of slots.

Guards against queueing requests at an engine that became slow or whose slots are all in
use while other engines are idle.
"""

from collections import deque
from collections.abc import Collection

from bamboovale.decisions.estimates import MovingAverage

MIN_UNSTARTED = 2
"""Runs without a first event from which their age counts."""
FIRST_EVENT_WEIGHT = 0.15
"""One late event shows little, several in a row a slow engine."""
LATE_HALF_LIFE_S = 1.0
"""The lateness decays without new samples, so that a slow engine is tried again."""
RATE_WINDOW_S = 2.0
MIN_RATE_PER_S = 8.0
"""Lowest assumed slot turnover, so that an idle engine refuses no request."""
MIN_FULL_RATE_PER_S = 0.5
"""The same after requests have waited for slots for a whole window."""
PARALLEL_LOADS = 4
"""Requests ahead that do not count, since their loads run in parallel."""


class EngineBusyness:
    """Load measures of one engine; times are seconds on its owner's clock."""

    def __init__(self) -> None:
        self._late_s = MovingAverage(0.0, weight=FIRST_EVENT_WEIGHT)
        self._late_at = 0.0
        self._loads_at: deque[float] = deque()
        self._full_since: float | None = None

    def late_s(self, now: float) -> float:
        """Return the average lateness of first events beyond their expected time."""
        unmeasured_s = max(0.0, now - self._late_at - LATE_HALF_LIFE_S)
        return self._late_s.value * 0.5 ** (unmeasured_s / LATE_HALF_LIFE_S)

    def on_first_event(self, late_s: float, now: float) -> None:
        """Add the lateness of a first event."""
        self._late_s.value = self.late_s(now)
        self._late_s.add(late_s)
        self._late_at = now

    def on_load(self, now: float) -> None:
        """Count a slot that got another adapter."""
        self._loads_at.append(now)

    def on_full(self, is_full: bool, now: float) -> None:
        """Record whether requests wait for slots."""
        if not is_full:
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now

    def backlog_s(self, unstarted_ages_s: Collection[float], now: float) -> float:
        """Return how long a new prompt waits, by late and missing first events.

        Guards against an engine that became slow: prompts without a first event have no
        measured lateness yet, so their age counts.
        """
        waiting_s = 0.0
        if len(unstarted_ages_s) >= MIN_UNSTARTED:
            waiting_s = sum(unstarted_ages_s) / len(unstarted_ages_s)
        return max(0.0, self.late_s(now), waiting_s)

    def slot_wait_s(self, ahead: int, now: float) -> float:
        """Return the predicted wait for a slot behind ``ahead`` other requests."""
        while self._loads_at and now - self._loads_at[0] > RATE_WINDOW_S:
            self._loads_at.popleft()
        full_since = self._full_since
        is_measured = full_since is not None and now - full_since >= RATE_WINDOW_S
        min_per_s = MIN_FULL_RATE_PER_S if is_measured else MIN_RATE_PER_S
        rate_per_s = max(min_per_s, len(self._loads_at) / RATE_WINDOW_S)
        return max(0.0, (ahead - PARALLEL_LOADS) / rate_per_s)
