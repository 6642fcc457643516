"""Talking with the other entry VMs: who lives, who owns what, who needs what."""

import asyncio
import itertools
import json
from concurrent.futures import Future
from typing import Any, get_args

from bamboovale.gateway.crashes import CrashGuard
from bamboovale.gateway.engine_assignment import EngineAssignment
from bamboovale.gateway.engine_owner import EngineOwner
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.messages import (
    EndpointNews,
    EngineLoads,
    GatewayStatus,
    PlaceCancel,
    PlaceHeld,
    PlacePaused,
    PlaceRelease,
    PlaceReply,
    PlaceRequest,
    PlaceStarted,
    SuspectSeen,
    TableAnswer,
    TableQuery,
)
from bamboovale.gateway.model import RoutingTable
from bamboovale.gateway.ownership import GROUP, Ownership
from bamboovale.gateway.pool_notes import PoolNotes
from bamboovale.gateway.records import ALL_READ_UP_TO, Records
from bamboovale.gateway.store import KeyedRecord, MetadataStore, StoreError
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
REGISTRATION_LOOK_S = 5.0
"""Between reads of other VMs' addresses: newcomers tell us themselves, this finds those
that could not reach us."""
REGISTRATION_LARGE_S = 30.0
"""The same in a fleet of more than twelve, where a newcomer reaches some VM that others
hear: 75 VMs that look every 5 s make 900 calls a minute, by their interval."""
REGISTRATION_ALONE_S = 1.0
"""The same while nobody is heard, or after a failure."""
TABLE_TIMEOUT_S = 1.0
"""A peer answers from memory; past this the next status names whom to ask."""
LAG_WARNING_S = 0.5
"""Lateness of the event loop that is logged: half of the time after which peers take a
VM for silent."""
NOTES_LOOK_S = 1.0
"""Between two looks whether a note on a pool has to be written anew."""
ISOLATION_LOOK_S = 0.5
"""Between two looks whether most peers are silent: a third of the time that this must
last."""
ISOLATED_AFTER_S = 1.5
"""Beside two intervals of statuses: by then peers that start together have heard of
one another."""


