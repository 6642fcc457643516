"""The entry VMs that are there, as seen from one of them.

Each VM registers its address once in the metadata store, where others find it when
they start. Whether it lives is told by short statuses from VM to VM: the store may be
down or cut off while everything else works.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from bamboovale.decisions.rendezvous import first_members
from bamboovale.gateway.messages import EngineLoad, EngineStatus, GatewayStatus

STATUS_INTERVAL_S = 0.3
"""Between two statuses in a small fleet."""
STATUSES_PER_S = 60.0
"""Most that one VM receives: larger fleets tell less often (75 VMs: every 1.25 s)."""
LOADS_INTERVAL_S = 0.1
"""Between two words on how busy an owner's engines are. Entry VMs choose by it: told
every 0.3 s only, they send a slot's worth of loads too many to the same engine (in
virtual time at 170 requests a second 0.73 in time, at 0.1 s 0.85)."""
LOADS_SENT_PER_S = 200.0
"""Most that one owner sends: larger fleets are told less often, 75 VMs every 0.38 s. In
virtual time at 460 requests a second over 45 engines 0.98 in time every 0.3 s against
0.96 every 0.94 s, and the slowest three in a hundred 0.6 s against 1.1 s."""
QUIET_INTERVALS = 2
"""Intervals between two statuses of a VM that owns no engine, in a fleet too large for
the shortest interval: with twelve partitions at most twelve VMs own any. Nobody chooses
engines by the word of the others, and what they change is told at once. Forty idle VMs
in one process took 5.2 s of processor time in eight seconds; where each told in every
interval the process was busy throughout, with 7.9 s."""
MISSED_STATUSES = 3.0
"""Statuses in a row after which a VM counts as silent; links drop none but broken."""
SLACK_S = 0.2
"""Added to these: a status that crosses a slow link or waits for a busy loop."""
OWNER_CANDIDATES = 24
"""VMs of a large fleet that may own engines: twice the partitions, so that partitions
find a new owner when several VMs end at once. Each that takes part renews its
membership in the store, and every renewal is priced as a tenth of a call: 75 VMs make
750 calls' worth a minute, by their interval."""


@dataclass(frozen=True)
class Peer:
    """Another entry VM; ``heard_at`` None: known from the store only."""

    vm_id: str
    address: tuple[str, int]
    status: GatewayStatus | None = None
    heard_at: float | None = None


@dataclass(frozen=True)
class OwnedEngine:
    """What an engine's owner last told; ``given_up`` once it no longer owns it."""

    owner: str
    status: EngineStatus
    heard_at: float
    given_up: bool = False


