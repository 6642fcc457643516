"""Detects a busy VM by the lag of its timers.

An event loop with too much work, or a used up processor share, shows as timers that
fire late, before requests wait for long. One late timer shows nothing: the VM may have
been suspended.
"""

BUSY_LAG_S = 0.03
"""Mean lag above which a VM is busy: each step of a request waits as long."""
IDLE_LAG_S = 0.01
IDLE_AFTER_S = 5.0
"""Time below ``IDLE_LAG_S`` after which a VM is no longer busy."""
WEIGHT = 0.3
"""Weight of one timer in the mean."""
MAX_LAG_S = 0.09
"""Largest lag that one timer counts with, too little to make a VM busy."""


class TimerLagMonitor:
    """Keeps the mean lag of one VM's timers; times in seconds."""

    def __init__(self) -> None:
        self.is_busy = False
        self._mean_s = 0.0
        self._idle_since: float | None = None

    def on_timer(self, late_s: float, now: float) -> None:
        """Add the lag of one timer."""
        late_s = min(MAX_LAG_S, max(0.0, late_s))
        self._mean_s += WEIGHT * (late_s - self._mean_s)
        if self._mean_s > BUSY_LAG_S:
            self.is_busy = True
            self._idle_since = None
        elif self._mean_s < IDLE_LAG_S and self._idle_since is None:
            self._idle_since = now
        elif self._mean_s >= IDLE_LAG_S:
            self._idle_since = None
        if self._idle_since is not None and now - self._idle_since >= IDLE_AFTER_S:
            self.is_busy = False
