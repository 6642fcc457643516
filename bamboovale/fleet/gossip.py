"""What an entry VM tells which neighbours when, and what it takes from them.

Load pattern: hundreds of VMs that start, die and change at once. Told from each to
all, news costs messages with the square of the fleet. Here each VM tells a bounded
number of neighbours only what has changed since it last told them, at most every
``GAP_S``, and passes on what it hears (an epidemic broadcast, as Plumtree's eager push:
Leitao et al., "Epidemic Broadcast Trees", 2007). While nothing changes, a short sign of
life goes out every interval. What a broken link has lost shows as another digest, and
is asked for.
"""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from bamboovale.fleet.changes import ChangeLog
from bamboovale.fleet.membership import Change, Membership
from bamboovale.fleet.messages import (
    Gossip,
    Member,
    SuspectRequest,
    Suspicion,
    TopicRow,
)
from bamboovale.fleet.neighbours import NEVER, SLACK_S, Neighbour, Neighbours
from bamboovale.fleet.rings import ALL_LINKED_UP_TO
from bamboovale.fleet.topic_changes import TopicChanges

GAP_S = 0.1
"""Least time between two messages to one neighbour: bounds what a storm of changes
costs, and is the time that news takes for a step."""
STEPS_PER_FACTOR = 4.0
"""How many times more VMs a step of news reaches, with six neighbours."""
WATCH_RENEWAL_S = 1.0
"""Between two messages to a VM that we watch and that does not watch us."""
WATCHER_S = 3.5
"""Whoever asked for signs of life so lately gets them: three renewals and some. Its
view of the rings may differ from ours while VMs come and go."""
PULL_FIRST_S = 0.6
"""For so long a neighbour's view may differ from ours before we ask for all of it: news
under way explains it until then. Doubled with each time that it did not help."""
PULL_LAST_S = 8.0
PROBE_S = 3.0
"""Between two tries to reach a VM that is known and silent: halves of a fleet that
could not talk would otherwise never find one another again."""
MOST_ITEMS = 256
"""Changes in one message; more follow in the next."""
CHAIN_REPAIR_S = 0.4
"""A neighbour that is behind so long after it was told has missed it."""
SUSPECT_KEPT = 256
EARLY_S = 0.001
"""A timer may fire early by so much."""
GREETING = -1
"""In place of a number of changes: the first message, which tells of us."""


class EndpointsTopic(Protocol):
    """The endpoints' topic of this VM."""

    changes: TopicChanges

    def apply_rows(
        self, first_offset: int, next_offset: int, rows: Iterable[TopicRow]
    ) -> None:
        """Take what a neighbour knows of the topic, if nothing before it is missing."""


class _State(NamedTuple):
    """What neighbours have in common that get the same message."""

    told: int
    first_offset: int
    watches: bool
    wants_all: bool


@dataclass
class _Pulls:
    """When the next neighbour may be asked for all it knows; at once at the start."""

    pause_s: float = 0.0
    next_at: float = 0.0


