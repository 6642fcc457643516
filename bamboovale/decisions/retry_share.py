"""One entry VM's share of a retry budget of the whole fleet.

The bound holds for the sum over all entry VMs, and none knows the others' counts in
time. Each VM takes the ratio of its own fresh requests, which needs no coordination,
and an equal part of the fixed burst. Guards against a failing service that gets several
times its load.
"""

from collections import deque
from dataclasses import dataclass

SAFETY = 0.7
"""Used share of the budget; the rest covers a stale fleet size, and arrivals counted in
another window than they were sent in."""


@dataclass(frozen=True)
class RetryShareConfig:
    """The bound over all entry VMs: retries in ``window_s`` seconds."""

    ratio: float
    burst: float
    window_s: float


class RetryShare:
    """Counts the fresh requests and retries of one service at one entry VM."""

    @classmethod
    def from_config(cls, config: RetryShareConfig) -> "RetryShare":
        """Return a share without requests."""
        return cls(config)

    def __init__(self, config: RetryShareConfig) -> None:
        self._config = config
        self._fresh_at: deque[float] = deque()
        self._retries_at: deque[float] = deque()
        self.fleet_size = 1

    def set_config(self, config: RetryShareConfig) -> None:
        """Change the bound; counts stay."""
        self._config = config

    def on_fresh(self, now: float) -> None:
        """Count a request from a caller."""
        self._fresh_at.append(now)
        self._remove_expired(now)

    def take(self, now: float) -> bool:
        """Count and allow a retry; return False if the share is used up."""
        self._remove_expired(now)
        if len(self._retries_at) + 1 > self.allowed():
            return False
        self._retries_at.append(now)
        return True

    def allowed(self) -> float:
        """Return how many retries the current window may contain."""
        config = self._config
        burst = config.burst / max(1, self.fleet_size)
        return SAFETY * (config.ratio * len(self._fresh_at) + burst)

    def fresh(self, now: float) -> int:
        """Return the callers' requests of the current window."""
        self._remove_expired(now)
        return len(self._fresh_at)

    def retries(self, now: float) -> int:
        """Return the retries of the current window."""
        self._remove_expired(now)
        return len(self._retries_at)

    def _remove_expired(self, now: float) -> None:
        oldest = now - self._config.window_s
        for times in (self._fresh_at, self._retries_at):
            while times and times[0] < oldest:
                times.popleft()
