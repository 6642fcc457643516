"""The gossip protocol among entry VMs.

Each VM sends a bounded number of neighbours the changes since its last message to them,
at most every ``MIN_SEND_INTERVAL_S``, and forwards the changes that it receives (an
epidemic broadcast, as the eager push of Plumtree: Leitao et al., "Epidemic Broadcast
Trees", 2007). Without changes a heartbeat is sent every interval. Updates lost with a
broken link show as a differing digest, and are pulled from the neighbour.
"""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from bamboovale.fleet.changes import ChangeLog
from bamboovale.fleet.crash_log import CrashLog
from bamboovale.fleet.membership import Change, Membership
from bamboovale.fleet.messages import (
    AdapterNews,
    CrashedEndpoint,
    CrashNews,
    EndpointLimit,
    Gossip,
    LeavingEndpoint,
    Member,
    SoundRequest,
    SuspectRequest,
    Suspicion,
    TopicRow,
)
from bamboovale.fleet.neighbours import NEVER, SLACK_S, Neighbour, Neighbours
from bamboovale.fleet.rings import FULL_MESH_MAX_VMS
from bamboovale.fleet.topic_changes import TopicChanges
from bamboovale.fleet.view_proofs import NO_PROOF, ViewProofs

MIN_SEND_INTERVAL_S = 0.1
"""Minimum time between messages to one neighbour: bounds the cost of a burst of changes
and sets the delay of an update per hop."""
FANOUT = 4.0
"""Factor by which each hop increases the VMs that an update has reached."""
WATCH_RENEWAL_S = 1.0
"""Interval of messages to a VM that we watch and that does not watch us. Each renews
its subscription to heartbeats."""
WATCHER_TTL_S = 3.5
"""A VM that requested heartbeats this recently gets them: three renewals and a margin.
Its view of the rings may differ from ours while VMs join and leave."""
PULL_BACK_OFF_FIRST_S = 0.6
"""Time for which a neighbour's digest may differ before its full view is pulled, as
updates may be in flight. Doubled after each pull while digests differ."""
PULL_BACK_OFF_LAST_S = 8.0
PROBE_INTERVAL_S = 3.0
"""Interval of probes of silent VMs, without which the halves of a partitioned fleet
would never rejoin."""
MAX_ITEMS = 256
"""Changes per message; the rest follows in the next one."""
RESEND_AFTER_S = 0.4
"""A neighbour whose offset is behind for this long has lost the rows sent to it."""
TIMER_TOLERANCE_S = 0.001
"""Time by which a timer may fire early."""


class EndpointsTopic(Protocol):
    """The endpoints' topic of this VM."""

    changes: TopicChanges

    def apply_rows(
        self, first_offset: int, next_offset: int, rows: Iterable[TopicRow]
    ) -> None:
        """Apply a neighbour's rows, unless rows before ``first_offset`` are missing."""


class _State(NamedTuple):
    """What determines a message; neighbours with the same state get the same one.

    The first message to a neighbour contains our own record, our suspicion of it and
    all news of endpoints.
    """

    sent_number: int
    introduced: bool
    first_offset: int
    watches: bool
    wants_all: bool


@dataclass
class _PullBackOff:
    """Back-off of full pulls from neighbours; the first one is immediate."""

    pause_s: float = 0.0
    next_at: float = 0.0


