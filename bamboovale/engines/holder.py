"""The lease holder of one engine: the only task that orders loads and evictions there.

The decisions are made by :class:`EngineDispatch`; this actor brings it the events
(asks of entry VMs, the engine's state, ends of orders) and carries out its actions.
"""

import logging
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from typing import Any, Protocol

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
from bamboovale.engines.messages import (
    AskReceived,
    CancelReceived,
    DumpState,
    EntryVMGone,
    LeavingSeen,
    PermitsReported,
    ReleaseReceived,
    TurnGiven,
    VersionChanged,
    ViewRead,
)
from bamboovale.engines.orders import LeasedOrders, OrderEnded
from bamboovale.environment import Environment
from bamboovale.errors import ErrorCode, Refusal
from bamboovale.models import AdapterVersion, WorkClass
from bamboovale.peers.messages import LoadTurnGiven, PermitAsk, PermitReply

VIEW_INTERVAL_S = 0.5
"""How often the engine's exact state is read: finds cold restarts within a second."""

MISSED_VIEWS = 2
"""Readings in a row without an answer after which nothing is queued here: about a
second. A restart takes several; one missed reading may be a lost packet."""

ORDER_THREADS = 3
"""One reads the state while two loads run, the store's full-speed number."""


class LoadTurns(Protocol):
    """Turns at the weight store, wherever their scheduler is."""

    def ask(self, engine_id: str, lora_name: str, weight: float) -> None:
        """Ask for a turn; :class:`TurnGiven` answers."""
        ...

    def end(self, turn: LoadTurnGiven, *, used: bool, loaded: bool) -> None:
        """Give a turn back."""
        ...


@dataclass
class QueuedAsk:
    """An ask that waits: the last time its entry VM showed that it still waits.

    ``stalled_since`` is when it came, if its adapter was not loaded then.
    """

    entry_vm: str
    ask_number: int
    heard_at: float
    reply: Callable[[PermitReply], None]
    stalled_since: float | None = None


