"""A budget for our own repeats: a share of fresh requests, never a fixed count alone.

Load pattern: endpoints fail while the load is high. Three tries for each request
triple the load on what is left, which then fails as well and stays down. With a
budget, repeats add at most a tenth, also when everything fails; a small floor lets a
quiet system repeat its few requests.
"""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class RetryConfig:
    """Share of fresh requests, floor in repeats per half-life, decay in seconds."""

    share: float = 0.1
    floor: float = 3.0
    half_life_s: float = 10.0


class RetryBudget:
    """Counts fresh requests and repeats, both forgotten as time passes."""

    @classmethod
    def from_config(cls, config: RetryConfig) -> "RetryBudget":
        """Return a budget that has seen nothing."""
        return cls(config)

    def __init__(self, config: RetryConfig) -> None:
        self._config = config
        self._fresh = 0.0
        self._repeats = 0.0
        self._counted_at = 0.0

    def on_fresh(self, now: float) -> None:
        """Count a request that a caller sent."""
        self._decay(now)
        self._fresh += 1.0

    def take(self, now: float) -> bool:
        """Take one repeat from the budget; False means: give the caller the error."""
        self._decay(now)
        allowed = self._config.floor + self._config.share * self._fresh
        if self._repeats + 1.0 > allowed:
            return False
        self._repeats += 1.0
        return True

    def _decay(self, now: float) -> None:
        passed = max(0.0, now - self._counted_at)
        kept = math.exp(-math.log(2) * passed / self._config.half_life_s)
        self._fresh *= kept
        self._repeats *= kept
        self._counted_at = max(now, self._counted_at)
