"""The live entry VMs and the owners of engines, as known to one VM.

Each VM registers its address in the metadata store, where others find it when they
start. Liveness and ownership spread by gossip (``bamboovale/fleet``), which works while
the store is unreachable. An owner publishes engine status to its subscribers.
"""

import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from functools import cached_property
from typing import Any

from bamboovale.decisions.advertised_vms import Candidate, advertised_in_domain
from bamboovale.decisions.relay_choice import Helper
from bamboovale.decisions.rendezvous import first_members
from bamboovale.fleet.changes import ChangeLog
from bamboovale.fleet.membership import Change, Membership
from bamboovale.fleet.messages import Member
from bamboovale.gateway.messages import EngineLoad, EngineStatus

OWNER_CANDIDATES = 24
"""VMs of a large fleet that may own engines: more than the partitions, so that new
owners remain when several VMs end at once. Each renewal of membership in the store is
priced."""

MAX_SMALL_FLEET = 12
"""Fleet size up to which every VM reads all topics of the store. In a larger fleet a
few VMs read, as every read is a priced call, and the others hear from neighbours."""


@dataclass(frozen=True)
class OwnedEngine:
    """An engine's owner, with the last status that it published.

    ``published`` is None before the first; ``load`` is the load that was published
    since; ``last_seen`` is when either was last updated. ``advertised`` is whether the
    owner's membership entry lists the engine, ``released`` whether it did and no longer
    does.
    """

    owner: str
    fence: int
    published: EngineStatus | None = None
    last_seen: float = 0.0
    advertised: bool = False
    released: bool = False
    load: EngineLoad | None = None

    @cached_property
    def status(self) -> EngineStatus | None:
        """Return the last status with the newest load, None before the first.

        Merged when it is needed: loads arrive far more often than requests.
        """
        if self.published is None or self.load is None:
            return self.published
        return replace(
            self.published,
            active=self.load.active,
            queued=self.load.queued,
            backlog_s=self.load.backlog_s,
            open_slots=self.load.open_slots,
            free_slots=self.load.free_slots,
        )