class EngineHolder(MessageActor):
    """Owns the dispatch of one engine for as long as the lease is held."""

    def __init__(
        self,
        environment: Environment,
        engine: EngineAddress,
        config: DispatchConfig,
        policy: Policy,
        orders: LeasedOrders,
        load_turns: LoadTurns,
        on_hint: Callable[[EngineHint], None],
        log_is_down: Callable[[], bool],
    ) -> None:
        super().__init__(environment.metrics.internal_faults.inc)
        self._environment = environment
        self._engine = engine
        self._config = config
        self._dispatch = EngineDispatch.from_config(config, policy)
        self._orders = orders
        self._load_turns = load_turns
        self._turns: deque[LoadTurnGiven] = deque()
        self._on_hint = on_hint
        self._log_is_down = log_is_down
        self._queued_by_id: dict[str, QueuedAsk] = {}
        self._source_by_lora_name: dict[str, str] = {}
        self._executor = ThreadPoolExecutor(
            ORDER_THREADS,
            thread_name_prefix=f"orders-{engine.id}",
        )
        self._boot_id: str | None = None
        self._reading_view = False
        self._missed_views = 0
        self._next_view_at = 0.0
        self._next_hint_at = 0.0
        self._register_handlers()

    def _register_handlers(self) -> None:
        self.handle(Tick, self._on_tick)
        self.handle(AskReceived, self._on_ask)
        self.handle(CancelReceived, self._on_cancel)
        self.handle(ReleaseReceived, self._on_release)
        self.handle(EntryVMGone, self._on_entry_vm_gone)
        self.handle(PermitsReported, self._on_permits_reported)
        self.handle(ViewRead, self._on_view)
        self.handle(OrderEnded, self._on_order_ended)
        self.handle(TurnGiven, self._on_turn)
        self.handle(LeavingSeen, self._on_leaving)
        self.handle(VersionChanged, self._on_version_changed)
        self.handle(DumpState, self._on_dump)

    def on_start(self) -> None:
        """Evict nothing until every permit of the last holder has run out unsent.

        A permit that the last holder granted may still be on its way. Until its
        send-by time has passed, the engine's running list does not show it.
        """
        margin_s = self._environment.settings.lease_margin_s
        wait_s = self._config.send_within_s + margin_s
        now = self._now()
        self._dispatch.set_may_evict_from(now + wait_s)
        # After a hand-over the lease is not in force yet: what asks now waits for it.
        self._dispatch.set_may_grant(self._may_grant(), now)
        self._read_view()

    def on_stop(self) -> None:
        """Send what waits here to the next holder."""
        for request_id, queued in self._queued_by_id.items():
            queued.reply(_elsewhere(request_id, "the lease on the engine has moved"))
        self._queued_by_id.clear()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _now(self) -> float:
        return self._environment.now()

    # Asks of entry VMs.

    def _on_ask(self, received: AskReceived) -> None:
        ask = received.ask
        queued = self._queued_by_id.get(ask.request_id)
        if queued is not None:
            queued.ask_number = max(queued.ask_number, ask.ask_number)
            queued.heard_at = self._now()
            return
        if received.reply is None:
            return  # a repeat that crossed our answer
        if self._is_unreachable():
            received.reply(_elsewhere(ask.request_id, "the engine does not answer"))
            return
        now = self._now()
        self._queued_by_id[ask.request_id] = QueuedAsk(
            entry_vm=received.from_vm,
            ask_number=ask.ask_number,
            heard_at=now,
            reply=received.reply,
        )
        item = _work_item(ask, received.from_vm, now)
        if item.target.lora_name not in self._dispatch.hint(now).loaded:
            self._queued_by_id[ask.request_id].stalled_since = now
        self._source_by_lora_name[item.target.lora_name] = ask.source
        self._carry_out(self._dispatch.on_request(item, now))

    def _on_cancel(self, message: CancelReceived) -> None:
        now = self._now()
        self._queued_by_id.pop(message.request_id, None)
        self._carry_out(self._dispatch.on_cancel(message.request_id, now))
        for permit in self._dispatch.permits().values():
            if permit.request_id == message.request_id:
                self._carry_out(self._dispatch.on_release(permit.permit_id, now))

    def _on_release(self, message: ReleaseReceived) -> None:
        if message.refused:
            # The engine has restarted or lost the adapter; the next regular look may
            # be half a second away, and every grant until then would be refused too.
            self._read_view()
        self._carry_out(self._dispatch.on_release(message.permit_id, self._now()))

    def _on_entry_vm_gone(self, message: EntryVMGone) -> None:
        for request_id, queued in list(self._queued_by_id.items()):
            if queued.entry_vm == message.entry_vm:
                self._drop(request_id)
        self._carry_out(self._dispatch.on_entry_gone(message.entry_vm, self._now()))

    def _on_permits_reported(self, message: PermitsReported) -> None:
        permits = list(message.permits)
        self._carry_out(self._dispatch.on_permits_adopted(permits, self._now()))

    def _drop_silent_asks(self, now: float) -> None:
        """Drop asks whose entry VM stopped repeating them: it died or gave up."""
        silent_since = now - self._config.send_within_s
        for request_id, queued in list(self._queued_by_id.items()):
            if queued.heard_at < silent_since:
                self._drop(request_id)
                self._carry_out(self._dispatch.on_cancel(request_id, now))

    def _is_unreachable(self) -> bool:
        return self._missed_views >= MISSED_VIEWS

    def _send_queue_away(self) -> None:
        """Send what waits for an engine that is down to the others.

        It would wait here for the engine's restart and its loads, while other engines
        have places; callers see stalls of ten seconds and more.
        """
        now = self._now()
        for request_id in list(self._queued_by_id):
            self._drop(request_id)
            self._carry_out(self._dispatch.on_cancel(request_id, now))

    def _drop(self, request_id: str) -> None:
        """Stop queueing a request, and say so.

        An entry VM that seemed silent may only be slow, and would wait for nothing.
        """
        queued = self._queued_by_id.pop(request_id)
        queued.reply(_elsewhere(request_id, "the engine or the entry VM is silent"))

    # The engine.

    def _on_tick(self, _: Tick) -> None:
        now = self._now()
        valid = self._orders.allowed()
        self._carry_out(self._dispatch.set_may_order(valid, now))
        self._carry_out(self._dispatch.set_may_grant(self._may_grant(), now))
        self._drop_silent_asks(now)
        self._carry_out(self._dispatch.on_tick(now))
        if now >= self._next_view_at:
            self._read_view()
        if now >= self._next_hint_at:
            self._next_hint_at = now + self._environment.settings.hint_interval_s
            self._on_hint(self._dispatch.hint(now))

    def _read_view(self) -> None:
        if self._reading_view:
            return
        self._reading_view = True
        self._next_view_at = self._now() + VIEW_INTERVAL_S
        self._executor.submit(self._orders.read_view, self.actor_ref, ViewRead)

    def _on_view(self, message: ViewRead) -> None:
        self._reading_view = False
        view = message.view
        if view is None:
            self._missed_views += 1
            if self._is_unreachable():
                self._send_queue_away()
            return
        self._missed_views = 0
        if view.boot_id != self._boot_id:
            logging.getLogger(__name__).info(
                "engine %s runs as boot %s (was %s)",
                self._engine.id,
                view.boot_id,
                self._boot_id,
            )
            self._boot_id = view.boot_id
        self._carry_out(self._dispatch.on_engine_view(view, self._now()))

    def _on_order_ended(self, ended: OrderEnded) -> None:
        now = self._now()
        name = ended.lora_name
        if ended.order is Load:
            self._end_turn(used=ended.given, loaded=ended.succeeded)
            if ended.succeeded:
                self._carry_out(self._dispatch.on_loaded(name, now))
            else:
                self._carry_out(self._dispatch.on_load_failed(name, now, 0.0))
        elif ended.succeeded:
            self._carry_out(self._dispatch.on_unloaded(name, now))
        else:
            self._end_turn(used=False, loaded=False)
            self._carry_out(self._dispatch.on_unload_failed(name, now))
        if not ended.succeeded:
            self._read_view()

    def _on_turn(self, message: TurnGiven) -> None:
        """Use a turn; it may go to another adapter than it was asked for."""
        self._turns.append(message.turn)
        name = message.turn.lora_name
        self._carry_out(self._dispatch.on_load_grant(name, self._now()))

    def _end_turn(self, *, used: bool, loaded: bool) -> None:
        if self._turns:
            turn = self._turns.popleft()
            self._load_turns.end(turn, used=used, loaded=loaded)

    def _on_leaving(self, _: LeavingSeen) -> None:
        self._carry_out(self._dispatch.set_leaving(self._now()))

    def _on_version_changed(self, message: VersionChanged) -> None:
        self._source_by_lora_name[message.lora_name] = message.source
        actions = self._dispatch.on_new_version(
            message.lora_name,
            message.source,
            message.replaced,
            self._now(),
        )
        self._carry_out(actions)

    def _on_dump(self, _: DumpState) -> dict[str, Any]:
        return self._dispatch.dump(self._now())

    # Actions.

    def _carry_out(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Grant):
                self._grant(action.permit)
            elif isinstance(action, Refuse):
                self._refuse(action.request_id, action.refusal)
            elif isinstance(action, RequestLoadGrant):
                self._load_turns.ask(self._engine.id, action.lora_name, action.weight)
            elif isinstance(action, ReturnLoadGrant):
                self._end_turn(used=False, loaded=False)
            else:
                self._executor.submit(self._orders.carry_out, self.actor_ref, action)

    def _grant(self, permit: Permit) -> None:
        """Hand the permit out, unless either side was silent or paused meanwhile."""
        queued = self._queued_by_id.pop(permit.request_id, None)
        now = self._now()
        if queued is None:
            self._take_back(permit)
            return
        silent = queued.heard_at < now - self._config.send_within_s
        if silent or not self._may_grant():
            self._take_back(permit)
            queued.reply(_elsewhere(permit.request_id, "no place can be granted now"))
            return
        metrics = self._environment.metrics
        metrics.permits_granted.inc()
        if queued.stalled_since is not None:
            metrics.load_stall_seconds.observe(now - queued.stalled_since)
        stamped = replace(permit, ask_number=queued.ask_number)
        queued.reply(PermitReply(request_id=permit.request_id, permit=stamped))

    def _take_back(self, permit: Permit) -> None:
        # Not carried out inside the dispatch's own decision: told to ourselves.
        tell(self.actor_ref, ReleaseReceived(permit.permit_id))

    def _may_grant(self) -> bool:
        """Look at the clock itself: the VM may have been paused since its last tick."""
        return self._orders.allowed() or self._log_is_down()

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


def _work_item(ask: PermitAsk, entry_vm: str, now: float) -> WorkItem:
    return WorkItem(
        request_id=ask.request_id,
        entry_vm=entry_vm,
        target=AdapterVersion(ask.adapter, ask.version),
        source=ask.source,
        work_class=WorkClass(ask.work_class),
        customer=ask.customer,
        arrived_at=now,
        latest_start=now + ask.starts_within_s,
        max_tokens=ask.max_tokens,
        size_bytes=ask.size_bytes,
        fingerprint=ask.fingerprint,
        exclusive=ask.exclusive,
    )


def _elsewhere(request_id: str, reason: str) -> PermitReply:
    return PermitReply(
        request_id=request_id,
        code=ErrorCode.NO_ENDPOINT,
        reason=reason,
        retry_after_s=0.0,
        elsewhere=True,
    )
