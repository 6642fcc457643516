"""Which engine an entry VM asks for a place.

Load pattern: few adapters get most of the requests and most get one now and then. An
adapter loaded everywhere leaves no slots for the others; one loaded at a single engine
makes that engine the bottleneck of its customers.

Each adapter has an order of engines by rendezvous hashing, the same at every entry VM.
An engine that holds the adapter is preferred while it is not much busier than the
best engine without it: the difference allowed is what a load costs. Otherwise the
first engine of the order that is not much busier than the least busy one is asked to
load it: a second copy appears just where one engine is not enough.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bamboovale.decisions.place_work import AdapterKey, EngineOutlook
from bamboovale.decisions.rendezvous import RendezvousOrder

LOAD_COST_S = 0.35
"""A load and the eviction before it, as measured by owners without queue."""
ACTIVE_COST_S = 0.008
"""What each running request adds: all of a batch share its steps, and every new prompt
is read between them. Ten more requests make a run of 70 steps about 0.1 s longer."""
QUEUED_COST_S = 0.05
"""For each request that waits for a slot at the engine; what needs no load does not
wait behind them."""
FULL_COST_S = 1.0
"""A batch without a free place: about one run must end first."""
UNKNOWN_COST_S = 1.0
"""An engine nobody has told about is used when all others are busy."""
SPREAD_S = 0.3
"""An engine is passed over for a load if it is busier than the least busy by this."""


@dataclass(frozen=True)
class EngineView:
    """An engine as this entry VM knows it.

    ``own_backlog_s`` is what we sent there since its owner was last heard.
    ``owner`` is None while no entry VM may order loads there.
    """

    engine_id: str
    outlook: EngineOutlook | None
    owner: str | None
    own_backlog_s: float = 0.0

    def run_cost_s(self) -> float:
        """Return the expected wait in seconds where no load is needed."""
        outlook = self.outlook
        if outlook is None:
            return UNKNOWN_COST_S
        batch_s = ACTIVE_COST_S * outlook.active
        full_s = FULL_COST_S if outlook.active >= outlook.places else 0.0
        return outlook.backlog_s + self.own_backlog_s + batch_s + full_s

    def load_cost_s(self) -> float:
        """Return the expected wait in seconds where the adapter must be loaded."""
        outlook = self.outlook
        if outlook is None:
            return UNKNOWN_COST_S + LOAD_COST_S
        return self.run_cost_s() + QUEUED_COST_S * outlook.queued + LOAD_COST_S

    def holds(self, key: AdapterKey | None, version: int) -> bool:
        """Tell whether the adapter is loaded, or about to be, in this version."""
        if self.outlook is None:
            return False
        if key is None:
            return True
        loaded = self.outlook.loaded.get(key, 0)
        return max(loaded, self.outlook.coming.get(key, 0)) >= version


class EngineChooser:
    """Chooses among the engines of one pool."""

    def __init__(self) -> None:
        self._order = RendezvousOrder()

    def choose(
        self,
        key: AdapterKey | None,
        version: int,
        view_by_id: Mapping[str, EngineView],
        excluded: Collection[str] = (),
    ) -> str | None:
        """Return the engine to ask, None if there is none."""
        open_views = {
            name: view
            for name, view in view_by_id.items()
            if name not in excluded and (view.owner or view.holds(key, version))
        }
        if not open_views:
            return None
        holders = [
            name for name, view in open_views.items() if view.holds(key, version)
        ]
        best = min(
            holders,
            key=lambda name: open_views[name].run_cost_s(),
            default=None,
        )
        if key is None:
            return best or self._for_load("", open_views)
        fresh = self._for_load(f"{key[0]}/{key[1]}", open_views, holders)
        if best is None or fresh is None:
            return best or fresh
        cheaper = open_views[best].run_cost_s() <= open_views[fresh].load_cost_s()
        return best if cheaper else fresh

    def _for_load(
        self,
        name: str,
        views: Mapping[str, EngineView],
        holders: Collection[str] = (),
    ) -> str | None:
        able = {
            engine_id: view.load_cost_s()
            for engine_id, view in views.items()
            if view.owner is not None and engine_id not in holders
        }
        if not able:
            return None
        self._order.set_members(able)
        bound = min(able.values()) + SPREAD_S
        for engine_id in self._order.candidates(name):
            if able[engine_id] <= bound:
                return engine_id
        return min(able, key=lambda engine_id: able[engine_id])
