"""Communication with other entry VMs: gossip, place requests and engine status."""

import asyncio
import random
from collections.abc import Mapping, Set

from bamboovale.crashes.guard import CrashGuard
from bamboovale.decisions.timer_lag import TimerLagMonitor
from bamboovale.fleet.gossip import GossipProtocol
from bamboovale.fleet.messages import (
    AdapterNews,
    CrashNews,
    EndpointLimit,
    Gossip,
    LeavingEndpoint,
)
from bamboovale.fleet.view_proofs import ViewProofs
from bamboovale.gateway.early_news import EarlyNews, EndpointNews
from bamboovale.gateway.engine_assignment import EngineAssignment
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.lost_engines import OnReachQuery
from bamboovale.gateway.ownership import Ownership, lease_clock
from bamboovale.gateway.peer_messages import PeerMessages
from bamboovale.gateway.quota_exchange import QuotaExchange
from bamboovale.gateway.records import Records
from bamboovale.gateway.status_exchange import EngineStatusExchange
from bamboovale.gateway.table_exchange import TableExchange
from bamboovale.gateway.translation import Translation
from bamboovale.gateway.vm_state import VMState
from bamboovale.peers.links import PeerLinks
from bamboovale.relay.server import RelayServer
from bamboovale.shared_places.exchange import SharedPlaceExchange
from bamboovale.streams.exchange import StartExchange

LOOP_LAG_LOG_S = 0.5
"""Lateness of the event loop that is logged, below the time after which neighbours
suspect a VM."""
ANNOUNCE_DELAY_S = 0.5
"""How long a starting VM waits to be able to serve before it announces itself, as each
change of its announcement is sent over every link of the fleet."""
START_POLL_INTERVAL_S = 0.02
FENCE_ANNOUNCE_INTERVAL_S = 2.0
"""Interval of announcements of changed fencing numbers alone, which rise at all engines
with each change of an owner."""
POLL_INTERVAL_S = 0.3
"""Interval at which gossip from other VMs is acted upon."""
MAX_STORE_SILENCE_S = 3.0
"""Time without an answer of the store to any VM before lost engines are taken over;
guards against two owners of an engine."""
MAX_IDS_IN_LOG = 12
"""VMs listed in one field of a log line, as a large fleet has hundreds."""


