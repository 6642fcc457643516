"""Owner of one engine: carries out the decisions of ``EnginePlaces``."""

import asyncio
from collections.abc import Callable

from bamboovale.decisions.adapter_slot import RUN_REPORT_LAG_S
from bamboovale.decisions.engine_places import EnginePlaces
from bamboovale.decisions.place_work import (
    Action,
    EngineCapacity,
    Grant,
    OrderLoad,
    OrderUnload,
    QueuedRequest,
    RefusalReason,
    Refuse,
    ReportedState,
)
from bamboovale.gateway.engine_client import EngineCallFailed
from bamboovale.gateway.jobs import Job, keep_running
from bamboovale.gateway.messages import (
    EngineLoad,
    EngineStatus,
    PlaceHeld,
    PlaceRelease,
    PlaceReply,
    PlaceRequest,
)
from bamboovale.gateway.model import EndpointRecord, EngineReport, OrderOutcome
from bamboovale.gateway.order_sender import OrderSender
from bamboovale.gateway.owner_context import OwnerContext
from bamboovale.gateway.report_schedule import ReportSchedule

IDLE_POLL_INTERVAL_S = 2.0
"""Poll interval while nothing is expected: detects evicted adapters and orders of
another owner. Each report is a priced call."""
MODEL_LOADING_POLL_INTERVAL_S = 0.2
"""Poll interval while a base model is loading, which takes seconds."""
FAILED_POLL_INTERVAL_S = 0.25
"""Poll interval after a failed report: an engine restarts within seconds."""
CONFLICT_POLL_DELAY_S = 0.12
"""Longer than the lag of reports: one read sooner after a conflict would still contain
the order number that was refused."""
LOG_INTERVAL_S = 1.0
"""Interval of log lines on an engine's load."""
TIMER_SLACK_S = 0.002
"""Timers may fire slightly early relative to the clock."""
TICK_INTERVAL_S = 0.1
"""Interval at which queued requests that cannot start in time are refused."""

Reply = Callable[[PlaceReply], None]


