"""Adapter slots of one engine at its lease holder, and rules for evictions.

Popularity is skewed and shifts. Least recently used evicts a hot adapter whenever many
rare ones are requested, and each reload costs a load grant and a stall.

The value of a slot is the work that waits for its adapter plus the requests expected
from recent demand. An adapter is loaded if its value is clearly above that of the least
valued slot. A slot that has just changed is kept for a while, so that two adapters do
not evict each other in turn; a failed load backs off.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

FIRST_BACK_OFF_S = 0.5
MAX_BACK_OFF_S = 15.0
"""Bound of the doubling back-off after failed loads."""
EXCHANGE_FACTOR = 1.2
"""Guards against endless exchanges of adapters with almost equal values."""
RESIDENCE_LOADS = 2.0
"""Load times for which a slot is kept after a load: a load that serves nothing is one
more wait for others."""


@dataclass
class Slot:
    """One loaded adapter."""

    loaded_at: float
    used_at: float


@dataclass
class BackOff:
    """Consecutive failed loads of an adapter on this engine."""

    failures: int
    until: float


class SlotRule(Protocol):
    """Chooses the adapter to evict."""

    drains: bool
    """Whether a pinned slot may stop getting requests in order to become free."""

    def victim(
        self,
        candidates: dict[str, Slot],
        newcomer: float,
        value: Callable[[str], float],
        loaded_before: float,
    ) -> str | None:
        """Return the adapter to evict for a newcomer of that value, if any.

        Candidates loaded after ``loaded_before`` are still in their residence time.
        """


class LeastRecentlyUsed:
    """Evicts the least recently used adapter, whatever its value."""

    drains = False

    def victim(
        self,
        candidates: dict[str, Slot],
        newcomer: float,
        value: Callable[[str], float],
        loaded_before: float,
    ) -> str | None:
        """Return the least recently used candidate."""
        return min(
            candidates,
            key=lambda name: (candidates[name].used_at, name),
            default=None,
        )


class LeastValued:
    """Evicts the least valued adapter if the newcomer has a clearly higher value."""

    drains = True

    def victim(
        self,
        candidates: dict[str, Slot],
        newcomer: float,
        value: Callable[[str], float],
        loaded_before: float,
    ) -> str | None:
        """Return the least valued candidate past its residence time."""
        value_by_name = {
            name: value(name)
            for name, slot in candidates.items()
            if slot.loaded_at <= loaded_before
        }
        if not value_by_name:
            return None
        least = min(value_by_name, key=lambda name: (value_by_name[name], name))
        return least if newcomer > value_by_name[least] * EXCHANGE_FACTOR else None


class SlotTable:
    """State of each slot as the lease holder knows it."""

    def __init__(self) -> None:
        self.max_loras = 0
        self.loaded: dict[str, Slot] = {}
        self.loading_since: dict[str, float] = {}
        self.newcomer_by_victim: dict[str, str | None] = {}
        self.uncertain: set[str] = set()
        self._unloaded_at: dict[str, float] = {}
        self._back_off_by_name: dict[str, BackOff] = {}

    @property
    def free(self) -> int:
        """Return the number of slots that are neither used nor reserved."""
        used = len(self.loaded) + len(self.loading_since)
        used += len(self.newcomer_by_victim) + len(self.uncertain)
        return max(0, self.max_loras - used)

    def is_coming(self, name: str) -> bool:
        """Return whether a load or an eviction for the adapter is ordered."""
        return name in self.loading_since or name in self.newcomer_by_victim.values()

    def update_loaded(self, loaded: Iterable[str], read_at: float, now: float) -> None:
        """Apply the list of loaded adapters, except for later changes."""
        listed = set(loaded)
        for name, slot in list(self.loaded.items()):
            if name not in listed and slot.loaded_at <= read_at:
                del self.loaded[name]
        for name in listed:
            if name in self.loaded or name in self.newcomer_by_victim:
                continue
            if self._unloaded_at.get(name, -1.0) > read_at:
                continue
            self.loading_since.pop(name, None)
            self.loaded[name] = Slot(loaded_at=now, used_at=now)
        self.uncertain.clear()
        self._forget_unloaded(read_at)

    def clear(self) -> None:
        """Reset all slots after a restart of the engine."""
        self.loaded.clear()
        self.loading_since.clear()
        self.newcomer_by_victim.clear()
        self.uncertain.clear()
        self._unloaded_at.clear()

    def order_load(self, name: str, now: float) -> None:
        """Record an ordered load."""
        self.loading_since[name] = now

    def order_unload(self, victim: str, newcomer: str | None) -> None:
        """Record an ordered eviction; the adapter gets no more requests."""
        self.loaded.pop(victim, None)
        self.newcomer_by_victim[victim] = newcomer

    def load_done(self, name: str, now: float) -> float | None:
        """Record a finished load and return its seconds; None if it was not ordered."""
        since = self.loading_since.pop(name, None)
        if since is None:
            return None
        self.loaded[name] = Slot(loaded_at=now, used_at=now)
        self._back_off_by_name.pop(name, None)
        return now - since

    def load_failed(self, name: str, now: float, wait_s: float) -> None:
        """Record a failed load and double the back-off."""
        self.loading_since.pop(name, None)
        back_off = self._back_off_by_name.setdefault(name, BackOff(0, now))
        doubled = FIRST_BACK_OFF_S * 2.0**back_off.failures
        back_off.failures = min(back_off.failures + 1, 10)
        back_off.until = now + max(wait_s, min(doubled, MAX_BACK_OFF_S))

    def unload_done(self, victim: str, now: float) -> str | None:
        """Record a finished eviction and return the adapter to load instead."""
        self._unloaded_at[victim] = now
        return self.newcomer_by_victim.pop(victim, None)

    def unload_failed(self, victim: str) -> None:
        """Keep the slot reserved but unused until the next view of the engine."""
        if victim in self.newcomer_by_victim:
            del self.newcomer_by_victim[victim]
            self.uncertain.add(victim)

    def is_backing_off(self, name: str, now: float) -> bool:
        """Return whether a load of the adapter must wait after a failure."""
        back_off = self._back_off_by_name.get(name)
        return back_off is not None and now < back_off.until

    def forget_back_offs(self, now: float) -> None:
        """Remove back-offs that ended long ago."""
        for name, back_off in list(self._back_off_by_name.items()):
            if now > back_off.until + MAX_BACK_OFF_S:
                del self._back_off_by_name[name]

    def _forget_unloaded(self, read_at: float) -> None:
        for name, at in list(self._unloaded_at.items()):
            if at <= read_at:
                del self._unloaded_at[name]
