"""How busy one engine is: how late its first events come, how fast slots turn over.

Load pattern: an engine turns slow, or its slots are all pinned. What was sent there
tells neither; requests would go on queueing at it while others are idle, and callers
would be kept waiting for turns that never come.
"""

from collections import deque
from collections.abc import Collection

from bamboovale.decisions.estimates import MovingAverage

UNSTARTED_LEAST = 2
"""Runs without a first event before their age says something of the engine."""
FIRST_EVENT_WEIGHT = 0.15
"""A slow engine shows after some five first events, one late event does not."""
LATE_HALF_LIFE_S = 1.0
"""An engine that was slow gets no requests and so no new samples: what was measured
fades, so that it is tried again within seconds."""
RATE_WINDOW_S = 2.0
RATE_LEAST_PER_S = 8.0
"""Slots that an engine hands on a second, by the loads of the last seconds; at least
what one with slots for two loads a quarter second can do, so that a quiet engine
refuses nobody."""
RATE_FULL_LEAST_PER_S = 0.5
"""The same once requests have waited for slots throughout the window: what was seen is
all that the engine can do then. On a heavy day engines handed on one to three slots a
second; taken for eight, they kept callers waiting for 2.9 s and refused them then."""
SLACK_LOADS = 4
"""Requests ahead that do not count: their loads run side by side."""


class EngineBusyness:
    """Measures of one engine; times are seconds on the owner's clock."""

    def __init__(self) -> None:
        self._late_s = MovingAverage(0.0, weight=FIRST_EVENT_WEIGHT)
        self._late_at = 0.0
        self._loads_at: deque[float] = deque()
        self._full_since: float | None = None

    def late_s(self, now: float) -> float:
        """Return by how much first events came later than their prompts take."""
        unmeasured_s = max(0.0, now - self._late_at - LATE_HALF_LIFE_S)
        return self._late_s.value * 0.5 ** (unmeasured_s / LATE_HALF_LIFE_S)

    def on_first_event(self, late_s: float, now: float) -> None:
        """Count a first event."""
        self._late_s.value = self.late_s(now)
        self._late_s.add(late_s)
        self._late_at = now

    def on_load(self, now: float) -> None:
        """Count a slot that was handed on."""
        self._loads_at.append(now)

    def on_full(self, is_full: bool, now: float) -> None:
        """Take whether requests wait for slots to be handed on."""
        if not is_full:
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now

    def backlog_s(self, unstarted_ages_s: Collection[float], now: float) -> float:
        """Return how long a new prompt waits, by the first events seen and missing.

        Guards against an engine that turned slow: what was sent says nothing then, and
        first events that have not come yet have no measured time. Their age counts.
        """
        waiting_s = 0.0
        if len(unstarted_ages_s) >= UNSTARTED_LEAST:
            waiting_s = sum(unstarted_ages_s) / len(unstarted_ages_s)
        return max(0.0, self.late_s(now), waiting_s)

    def slot_wait_s(self, ahead: int, now: float) -> float:
        """Return when the request behind ``ahead`` others should get a slot."""
        while self._loads_at and now - self._loads_at[0] > RATE_WINDOW_S:
            self._loads_at.popleft()
        full_since = self._full_since
        is_seen = full_since is not None and now - full_since >= RATE_WINDOW_S
        least_per_s = RATE_FULL_LEAST_PER_S if is_seen else RATE_LEAST_PER_S
        rate_per_s = max(least_per_s, len(self._loads_at) / RATE_WINDOW_S)
        return max(0.0, (ahead - SLACK_LOADS) / rate_per_s)
