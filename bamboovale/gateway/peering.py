"""Talking with the other entry VMs: who lives, who owns what, who needs what."""

import asyncio
import random
from concurrent.futures import Future
from typing import Any, get_args

from bamboovale.decisions.timer_lag import TimerLagMonitor
from bamboovale.fleet.exchange import Exchange
from bamboovale.fleet.messages import Gossip, SuspectSeen
from bamboovale.gateway.crashes import CrashGuard
from bamboovale.gateway.engine_assignment import EngineAssignment
from bamboovale.gateway.engine_news import EngineNews
from bamboovale.gateway.engine_owner import EngineOwner
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.messages import (
    EngineLoads,
    EngineStatuses,
    PlaceCancel,
    PlaceHeld,
    PlacePaused,
    PlaceRelease,
    PlaceReply,
    PlaceRequest,
    PlaceStarted,
    StatusesWanted,
    TableAnswer,
    TableQuery,
)
from bamboovale.gateway.model import RoutingTable
from bamboovale.gateway.ownership import Ownership
from bamboovale.gateway.records import Records
from bamboovale.gateway.translation import Translation
from bamboovale.gateway.vm_state import VMState
from bamboovale.peers.links import PeerLinks
from bamboovale.peers.outgoing import (
    PeerLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)

PlaceNotice = PlaceCancel | PlaceRelease | PlaceHeld | PlaceStarted | PlacePaused
PLACE_NOTICES = get_args(PlaceNotice)
"""What concerns a place; for the engine's owner."""
TABLE_TIMEOUT_S = 1.0
"""A peer answers from memory; past this the next message names whom to ask."""
LAG_WARNING_S = 0.5
"""Lateness of the event loop that is logged: half of the time after which neighbours
take a VM for silent."""
START_WAIT_S = 0.5
"""For so long a VM that starts waits to be able to serve before it tells of itself:
what it tells crosses every link of the fleet, each time it changes."""
START_LOOK_S = 0.02
FENCES_S = 2.0
"""Between two words on fencing numbers alone: they rise at all engines with each change
of any owner, and decide only between two VMs that claim the same engine."""
LOOK_S = 0.3
"""Between two looks at what follows from the news of others."""
STORE_LOST_S = 3.0
"""Without an answer of the store to any VM for so long a VM stands in for a lost owner:
a wrong look would set two owners against each other."""
NAMED_IN_LOG = 12
"""VMs of each list in one log line; after a restart of all there are hundreds."""