class GossipProtocol:
    """Messages to and from the neighbours of one VM; no sockets, no clock."""

    def __init__(
        self,
        membership: Membership,
        changes: ChangeLog[Change],
        endpoints: EndpointsTopic,
        rng: random.Random,
        now: float,
        on_suspect: Callable[[SuspectRequest], None] = lambda suspect: None,
        on_store_answer: Callable[[], None] = lambda: None,
        on_settled: Callable[[], None] = lambda: None,
        cut_link: Callable[[str], None] = lambda vm_id: None,
    ) -> None:
        self.config_version = -1
        self.store_answered_at = NEVER
        self._store_count = 0
        self._settled_count = 0
        self.neighbours = Neighbours(membership, self._new_neighbour, cut_link, now)
        self._membership = membership
        self._changes = changes
        self._endpoints = endpoints
        self._rng = rng
        self._on_suspect = on_suspect
        self._on_store_answer = on_store_answer
        self._on_settled = on_settled
        self._probe_at = now + PROBE_S
        self._pulls = _Pulls()
        self._suspects: dict[SuspectRequest, None] = {}

    def _new_neighbour(self, now: float) -> Neighbour:
        offset = self._endpoints.changes.next_offset or 0
        return Neighbour(now, self._changes.last, told_offset=offset)

    @property
    def endpoints_offset(self) -> int | None:
        """Return the offset up to which the endpoints' topic is known."""
        return self._endpoints.changes.next_offset

    # Times.

    def spread_s(self) -> float:
        """Return the time in which a change reaches every live VM."""
        size = max(1.0, len(self._membership.rings) / ALL_LINKED_UP_TO)
        steps = 1 + math.ceil(math.log(size, STEPS_PER_FACTOR))
        return SLACK_S + GAP_S * steps

    def next_at(self, now: float) -> float:
        """Return when ``due`` has something to do again."""
        pending_at = [
            neighbour.sent_at + self._pause_s(neighbour, now)
            for neighbour in self.neighbours.by_id.values()
        ]
        return max(now, min([*pending_at, self.neighbours.next_look_at(now)]))

    def _pause_s(self, neighbour: Neighbour, now: float) -> float:
        """Return the time between the last message to a neighbour and the next."""
        if neighbour.sent_at == NEVER or self._is_behind(neighbour):
            return GAP_S
        if now < neighbour.watches_us_until:
            return self.neighbours.interval_s()
        return WATCH_RENEWAL_S if neighbour.watched else math.inf

    def mark_all_due(self) -> None:
        """Let ``due`` send to every neighbour now, for the last words of a process."""
        for neighbour in self.neighbours.by_id.values():
            neighbour.sent_at = NEVER

    def has_updates(self) -> bool:
        """Tell whether a neighbour is to be told something before its interval ends."""
        return any(
            neighbour.sent_at == NEVER or self._is_behind(neighbour)
            for neighbour in self.neighbours.by_id.values()
        )

    # What neighbours tell.

    def on_gossip(self, sender: str, gossip: Gossip, now: float) -> None:
        """Take a message; what is new in it is passed on with the next ``due``."""
        neighbour = self.neighbours.on_message(sender, now)
        if gossip.watches:
            neighbour.watches_us_until = now + WATCHER_S
        if any(member.vm_id == sender for member in gossip.members):
            self._answer_greeting(neighbour, now)
        neighbour.config_version = gossip.config_version
        for member in gossip.members:
            self._membership.apply(member, now)
        for word in gossip.unheard:
            self._membership.apply_suspicion(word, now)
        for suspect in gossip.suspects:
            if self.note_suspect(suspect):
                self._on_suspect(suspect)
        self._take_rows(neighbour, gossip, now)
        self._take_counts(gossip, now)
        if gossip.wants_all:
            neighbour.told = 0
        self._compare(neighbour, gossip.digest, now)

    def _answer_greeting(self, neighbour: Neighbour, now: float) -> None:
        """Answer a VM that tells of itself without waiting for the next interval.

        It has opened its link to us anew, because it does not hear us; by the next
        interval it may have given its word against us.
        """
        if now - neighbour.sent_at > self.neighbours.interval_s() / 2:
            neighbour.sent_at = NEVER

    def _take_rows(self, neighbour: Neighbour, gossip: Gossip, now: float) -> None:
        if gossip.next_offset < 0:
            return
        self._endpoints.apply_rows(gossip.first_offset, gossip.next_offset, gossip.rows)
        was_missed = now - neighbour.rows_sent_at > CHAIN_REPAIR_S
        if gossip.next_offset > neighbour.told_offset or was_missed:
            neighbour.told_offset = gossip.next_offset

    def _take_counts(self, gossip: Gossip, now: float) -> None:
        """Take that the store has answered some VM, after the rows that it told."""
        if gossip.store_count > self._store_count:
            self._store_count = gossip.store_count
            self.store_answered_at = now
            self._on_store_answer()
        if gossip.settled_count > self._settled_count:
            self._settled_count = gossip.settled_count
            self._on_settled()

    def _compare(self, neighbour: Neighbour, digest: int, now: float) -> None:
        if digest != self._membership.digest:
            if neighbour.differs_since is None:
                neighbour.differs_since = now
            return
        neighbour.differs_since = None
        self._pulls.pause_s = PULL_FIRST_S

    # What we tell.

    def note_suspect(self, suspect: SuspectRequest) -> bool:
        """Pass on a request that crashed its endpoint; False if it is not new."""
        if suspect in self._suspects:
            return False
        self._suspects[suspect] = None
        self._changes.put(("suspect", suspect), suspect)
        if len(self._suspects) > SUSPECT_KEPT:
            oldest = next(iter(self._suspects))
            del self._suspects[oldest]
            self._changes.drop(("suspect", oldest))
        return True

    def note_store_answer(self, now: float, *, settled: bool = False) -> None:
        """Note that the store has answered us, and whether it is settled for us.

        Others see it by the count that rises. Told how long ago it was instead, each
        step would make it later by the time the message took, in a circle for ever: an
        outage would not show where links are slow.
        """
        self._store_count += 1
        self.store_answered_at = now
        self._on_store_answer()
        if settled:
            self._settled_count += 1
            self._on_settled()

    def newest_config(self) -> tuple[str, int] | None:
        """Return the neighbour with the newest configuration, and its version."""
        versions = [
            (neighbour.config_version, vm_id)
            for vm_id, neighbour in self.neighbours.by_id.items()
            if self._membership.is_live(vm_id)
        ]
        if not versions:
            return None
        version, vm_id = max(versions)
        return vm_id, version

    def due(self, now: float) -> list[tuple[list[str], Gossip]]:
        """Return the messages to send now, each with those it goes to."""
        self.neighbours.look(now)
        targets_by_state: dict[_State, list[str]] = {}
        puller = self._puller(now)
        for vm_id, neighbour in self.neighbours.by_id.items():
            is_puller = vm_id == puller
            pause_s = GAP_S if is_puller else self._pause_s(neighbour, now)
            if now - neighbour.sent_at < pause_s - EARLY_S:
                continue
            first, _ = self._endpoints.changes.rows_from(neighbour.told_offset)
            told = neighbour.told if neighbour.greeted else GREETING
            state = _State(told, first, neighbour.watched, is_puller)
            targets_by_state.setdefault(state, []).append(vm_id)
        messages = [
            (targets, self._message(state, targets, now))
            for state, targets in targets_by_state.items()
        ]
        return messages + self._probe(now)

    def _message(
        self,
        state: "_State",
        targets: list[str],
        now: float,
    ) -> Gossip:
        """Return what VMs that were told the same do not know yet."""
        greets = state.told == GREETING
        told = self.neighbours.by_id[targets[0]].told if greets else state.told
        items, told = self._changes.after(told, MOST_ITEMS)
        own = self._membership.own
        if greets and own not in items:
            items.append(own)
        changes = self._endpoints.changes
        next_offset = -1 if changes.next_offset is None else changes.next_offset
        first, rows = changes.rows_from(state.first_offset)
        for vm_id in targets:
            neighbour = self.neighbours.by_id[vm_id]
            neighbour.told = told
            neighbour.told_offset = max(neighbour.told_offset, next_offset)
            neighbour.sent_at = now
            neighbour.rows_sent_at = now if rows else neighbour.rows_sent_at
            neighbour.greeted = True
        return Gossip(
            digest=self._membership.digest,
            store_count=self._store_count,
            settled_count=self._settled_count,
            config_version=self.config_version,
            first_offset=first,
            next_offset=next_offset,
            watches=state.watches,
            wants_all=state.wants_all,
            members=tuple(item for item in items if isinstance(item, Member)),
            unheard=tuple(item for item in items if isinstance(item, Suspicion)),
            suspects=tuple(item for item in items if isinstance(item, SuspectRequest)),
            rows=tuple(rows),
        )

    def _is_behind(self, neighbour: Neighbour) -> bool:
        """Tell whether a neighbour is to be told something before the next interval."""
        if not neighbour.greeted or neighbour.told < self._changes.last:
            return True
        return self._endpoints.changes.has_rows_from(neighbour.told_offset)

    def _puller(self, now: float) -> str | None:
        """Return the neighbour to ask for all it knows, if its view stays different."""
        if now < self._pulls.next_at:
            return None
        differing = [
            vm_id
            for vm_id, neighbour in self.neighbours.by_id.items()
            if neighbour.differs_since is not None
            and now - neighbour.differs_since >= self._pulls.pause_s
        ]
        if not differing:
            return None
        doubled_s = min(PULL_LAST_S, 2 * self._pulls.pause_s)
        self._pulls.pause_s = max(PULL_FIRST_S, doubled_s)
        self._pulls.next_at = now + self._pulls.pause_s
        return self._rng.choice(differing)

    def _probe(self, now: float) -> list[tuple[list[str], Gossip]]:
        """Try a silent VM now and then: it may be back, or have been cut off."""
        if now < self._probe_at:
            return []
        self._probe_at = now + PROBE_S * self._rng.uniform(0.8, 1.2)
        silent = [
            v for v in self._membership.not_live() if v not in self.neighbours.by_id
        ]
        if not silent:
            return []
        vm_id = self._rng.choice(silent)
        self.neighbours.get(vm_id, now)
        state = _State(GREETING, 0, watches=False, wants_all=False)
        return [([vm_id], self._message(state, [vm_id], now))]
