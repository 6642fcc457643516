"""The lease holder of one engine: the only actor that orders loads and evictions there.

:class:`EngineDispatch` makes the decisions; this actor passes it events (permit
requests of entry VMs, the engine's state, completed orders) and executes its actions.
"""

import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from typing import Any

from bamboovale.actors import MessageActor, Tick, tell
from bamboovale.decisions.dispatch import DispatchConfig, EngineDispatch
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.work import (
    EngineHint,
    Grant,
    Load,
    Permit,
    Refuse,
    RequestLoadGrant,
    ReturnLoadGrant,
    WorkItem,
)
from bamboovale.engines.client import EngineAddress
from bamboovale.engines.granted_loads import GrantedLoads, LoadGrants
from bamboovale.engines.messages import (
    CancelReceived,
    DumpState,
    EngineLeaving,
    EntryVMUnreachable,
    LoadGrantReceived,
    PermitRequestReceived,
    PermitsReported,
    ReleaseReceived,
    VersionChanged,
    ViewRead,
)
from bamboovale.engines.orders import LeasedOrders, OrderCompleted
from bamboovale.environment import Environment
from bamboovale.errors import ErrorCode, Refusal
from bamboovale.models import AdapterVersion, WorkClass
from bamboovale.peers.messages import PermitReply, PermitRequest

POLL_INTERVAL_S = 0.5
"""Interval at which the engine's state is read; bounds the detection of restarts."""

MAX_MISSED_POLLS = 2
"""Failed polls in a row after which the engine counts as unreachable; one failure may
be a lost packet."""

ORDER_THREADS = 3
"""One thread polls the state while two loads run."""


@dataclass
class WaitingRequest:
    """A permit request that waits for a place.

    ``last_seen_at`` is when its entry VM last sent or repeated it. ``stalled_since``
    is its arrival time if its adapter was not loaded then.
    """

    entry_vm: str
    ask_number: int
    last_seen_at: float
    reply: Callable[[PermitReply], None]
    stalled_since: float | None = None


