"""A simulated fleet of entry VMs in virtual time: gossip over links that fail."""

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
"""One-way delay between two VMs, event loop included."""
START_SPREAD_S = 0.3
"""Time within which all VMs of a deployment start."""


class SimulatedTopic:
    """Applies rows as the follower of a topic does, and keeps the newest values."""

    def __init__(self) -> None:
        self.changes = TopicChanges()
        self.value_by_key: dict[str, bytes | None] = {}

    def apply_rows(
        self, first_offset: int, next_offset: int, rows: Iterable[TopicRow]
    ) -> None:
        """Apply rows unless rows before them are missing."""
        known = self.changes.next_offset
        if known is None or first_offset > known:
            return
        new = [row for row in rows if row[2] >= known]
        for key, value, _ in new:
            self.value_by_key[key] = value
        self.changes.advance(next_offset, new)


@dataclass
class SimulatedVM:
    """One VM; it does not run before ``frozen_until``."""

    vm_id: str
    membership: Membership
    exchange: GossipProtocol
    topic: SimulatedTopic
    frozen_until: float = 0.0
    dead: bool = False
    sent: int = 0
    inbox: list[tuple[str, Gossip]] = field(default_factory=list)


class SimulatedFleet:
    """VMs, their links and a queue of events in virtual time.

    ``passes`` tells whether a message from one VM reaches another.
    """

    def __init__(self, seed: int = 1) -> None:
        self.now = 0.0
        self.vm_by_id: dict[str, SimulatedVM] = {}
        self.passes: Callable[[str, str], bool] = lambda sender, receiver: True
        self.rng = random.Random(seed)
        self.sent_by_id: Counter[str] = Counter()
        self.largest = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()

    # VMs.

    def start(
        self,
        vm_id: str,
        contacts: Iterable[str],
        start: int = 1,
        within_s: float = 0.0,
    ) -> SimulatedVM:
        """Start a VM with these contacts at a random time within ``within_s``."""
        own = Member(vm_id, start, 1, vm_id, 1, 2, "a", serving=True)
        changes: ChangeLog[Change] = ChangeLog()
        membership = Membership(own, changes)
        topic = SimulatedTopic()
        topic.changes.reset(0)
        rng = random.Random(self.rng.random())
        exchange = GossipProtocol(membership, changes, topic, rng, self.now)
        vm = SimulatedVM(vm_id, membership, exchange, topic)
        self.vm_by_id[vm_id] = vm
        for contact in contacts:
            membership.add_contact(contact, (contact, 1), self.now)
        starts_at = self.now + self.rng.uniform(0.0, within_s)
        self.at(starts_at, lambda: self._run_vm(vm))
        return vm

    def start_all(self, count: int) -> list[SimulatedVM]:
        """Start VMs that know one another's addresses."""
        names = [f"vm{number}" for number in range(count)]
        return [self.start(name, names, within_s=START_SPREAD_S) for name in names]

    def kill(self, vm_id: str) -> None:
        """Kill a VM; it sends no last message."""
        self.vm_by_id.pop(vm_id).dead = True

    def freeze(self, vm: SimulatedVM, at: float, seconds: float) -> None:
        """Schedule a time in which a VM does not run."""

        def begin() -> None:
            vm.frozen_until = max(vm.frozen_until, self.now + seconds)

        self.at(at, begin)

    # Time.

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Schedule a callback."""
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
        started_at = self.now
        while not condition():
            assert self.now - started_at < most_s, f"not within {most_s} s"
            self.run(0.05)
        return self.now - started_at

    def _run_vm(self, vm: SimulatedVM) -> None:
        if vm.dead:
            return
        if self.now < vm.frozen_until:
            self.at(vm.frozen_until, lambda: self._run_vm(vm))
            return
        inbox, vm.inbox = vm.inbox, []
        for sender, gossip in inbox:
            vm.exchange.on_gossip(sender, gossip, self.now)
        for targets, gossip in vm.exchange.due(self.now):
            for target in targets:
                self._send(vm, target, gossip)
        when = max(vm.exchange.next_at(self.now), self.now + 0.01)
        self.at(when, lambda: self._run_vm(vm))

    def _send(self, vm: SimulatedVM, target: str, gossip: Gossip) -> None:
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

    def send_due(self, vm: SimulatedVM) -> None:
        """Send due messages without waiting for the next run of the VM."""
        if vm.dead or self.now < vm.frozen_until:
            return
        if vm.exchange.next_at(self.now) > self.now:
            return
        for targets, gossip in vm.exchange.due(self.now):
            for target in targets:
                self._send(vm, target, gossip)

    # Views of the VMs.

    def agree(self, live: Iterable[str]) -> bool:
        """Return whether every VM considers exactly these live."""
        expected = set(live)
        for vm_id, vm in self.vm_by_id.items():
            known = {member.vm_id for member in vm.membership.live()} | {vm_id}
            if known != expected:
                return False
        return True

    def count_views_with_live(self, vm_id: str) -> int:
        """Return how many VMs consider a VM live."""
        return sum(vm.membership.is_live(vm_id) for vm in self.vm_by_id.values())
