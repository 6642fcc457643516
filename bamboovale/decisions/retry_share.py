"""One entry VM's share of a retry budget of the whole fleet.

The bound holds for the sum over all entry VMs, and none knows the others' counts in
time. Each VM takes the ratio of its own fresh requests, which needs no coordination,
and an equal part of the fixed burst. Guards against a failing service that gets several
times its load.

The parts must not add up to more than the burst while VMs cannot hear one another, so
that it is divided by all VMs that may be running, live or not, and by the largest such
number of a window: what was taken under it still counts.

A process does not know what the one before it took, and the other VMs may not know the
process yet. It takes no part of the burst until a window has passed since its start.
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
    def from_config(cls, config: RetryShareConfig, started_at: float) -> "RetryShare":
        """Return a share without requests, of a process with this start."""
        return cls(config, started_at)

    def __init__(self, config: RetryShareConfig, started_at: float) -> None:
        self._config = config
        self._started_at = started_at
        self._fresh_at: deque[float] = deque()
        self._retries_at: deque[float] = deque()
        self._fleet_sizes: deque[tuple[float, int]] = deque()

    def set_config(self, config: RetryShareConfig) -> None:
        """Change the bound; counts stay."""
        self._config = config

    def set_fleet_size(self, fleet_size: int, now: float) -> None:
        """Set the number of VMs that may be running."""
        self._remove_expired(now)
        while self._fleet_sizes and self._fleet_sizes[-1][1] <= fleet_size:
            self._fleet_sizes.pop()
        self._fleet_sizes.append((now, fleet_size))

    @property
    def fleet_size(self) -> int:
        """Return the largest number of VMs in the window, 0 if none is known."""
        return self._fleet_sizes[0][1] if self._fleet_sizes else 0

    def on_fresh(self, now: float) -> None:
        """Count a request from a caller."""
        self._fresh_at.append(now)
        self._remove_expired(now)

    def take(self, now: float) -> bool:
        """Count and allow a retry; return False if the share is used up."""
        self._remove_expired(now)
        if len(self._retries_at) + 1 > self.allowed(now):
            return False
        self._retries_at.append(now)
        return True

    def allowed(self, now: float) -> float:
        """Return how many retries the current window may contain."""
        of_requests = self._config.ratio * len(self._fresh_at)
        return SAFETY * (of_requests + self._part_of_burst(now))

    def _part_of_burst(self, now: float) -> float:
        is_new = now < self._started_at + self._config.window_s
        if is_new or not self.fleet_size:
            return 0.0
        return self._config.burst / self.fleet_size

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
        while len(self._fleet_sizes) > 1 and self._fleet_sizes[0][0] < oldest:
            self._fleet_sizes.popleft()
