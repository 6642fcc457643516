"""Recent demand by adapter, forgotten as time passes.

Load pattern: skewed popularity that shifts without warning. A count that never
decays keeps yesterday's favourites loaded; a short one evicts what is wanted again
in a moment. Only adapters with recent demand are kept, so the cost does not grow
with the catalogue.
"""

import math
from collections.abc import Iterator

HALF_LIFE_S = 20.0
"""Long against one load (0.4 s), short against a shift that a caller would notice."""
FORGET_BELOW = 0.02
"""A single request is forgotten after 5.6 half-lives."""
MAX_KEPT = 4096
"""Far above the slots of one engine; a bound against a caller that tries all names."""


class RecentDemand:
    """Exponentially decayed count of requests by adapter version."""

    def __init__(self, *, half_life_s: float = HALF_LIFE_S) -> None:
        self._decay_per_s = math.log(2) / half_life_s
        self._counted_by_name: dict[str, tuple[float, float]] = {}

    def add(self, name: str, now: float, amount: float = 1.0) -> None:
        """Count a request for the name."""
        self._counted_by_name[name] = (self.count(name, now) + amount, now)
        if len(self._counted_by_name) > MAX_KEPT:
            self.prune(now)
            self._drop_least(now)

    def count(self, name: str, now: float) -> float:
        """Return the decayed count."""
        counted = self._counted_by_name.get(name)
        if counted is None:
            return 0.0
        value, at = counted
        return value * math.exp(-self._decay_per_s * max(0.0, now - at))

    def rate(self, name: str, now: float) -> float:
        """Return requests per second as the decayed count suggests."""
        return self.count(name, now) * self._decay_per_s

    def move(self, old: str, new: str, now: float) -> None:
        """Give a new version the demand of the one that it replaces."""
        amount = self.count(old, now)
        self._counted_by_name.pop(old, None)
        if amount:
            self.add(new, now, amount)

    def top(self, limit: int, now: float) -> list[str]:
        """Return the most wanted names, most wanted first."""
        ranked = sorted(self, key=lambda name: (-self.count(name, now), name))
        return ranked[:limit]

    def prune(self, now: float) -> None:
        """Forget what is as good as zero."""
        for name in list(self._counted_by_name):
            if self.count(name, now) < FORGET_BELOW:
                del self._counted_by_name[name]

    def _drop_least(self, now: float) -> None:
        keep = set(self.top(MAX_KEPT // 2, now))
        for name in list(self._counted_by_name):
            if name not in keep:
                del self._counted_by_name[name]

    def __iter__(self) -> Iterator[str]:
        return iter(self._counted_by_name)

    def __len__(self) -> int:
        return len(self._counted_by_name)
