"""The entry VMs that are there and the engines they own, as seen from one of them.

Each VM registers its address once in the metadata store, where others find it when
they start. Whether it lives, and which engines it owns, spreads from neighbour to
neighbour (``bamboovale/fleet``): the store may be down or cut off while everything
else works. How busy an engine is comes from its owner, to those that asked of late.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from bamboovale.decisions.advertised_vms import Candidate, advertised_in_domain
from bamboovale.decisions.rendezvous import first_members
from bamboovale.fleet.changes import ChangeLog
from bamboovale.fleet.membership import Change, Membership
from bamboovale.fleet.messages import Member
from bamboovale.gateway.messages import EngineLoad, EngineStatus

OWNER_CANDIDATES = 24
"""VMs of a large fleet that may own engines: twice the partitions, so that partitions
find a new owner when several VMs end at once. Each that takes part renews its
membership in the store, and every renewal is priced as a tenth of a call."""


@dataclass(frozen=True)
class OwnedEngine:
    """What is known of an engine's owner.

    ``status`` is the owner's last word, None before the first. ``named`` tells whether
    the owner's news about itself named the engine, ``given_up`` that it no longer does.
    """

    owner: str
    fence: int
    status: EngineStatus | None = None
    heard_at: float = 0.0
    named: bool = False
    given_up: bool = False


class Fleet:
    """Aggregate of all VMs and the owners of engines; no sockets, no clock."""

    def __init__(self, own: Member) -> None:
        self.changes: ChangeLog[Change] = ChangeLog()
        self.membership = Membership(own, self.changes)
        self._engine_by_id: dict[str, OwnedEngine] = {}
        self._seen_version = -1
        self._live: list[Member] = []
        self._named: dict[str, list[Member]] = {}
        self._named_at_version = -1
        self._first_by_use: dict[tuple[str, int], tuple[int, list[str]]] = {}

    @classmethod
    def from_node(
        cls, node: Any, time_of_day: Callable[[], float] = time.time
    ) -> "Fleet":
        """Return the fleet of a VM that has just started; it knows only itself."""
        own = Member(
            vm_id=node.name,
            start=int(time_of_day() * 1000),
            revision=1,
            address=node.ip,
            peers_port=node.peers_port,
            callers_port=node.callers[1],
            failure_domain=node.failure_domain,
            cores=round(node.cores, 3),
        )
        return cls(own)

    # Who lives.

    @property
    def version(self) -> int:
        """Return a number that rises with each change of what is believed."""
        return self.membership.version

    def size(self) -> int:
        """Return how many entry VMs live, ourselves included."""
        return 1 + len(self.live())

    def expected_size(self) -> int:
        """Return how many VMs live or are registered and not heard of yet."""
        return self.size() + len(self.membership.contact_ids())

    def live(self) -> list[Member]:
        """Return the other VMs that live."""
        self._refresh()
        return self._live

    def is_live(self, vm_id: str) -> bool:
        """Tell whether a VM lives and reaches us, as far as is known."""
        return self.membership.is_live(vm_id)

    def serving(self) -> list[Member]:
        """Return the other live VMs that take callers."""
        return [member for member in self.live() if member.serving]

    def serving_ids(self) -> list[str]:
        """Return the VMs that live and serve, ourselves included."""
        return [self.membership.own.vm_id, *(m.vm_id for m in self.serving())]

    def named_by_domain(self) -> dict[str, list[Member]]:
        """Return the VMs to name to callers, ourselves included, by failure domain."""
        if self._named_at_version == self.version:
            return self._named
        own = self.membership.own
        members = [*self.serving(), *([own] if own.serving else [])]
        by_domain: dict[str, list[Member]] = {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member)
        self._named = {
            domain: _named(found, len(members)) for domain, found in by_domain.items()
        }
        self._named_at_version = self.version
        return self._named

    def first(self, use: str, count: int) -> list[str]:
        """Return the serving VMs that do something for all, the same at every VM."""
        known = self._first_by_use.get((use, count))
        if known is None or known[0] != self.version:
            known = (self.version, first_members(use, self.serving_ids(), count))
            self._first_by_use[use, count] = known
        return known[1]

    def owner_candidates(self) -> list[str]:
        """Return the live VMs that may own engines.

        VMs that are registered and not heard of yet count: after a restart of a large
        fleet each would otherwise take part until it has heard of the others.
        """
        expected = self.membership.contact_ids()
        if not expected:
            return self.first("owners", OWNER_CANDIDATES)
        vm_ids = {*self.serving_ids(), *expected}
        return first_members("owners", vm_ids, OWNER_CANDIDATES)

    def address_of(self, vm_id: str) -> tuple[str, int] | None:
        """Return where a VM takes links."""
        return self.membership.address_of(vm_id)

    # Who owns what.

    def engine(self, engine_id: str) -> OwnedEngine | None:
        """Return what is known of an engine's owner."""
        self._refresh()
        return self._engine_by_id.get(engine_id)

    def owner_ids(self) -> set[str]:
        """Return the live VMs that own engines, ourselves included."""
        owners = {member.vm_id for member in self.live() if member.owned}
        if self.membership.own.owned:
            owners.add(self.membership.own.vm_id)
        return owners

    def on_statuses(
        self,
        vm_id: str,
        statuses: Iterable[EngineStatus],
        now: float,
    ) -> None:
        """Take what a VM tells of engines it owns.

        It may come before the news that the VM owns them: the highest fencing number
        is believed, while its owner lives.
        """
        self._refresh()
        for status in statuses:
            owned = OwnedEngine(vm_id, status.fence, status, now)
            known = self._engine_by_id.get(status.engine_id)
            if known is not None and known.owner == vm_id:
                owned = replace(known, fence=status.fence, status=status, heard_at=now)
            if known is None or self._is_believed(owned, known):
                self._engine_by_id[status.engine_id] = owned

    def on_loads(self, vm_id: str, loads: Iterable[EngineLoad], now: float) -> None:
        """Take how busy a VM's engines are, if it is their owner for us."""
        for load in loads:
            known = self._engine_by_id.get(load.engine_id)
            if known is None or known.owner != vm_id or known.given_up:
                continue
            if known.status is None:
                continue
            status = replace(
                known.status,
                active=load.active,
                queued=load.queued,
                backlog_s=load.backlog_s,
                open_slots=load.open_slots,
            )
            self._engine_by_id[load.engine_id] = replace(
                known,
                status=status,
                heard_at=now,
            )

    def drop_engines(self, live_ids: set[str]) -> None:
        """Forget engines that are gone."""
        for engine_id in list(self._engine_by_id):
            if engine_id not in live_ids:
                del self._engine_by_id[engine_id]

    def _refresh(self) -> None:
        """Take over what the members tell since the last look."""
        if self._seen_version == self.membership.version:
            return
        self._seen_version = self.membership.version
        self._live = self.membership.live()
        owned_now = set()
        for member in (self.membership.own, *self._live):
            for engine_id, fence in member.owned:
                owned_now.add((engine_id, member.vm_id))
                owned = OwnedEngine(member.vm_id, fence, named=True)
                self._take_owner(engine_id, owned)
        for engine_id, known in self._engine_by_id.items():
            is_named = (engine_id, known.owner) in owned_now
            if not is_named and known.named and self.is_live(known.owner):
                given_up = replace(known, named=False, given_up=True)
                self._engine_by_id[engine_id] = given_up

    def _take_owner(self, engine_id: str, owned: OwnedEngine) -> None:
        known = self._engine_by_id.get(engine_id)
        if known is None:
            self._engine_by_id[engine_id] = owned
        elif known.owner == owned.owner:
            self._engine_by_id[engine_id] = replace(
                known,
                fence=max(known.fence, owned.fence),
                named=True,
                given_up=False,
            )
        elif self._is_believed(owned, known):
            # Until the new owner speaks, the last one's word on what is loaded holds.
            self._engine_by_id[engine_id] = replace(owned, status=known.status)

    def _is_believed(self, owned: OwnedEngine, known: OwnedEngine) -> bool:
        """Believe the owner with the highest fencing number, while it lives."""
        if known.owner == owned.owner or known.given_up:
            return True
        return owned.fence >= known.fence or not self.is_live(known.owner)


def _named(members: list[Member], fleet_size: int) -> list[Member]:
    candidates = [Candidate(m.vm_id, m.cores, m.busy) for m in members]
    member_by_id = {member.vm_id: member for member in members}
    return [member_by_id[v] for v in advertised_in_domain(candidates, fleet_size)]
