"""Tracks the adapter slots of one engine, as its owner knows them.

Reports lag behind orders, and an order may stay without an answer. An adapter therefore
occupies its slot from the order that loads it until a report shows that it is gone, so
that loaded and possibly loading adapters never exceed the slots. What a report shows is
told by the number of orders in it, as reports may be of any age.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterator

from bamboovale.decisions.adapter_slot import NewestVersion, Slot, SlotState
from bamboovale.decisions.estimates import MovingAverage
from bamboovale.decisions.place_work import AdapterKey, ReportedState

INITIAL_LOAD_S = 0.42
"""Expected load time, with the report delay, until loads have been seen."""
REPORT_DELAY_S = 0.13
"""From the end of a load until a report shows it."""
READY_MARGIN_S = 0.03
"""Added to the expected end of a load: an engine refuses a request sent too early, at
the cost of a round trip and of retry budget."""
WARM_LOAD_S = 0.06
"""Load time of an adapter that is still in the engine's own cache, ten times as fast as
from the weight store."""
QUICK_LOAD_S = 0.25
"""A load reported within this time came from the engine's own cache: twice the time of
such a load, and the delay of the report."""
INITIAL_CACHE_SIZE = 100
"""Adapters assumed to fit into the engine's own cache until loads show otherwise."""
MAX_TRACKED = 256
"""Bound on the adapters whose order of loads is remembered."""
EARLY_PENALTY_S = 0.1
"""Added to the expected load time after a request that came too early."""
LOAD_TIMEOUT_S = 1.5
"""A load that is neither complete nor reported after this time did not start."""
UNLOAD_TIMEOUT_S = 5.0
"""An adapter still reported this long after its unload counts as loaded again."""
REPORT_LAG_S = 0.5
"""A report read sooner after a change may still show the previous state."""


class AdapterSlots:
    """Slots of one engine by adapter. Callers pass the current time."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.engine_is_busy = False
        self.load_s = MovingAverage(INITIAL_LOAD_S)
        self.cache_size = INITIAL_CACHE_SIZE
        self._slot_by_key: dict[AdapterKey, Slot] = {}
        self._newest_by_key: dict[AdapterKey, NewestVersion] = {}
        self._unloaded_at: dict[AdapterKey, float] = {}
        self._recent_loads: OrderedDict[AdapterKey, None] = OrderedDict()

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

    def awaits_report(self) -> bool:
        """Return whether a report is expected to show an order as complete."""
        return self.engine_is_busy or any(
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
            slot.ready_at = None
            self._recent_loads.pop(key, None)  # the new version is not in the cache
        return version

    def begin_unload(self, key: AdapterKey) -> None:
        """Mark an adapter as unloading, so that it gets no new requests."""
        self._slot_by_key[key].state = SlotState.UNLOADING

    def load_accepted(self, key: AdapterKey, now: float) -> None:
        """Record that the engine accepted a load."""
        slot = self._slot_by_key.get(key)
        if slot is None or slot.state is not SlotState.LOADING:
            return
        slot.changed_at = now
        slot.loads_since = self._uses_since(key)
        slot.warm = slot.loads_since is not None and slot.loads_since < self.cache_size
        # A replacement waits for active runs: only a report shows its end.
        if not slot.active:
            slot.ready_at = now + self._expected_load_s(warm=slot.warm)
        self._recent_loads[key] = None
        self._recent_loads.move_to_end(key)
        if len(self._recent_loads) > MAX_TRACKED:
            self._recent_loads.popitem(last=False)

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

    def run_refused(self, key: AdapterKey, now: float, *, not_held: bool) -> None:
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
        if not slot.confirmed:
            self._on_early_request(slot)
        slot.state = SlotState.LOADING
        slot.ready_at = None
        slot.changed_at = now
        slot.confirmed = False

    def _on_early_request(self, slot: Slot) -> None:
        """Adjust the estimates after a request that preceded the end of its load.

        If the adapter was expected in the engine's cache, the cache is smaller than
        assumed; otherwise loads take longer.
        """
        if slot.warm and slot.loads_since is not None:
            self.cache_size = (self.cache_size + 3 * slot.loads_since) // 4
        else:
            self.load_s.add(self.load_s.value + EARLY_PENALTY_S)

    def mark_ready(self, now: float) -> None:
        """Mark loads as complete whose expected time has passed."""
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
        if key not in self._recent_loads:
            return None
        return next(
            n for n, recent in enumerate(reversed(self._recent_loads)) if recent == key
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

    def _has_timed_out(self, slot: Slot, now: float) -> bool:
        """Return whether a replacement is overdue and no run blocks it."""
        return now - slot.changed_at > LOAD_TIMEOUT_S and not slot.active

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
        kept_s = LOAD_TIMEOUT_S if coming else REPORT_LAG_S
        if now - slot.changed_at > kept_s:
            del self._slot_by_key[key]
