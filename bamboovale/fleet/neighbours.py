"""The neighbours of a VM: gossip partners, watched VMs and failure detection.

A silent neighbour is replaced by the next VM on the ring at once, so that each VM keeps
its number of observers while dozens of VMs fail. A VM that others reach, but not this
one, is left to the others for a while.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.fleet.membership import Membership
from bamboovale.fleet.rings import FULL_MESH_MAX_VMS

SMALL_INTERVAL_S = 0.3
"""Heartbeat interval where all VMs are neighbours."""
INTERVAL_S = 0.4
RECONNECT_AFTER = 2.5
"""Heartbeat intervals of silence after which the link to a neighbour is reopened, as a
connection may stay silent while new ones work. Long enough for TCP to retransmit a
packet twice; short enough for a heartbeat over the new link before a suspicion."""
SILENT_AFTER = 3.0
"""Heartbeat intervals of silence after which a neighbour is suspected."""
SLACK_S = 0.2
"""Added to these intervals, for slow links and busy event loops."""
MAX_LAG_S = 0.3
"""Lag of our own check beyond which silence is not counted: messages of the neighbours
may be unread in our sockets."""
SUSPICIONS_BEFORE_BLOCK = 2
"""Suspicions of a VM that stays silent to us, after which another neighbour is watched
for a while: one direction of the link to it is probably broken."""
BLOCK_S = 10.0
WIDTHS = (1, 2, 4)
"""Neighbours per side of a ring, where at most one, several and most of the recent ones
were silent: the live VMs must find one another after most of the fleet has failed."""
RECENT_S = 1.0
"""A VM that has sent us a message this recently stays a neighbour: its view of the
rings may differ from ours while VMs join and leave."""
MAX_UNCHOSEN = 16
NEVER = -math.inf


@dataclass
class Neighbour:
    """A VM that we exchange messages with; times are of our clock.

    ``sent_number`` is the number of the last change sent to it, ``sent_offset`` the
    offset of the endpoints' topic up to which it is informed. ``introduced`` tells
    whether our own record has been sent to it. ``start`` is that of its last
    introduction. Silence counts from ``awaited_from`` or
    the last message, whichever is later.
    """

    awaited_from: float
    sent_number: int
    last_seen_at: float = NEVER
    watches_us_until: float = NEVER
    sent_at: float = NEVER
    sent_offset: int = 0
    rows_sent_at: float = NEVER
    watched: bool = False
    link_aborted: bool = False
    introduced: bool = False
    config_version: int = -1
    differs_since: float | None = None
    start: int = 0

    def silent_since(self) -> float:
        """Return the time from which its silence counts."""
        return max(self.awaited_from, self.last_seen_at)


class Neighbours:
    """The neighbours of one VM; no sockets, no clock.

    ``new`` creates a neighbour to which nothing has been sent, ``abort_link`` closes
    the link to one that has been silent for some intervals.
    """

    def __init__(
        self,
        membership: Membership,
        new: Callable[[float], Neighbour],
        abort_link: Callable[[str], None],
        now: float,
    ) -> None:
        self.by_id: dict[str, Neighbour] = {}
        self._membership = membership
        self._new = new
        self._abort_link = abort_link
        self._blocked_until: dict[str, float] = {}
        self._suspicion_count_by_id: dict[str, int] = {}
        self._silent_at: deque[float] = deque()
        self._chosen_at_version = -1
        self._choose_again_at = 0.0
        self._checked_at = now

    def interval_s(self) -> float:
        """Return the heartbeat interval."""
        is_small = len(self._membership.rings) <= FULL_MESH_MAX_VMS
        return SMALL_INTERVAL_S if is_small else INTERVAL_S

    def silent_after_s(self) -> float:
        """Return the time without a message after which a neighbour is suspected."""
        return SILENT_AFTER * self.interval_s() + SLACK_S

    def get_or_add(self, vm_id: str, now: float) -> Neighbour:
        """Return a neighbour; an unknown VM becomes one for a while."""
        neighbour = self.by_id.get(vm_id)
        if neighbour is None:
            neighbour = self.by_id[vm_id] = self._new(now)
        return neighbour

    def on_message(self, vm_id: str, now: float) -> Neighbour:
        """Record that a message from a VM has arrived; return the VM."""
        neighbour = self.get_or_add(vm_id, now)
        neighbour.last_seen_at = now
        neighbour.link_aborted = False
        self._suspicion_count_by_id.pop(vm_id, None)
        self._blocked_until.pop(vm_id, None)
        self._membership.clear_silence(vm_id)
        return neighbour

    def reachable_and_silent(self, now: float) -> tuple[set[str], set[str]]:
        """Return the VMs with recent messages, and those that are known and silent."""
        last = now - self.silent_after_s()
        reachable = {v for v, n in self.by_id.items() if n.last_seen_at >= last}
        return reachable, set(self._membership.not_live()) - reachable

    def next_check_at(self, now: float) -> float:
        """Return when the silence of a watched neighbour next calls for an action."""
        reconnect_after_s = RECONNECT_AFTER * self.interval_s()
        silent_after_s = self.silent_after_s()
        check_times = [
            neighbour.silent_since()
            + (silent_after_s if neighbour.link_aborted else reconnect_after_s)
            for neighbour in self.by_id.values()
            if neighbour.watched
        ]
        return min([*check_times, now + self.interval_s()])

    def check(self, now: float) -> None:
        """Suspect silent neighbours and update the choice of neighbours."""
        self._check_watched(now)
        self._choose(now)

    def _choose(self, now: float) -> None:
        """Choose the neighbours again if the fleet has changed."""
        version = self._membership.version + len(self._membership.rings)
        if version == self._chosen_at_version and now < self._choose_again_at:
            return
        self._chosen_at_version = version
        self._choose_again_at = now + self.interval_s()
        self._membership.forget(now)
        own_id = self._membership.own.vm_id
        is_excluded = self._exclusion(now)
        width = self._width(now)
        rings = self._membership.rings
        watched = rings.watched_by(own_id, is_excluded, width)
        # In order, so that a simulated fleet does the same in every process.
        for vm_id in sorted(watched):
            neighbour = self.get_or_add(vm_id, now)
            if not neighbour.watched:
                neighbour.watched = True
                neighbour.awaited_from = now
                neighbour.introduced = False
        for vm_id, neighbour in list(self.by_id.items()):
            neighbour.watched = vm_id in watched
        self._defer_to_others(watched, is_excluded)
        chosen = rings.neighbours(own_id, is_excluded, width)
        for vm_id in sorted(chosen - watched):
            self.get_or_add(vm_id, now)
        self._drop_unchosen(chosen, now)

    def _defer_to_others(
        self,
        watched: set[str],
        is_excluded: Callable[[str], bool],
    ) -> None:
        """Accept the others' view of VMs that were silent to us and not watched now."""
        for vm_id in self._membership.silent_to_us():
            if vm_id not in watched and not is_excluded(vm_id):
                self._membership.clear_silence(vm_id)

    def _width(self, now: float) -> int:
        """Return the number of neighbours per side of each ring."""
        first = now - 2 * self.silent_after_s()
        while self._silent_at and self._silent_at[0] < first:
            self._silent_at.popleft()
        silent = len(self._silent_at)
        reachable = sum(n.last_seen_at >= first for n in self.by_id.values())
        return WIDTHS[(silent > 1) + (silent > reachable)]

    def _drop_unchosen(self, chosen: set[str], now: float) -> None:
        """Remove VMs that are not chosen and have not been active recently."""
        unchosen = [
            (neighbour.silent_since(), vm_id)
            for vm_id, neighbour in self.by_id.items()
            if vm_id not in chosen
        ]
        unchosen.sort(reverse=True)
        last = now - max(RECENT_S, 2 * self.interval_s())
        watching = {
            vm_id
            for vm_id, neighbour in self.by_id.items()
            if now < neighbour.watches_us_until
        }
        for number, (silent_since, vm_id) in enumerate(unchosen):
            is_quiet = silent_since < last and vm_id not in watching
            if is_quiet or number >= MAX_UNCHOSEN:
                del self.by_id[vm_id]

    def _exclusion(self, now: float) -> Callable[[str], bool]:
        """Return a predicate for VMs that are not to be chosen.

        One that we suspect may be chosen again once it is heard: guards against two VMs
        that suspect each other and are live, but no neighbours, when the refutations
        are lost.
        """
        for vm_id, until in list(self._blocked_until.items()):
            if until <= now:
                del self._blocked_until[vm_id]
        return lambda vm_id: (
            vm_id in self._blocked_until
            or (
                self._membership.is_suspected_by_us(vm_id)
                and not self._membership.is_live(vm_id)
            )
        )

    def _check_watched(self, now: float) -> None:
        """Reopen links to late neighbours and suspect silent ones."""
        lag_s = now - self._checked_at - self.interval_s()
        self._checked_at = now
        if lag_s > MAX_LAG_S:
            for neighbour in self.by_id.values():
                neighbour.awaited_from = now - self.interval_s()
        last = now - self.silent_after_s()
        late = now - RECONNECT_AFTER * self.interval_s()
        for vm_id, neighbour in list(self.by_id.items()):
            if not neighbour.watched:
                continue
            if neighbour.silent_since() <= last:
                self._on_silent(vm_id, neighbour, now)
            elif neighbour.silent_since() <= late and not neighbour.link_aborted:
                neighbour.link_aborted = True
                neighbour.introduced = False
                self._abort_link(vm_id)

    def _on_silent(self, vm_id: str, neighbour: Neighbour, now: float) -> None:
        neighbour.watched = False
        self._choose_again_at = now
        self._silent_at.append(now)
        if self._membership.drop_contact(vm_id):
            return
        suspicions = self._suspicion_count_by_id.pop(vm_id, 0)
        if suspicions >= SUSPICIONS_BEFORE_BLOCK:
            self._blocked_until[vm_id] = now + BLOCK_S
            return
        self._suspicion_count_by_id[vm_id] = suspicions + 1
        self._membership.suspect(vm_id, now)
