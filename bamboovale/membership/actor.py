"""The actor that maintains the membership view and exchanges status with peers.

Every hint interval this VM sends its status and the hints of its engines to its peers.
In a small fleet every peer receives each status, and a peer that sends none is
unreachable. In a large fleet only a few peers get it in each interval, round robin;
there a listed VM is unreachable only if it was seen before and then sent no status.
"""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Ok

from bamboovale.actors import MessageActor, Tick, tell
from bamboovale.decisions.work import EngineHint
from bamboovale.entry.readiness import (
    PeerReport,
    ReadinessInputs,
    log_is_down,
    may_serve,
)
from bamboovale.environment import Environment
from bamboovale.log_service.follower import LogHealth
from bamboovale.membership.vm_list import VMListClient
from bamboovale.models import VM
from bamboovale.peers.messages import StatusNotice
from bamboovale.views import ReceivedHint, Views

FANOUT = 12
"""Peers that get a status in each interval; with more peers the fleet is large."""

LARGE_FLEET_FANOUT = 4
"""Peers that get a status in each interval in a large fleet, to bound the traffic."""

MAX_MISSED_ROUNDS = 5
"""Rounds without a status after which a peer is unreachable."""

VM_LIST_POLL_INTERVAL_S = 1.0

READINESS_VALID_S = 1.5
"""Validity of an evaluation of readiness: it expires if this actor is paused."""

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class VMListRead:
    """The VM list, None if it could not be read."""

    vms: tuple[VM, ...] | None


@dataclass(frozen=True)
class StatusReceived:
    """A status that a peer sent."""

    from_vm: str
    notice: StatusNotice


@dataclass(frozen=True)
class HintUpdated:
    """A new hint about an engine that this VM holds."""

    hint: EngineHint


@dataclass(frozen=True)
class HolderStopped:
    """This VM no longer holds an engine."""

    engine_id: str


@dataclass(frozen=True)
class DrainStarted:
    """A planned stop of this VM has started."""


@dataclass(frozen=True)
class DumpMembership:
    """Request the state dump of the actor as JSON."""


@dataclass(frozen=True)
class PeerStatus:
    """The last status of a peer and when it was received (monotonic seconds)."""

    notice: StatusNotice
    last_seen_at: float


@dataclass(frozen=True)
class MembershipCallbacks:
    """Callbacks of the membership actor, called on its thread."""

    send: Callable[[str, StatusNotice], None]
    on_change: Callable[[], None]
    on_peer_unreachable: Callable[[str], None]
    on_peer_ahead: Callable[[str, int], None]
    on_hint: Callable[[EngineHint], None]
    on_interval: Callable[[], None]


class VMListReader:
    """A thread that polls the VM list."""

    def __init__(
        self,
        client: VMListClient,
        on_read: Callable[[tuple[VM, ...] | None], None],
    ) -> None:
        self._client = client
        self._on_read = on_read
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="vm-list", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after its current call."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            answer = self._client.read()
            self._on_read(answer.ok_value if isinstance(answer, Ok) else None)
            self._stopped.wait(VM_LIST_POLL_INTERVAL_S)