class Peering:
    """The tasks and handlers of one VM's talk with its peers."""

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
    ) -> None:
        self._state = state
        self._translation = translation
        self._links = links
        self._engines = engines
        self._ownership = ownership
        self._assignment = assignment
        self._records = records
        self._crashes = crashes
        self._news = asyncio.Event()
        self._seen_version = -1
        self._fences_told_at = -FENCES_S
        self._lateness = TimerLagMonitor()
        self._live: set[str] = set()
        self.engine_news = EngineNews(state, engines, links)
        self.exchange = Exchange(
            state.fleet.membership,
            state.fleet.changes,
            records.endpoints,
            random.Random(),
            state.now(),
            on_suspect=crashes.on_notice,
            on_store_answer=state.store_watch.on_answer,
            on_settled=state.store_watch.on_settled,
            cut_link=links.cut,
        )

    def tell(self) -> None:
        """Tell what has changed of us with the next message to each neighbour."""
        self.exchange.config_version = self._config_version()
        is_new = self._state.fleet.membership.tell(
            serving=self._state.serving(),
            owned=self._owned(),
            busy=self._lateness.is_busy,
        )
        if is_new:
            self._news.set()

    def _owned(self) -> tuple[tuple[str, int], ...]:
        """Return our engines with their fencing numbers, as told unless it is time."""
        owned = tuple(
            (engine_id, self._ownership.fence(owner.record.registered_id))
            for engine_id, owner in sorted(self._engines.owner_by_engine.items())
        )
        told = self._state.fleet.membership.own.owned
        is_same = [engine_id for engine_id, _ in owned] == [e for e, _ in told]
        now = self._state.now()
        if is_same and now - self._fences_told_at < FENCES_S:
            return told
        self._fences_told_at = now
        return owned

    def tell_leaving(self) -> None:
        """Tell the neighbours that this process ends now."""
        self._state.fleet.membership.tell(serving=False, left=True)
        self.exchange.hurry()
        self._send_due()

    def tell_suspect(self, suspect: SuspectSeen) -> None:
        """Tell every VM of a request that crashed its endpoint."""
        if self.exchange.note_suspect(suspect):
            self._news.set()

    def assign_engines(self) -> None:
        """Own what we should; tell everybody at once if that changed."""
        if self._assignment.assign():
            self.tell()
            self.engine_news.tell_statuses()
            self._engines.tell_new_owners()

    def on_store_answer(self, *, settled: bool) -> None:
        """Note that the store has answered us, and whether it is settled."""
        self.exchange.note_store_answer(self._state.now(), settled=settled)

    def wake(self) -> None:
        """Send what is new without waiting for the next interval."""
        self._news.set()

    async def exchange_forever(self) -> None:
        """Exchange messages with the neighbours, for ever."""
        await self._wait_until_serving()
        while True:
            self._news.clear()
            self._send_due()
            now = self._state.now()
            wait_s = self.exchange.next_at(now) - now
            asleep_from = now
            try:
                async with asyncio.timeout(wait_s):
                    await self._news.wait()
            except TimeoutError:
                self._note_lateness(self._state.now() - asleep_from - wait_s)

    async def _wait_until_serving(self) -> None:
        began = self._state.now()
        while not self._state.serving():
            if self._state.now() - began > START_WAIT_S:
                break
            await asyncio.sleep(START_LOOK_S)
        self.tell()

    def _note_lateness(self, late_s: float) -> None:
        if late_s > LAG_WARNING_S:
            self._state.journal.write("loop_late", late_s=round(late_s, 3))

    def _send_due(self) -> None:
        for targets, gossip in self.exchange.due(self._state.now()):
            self._links.notify_all(targets, gossip)

    async def look_forever(self) -> None:
        """Act on what others have told, for ever."""
        while True:
            due_at = self._state.now() + LOOK_S
            await asyncio.sleep(LOOK_S)
            now = self._state.now()
            self._lateness.on_timer(now - due_at, now)
            self.tell()
            self._note_live()
            store_age_s = self._state.now() - self.exchange.store_answered_at
            if self._assignment.stand_in_for_lost_owners(
                store_answers_others=store_age_s <= STORE_LOST_S
            ):
                self.assign_engines()
            self._fetch_newer_table()

    def _config_version(self) -> int:
        return self._state.table.version if self._state.table else -1

    def _note_live(self) -> None:
        """Log VMs that came or fell silent; free what the silent ones held."""
        if self._state.fleet.version == self._seen_version:
            return
        self._seen_version = self._state.fleet.version
        before = self._live
        self._live = live = {member.vm_id for member in self._state.fleet.live()}
        self._engines.tell_new_owners()
        self.engine_news.ask_owners()
        if live == before:
            return
        self._state.journal.write(
            "peers",
            came=_some(live - before),
            silent=_some(before - live),
            live=len(live) + 1,
            unheard_by={
                vm_id: self._state.fleet.membership.observers_against(vm_id)
                for vm_id in _some(before - live)
            },
        )
        for vm_id in before - live:
            for owner in list(self._engines.owner_by_engine.values()):
                owner.entry_gone(vm_id)
        for share in self._state.share_by_service.values():
            share.fleet_size = len(live) + 1

    def _fetch_newer_table(self) -> None:
        """Take the configuration from a peer that has a newer one.

        Guards against a store that answers others and not us.
        """
        newest = self.exchange.newest_config()
        if newest is None or newest[1] <= self._config_version():
            return
        future = self._links.request(newest[0], TableQuery(), TABLE_TIMEOUT_S)
        future.add_done_callback(self._on_table_answer)

    def _on_table_answer(self, future: "Future[Any]") -> None:
        try:
            answer = future.result()
        except (PeerUnreachableError, PeerLostError, PeerTimeoutError) as error:
            self._state.journal.write("table_query_failed", error=str(error))
            return
        if isinstance(answer, TableAnswer) and answer.source is not None:
            table = self._translation.decode_table(answer.source)
            if isinstance(table, RoutingTable):
                self._records.take_table(table, origin="peer")

    def on_request(self, sender: str, message: Any, reply: Any) -> None:
        """Answer a peer's request."""
        if isinstance(message, PlaceRequest):
            owner = self._engines.owner_by_engine.get(message.engine_id)
            if owner is None:
                reply(PlaceReply(message.ask_id, reason="no owner", not_owner=True))
            else:
                self.engine_news.on_wanted(sender)
                owner.ask(sender, message, reply)
        elif isinstance(message, TableQuery):
            reply(TableAnswer(self._state.table.source if self._state.table else None))
        else:
            name = type(message).__name__
            self._state.journal.write("bad_message", sender=sender, type=name)

    def on_notice(self, sender: str, message: Any) -> None:
        """Take a peer's notice."""
        now = self._state.now()
        if isinstance(message, Gossip):
            version = self._state.fleet.version
            self.exchange.on_gossip(sender, message, now)
            if self.exchange.has_news():
                self._news.set()
            if self._state.fleet.version != version:
                self._note_live()
        elif isinstance(message, EngineStatuses):
            self._state.fleet.on_statuses(sender, message.statuses, now)
        elif isinstance(message, EngineLoads):
            self._state.fleet.on_loads(sender, message.loads, now)
        elif isinstance(message, StatusesWanted):
            self.engine_news.on_wanted(sender)
        elif isinstance(message, PLACE_NOTICES):
            owner = self._engines.owner_by_engine.get(message.engine_id)
            if owner is not None:
                _tell_owner(owner, sender, message)


def _some(vm_ids: set[str]) -> list[str]:
    """Return the first names of many, for one log line."""
    return sorted(vm_ids)[:NAMED_IN_LOG]


def _tell_owner(owner: EngineOwner, sender: str, message: PlaceNotice) -> None:
    if isinstance(message, PlaceCancel):
        owner.cancel(message.ask_id)
    elif isinstance(message, PlaceRelease):
        owner.release(message)
    elif isinstance(message, PlaceHeld):
        owner.held(sender, message)
    elif isinstance(message, PlaceStarted):
        owner.started(message.ask_id)
    else:
        owner.paused(message.ask_id, message.pause_s)