class GossipProtocol:
    """Gossip of one VM with its neighbours; no sockets, no clock."""

    def __init__(
        self,
        membership: Membership,
        changes: ChangeLog[Change],
        endpoints: EndpointsTopic,
        rng: random.Random,
        now: float,
        on_crash_news: Callable[[CrashNews], None] = lambda news: None,
        on_store_answer: Callable[[], None] = lambda: None,
        on_settled: Callable[[], None] = lambda: None,
        abort_link: Callable[[str], None] = lambda vm_id: None,
        proofs: ViewProofs | None = None,
        on_version: Callable[[AdapterNews], None] = lambda news: None,
        on_limit: Callable[[EndpointLimit], bool] = lambda news: False,
        on_leaving: Callable[[LeavingEndpoint], bool] = lambda news: False,
    ) -> None:
        self.config_version = -1
        self._on_version = on_version
        self._on_limit = on_limit
        self._on_leaving = on_leaving
        self._version_by_adapter: dict[tuple[str, str | None], int] = {}
        self.store_answered_at = NEVER
        self._store_count = 0
        self._settled_count = 0
        self.neighbours = Neighbours(membership, self._new_neighbour, abort_link, now)
        self._membership = membership
        self._changes = changes
        self._endpoints = endpoints
        self._rng = rng
        self._on_crash_news = on_crash_news
        self._on_store_answer = on_store_answer
        self._on_settled = on_settled
        self._probe_at = now + PROBE_INTERVAL_S
        self._pull_back_off = _PullBackOff()
        self._crash_log = CrashLog(changes)
        self._proofs = proofs

    def _new_neighbour(self, now: float) -> Neighbour:
        offset = self._endpoints.changes.next_offset or 0
        return Neighbour(now, self._changes.last, sent_offset=offset)

    @property
    def endpoints_offset(self) -> int | None:
        """Return the offset up to which the endpoints' topic is known."""
        return self._endpoints.changes.next_offset

    # Times.

    def spread_s(self) -> float:
        """Return the time in which an update reaches every live VM."""
        size = max(1.0, len(self._membership.rings) / FULL_MESH_MAX_VMS)
        hops = 1 + math.ceil(math.log(size, FANOUT))
        return SLACK_S + MIN_SEND_INTERVAL_S * hops

    def next_at(self, now: float) -> float:
        """Return when ``due`` is to be called next."""
        pending_at = [
            neighbour.sent_at + self._pause_s(neighbour, now)
            for neighbour in self.neighbours.by_id.values()
        ]
        return max(now, min([*pending_at, self.neighbours.next_check_at(now)]))

    def _pause_s(self, neighbour: Neighbour, now: float) -> float:
        """Return the time between the last message to a neighbour and the next."""
        if neighbour.sent_at == NEVER or self._is_behind(neighbour):
            return MIN_SEND_INTERVAL_S
        if now < neighbour.watches_us_until:
            return self.neighbours.interval_s()
        return WATCH_RENEWAL_S if neighbour.watched else math.inf

    def mark_all_due(self) -> None:
        """Make a message to every neighbour due now."""
        for neighbour in self.neighbours.by_id.values():
            neighbour.sent_at = NEVER

    def has_updates(self) -> bool:
        """Return whether updates are pending for a neighbour."""
        return any(
            neighbour.sent_at == NEVER or self._is_behind(neighbour)
            for neighbour in self.neighbours.by_id.values()
        )

    # Messages received.

    def on_gossip(self, sender: str, gossip: Gossip, now: float) -> None:
        """Apply a message; what is new in it is forwarded with the next ``due``."""
        neighbour = self.neighbours.on_message(sender, now)
        if gossip.watches:
            neighbour.watches_us_until = now + WATCHER_TTL_S
        if self._membership.is_suspected_by_us(sender):
            # It has not heard so, or would have refuted it, and is no neighbour before.
            neighbour.introduced = False
        for member in gossip.members:
            if member.vm_id == sender:
                self._answer_introduction(neighbour, member, now)
        neighbour.config_version = gossip.config_version
        for member in gossip.members:
            self._membership.apply(member, now)
        for suspicion in gossip.unheard:
            self._membership.apply_suspicion(suspicion, now)
        self._apply_crash_news([*gossip.suspects, *gossip.crashed, *gossip.sound])
        for news in gossip.versions:
            if self.note_version(news):
                self._on_version(news)
        self._apply_proof(sender, gossip)
        self._apply_rows(neighbour, gossip, now)
        for limit in gossip.limits:
            if self._on_limit(limit):
                self.note_limit(limit)
        for leaving in gossip.leaving:
            if self._on_leaving(leaving):
                self.note_leaving(leaving)
        self._apply_counts(gossip, now)
        if gossip.wants_all:
            neighbour.sent_number = 0
        self._compare_digest(neighbour, gossip.digest, now)

    def _apply_crash_news(self, news: list[CrashNews]) -> None:
        for item in news:
            if self.note_crash(item):
                self._on_crash_news(item)

    def _answer_introduction(
        self, neighbour: Neighbour, member: Member, now: float
    ) -> None:
        """Reply before the next interval to a VM that sent its own record.

        It has reopened its link to us because we are silent to it; by the next interval
        it may suspect us. One that has started anew gets a first message anew.
        """
        if member.start > neighbour.start:
            neighbour.start = member.start
            neighbour.introduced = False
        if now - neighbour.sent_at > self.neighbours.interval_s() / 2:
            neighbour.sent_at = NEVER

    def _apply_proof(self, sender: str, gossip: Gossip) -> None:
        """Apply a proof of a view that is not newer than ours."""
        if self._proofs is None:
            return
        self._proofs.on_stamp(sender, gossip.stamp)
        if gossip.config_version <= self.config_version:
            self._proofs.on_echoes(sender, gossip.echoes, gossip.view_age_ms)

    def _apply_rows(self, neighbour: Neighbour, gossip: Gossip, now: float) -> None:
        if gossip.next_offset < 0:
            return
        self._endpoints.apply_rows(gossip.first_offset, gossip.next_offset, gossip.rows)
        was_missed = now - neighbour.rows_sent_at > RESEND_AFTER_S
        if gossip.next_offset > neighbour.sent_offset or was_missed:
            neighbour.sent_offset = gossip.next_offset

    def _apply_counts(self, gossip: Gossip, now: float) -> None:
        """Apply the counts of store answers, after the rows that came with them."""
        if gossip.store_count > self._store_count:
            self._store_count = gossip.store_count
            self.store_answered_at = now
            self._on_store_answer()
        if gossip.settled_count > self._settled_count:
            self._settled_count = gossip.settled_count
            self._on_settled()

    def _compare_digest(self, neighbour: Neighbour, digest: int, now: float) -> None:
        if digest != self._membership.digest:
            if neighbour.differs_since is None:
                neighbour.differs_since = now
            return
        neighbour.differs_since = None
        self._pull_back_off.pause_s = PULL_BACK_OFF_FIRST_S

    # Messages sent.

    def note_crash(self, news: CrashNews) -> bool:
        """Forward what was seen of a crash; False if it is known."""
        return self._crash_log.note(news)

    def note_version(self, news: AdapterNews) -> bool:
        """Forward a version of an adapter; False if it is not newer."""
        key = (news.model, news.adapter)
        if news.version <= self._version_by_adapter.get(key, 0):
            return False
        self._version_by_adapter[key] = news.version
        self._changes.put(("version", *key), news)
        return True

    def note_limit(self, news: EndpointLimit) -> None:
        """Forward a change of an endpoint's limit."""
        self._changes.put(("limit", news.endpoint_id), news)

    def note_leaving(self, news: LeavingEndpoint) -> None:
        """Forward that an endpoint leaves."""
        self._changes.put(("leaving", news.endpoint_id), news)

    def drop_endpoint(self, endpoint_id: str) -> None:
        """Forward what an endpoint that is gone had said no more."""
        self._changes.drop(("limit", endpoint_id))
        self._changes.drop(("leaving", endpoint_id))

    def set_config_version(self, version: int) -> None:
        """Set the version of our configuration; a newer one is told at once."""
        if version > self.config_version:
            self.config_version = version
            self.mark_all_due()

    def note_store_answer(self, now: float, *, settled: bool = False) -> None:
        """Count an answer of the store to us; ``settled``: we consider it settled.

        Others are informed by an increasing count. The age of an answer would be
        refreshed by the delay of each hop, circulate indefinitely, and hide an outage
        where links are slow.
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
        """Return the messages to send now, each with its receivers."""
        self.neighbours.check(now)
        if self._proofs is not None:
            self._proofs.retain(self.neighbours.by_id)
        targets_by_state: dict[_State, list[str]] = {}
        pull_target = self._pull_target(now)
        for vm_id, neighbour in self.neighbours.by_id.items():
            is_pull_target = vm_id == pull_target
            pause_s = (
                MIN_SEND_INTERVAL_S if is_pull_target else self._pause_s(neighbour, now)
            )
            if not _is_due(neighbour, pause_s, now):
                continue
            first, _ = self._endpoints.changes.rows_from(neighbour.sent_offset)
            state = _State(
                neighbour.sent_number,
                neighbour.introduced,
                first,
                neighbour.watched,
                is_pull_target,
            )
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
        """Return the message for VMs in the same state, and mark it as sent."""
        items, sent_number = self._changes.after(state.sent_number, MAX_ITEMS)
        own = self._membership.own
        if not state.introduced:
            introduction = [own, *self._endpoint_news()]
            introduction += self._membership.own_suspicions(targets)
            items += [item for item in introduction if item not in items]
        changes = self._endpoints.changes
        next_offset = -1 if changes.next_offset is None else changes.next_offset
        first, rows = changes.rows_from(state.first_offset)
        for vm_id in targets:
            neighbour = self.neighbours.by_id[vm_id]
            neighbour.sent_number = sent_number
            neighbour.sent_offset = max(neighbour.sent_offset, next_offset)
            neighbour.sent_at = now
            neighbour.rows_sent_at = now if rows else neighbour.rows_sent_at
            neighbour.introduced = True
        proofs = self._proofs if self._proofs and self._proofs.is_needed else None
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
            versions=tuple(item for item in items if isinstance(item, AdapterNews)),
            limits=tuple(item for item in items if isinstance(item, EndpointLimit)),
            leaving=tuple(item for item in items if isinstance(item, LeavingEndpoint)),
            crashed=tuple(item for item in items if isinstance(item, CrashedEndpoint)),
            sound=tuple(item for item in items if isinstance(item, SoundRequest)),
            stamp=proofs.new_stamp() if proofs else 0,
            echoes=proofs.echoes(targets) if proofs else (),
            view_age_ms=proofs.age_ms() if proofs else NO_PROOF,
        )

    def _endpoint_news(self) -> list[Change]:
        """Return what is known of endpoints that no VM can read from the store."""
        kinds = (EndpointLimit, LeavingEndpoint)
        said = [item for item in self._changes if isinstance(item, kinds)]
        return [*said, *self._crash_log]

    def _is_behind(self, neighbour: Neighbour) -> bool:
        """Return whether updates are pending for a neighbour."""
        if not neighbour.introduced or neighbour.sent_number < self._changes.last:
            return True
        return self._endpoints.changes.has_rows_from(neighbour.sent_offset)

    def _pull_target(self, now: float) -> str | None:
        """Return the neighbour to pull the full view from, if its digest differs.

        One that got a message just now gets none again yet: a pull from it would not be
        sent, and the next one backs off.
        """
        if now < self._pull_back_off.next_at:
            return None
        differing = [
            vm_id
            for vm_id, neighbour in self.neighbours.by_id.items()
            if neighbour.differs_since is not None
            and now - neighbour.differs_since >= self._pull_back_off.pause_s
            and _is_due(neighbour, MIN_SEND_INTERVAL_S, now)
        ]
        if not differing:
            return None
        doubled_s = min(PULL_BACK_OFF_LAST_S, 2 * self._pull_back_off.pause_s)
        self._pull_back_off.pause_s = max(PULL_BACK_OFF_FIRST_S, doubled_s)
        self._pull_back_off.next_at = now + self._pull_back_off.pause_s
        return self._rng.choice(differing)

    def _probe(self, now: float) -> list[tuple[list[str], Gossip]]:
        """Return a message to a random silent VM, if a probe is due."""
        if now < self._probe_at:
            return []
        self._probe_at = now + PROBE_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        silent = [
            v for v in self._membership.not_live() if v not in self.neighbours.by_id
        ]
        if not silent:
            return []
        vm_id = self._rng.choice(silent)
        neighbour = self.neighbours.get_or_add(vm_id, now)
        state = _State(neighbour.sent_number, False, 0, watches=False, wants_all=False)
        return [([vm_id], self._message(state, [vm_id], now))]


def _is_due(neighbour: Neighbour, pause_s: float, now: float) -> bool:
    """Return whether the pause since the last message to a neighbour is over."""
    return now - neighbour.sent_at >= pause_s - TIMER_TOLERANCE_S
