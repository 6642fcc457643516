"""Telling of engines: owners tell the VMs that choose, which ask to be told."""

import asyncio

from bamboovale.fleet.subscriptions import Subscriber, Subscriptions
from bamboovale.gateway.engines import Engines, Links
from bamboovale.gateway.messages import EngineLoads, EngineStatuses, StatusSubscription
from bamboovale.gateway.vm_state import VMState

INTEREST_LOOK_S = 0.5
"""Between two looks which owners to ask: a quarter of the time between two asks."""
OWNER_LOOK_S = 0.3
"""Between two looks whether we own engines by now; others hear of it meanwhile."""


class EngineStatusExchange:
    """Both sides of one VM: what it tells of its engines, and whom it asks."""

    def __init__(self, state: VMState, engines: Engines, links: Links) -> None:
        self._state = state
        self._engines = engines
        self._links = links
        self._subscriptions = Subscriptions()
        self._interest = Subscriber()
        engines.on_engine_needed = self.on_engine_needed

    # As an owner.

    def on_subscribe(self, sender: str) -> None:
        """Tell a VM of our engines from now on; at once if it did not ask before."""
        is_new = self._subscriptions.renew(sender, self._state.now())
        if is_new and self._engines.owner_by_engine:
            self._links.notify(sender, self._statuses())

    def publish_statuses(self) -> None:
        """Tell everybody that asked of all our engines."""
        now = self._state.now()
        statuses = self._statuses()
        self._state.fleet.on_statuses(self._state.node.name, statuses.statuses, now)
        if statuses.statuses:
            self._links.notify_all(self._subscriptions.subscribers(now), statuses)

    async def publish_statuses_forever(self) -> None:
        """Tell at intervals, while there is something to tell."""
        while True:
            await asyncio.sleep(self._subscriptions.status_interval_s())
            if self._engines.owner_by_engine:
                self.publish_statuses()

    async def publish_loads_forever(self) -> None:
        """Tell how busy our engines are, between two statuses, where that changed."""
        told: EngineLoads | None = None
        while True:
            is_owner = bool(self._engines.owner_by_engine)
            interval_s = self._subscriptions.loads_interval_s()
            await asyncio.sleep(interval_s if is_owner else OWNER_LOOK_S)
            owners = self._engines.owner_by_engine.values()
            loads = EngineLoads(tuple(owner.load() for owner in owners))
            if not loads.loads or loads == told:
                continue
            told = loads
            now = self._state.now()
            self._state.fleet.on_loads(self._state.node.name, loads.loads, now)
            self._links.notify_all(self._subscriptions.subscribers(now), loads)

    def _statuses(self) -> EngineStatuses:
        owners = self._engines.owner_by_engine.values()
        return EngineStatuses(tuple(owner.status() for owner in owners))

    # As a VM that chooses.

    def on_engine_needed(self) -> None:
        """Note that a request needs an engine; ask at once after a time without."""
        if self._interest.note_request(self._state.now()):
            self.subscribe_to_owners()

    def subscribe_to_owners(self) -> None:
        """Ask the owners that were not asked of late, if we choose engines.

        Owners choose none, but pace prompts by the word of the other owners.
        """
        now = self._state.now()
        owns_some = bool(self._engines.owner_by_engine)
        if not owns_some and not self._interest.is_active(now):
            return
        others = self._state.fleet.owner_ids() - {self._state.node.name}
        due = self._interest.due_renewals(others, now)
        if due:
            self._links.notify_all(due, StatusSubscription())

    async def subscribe_forever(self) -> None:
        """Go on asking while requests come."""
        while True:
            await asyncio.sleep(INTEREST_LOOK_S)
            self.subscribe_to_owners()
