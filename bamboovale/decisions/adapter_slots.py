"""Tracks the adapter slots of one engine, as its owner knows them.

Reports lag behind orders, and an order may stay without an answer. An adapter therefore
occupies its slot from the order that loads it until a report shows that it is gone, so
that loaded and possibly loading adapters never exceed the slots. What a report shows is
told by the number of orders in it, as reports may be of any age.
"""

from collections.abc import Collection, Iterator

from bamboovale.decisions.adapter_slot import NewestVersion, Slot, SlotState
from bamboovale.decisions.engine_cache import EngineCache
from bamboovale.decisions.load_measurement import (
    MIN_REPORT_INTERVAL_S,
    LoadMeasurement,
)
from bamboovale.decisions.load_times import LoadTimes
from bamboovale.decisions.place_work import AdapterKey, ReportedState

UNLOAD_TIMEOUT_S = 5.0
"""An adapter still reported this long after its unload counts as loaded again."""
REPORT_LAG_S = 0.5
"""A report read sooner after a change may still show the previous state."""


class AdapterSlots:
    """Slots of one engine by adapter. Callers pass the current time."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.engine_is_busy = False
        self.times = LoadTimes()
        self.cache = EngineCache()
        self._slot_by_key: dict[AdapterKey, Slot] = {}
        self._newest_by_key: dict[AdapterKey, NewestVersion] = {}
        self._unloaded_at: dict[AdapterKey, float] = {}

    # State.

    def __contains__(self, key: AdapterKey) -> bool:
        return key in self._slot_by_key

    def __iter__(self) -> Iterator[tuple[AdapterKey, Slot]]:
        return iter(self._slot_by_key.items())

    def get(self, key: AdapterKey | None) -> Slot | None:
        """Return the slot of an adapter, None if it has none."""
        return None if key is None else self._slot_by_key.get(key)

    def newest(self, key: AdapterKey) -> NewestVersion:
        """Return the newest known version of an adapter."""
        return self._newest_by_key.get(key) or NewestVersion(1, 0.0)

    def is_loaded(self, key: AdapterKey | None) -> bool:
        """Return whether any version of an adapter is loaded."""
        slot = self.get(key)
        return slot is not None and slot.state is SlotState.LOADED

    def is_outdated(self, key: AdapterKey) -> bool:
        """Return whether the loaded version is older than the newest."""
        slot = self._slot_by_key[key]
        loaded = slot.state is SlotState.LOADED
        return loaded and slot.version < self.newest(key).version

    def has_free(self) -> bool:
        """Return whether a slot is free."""
        return len(self._slot_by_key) < self.slots

    def free(self) -> int:
        """Return the number of free slots."""
        return self.slots - len(self._slot_by_key)

    def evictable(self, wanted: Collection[AdapterKey | None]) -> int:
        """Return how many evictable adapters no queued request needs."""
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

    def next_report_at(self, now: float) -> float | None:
        """Return when a report should show an order as complete, None without one."""
        times = [
            now + MIN_REPORT_INTERVAL_S
            if slot.load is None
            else slot.load.next_report_at(now, self.times)
            for slot in self._slot_by_key.values()
            if slot.state is SlotState.LOADING or not slot.confirmed
        ]
        if self.engine_is_busy or self.count(SlotState.UNLOADING):
            times.append(now + MIN_REPORT_INTERVAL_S)
        if not times:
            return None
        return max(now + MIN_REPORT_INTERVAL_S / 2, min(times))

    def next_ready_at(self) -> float | None:
        """Return when the next load is expected to be complete."""
        times = (self._ready_at(slot) for slot in self._slot_by_key.values())
        return min((at for at in times if at is not None), default=None)

    def victim(
        self, wanted: Collection[AdapterKey | None], now: float
    ) -> AdapterKey | None:
        """Return the adapter to evict: outdated versions first, then the least used.

        An unconfirmed adapter may still be in transit: the engine would reject its
        unload and load it later into a slot that has been reassigned.
        """
        idle = [
            (not self.is_outdated(key), slot.demand_at(now), slot.used_at, key)
            for key, slot in self._slot_by_key.items()
            if slot.is_evictable() and key not in wanted
        ]
        return min(idle)[-1] if idle else None

    # Orders.

    def note_version(self, key: AdapterKey, version: int, now: float) -> None:
        """Record the version of an adapter that a request names."""
        newest = self._newest_by_key.get(key)
        if newest is None:
            self._newest_by_key[key] = NewestVersion(version, now)
        elif version > newest.version:
            newest.version = version
            newest.known_at = now

    def add_loaded(self, key: AdapterKey, version: int, now: float) -> Slot:
        """Return the slot of an adapter that is known to be loaded."""
        return self._slot_by_key.setdefault(key, Slot(version, SlotState.LOADED, now))

    def begin_load(self, key: AdapterKey, now: float) -> int:
        """Reserve a slot or replace the version; return the version to load."""
        version = self.newest(key).version
        slot = self._slot_by_key.get(key)
        if slot is None:
            self._slot_by_key[key] = Slot(version, SlotState.LOADING, now)
        else:
            slot.replaces = slot.version
            slot.state = SlotState.LOADING
            slot.version = version
            slot.changed_at = now
            slot.predicted = False
        return version

    def begin_unload(self, key: AdapterKey) -> None:
        """Mark an adapter as unloading, so that it gets no new requests."""
        self._slot_by_key[key].state = SlotState.UNLOADING

    def load_accepted(
        self, key: AdapterKey, now: float, *, at_once: bool = False
    ) -> None:
        """Record that the engine accepted a load, or has it already (``at_once``).

        The time of a load is measured from here, except that of a replacement, which
        waits for active runs, and of a load that began with an earlier order.
        """
        slot = self._slot_by_key.get(key)
        if slot is None or slot.state is not SlotState.LOADING:
            return
        slot.changed_at = now
        slot.predicted = not slot.active
        slot.load = None
        if slot.replaces is None and not at_once:
            loads_since = self.cache.loads_since(key, slot.version)
            cached = self.cache.holds(loads_since)
            slot.load = LoadMeasurement(now, loads_since, cached)
        self.cache.on_load(key, slot.version)

    def unload_accepted(self, key: AdapterKey, now: float, *, at_once: bool) -> None:
        """Record an unload that is done (``at_once``) or waits for runs.

        An unload that waits keeps its slot until a report shows it empty. Otherwise a
        run unknown to this owner would make the engine exceed its slots.
        """
        slot = self._slot_by_key.get(key)
        if at_once:
            self._slot_by_key.pop(key, None)
            self._unloaded_at[key] = now
        elif slot is not None:
            slot.changed_at = now

    def load_failed(self, key: AdapterKey) -> None:
        """Undo a load that the engine rejected."""
        slot = self._slot_by_key.get(key)
        if slot is None or slot.state is not SlotState.LOADING:
            return
        if slot.replaces is None:
            del self._slot_by_key[key]
            return
        slot.state = SlotState.LOADED
        slot.version = slot.replaces

    def unload_failed(self, key: AdapterKey) -> None:
        """Return an adapter whose unload failed to use."""
        slot = self._slot_by_key.get(key)
        if slot is not None and slot.state is SlotState.UNLOADING:
            slot.state = SlotState.LOADED

    def run_refused(
        self, key: AdapterKey, now: float, *, sent_at: float, not_held: bool
    ) -> None:
        """Handle a run that the engine refused; ``not_held``: adapter not loaded there.

        The slot stays reserved until the next report. An engine also refuses a run for
        a version that it does not hold; reusing the slot then would exceed its slots
        and crash it.
        """
        slot = self._slot_by_key.get(key)
        if slot is None or slot.state is not SlotState.LOADED:
            return
        if slot.confirmed and not not_held:
            return
        if not_held and slot.load is not None:
            slot.load.on_early(sent_at, self.times)
        slot.state = SlotState.LOADING
        slot.predicted = False
        slot.changed_at = now
        slot.confirmed = False

    def mark_ready(self, now: float) -> None:
        """Mark loads as complete whose expected time has passed.

        Until a load time is known, one load at a time: the guess may be too short.
        """
        for slot in self._slot_by_key.values():
            ready_at = self._ready_at(slot)
            if ready_at is not None and now >= ready_at:
                slot.state = SlotState.LOADED
                slot.confirmed = False

    def may_start(self, slot: Slot) -> bool:
        """Return whether one more request may be sent to a loaded adapter now.

        Only one is sent while the load time is a guess and no report shows the adapter.
        """
        return slot.confirmed or self.times.is_known or not slot.active

    def _ready_at(self, slot: Slot) -> float | None:
        """Return when a load counts as complete before a report, None if never."""
        if slot.state is not SlotState.LOADING or not slot.predicted:
            return None
        if not self.times.may_predict or self._has_guessed():
            return None
        return slot.changed_at + self.times.expected_s(slot.is_cached())

    def _has_guessed(self) -> bool:
        """Return whether a load counts as complete by a time that is only assumed."""
        return not self.times.is_known and any(
            slot.state is SlotState.LOADED and not slot.confirmed
            for slot in self._slot_by_key.values()
        )

    # Reports.

    def on_report(self, report: ReportedState, now: float) -> None:
        """Merge a report; keep changes that it may be too old to show."""
        self.engine_is_busy = report.busy
        for slot in self._slot_by_key.values():
            slot.forget_ended_runs(report)
        for key, version in report.version_by_adapter.items():
            if not self._just_unloaded(key, report):
                self._on_reported_loaded(key, version, now)
        for key in report.loading:
            if key not in self._slot_by_key and not self._just_unloaded(key, report):
                version = self.newest(key).version
                self._slot_by_key[key] = Slot(version, SlotState.LOADING, now)
        for key, slot in list(self._slot_by_key.items()):
            slot.in_transit = key in report.loading
            if slot.load is not None and key not in report.version_by_adapter:
                slot.load.on_absent(now, self.times, is_listed=slot.in_transit)
            if key not in report.version_by_adapter and not slot.in_transit:
                self._on_unreported(key, report, now)

    def _on_reported_loaded(self, key: AdapterKey, version: int, now: float) -> None:
        slot = self._slot_by_key.get(key)
        if slot is None:
            self._slot_by_key[key] = Slot(version, SlotState.LOADED, now)
        elif slot.state is SlotState.UNLOADING:
            if now - slot.changed_at > UNLOAD_TIMEOUT_S:
                slot.state = SlotState.LOADED
        elif slot.state is SlotState.LOADED and slot.confirmed:
            slot.version = version
        elif version >= slot.version:
            self._confirm(slot, version, now)
        elif slot.state is SlotState.LOADING and self._has_timed_out(slot, now):
            slot.state = SlotState.LOADED
            slot.version = version

    def _confirm(self, slot: Slot, version: int, now: float) -> None:
        if slot.load is not None:
            slot.load.on_complete(now, self.times, self.cache)
            slot.load = None
        slot.version = version
        slot.replaces = None
        slot.state = SlotState.LOADED
        slot.confirmed = True
        slot.predicted = False

    def _has_timed_out(self, slot: Slot, now: float) -> bool:
        """Return whether a replacement is overdue and no run blocks it."""
        return now - slot.changed_at > self.times.timeout_s() and not slot.active

    def _just_unloaded(self, key: AdapterKey, report: ReportedState) -> bool:
        """Return whether the report may predate an unload.

        Guards against treating an evicted adapter as loaded and evicting it again.
        """
        unloaded_at = self._unloaded_at.get(key)
        if unloaded_at is None:
            return False
        if report.missing_orders is None:
            predates = report.read_at - unloaded_at < REPORT_LAG_S
        else:
            predates = report.missing_orders > 0
        if predates:
            return True
        del self._unloaded_at[key]
        return False

    def _on_unreported(
        self, key: AdapterKey, report: ReportedState, now: float
    ) -> None:
        slot = self._slot_by_key[key]
        if report.missing_orders:
            return
        is_gone = slot.is_evictable() or slot.state is SlotState.UNLOADING
        if report.missing_orders == 0 and is_gone:
            del self._slot_by_key[key]
            return
        expected = slot.state is SlotState.LOADED and not slot.confirmed
        coming = slot.state is SlotState.LOADING or expected
        kept_s = self.times.timeout_s() if coming else REPORT_LAG_S
        if now - slot.changed_at > kept_s:
            del self._slot_by_key[key]
