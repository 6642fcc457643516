"""A budget for retries as a share of fresh requests.

Guards against retries that multiply the load on the endpoints that are left while
others fail. A small floor allows retries at a low request rate.
"""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class RetryConfig:
    """Share of fresh requests, floor in retries per half-life, half-life in seconds."""

    share: float = 0.1
    floor: float = 3.0
    half_life_s: float = 10.0


class RetryBudget:
    """Exponentially decaying counts of fresh requests and retries."""

    @classmethod
    def from_config(cls, config: RetryConfig) -> "RetryBudget":
        """Return a budget without requests."""
        return cls(config)

    def __init__(self, config: RetryConfig) -> None:
        self._config = config
        self._fresh = 0.0
        self._retries = 0.0
        self._counted_at = 0.0

    def on_fresh(self, now: float) -> None:
        """Count a request from a caller."""
        self._decay(now)
        self._fresh += 1.0

    def take(self, now: float) -> bool:
        """Take one retry from the budget; return False if it is used up."""
        self._decay(now)
        allowed = self._config.floor + self._config.share * self._fresh
        if self._retries + 1.0 > allowed:
            return False
        self._retries += 1.0
        return True

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._counted_at)
        decay = math.exp(-math.log(2) * elapsed_s / self._config.half_life_s)
        self._fresh *= decay
        self._retries *= decay
        self._counted_at = max(now, self._counted_at)
