"""How many adapters an engine keeps in its own cache, by the loads its owner ordered.

Load: popular adapters are evicted and loaded again. An engine loads what it still has
in its cache much faster than what it must fetch, and does not say which that is. The
cache is assumed to drop the adapter whose last load is longest ago.
"""

from collections import OrderedDict

from bamboovale.decisions.place_work import AdapterKey

INITIAL_SIZE = 100
"""Size that is published until a load shows that an adapter was dropped."""
MAX_TRACKED = 256
"""Bound on the adapters whose order of loads is remembered."""


class EngineCache:
    """The adapters that were loaded at one engine, and how many of them it keeps."""

    def __init__(self) -> None:
        self._version_by_key: OrderedDict[AdapterKey, int] = OrderedDict()
        self._kept = 0
        self._dropped: int | None = None

    @property
    def size(self) -> int:
        """Return the largest number of adapters that the engine may keep."""
        if self._dropped is not None:
            return self._dropped
        return max(INITIAL_SIZE, self._kept)

    def loads_since(self, key: AdapterKey, version: int) -> int | None:
        """Return how many other adapters were loaded since this one; None: unknown."""
        if self._version_by_key.get(key) != version:
            return None
        recent = reversed(self._version_by_key)
        return next(n for n, other in enumerate(recent) if other == key)

    def holds(self, loads_since: int | None) -> bool | None:
        """Return whether an adapter is in the cache, None if it may be."""
        if loads_since is None:
            return False
        if loads_since < self._kept:
            return True
        if self._dropped is not None and loads_since >= self._dropped:
            return False
        return None

    def on_load(self, key: AdapterKey, version: int) -> None:
        """Record a load."""
        self._version_by_key[key] = version
        self._version_by_key.move_to_end(key)
        if len(self._version_by_key) > MAX_TRACKED:
            self._version_by_key.popitem(last=False)

    def on_source(self, loads_since: int | None, *, was_cached: bool) -> None:
        """Record whether a load came from the cache."""
        if loads_since is None:
            return
        if was_cached:
            self._kept = max(self._kept, loads_since + 1)
            if self._dropped is not None and self._dropped <= loads_since:
                self._dropped = None
        else:
            self._kept = min(self._kept, loads_since)
            dropped = self._dropped
            self._dropped = (
                loads_since if dropped is None else min(dropped, loads_since)
            )
