"""How late the event loop of a soak runs what is due.

Callers share it with all stand-ins, and so hear late of what VMs do.
"""

import asyncio
import time
from collections import deque

BEAT_S = 0.01
KEPT_BEATS = 50
LATE_S = 0.02
"""Delays above are kept for the whole soak."""
AROUND_S = 0.5
STEPS = 3
"""Runs of the loop from the end of a connection until its caller has noted it."""
SURE_S = 0.02
"""Delay that is taken for granted, of the kernel and of timers."""
MOST_S = 0.3
"""Delay that is granted at most."""


class LoopDelay:
    """Measures the loop's delay while ``run`` runs."""

    def __init__(self) -> None:
        self._beat_at = time.monotonic()
        self._late_s: deque[float] = deque([0.0], maxlen=KEPT_BEATS)
        self._late_beats: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Measure until cancelled."""
        self._beat_at = time.monotonic()
        while True:
            await asyncio.sleep(BEAT_S)
            late_s = self._late_now_s()
            self._late_s.append(late_s)
            if late_s > LATE_S:
                self._late_beats.append((time.monotonic(), late_s))
            self._beat_at = time.monotonic()

    def recent_s(self) -> float:
        """Return how late a caller may have noted what happens now."""
        late_s = max(self._late_now_s(), max(self._late_s))
        return min(MOST_S, SURE_S + STEPS * late_s)

    def around_s(self, at: float) -> float:
        """Return how late what happened about a time may have been noted."""
        late_s = [late for beat, late in self._late_beats if abs(beat - at) < AROUND_S]
        return min(MOST_S, SURE_S + STEPS * max(late_s, default=0.0))

    def _late_now_s(self) -> float:
        return max(0.0, time.monotonic() - self._beat_at - BEAT_S)
