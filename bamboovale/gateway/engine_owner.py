"""The task of one engine at its owner: carries out what ``EnginePlaces`` decides."""

import asyncio
from collections.abc import Callable

from bamboovale.decisions.adapter_slots import RUN_REPORT_LAG_S
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
from bamboovale.gateway.engine_orders import EngineCallFailed
from bamboovale.gateway.messages import (
    EngineLoad,
    EngineStatus,
    PlaceHeld,
    PlaceRelease,
    PlaceReply,
    PlaceRequest,
)
from bamboovale.gateway.model import EndpointRecord, EngineReport, OrderOutcome
from bamboovale.gateway.order_giver import OrderGiver
from bamboovale.gateway.owner_context import OwnerContext

REPORT_IDLE_S = 2.0
"""Between reports while nothing is expected: finds an adapter that was evicted or an
order that another owner gave. Each report is a priced call."""
REPORT_LOADING_S = 0.06
"""Between reports while a load is about to end: requests wait for it."""
REPORT_MODEL_S = 0.2
"""Between reports while a base model is loaded, which takes 0.6 to 5.7 s."""
FAILED_PAUSE_S = 0.25
"""After a report that failed: an engine that restarts is back within seconds, and each
try is a priced call."""
CONFLICT_PAUSE_S = 0.12
"""An engine's report lags by some 100 ms: read sooner after a conflict, it would name
the order number that has just been refused."""
LOG_S = 1.0
"""Between two lines on how full an engine is: one engine's lines are a hundredth of the
lines on its requests at 100 requests a second."""
READY_SLACK_S = 0.002
"""Timers may fire a little early against the clock."""
TICK_S = 0.1
"""How often hopeless waits are refused."""

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
        self.answers = True
        self._context = context
        self._reply_by_ask: dict[str, Reply] = {}
        self._orders = OrderGiver(
            lambda: self.record, context, lambda: self.places.slots.free()
        )
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._look_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    def start(self) -> None:
        """Begin to read reports."""
        self._spawn(self._look_forever())
        self._spawn(self._tick_forever())
        self._spawn(self._tell_forever())

    def stop(self) -> None:
        """End all tasks; whoever waits is told to ask the next owner."""
        for task in list(self._tasks):
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        for ask_id, reply in list(self._reply_by_ask.items()):
            reply(PlaceReply(ask_id, reason="not the owner", not_owner=True))
        self._reply_by_ask.clear()

    # Requests of entry VMs.

    def ask(self, entry_vm: str, request: PlaceRequest, reply: Reply) -> None:
        """Decide on a request for a place, now or later."""
        now = self._context.now()
        ask = QueuedRequest(
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
        )
        if not self.answers:
            reply(PlaceReply(ask.ask_id, reason="engine is lost", not_owner=True))
            return
        self._reply_by_ask[ask.ask_id] = reply
        self._carry_out(self.places.on_request(ask, now))

    def cancel(self, ask_id: str) -> None:
        """Drop a request."""
        self._reply_by_ask.pop(ask_id, None)
        self._carry_out(self.places.on_cancel(ask_id, self._context.now()))

    def started(self, ask_id: str) -> None:
        """Note the first event of a run."""
        self.places.on_started(ask_id, self._context.now())

    def paused(self, ask_id: str, pause_s: float) -> None:
        """Note a long pause of a run's stream."""
        now = self._context.now()
        evidence = self.places.pacing.stall_detector
        before = evidence.is_stalled()
        self.places.on_stall(ask_id, pause_s, now)
        if evidence.is_stalled() and not before:
            self._context.journal.write(
                "engine_held_up",
                engine=self.record.endpoint_id,
                ask=ask_id,
                pause_s=round(pause_s, 3),
                **self.places.summary(now),
            )

    def held(self, entry_vm: str, held: PlaceHeld) -> None:
        """Take over a run that an entry VM has under way."""
        now = self._context.now()
        ask = QueuedRequest(
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
        )
        self.places.adopt_place(ask, held.version, now)

    def release(self, notice: PlaceRelease) -> None:
        """Free a place."""
        ask_id = notice.ask_id
        now = self._context.now()
        if notice.refused:
            not_held = notice.not_held
            actions = self.places.on_run_refused(ask_id, now, not_held=not_held)
            self._carry_out(actions)
            self._look_by(now)
        else:
            aborted = notice.aborted
            self._carry_out(self.places.on_release(ask_id, now, aborted=aborted))
            if aborted:
                self._look_by(now + 2 * RUN_REPORT_LAG_S)

    def entry_gone(self, entry_vm: str) -> None:
        """Free what a dead entry VM held."""
        self._carry_out(self.places.on_entry_gone(entry_vm, self._context.now()))

    def note_version(self, model: str, adapter: str, version: int) -> None:
        """Learn of a new version."""
        now = self._context.now()
        self.places.slots.note_version((model, adapter), version, now)
        self._carry_out(self.places.decide(now))

    def status(self) -> EngineStatus:
        """Return what peers are told."""
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
            answers=self.answers,
        )

    def load(self) -> EngineLoad:
        """Return how busy the engine is."""
        snapshot = self.places.snapshot(self._context.now())
        return EngineLoad(
            engine_id=self.record.endpoint_id,
            active=snapshot.active,
            queued=snapshot.queued,
            backlog_s=round(snapshot.backlog_s, 3),
            open_slots=snapshot.open_slots,
        )

    # Carrying out.

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Grant):
                self._tell(
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
                self._spawn(self._order(action))
        self._decide_again(self._context.now())

    def _tell(self, ask: QueuedRequest, reply: PlaceReply) -> None:
        waiting = self._reply_by_ask.pop(ask.ask_id, None)
        if waiting is not None:
            waiting(reply)

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
        self._tell(refusal.request, reply)

    async def _order(self, action: OrderLoad | OrderUnload) -> None:
        """Give an order and take its outcome."""
        end = await self._orders.give(action)
        now = self._context.now()
        if end.is_done:
            at_once = end.outcome is OrderOutcome.HOLDS
            actions = self.places.on_order_done(action, now, at_once=at_once)
            self._carry_out(actions)
            self._expect_news(now)
            return
        if end.outcome is OrderOutcome.GONE:
            self._engine_lost()
        self.places.on_order_failed(action, certain=end.is_certain)
        if end.outcome is not None:
            self._look_by(now + CONFLICT_PAUSE_S)

    # Reports.

    async def _look_forever(self) -> None:
        while True:
            seen = await self.look()
            now = self._context.now()
            self._look_at = now + self._pause_s(seen)
            while (left := self._look_at - self._context.now()) > 0:
                self._wake.clear()
                try:
                    async with asyncio.timeout(left):
                        await self._wake.wait()
                except TimeoutError:
                    break

    def _pause_s(self, seen: bool) -> float:
        if not seen:
            return FAILED_PAUSE_S
        if self.places.loads_model():
            return REPORT_MODEL_S
        if self.places.awaits_report():
            return REPORT_LOADING_S
        return REPORT_IDLE_S

    async def look(self) -> bool:
        """Read one report; False if the engine gave none."""
        asked_at = self._context.now()
        try:
            report = await self._context.calls.report(self.record)
        except EngineCallFailed as error:
            self._context.journal.write(
                "report_failed",
                engine=self.record.endpoint_id,
                error=str(error),
            )
            if error.unreachable:
                self._engine_lost()
            return False
        if not self._is_same_start(report):
            return False
        self.answers = True
        self._orders.on_report(report.orders)
        now = self._context.now()
        self.places.may_order = self._orders.may_order()
        self._carry_out(self.places.on_report(facts_of(report, asked_at), now))
        return True

    def _is_same_start(self, report: EngineReport) -> bool:
        """Tell whether the start that we own gave the report.

        Guards against an engine that came back under its id before its record changed:
        it holds nothing and counts orders anew. Taken for the same, its owner would
        send runs to adapters that are gone and order by a number of before.
        """
        born_ms = report.born_ms
        if born_ms is None or born_ms == self.record.born_ms:
            return True
        self._context.journal.write(
            "report_of_another_start",
            engine=self.record.endpoint_id,
            born_ms=born_ms,
        )
        if born_ms > (self.record.born_ms or 0):
            self._context.on_start_seen(self.record, born_ms)
        return False

    async def _tell_forever(self) -> None:
        """Log how full the engine is, for reading back why a request waited."""
        while True:
            await asyncio.sleep(LOG_S)
            self._context.journal.write(
                "engine",
                engine=self.record.endpoint_id,
                **self.places.summary(self._context.now()),
            )

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            pool_held_up = self._context.pool_held_up(self.record.service)
            self.places.pacing.pool_stalled = pool_held_up
            self.places.may_order = self._orders.may_order()
            if self.places.queue_length():
                self._carry_out(self.places.decide(self._context.now()))

    def _look_by(self, at: float) -> None:
        """Look at the engine no later than the given time."""
        if at < self._look_at:
            self._look_at = at
            self._wake.set()

    def _expect_news(self, now: float) -> None:
        """Look again when the load just ordered is about to end."""
        if self.places.awaits_report():
            before_end_s = self.places.slots.load_s.value - 2 * REPORT_LOADING_S
            self._look_by(now + max(0.05, before_end_s))

    def _decide_again(self, now: float) -> None:
        """Decide again once a load should be complete, or a prompt may begin."""
        at = self.places.next_decision_at()
        if at is None or (self._timer is not None and self._timer_at <= at):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = at
        delay_s = max(0.0, at - now) + READY_SLACK_S
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._carry_out(self.places.decide(self._context.now()))

    def _engine_lost(self) -> None:
        """Send whoever waits to other engines: this one does not answer any more."""
        self.answers = False
        for ask_id, reply in list(self._reply_by_ask.items()):
            self.places.on_cancel(ask_id, self._context.now())
            reply(PlaceReply(ask_id, reason="engine is lost", not_owner=True))
        self._reply_by_ask.clear()

    def _spawn(self, job: "object") -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(job)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def facts_of(report: EngineReport, read_at: float) -> ReportedState:
    """Return a report as the decisions read it."""
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
    )
