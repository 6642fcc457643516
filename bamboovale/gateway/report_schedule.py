"""When the owner of an engine reads the engine's next report."""

import asyncio
from collections.abc import Callable


class ReportSchedule:
    """The time of the next report; the owner waits for it, and may move it forward."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._next_at = 0.0
        self._earlier = asyncio.Event()

    async def wait(self, interval_s: float) -> None:
        """Wait for the interval, or until an earlier time set by :meth:`read_by`."""
        self._next_at = self._now() + interval_s
        while (left_s := self._next_at - self._now()) > 0:
            self._earlier.clear()
            try:
                async with asyncio.timeout(left_s):
                    await self._earlier.wait()
            except TimeoutError:
                break

    def read_by(self, at: float) -> None:
        """Read the next report no later than the given time."""
        if at < self._next_at:
            self._next_at = at
            self._earlier.set()
