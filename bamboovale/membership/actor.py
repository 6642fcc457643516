"""Who is there: the VM list, what peers say of themselves, and who fell silent.

Every hint interval this VM tells its peers how it is and what its engines look like. At
today's 6 to 9 entry VMs that is all of them. In a larger fleet a few peers get a turn,
because all to all does not fit a node's budget for control; there the VM list says who
is live, and only what was heard and fell silent counts as unreachable.
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
"""Peers told each interval; more than today's fleet, so that all hear all."""

LARGE_FLEET_FANOUT = 4
"""Peers told each interval where not all can be: at some 430 bytes a notice, half a
second apart, 3.4 KB a second each way of the 11 that a node may use."""

SILENT_ROUNDS = 5
"""Intervals without a word after which a peer counts as unreachable."""

READ_LIST_EVERY_S = 1.0

JUDGEMENT_HOLDS_S = 1.5
"""Five ticks of this task; a pause that is longer ends what it judged before."""

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class VMListRead:
    """The VM list, None if it could not be read."""

    vms: tuple[VM, ...] | None


@dataclass(frozen=True)
class StatusReceived:
    """What a peer tells of itself."""

    from_vm: str
    notice: StatusNotice


@dataclass(frozen=True)
class HintUpdated:
    """A hint about an engine held here."""

    hint: EngineHint


@dataclass(frozen=True)
class HolderStopped:
    """An engine is not held here any more."""

    engine_id: str


@dataclass(frozen=True)
class DrainStarted:
    """A planned stop of this VM began."""


@dataclass(frozen=True)
class DumpMembership:
    """Ask for the state as JSON."""


@dataclass(frozen=True)
class PeerStatus:
    """The last word of a peer."""

    notice: StatusNotice
    last_seen_at: float


@dataclass(frozen=True)
class MembershipCallbacks:
    """What the keeper tells the rest of the VM, from its own thread."""

    send: Callable[[str, StatusNotice], None]
    on_change: Callable[[], None]
    on_peer_unreachable: Callable[[str], None]
    on_peer_ahead: Callable[[str, int], None]
    on_hint: Callable[[EngineHint], None]
    on_interval: Callable[[], None]


class VMListReader:
    """A thread that reads the VM list every second."""

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
            self._stopped.wait(READ_LIST_EVERY_S)


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
        self._told_last = 0
        self._seen_log_at = environment.now()
        self.handle(VMListRead, self._on_list)
        self.handle(StatusReceived, self._on_status)
        self.handle(HintUpdated, self._on_hint)
        self.handle(HolderStopped, self._on_holder_stopped)
        self.handle(DrainStarted, self._on_drain)
        self.handle(Tick, self._on_tick)
        self.handle(DumpMembership, self._on_dump)

    # What is learned.

    def _on_list(self, message: VMListRead) -> None:
        if message.vms is None:
            return  # the last list stands
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
            self._take_hint(hint, message.from_vm, now)
        if notice.catalogue_next_offset > self._catalogue_next_offset():
            self._callbacks.on_peer_ahead(message.from_vm, notice.catalogue_next_offset)
        flags = (notice.draining, notice.serving)
        if before is None or flags != (before.notice.draining, before.notice.serving):
            self._judge_peers(now)

    def _on_hint(self, message: HintUpdated) -> None:
        hint = message.hint
        self._own_hint_by_engine[hint.engine_id] = hint
        self._take_hint(hint, self._own_id, self._environment.now())

    def _take_hint(self, hint: EngineHint, from_vm: str, now: float) -> None:
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
        self._judge_peers(self._environment.now())

    # What time brings.

    def _on_tick(self, _: Tick) -> None:
        now = self._environment.now()
        self._judge_peers(now)
        self._judge_readiness(now)
        if now >= self._next_status_at:
            self._next_status_at = now + self._interval_s
            self._tell_peers()
            self._callbacks.on_interval()

    def _judge_peers(self, now: float) -> None:
        silent_after_s = SILENT_ROUNDS * self._interval_s * self._rounds_to_hear_all()
        heard = {
            vm_id
            for vm_id, peer in self._status_by_vm.items()
            if now - peer.last_seen_at <= silent_after_s
        }
        listed = {vm.id for vm in self._views.membership.listed_entry_vms()}
        silent = listed - heard - {self._own_id}
        if self._is_large_fleet():
            # Most were never heard: a word from each takes a minute and more.
            silent &= self._status_by_vm.keys()
        unreachable = frozenset(silent)
        draining = {vm for vm in heard if self._status_by_vm[vm].notice.draining}
        if self._draining:
            draining.add(self._own_id)
        starting = {vm for vm in heard if not self._status_by_vm[vm].notice.serving}
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
            logger.info("entry VM %s fell silent", vm_id)
            self._callbacks.on_peer_unreachable(vm_id)
        for vm_id in before.unreachable_ids - unreachable:
            logger.info("entry VM %s is heard", vm_id)
        self._callbacks.on_change()

    def _peers(self) -> int:
        return max(1, len(self._views.membership.listed_entry_vms()) - 1)

    def _is_large_fleet(self) -> bool:
        return self._peers() > FANOUT

    def _fanout(self) -> int:
        return LARGE_FLEET_FANOUT if self._is_large_fleet() else FANOUT

    def _rounds_to_hear_all(self) -> int:
        return -(-self._peers() // self._fanout())

    def _judge_readiness(self, now: float) -> None:
        reachable = self._health.reachable
        if reachable:
            self._seen_log_at = now
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
            log_silent_s=now - self._seen_log_at,
            catalogue_next_offset=self._catalogue_next_offset(),
            other_entry_vms=len(membership.listed_entry_vms())
            - (self._own_id in membership.vm_by_id),
            peers=tuple(reports),
        )
        until = now + JUDGEMENT_HOLDS_S
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

    def _tell_peers(self) -> None:
        listed = sorted(vm.id for vm in self._views.membership.listed_entry_vms())
        peers = [vm_id for vm_id in listed if vm_id != self._own_id]
        if not peers:
            return
        start = self._told_last % len(peers)
        turn = (peers[start:] + peers[:start])[: self._fanout()]
        self._told_last = start + len(turn)
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
        for vm_id in turn:
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


def vm_list_callback(keeper: Any) -> Callable[[tuple[VM, ...] | None], None]:
    """Return the callback that hands the list to the keeper."""
    return lambda vms: tell(keeper, VMListRead(vms))