class Peering:
    """Tasks of one VM's communication with its peers; ``messages`` handles theirs."""

    def __init__(
        self,
        *,
        state: VMState,
        translation: Translation,
        links: PeerLinks,
        engines: Engines,
        ownership: Ownership,
        assignment: EngineAssignment,
        records: Records,
        crashes: CrashGuard,
        quotas: QuotaExchange,
        shared_places: SharedPlaceExchange,
        relay_server: RelayServer,
        stream_starts: StartExchange,
        on_reach_query: OnReachQuery,
    ) -> None:
        self._state = state
        self._links = links
        self._engines = engines
        self._ownership = ownership
        self._assignment = assignment
        self._records = records
        self._shared_places = shared_places
        self._wake_event = asyncio.Event()
        self._seen_version = -1
        self._tables = TableExchange(
            state, links, translation.decode_table, records.apply_table
        )
        self._fences_announced_at = -FENCE_ANNOUNCE_INTERVAL_S
        self._lag_monitor = TimerLagMonitor()
        self._early_news = EarlyNews()
        self._start_by_live: dict[str, int] = {}
        self.status_exchange = EngineStatusExchange(state, engines, links)
        self.messages = PeerMessages(
            state=state,
            engines=engines,
            status_exchange=self.status_exchange,
            tables=self._tables,
            quotas=quotas,
            shared_places=shared_places,
            relay_server=relay_server,
            stream_starts=stream_starts,
            on_reach_query=on_reach_query,
            on_gossip=self._on_gossip,
        )
        self.gossip = GossipProtocol(
            state.fleet.membership,
            state.fleet.changes,
            records.endpoints,
            random.Random(),
            state.now(),
            on_crash_news=crashes.on_news,
            on_store_answer=state.store_watch.on_answer,
            on_settled=state.store_watch.on_settled,
            abort_link=links.abort,
            proofs=ViewProofs(state.view, lease_clock, random.Random()),
            on_version=records.apply_news,
            on_limit=self._on_endpoint_news,
            on_leaving=self._on_endpoint_news,
        )
        state.limits.tell = self._broadcast_limit
        state.signals.tell_leaving = self._broadcast_leaving

    def announce(self) -> None:
        """Update this VM's membership entry and gossip it if it changed."""
        self.gossip.set_config_version(self._tables.own_version())
        is_new = self._state.fleet.membership.update_own(
            serving=self._state.serving(),
            owned=self._owned_to_announce(),
            partitions=self._partitions_to_announce(),
            busy=self._lag_monitor.is_busy,
            cut=self._state.path_watch.check(),
        )
        if is_new:
            self._wake_event.set()

    def _owned_to_announce(self) -> tuple[tuple[str, int], ...]:
        """Return the owned engines with the fencing numbers to announce."""
        owned = tuple(
            (engine_id, self._ownership.fence(owner.record.registered_id))
            for engine_id, owner in sorted(self._engines.owner_by_engine.items())
        )
        announced = self._state.fleet.membership.own.owned
        is_same = [engine_id for engine_id, _ in owned] == [e for e, _ in announced]
        now = self._state.now()
        if is_same and now - self._fences_announced_at < FENCE_ANNOUNCE_INTERVAL_S:
            return announced
        self._fences_announced_at = now
        return owned

    def _partitions_to_announce(self) -> tuple[tuple[int, int], ...]:
        """Return the held partitions with the generation in which they last changed.

        Generations rise at all VMs whenever one joins, which others need not hear.
        """
        held = self._ownership.held_partitions()
        announced = self._state.fleet.membership.own.partitions
        if held == {number for number, _ in announced}:
            return announced
        return tuple((number, self._ownership.generation) for number in sorted(held))

    def announce_leaving(self) -> None:
        """Announce to the neighbours that this process ends."""
        self._state.fleet.membership.update_own(serving=False, left=True)
        self.gossip.mark_all_due()
        self._send_due()

    def broadcast_crash(self, news: CrashNews) -> None:
        """Gossip what was seen of a crash to every VM."""
        if self.gossip.note_crash(news):
            self._wake_event.set()

    def broadcast_version(self, news: AdapterNews) -> None:
        """Gossip a version of an adapter that this VM read from the store.

        In a small fleet every VM reads it.
        """
        if self._state.fleet.is_large() and self.gossip.note_version(news):
            self._wake_event.set()

    def _broadcast_limit(self, news: EndpointLimit) -> None:
        """Gossip a limit that this VM read from an answer."""
        self.gossip.note_limit(news)
        self._wake_event.set()

    def _broadcast_leaving(self, news: LeavingEndpoint) -> None:
        """Gossip an endpoint that told this VM that it leaves."""
        self.gossip.note_leaving(news)
        self._wake_event.set()

    def _on_endpoint_news(self, news: EndpointNews) -> bool:
        """Apply what another VM tells of an endpoint; return whether it is new."""
        if news.endpoint_id not in self._state.endpoints.record_by_id:
            self._early_news.hold(news)
            return False
        if isinstance(news, EndpointLimit):
            return self._state.limits.on_news(news)
        return self._state.endpoints.on_leaving(news.endpoint_id, "peer")

    def on_endpoint_known(self, endpoint_id: str) -> None:
        """Apply what other VMs told of an endpoint before its record was known."""
        for news in self._early_news.take(endpoint_id):
            self._on_endpoint_news(news)

    def assign_engines(self) -> None:
        """Update the owned engines; announce them at once if they changed."""
        if self._assignment.assign():
            self.announce()
            self.status_exchange.publish_statuses()
            self._engines.notify_new_owners()

    def on_store_answer(self, *, settled: bool) -> None:
        """Record that the store answered this VM, and whether it is settled."""
        self.gossip.note_store_answer(self._state.now(), settled=settled)

    def wake(self) -> None:
        """Send pending gossip without waiting for the next interval."""
        self._wake_event.set()

    async def exchange_forever(self) -> None:
        """Exchange gossip with the neighbours, forever."""
        await self._wait_until_serving()
        while True:
            self._wake_event.clear()
            self._send_due()
            now = self._state.now()
            wait_s = self.gossip.next_at(now) - now
            wait_started_at = now
            try:
                async with asyncio.timeout(wait_s):
                    await self._wake_event.wait()
            except TimeoutError:
                self._log_lateness(self._state.now() - wait_started_at - wait_s)

    async def _wait_until_serving(self) -> None:
        started_at = self._state.now()
        while not self._state.serving():
            if self._state.now() - started_at > ANNOUNCE_DELAY_S:
                break
            await asyncio.sleep(START_POLL_INTERVAL_S)
        self.announce()

    def _log_lateness(self, late_s: float) -> None:
        if late_s > LOOP_LAG_LOG_S:
            self._state.journal.write("loop_late", late_s=round(late_s, 3))

    def _send_due(self) -> None:
        for targets, gossip in self.gossip.due(self._state.now()):
            self._links.notify_all(targets, gossip)

    async def poll_forever(self) -> None:
        """Act on gossip received from other VMs, forever."""
        while True:
            due_at = self._state.now() + POLL_INTERVAL_S
            await asyncio.sleep(POLL_INTERVAL_S)
            now = self._state.now()
            self._lag_monitor.on_timer(now - due_at, now)
            self.announce()
            self._on_live_change()
            store_age_s = self._state.now() - self.gossip.store_answered_at
            if self._assignment.take_over_lost_engines(
                store_answers_others=store_age_s <= MAX_STORE_SILENCE_S
            ):
                self.assign_engines()
            self._fetch_newer_table()

    def _on_live_change(self) -> None:
        """Log VMs that joined or were lost; free the places of the lost ones."""
        if self._state.fleet.version == self._seen_version:
            return
        self._seen_version = self._state.fleet.version
        before_starts = self._start_by_live
        self._start_by_live = {
            member.vm_id: member.start for member in self._state.fleet.live()
        }
        self._engines.notify_new_owners()
        self.status_exchange.subscribe_to_owners()
        self._free_places_of_ended_processes(before_starts)
        self._shared_places.refresh()
        live, before = self._start_by_live.keys(), before_starts.keys()
        if live == before:
            return
        self._state.journal.write(
            "peers",
            came=_first_ids(live - before),
            silent=_first_ids(before - live),
            live=len(live) + 1,
            unheard_by={
                vm_id: self._state.fleet.membership.suspecting_observers(vm_id)
                for vm_id in _first_ids(before - live)
            },
        )

    def _free_places_of_ended_processes(self, before: Mapping[str, int]) -> None:
        """Free the places of VMs that are gone, or have restarted without being missed.

        ``before`` holds the start of each VM that was live.
        """
        owners = list(self._engines.owner_by_engine.values())
        for vm_id, start_before in before.items():
            start = self._start_by_live.get(vm_id)
            if start == start_before:
                continue
            for owner in owners:
                owner.on_entry_gone(vm_id, before_start=start)
            self._shared_places.granter.on_vm_gone(vm_id)

    def _fetch_newer_table(self) -> None:
        """Request the configuration from a neighbour that has a newer one."""
        newest = self.gossip.newest_config()
        if newest is not None:
            self._tables.fetch(*newest)

    def _on_gossip(self, sender: str, gossip: Gossip) -> None:
        version = self._state.fleet.version
        self.gossip.on_gossip(sender, gossip, self._state.now())
        self._tables.fetch(sender, gossip.config_version)
        if self.gossip.has_updates():
            self._wake_event.set()
        if self._state.fleet.version != version:
            self._on_live_change()


def _first_ids(vm_ids: Set[str]) -> list[str]:
    """Return the first ids in order, for a log line."""
    return sorted(vm_ids)[:MAX_IDS_IN_LOG]