class EngineHolder(MessageActor):
    """Runs the dispatch of one engine while this VM holds its lease."""

    def __init__(
        self,
        environment: Environment,
        engine: EngineAddress,
        config: DispatchConfig,
        policy: Policy,
        orders: LeasedOrders,
        load_grants: LoadGrants,
        on_hint: Callable[[EngineHint], None],
        log_is_down: Callable[[], bool],
    ) -> None:
        super().__init__(environment.metrics.internal_faults.inc)
        self._environment = environment
        self._engine = engine
        self._config = config
        self._dispatch = EngineDispatch.from_config(config, policy)
        self._orders = orders
        self._load_grants = load_grants
        self._on_hint = on_hint
        self._log_is_down = log_is_down
        self._queued_by_id: dict[str, WaitingRequest] = {}
        self._source_by_lora_name: dict[str, str] = {}
        self._executor = ThreadPoolExecutor(
            ORDER_THREADS,
            thread_name_prefix=f"orders-{engine.id}",
        )
        self._granted_loads = GrantedLoads(
            load_grants,
            self._executor,
            lambda order: self._orders.carry_out(self.actor_ref, order),
        )
        self._boot_id: str | None = None
        self._polling = False
        self._missed_polls = 0
        self._next_poll_at = 0.0
        self._next_hint_at = 0.0
        self._register_handlers()

    def _register_handlers(self) -> None:
        self.handle(Tick, self._on_tick)
        self.handle(PermitRequestReceived, self._on_request)
        self.handle(CancelReceived, self._on_cancel)
        self.handle(ReleaseReceived, self._on_release)
        self.handle(EntryVMUnreachable, self._on_entry_vm_unreachable)
        self.handle(PermitsReported, self._on_permits_reported)
        self.handle(ViewRead, self._on_view)
        self.handle(OrderCompleted, self._on_order_completed)
        self.handle(LoadGrantReceived, self._on_load_grant)
        self.handle(EngineLeaving, self._on_leaving)
        self.handle(VersionChanged, self._on_version_changed)
        self.handle(DumpState, self._on_dump)

    def on_start(self) -> None:
        """Evict nothing until the permits of the previous holder are used or expired.

        A permit that the previous holder granted may still be in flight. The engine
        does not report its run before it has started.
        """
        margin_s = self._environment.settings.lease_margin_s
        wait_s = self._config.send_within_s + margin_s
        now = self._now()
        self._dispatch.set_may_evict_from(now + wait_s)
        # After a hand-over the lease is not valid yet: new requests wait until it is.
        self._dispatch.set_may_grant(self._may_grant(), now)
        self._poll()

    def on_stop(self) -> None:
        """Refuse the waiting requests, so that they are sent to the next holder."""
        for request_id, queued in self._queued_by_id.items():
            queued.reply(
                _try_another_engine(request_id, "the lease on the engine has moved")
            )
        self._queued_by_id.clear()
        self._granted_loads.return_all()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _now(self) -> float:
        return self._environment.now()

    # Permit requests of entry VMs.

    def _on_request(self, received: PermitRequestReceived) -> None:
        request = received.request
        queued = self._queued_by_id.get(request.request_id)
        if queued is not None:
            queued.ask_number = max(queued.ask_number, request.ask_number)
            queued.last_seen_at = self._now()
            return
        if received.reply is None:
            return  # a repeat that crossed our reply
        if self._is_unreachable():
            received.reply(
                _try_another_engine(request.request_id, "the engine does not answer")
            )
            return
        now = self._now()
        self._queued_by_id[request.request_id] = WaitingRequest(
            entry_vm=received.from_vm,
            ask_number=request.ask_number,
            last_seen_at=now,
            reply=received.reply,
        )
        item = _work_item(request, received.from_vm, now)
        if item.target.lora_name not in self._dispatch.hint(now).loaded:
            self._queued_by_id[request.request_id].stalled_since = now
        self._source_by_lora_name[item.target.lora_name] = request.source
        self._execute(self._dispatch.on_request(item, now))

    def _on_cancel(self, message: CancelReceived) -> None:
        now = self._now()
        self._queued_by_id.pop(message.request_id, None)
        self._execute(self._dispatch.on_cancel(message.request_id, now))
        for permit in self._dispatch.permits().values():
            if permit.request_id == message.request_id:
                self._execute(self._dispatch.on_release(permit.permit_id, now))

    def _on_release(self, message: ReleaseReceived) -> None:
        if message.refused:
            # The engine restarted or lost the adapter: until the next poll, all grants
            # for it would be refused too.
            self._poll()
        self._execute(self._dispatch.on_release(message.permit_id, self._now()))

    def _on_entry_vm_unreachable(self, message: EntryVMUnreachable) -> None:
        for request_id, queued in list(self._queued_by_id.items()):
            if queued.entry_vm == message.entry_vm:
                self._drop(request_id)
        self._execute(self._dispatch.on_entry_gone(message.entry_vm, self._now()))

    def _on_permits_reported(self, message: PermitsReported) -> None:
        permits = list(message.permits)
        self._execute(self._dispatch.on_permits_adopted(permits, self._now()))

    def _drop_expired_requests(self, now: float) -> None:
        """Drop requests that their entry VM no longer repeats."""
        expired_before = now - self._config.send_within_s
        for request_id, queued in list(self._queued_by_id.items()):
            if queued.last_seen_at < expired_before:
                self._drop(request_id)
                self._execute(self._dispatch.on_cancel(request_id, now))

    def _is_unreachable(self) -> bool:
        return self._missed_polls >= MAX_MISSED_POLLS

    def _drop_queue(self) -> None:
        """Redirect requests that wait for an unreachable engine to other engines.

        Guards against long stalls: they would wait here for the engine's restart.
        """
        now = self._now()
        for request_id in list(self._queued_by_id):
            self._drop(request_id)
            self._execute(self._dispatch.on_cancel(request_id, now))

    def _drop(self, request_id: str) -> None:
        """Drop a request and reply, since its entry VM may still wait for it."""
        queued = self._queued_by_id.pop(request_id)
        queued.reply(
            _try_another_engine(
                request_id, "the engine or the entry VM does not respond"
            )
        )

    # The engine.

    def _on_tick(self, _: Tick) -> None:
        now = self._now()
        valid = self._orders.lease_valid()
        self._execute(self._dispatch.set_may_order(valid, now))
        self._execute(self._dispatch.set_may_grant(self._may_grant(), now))
        self._drop_expired_requests(now)
        self._execute(self._dispatch.on_tick(now))
        if now >= self._next_poll_at:
            self._poll()
        if now >= self._next_hint_at:
            self._next_hint_at = now + self._environment.settings.hint_interval_s
            self._on_hint(self._dispatch.hint(now))

    def _poll(self) -> None:
        if self._polling:
            return
        self._polling = True
        self._next_poll_at = self._now() + POLL_INTERVAL_S
        self._executor.submit(self._orders.read_view, self.actor_ref, ViewRead)

    def _on_view(self, message: ViewRead) -> None:
        self._polling = False
        view = message.view
        if view is None:
            self._missed_polls += 1
            if self._is_unreachable():
                self._drop_queue()
            return
        self._missed_polls = 0
        if view.boot_id != self._boot_id:
            logging.getLogger(__name__).info(
                "engine %s runs as boot %s (was %s)",
                self._engine.id,
                view.boot_id,
                self._boot_id,
            )
            self._boot_id = view.boot_id
        self._execute(self._dispatch.on_engine_view(view, self._now()))

    def _on_order_completed(self, completed: OrderCompleted) -> None:
        now = self._now()
        name = completed.lora_name
        if completed.order is Load:
            if completed.succeeded:
                self._execute(self._dispatch.on_loaded(name, now))
            else:
                self._execute(self._dispatch.on_load_failed(name, now, 0.0))
        elif completed.succeeded:
            self._execute(self._dispatch.on_unloaded(name, now))
        else:
            self._granted_loads.return_oldest()
            self._execute(self._dispatch.on_unload_failed(name, now))
        if not completed.succeeded:
            self._poll()

    def _on_load_grant(self, message: LoadGrantReceived) -> None:
        """Use a grant; the dispatch may load another adapter than requested."""
        self._granted_loads.add(message.grant)
        name = message.grant.lora_name
        self._execute(self._dispatch.on_load_grant(name, self._now()))

    def _on_leaving(self, _: EngineLeaving) -> None:
        self._execute(self._dispatch.set_leaving(self._now()))

    def _on_version_changed(self, message: VersionChanged) -> None:
        self._source_by_lora_name[message.lora_name] = message.source
        actions = self._dispatch.on_new_version(
            message.lora_name,
            message.source,
            message.replaced,
            self._now(),
        )
        self._execute(actions)

    def _on_dump(self, _: DumpState) -> dict[str, Any]:
        return self._dispatch.dump(self._now())

    # Actions.

    def _execute(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Grant):
                self._grant(action.permit)
            elif isinstance(action, Refuse):
                self._refuse(action.request_id, action.refusal)
            elif isinstance(action, RequestLoadGrant):
                self._load_grants.request(
                    self._engine.id, action.lora_name, action.weight
                )
            elif isinstance(action, ReturnLoadGrant):
                self._granted_loads.return_oldest()
            elif isinstance(action, Load):
                self._granted_loads.load(action)
            else:
                self._executor.submit(self._orders.carry_out, self.actor_ref, action)

    def _grant(self, permit: Permit) -> None:
        """Send the permit, unless its request or the lease has expired meanwhile."""
        queued = self._queued_by_id.pop(permit.request_id, None)
        now = self._now()
        if queued is None:
            self._discard_permit(permit)
            return
        expired = queued.last_seen_at < now - self._config.send_within_s
        if expired or not self._may_grant():
            self._discard_permit(permit)
            queued.reply(
                _try_another_engine(permit.request_id, "no place can be granted now")
            )
            return
        metrics = self._environment.metrics
        metrics.permits_granted.inc()
        if queued.stalled_since is not None:
            metrics.load_stall_seconds.observe(now - queued.stalled_since)
        stamped = replace(permit, ask_number=queued.ask_number)
        queued.reply(PermitReply(request_id=permit.request_id, permit=stamped))

    def _discard_permit(self, permit: Permit) -> None:
        # Sent as a message, since the dispatch is still processing its own actions.
        tell(self.actor_ref, ReleaseReceived(permit.permit_id))

    def _may_grant(self) -> bool:
        """Check the lease now: the VM may have been paused since its last tick."""
        return self._orders.lease_valid() or self._log_is_down()

    def _refuse(self, request_id: str, refusal: Refusal) -> None:
        queued = self._queued_by_id.pop(request_id, None)
        if queued is None:
            return
        self._environment.metrics.permits_refused.inc()
        queued.reply(
            PermitReply(
                request_id=request_id,
                code=refusal.code,
                reason=refusal.message,
                retry_after_s=refusal.retry_after_s,
                elsewhere=refusal.code is ErrorCode.DRAINING,
            )
        )


def _work_item(request: PermitRequest, entry_vm: str, now: float) -> WorkItem:
    return WorkItem(
        request_id=request.request_id,
        entry_vm=entry_vm,
        target=AdapterVersion(request.adapter, request.version),
        source=request.source,
        work_class=WorkClass(request.work_class),
        customer=request.customer,
        arrived_at=now,
        latest_start=now + request.starts_within_s,
        max_tokens=request.max_tokens,
        size_bytes=request.size_bytes,
        fingerprint=request.fingerprint,
        exclusive=request.exclusive,
    )


def _try_another_engine(request_id: str, reason: str) -> PermitReply:
    return PermitReply(
        request_id=request_id,
        code=ErrorCode.NO_ENDPOINT,
        reason=reason,
        retry_after_s=0.0,
        elsewhere=True,
    )
