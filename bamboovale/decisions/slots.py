"""Which adapters an engine's few slots hold, and which one makes room.

Load pattern: thousands of adapters, a few slots, skewed and shifting popularity.
Least recently used evicts a hot adapter whenever a run of rare ones passes by, then
loads it again: every such exchange costs a turn at the weight store and a stall.

A slot is worth the work that waits for its adapter plus the requests that recent
demand lets one expect. An adapter is loaded when that is worth clearly more than
the least valued slot. A slot that just changed rests for a while, so that two
adapters never push each other out in turn; a failed load backs off.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

BACK_OFF_FIRST_S = 0.5
BACK_OFF_MOST_S = 15.0
"""From about one load up to where a mended store is noticed soon."""
EXCHANGE_FACTOR = 1.2
"""A newcomer must be worth a fifth more, or near ties would exchange for ever."""
RESIDENCE_LOADS = 2.0
"""A slot stays for two load times: a load that serves nothing doubles the stalls."""


@dataclass
class Slot:
    """One loaded adapter."""

    loaded_at: float
    used_at: float


@dataclass
class BackOff:
    """Failures of an adapter on this engine."""

    failures: int
    until: float


class SlotRule(Protocol):
    """Decides about exchange of adapters."""

    drains: bool
    """Whether a pinned slot may stop taking work in order to become free."""

    def victim(
        self,
        candidates: dict[str, Slot],
        newcomer: float,
        value: Callable[[str], float],
        loaded_before: float,
    ) -> str | None:
        """Return the adapter to evict for a newcomer of that value, if any.

        Candidates loaded later than ``loaded_before`` have not rested long enough.
        """


class LeastRecentlyUsed:
    """Evict what was used the longest time ago, whatever it is worth."""

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
    """Evict what is worth least, if the newcomer is worth clearly more."""

    drains = True

    def victim(
        self,
        candidates: dict[str, Slot],
        newcomer: float,
        value: Callable[[str], float],
        loaded_before: float,
    ) -> str | None:
        """Return the least valued candidate that has rested long enough."""
        rested = {
            name: value(name)
            for name, slot in candidates.items()
            if slot.loaded_at <= loaded_before
        }
        if not rested:
            return None
        least = min(rested, key=lambda name: (rested[name], name))
        return least if newcomer > rested[least] * EXCHANGE_FACTOR else None


class SlotTable:
    """State of each slot as the holder knows it."""

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
        """Return the slots that nothing holds or is about to hold."""
        used = len(self.loaded) + len(self.loading_since)
        used += len(self.newcomer_by_victim) + len(self.uncertain)
        return max(0, self.max_loras - used)

    def is_coming(self, name: str) -> bool:
        """Say whether a load is ordered, or an eviction that makes room for it."""
        return name in self.loading_since or name in self.newcomer_by_victim.values()

    def update_loaded(self, loaded: Iterable[str], read_at: float, now: float) -> None:
        """Take over what the engine lists, but for what was learned since."""
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
        """Forget all slots: the engine restarted with nothing loaded."""
        self.loaded.clear()
        self.loading_since.clear()
        self.newcomer_by_victim.clear()
        self.uncertain.clear()
        self._unloaded_at.clear()

    def order_load(self, name: str, now: float) -> None:
        """Note that a load was ordered."""
        self.loading_since[name] = now

    def order_unload(self, victim: str, newcomer: str | None) -> None:
        """Note that an eviction was ordered; the victim takes no work from now on."""
        self.loaded.pop(victim, None)
        self.newcomer_by_victim[victim] = newcomer

    def load_done(self, name: str, now: float) -> float | None:
        """Note a finished load and return its seconds; None if it was not ordered."""
        since = self.loading_since.pop(name, None)
        if since is None:
            return None
        self.loaded[name] = Slot(loaded_at=now, used_at=now)
        self._back_off_by_name.pop(name, None)
        return now - since

    def load_failed(self, name: str, now: float, wait_s: float) -> None:
        """Note a failed load and wait longer after each one in a row."""
        self.loading_since.pop(name, None)
        back_off = self._back_off_by_name.setdefault(name, BackOff(0, now))
        doubled = BACK_OFF_FIRST_S * 2.0**back_off.failures
        back_off.failures = min(back_off.failures + 1, 10)
        back_off.until = now + max(wait_s, min(doubled, BACK_OFF_MOST_S))

    def unload_done(self, victim: str, now: float) -> str | None:
        """Note a finished eviction and return the adapter it made room for."""
        self._unloaded_at[victim] = now
        return self.newcomer_by_victim.pop(victim, None)

    def unload_failed(self, victim: str) -> None:
        """Keep the slot as used, without work, until the engine is looked at."""
        if victim in self.newcomer_by_victim:
            del self.newcomer_by_victim[victim]
            self.uncertain.add(victim)

    def backs_off(self, name: str, now: float) -> bool:
        """Say whether a load of the adapter must still wait after a failure."""
        back_off = self._back_off_by_name.get(name)
        return back_off is not None and now < back_off.until

    def forget_back_offs(self, now: float) -> None:
        """Drop back-offs that ended long ago."""
        for name, back_off in list(self._back_off_by_name.items()):
            if now > back_off.until + BACK_OFF_MOST_S:
                del self._back_off_by_name[name]

    def _forget_unloaded(self, read_at: float) -> None:
        for name, at in list(self._unloaded_at.items()):
            if at <= read_at:
                del self._unloaded_at[name]
