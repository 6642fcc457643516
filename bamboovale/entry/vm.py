"""One entry VM: builds, starts, drains and stops its components."""

import logging
import time
from typing import Any

import pykka

from bamboovale.actors import TICK_S, Ticker, tell, tell_and_wait
from bamboovale.admin.app import AdministrationApp
from bamboovale.catalogue.actor import (
    CATALOGUE_STREAM,
    CatalogueActor,
    CatalogueBatchRead,
    CatalogueCallbacks,
    DumpCatalogue,
    PeerIsAhead,
    SnapshotRoleChanged,
)
from bamboovale.claims.actor import (
    CLAIM_STREAM,
    ClaimActor,
    ClaimBatchRead,
    DumpClaims,
)
from bamboovale.claims.answers import AnswerStore
from bamboovale.crashes.reporter import CrashReporter
from bamboovale.crashes.suspects import CrashNotice
from bamboovale.decisions.policy import Policy
from bamboovale.engines.client import VllmEngineClient
from bamboovale.engines.load_grant_router import LoadGrantRouter
from bamboovale.engines.load_grants import (
    DumpLoadGrants,
    LoadGrantActor,
    SchedulerLeaseChanged,
)
from bamboovale.entry.administration import Administration
from bamboovale.entry.caller_app_factory import CallerAppDependencies, build_caller_app
from bamboovale.entry.decision_facade import DecisionFacade
from bamboovale.entry.disconnects import DisconnectWatcher
from bamboovale.entry.endpoint_connections import EndpointConnections
from bamboovale.entry.engine_holders import EngineHolders, HolderCallbacks
from bamboovale.entry.holder_router import HolderRouter
from bamboovale.entry.http_server import HttpListener
from bamboovale.entry.idempotency_keys import IdempotencyKeyHandler
from bamboovale.entry.peer_client import PeerClient, read_crash_notice
from bamboovale.entry.peer_handler import PeerHandler, PeerTargets
from bamboovale.entry.permits import PermitClient
from bamboovale.entry.request_lifecycle import RequestLifecycle
from bamboovale.entry.state_dump import StateDump, as_json
from bamboovale.environment import Environment
from bamboovale.http_client import HttpClient
from bamboovale.leases.actor import MAX_START_BACKLOG, LeaseActor
from bamboovale.leases.messages import (
    LEASE_STREAM,
    WEIGHT_STORE,
    DumpLeases,
    HandOverAll,
    LeaseBatchRead,
    LeaseCallbacks,
)
from bamboovale.log_service.appender import Appender
from bamboovale.log_service.follower import LogHealth, StreamFollower
from bamboovale.log_service.log_client import LogClient, RecordBatch
from bamboovale.membership.actor import (
    DrainStarted,
    DumpMembership,
    HintUpdated,
    HolderStopped,
    MembershipActor,
    MembershipCallbacks,
    VMListReader,
    vm_list_callback,
)
from bamboovale.membership.vm_list import VMListClient
from bamboovale.peers.links import PeerLinks
from bamboovale.views import Views

NOTICE_STREAM = "notices"
"""Crash notices, for VMs that start later than the crash."""

LEASE_READ_PAUSE_S = 0.2
"""Pause between reads of lease records: well below the renewal interval, but long
enough for one read to return the records of several VMs."""

CATALOGUE_RECORDS_PER_READ = 2
"""Bounds the memory of a starting VM: one edit may set a thousand entries."""

ADMIN_THREADS = 6
DRAIN_POLL_INTERVAL_S = 0.05

logger = logging.getLogger(__name__)