class EngineOwner:
    """Owns one engine while the lease lasts."""

    def __init__(
        self,
        record: EndpointRecord,
        capacity: EngineCapacity,
        context: OwnerContext,
    ) -> None:
        self.record = record
        self.places = EnginePlaces(capacity, context.mechanisms)
        self.places.may_evict_from = context.now() + context.hold_off_s()
        self.reachable = True
        self._context = context
        self._reply_by_ask: dict[str, Reply] = {}
        self._orders = OrderSender(
            lambda: self.record, context, lambda: self.places.slots.free()
        )
        self._reports = ReportSchedule(context.now)
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    def start(self) -> None:
        """Start polling reports, deciding and logging."""
        self._seed_load_times()
        self._keep("engine_reports", self._poll_forever)
        self._keep("engine_ticks", self._tick_forever)
        self._keep("engine_log", self._log_forever)

    def stop(self) -> None:
        """Cancel all tasks; replies to queued requests that the owner changed."""
        for task in list(self._tasks):
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        for ask_id, reply in list(self._reply_by_ask.items()):
            reply(PlaceReply(ask_id, reason="not the owner", not_owner=True))
        self._reply_by_ask.clear()

    def seed_run_speed(self, status: EngineStatus | None) -> None:
        """Start from the run speed in the last status of the previous owner."""
        if status is not None:
            speed = self.places.runs.speed
            speed.seed(status.s_per_output_token, status.run_s)

    # Requests of entry VMs.

    def request_place(self, entry_vm: str, request: PlaceRequest, reply: Reply) -> None:
        """Grant or refuse a place, now or later."""
        now = self._context.now()
        queued = QueuedRequest(
            ask_id=request.ask_id,
            entry_vm=entry_vm,
            model=request.model,
            adapter=request.adapter,
            version=request.version,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            rank=request.rank,
            goal_at=now + request.goal_within_s,
            latest_start=now + request.starts_within_s,
            pause_s=request.pause_s,
            entry_start=request.start,
        )
        if not self.reachable:
            reply(PlaceReply(queued.ask_id, reason="engine is lost", not_owner=True))
            return
        self._reply_by_ask[queued.ask_id] = reply
        self._apply_limit(now)
        self._carry_out(self.places.on_request(queued, now))

    def cancel(self, ask_id: str) -> None:
        """Drop a queued request."""
        self._reply_by_ask.pop(ask_id, None)
        self._carry_out(self.places.on_cancel(ask_id, self._context.now()))

    def on_started(self, ask_id: str) -> None:
        """Record that the first event of a run was received."""
        self.places.on_started(ask_id, self._context.now())

    def on_paused(self, ask_id: str, pause_s: float) -> None:
        """Record a long pause of a run's stream."""
        now = self._context.now()
        detector = self.places.pacing.stall_detector
        before = detector.is_stalled()
        self.places.on_stall(ask_id, pause_s, now)
        if detector.is_stalled() and not before:
            self._context.journal.write(
                "engine_held_up",
                engine=self.record.endpoint_id,
                ask=ask_id,
                pause_s=round(pause_s, 3),
                **self.places.summary(now),
            )

    def on_held(self, entry_vm: str, held: PlaceHeld) -> None:
        """Record a run in flight whose place the previous owner granted."""
        now = self._context.now()
        running = QueuedRequest(
            ask_id=held.ask_id,
            entry_vm=entry_vm,
            model=held.model,
            adapter=held.adapter,
            version=held.version,
            prompt_tokens=held.prompt_tokens,
            output_tokens=held.output_tokens,
            rank=0,
            goal_at=now,
            latest_start=now,
            pause_s=held.pause_s,
            entry_start=held.start,
        )
        self.places.adopt_place(running, held.version, now)

    def release(self, notice: PlaceRelease) -> None:
        """Free a place, after the run ended, was refused or was aborted."""
        ask_id = notice.ask_id
        now = self._context.now()
        if notice.refused:
            not_held = notice.not_held
            actions = self.places.on_run_refused(ask_id, now, not_held=not_held)
            self._carry_out(actions)
            self._reports.read_by(now)
        else:
            aborted = notice.aborted
            self._carry_out(self.places.on_release(ask_id, now, aborted=aborted))
            if aborted:
                self._reports.read_by(now + 2 * RUN_REPORT_LAG_S)

    def on_entry_gone(self, entry_vm: str, before_start: int | None = None) -> None:
        """Free the places of an entry VM, or of its processes before a start."""
        actions = self.places.on_entry_gone(
            entry_vm, self._context.now(), before_start=before_start
        )
        self._carry_out(actions)

    def note_version(self, model: str, adapter: str, version: int) -> None:
        """Set the newest version of an adapter."""
        now = self._context.now()
        self.places.slots.note_version((model, adapter), version, now)
        self._carry_out(self.places.decide(now))

    def status(self) -> EngineStatus:
        """Return the engine status for publication."""
        snapshot = self.places.snapshot(self._context.now())
        return EngineStatus(
            engine_id=self.record.endpoint_id,
            fence=self._orders.fence(),
            loaded=tuple((*key, v) for key, v in snapshot.loaded.items()),
            coming=tuple((*key, v) for key, v in snapshot.coming.items()),
            models=snapshot.models,
            active=snapshot.active,
            places=snapshot.places,
            queued=snapshot.queued,
            backlog_s=round(snapshot.backlog_s, 3),
            open_slots=snapshot.open_slots,
            kept=snapshot.kept,
            s_per_token=snapshot.s_per_token,
            held_up=snapshot.held_up,
            answers=self.reachable,
            load_s=round(snapshot.load_s, 3),
            cached_load_s=round(snapshot.cached_load_s, 3),
            free_slots=snapshot.free_slots,
            s_per_output_token=snapshot.s_per_output_token,
            run_s=snapshot.run_s,
        )

    def load(self) -> EngineLoad:
        """Return the engine's load for publication."""
        snapshot = self.places.snapshot(self._context.now())
        return EngineLoad(
            engine_id=self.record.endpoint_id,
            active=snapshot.active,
            queued=snapshot.queued,
            backlog_s=round(snapshot.backlog_s, 3),
            open_slots=snapshot.open_slots,
            free_slots=snapshot.free_slots,
        )

    # Actions.

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Grant):
                self._reply(
                    action.request,
                    PlaceReply(
                        action.request.ask_id,
                        action.version,
                        confirmed=action.confirmed,
                        paced_s=round(action.paced_s, 4),
                    ),
                )
            elif isinstance(action, Refuse):
                self._refuse(action)
            else:
                self._spawn(self._order(action, self._orders.accepted_orders()))
        self._schedule_decision(self._context.now())

    def _reply(self, request: QueuedRequest, reply: PlaceReply) -> None:
        send_reply = self._reply_by_ask.pop(request.ask_id, None)
        if send_reply is not None:
            send_reply(reply)

    def _refuse(self, refusal: Refuse) -> None:
        self._context.journal.write(
            "place_refused",
            engine=self.record.endpoint_id,
            ask=refusal.request.ask_id,
            adapter=refusal.request.adapter,
            reason=refusal.reason.name.lower(),
            queued=self.places.queue_length(),
        )
        reply = PlaceReply(
            refusal.request.ask_id,
            reason=refusal.reason.name.lower(),
            retry_after_s=refusal.retry_after_s,
            not_owner=refusal.reason is RefusalReason.CANNOT_LOAD,
        )
        self._reply(refusal.request, reply)

    async def _order(
        self, action: OrderLoad | OrderUnload, expected: int | None
    ) -> None:
        """Send an order and apply its outcome."""
        result = await self._orders.send(action, expected)
        now = self._context.now()
        if result.is_done:
            at_once = result.outcome is OrderOutcome.HOLDS
            actions = self.places.on_order_done(action, now, at_once=at_once)
            self._carry_out(actions)
            self._poll_at_load_end(now)
            return
        if result.outcome is OrderOutcome.GONE:
            self._on_engine_unreachable()
        self.places.on_order_failed(action, certain=result.is_certain)
        self._reports.read_by(now + CONFLICT_POLL_DELAY_S)

    # Reports.

    async def _poll_forever(self) -> None:
        while True:
            succeeded = await self.poll()
            await self._reports.wait(self._poll_interval_s(succeeded))

    def _poll_interval_s(self, succeeded: bool) -> float:
        if not succeeded:
            return FAILED_POLL_INTERVAL_S
        if self.places.loads_model():
            return MODEL_LOADING_POLL_INTERVAL_S
        now = self._context.now()
        report_at = self.places.next_report_at(now)
        return IDLE_POLL_INTERVAL_S if report_at is None else report_at - now

    async def poll(self) -> bool:
        """Read and apply one report; returns False if there was none to apply.

        None is read while the engine wants no requests from this VM.
        """
        if self._context.rest_s(self.record.endpoint_id) > 0.0:
            return False
        requested_at = self._context.now()
        try:
            report = await self._context.client.report(self.record)
        except EngineCallFailed as error:
            self._context.journal.write(
                "report_failed",
                engine=self.record.endpoint_id,
                error=str(error),
            )
            if error.unreachable:
                self._on_engine_unreachable()
            return False
        if not self._is_from_same_start(report):
            return False
        self.reachable = True
        missing_orders = self._orders.on_report(report.orders)
        state = state_from_report(report, requested_at, missing_orders)
        self.places.may_order = self._orders.may_order()
        self._carry_out(self.places.on_report(state, self._context.now()))
        return True

    def _is_from_same_start(self, report: EngineReport) -> bool:
        """Return whether the report is from the engine start in the owned record.

        Guards against an engine that restarted before its record changed: it holds no
        adapters and has reset its order count.
        """
        started_ms = report.started_ms
        if started_ms is None or started_ms == self.record.started_ms:
            return True
        self._context.journal.write(
            "report_of_another_start",
            engine=self.record.endpoint_id,
            born_ms=started_ms,
        )
        if started_ms > (self.record.started_ms or 0):
            self._context.on_restart(self.record, started_ms)
        return False

    async def _log_forever(self) -> None:
        """Log the engine's load at intervals, to explain why requests were queued."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_S)
            self._context.journal.write(
                "engine",
                engine=self.record.endpoint_id,
                **self.places.summary(self._context.now()),
            )

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            pool_stalled = self._context.pool_stalled(self.record.service)
            self.places.pacing.pool_stalled = pool_stalled
            self.places.may_order = self._orders.may_order()
            self._apply_limit(self._context.now())
            self._seed_load_times()
            if self.places.queue_length():
                self._carry_out(self.places.decide(self._context.now()))

    def _seed_load_times(self) -> None:
        """Start from the load times that other owners know, until one is learned."""
        times = self.places.slots.times
        if not times.is_known:
            times.seed(*self._context.load_times(self.record))

    def _apply_limit(self, now: float) -> None:
        limit_per_s = self._context.limit_per_s(self.record.endpoint_id)
        self.places.set_limit(limit_per_s, now)

    def _poll_at_load_end(self, now: float) -> None:
        """Poll when the load just ordered should show in a report."""
        report_at = self.places.next_report_at(now)
        if report_at is not None:
            self._reports.read_by(report_at)

    def _schedule_decision(self, now: float) -> None:
        """Schedule the next decision, when a load should end or a prompt may start."""
        at = self.places.next_decision_at()
        if at is None or (self._timer is not None and self._timer_at <= at):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = at
        delay_s = max(0.0, at - now) + TIMER_SLACK_S
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._carry_out(self.places.decide(self._context.now()))

    def _on_engine_unreachable(self) -> None:
        """Refuse queued requests, so that they are sent to other engines."""
        self.reachable = False
        for ask_id, reply in list(self._reply_by_ask.items()):
            self.places.on_cancel(ask_id, self._context.now())
            reply(PlaceReply(ask_id, reason="engine is lost", not_owner=True))
        self._reply_by_ask.clear()

    def _keep(self, name: str, job: Job) -> None:
        name = f"{name} {self.record.endpoint_id}"
        self._spawn(keep_running(name, job, self._context.journal))

    def _spawn(self, job: "object") -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(job)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def state_from_report(
    report: EngineReport, read_at: float, missing_orders: int
) -> ReportedState:
    """Convert an engine's report into the input of the decisions."""
    return ReportedState(
        version_by_model={model.name: model.version for model in report.models},
        version_by_adapter={
            (model.name, adapter): version
            for model in report.models
            for adapter, version in model.version_by_adapter.items()
        },
        loading=report.loading,
        active=report.active,
        read_at=read_at,
        running=report.running,
        missing_orders=missing_orders,
        busy=report.busy,
    )
