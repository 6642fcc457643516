"""A fleet of entry VMs in virtual time: their exchanges, with links that fail."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from bamboovale.fleet.changes import ChangeLog
from bamboovale.fleet.gossip import GossipProtocol
from bamboovale.fleet.membership import Change, Membership
from bamboovale.fleet.messages import Gossip, Member, TopicRow
from bamboovale.fleet.topic_changes import TopicChanges

DELAY_S = 0.003
"""One way between two VMs, with what a busy loop adds."""
START_SPREAD_S = 0.3
"""All VMs of a deployment start within this time."""


class PlayedTopic:
    """Takes rows as the follower of a topic does, and keeps the newest values."""

    def __init__(self) -> None:
        self.changes = TopicChanges()
        self.value_by_key: dict[str, bytes | None] = {}

    def apply_rows(
        self, first_offset: int, next_offset: int, rows: Iterable[TopicRow]
    ) -> None:
        """Take rows if nothing before them is missing."""
        known = self.changes.next_offset
        if known is None or first_offset > known:
            return
        new = [row for row in rows if row[2] >= known]
        for key, value, _ in new:
            self.value_by_key[key] = value
        self.changes.advance(next_offset, new)


@dataclass
class PlayedVM:
    """One VM; ``frozen_until`` is when it runs again."""

    vm_id: str
    membership: Membership
    exchange: GossipProtocol
    topic: PlayedTopic
    frozen_until: float = 0.0
    dead: bool = False
    sent: int = 0
    inbox: list[tuple[str, Gossip]] = field(default_factory=list)


class PlayedFleet:
    """VMs, their links and a queue of events in virtual time.

    ``passes`` tells whether a message from one VM gets to another.
    """

    def __init__(self, seed: int = 1) -> None:
        self.now = 0.0
        self.vm_by_id: dict[str, PlayedVM] = {}
        self.passes: Callable[[str, str], bool] = lambda sender, receiver: True
        self.rng = random.Random(seed)
        self.sent_by_id: Counter[str] = Counter()
        self.largest = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()

    # Life.

    def start(
        self,
        vm_id: str,
        contacts: Iterable[str],
        start: int = 1,
        within_s: float = 0.0,
    ) -> PlayedVM:
        """Start a VM that has read these ids in the store, at some moment from now."""
        own = Member(vm_id, start, 1, vm_id, 1, 2, "a", serving=True)
        changes: ChangeLog[Change] = ChangeLog()
        membership = Membership(own, changes)
        topic = PlayedTopic()
        topic.changes.reset(0)
        rng = random.Random(self.rng.random())
        exchange = GossipProtocol(membership, changes, topic, rng, self.now)
        vm = PlayedVM(vm_id, membership, exchange, topic)
        self.vm_by_id[vm_id] = vm
        for contact in contacts:
            membership.on_contact(contact, (contact, 1), self.now)
        began = self.now + self.rng.uniform(0.0, within_s)
        self.at(began, lambda: self._turn(vm))
        return vm

    def start_all(self, count: int) -> list[PlayedVM]:
        """Start VMs that all know one another's addresses."""
        names = [f"vm{number}" for number in range(count)]
        return [self.start(name, names, within_s=START_SPREAD_S) for name in names]

    def kill(self, vm_id: str) -> None:
        """End a VM without a word."""
        self.vm_by_id.pop(vm_id).dead = True

    # Time.

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Do something at a moment."""
        heapq.heappush(self._events, (when, next(self._number), what))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, what = heapq.heappop(self._events)
            what()
        self.now = end

    def run_until(self, condition: Callable[[], Any], most_s: float) -> float:
        """Let time pass until a condition holds; return how long that took."""
        began = self.now
        while not condition():
            assert self.now - began < most_s, f"not within {most_s} s"
            self.run(0.05)
        return self.now - began

    def _turn(self, vm: PlayedVM) -> None:
        if vm.dead:
            return
        if self.now < vm.frozen_until:
            self.at(vm.frozen_until, lambda: self._turn(vm))
            return
        inbox, vm.inbox = vm.inbox, []
        for sender, gossip in inbox:
            vm.exchange.on_gossip(sender, gossip, self.now)
        for targets, gossip in vm.exchange.due(self.now):
            for target in targets:
                self._send(vm, target, gossip)
        when = max(vm.exchange.next_at(self.now), self.now + 0.01)
        self.at(when, lambda: self._turn(vm))

    def _send(self, vm: PlayedVM, target: str, gossip: Gossip) -> None:
        self.sent_by_id[vm.vm_id] += 1
        items = len(gossip.members) + len(gossip.unheard) + len(gossip.rows)
        self.largest = max(self.largest, items)
        if self.passes(vm.vm_id, target):
            delay_s = DELAY_S * self.rng.uniform(0.5, 2.0)
            self.at(self.now + delay_s, lambda: self._arrive(vm.vm_id, target, gossip))

    def _arrive(self, sender: str, target: str, gossip: Gossip) -> None:
        receiver = self.vm_by_id.get(target)
        if receiver is None or receiver.dead:
            return
        if self.now < receiver.frozen_until:
            receiver.inbox.append((sender, gossip))
            return
        receiver.exchange.on_gossip(sender, gossip, self.now)
        self.at(self.now, lambda: self.send_due(receiver))

    def send_due(self, vm: PlayedVM) -> None:
        """Send what is due now, without waiting for the VM's next turn."""
        if vm.dead or self.now < vm.frozen_until:
            return
        if vm.exchange.next_at(self.now) > self.now:
            return
        for targets, gossip in vm.exchange.due(self.now):
            for target in targets:
                self._send(vm, target, gossip)

    # What the VMs believe.

    def agree(self, live: Iterable[str]) -> bool:
        """Tell whether every VM believes that just these live."""
        wanted = set(live)
        for vm_id, vm in self.vm_by_id.items():
            known = {member.vm_id for member in vm.membership.live()} | {vm_id}
            if known != wanted:
                return False
        return True

    def who_lists(self, vm_id: str) -> int:
        """Return how many VMs believe that one lives."""
        return sum(vm.membership.is_live(vm_id) for vm in self.vm_by_id.values())
