"""An entry VM on the routed interface: joins its tasks, from start to planned stop."""

import asyncio
import contextlib
import json
import os
import random
import time
from collections.abc import Coroutine
from concurrent.futures import Future
from heapq import nlargest
from typing import Any

from bamboovale.decisions.place_work import EngineCapacity
from bamboovale.decisions.rendezvous import score
from bamboovale.decisions.retry_share import RetryShare, RetryShareConfig
from bamboovale.gateway.attempts import Attempts
from bamboovale.gateway.crashes import CrashGuard
from bamboovale.gateway.endpoints import EndpointChange, EndpointView
from bamboovale.gateway.engine_orders import EngineCalls
from bamboovale.gateway.engine_owner import EngineOwner, OwnerContext
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.fleet import Fleet
from bamboovale.gateway.followers import News, TopicFollower
from bamboovale.gateway.front import Front
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.messages import (
    EndpointNews,
    GatewayStatus,
    PlaceCancel,
    PlaceHeld,
    PlaceRelease,
    PlaceReply,
    PlaceRequest,
    PlaceStarted,
    SuspectSeen,
    TableAnswer,
    TableQuery,
)
from bamboovale.gateway.model import EndpointRecord, RoutingTable
from bamboovale.gateway.model_calls import ModelCalls
from bamboovale.gateway.ownership import GROUP, Ownership, lease_clock
from bamboovale.gateway.plain_calls import PlainCalls
from bamboovale.gateway.store import KeyedRecord, StoreError
from bamboovale.gateway.translation import Translation
from bamboovale.http1.pool import ConnectionPool, sweep_forever
from bamboovale.http1.server import Request, Responder, Server, ServerLimits
from bamboovale.metrics import Metrics
from bamboovale.peers.links import PeerLinks
from bamboovale.peers.outgoing import (
    PeerLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)

REGISTRATION_LOOK_S = 5.0
"""Between reads of other VMs' addresses: newcomers tell us themselves, this finds those
that could not reach us."""
CONFIG_WAIT_S = 20.0
"""How long a read of the operator's topic waits for a change: one call, no delay."""
ENDPOINTS_PAUSE_S = 0.6
"""Between reads of the endpoints' topic, which changes with every heartbeat. A leaving
endpoint must get no new work two seconds after it said so."""
ALL_READ_UP_TO = 12
READERS = 4
"""VMs that read the endpoints' topic in a fleet of more than twelve; 75 that all read
made 8,262 calls in a day of 56 s, 0.13 of its worth."""
NEWS_STALE_S = 1.2
"""Readers pass on something every 0.6 s, also when nothing changed."""
DIRECTORY_TTL_S = 1.0
"""A VM that stops or dies is not chosen for longer than this and a status."""
LISTEN_ON_S = 3.2
"""New requests are still served this long after SIGTERM: callers keep an address for a
few seconds."""
STOP_MARGIN_S = 0.7
"""Before the platform kills the process."""
TABLE_TIMEOUT_S = 1.0
HOLD_OFF_S = 0.25
"""Beside an interval of statuses: by then every live VM has heard of an engine's new
owner and told it which runs are under way there."""
STORE_AWAY_S = 1.5
"""An outage of the store shorter than this ends before a lease does."""
LAG_WARNING_S = 0.5
ISOLATION_LOOK_S = 0.5
ISOLATED_AFTER_S = 1.5
"""Peers that start together hear of one another within a second."""


