"""State shared by the parts of one entry VM on the routed interface."""

import os
import time
from typing import Any

from bamboovale.decisions.brittle_endpoints import BrittleEndpoints
from bamboovale.decisions.endpoint_rests import EndpointRests
from bamboovale.decisions.planned_stop import PlannedStop
from bamboovale.decisions.retry_share import RetryShareConfig
from bamboovale.decisions.view_freshness import ViewFreshness
from bamboovale.gateway.endpoint_limits import EndpointLimits
from bamboovale.gateway.endpoint_signals import SignalReader
from bamboovale.gateway.endpoints import EndpointChange, EndpointView
from bamboovale.gateway.fleet import Fleet
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import EndpointRecord, RoutingTable
from bamboovale.gateway.ownership import lease_clock
from bamboovale.gateway.path_watch import PathWatch
from bamboovale.gateway.retry_budgets import RetryBudgets
from bamboovale.store.eras import StoreEras
from bamboovale.store.watch import StoreWatch
from bamboovale.streams.version_history import VersionHistory


class VMState:
    """Shared state of one VM.

    ``node`` are the settings of the process. ``table`` is the current configuration,
    None before the first. ``knows_fleet`` is true after the first read of the other
    VMs' addresses, even if it failed; until then duties designated to a few VMs are not
    performed; ``has_read_fleet`` is true once a read succeeded. ``isolated`` is true
    while this VM is cut off from most others, ``unproven`` while others can show that
    their ``view`` of the configuration is the newest, but not this VM. ``planned_stop``
    is None until the VM is told to stop.
    """

    def __init__(self, node: Any, journal: Journal) -> None:
        self.node = node
        self.journal = journal
        self.incarnation = os.urandom(6).hex()
        self.table: RoutingTable | None = None
        self.version_by_adapter: dict[tuple[str, str | None], int] = {}
        self.planned_stop: PlannedStop | None = None
        self.draining = False
        self.knows_fleet = False
        self.has_read_fleet = False
        self.isolated = False
        self.unproven = False
        self.view = ViewFreshness()
        self.fleet = Fleet.from_node(node)
        self.retries = RetryBudgets(
            journal,
            self._retry_bounds(),
            self.fleet.membership.may_run_count,
            self.now,
            is_first_start=node.first_start,
        )
        self.path_watch = PathWatch(
            journal,
            self.now,
            is_known=lambda endpoint_id: endpoint_id in self.endpoints.record_by_id,
        )
        self.store_watch = StoreWatch(self.now)
        self.eras = StoreEras(journal, self.now)
        self.eras.listen(self.store_watch.on_returned)
        self.endpoints = EndpointView(journal, self.store_watch, self.now)
        self.versions = VersionHistory(is_first_start=node.first_start)
        self.endpoints.listen(self._on_endpoint)
        self.limits = EndpointLimits(journal, self.fleet, self.now)
        self.rests = EndpointRests()
        self.brittle = BrittleEndpoints()
        self.signals = SignalReader(
            journal,
            self.endpoints,
            self.limits,
            self.rests,
            self.brittle,
            self.path_watch,
            self.now,
        )

    @property
    def stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self.planned_stop is not None

    def now(self) -> float:
        """Return the monotonic time in seconds, as the event loop does."""
        return time.monotonic()

    def takes_work(self) -> bool:
        """Return whether new requests are accepted."""
        return not self.draining

    def may_help(self, left_s: float) -> bool:
        """Return whether requests of other VMs are sent on that end within a time.

        Guards against cutting them at the end of a planned stop.
        """
        stop = self.planned_stop
        return stop is None or self.now() + left_s < stop.ends_at

    def serving(self) -> bool:
        """Return whether this VM may be advertised to callers."""
        known = self.table is not None and bool(self.endpoints.record_by_id)
        is_hindered = self.stopping or self.isolated or self.unproven
        return known and not is_hindered

    def version_of(self, model: str, adapter: str | None) -> int:
        """Return the newest version that the operator published."""
        return self.version_by_adapter.get((model, adapter), 1)

    def model_engines(self) -> list[EndpointRecord]:
        """Return the model engines that accept new work."""
        if self.table is None:
            return []
        pools = {
            service.name
            for service in self.table.service_by_name.values()
            if service.engines is not None
        }
        return [
            record
            for record in self.endpoints.record_by_id.values()
            if record.service in pools and record.ready
        ]

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Drop what an endpoint that is gone has said and done."""
        self.limits.forget(endpoint_id)
        self.path_watch.paths.forget(endpoint_id)
        self.rests.forget(endpoint_id)
        self.brittle.forget(endpoint_id)

    def _on_endpoint(self, change: EndpointChange) -> None:
        record = change.record
        version = None
        if record is not None:
            version = (record.service, record.software_version)
        self.versions.on_endpoint(change.endpoint_id, version, lease_clock())

    def set_retry_bounds(self) -> None:
        """Apply the current settings to every service's retry budget."""
        self.retries.set_config(self._retry_bounds())

    def _retry_bounds(self) -> RetryShareConfig:
        bounds = self.node.bounds
        return RetryShareConfig(
            ratio=bounds.retry_ratio,
            burst=bounds.retry_burst,
            window_s=bounds.retry_window_s,
        )
