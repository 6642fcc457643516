"""One adapter at an engine, as the engine's owner knows it."""

from dataclasses import dataclass, field
from enum import Enum, auto

from bamboovale.decisions.load_measurement import LoadMeasurement
from bamboovale.decisions.place_work import ReportedState

RUN_REPORT_LAG_S = 0.15
"""A report read sooner after the end of a run may still list it."""
DEMAND_HALF_LIFE_S = 8.0
"""Recent uses count half after this time: popularity shifts within seconds, and an
adapter requested once is cold afterwards."""


class SlotState(Enum):
    """State of the adapter in a slot."""

    LOADED = auto()
    LOADING = auto()
    UNLOADING = auto()


@dataclass
class Slot:
    """One adapter at the engine.

    ``load`` measures a load in progress; it is None if its time is not measured.
    ``predicted`` is whether requests may be sent once the load should be complete.
    ``confirmed`` is False until a report shows the adapter as loaded.
    ``replaces`` is the version that the engine holds until the load completes.
    ``in_transit`` is True while a report lists a load of the adapter in progress, which
    the previous owner may have ordered.
    """

    version: int
    state: SlotState
    changed_at: float
    active: int = 0
    demand: float = 0.0
    used_at: float = 0.0
    load: LoadMeasurement | None = None
    predicted: bool = False
    confirmed: bool = True
    replaces: int | None = None
    in_transit: bool = False
    aborted_at: dict[str, float] = field(default_factory=dict)

    def demand_at(self, now: float) -> float:
        """Return the exponentially decayed count of uses."""
        faded = 0.5 ** (max(0.0, now - self.used_at) / DEMAND_HALF_LIFE_S)
        return self.demand * faded

    def is_cached(self) -> bool | None:
        """Return whether the load should come from the cache, None if unknown."""
        return self.load is not None and self.load.cached

    def is_evictable(self) -> bool:
        """Return whether the adapter is confirmed as loaded and unused.

        An aborted run may still be active at the engine. An engine that is ordered to
        unload an adapter in use waits for the run and refuses all other orders
        meanwhile. A new version in transit would take the slot again.
        """
        used = self.active or self.aborted_at or self.in_transit
        return self.state is SlotState.LOADED and self.confirmed and not used

    def forget_ended_runs(self, report: ReportedState) -> None:
        """Forget aborted runs that the engine no longer reports."""
        for request_id, aborted_at in list(self.aborted_at.items()):
            shown = report.read_at - aborted_at > RUN_REPORT_LAG_S
            if shown and request_id not in report.running:
                del self.aborted_at[request_id]

    def use(self, now: float) -> None:
        """Count one use."""
        self.demand = self.demand_at(now) + 1.0
        self.used_at = now


@dataclass
class NewestVersion:
    """The newest known version of an adapter and when it became known."""

    version: int
    known_at: float
