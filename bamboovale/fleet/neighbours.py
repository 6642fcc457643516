"""Whom a VM exchanges messages with, whom it watches, and what silence means.

Load pattern: VMs come, die and are cut off all the time, dozens at once. Whoever falls
silent is replaced by the next VM on the ring at once, so that each VM is watched by as
many as before; a VM that only we do not hear is left to others for a while.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.fleet.membership import Membership
from bamboovale.fleet.rings import ALL_LINKED_UP_TO

SMALL_INTERVAL_S = 0.3
"""Between two signs of life where all VMs are neighbours."""
INTERVAL_S = 0.4
CUT_AFTER = 2.5
"""Intervals without a sign of life after which the link to a neighbour is opened anew:
connections may go silent for good while new ones work. A packet that is lost twice
passes sooner, and cutting the link loses what it held; later, the sign of life over the
new link would come after our word."""
MISSED = 3.0
"""Intervals without a sign of life after which a neighbour counts as silent."""
SLACK_S = 0.2
"""Added to these: a message that crosses a slow link or waits for a busy loop."""
MAX_LAG_S = 0.3
"""Lateness of our own looks that is not held against the neighbours: their messages
may lie unread in our sockets."""
WORDS_BEFORE_BLOCK = 2
"""Words in a row that a VM contradicts without being heard: one direction of the link
to it is broken, and another neighbour is watched for a while."""
BLOCK_S = 10.0
WIDTHS = (1, 2, 4)
"""Neighbours tried at once on each side, where none, some and most of the last ones
were silent: most of a fleet may have died, and those left must find one another."""
STRANGER_S = 1.0
"""Whoever told us something so lately gets our news too: its view of the rings may
differ from ours while VMs come and go."""
MOST_STRANGERS = 16
NEVER = -math.inf


@dataclass
class Neighbour:
    """One VM that we exchange messages with; times are of our clock.

    ``told`` is the number of the last change that it was told, ``told_offset`` how far
    it was told of the endpoints' topic. Silence counts from ``awaited_from`` or the
    last message, whichever is later.
    """

    awaited_from: float
    told: int
    last_seen_at: float = NEVER
    watches_us_until: float = NEVER
    sent_at: float = NEVER
    told_offset: int = 0
    rows_sent_at: float = NEVER
    watched: bool = False
    cut: bool = False
    greeted: bool = False
    config_version: int = -1
    differs_since: float | None = None

    def quiet_since(self) -> float:
        """Return since when its silence counts."""
        return max(self.awaited_from, self.last_seen_at)


class Neighbours:
    """Aggregate of all VMs that one exchanges messages with; no sockets, no clock.

    ``new`` makes a neighbour that was told nothing yet, ``cut_link`` ends the link to
    one that has not been heard for some intervals.
    """

    def __init__(
        self,
        membership: Membership,
        new: Callable[[float], Neighbour],
        cut_link: Callable[[str], None],
        now: float,
    ) -> None:
        self.by_id: dict[str, Neighbour] = {}
        self._membership = membership
        self._new = new
        self._cut_link = cut_link
        self._blocked_until: dict[str, float] = {}
        self._words_by_id: dict[str, int] = {}
        self._silent_at: deque[float] = deque()
        self._chosen_at_version = -1
        self._choose_again_at = 0.0
        self._looked_at = now

    def interval_s(self) -> float:
        """Return the time between two signs of life."""
        is_small = len(self._membership.rings) <= ALL_LINKED_UP_TO
        return SMALL_INTERVAL_S if is_small else INTERVAL_S

    def silent_after_s(self) -> float:
        """Return for how long a live neighbour may be unheard."""
        return MISSED * self.interval_s() + SLACK_S

    def get(self, vm_id: str, now: float) -> Neighbour:
        """Return a neighbour; one that is not known becomes one for a while."""
        neighbour = self.by_id.get(vm_id)
        if neighbour is None:
            neighbour = self.by_id[vm_id] = self._new(now)
        return neighbour

    def on_message(self, vm_id: str, now: float) -> Neighbour:
        """Note that a VM has just sent us something; return it."""
        neighbour = self.get(vm_id, now)
        neighbour.last_seen_at = now
        neighbour.cut = False
        self._words_by_id.pop(vm_id, None)
        self._blocked_until.pop(vm_id, None)
        self._membership.clear_suspicion(vm_id)
        return neighbour

    def reachable_and_silent(self, now: float) -> tuple[set[str], set[str]]:
        """Return the VMs heard of late, and those that we do not hear."""
        last = now - self.silent_after_s()
        heard = {v for v, n in self.by_id.items() if n.last_seen_at >= last}
        return heard, set(self._membership.not_live()) - heard

    def next_look_at(self, now: float) -> float:
        """Return when the next of those we watch will have been silent for too long."""
        cut_after_s = CUT_AFTER * self.interval_s()
        silent_after_s = self.silent_after_s()
        looks = [
            neighbour.quiet_since() + (silent_after_s if neighbour.cut else cut_after_s)
            for neighbour in self.by_id.values()
            if neighbour.watched
        ]
        return min([*looks, now + self.interval_s()])

    def look(self, now: float) -> None:
        """Give our word against the silent, and choose anew where that is due."""
        self._watch(now)
        self._choose(now)

    def _choose(self, now: float) -> None:
        """Choose our neighbours anew where the fleet has changed."""
        version = self._membership.version + len(self._membership.rings)
        if version == self._chosen_at_version and now < self._choose_again_at:
            return
        self._chosen_at_version = version
        self._choose_again_at = now + self.interval_s()
        self._membership.forget(now)
        own_id = self._membership.own.vm_id
        passed_over = self._is_passed_over(now)
        width = self._width(now)
        rings = self._membership.rings
        watched = rings.watched_by(own_id, passed_over, width)
        for vm_id in watched:
            neighbour = self.get(vm_id, now)
            if not neighbour.watched:
                neighbour.watched = True
                neighbour.awaited_from = now
                neighbour.greeted = False
        for vm_id, neighbour in list(self.by_id.items()):
            neighbour.watched = vm_id in watched
        self._believe_others(watched, passed_over)
        chosen = rings.neighbours(own_id, passed_over, width)
        for vm_id in chosen - watched:
            self.get(vm_id, now)
        self._drop_strangers(chosen, now)

    def _believe_others(
        self,
        watched: set[str],
        passed_over: Callable[[str], bool],
    ) -> None:
        """Go by the others' word on VMs that we did not hear and no longer watch."""
        for vm_id in self._membership.unheard_by_us():
            if vm_id not in watched and not passed_over(vm_id):
                self._membership.clear_suspicion(vm_id)

    def _width(self, now: float) -> int:
        """Return how many neighbours to try on each side of each ring."""
        first = now - 2 * self.silent_after_s()
        while self._silent_at and self._silent_at[0] < first:
            self._silent_at.popleft()
        silent = len(self._silent_at)
        heard = sum(n.last_seen_at >= first for n in self.by_id.values())
        return WIDTHS[(silent > 1) + (silent > heard)]

    def _drop_strangers(self, chosen: set[str], now: float) -> None:
        """End the exchange with VMs that no longer take part in it."""
        strangers = [
            (neighbour.quiet_since(), vm_id)
            for vm_id, neighbour in self.by_id.items()
            if vm_id not in chosen
        ]
        strangers.sort(reverse=True)
        last = now - max(STRANGER_S, 2 * self.interval_s())
        watching = {
            vm_id
            for vm_id, neighbour in self.by_id.items()
            if now < neighbour.watches_us_until
        }
        for number, (quiet_since, vm_id) in enumerate(strangers):
            is_quiet = quiet_since < last and vm_id not in watching
            if is_quiet or number >= MOST_STRANGERS:
                del self.by_id[vm_id]

    def _is_passed_over(self, now: float) -> Callable[[str], bool]:
        for vm_id, until in list(self._blocked_until.items()):
            if until <= now:
                del self._blocked_until[vm_id]
        return lambda vm_id: (
            vm_id in self._blocked_until or self._membership.is_unheard_by_us(vm_id)
        )

    def _watch(self, now: float) -> None:
        """Give our word against watched neighbours that have fallen silent."""
        lag_s = now - self._looked_at - self.interval_s()
        self._looked_at = now
        if lag_s > MAX_LAG_S:
            for neighbour in self.by_id.values():
                neighbour.awaited_from = now - self.interval_s()
        last = now - self.silent_after_s()
        late = now - CUT_AFTER * self.interval_s()
        for vm_id, neighbour in list(self.by_id.items()):
            if not neighbour.watched:
                continue
            if neighbour.quiet_since() <= last:
                self._on_silent(vm_id, neighbour, now)
            elif neighbour.quiet_since() <= late and not neighbour.cut:
                neighbour.cut = True
                neighbour.greeted = False
                self._cut_link(vm_id)

    def _on_silent(self, vm_id: str, neighbour: Neighbour, now: float) -> None:
        neighbour.watched = False
        self._choose_again_at = now
        self._silent_at.append(now)
        if self._membership.drop_contact(vm_id):
            return
        words = self._words_by_id.pop(vm_id, 0)
        if words >= WORDS_BEFORE_BLOCK:
            self._blocked_until[vm_id] = now + BLOCK_S
            return
        self._words_by_id[vm_id] = words + 1
        self._membership.suspect(vm_id, now)
