"""Whether a VM is busy, by how late its timers are.

Load pattern: a crowd comes to a few small VMs of a large fleet. A loop that always has
work to do, or a processor share that is used up for the moment, shows as timers that
fire late, long before requests wait for long. One late timer means nothing: a VM that
was frozen, or one long answer.
"""

BUSY_S = 0.03
"""A mean lateness that a caller's request waits as well, at each of its steps."""
CALM_S = 0.01
CALM_FOR_S = 5.0
"""A VM is no longer busy after so long without; what follows from it moves callers."""
WEIGHT = 0.3
"""Of one timer in the mean."""
LATE_MOST_S = 0.09
"""One timer counts for no more than this, which alone does not make a VM busy: a pause
of the machine is no crowd."""


class TimerLagMonitor:
    """Keeps the mean lateness of one VM's timers; times in seconds."""

    def __init__(self) -> None:
        self.is_busy = False
        self._mean_s = 0.0
        self._calm_since: float | None = None

    def on_timer(self, late_s: float, now: float) -> None:
        """Take one timer's lateness."""
        late_s = min(LATE_MOST_S, max(0.0, late_s))
        self._mean_s += WEIGHT * (late_s - self._mean_s)
        if self._mean_s > BUSY_S:
            self.is_busy = True
            self._calm_since = None
        elif self._mean_s < CALM_S and self._calm_since is None:
            self._calm_since = now
        elif self._mean_s >= CALM_S:
            self._calm_since = None
        if self._calm_since is not None and now - self._calm_since >= CALM_FOR_S:
            self.is_busy = False