class MembershipActor(MessageActor):
    """Owns the view of the VMs and the exchange of status with peers."""

    def __init__(
        self,
        environment: Environment,
        views: Views,
        health: LogHealth,
        callbacks: MembershipCallbacks,
    ) -> None:
        super().__init__(environment.metrics.internal_faults.inc)
        self._environment = environment
        self._views = views
        self._health = health
        self._callbacks = callbacks
        self._own_id = environment.settings.id
        self._interval_s = environment.settings.hint_interval_s
        self._list_read = False
        self._draining = False
        self._serving = False
        self._status_by_vm: dict[str, PeerStatus] = {}
        self._own_hint_by_engine: dict[str, EngineHint] = {}
        self._next_status_at = 0.0
        self._next_peer = 0
        self._log_reachable_at = environment.now()
        self.handle(VMListRead, self._on_list)
        self.handle(StatusReceived, self._on_status)
        self.handle(HintUpdated, self._on_hint)
        self.handle(HolderStopped, self._on_holder_stopped)
        self.handle(DrainStarted, self._on_drain)
        self.handle(Tick, self._on_tick)
        self.handle(DumpMembership, self._on_dump)

    # Messages.

    def _on_list(self, message: VMListRead) -> None:
        if message.vms is None:
            return  # keep the last list
        self._list_read = True
        before = self._views.membership
        after = before.with_changes(vms=message.vms)
        if after.vm_by_id == before.vm_by_id:
            return
        logger.info("VM list: %s", _difference(before.vm_by_id, after.vm_by_id))
        self._views.membership = after
        self._callbacks.on_change()

    def _on_status(self, message: StatusReceived) -> None:
        notice = message.notice
        now = self._environment.now()
        before = self._status_by_vm.get(message.from_vm)
        self._status_by_vm[message.from_vm] = PeerStatus(notice, now)
        incarnations = dict(self._views.incarnation_by_vm)
        incarnations[message.from_vm] = notice.incarnation
        self._views.incarnation_by_vm = incarnations
        for hint in notice.hints:
            self._apply_hint(hint, message.from_vm, now)
        if notice.catalogue_next_offset > self._catalogue_next_offset():
            self._callbacks.on_peer_ahead(message.from_vm, notice.catalogue_next_offset)
        flags = (notice.draining, notice.serving)
        if before is None or flags != (before.notice.draining, before.notice.serving):
            self._evaluate_peers(now)

    def _on_hint(self, message: HintUpdated) -> None:
        hint = message.hint
        self._own_hint_by_engine[hint.engine_id] = hint
        self._apply_hint(hint, self._own_id, self._environment.now())

    def _apply_hint(self, hint: EngineHint, from_vm: str, now: float) -> None:
        known = self._views.hint_by_engine.get(hint.engine_id)
        if known is not None and known.hint.fencing > hint.fencing:
            return
        hints = dict(self._views.hint_by_engine)
        hints[hint.engine_id] = ReceivedHint(hint, from_vm, now)
        self._views.hint_by_engine = hints
        self._callbacks.on_hint(hint)

    def _on_holder_stopped(self, message: HolderStopped) -> None:
        self._own_hint_by_engine.pop(message.engine_id, None)

    def _on_drain(self, _: DrainStarted) -> None:
        self._draining = True
        self._next_status_at = 0.0
        self._evaluate_peers(self._environment.now())

    # Periodic work.

    def _on_tick(self, _: Tick) -> None:
        now = self._environment.now()
        self._evaluate_peers(now)
        self._evaluate_readiness(now)
        if now >= self._next_status_at:
            self._next_status_at = now + self._interval_s
            self._send_status()
            self._callbacks.on_interval()

    def _evaluate_peers(self, now: float) -> None:
        max_age_s = MAX_MISSED_ROUNDS * self._interval_s * self._intervals_per_round()
        reachable = {
            vm_id
            for vm_id, peer in self._status_by_vm.items()
            if now - peer.last_seen_at <= max_age_s
        }
        listed = {vm.id for vm in self._views.membership.listed_entry_vms()}
        missing = listed - reachable - {self._own_id}
        if self._is_large_fleet():
            # A starting VM has not yet received a status of most peers.
            missing &= self._status_by_vm.keys()
        unreachable = frozenset(missing)
        draining = {vm for vm in reachable if self._status_by_vm[vm].notice.draining}
        if self._draining:
            draining.add(self._own_id)
        starting = {vm for vm in reachable if not self._status_by_vm[vm].notice.serving}
        before = self._views.membership
        after = before.with_changes(
            unreachable_ids=unreachable,
            draining_ids=frozenset(draining),
            starting_ids=frozenset(starting),
        )
        if after.states() == before.states():
            return
        self._views.membership = after
        for vm_id in unreachable - before.unreachable_ids:
            logger.info("entry VM %s is unreachable", vm_id)
            self._callbacks.on_peer_unreachable(vm_id)
        for vm_id in before.unreachable_ids - unreachable:
            logger.info("entry VM %s is reachable", vm_id)
        self._callbacks.on_change()

    def _peer_count(self) -> int:
        return max(1, len(self._views.membership.listed_entry_vms()) - 1)

    def _is_large_fleet(self) -> bool:
        return self._peer_count() > FANOUT

    def _fanout(self) -> int:
        return LARGE_FLEET_FANOUT if self._is_large_fleet() else FANOUT

    def _intervals_per_round(self) -> int:
        return -(-self._peer_count() // self._fanout())

    def _evaluate_readiness(self, now: float) -> None:
        reachable = self._health.reachable
        if reachable:
            self._log_reachable_at = now
        membership = self._views.membership
        reports = [
            PeerReport(
                log_reachable=self._status_by_vm[vm.id].notice.log_reachable,
                catalogue_next_offset=(
                    self._status_by_vm[vm.id].notice.catalogue_next_offset
                ),
            )
            for vm in membership.listed_entry_vms()
            if vm.id in self._status_by_vm and vm.id not in membership.unreachable_ids
        ]
        inputs = ReadinessInputs(
            catalogue_complete=self._views.catalogue is not None,
            vm_list_read=self._list_read,
            log_silent_s=now - self._log_reachable_at,
            catalogue_next_offset=self._catalogue_next_offset(),
            other_entry_vms=len(membership.listed_entry_vms())
            - (self._own_id in membership.vm_by_id),
            peers=tuple(reports),
        )
        until = now + READINESS_VALID_S
        down = not reachable and log_is_down(inputs)
        self._views.log_down_until = until if down else now
        serving = may_serve(inputs)
        self._views.serving_until = until if serving else now
        if serving != self._serving:
            logger.info("serving: %s", serving)
            self._serving = serving
            self._next_status_at = 0.0

    def _catalogue_next_offset(self) -> int:
        catalogue = self._views.catalogue
        return 0 if catalogue is None else catalogue.next_offset

    def _send_status(self) -> None:
        listed = sorted(vm.id for vm in self._views.membership.listed_entry_vms())
        peers = [vm_id for vm_id in listed if vm_id != self._own_id]
        if not peers:
            return
        start = self._next_peer % len(peers)
        recipients = (peers[start:] + peers[:start])[: self._fanout()]
        self._next_peer = start + len(recipients)
        catalogue = self._views.catalogue
        notice = StatusNotice(
            incarnation=self._environment.incarnation,
            draining=self._draining,
            serving=self._serving,
            log_reachable=self._health.reachable,
            catalogue_revision=0 if catalogue is None else catalogue.revision,
            catalogue_next_offset=self._catalogue_next_offset(),
            hints=tuple(self._own_hint_by_engine.values()),
        )
        for vm_id in recipients:
            self._callbacks.send(vm_id, notice)

    def _on_dump(self, _: DumpMembership) -> dict[str, Any]:
        now = self._environment.now()
        membership = self._views.membership
        return {
            "listed": sorted(membership.vm_by_id),
            "usable_entry_vms": sorted(vm.id for vm in membership.usable_entry_vms()),
            "draining": sorted(membership.draining_ids),
            "unreachable": sorted(membership.unreachable_ids),
            "heard_s_ago": {
                vm_id: round(now - peer.last_seen_at, 2)
                for vm_id, peer in sorted(self._status_by_vm.items())
            },
            "log_reachable": self._health.reachable,
            "serving": self._views.serving,
        }


def _difference(before: dict[str, VM], after: dict[str, VM]) -> str:
    parts = [
        ("new", sorted(after.keys() - before.keys())),
        ("gone", sorted(before.keys() - after.keys())),
        ("leaving", sorted(id for id, vm in after.items() if vm.state == "leaving")),
    ]
    return ", ".join(f"{name} {ids}" for name, ids in parts if ids) or "changed"


def vm_list_callback(actor: Any) -> Callable[[tuple[VM, ...] | None], None]:
    """Return a callback that sends the VM list to the membership actor."""
    return lambda vms: tell(actor, VMListRead(vms))