class GatewayVM:
    """One entry VM; ``run`` returns when it has been told to stop and has drained."""

    def __init__(
        self,
        translation: Translation,
        metrics: Metrics,
        journal: Journal,
        peer_key: str,
        metrics_port: int,
    ) -> None:
        node = translation.node
        self._metrics_port = metrics_port
        self._node = node
        self._translation = translation
        self._metrics = metrics
        self._journal = journal
        self._rng = random.Random()
        self._incarnation = os.urandom(6).hex()
        self._table: RoutingTable | None = None
        self._version_by_adapter: dict[tuple[str, str | None], int] = {}
        self._share_by_service: dict[str, RetryShare] = {}
        self._stopping = False
        self._draining = False
        self._isolated = False
        self._stop_event = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._fleet = Fleet(node.name)
        self._endpoints = EndpointView(journal, self.now)
        self._build_clients(peer_key)
        self._build_calls()
        self._build_servers()
        self._endpoints.listen(self._on_endpoint)

    def now(self) -> float:
        """Return the event loop's time, in seconds."""
        return time.monotonic()

    # Construction.

    def _build_clients(self, peer_key: str) -> None:
        node = self._node
        opened = self._metrics.gateway_connections_opened

        def pool(target: str) -> ConnectionPool:
            return ConnectionPool(self.now, opened.labels(target).inc, node.ip)

        self._endpoint_pool = pool("endpoint")
        self._control_pool = pool("control")
        self._store_pool = pool("store")
        self._store = self._translation.store(
            self._store_pool,
            lambda name: self._metrics.gateway_store_calls.labels(name).inc(),
        )
        self._links = PeerLinks(
            node.name,
            node.ip,
            node.peers_port,
            peer_key,
            self._fleet.address_of,
            self._metrics,
        )
        self._ownership = Ownership(
            node.name,
            node.store_limits.partitions,
            self._store,
            self._journal,
            engines_check_fencing=node.bounds.engines_check_fencing,
            settle_s=node.bounds.lease_s,
            on_change=self._assign_engines,
            clock=lease_clock,
        )
        self._engines = Engines(node.name, self._fleet, self._links, self.now)
        calls = self._metrics.gateway_engine_calls
        self._owner_context = OwnerContext(
            calls=EngineCalls(
                self._control_pool,
                self._translation,
                node.name,
                lambda name, outcome: calls.labels(name, outcome).inc(),
            ),
            journal=self._journal,
            now=self.now,
            may_order=self._ownership.may_order,
            fence=self._ownership.fence,
            on_fenced=self._on_fenced,
            hold_off_s=lambda: HOLD_OFF_S + self._fleet.interval_s(),
        )

    def _build_calls(self) -> None:
        attempts = Attempts(self._endpoint_pool, self._translation)
        self._crashes = CrashGuard(self._journal, self.now, self._tell_suspect)
        self._front = Front(
            codec=self._translation,
            plain_calls=PlainCalls(
                attempts,
                self._translation,
                self._endpoints,
                self._share_of,
                self.now,
                self._rng,
            ),
            model_calls=ModelCalls(
                attempts,
                self._translation,
                self._endpoints,
                self._engines,
                self.version_of,
                self._share_of,
                self.now,
            ),
            crashes=self._crashes,
            situation=self,
            journal=self._journal,
            metrics=self._metrics,
            now=self.now,
            rng=self._rng,
        )

    def _build_servers(self) -> None:
        self._callers = Server(
            self._front.handle,
            self._caller_limits,
            self._front.on_bad_request,
        )
        self._directory = Server(self._answer_directory)
        self._readiness = Server(self._answer_readiness)
        self._watch = Server(self._answer_watch)

    # What the front must know.

    def table(self) -> RoutingTable | None:
        """Return the configuration in force."""
        return self._table

    def stopping(self) -> bool:
        """Tell whether a planned stop has begun."""
        return self._stopping

    def takes_work(self) -> bool:
        """Tell whether new work may begin here."""
        return not self._draining

    def serving(self) -> bool:
        """Tell whether callers may be sent here."""
        known = self._table is not None and bool(self._endpoints.record_by_id)
        return known and not self._stopping and not self._isolated

    def version_of(self, model: str, adapter: str | None) -> int:
        """Return the newest version that the operator named."""
        return self._version_by_adapter.get((model, adapter), 1)

    # Life.

    async def run(self) -> None:
        """Serve until told to stop."""
        await self._listen()
        self._journal.write(
            "started",
            incarnation=self._incarnation,
            failure_domain=self._node.failure_domain,
            first_start=self._node.first_start,
            callers_port=self._node.callers[1],
            peers_port=self._node.peers_port,
            metrics_port=self._metrics_port,
        )
        for job in self._jobs():
            self._spawn(job)
        await self._stop_event.wait()
        await self._drain()
        await self.close()
        self._journal.write("stopped")

    async def close(self) -> None:
        """End every task and close every socket at once."""
        for task in list(self._tasks):
            task.cancel()
        for owner in self._engines.owner_by_engine.values():
            owner.stop()
        for server in (self._callers, self._directory, self._readiness, self._watch):
            server.close()
        for pool in (self._endpoint_pool, self._control_pool, self._store_pool):
            pool.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await self._links.close()

    def stop(self) -> None:
        """Begin the planned stop."""
        self._stop_event.set()

    async def look_at_engines(self) -> None:
        """Read the reports of all owned engines now."""
        for owner in list(self._engines.owner_by_engine.values()):
            await owner.look()

    def reload(self) -> None:
        """Note that the settings file changed; its addresses last a process's life."""
        self._journal.write("reload", config=self._table and self._table.version)

    async def _listen(self) -> None:
        node = self._node
        await self._links.open(self._on_peer_request, self._on_peer_notice)
        await self._directory.listen(*node.directory)
        await self._readiness.listen(*node.readiness)
        await self._watch.listen(node.ip, self._metrics_port)
        await self._callers.listen(*node.callers)

    def _jobs(self) -> list[Coroutine[Any, Any, None]]:
        operator = TopicFollower(
            self._translation.operator_topic,
            self._store,
            self._journal,
            on_record=self._on_operator_record,
            on_snapshot=lambda keys: None,
            wait_s=CONFIG_WAIT_S,
            pause_s=lambda: 0.02,
        )
        self._endpoint_follower = TopicFollower(
            self._translation.endpoints_topic,
            self._store,
            self._journal,
            on_record=self._on_endpoint_record,
            on_snapshot=self._endpoints.on_snapshot,
            wait_s=1.0,
            pause_s=lambda: ENDPOINTS_PAUSE_S,
            on_progress=self._endpoints.on_progress,
            on_news=self._pass_news_on,
            may_read=self._may_read_endpoints,
            now=self.now,
        )
        return [
            operator.follow(),
            self._endpoint_follower.follow(),
            self._endpoints.watch_lapsed(),
            self._ownership.keep(),
            self._register(),
            self._tell_forever(),
            self._watch_isolation(),
            sweep_forever(self._endpoint_pool),
            sweep_forever(self._control_pool),
        ]

    async def _drain(self) -> None:
        """Stop without cutting anything off: unlisted first, then nothing new."""
        self._stopping = True
        began = self.now()
        self._journal.write("stopping", busy=self._callers.busy)
        self._tell_peers()
        with contextlib.suppress(StoreError, TimeoutError):
            async with asyncio.timeout(1.0):
                await self._ownership.leave()
        self._assign_engines()
        last = began + self._node.bounds.grace_s - STOP_MARGIN_S
        while self.now() < began + LISTEN_ON_S:
            await asyncio.sleep(0.1)
        self._draining = True
        self._callers.close_idle()
        while self.now() < last:
            await asyncio.sleep(0.05)
            if not self._callers.busy and not self._callers.connections:
                break
            if self.now() > began + LISTEN_ON_S + 1.0:
                self._callers.close_idle()
        self._callers.stop_listening()
        self._journal.write("drained", cut_off=self._callers.busy)

    def _spawn(self, job: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(self._guard(job))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, job: Coroutine[Any, Any, None]) -> None:
        """Log what ends a task; the process goes on with the others."""
        try:
            await job
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._journal.write("task_failed", job=str(job), error=repr(error))
            raise

    # Records of the store.

    def _on_operator_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            return
        change = self._translation.decode_operator_record(record.key, record.value)
        if change is None:
            return
        if isinstance(change, str):
            self._journal.write("bad_record", key=record.key, error=change)
        elif isinstance(change, RoutingTable):
            self.take_table(change, origin="store")
        else:
            self._take_version(change.model, change.adapter, change.version)

    def take_table(self, table: RoutingTable, origin: str) -> None:
        """Bring a configuration into force, unless it is older than ours."""
        before = self._table.version if self._table else None
        if before is not None and table.version <= before:
            return
        self._table = table
        self._journal.write(
            "config_in_force",
            version=table.version,
            before=before,
            origin=origin,
            routes=len(table.routes),
        )
        self._assign_engines()

    def _take_version(self, model: str, adapter: str | None, version: int) -> None:
        key = (model, adapter)
        before = self._version_by_adapter.get(key, 1)
        if version <= before:
            return
        self._version_by_adapter[key] = version
        self._journal.write(
            "adapter_version", model=model, adapter=adapter, version=version
        )
        if adapter is not None:
            for owner in self._engines.owner_by_engine.values():
                owner.note_version(model, adapter, version)

    def _on_endpoint_record(self, record: KeyedRecord) -> bool:
        if record.value is None:
            return self._endpoints.on_record(record.key, None)
        decoded = self._translation.decode_endpoint_record(record.key, record.value)
        if isinstance(decoded, str):
            self._journal.write("bad_record", key=record.key, error=decoded)
            return False
        return self._endpoints.on_record(record.key, decoded)

    def _may_read_endpoints(self, news_age_s: float) -> bool:
        """Tell whether this VM reads the endpoints' topic itself now.

        In a large fleet a few VMs read and pass on what changed: every read is a
        priced call and the topic changes with each heartbeat. Whoever hears nothing
        for a moment reads for itself.
        """
        live = self._fleet.live_ids(self.now())
        if len(live) <= ALL_READ_UP_TO or news_age_s > NEWS_STALE_S:
            return True
        first = nlargest(READERS, live, key=lambda vm_id: score("readers", vm_id))
        return self._node.name in first

    def _pass_news_on(self, news: News) -> None:
        now = self.now()
        if self._fleet.size(now) <= ALL_READ_UP_TO:
            return
        records = tuple((r.key, r.value, r.offset) for r in news.records)
        notice = EndpointNews(news.first_offset, news.next_offset, records)
        self._links.notify_all(self._fleet.to_tell(now), notice)

    def _on_endpoint_news(self, notice: EndpointNews) -> None:
        records = tuple(KeyedRecord(*row) for row in notice.records)
        news = News(notice.first_offset, notice.next_offset, records)
        self._endpoint_follower.take_news(news)

    def _on_endpoint(self, change: EndpointChange) -> None:
        if change.record is None:
            self._endpoint_pool.forget(change.endpoint_id)
            self._control_pool.forget(change.endpoint_id)
            if change.was_ready:
                self._crashes.on_endpoint_gone(change.endpoint_id)
        self._assign_engines()

    # Ownership of engines.

    def _assign_engines(self) -> None:
        """Begin to own the engines that the store gives us, end to own others."""
        wanted = self._engines_to_own()
        owners = self._engines.owner_by_engine
        before = set(owners)
        for engine_id in list(owners):
            if engine_id not in wanted:
                owners.pop(engine_id).stop()
                self._journal.write("owner_stopped", engine=engine_id)
        for engine_id, capacity in wanted.items():
            record = self._endpoints.record_by_id[engine_id]
            if engine_id in owners:
                owners[engine_id].record = record
                continue
            owner = EngineOwner(record, capacity, self._owner_context)
            owners[engine_id] = owner
            for (model, adapter), version in self._version_by_adapter.items():
                if adapter is not None:
                    owner.note_version(model, adapter, version)
            owner.start()
            self._journal.write(
                "owner_started",
                engine=engine_id,
                generation=self._ownership.generation,
            )
        self._fleet.drop_engines(set(self._endpoints.record_by_id))
        if owners.keys() != before:
            self._tell_peers()
            self._engines.tell_new_owners()

    def _engines_to_own(self) -> dict[str, EngineCapacity]:
        if self._table is None or self._stopping:
            return {}
        wanted = {}
        for record in self._model_engines():
            pool = self._table.service_by_name[record.service].engines
            if pool is not None and self._ownership.holds(record.endpoint_id):
                wanted[record.endpoint_id] = EngineCapacity(
                    places=pool.slots,
                    kv_tokens=pool.kv_tokens,
                    adapter_slots=pool.adapter_slots,
                )
        return wanted

    def _model_engines(self) -> list[EndpointRecord]:
        """Return the model engines that take new work."""
        if self._table is None:
            return []
        pools = {
            service.name
            for service in self._table.service_by_name.values()
            if service.engines is not None
        }
        return [
            record
            for record in self._endpoints.record_by_id.values()
            if record.service in pools and record.ready
        ]

    def _on_fenced(self, engine_id: str, token: int) -> None:
        owned = self._fleet.engine(engine_id)
        seen = owned.status.fence if owned is not None else 0
        self._ownership.on_fenced(engine_id, max(seen, token))

    def _stand_in_for_lost_owners(self) -> None:
        """Own engines whose owner is gone while no VM reaches the store.

        Guards against a long outage in which VMs stop or die: the store cannot name
        new owners, and fewer and fewer engines could load anything.
        """
        now = self.now()
        if self._ownership.away_s() < STORE_AWAY_S:
            return
        if not self.serving() or not self._fleet.nobody_reaches_store(now):
            return
        live = self._fleet.live_ids(now)
        changed = False
        for record in self._model_engines():
            engine_id = record.endpoint_id
            if self._ownership.holds(engine_id) or self._engines.owner_name(engine_id):
                continue
            if max(live, key=lambda vm_id: score(engine_id, vm_id)) == self._node.name:
                owned = self._fleet.engine(engine_id)
                granted = self._ownership.fence(engine_id)
                above = max(granted, owned.status.fence if owned is not None else 0)
                self._ownership.stand_in(engine_id, above)
                changed = True
        if changed:
            self._assign_engines()

    # Peers.

    async def _register(self) -> None:
        """Write our address into the store until it is there; read the others'."""
        value = json.dumps([self._node.ip, self._node.peers_port]).encode()
        registered = False
        while True:
            try:
                if not registered:
                    await self._store.put(
                        self._translation.registration_topic, self._node.name, value
                    )
                    registered = True
                snapshot = await self._store.newest(
                    self._translation.registration_topic
                )
                for record in snapshot.records:
                    if record.value is not None:
                        host, port = json.loads(record.value)
                        self._fleet.on_registered(record.key, (host, int(port)))
            except (StoreError, ValueError) as error:
                self._journal.write("registration_failed", error=str(error))
                await asyncio.sleep(1.0)
                continue
            quick = (
                len(self._fleet.peer_by_id) == 0 or self._fleet.size(self.now()) == 1
            )
            await asyncio.sleep(1.0 if quick else REGISTRATION_LOOK_S)

    async def _tell_forever(self) -> None:
        live: set[str] = set()
        while True:
            asleep_from = self.now()
            await asyncio.sleep(self._fleet.interval_s())
            late_s = self.now() - asleep_from - self._fleet.interval_s()
            if late_s > LAG_WARNING_S:
                self._journal.write("loop_late", late_s=round(late_s, 3))
            self._tell_peers()
            live = self._note_live(live)
            self._stand_in_for_lost_owners()
            self._fetch_newer_table()

    async def _watch_isolation(self) -> None:
        """Step back while most VMs that the store knows do not hear us.

        Guards against a VM that is cut off from its peers only: it would keep engines
        that nobody can ask for, and send callers to itself. The store tells such a cut
        from the death of many VMs, whose memberships lapse.
        """
        since = self.now()
        while True:
            await asyncio.sleep(ISOLATION_LOOK_S)
            live, silent = self._fleet.live_and_silent(self.now())
            minority = len(silent) > len(live) + 1
            if not minority:
                since = self.now()
            if minority and not self._isolated:
                if self.now() - since < ISOLATED_AFTER_S:
                    continue
                try:
                    members = await self._store.members(GROUP)
                except StoreError as error:
                    self._journal.write("members_unknown", error=str(error))
                    continue
                minority = len(members & silent) > len(members & live) + 1
            if minority != self._isolated and not self._stopping:
                self._isolated = minority
                self._journal.write(
                    "isolated" if minority else "joined_again",
                    live=sorted(live),
                    silent=sorted(silent),
                )
                self._tell_peers()
                await self._ownership.step_back(minority)

    def _tell_peers(self) -> None:
        engines = tuple(
            owner.status() for owner in self._engines.owner_by_engine.values()
        )
        now = self.now()
        self._fleet.on_own_engines(engines, now)
        status = GatewayStatus(
            incarnation=self._incarnation,
            address=self._node.ip,
            peers_port=self._node.peers_port,
            callers_port=self._node.callers[1],
            failure_domain=self._node.failure_domain,
            serving=self.serving(),
            config_version=self._table.version if self._table else -1,
            store_reachable=self._ownership.reachable,
            engines=engines,
        )
        self._links.notify_all(self._fleet.to_tell(now), status)

    def _note_live(self, before: set[str]) -> set[str]:
        """Log peers that came or fell silent; free what the silent ones held."""
        now = self.now()
        live = {
            vm_id for vm_id in self._fleet.peer_by_id if self._fleet.is_live(vm_id, now)
        }
        if live != before:
            self._journal.write(
                "peers",
                came=sorted(live - before),
                silent=sorted(before - live),
                live=len(live) + 1,
            )
        for vm_id in before - live:
            for owner in list(self._engines.owner_by_engine.values()):
                owner.entry_gone(vm_id)
        for share in self._share_by_service.values():
            share.fleet_size = len(live) + 1
        return live

    def _fetch_newer_table(self) -> None:
        """Take the configuration from a peer that has a newer one.

        Guards against a store that answers others and not us.
        """
        newest = self._fleet.newest_config(self.now())
        ours = self._table.version if self._table else -1
        if newest is None or newest[1] <= ours:
            return
        future = self._links.request(newest[0], TableQuery(), TABLE_TIMEOUT_S)
        future.add_done_callback(self._on_table_answer)

    def _on_table_answer(self, future: "Future[Any]") -> None:
        try:
            answer = future.result()
        except (PeerUnreachableError, PeerLostError, PeerTimeoutError) as error:
            self._journal.write("table_query_failed", error=str(error))
            return
        if isinstance(answer, TableAnswer) and answer.source is not None:
            table = self._translation.decode_table(answer.source)
            if isinstance(table, RoutingTable):
                self.take_table(table, origin="peer")

    def _on_peer_request(self, sender: str, message: Any, reply: Any) -> None:
        if isinstance(message, PlaceRequest):
            owner = self._engines.owner_by_engine.get(message.engine_id)
            if owner is None:
                reply(PlaceReply(message.ask_id, reason="no owner", not_owner=True))
            else:
                owner.ask(sender, message, reply)
        elif isinstance(message, TableQuery):
            reply(TableAnswer(self._table.source if self._table else None))
        else:
            self._journal.write("bad_message", sender=sender, type=type(message))

    def _on_peer_notice(self, sender: str, message: Any) -> None:
        if isinstance(message, GatewayStatus):
            self._fleet.on_status(sender, message, self.now())
            self._engines.tell_new_owners()
        elif isinstance(message, PlaceCancel):
            owner = self._engines.owner_by_engine.get(message.engine_id)
            if owner is not None:
                owner.cancel(message.ask_id)
        elif isinstance(message, PlaceRelease):
            owner = self._engines.owner_by_engine.get(message.engine_id)
            if owner is not None:
                owner.release(message)
        elif isinstance(message, PlaceHeld):
            owner = self._engines.owner_by_engine.get(message.engine_id)
            if owner is not None:
                owner.held(sender, message)
        elif isinstance(message, PlaceStarted):
            owner = self._engines.owner_by_engine.get(message.engine_id)
            if owner is not None:
                owner.started(message.ask_id)
        elif isinstance(message, EndpointNews):
            self._on_endpoint_news(message)
        elif isinstance(message, SuspectSeen):
            self._crashes.on_notice(message)

    def _tell_suspect(self, notice: SuspectSeen) -> None:
        self._links.notify_all(self._fleet.to_tell(self.now()), notice)

    # Servers.

    def _caller_limits(self) -> ServerLimits:
        if self._table is None:
            return ServerLimits()
        limits = self._table.limits
        return ServerLimits(
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            head_timeout_s=limits.head_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    async def _answer_directory(self, request: Request, responder: Responder) -> None:
        body = self._translation.directory_answer(
            request.target,
            self._addresses_for,
            min(DIRECTORY_TTL_S, self._node.bounds.directory_ttl_most_s),
        )
        if body is None:
            responder.answer(503, [(b"retry-after", b"1")], b"")
            return
        responder.answer(200, [(b"content-type", b"application/json")], body)

    def _addresses_for(self, failure_domain: str) -> list[tuple[str, int]]:
        """Return the addresses of serving VMs, near ones only if there are enough."""
        near: list[tuple[str, int]] = []
        others: list[tuple[str, int]] = []
        if self.serving():
            mine = near if failure_domain == self._node.failure_domain else others
            mine.append(self._node.callers)
        for status in self._fleet.serving(self.now()):
            group = near if status.failure_domain == failure_domain else others
            group.append((status.address, status.callers_port))
        return near if len(near) > 1 else near + others

    async def _answer_readiness(self, request: Request, responder: Responder) -> None:
        if not self._translation.is_readiness_query(request.target):
            responder.answer(404, [], b"")
        else:
            responder.answer(200 if self.serving() else 503, [], b"")

    async def _answer_watch(self, request: Request, responder: Responder) -> None:
        """Serve counters and, on request, the state of this process."""
        if request.target.startswith("/state"):
            kind, body = b"application/json", json.dumps(self.dump(), default=str)
            responder.answer(200, [(b"content-type", kind)], body.encode())
        elif request.target.startswith("/metrics"):
            kind = b"text/plain; version=0.0.4"
            responder.answer(200, [(b"content-type", kind)], self._metrics.expose())
        else:
            responder.answer(404, [], b"")

    def dump(self) -> dict[str, Any]:
        """Return the state of this process as JSON for operators."""
        now = self.now()
        return {
            "vm": self._node.name,
            "incarnation": self._incarnation,
            "serving": self.serving(),
            "stopping": self._stopping,
            "config_version": self._table.version if self._table else None,
            "generation": self._ownership.generation,
            "store_reachable": self._ownership.reachable,
            "peers": {
                vm_id: self._fleet.is_live(vm_id, now)
                for vm_id in self._fleet.peer_by_id
            },
            "endpoints": {
                endpoint_id: {"service": record.service, "ready": record.ready}
                for endpoint_id, record in self._endpoints.record_by_id.items()
            },
            "owner_by_engine": {
                engine_id: self._engines.owner_name(engine_id)
                for engine_id in self._endpoints.record_by_id
            },
            "owned_engines": [
                owner.status() for owner in self._engines.owner_by_engine.values()
            ],
            "requests_under_way": self._callers.busy,
            "idle_connections": self._endpoint_pool.idle_count(),
        }

    def _share_of(self, service: str) -> RetryShare:
        share = self._share_by_service.get(service)
        if share is None:
            bounds = self._node.bounds
            config = RetryShareConfig(
                ratio=bounds.retry_ratio,
                burst=bounds.retry_burst,
                window_s=bounds.retry_window_s,
            )
            share = RetryShare.from_config(config)
            share.fleet_size = self._fleet.size(self.now())
            self._share_by_service[service] = share
        return share