class Fleet:
    """All VMs and the owners of engines; uses no sockets and no clock."""

    def __init__(self, own: Member) -> None:
        self.changes: ChangeLog[Change] = ChangeLog()
        self.membership = Membership(own, self.changes)
        self._engine_by_id: dict[str, OwnedEngine] = {}
        self._refreshed_version = -1
        self._live: list[Member] = []
        self._serving_ids: list[str] = []
        self._serving_version = 0
        self._owner_ids: set[str] = set()
        self._holder_by_partition: dict[int, tuple[int, str]] = {}
        self._advertised: dict[str, list[Member]] = {}
        self._advertised_at_version = -1
        self._designated_by_duty: dict[tuple[str, int], tuple[int, list[str]]] = {}

    @classmethod
    def from_node(
        cls, node: Any, time_of_day: Callable[[], float] = time.time
    ) -> "Fleet":
        """Return the fleet of a VM that has just started: it contains only itself."""
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

    # Members.

    @property
    def version(self) -> int:
        """Return a number that rises with each change of the membership."""
        return self.membership.version

    def size(self) -> int:
        """Return the number of live entry VMs, this one included."""
        return 1 + len(self.live())

    def expected_size(self) -> int:
        """Return the number of VMs that are live, or registered but not seen yet."""
        return self.size() + len(self.membership.contact_ids())

    def is_large(self) -> bool:
        """Return whether only a few VMs read from the store."""
        return self.expected_size() > MAX_SMALL_FLEET

    def live(self) -> list[Member]:
        """Return the other live VMs."""
        self._refresh()
        return self._live

    def is_live(self, vm_id: str) -> bool:
        """Return whether a VM is considered live and reachable."""
        return self.membership.is_live(vm_id)

    def serving(self) -> list[Member]:
        """Return the other live VMs that serve callers."""
        return [member for member in self.live() if member.serving]

    def helpers(self) -> list[Helper]:
        """Return the VMs that may send requests to endpoints for this one.

        VMs that are about to stop help only if there are no others.
        """
        near = self.membership.own.failure_domain
        in_touch = [member for member in self.live() if not member.cut]
        serving = [member for member in in_touch if member.serving]
        return [
            Helper(member.vm_id, member.failure_domain == near)
            for member in serving or in_touch
        ]

    def serving_ids(self) -> list[str]:
        """Return the ids of live VMs that serve callers, this one included."""
        self._refresh()
        return self._serving_ids

    def advertised_by_domain(self) -> dict[str, list[Member]]:
        """Return by failure domain the VMs to advertise to callers, with this one."""
        if self._advertised_at_version == self.version:
            return self._advertised
        own = self.membership.own
        serving = [*self.serving(), *([own] if own.serving else [])]
        # Callers of a VM that is cut off are served by way of others; if all are, as
        # well at one as at another.
        members = [member for member in serving if not member.cut] or serving
        by_domain: dict[str, list[Member]] = {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member)
        self._advertised = {
            domain: _select_advertised(found, len(members))
            for domain, found in by_domain.items()
        }
        self._advertised_at_version = self.version
        return self._advertised

    def advertised_ids(self) -> list[str]:
        """Return the ids of the VMs to advertise to callers, with this one."""
        by_domain = self.advertised_by_domain()
        return [member.vm_id for members in by_domain.values() for member in members]

    def designated(self, duty: str, count: int) -> list[str]:
        """Return the serving VMs that perform a shared duty, the same at every VM."""
        serving_ids = self.serving_ids()
        known = self._designated_by_duty.get((duty, count))
        if known is None or known[0] != self._serving_version:
            first_ids = first_members(duty, serving_ids, count)
            known = (self._serving_version, first_ids)
            self._designated_by_duty[duty, count] = known
        return known[1]

    def is_designated(self, key: str) -> bool:
        """Return whether this VM is the one that decides on a key for all."""
        own_id = self.membership.own.vm_id
        return first_members(key, self.serving_ids(), 1) == [own_id]

    def owner_candidates(self) -> list[str]:
        """Return the VMs that may own engines.

        Registered VMs that were not seen yet count. Guards against every VM becoming a
        candidate when a large fleet restarts.
        """
        expected = self.membership.contact_ids()
        if not expected:
            return self.designated("owners", OWNER_CANDIDATES)
        vm_ids = {*self.serving_ids(), *expected}
        return first_members("owners", vm_ids, OWNER_CANDIDATES)

    def stream_holders(self) -> list[str]:
        """Return the VMs that remember the starts of streams for others.

        Mostly those that own engines, to which every VM has links.
        """
        return self.designated("owners", OWNER_CANDIDATES)

    def address_of(self, vm_id: str) -> tuple[str, int] | None:
        """Return host and port at which a VM accepts peer links."""
        return self.membership.address_of(vm_id)

    def partition_holder(self, number: int) -> str | None:
        """Return the live VM that holds a partition, by the newest generation."""
        self._refresh()
        holder = self._holder_by_partition.get(number)
        return None if holder is None else holder[1]

    def newer_holder(self, number: int) -> str | None:
        """Return the live VM that holds a partition of ours by a newer generation.

        The store may have assigned it to another VM while it rejects this one.
        """
        self._refresh()
        own = dict(self.membership.own.partitions).get(number)
        holder = self._holder_by_partition.get(number)
        if own is None or holder is None or holder[0] <= own:
            return None
        return holder[1]

    # Owners of engines.

    def engine(self, engine_id: str) -> OwnedEngine | None:
        """Return an engine's owner and status, None if unknown."""
        self._refresh()
        return self._engine_by_id.get(engine_id)

    def engines(self) -> Mapping[str, OwnedEngine]:
        """Return the known engines by id; an entry is replaced when it changes."""
        self._refresh()
        return self._engine_by_id

    def held_up_ids(self) -> set[str]:
        """Return the engines whose streams were stalled by prefill recently."""
        return {
            engine_id
            for engine_id, owned in self.engines().items()
            if owned.published is not None and owned.published.held_up
        }

    def owner_ids(self) -> set[str]:
        """Return the live VMs that own engines, this one included."""
        self._refresh()
        return self._owner_ids

    def on_statuses(
        self,
        vm_id: str,
        statuses: Iterable[EngineStatus],
        now: float,
    ) -> None:
        """Apply the status that a VM publishes of its engines.

        It may arrive before gossip that the VM owns them: the live owner with the
        highest fencing number prevails.
        """
        self._refresh()
        for status in statuses:
            engine_id, fence = status.engine_id, status.fence
            known = self._engine_by_id.get(engine_id)
            if known is not None and known.owner == vm_id:
                self._engine_by_id[engine_id] = OwnedEngine(
                    vm_id, fence, status, now, known.advertised, known.released
                )
            elif known is None or self._supersedes(vm_id, fence, known):
                self._engine_by_id[engine_id] = OwnedEngine(vm_id, fence, status, now)

    def on_loads(self, vm_id: str, loads: Iterable[EngineLoad], now: float) -> None:
        """Apply the load of a VM's engines where it is their known owner."""
        for load in loads:
            known = self._engine_by_id.get(load.engine_id)
            if known is None or known.owner != vm_id or known.released:
                continue
            if known.published is None:
                continue
            self._engine_by_id[load.engine_id] = OwnedEngine(
                vm_id, known.fence, known.published, now, known.advertised, load=load
            )

    def retain_engines(self, live_ids: set[str]) -> None:
        """Drop all engines but those with the given ids and those that a VM lists.

        An owner may be heard of before the endpoint's record is read here.
        """
        self._refresh()
        for engine_id, known in list(self._engine_by_id.items()):
            is_listed = known.advertised and self.is_live(known.owner)
            if engine_id not in live_ids and not is_listed:
                del self._engine_by_id[engine_id]

    def _refresh(self) -> None:
        """Apply the membership's changes since the last refresh."""
        if self._refreshed_version == self.membership.version:
            return
        self._refreshed_version = self.membership.version
        self._live = self.membership.live()
        own = self.membership.own
        serving_ids = [own.vm_id, *(m.vm_id for m in self._live if m.serving)]
        if serving_ids != self._serving_ids:
            self._serving_ids = serving_ids
            self._serving_version += 1
        self._refresh_holders()
        owners = [member for member in (own, *self._live) if member.owned]
        self._owner_ids = {member.vm_id for member in owners}
        self._refresh_owners(owners)

    def _refresh_holders(self) -> None:
        """Find the live holder of each partition, by the newest generation."""
        self._holder_by_partition = {}
        for member in self._live:
            for partition, generation in member.partitions:
                holder = (generation, member.vm_id)
                known = self._holder_by_partition.get(partition, holder)
                self._holder_by_partition[partition] = max(known, holder)

    def _refresh_owners(self, owners: list[Member]) -> None:
        """Apply the engines that the live VMs list as theirs."""
        owned_now = set()
        for member in owners:
            for engine_id, fence in member.owned:
                owned_now.add((engine_id, member.vm_id))
                self._apply_owner(engine_id, member.vm_id, fence)
        for engine_id, known in self._engine_by_id.items():
            is_advertised = (engine_id, known.owner) in owned_now
            if not is_advertised and known.advertised and self.is_live(known.owner):
                released = replace(known, advertised=False, released=True)
                self._engine_by_id[engine_id] = released

    def _apply_owner(self, engine_id: str, vm_id: str, fence: int) -> None:
        known = self._engine_by_id.get(engine_id)
        if known is None:
            owned = OwnedEngine(vm_id, fence, advertised=True)
            self._engine_by_id[engine_id] = owned
        elif known.owner == vm_id:
            if known.advertised and not known.released and known.fence >= fence:
                return
            self._engine_by_id[engine_id] = replace(
                known,
                fence=max(known.fence, fence),
                advertised=True,
                released=False,
            )
        elif self._supersedes(vm_id, fence, known):
            # Until the new owner publishes, the last one's status is kept.
            self._engine_by_id[engine_id] = OwnedEngine(
                vm_id, fence, known.status, advertised=True
            )

    def _supersedes(self, vm_id: str, fence: int, known: OwnedEngine) -> bool:
        """Return whether an owner replaces the known one.

        The live owner with the highest fencing number prevails.
        """
        if known.owner == vm_id or known.released:
            return True
        return fence >= known.fence or not self.is_live(known.owner)


def _select_advertised(members: list[Member], fleet_size: int) -> list[Member]:
    candidates = [Candidate(m.vm_id, m.cores, m.busy) for m in members]
    member_by_id = {member.vm_id: member for member in members}
    return [member_by_id[v] for v in advertised_in_domain(candidates, fleet_size)]
