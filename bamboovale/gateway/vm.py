"""An entry VM on the routed interface: builds its parts and runs them until stopped."""

import asyncio
import contextlib
import random
from dataclasses import asdict
from functools import partial
from typing import Any

from bamboovale.crashes.guard import CrashGuard
from bamboovale.crashes.records import RefusalRecords
from bamboovale.decisions.mechanisms import ALL_ON, Mechanisms
from bamboovale.decisions.planned_stop import PlannedStop
from bamboovale.gateway.access import AccessControl
from bamboovale.gateway.client_bounds import CALLERS, PEERS, ClientBounds
from bamboovale.gateway.drain import drain
from bamboovale.gateway.endpoint_access import EndpointAccess
from bamboovale.gateway.endpoints import EndpointChange
from bamboovale.gateway.engine_assignment import EngineAssignment
from bamboovale.gateway.engine_client import EngineClient
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.jobs import Job, Jobs
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.known_load_times import KnownLoadTimes
from bamboovale.gateway.model_calls import ModelCalls
from bamboovale.gateway.owner_context import OwnerContext
from bamboovale.gateway.ownership import Ownership, lease_clock
from bamboovale.gateway.peering import Peering
from bamboovale.gateway.plain_calls import PlainCalls
from bamboovale.gateway.pools import Pools
from bamboovale.gateway.ports import Ports
from bamboovale.gateway.quota_exchange import QuotaExchange
from bamboovale.gateway.records import Records
from bamboovale.gateway.request_handler import RequestHandler
from bamboovale.gateway.settings_watch import ReadSettings, SettingsWatch
from bamboovale.gateway.state_dump import (
    dump_engines,
    dump_era,
    dump_fleet,
    dump_quotas,
    dump_reads,
    dump_rests,
    dump_view,
)
from bamboovale.gateway.step_back import StepBack
from bamboovale.gateway.stop_clock import StopClock
from bamboovale.gateway.translation import Translation
from bamboovale.gateway.view_watch import ViewWatch
from bamboovale.gateway.vm_state import VMState
from bamboovale.http1.request import ServerLimits
from bamboovale.http1.server import Server
from bamboovale.metrics import Metrics
from bamboovale.peers.links import PeerLinks
from bamboovale.shared_places.exchange import SharedPlaceExchange
from bamboovale.store.lost_reads import LostReadDetector
from bamboovale.store.registration import Registration
from bamboovale.store.stall_records import StallRecords
from bamboovale.streams.call_streams import CallStreams

HOLD_OFF_S = 0.25
"""How long a new owner evicts nothing, beside the time in which gossip reaches every
VM: by then all VMs have notified it of their runs in flight."""
FLEET_TIMEOUT_S = 0.5
"""How long a starting VM waits for the addresses of the others before it may own
engines."""
FLEET_POLL_INTERVAL_S = 0.01
LEAVING_USE_SHARE = 0.4
"""Share of the time for which endpoints that leave still serve in which they are used
for streams that they alone can go on with: this VM hears later that they leave."""
LINKS_CLOSE_TIMEOUT_S = 0.2
"""Bounds the exit of the process when a peer does not answer the end of its link."""


