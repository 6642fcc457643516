"""Publication of engine status by owners, and subscription to it by other VMs.

A status holds what an engine has loaded, which changes with a load, and its load, which
changes with every request and is published by itself. A status is sent when it changes
beyond its load, and from time to time in case a message was lost.
"""

import asyncio
from dataclasses import replace

from bamboovale.fleet.subscriptions import Subscriber, Subscriptions
from bamboovale.gateway.engines import Engines, Links
from bamboovale.gateway.messages import (
    EngineLoads,
    EngineStatus,
    EngineStatuses,
    StatusSubscription,
)
from bamboovale.gateway.vm_state import VMState

SUBSCRIBE_CHECK_INTERVAL_S = 0.5
"""Interval of checks which subscriptions are due: a quarter of a renewal interval."""
REFRESH_INTERVAL_S = 2.0
"""Interval at which the status of all engines is sent, changed or not."""
SIGNIFICANT_DIGITS = 2
"""Significant digits of learned times below which they count as unchanged."""
MAX_RUN_CHANGE = 0.25
"""Relative change of the time of a run or of a token that is sent at once, above the
usual variation between runs."""
OWNER_CHECK_INTERVAL_S = 0.3
"""Interval of checks whether this VM owns engines while it owns none."""


class EngineStatusExchange:
    """Publishes the status of owned engines and subscribes to that of others."""

    def __init__(self, state: VMState, engines: Engines, links: Links) -> None:
        self._state = state
        self._engines = engines
        self._links = links
        self._subscriptions = Subscriptions()
        self._subscriber = Subscriber()
        self._published_by_engine: dict[str, EngineStatus] = {}
        self._refreshed_at = -REFRESH_INTERVAL_S
        engines.on_engine_needed = self.on_engine_needed

    # As an owner.

    def on_subscribe(self, sender: str) -> None:
        """Add or renew a VM's subscription; sends the status at once if it is new."""
        is_new = self._subscriptions.renew(sender, self._state.now())
        if is_new and self._engines.owner_by_engine:
            self._links.notify(sender, self._statuses())

    def publish_statuses(self) -> None:
        """Send the changed status of owned engines to all subscribers."""
        now = self._state.now()
        statuses = self._statuses().statuses
        self._state.fleet.on_statuses(self._state.node.name, statuses, now)
        is_refresh = now - self._refreshed_at >= REFRESH_INTERVAL_S
        if is_refresh:
            self._refreshed_at = now
            self._published_by_engine.clear()
        changed = tuple(status for status in statuses if self._is_news(status))
        for status in changed:
            self._published_by_engine[status.engine_id] = _without_load(status)
        if changed:
            subscribers = self._subscriptions.subscribers(now)
            self._links.notify_all(subscribers, EngineStatuses(changed))

    def _is_news(self, status: EngineStatus) -> bool:
        """Return whether a status differs from the last one sent beyond its load."""
        published = self._published_by_engine.get(status.engine_id)
        if published is None or _run_speed_changed(published, status):
            return True
        same_speed = replace(
            status,
            s_per_output_token=published.s_per_output_token,
            run_s=published.run_s,
        )
        return published != _without_load(same_speed)

    async def publish_statuses_forever(self) -> None:
        """Publish engine status at intervals while this VM owns engines."""
        while True:
            await asyncio.sleep(self._subscriptions.status_interval_s())
            if self._engines.owner_by_engine:
                self.publish_statuses()

    async def publish_loads_forever(self) -> None:
        """Publish the load of owned engines between two statuses when it changed."""
        published: EngineLoads | None = None
        while True:
            is_owner = bool(self._engines.owner_by_engine)
            interval_s = self._subscriptions.loads_interval_s()
            await asyncio.sleep(interval_s if is_owner else OWNER_CHECK_INTERVAL_S)
            owners = self._engines.owner_by_engine.values()
            loads = EngineLoads(tuple(owner.load() for owner in owners))
            if not loads.loads or loads == published:
                continue
            published = loads
            now = self._state.now()
            self._state.fleet.on_loads(self._state.node.name, loads.loads, now)
            self._links.notify_all(self._subscriptions.subscribers(now), loads)

    def _statuses(self) -> EngineStatuses:
        owners = self._engines.owner_by_engine.values()
        return EngineStatuses(tuple(owner.status() for owner in owners))

    # As a subscriber.

    def on_engine_needed(self) -> None:
        """Note that a request needs an engine; subscribe at once after an idle time."""
        if self._subscriber.note_request(self._state.now()):
            self.subscribe_to_owners()

    def subscribe_to_owners(self) -> None:
        """Renew subscriptions that are due, if this VM needs engine status.

        It does while it chooses engines for requests, or owns engines: prompts are
        paced by the status of the other engines too.
        """
        now = self._state.now()
        owns_some = bool(self._engines.owner_by_engine)
        if not owns_some and not self._subscriber.is_active(now):
            return
        others = self._state.fleet.owner_ids() - {self._state.node.name}
        due = self._subscriber.due_renewals(others, now)
        if due:
            self._links.notify_all(due, StatusSubscription())

    async def subscribe_forever(self) -> None:
        """Renew subscriptions forever while engine status is needed."""
        while True:
            await asyncio.sleep(SUBSCRIBE_CHECK_INTERVAL_S)
            self.subscribe_to_owners()


def _run_speed_changed(published: EngineStatus, status: EngineStatus) -> bool:
    """Return whether the speed of runs changed by more than its usual variation."""
    changes = (
        (published.s_per_output_token, status.s_per_output_token),
        (published.run_s, status.run_s),
    )
    return any(abs(new - old) > MAX_RUN_CHANGE * old for old, new in changes)


def _without_load(status: EngineStatus) -> EngineStatus:
    """Return the part of a status that its load does not contain, to compare it."""
    return replace(
        status,
        active=0,
        queued=0,
        backlog_s=0.0,
        open_slots=0,
        free_slots=0,
        s_per_token=_rounded(status.s_per_token),
        load_s=_rounded(status.load_s),
        cached_load_s=_rounded(status.cached_load_s),
    )


def _rounded(seconds: float) -> float:
    return float(f"{seconds:.{SIGNIFICANT_DIGITS}g}")