class EntryVM:
    """Builds and connects the components of an entry VM."""

    def __init__(self, environment: Environment) -> None:
        settings = environment.settings
        self.environment = environment
        self.views = Views(now=environment.now)
        self._policy = Policy.from_name(settings.policy, settings.stall_weight)
        self._http = HttpClient(settings.address)
        self._log = LogClient(settings.log, self._http)
        self._health = LogHealth(environment.now)
        self._links = PeerLinks.from_settings(
            settings,
            lambda vm_id: self.views.membership.address_of(vm_id, "peers"),
            environment.metrics,
        )
        self._ticker = Ticker()
        self._engine_client = VllmEngineClient(self._http)
        self._connections = EndpointConnections(settings.address)
        self._disconnects = DisconnectWatcher()
        self._answers = AnswerStore()
        self.decisions = DecisionFacade(environment, self.views, self._policy)
        self._appender_by_stream = {
            stream: Appender(environment, self._log, stream)
            for stream in (CATALOGUE_STREAM, LEASE_STREAM, CLAIM_STREAM, NOTICE_STREAM)
        }
        self._holders = EngineHolders(
            environment,
            self.views,
            self._policy,
            self._engine_client,
            self._ticker,
        )
        self._peer_client = PeerClient(
            settings.id,
            self.views,
            self._links,
            self._answers,
        )
        self._load_grant_router = LoadGrantRouter(
            settings.id, self._links, self._holders
        )
        self._holder_callbacks = HolderCallbacks(
            load_grants=self._load_grant_router,
            on_hint=lambda hint: tell(self._membership, HintUpdated(hint)),
            on_started=self._request_permits_held,
            on_stopped=lambda engine_id: tell(
                self._membership,
                HolderStopped(engine_id),
            ),
        )
        self._start_actors()
        self._build_listeners()
        self._build_followers()

    # Building.

    def _start_actors(self) -> None:
        environment = self.environment
        self._membership = MembershipActor.start(
            environment,
            self.views,
            self._health,
            MembershipCallbacks(
                send=self._links.notify,
                on_change=self._on_views_change,
                on_peer_unreachable=self._holders.on_entry_vm_unreachable,
                on_peer_ahead=lambda vm_id, next_offset: tell(
                    self._catalogue,
                    PeerIsAhead(vm_id, next_offset),
                ),
                on_hint=self.decisions.on_hint,
                on_interval=self.decisions.on_tick,
            ),
        )
        self._load_grants = LoadGrantActor.start(
            environment,
            self.views,
            self._links.notify,
            self._load_grant_router.deliver,
        )
        self._load_grant_router.attach(self._load_grants)
        self._catalogue = CatalogueActor.start(
            environment,
            self.views,
            self._appender_by_stream[CATALOGUE_STREAM],
            CatalogueCallbacks(
                forward=self._peer_client.forward_records,
                ask_peer=lambda vm_id: self._peer_client.request_catalogue(
                    vm_id,
                    self._catalogue,
                ),
                seek=lambda offset: self._catalogue_follower.seek(offset),
                on_version_changed=self._holders.on_version_changed,
                on_change=self._on_views_change,
            ),
        )
        self._leases = LeaseActor.start(
            environment,
            self.views,
            self._appender_by_stream[LEASE_STREAM],
            self._health,
            LeaseCallbacks(
                on_held=self._on_lease_acquired,
                on_lost=self._on_lease_lost,
                on_valid=self._holders.wake,
            ),
        )
        self._claims = ClaimActor.start(
            environment,
            self._appender_by_stream[CLAIM_STREAM],
        )

    def _build_listeners(self) -> None:
        environment = self.environment
        settings = environment.settings
        routes = HolderRouter(settings.id, self.views, self._holders, self._links)
        self._permits = PermitClient(environment, routes)
        key_handler = IdempotencyKeyHandler(
            environment,
            self._claims,
            self._answers,
            self._peer_client.find_answer,
            lambda: self._health.reachable,
        )
        crash_reporter = CrashReporter(
            environment,
            self.views,
            self.decisions,
            self._engine_client,
            self._publish_crash,
        )
        self._caller_app = build_caller_app(
            CallerAppDependencies(
                environment=environment,
                views=self.views,
                decisions=self.decisions,
                permits=self._permits,
                connections=self._connections,
                disconnects=self._disconnects,
                lifecycle=RequestLifecycle(environment, self.decisions, key_handler),
                crash_reporter=crash_reporter,
            )
        )
        self._callers = HttpListener(
            "callers",
            (settings.address, settings.callers_port),
            self._caller_app,
            settings.caller_threads,
            settings.max_body_bytes,
        )
        administration = Administration(
            environment,
            self.views,
            self._catalogue,
            self._appender_by_stream[CATALOGUE_STREAM],
            self._links,
            self._build_state_dump(),
        )
        self._admin = HttpListener(
            "admin",
            (settings.address, settings.admin_port),
            AdministrationApp(administration, settings.admin_token),
            ADMIN_THREADS,
            max(settings.max_body_bytes, 16 * 1024 * 1024),
        )

    def _build_state_dump(self) -> StateDump:
        dump = StateDump(self.environment, self.views)
        dump.add_actor("membership", self._membership, DumpMembership())
        dump.add_actor("catalogue", self._catalogue, DumpCatalogue())
        dump.add_actor("leases", self._leases, DumpLeases())
        dump.add_actor("claims", self._claims, DumpClaims())
        dump.add_actor("load_turns", self._load_grants, DumpLoadGrants())
        dump.add("engines", self._holders.dump)
        dump.add("decisions", self.decisions.dump)
        dump.add("permits_in_use", lambda: self._permits.held_count())
        dump.add("links", lambda: as_json(self._links.link_states()))
        dump.add(
            "hints",
            lambda: {
                engine_id: {"from": hint.from_vm, **as_json(hint.hint)}
                for engine_id, hint in sorted(self.views.hint_by_engine.items())
            },
        )
        return dump

    def _build_followers(self) -> None:
        self._list_reader = VMListReader(
            VMListClient(self.environment.settings.vms, self._http),
            vm_list_callback(self._membership),
        )

        def follow(stream: str, on_batch: Any, **more: Any) -> StreamFollower:
            return StreamFollower(
                self.environment,
                self._log,
                self._health,
                stream,
                on_batch,
                **more,
            )

        self._catalogue_follower = follow(
            CATALOGUE_STREAM,
            lambda batch, _: tell_and_wait(self._catalogue, CatalogueBatchRead(batch)),
            limit=CATALOGUE_RECORDS_PER_READ,
        )
        self._followers = [
            self._catalogue_follower,
            follow(
                LEASE_STREAM,
                lambda batch, at: tell(self._leases, LeaseBatchRead(batch, at)),
                max_backlog=MAX_START_BACKLOG,
                pace_s=LEASE_READ_PAUSE_S,
            ),
            follow(
                CLAIM_STREAM,
                lambda batch, _: tell(self._claims, ClaimBatchRead(batch)),
            ),
            follow(NOTICE_STREAM, lambda batch, _: self._read_crashes(batch)),
        ]

    # Start, drain, stop.

    def start(self) -> None:
        """Open the ports and start all threads; raises OSError for a port in use."""
        handler = PeerHandler(
            self.views,
            PeerTargets(
                catalogue=self._catalogue,
                membership=self._membership,
                load_grants=self._load_grants,
                holders=self._holders,
                permits=self._permits,
                decisions=self.decisions,
                answers=self._answers,
                deliver_load_grant=self._load_grant_router.deliver,
            ),
        )
        self._links.start(handler.on_request, handler.on_notice)
        self._callers.start()
        self._admin.start()
        self._disconnects.start()
        self._list_reader.start()
        for follower in self._followers:
            follower.start()
        self._ticker.add(self._leases, TICK_S)
        for actor in (
            self._membership,
            self._load_grants,
            self._catalogue,
            self._claims,
        ):
            self._ticker.add(actor)
        self._ticker.start()

    def drain(self) -> bool:
        """Finish all requests before a stop; return False if time ran out.

        Callers may cache the answer of ``GET /v1/entries``, so requests are accepted
        until the last such answer has expired.
        """
        settings = self.environment.settings
        self.environment.metrics.drains.inc()
        logger.info("draining")
        self.views.draining = True
        tell(self._membership, DrainStarted())
        tell(self._leases, HandOverAll())
        time.sleep(settings.entries_ttl_s + settings.hint_interval_s)
        self._caller_app.stopping = True
        give_up_at = self.environment.now() + settings.drain_timeout_s
        while self._caller_app.running and self.environment.now() < give_up_at:
            time.sleep(DRAIN_POLL_INTERVAL_S)
        return not self._caller_app.running

    def stop(self) -> None:
        """Stop all threads and actors and close all connections."""
        for follower in self._followers:
            follower.stop()
        self._list_reader.stop()
        self._ticker.stop()
        self._callers.stop()
        self._admin.stop()
        self._holders.stop_all()
        for appender in self._appender_by_stream.values():
            appender.stop()
        self._links.stop()
        pykka.ActorRegistry.stop_all(block=True, timeout=2.0)
        self._disconnects.stop()
        self._connections.close()
        self._http.close()

    # Callbacks between the components; called on their threads, must not block.

    def _on_views_change(self) -> None:
        self.decisions.on_membership()
        self._holders.on_membership()

    def _on_lease_acquired(self, engine_id: str, fencing: int, valid: Any) -> None:
        if engine_id == WEIGHT_STORE:
            tell(self._load_grants, SchedulerLeaseChanged(fencing, valid))
            tell(self._catalogue, SnapshotRoleChanged(is_writer=True))
            return
        self._holders.start(engine_id, fencing, valid, self._holder_callbacks)

    def _on_lease_lost(self, engine_id: str) -> None:
        if engine_id == WEIGHT_STORE:
            tell(self._load_grants, SchedulerLeaseChanged(None, lambda: False))
            tell(self._catalogue, SnapshotRoleChanged(is_writer=False))
            return
        self._holders.stop(engine_id, self._holder_callbacks)

    def _request_permits_held(self, engine_id: str) -> None:
        holder = self._holders.find(engine_id)
        if holder is not None:
            held = self._permits.permits_on(engine_id)
            self._peer_client.request_permits(engine_id, held, holder)

    def _publish_crash(self, notice: CrashNotice) -> None:
        appender = self._appender_by_stream[NOTICE_STREAM]
        self._peer_client.publish_crash(notice, appender.append)

    def _read_crashes(self, batch: RecordBatch) -> None:
        for record in batch.records:
            notice = read_crash_notice(record.value)
            if notice is not None:
                self.decisions.on_crash(notice)