class Peering:
    """The tasks and handlers of one VM's talk with its peers."""

    def __init__(
        self,
        *,
        state: VMState,
        translation: Translation,
        store: MetadataStore,
        links: PeerLinks,
        engines: Engines,
        ownership: Ownership,
        assignment: EngineAssignment,
        records: Records,
        crashes: CrashGuard,
        notes: PoolNotes,
    ) -> None:
        self._state = state
        self._translation = translation
        self._store = store
        self._links = links
        self._engines = engines
        self._ownership = ownership
        self._assignment = assignment
        self._records = records
        self._crashes = crashes
        self._notes = notes

    def assign_engines(self) -> None:
        """Own what we should; tell everybody at once if that changed."""
        if self._assignment.assign():
            self.tell()
            self._engines.tell_new_owners()

    async def register(self) -> None:
        """Write our address into the store until it is there; read the others'.

        VMs that were not known are told at once who we are and what we own. With the
        next regular status they would hear of it up to 0.3 s later, in a fleet of 61
        VMs 1 s, and send requests past the owners of engines meanwhile.
        """
        value = json.dumps([self._state.node.ip, self._state.node.peers_port]).encode()
        topic = self._translation.registration_topic
        registered = False
        while True:
            try:
                if not registered:
                    await self._store.put(topic, self._state.node.name, value)
                    registered = True
                snapshot = await self._store.newest(topic)
                known = len(self._state.fleet.peer_by_id)
                for record in snapshot.records:
                    self._take_registration(record)
                if len(self._state.fleet.peer_by_id) > known:
                    self.tell()
            except StoreError as error:
                self._state.journal.write("registration_failed", error=str(error))
                await asyncio.sleep(REGISTRATION_ALONE_S)
                continue
            await asyncio.sleep(self._registration_pause_s())

    def _take_registration(self, record: KeyedRecord) -> None:
        """Take another VM's address; one bad record leaves the others in force."""
        if record.value is None or self._notes.take(record):
            return
        try:
            host, port = json.loads(record.value)
            address = (str(host), int(port))
        except (ValueError, TypeError) as error:
            self._state.journal.write("bad_record", key=record.key, error=str(error))
            return
        self._state.fleet.on_registered(record.key, address)

    def _registration_pause_s(self) -> float:
        live = self._state.fleet.size(self._state.now())
        if live == 1:
            return REGISTRATION_ALONE_S
        return REGISTRATION_LOOK_S if live <= ALL_READ_UP_TO else REGISTRATION_LARGE_S

    async def tell_forever(self) -> None:
        """Tell statuses and look at those of others, for ever."""
        live: set[str] = set()
        for interval in itertools.count():
            asleep_from = self._state.now()
            await asyncio.sleep(self._state.fleet.interval_s())
            late_s = self._state.now() - asleep_from - self._state.fleet.interval_s()
            if late_s > LAG_WARNING_S:
                self._state.journal.write("loop_late", late_s=round(late_s, 3))
            owns_engines = bool(self._engines.owner_by_engine)
            if self._state.fleet.is_turn(interval, owns_engines=owns_engines):
                self.tell()
            live = self._note_live(live)
            if self._assignment.stand_in_for_lost_owners():
                self.assign_engines()
            self._fetch_newer_table()

    async def write_notes_forever(self) -> None:
        """Keep in the store what has been learned of the pools of engines."""
        while True:
            await asyncio.sleep(NOTES_LOOK_S)
            now = self._state.now()
            held_up = self._assignment.held_up_by_service()
            live = self._state.fleet.live_ids(now)
            await self._notes.write_changes(held_up, live, now)

    async def tell_loads_forever(self) -> None:
        """Tell how busy our engines are, between two statuses, where that changed."""
        told: EngineLoads | None = None
        while True:
            await asyncio.sleep(self._state.fleet.loads_interval_s())
            owners = self._engines.owner_by_engine.values()
            loads = EngineLoads(tuple(owner.load() for owner in owners))
            if not loads.loads or loads == told:
                continue
            told = loads
            now = self._state.now()
            self._state.fleet.on_loads(self._state.node.name, loads.loads, now)
            self._links.notify_all(self._state.fleet.to_tell(now), loads)

    async def watch_isolation(self) -> None:
        """Step back while most VMs that the store knows do not hear us.

        Guards against a VM that is cut off from its peers only: it would keep engines
        that nobody can ask for, and send callers to itself. The store tells such a cut
        from the death of many VMs, whose memberships lapse.
        """
        since = self._state.now()
        while True:
            await asyncio.sleep(ISOLATION_LOOK_S)
            live, silent = self._state.fleet.live_and_silent(self._state.now())
            minority = len(silent) > len(live) + 1
            if not minority:
                since = self._state.now()
            if minority and not self._state.isolated:
                heard_all_s = ISOLATED_AFTER_S + 2 * self._state.fleet.interval_s()
                if self._state.now() - since < heard_all_s:
                    continue
                try:
                    members = await self._store.members(GROUP)
                except StoreError as error:
                    self._state.journal.write("members_unknown", error=str(error))
                    continue
                minority = len(members & silent) > len(members & live) + 1
            if minority != self._state.isolated and not self._state.stopping:
                self._state.isolated = minority
                self._state.journal.write(
                    "isolated" if minority else "joined_again",
                    live=sorted(live),
                    silent=sorted(silent),
                )
                self.tell()
                await self._ownership.step_back(minority)

    def tell(self) -> None:
        """Tell every peer how we are and what we own."""
        status = self._status()
        to_tell = self._state.fleet.to_tell(self._state.now())
        self._links.notify_all(to_tell, status)

    def _status(self) -> GatewayStatus:
        engines = tuple(
            owner.status() for owner in self._engines.owner_by_engine.values()
        )
        self._state.fleet.on_own_engines(engines, self._state.now())
        return GatewayStatus(
            incarnation=self._state.incarnation,
            address=self._state.node.ip,
            peers_port=self._state.node.peers_port,
            callers_port=self._state.node.callers[1],
            failure_domain=self._state.node.failure_domain,
            serving=self._state.serving(),
            config_version=self._state.table.version if self._state.table else -1,
            store_reachable=self._ownership.reachable,
            engines=engines,
        )

    def _note_live(self, before: set[str]) -> set[str]:
        """Log peers that came or fell silent; free what the silent ones held."""
        now = self._state.now()
        live, _ = self._state.fleet.live_and_silent(now)
        if live != before:
            self._state.journal.write(
                "peers",
                came=sorted(live - before),
                silent=sorted(before - live),
                live=len(live) + 1,
            )
        for vm_id in before - live:
            for owner in list(self._engines.owner_by_engine.values()):
                owner.entry_gone(vm_id)
        for share in self._state.share_by_service.values():
            share.fleet_size = len(live) + 1
        return live

    def _fetch_newer_table(self) -> None:
        """Take the configuration from a peer that has a newer one.

        Guards against a store that answers others and not us.
        """
        newest = self._state.fleet.newest_config(self._state.now())
        ours = self._state.table.version if self._state.table else -1
        if newest is None or newest[1] <= ours:
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
                owner.ask(sender, message, reply)
        elif isinstance(message, TableQuery):
            reply(TableAnswer(self._state.table.source if self._state.table else None))
        else:
            name = type(message).__name__
            self._state.journal.write("bad_message", sender=sender, type=name)

    def on_notice(self, sender: str, message: Any) -> None:
        """Take a peer's notice."""
        if isinstance(message, GatewayStatus):
            self._on_status(sender, message)
        elif isinstance(message, EngineLoads):
            now = self._state.now()
            self._state.fleet.on_loads(sender, message.loads, now)
        elif isinstance(message, EndpointNews):
            self._records.on_endpoint_news(message)
        elif isinstance(message, SuspectSeen):
            self._crashes.on_notice(message)
        elif isinstance(message, PLACE_NOTICES):
            owner = self._engines.owner_by_engine.get(message.engine_id)
            if owner is not None:
                _tell_owner(owner, sender, message)

    def _on_status(self, sender: str, status: GatewayStatus) -> None:
        """Take a peer's status; one that was not heard before gets ours at once.

        It has just started, or read our address late: it knows none of our engines.
        Of two VMs that start together the later to listen reaches the earlier, which
        answers here; what the earlier had told before was lost.
        """
        now = self._state.now()
        is_new = not self._state.fleet.is_live(sender, now)
        self._state.fleet.on_status(sender, status, now)
        self._engines.tell_new_owners()
        if is_new:
            self._links.notify(sender, self._status())


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
