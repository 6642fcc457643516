"""One entry VM's share of a retry budget that all entry VMs keep together.

Load pattern: endpoints fail while the load is high, and each entry VM repeats what
failed. The bound holds for the sum over all of them, and none sees the others' counts
in time. Each VM takes the ratio of its own fresh requests, which needs no agreement,
and an equal part of the fixed burst; some of that is left for VMs that join or that
count a moment later. Without it a failing service gets several times its load.
"""

from collections import deque
from dataclasses import dataclass

SAFETY = 0.7
"""Of the whole budget. The rest covers a fleet size that is seen late and arrivals
that are counted in another window than they were sent in."""


@dataclass(frozen=True)
class RetryShareConfig:
    """The bound over all entry VMs: repeats in ``window_s`` seconds."""

    ratio: float
    burst: float
    window_s: float


class RetryShare:
    """Counts the fresh requests and repeats of one service at one entry VM."""

    @classmethod
    def from_config(cls, config: RetryShareConfig) -> "RetryShare":
        """Return a share that has seen nothing."""
        return cls(config)

    def __init__(self, config: RetryShareConfig) -> None:
        self._config = config
        self._fresh_at: deque[float] = deque()
        self._repeats_at: deque[float] = deque()
        self.fleet_size = 1

    def set_config(self, config: RetryShareConfig) -> None:
        """Go by another bound from now on; what was counted stays."""
        self._config = config

    def on_fresh(self, now: float) -> None:
        """Count a caller's request."""
        self._fresh_at.append(now)
        self._forget(now)

    def take(self, now: float) -> bool:
        """Count a repeat and allow it; False if the share is used up."""
        self._forget(now)
        if len(self._repeats_at) + 1 > self.allowed():
            return False
        self._repeats_at.append(now)
        return True

    def allowed(self) -> float:
        """Return how many repeats a window may hold now."""
        config = self._config
        burst = config.burst / max(1, self.fleet_size)
        return SAFETY * (config.ratio * len(self._fresh_at) + burst)

    def _forget(self, now: float) -> None:
        oldest = now - self._config.window_s
        for times in (self._fresh_at, self._repeats_at):
            while times and times[0] < oldest:
                times.popleft()