class GatewayVM:
    """One entry VM; ``run`` returns once it was stopped and has drained."""

    def __init__(
        self,
        translation: Translation,
        metrics: Metrics,
        journal: Journal,
        peer_key: str,
        metrics_port: int,
        read_settings: ReadSettings,
        mechanisms: Mechanisms = ALL_ON,
        *,
        shares_places: bool = False,
    ) -> None:
        self.state = VMState(translation.node, journal)
        self._mechanisms = mechanisms
        self._translation = translation
        self._metrics = metrics
        self._rng = random.Random()
        self._bounds = ClientBounds(translation.node, journal, metrics)
        self._stop_event = asyncio.Event()
        self._stop_clock = StopClock(self.state.now)
        failures = metrics.gateway_task_failures
        self._jobs = Jobs(journal, lambda name: failures.labels(name).inc())
        self.settings_watch = SettingsWatch(
            self.state,
            read_settings,
            self._on_settings,
        )
        self._build_clients(peer_key)
        self._shared_places = SharedPlaceExchange(
            self.state,
            self.links,
            self._ownership,
            metrics.count_place,
            lambda service, totals: metrics.set_granted_places(
                service, {} if totals is None else asdict(totals)
            ),
            metrics.count_granter_unknown,
            is_on=shares_places,
        )
        self._build_parts()
        self.ports = Ports(
            self.state, translation, metrics, self.dump, metrics_port, self._bounds
        )
        self._callers = Server(
            self._request_handler.handle,
            self._caller_limits,
            self._request_handler.on_bad_request,
            self._bounds.memory,
            self._bounds.port(CALLERS),
        )
        self.state.endpoints.listen(self._on_endpoint)
        self.state.eras.listen(self._on_store_returned)

    # Construction.

    def _build_clients(self, peer_key: str) -> None:
        node = self.state.node
        self._pools = Pools(self.state, self._metrics, self._bounds)
        self._store = LostReadDetector(
            self._translation.store(
                self._pools.store,
                self.state.eras,
                lambda name: self._metrics.gateway_store_calls.labels(name).inc(),
            ),
            self.state.now,
        )
        self.links = PeerLinks(
            node.name,
            node.ip,
            node.peers_port,
            peer_key,
            self.state.fleet.address_of,
            self._metrics,
            self._bounds.sockets(PEERS),
            partial(self._bounds.on_dropped, PEERS),
            self._bounds.on_long_opening,
        )
        self._ownership = Ownership(
            node.name,
            node.store_limits.partitions,
            self._store,
            self.state.journal,
            engines_check_fencing=node.bounds.engines_check_fencing,
            settle_s=node.bounds.lease_s,
            on_change=lambda: self.peering.assign_engines(),
            may_own=self._may_own_engines,
            clock=lease_clock,
        )
        self._engines = Engines(
            node.name,
            self.state.fleet,
            self.links,
            self.state.now,
            limit_per_s=self.state.limits.limit_per_s,
        )
        calls = self._metrics.gateway_engine_calls
        self._load_times = KnownLoadTimes(self.state)
        self._owner_context = OwnerContext(
            client=EngineClient(
                self._pools.control,
                self._translation,
                node.name,
                self.state.signals.on_answer,
                lambda name, outcome: calls.labels(name, outcome).inc(),
                self.state.path_watch.on_failed,
            ),
            journal=self.state.journal,
            now=self.state.now,
            may_order=self._ownership.may_order,
            on_order=self._ownership.on_order,
            fence=self._ownership.fence,
            on_fenced=lambda record, token: self._assignment.on_fenced(record, token),
            on_restart=self.state.endpoints.on_restart,
            pool_stalled=lambda service: self._assignment.pool_stalled(service),
            limit_per_s=self.state.limits.limit_per_s,
            rest_s=lambda engine_id: self.state.rests.rest_s(
                engine_id, self.state.now()
            ),
            hold_off_s=lambda: HOLD_OFF_S + self.peering.gossip.spread_s(),
            load_times=self._load_times.of,
            mechanisms=self._mechanisms,
        )

    def _build_parts(self) -> None:
        self._crashes = CrashGuard(
            self.state.journal,
            self.state.endpoints,
            self.state.now,
            is_port_closed=lambda record: self._access.client.is_port_closed(record),
            broadcast=lambda news: self.peering.broadcast_crash(news),
            is_designated=self.state.fleet.is_designated,
            record=lambda refused: self._jobs.start(
                "refusal_record", partial(self._refusals.write, refused)
            ),
            count_event=lambda name: self._metrics.crash_events.labels(name).inc(),
        )
        self._refusals = RefusalRecords(
            self._translation.registration_topic,
            self._store,
            self.state.journal,
            on_read=self._crashes.on_record,
        )
        self._quotas = QuotaExchange(self.state, self.links, self._ownership)
        self._view_watch = ViewWatch(
            self.state,
            store_answered_at=lambda: self.peering.gossip.store_answered_at,
            announce=lambda: self.peering.announce(),
        )
        self._access = EndpointAccess.from_parts(
            self.state,
            self._translation,
            self._pools.endpoint,
            self.links,
            self._metrics,
            self._rng,
            self._bounds.memory,
            on_relayed_run_lost=self._crashes.look,
        )
        self._streams = CallStreams.from_parts(
            self.state,
            self.links,
            self._metrics,
            lambda: self.records.prove(),
            self._store,
            self._translation.streams_topic,
        )
        self._request_handler = self._build_request_handler()
        self._stall_records = StallRecords(
            self.state.node.name,
            self._translation.registration_topic,
            self._store,
            self.state.journal,
            on_read=lambda service: self._assignment.on_stall_record(service),
        )
        self._assignment = EngineAssignment(
            self.state,
            self._engines,
            self._ownership,
            self._owner_context,
            self._stall_records,
            self._load_times,
        )
        self.records = Records(
            self.state,
            self._translation,
            self._store,
            self._engines,
            on_table=lambda: self._on_table(),
            on_changed=lambda: self.peering.wake(),
            on_answer=lambda settled: self.peering.on_store_answer(settled=settled),
            config_poll_s=self._view_watch.poll_s,
            may_read_operator=self._view_watch.may_read,
            on_version=lambda news: self.peering.broadcast_version(news),
            on_heartbeat=self._crashes.on_heartbeat,
        )
        for follower in self.records.followers():
            self._metrics.watch_open_read(follower.topic, follower.open_read_s)
        self._metrics.watch_view_age(lambda: self.state.view.age_s(lease_clock()))
        self.peering = Peering(
            state=self.state,
            translation=self._translation,
            links=self.links,
            engines=self._engines,
            ownership=self._ownership,
            assignment=self._assignment,
            records=self.records,
            crashes=self._crashes,
            quotas=self._quotas,
            shared_places=self._shared_places,
            relay_server=self._access.relay_server,
            stream_starts=self._streams.exchange,
            on_reach_query=lambda query, reply: self.step_back.lost_engines.on_query(
                query, reply
            ),
        )
        self._registration = Registration(
            self.state,
            self._translation.registration_topic,
            self._store,
            [self._stall_records, self._refusals],
            on_contact=self.peering.wake,
        )
        self.step_back = StepBack.from_parts(
            self.state,
            self.peering,
            self._engines,
            self._access.client,
            self._ownership,
            self._store,
            self.links,
            self._rng,
        )

    def _build_request_handler(self) -> RequestHandler:
        self.state.retries.on_retry = self._metrics.count_retry
        client, gate = self._access.client, self._access.gate
        return RequestHandler(
            codec=self._translation,
            plain_calls=PlainCalls(
                client,
                self._translation,
                self.state.endpoints,
                gate,
                self.state.retries,
                self._crashes,
                self.state.now,
                self._rng,
                self._shared_places.client,
                self._metrics.count_plain_refusal,
            ),
            model_calls=ModelCalls(
                client,
                self._translation,
                self.state.endpoints,
                self._engines,
                gate,
                self.state.version_of,
                self.state.retries,
                self._streams,
                self._crashes,
                self.state.now,
                LEAVING_USE_SHARE * self.state.node.bounds.drain_s,
                lambda: self.state.planned_stop,
                self._mechanisms,
            ),
            access=AccessControl(
                self._translation,
                self.state.view,
                self._quotas.meter,
                clock=lease_clock,
                now=self.state.now,
                on_spent=self._quotas.on_spent,
            ),
            crashes=self._crashes,
            state=self.state,
            metrics=self._metrics,
            rng=self._rng,
        )

    # Lifecycle.

    async def run(self) -> None:
        """Serve until stopped; raises OSError if a port cannot be bound."""
        node = self.state.node
        await self._listen()
        self.state.journal.write(
            "started",
            incarnation=self.state.incarnation,
            failure_domain=node.failure_domain,
            first_start=node.first_start,
            callers_port=node.callers[1],
            peers_port=node.peers_port,
        )
        self._jobs.keep(self._background_tasks())
        await self._stop_event.wait()
        await drain(
            self.state,
            self._callers,
            self._ownership,
            self.peering,
            self._request_handler.end_calls,
            self._access.relay_server,
            self._request_handler.log_undelivered,
        )
        self.peering.announce_leaving()
        await asyncio.sleep(0)
        await self.close()
        self.state.journal.write("stopped")

    async def close(self) -> None:
        """Cancel all tasks and close all sockets at once."""
        self._jobs.cancel()
        for owner in self._engines.owner_by_engine.values():
            owner.stop()
        self._access.relay_server.close()
        self._shared_places.granter.close()
        self._callers.close()
        self.ports.close()
        self._pools.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LINKS_CLOSE_TIMEOUT_S):
                await self.links.close()

    async def _listen(self) -> None:
        messages = self.peering.messages
        await self.links.open(messages.on_request, messages.on_notice)
        await self.ports.listen()
        await self._callers.listen(*self.state.node.callers)

    def _background_tasks(self) -> dict[str, Job]:
        statuses = self.peering.status_exchange
        return {
            "stop_clock": self._stop_clock.watch,
            "operator_topic": self.records.operator.follow,
            "endpoints_topic": self.records.endpoints.follow,
            "expired_endpoints": self.state.endpoints.watch_expired,
            "settings_file": self.settings_watch.watch,
            "ownership": self._own_engines,
            "registration": self._registration.keep,
            "gossip_sent": self.peering.exchange_forever,
            "gossip_received": self.peering.poll_forever,
            "statuses": statuses.publish_statuses_forever,
            "loads": statuses.publish_loads_forever,
            "subscriptions": statuses.subscribe_forever,
            "view_watch": partial(self._view_watch.watch, self.records.operator),
            "quotas": self._quotas.exchange_forever,
            "stall_records": self._assignment.write_stall_records_forever,
            "stream_records_written": self._streams.records.write_forever,
            "stream_records_read": self._streams.records.read_forever,
            **self.step_back.watches(),
            **self._pools.sweeps(),
        }

    def stop(self) -> None:
        """Start the planned stop, dated by what the platform may count it from."""
        if self.state.planned_stop is None:
            self.state.planned_stop = PlannedStop.between(
                self._stop_clock.unasked_until,
                self.state.now(),
                self.state.node.bounds.grace_s,
            )
        self._stop_event.set()

    async def poll_engines(self) -> None:
        """Read the reports of all owned engines now."""
        for owner in list(self._engines.owner_by_engine.values()):
            await owner.poll()

    def reload(self) -> None:
        """Poll the settings file now."""
        version = self.state.table.version if self.state.table is not None else None
        self.state.journal.write("reload", config=version)
        self.settings_watch.poll()

    def _on_settings(self, before: Any, after: Any) -> None:
        """Apply changed settings; requests in flight keep the previous ones."""
        self._translation.node = after
        if after.store != before.store:
            self._pools.store.close()
        if after.bounds != before.bounds:
            self.state.set_retry_bounds()
        self._view_watch.update_bound()

    def _on_endpoint(self, change: EndpointChange) -> None:
        if change.record is None:
            self._pools.forget(change.endpoint_id)
            self.state.forget_endpoint(change.endpoint_id)
            self.peering.gossip.drop_endpoint(change.endpoint_id)
        else:
            self.peering.on_endpoint_known(change.endpoint_id)
        self._crashes.on_endpoint(change)
        self.peering.assign_engines()

    def _on_store_returned(self) -> None:
        """Write again what the store may have lost of what this VM wrote."""
        self._metrics.gateway_store_returns.inc()
        self._ownership.on_store_returned()
        self._registration.on_store_returned()
        self._stall_records.on_store_returned()
        self._crashes.on_store_returned()

    async def _own_engines(self) -> None:
        """Take part in ownership of engines, once the other VMs are known.

        Guards against all VMs of a large fleet joining the owners at a start: engines
        are reassigned with each VM that leaves again.
        """
        deadline = self.state.now() + FLEET_TIMEOUT_S
        while not self.state.knows_fleet and self.state.now() < deadline:
            await asyncio.sleep(FLEET_POLL_INTERVAL_S)
        # An error may have kept the engines of the last renewal from being assigned.
        self.peering.assign_engines()
        await self._ownership.renew_forever()

    def _on_table(self) -> None:
        self._view_watch.update_bound()
        assert self.state.table is not None
        self._quotas.apply_table(self.state.table)
        self.peering.assign_engines()
        self.peering.announce()

    def _may_own_engines(self) -> bool:
        return self.state.node.name in self.state.fleet.owner_candidates()

    def _caller_limits(self) -> ServerLimits:
        if self.state.table is None:
            return ServerLimits()
        limits = self.state.table.limits
        return ServerLimits(
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            head_timeout_s=limits.head_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of this process as JSON for operators."""
        return {
            **dump_fleet(self.state, self.peering.gossip),
            **dump_engines(self.state, self._engines),
            "view": dump_view(self.state.view),
            "quotas": dump_quotas(self._quotas, self.state.now()),
            "shared_places": self._shared_places.dump(),
            "limits": self.state.limits.dump(),
            "rests": dump_rests(self.state),
            "crashes": self._crashes.dump(),
            "brittle": self.state.brittle.dump(self.state.now()),
            "retries": self.state.retries.dump(),
            "paths": self.state.path_watch.paths.dump(self.state.now()),
            "store_reads": dump_reads(self.records.followers()),
            "store_era": dump_era(self.state.eras),
            "generation": self._ownership.generation,
            "store_reachable": self._ownership.reachable,
            "requests_under_way": self._callers.busy,
            "caller_connections": len(self._callers.connections),
            "held_by_clients_bytes": self._bounds.memory.held_bytes(),
            "relayed_under_way": len(self._access.relay_server),
            "idle_connections": self._pools.endpoint.idle_count(),
        }
