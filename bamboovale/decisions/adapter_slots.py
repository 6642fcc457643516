"""The adapter slots of one engine, as its owner believes them to be.

Load pattern: reports lag by some 100 ms and orders may stay without an answer, while
loads are wanted many times a second. The belief is kept ahead of the reports: an
adapter counts from the order that loads it until a report shows that it is gone, so
that loaded, coming and possibly coming adapters together never exceed the slots.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

from bamboovale.decisions.estimates import MovingAverage
from bamboovale.decisions.place_work import AdapterKey, ReportedState

LOAD_GUESS_S = 0.42
"""Until loads have been measured: 0.29 s from a weight store without queue, and the
delay of the report that shows it."""
REPORT_DELAY_S = 0.13
"""From the end of a load until a report shows it: reports lag by some 100 ms and are
read every 60 ms while a load is expected to end."""
READY_MARGIN_S = 0.03
"""Added to the expected end of a load; a request sent too early is refused by the
engine, which costs a round trip and retry budget."""
WARM_LOAD_S = 0.06
"""An adapter that the engine held recently comes from its own memory, ten times as
fast as from the weight store."""
QUICK_LOAD_S = 0.25
"""A load that a report shows so soon came from the engine's own memory: twice the time
of such a load and the report's delay."""
HELD_GUESS = 100
"""Adapters that an engine is taken to keep in its own memory, the latest ones, until
loads have shown better; engines of four deployments keep 41 to 120."""
HELD_MOST = 256
"""Adapters whose order of use is remembered; more than any engine is known to keep."""
EARLY_PENALTY_S = 0.1
"""Added to the expected load time after a request came too early."""
LOAD_LOST_S = 1.5
"""A load that the engine lists neither as loaded nor in transit after this time never
began."""
UNLOAD_LOST_S = 5.0
"""An adapter that is still there so long after its unload was accepted stays."""
RUN_REPORT_LAG_S = 0.15
"""A report read sooner after the end of a run may still list it."""
REPORT_LAG_S = 0.5
"""A report read sooner after a change may still show the state before it."""
DEMAND_HALF_LIFE_S = 8.0
"""Popularity shifts within some seconds; an adapter asked for once is cold after."""


class SlotState(Enum):
    """What is known of an adapter's slot."""

    LOADED = auto()
    LOADING = auto()
    UNLOADING = auto()


@dataclass
class Slot:
    """One adapter at the engine.

    ``loads_since`` is how many other adapters were loaded there since this one was,
    when its load began; None if it never was. ``warm`` tells that it should come from
    the engine's own memory. ``confirmed`` is False while no report has shown it loaded.
    ``replaces`` is the version that the engine holds until a load has replaced it.
    """

    version: int
    state: SlotState
    changed_at: float
    active: int = 0
    demand: float = 0.0
    used_at: float = 0.0
    ready_at: float | None = None
    loads_since: int | None = None
    warm: bool = False
    confirmed: bool = True
    replaces: int | None = None
    aborted_at: dict[str, float] = field(default_factory=dict)

    def demand_at(self, now: float) -> float:
        """Return the recent uses, fading by half-lives."""
        faded = 0.5 ** (max(0.0, now - self.used_at) / DEMAND_HALF_LIFE_S)
        return self.demand * faded

    def is_evictable(self) -> bool:
        """Tell whether it is surely loaded and nobody uses it.

        An engine may run on what we broke off. Told to unload an adapter in use it
        waits for the run, for seconds, and refuses every other order meanwhile.
        """
        used = self.active or self.aborted_at
        return self.state is SlotState.LOADED and self.confirmed and not used

    def forget_ended(self, facts: ReportedState) -> None:
        """Forget broken-off runs that the engine surely no longer has."""
        for request_id, at in list(self.aborted_at.items()):
            shown = facts.read_at - at > RUN_REPORT_LAG_S
            if shown and request_id not in facts.running:
                del self.aborted_at[request_id]

    def use(self, now: float) -> None:
        """Count one use."""
        self.demand = self.demand_at(now) + 1.0
        self.used_at = now