class Fleet:
    """Aggregate of all peers; no sockets, no clock."""

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._peer_by_id: dict[str, Peer] = {}
        self._engine_by_id: dict[str, OwnedEngine] = {}
        self._owners: set[str] = set()

    @property
    def peer_by_id(self) -> Mapping[str, Peer]:
        """Return all peers that are known."""
        return self._peer_by_id

    def size(self, now: float) -> int:
        """Return how many entry VMs live, ourselves included."""
        return 1 + sum(self.is_live(vm_id, now) for vm_id in self._peer_by_id)

    def interval_s(self) -> float:
        """Return the time between two statuses; it grows with the fleet."""
        return max(STATUS_INTERVAL_S, len(self._peer_by_id) / STATUSES_PER_S)

    def is_turn(self, interval: int, *, owns_engines: bool) -> bool:
        """Tell whether a status is due in the interval of that number."""
        is_small = self.interval_s() <= STATUS_INTERVAL_S
        return is_small or owns_engines or interval % QUIET_INTERVALS == 0

    def loads_interval_s(self) -> float:
        """Return the time between two words on the load of engines."""
        return max(LOADS_INTERVAL_S, len(self._peer_by_id) / LOADS_SENT_PER_S)

    def silent_after_s(self) -> float:
        """Return for how long a live VM may be unheard."""
        return MISSED_STATUSES * self.interval_s() + SLACK_S

    def on_registered(self, vm_id: str, address: tuple[str, int]) -> None:
        """Take a VM's address from the store."""
        if vm_id == self._own_id:
            return
        known = self._peer_by_id.get(vm_id)
        if known is None or known.heard_at is None:
            self._peer_by_id[vm_id] = Peer(vm_id, address)

    def on_status(self, vm_id: str, status: GatewayStatus, now: float) -> None:
        """Take a peer's status."""
        address = (status.address, status.peers_port)
        self._peer_by_id[vm_id] = Peer(vm_id, address, status, now)
        self._take_engines(vm_id, status.engines, now)

    def on_loads(self, vm_id: str, loads: tuple[EngineLoad, ...], now: float) -> None:
        """Take how busy a peer's engines are, if it is their owner for us."""
        for load in loads:
            known = self._engine_by_id.get(load.engine_id)
            if known is None or known.owner != vm_id or known.given_up:
                continue
            status = replace(
                known.status,
                active=load.active,
                queued=load.queued,
                backlog_s=load.backlog_s,
                open_slots=load.open_slots,
            )
            self._engine_by_id[load.engine_id] = OwnedEngine(vm_id, status, now)

    def on_own_engines(self, engines: tuple[EngineStatus, ...], now: float) -> None:
        """Take what we ourselves own."""
        self._take_engines(self._own_id, engines, now)

    def address_of(self, vm_id: str) -> tuple[str, int] | None:
        """Return where a peer takes links."""
        peer = self._peer_by_id.get(vm_id)
        return None if peer is None else peer.address

    def is_live(self, vm_id: str, now: float) -> bool:
        """Tell whether a peer was heard of late."""
        if vm_id == self._own_id:
            return True
        peer = self._peer_by_id.get(vm_id)
        if peer is None or peer.heard_at is None:
            return False
        return now - peer.heard_at <= self.silent_after_s()

    def serving(self, now: float) -> list[GatewayStatus]:
        """Return the statuses of live peers that take callers."""
        return [
            peer.status
            for peer in self._peer_by_id.values()
            if peer.status is not None
            and peer.status.serving
            and self.is_live(peer.vm_id, now)
        ]

    def engine(self, engine_id: str) -> OwnedEngine | None:
        """Return what is known of an engine's owner."""
        return self._engine_by_id.get(engine_id)

    def to_tell(self, now: float, forget_after_s: float = 20.0) -> list[str]:
        """Return the peers to send statuses to; silent ones are tried for a while."""
        return [
            peer.vm_id
            for peer in self._peer_by_id.values()
            if peer.heard_at is None or now - peer.heard_at < forget_after_s
        ]

    def drop_engines(self, live_ids: set[str]) -> None:
        """Forget engines that are gone."""
        for engine_id in list(self._engine_by_id):
            if engine_id not in live_ids:
                del self._engine_by_id[engine_id]

    def newest_config(self, now: float) -> tuple[str, int] | None:
        """Return the live peer with the newest configuration, and its version."""
        versions = [
            (peer.status.config_version, peer.vm_id)
            for peer in self._peer_by_id.values()
            if peer.status is not None and self.is_live(peer.vm_id, now)
        ]
        if not versions:
            return None
        version, vm_id = max(versions)
        return vm_id, version

    def _take_engines(
        self,
        vm_id: str,
        engines: tuple[EngineStatus, ...],
        now: float,
    ) -> None:
        """Take what a VM owns; what it no longer names it has given up."""
        if not engines and vm_id not in self._owners:
            return
        self._owners.add(vm_id)
        named = {engine.engine_id for engine in engines}
        for engine_id, owned in list(self._engine_by_id.items()):
            if owned.owner == vm_id and engine_id not in named:
                self._engine_by_id[engine_id] = replace(owned, given_up=True)
        for engine in engines:
            self._take_engine(OwnedEngine(vm_id, engine, now))
        if not engines:
            self._owners.discard(vm_id)

    def _take_engine(self, owned: OwnedEngine) -> None:
        """Believe the owner with the highest fencing number, while it lives."""
        known = self._engine_by_id.get(owned.status.engine_id)
        if known is not None and known.owner != owned.owner and not known.given_up:
            newer = owned.status.fence >= known.status.fence
            if not newer and self.is_live(known.owner, owned.heard_at):
                return
        self._engine_by_id[owned.status.engine_id] = owned

    def nobody_reaches_store(self, now: float) -> bool:
        """Tell whether no live peer reaches the store either."""
        return not any(
            peer.status is not None
            and peer.status.store_reachable
            and self.is_live(peer.vm_id, now)
            for peer in self._peer_by_id.values()
        )

    def live_and_silent(self, now: float) -> tuple[set[str], set[str]]:
        """Return the known peers that live and those that are not heard."""
        live = {vm_id for vm_id in self._peer_by_id if self.is_live(vm_id, now)}
        return live, self._peer_by_id.keys() - live

    def owner_candidates(self, now: float) -> list[str]:
        """Return the live VMs that may own engines."""
        live = self.live_ids(now)
        if len(live) <= OWNER_CANDIDATES:
            return live
        return first_members("owners", live, OWNER_CANDIDATES)

    def live_ids(self, now: float) -> list[str]:
        """Return the VMs that live and serve, ourselves included."""
        return [
            self._own_id,
            *(
                peer.vm_id
                for peer in self._peer_by_id.values()
                if peer.status is not None
                and peer.status.serving
                and self.is_live(peer.vm_id, now)
            ),
        ]
