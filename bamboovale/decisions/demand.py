"""Recent demand by adapter, as an exponentially decaying count.

Popularity shifts without warning: a count without decay keeps adapters that are no
longer used, one with a short half-life evicts adapters that are needed again soon. Only
adapters with recent demand are kept, so that the size does not grow with the catalogue.
"""

import math
from collections.abc import Iterator

HALF_LIFE_S = 20.0
"""Long against one load, short against a shift in popularity."""
FORGET_BELOW = 0.02
"""Counts below this are removed."""
MAX_TRACKED = 4096
"""Bound against a caller that tries all names."""


class RecentDemand:
    """Exponentially decayed count of requests by adapter version."""

    def __init__(self, *, half_life_s: float = HALF_LIFE_S) -> None:
        self._decay_per_s = math.log(2) / half_life_s
        self._count_by_name: dict[str, tuple[float, float]] = {}

    def add(self, name: str, now: float, amount: float = 1.0) -> None:
        """Count a request for an adapter."""
        self._count_by_name[name] = (self.count(name, now) + amount, now)
        if len(self._count_by_name) > MAX_TRACKED:
            self.prune(now)
            self._drop_least(now)

    def count(self, name: str, now: float) -> float:
        """Return the decayed count."""
        counted = self._count_by_name.get(name)
        if counted is None:
            return 0.0
        value, at = counted
        return value * math.exp(-self._decay_per_s * max(0.0, now - at))

    def rate(self, name: str, now: float) -> float:
        """Return the requests per second that the decayed count implies."""
        return self.count(name, now) * self._decay_per_s

    def move(self, old: str, new: str, now: float) -> None:
        """Move the demand of a replaced version to the new one."""
        amount = self.count(old, now)
        self._count_by_name.pop(old, None)
        if amount:
            self.add(new, now, amount)

    def top(self, limit: int, now: float) -> list[str]:
        """Return the names with the highest counts, highest first."""
        ranked = sorted(self, key=lambda name: (-self.count(name, now), name))
        return ranked[:limit]

    def prune(self, now: float) -> None:
        """Remove names whose count has decayed to almost zero."""
        for name in list(self._count_by_name):
            if self.count(name, now) < FORGET_BELOW:
                del self._count_by_name[name]

    def _drop_least(self, now: float) -> None:
        keep = set(self.top(MAX_TRACKED // 2, now))
        for name in list(self._count_by_name):
            if name not in keep:
                del self._count_by_name[name]

    def __iter__(self) -> Iterator[str]:
        return iter(self._count_by_name)

    def __len__(self) -> int:
        return len(self._count_by_name)