@dataclass
class Newest:
    """The newest version of an adapter and since when it is known here."""

    version: int
    known_at: float


class AdapterSlots:
    """The slots by adapter; events are methods, nothing reads a clock."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.load_s = MovingAverage(LOAD_GUESS_S)
        self.cache_size = HELD_GUESS
        self._slot_by_key: dict[AdapterKey, Slot] = {}
        self._newest_by_key: dict[AdapterKey, Newest] = {}
        self._unloaded_at: dict[AdapterKey, float] = {}
        self._held: OrderedDict[AdapterKey, None] = OrderedDict()

    # What is believed.

    def __contains__(self, key: AdapterKey) -> bool:
        return key in self._slot_by_key

    def __iter__(self) -> Iterator[tuple[AdapterKey, Slot]]:
        return iter(self._slot_by_key.items())

    def get(self, key: AdapterKey | None) -> Slot | None:
        """Return the slot of an adapter."""
        return None if key is None else self._slot_by_key.get(key)

    def newest(self, key: AdapterKey) -> Newest:
        """Return the newest version of an adapter."""
        return self._newest_by_key.get(key) or Newest(1, 0.0)

    def is_loaded(self, key: AdapterKey | None) -> bool:
        """Tell whether an adapter is loaded, in whichever version."""
        slot = self.get(key)
        return slot is not None and slot.state is SlotState.LOADED

    def is_outdated(self, key: AdapterKey) -> bool:
        """Tell whether an adapter is loaded in an older version than the newest."""
        slot = self._slot_by_key[key]
        loaded = slot.state is SlotState.LOADED
        return loaded and slot.version < self.newest(key).version

    def has_free(self) -> bool:
        """Tell whether one more adapter fits."""
        return len(self._slot_by_key) < self.slots

    def free(self) -> int:
        """Return how many more adapters fit."""
        return self.slots - len(self._slot_by_key)

    def evictable(self, wanted: Collection[AdapterKey | None]) -> int:
        """Return how many adapters nobody uses or waits for."""
        return sum(
            slot.is_evictable() and key not in wanted
            for key, slot in self._slot_by_key.items()
        )

    def count(self, state: SlotState) -> int:
        """Return how many slots are in a state."""
        return sum(slot.state is state for slot in self._slot_by_key.values())

    def pinned(self) -> int:
        """Return how many adapters are in use."""
        return sum(slot.active > 0 for slot in self._slot_by_key.values())

    def versions(self, state: SlotState) -> dict[AdapterKey, int]:
        """Return the versions of the adapters in a state."""
        return {
            key: slot.version
            for key, slot in self._slot_by_key.items()
            if slot.state is state
        }

    def awaits_report(self) -> bool:
        """Tell whether a fresh report would bring news."""
        return any(
            slot.state is SlotState.LOADING or not slot.confirmed
            for slot in self._slot_by_key.values()
        )

    def next_ready_at(self) -> float | None:
        """Return when the next load is expected to be complete."""
        times = [
            slot.ready_at
            for slot in self._slot_by_key.values()
            if slot.state is SlotState.LOADING and slot.ready_at is not None
        ]
        return min(times, default=None)

    def victim(
        self, wanted: Collection[AdapterKey | None], now: float
    ) -> AdapterKey | None:
        """Return the idle adapter that is least worth its slot: outdated, then cold.

        An adapter that is only expected to be loaded may still be in transit. Told to
        unload it, the engine answers that it does not hold it, and it arrives later in
        a slot that has been given away.
        """
        idle = [
            (not self.is_outdated(key), slot.demand_at(now), slot.used_at, key)
            for key, slot in self._slot_by_key.items()
            if slot.is_evictable() and key not in wanted
        ]
        return min(idle)[-1] if idle else None

    # Orders.

    def note_version(self, key: AdapterKey, version: int, now: float) -> None:
        """Learn of a version that some operator has named."""
        newest = self._newest_by_key.get(key)
        if newest is None:
            self._newest_by_key[key] = Newest(version, now)
        elif version > newest.version:
            newest.version = version
            newest.known_at = now

    def hold(self, key: AdapterKey, version: int, now: float) -> Slot:
        """Return the slot of an adapter that surely is loaded."""
        return self._slot_by_key.setdefault(key, Slot(version, SlotState.LOADED, now))

    def begin_load(self, key: AdapterKey, now: float) -> int:
        """Take a slot for an adapter, or replace its version; return the version."""
        version = self.newest(key).version
        slot = self._slot_by_key.get(key)
        if slot is None:
            self._slot_by_key[key] = Slot(version, SlotState.LOADING, now)
        else:
            slot.replaces = slot.version
            slot.state = SlotState.LOADING
            slot.version = version
            slot.changed_at = now
            slot.ready_at = None
            self._held.pop(key, None)  # the new version comes from the weight store
        return version

    def begin_unload(self, key: AdapterKey) -> None:
        """Give an adapter no new work: it is to go."""
        self._slot_by_key[key].state = SlotState.UNLOADING

    def load_accepted(self, key: AdapterKey, now: float) -> None:
        """Note that an engine has begun to load."""
        slot = self._slot_by_key.get(key)
        if slot is None or slot.state is not SlotState.LOADING:
            return
        slot.changed_at = now
        slot.loads_since = self._uses_since(key)
        slot.warm = slot.loads_since is not None and slot.loads_since < self.cache_size
        # A replacement waits for runs: only a report tells when it is complete.
        if not slot.active:
            slot.ready_at = now + self._expected_load_s(warm=slot.warm)
        self._held[key] = None
        self._held.move_to_end(key)
        if len(self._held) > HELD_MOST:
            self._held.popitem(last=False)

    def unload_accepted(self, key: AdapterKey, now: float, *, at_once: bool) -> None:
        """Note an unload that was done ``at_once``, or else waits for runs.

        One that waits keeps its slot until a report shows it empty. Given away before,
        the engine would be ordered past its slots by a run that we do not know of.
        """
        slot = self._slot_by_key.get(key)
        if at_once:
            self._slot_by_key.pop(key, None)
            self._unloaded_at[key] = now
        elif slot is not None:
            slot.changed_at = now

    def load_failed(self, key: AdapterKey) -> None:
        """Take back a load that surely does not happen."""
        slot = self._slot_by_key.get(key)
        if slot is None or slot.state is not SlotState.LOADING:
            return
        if slot.replaces is None:
            del self._slot_by_key[key]
            return
        slot.state = SlotState.LOADED
        slot.version = slot.replaces

    def unload_failed(self, key: AdapterKey) -> None:
        """Use an adapter on that was to go."""
        slot = self._slot_by_key.get(key)
        if slot is not None and slot.state is SlotState.UNLOADING:
            slot.state = SlotState.LOADED

    def run_refused(self, key: AdapterKey, now: float, *, not_held: bool) -> None:
        """Take an engine's refusal of a run; ``not_held``: it lacks the adapter.

        The slot stays taken until a report tells. An engine also refuses a run whose
        version it does not have: were the slot given away on its word, the next load
        would be one too many and crash it.
        """
        slot = self._slot_by_key.get(key)
        if slot is None or slot.state is not SlotState.LOADED:
            return
        if slot.confirmed and not not_held:
            return
        if not slot.confirmed:
            self._note_early(slot)
        slot.state = SlotState.LOADING
        slot.ready_at = None
        slot.changed_at = now
        slot.confirmed = False

    def _note_early(self, slot: Slot) -> None:
        """Learn from a request that came before its load was complete.

        An adapter that should have been in the engine's memory was not: the engine
        keeps fewer. Taken for kept all the same, every load of it would cost a repeat.
        """
        if slot.warm and slot.loads_since is not None:
            self.cache_size = (self.cache_size + 3 * slot.loads_since) // 4
        else:
            self.load_s.add(self.load_s.value + EARLY_PENALTY_S)

    def note_ready(self, now: float) -> None:
        """Take loads for complete once their expected time is over."""
        for slot in self._slot_by_key.values():
            if slot.state is not SlotState.LOADING or slot.ready_at is None:
                continue
            if now >= slot.ready_at:
                slot.state = SlotState.LOADED
                slot.confirmed = False

    def _expected_load_s(self, *, warm: bool) -> float:
        cold_s = max(WARM_LOAD_S, self.load_s.value - REPORT_DELAY_S) + READY_MARGIN_S
        return WARM_LOAD_S if warm else cold_s

    def _uses_since(self, key: AdapterKey) -> int | None:
        """Return how many other adapters were loaded since this one; None: unknown."""
        if key not in self._held:
            return None
        return next(n for n, held in enumerate(reversed(self._held)) if held == key)

    # Reports against belief.

    def on_report(self, facts: ReportedState, now: float) -> None:
        """Take a report; what it may not show yet is kept as it is believed."""
        for slot in self._slot_by_key.values():
            slot.forget_ended(facts)
        for key, version in facts.version_by_adapter.items():
            if not self._just_unloaded(key, facts):
                self._see_loaded(key, version, now)
        for key in facts.loading:
            if key not in self._slot_by_key and not self._just_unloaded(key, facts):
                version = self.newest(key).version
                self._slot_by_key[key] = Slot(version, SlotState.LOADING, now)
        for key in list(self._slot_by_key):
            if key not in facts.version_by_adapter and key not in facts.loading:
                self._miss(key, now)

    def _see_loaded(self, key: AdapterKey, version: int, now: float) -> None:
        slot = self._slot_by_key.get(key)
        if slot is None:
            self._slot_by_key[key] = Slot(version, SlotState.LOADED, now)
        elif slot.state is SlotState.UNLOADING:
            if now - slot.changed_at > UNLOAD_LOST_S:
                slot.state = SlotState.LOADED
        elif slot.state is SlotState.LOADED and slot.confirmed:
            slot.version = version
        elif version >= slot.version:
            self._confirm(slot, version, now)
        elif slot.state is SlotState.LOADING and self._is_old(slot, now):
            slot.state = SlotState.LOADED
            slot.version = version

    def _confirm(self, slot: Slot, version: int, now: float) -> None:
        took_s = now - slot.changed_at
        if took_s > QUICK_LOAD_S:
            self.load_s.add(took_s)
        elif slot.loads_since is not None:
            self.cache_size = max(self.cache_size, slot.loads_since + 1)
        slot.version = version
        slot.replaces = None
        slot.state = SlotState.LOADED
        slot.confirmed = True
        slot.ready_at = None

    def _is_old(self, slot: Slot, now: float) -> bool:
        """Tell whether a replacement that waits for runs has waited long enough."""
        return now - slot.changed_at > LOAD_LOST_S and not slot.active

    def _just_unloaded(self, key: AdapterKey, facts: ReportedState) -> bool:
        """Tell whether the report may be older than an unload.

        Guards against taking an adapter for loaded that is gone: it would be evicted
        again and again, each time with an order that does nothing.
        """
        at = self._unloaded_at.get(key)
        if at is None:
            return False
        if facts.read_at - at < REPORT_LAG_S:
            return True
        del self._unloaded_at[key]
        return False

    def _miss(self, key: AdapterKey, now: float) -> None:
        slot = self._slot_by_key[key]
        expected = slot.state is SlotState.LOADED and not slot.confirmed
        coming = slot.state is SlotState.LOADING or expected
        kept_s = LOAD_LOST_S if coming else REPORT_LAG_S
        if now - slot.changed_at > kept_s:
            del self._slot_by_key[key]
