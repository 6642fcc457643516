"""What the parts of one entry VM on the routed interface share."""

import os
import time
from typing import Any

from bamboovale.decisions.retry_share import RetryShare, RetryShareConfig
from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.fleet import Fleet
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import EndpointRecord, RoutingTable
from bamboovale.gateway.store_watch import StoreWatch


class VMState:
    """What one VM believes and how far its life is; parts read it, few write it.

    ``node`` are the settings of the process. ``table`` is the configuration in force,
    None before the first. ``knows_fleet`` is true once the addresses of the others were
    read: until then a VM of hundreds would do what only a few of them should.
    ``isolated`` is true while most other VMs do not hear us.
    """

    def __init__(self, node: Any, journal: Journal) -> None:
        self.node = node
        self.journal = journal
        self.incarnation = os.urandom(6).hex()
        self.table: RoutingTable | None = None
        self.version_by_adapter: dict[tuple[str, str | None], int] = {}
        self.share_by_service: dict[str, RetryShare] = {}
        self.stopping = False
        self.draining = False
        self.knows_fleet = False
        self.isolated = False
        self.fleet = Fleet.from_node(node)
        self.store_watch = StoreWatch(self.now)
        self.endpoints = EndpointView(journal, self.store_watch)

    def now(self) -> float:
        """Return the event loop's time, in seconds."""
        return time.monotonic()

    def takes_work(self) -> bool:
        """Tell whether new work may begin here."""
        return not self.draining

    def serving(self) -> bool:
        """Tell whether callers may be sent here."""
        known = self.table is not None and bool(self.endpoints.record_by_id)
        return known and not self.stopping and not self.isolated

    def version_of(self, model: str, adapter: str | None) -> int:
        """Return the newest version that the operator named."""
        return self.version_by_adapter.get((model, adapter), 1)

    def model_engines(self) -> list[EndpointRecord]:
        """Return the model engines that take new work."""
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

    def share_of(self, service: str) -> RetryShare:
        """Return our share of a service's retry budget."""
        share = self.share_by_service.get(service)
        if share is None:
            share = RetryShare.from_config(self._retry_bounds())
            share.fleet_size = self.fleet.size()
            self.share_by_service[service] = share
        return share

    def set_retry_bounds(self) -> None:
        """Let every service's share go by the settings as they are now."""
        for share in self.share_by_service.values():
            share.set_config(self._retry_bounds())

    def _retry_bounds(self) -> RetryShareConfig:
        bounds = self.node.bounds
        return RetryShareConfig(
            ratio=bounds.retry_ratio,
            burst=bounds.retry_burst,
            window_s=bounds.retry_window_s,
        )
