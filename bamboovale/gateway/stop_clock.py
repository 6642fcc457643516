"""Tells since when this VM may have been told to stop.

The platform counts a stop from when it sends the signal. A loop that is late, or a
process that is suspended, hears of it later.
"""

import asyncio
from collections.abc import Callable

WATCH_INTERVAL_S = 0.1
"""Bounds by how much an idle VM dates a stop too early."""
LOOP_PASSES = 4
"""Passes of the loop after which a signal that had come before them is handled: one
finds it, one calls its handler."""


class StopClock:
    """Keeps the last time before which no signal to stop can have come.

    ``unasked_until`` is that time, on the clock ``now``.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self.unasked_until = now()

    async def watch(self) -> None:
        """Keep the time up to date, forever.

        It is one before which passes of the loop handled all signals. A time of now
        alone is no proof: a late timer may run before the handler of a signal that has
        waited longer.
        """
        while True:
            seen_at = self._now()
            for _ in range(LOOP_PASSES):
                await asyncio.sleep(0)
            self.unasked_until = seen_at
            await asyncio.sleep(WATCH_INTERVAL_S)
