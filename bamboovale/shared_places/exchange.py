"""Both sides of shared places in one VM, and which VM grants which service."""

from collections.abc import Collection, Mapping
from typing import Any, get_args

from bamboovale.decisions.advertised_vms import advertised_count
from bamboovale.decisions.shared_places import has_shared_places
from bamboovale.gateway.account_holders import Partitions
from bamboovale.gateway.engines import Links
from bamboovale.gateway.ownership import partition_of
from bamboovale.gateway.vm_state import VMState
from bamboovale.shared_places.client import OnGranterKnown, OnOutcome, PlaceClient
from bamboovale.shared_places.granter import PlaceGranter, Reply
from bamboovale.shared_places.granter_report import OnTotals
from bamboovale.shared_places.messages import (
    SharedPlaceHeld,
    SharedPlaceRelease,
    SharedPlaceReply,
    SharedPlaceRequest,
)

SharedPlaceNotice = SharedPlaceReply | SharedPlaceRelease | SharedPlaceHeld
SHARED_PLACE_NOTICES = get_args(SharedPlaceNotice)
"""Notices about places at plain endpoints."""

DUTY = "places/"
"""Prefix of a service in the names of its partition and of its granter's duty."""
MIN_KNOWN_SHARE = 0.5
"""Share of the fleet that a VM must have heard of to choose a granter by membership."""


class FleetLookup:
    """The granters by the partitions in the store, and the endpoints' slots."""

    def __init__(self, state: VMState, partitions: Partitions, *, is_on: bool) -> None:
        self._state = state
        self._partitions = partitions
        self._is_on = is_on

    @property
    def own_id(self) -> str:
        """Return the id of this VM."""
        return self._state.node.name

    def applies(self, service: str) -> bool:
        """Return whether calls of a service ask a granter."""
        table = self._state.table
        if not self._is_on or table is None:
            return False
        known = table.service_by_name.get(service)
        if known is None or known.engines is not None:
            return False
        senders = advertised_count(self._state.fleet.expected_size())
        return has_shared_places(senders, sum(self.slots_by_id(service).values()))

    def senders(self) -> int:
        """Return the number of VMs that callers are sent to."""
        return len(self._state.fleet.advertised_ids())

    def out_of_reach(self, endpoint_ids: Collection[str]) -> set[str]:
        """Return the endpoints to which this VM cannot connect."""
        paths, now = self._state.path_watch.paths, self._state.now()
        return {name for name in endpoint_ids if paths.is_out_of_reach(name, now)}

    def granter_of(self, service: str) -> str | None:
        """Return the VM that holds the service's partition, else one by membership.

        Two VMs may grant for a while as the fleet is seen differently: endpoints then
        reject what is too much, as without a granter.
        """
        partitions = self._state.node.store_limits.partitions
        partition = partition_of(f"{DUTY}{service}", partitions)
        fleet = self._state.fleet
        if partition in self._partitions.held_partitions():
            return fleet.newer_holder(partition) or self.own_id
        return fleet.partition_holder(partition) or self._by_membership(service)

    def _by_membership(self, service: str) -> str | None:
        """Return the VM that all choose while no holder is known, None without one.

        Guards against a shortage without a granter until the store is back. A VM that
        has not met most of the fleet yet would choose itself.
        """
        fleet = self._state.fleet
        if fleet.size() <= MIN_KNOWN_SHARE * fleet.expected_size():
            return None
        return next(iter(fleet.designated(f"{DUTY}{service}", 1)), None)

    def slots_by_id(self, service: str) -> Mapping[str, int]:
        """Return the slots of the endpoints that accept new calls."""
        records = self._state.endpoints.ready(service)
        return {record.endpoint_id: record.slots for record in records}


class SharedPlaceExchange:
    """Grants places to other VMs, and asks for those of this VM's calls."""

    def __init__(
        self,
        state: VMState,
        links: Links,
        partitions: Partitions,
        on_outcome: OnOutcome,
        on_totals: OnTotals,
        on_granter_known: OnGranterKnown,
        *,
        is_on: bool,
    ) -> None:
        self._links = links
        self._lookup = FleetLookup(state, partitions, is_on=is_on)
        self._is_on = is_on
        self.granter = PlaceGranter(
            self._lookup, self._tell, state.journal, state.now, on_totals
        )
        self.client = PlaceClient(
            self._lookup,
            self.granter,
            links,
            state.journal,
            state.now,
            on_outcome,
            on_granter_known,
        )

    def on_request(
        self, sender: str, message: SharedPlaceRequest, reply: Reply
    ) -> None:
        """Answer another VM's request for a place."""
        if self._is_on:
            self.granter.on_request(sender, message, reply)
        else:
            reply(SharedPlaceReply(message.number, unable=True))

    def on_notice(self, sender: str, message: SharedPlaceNotice) -> None:
        """Handle another VM's notice."""
        if isinstance(message, SharedPlaceReply):
            self.client.on_reply(sender, message)
        elif not self._is_on:
            return
        elif isinstance(message, SharedPlaceRelease):
            self.granter.on_release(sender, message)
        else:
            self.granter.on_held(sender, message)

    def refresh(self) -> None:
        """Apply changes of the fleet and of this VM's partitions."""
        self.granter.drop_lost()
        self.client.refresh()

    def dump(self) -> dict[str, Any]:
        """Return what this VM grants, and whom it asks, by service."""
        return {"granted": self.granter.dump(), "granters": self.client.dump()}

    def _tell(self, vm_id: str, reply: SharedPlaceReply) -> None:
        if vm_id == self._lookup.own_id:
            self.client.on_reply(vm_id, reply)
        else:
            self._links.notify(vm_id, reply)
