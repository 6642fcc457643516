"""Emulated engine owner: runs the real decisions on an engine model."""

import random
from collections.abc import Callable, Generator
from typing import Any

import simpy

from bamboovale.decisions.engine_places import EnginePlaces
from bamboovale.decisions.mechanisms import Mechanisms
from bamboovale.decisions.place_work import (
    Action,
    EngineCapacity,
    EngineSnapshot,
    Grant,
    OrderLoad,
    OrderUnload,
    QueuedRequest,
    Refuse,
    ReportedState,
)
from bamboovale.emulator.engine import AdapterKey, EngineModel
from bamboovale.emulator.scenario import Deployment

MODEL = "base"
TICK_S = 0.1
IDLE_POLL_INTERVAL_S = 2.0
"""Same value as in ``bamboovale.gateway.engine_owner``."""
LOST_ANSWER_S = 0.12
"""Delay until a report reveals the result of an order whose answer was lost."""

Reply = Callable[[Grant | Refuse | None], Any]
"""Receives the owner's decision, None if the owner has stopped."""


class EmulatedOwner:
    """Owner of one engine until ``stop``."""

    def __init__(
        self,
        env: simpy.Environment,
        name: str,
        engine: EngineModel,
        deployment: Deployment,
        mechanisms: Mechanisms,
        rng: random.Random,
    ) -> None:
        figures = engine.figures
        capacity = EngineCapacity(
            places=figures.places,
            kv_tokens=figures.kv_tokens,
            adapter_slots=figures.adapter_slots,
        )
        self.name = name
        self.engine = engine
        self.places = EnginePlaces(capacity, mechanisms)
        self.places.may_order = True
        self.lost_orders_share = 0.0
        self._env = env
        self._deployment = deployment
        self._rng = rng
        self._reply_by_ask: dict[str, Reply] = {}
        self._grant_by_ask: dict[str, Grant] = {}
        self._stopped = False
        self._timer_at: float | None = None
        self._order_accepted = env.event()
        env.process(self._report_forever())
        env.process(self._tick_forever())

    def stop(self) -> None:
        """Stop; pending requests are answered with None and retried elsewhere."""
        self._stopped = True
        replies, self._reply_by_ask = self._reply_by_ask, {}
        for reply in replies.values():
            reply(None)

    def take_over(self, previous: "EmulatedOwner", known: EngineSnapshot) -> None:
        """Take over the runs of a lost owner; ``known`` is its last status."""
        self.places.runs.speed.seed(known.s_per_output_token, known.run_s)
        self._grant_by_ask.update(previous._grant_by_ask)
        for grant in self._grant_by_ask.values():
            self.places.adopt_place(grant.request, grant.version, self._env.now)

    # Entry VMs.

    def request_place(self, ask: QueuedRequest, reply: Reply) -> None:
        """Request a place; ``reply`` is called with the decision, now or later."""
        if self._stopped:
            reply(None)
            return
        self._reply_by_ask[ask.ask_id] = reply
        self._execute(self.places.on_request(ask, self._env.now))

    def on_started(self, ask_id: str) -> None:
        """Record a run's first event."""
        self.places.on_started(ask_id, self._env.now)

    def on_stall(self, ask_id: str, pause_s: float) -> None:
        """Record a stall of a run's stream."""
        self.places.on_stall(ask_id, pause_s, self._env.now)

    def release(self, ask_id: str, *, aborted: bool = False) -> None:
        """Release the place of a request."""
        self._grant_by_ask.pop(ask_id, None)
        now = self._env.now
        self._execute(self.places.on_release(ask_id, now, aborted=aborted))

    def on_run_refused(self, ask_id: str) -> None:
        """Handle an engine's refusal of a run."""
        self._grant_by_ask.pop(ask_id, None)
        now = self._env.now
        self._execute(self.places.on_run_refused(ask_id, now, not_held=True))
        self._env.process(self._report())

    # Actions.

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Grant):
                self._grant_by_ask[action.request.ask_id] = action
            if isinstance(action, Grant | Refuse):
                reply = self._reply_by_ask.pop(action.request.ask_id, None)
                if reply is not None:
                    reply(action)
            else:
                self._env.process(self._send_order(action))
        self._schedule_decision()

    def _schedule_decision(self) -> None:
        at = self.places.next_decision_at()
        if at is None or (self._timer_at is not None and self._timer_at <= at):
            return
        self._timer_at = at
        self._env.process(self._decide_at(at))

    def _decide_at(self, at: float) -> Generator[Any, Any, None]:
        yield self._env.timeout(max(0.001, at - self._env.now))
        if self._timer_at == at:
            self._timer_at = None
        if not self._stopped:
            self._execute(self.places.decide(self._env.now))

    def _send_order(self, order: OrderLoad | OrderUnload) -> Generator[Any, Any, None]:
        yield self._env.timeout(self._deployment.hop_s)
        assert order.adapter is not None
        key = (order.model, order.adapter)
        if isinstance(order, OrderLoad):
            self.engine.load(key, order.version)
        else:
            self.engine.unload(key)
        yield self._env.timeout(self._deployment.hop_s)
        if self._stopped:
            return
        if self._rng.random() < self.lost_orders_share:
            yield self._env.timeout(LOST_ANSWER_S)
            self.places.on_order_failed(order, certain=False)
            yield self._env.process(self._report())
            return
        at_once = isinstance(order, OrderUnload)
        now = self._env.now
        self._execute(self.places.on_order_done(order, now, at_once=at_once))
        if not self._order_accepted.triggered:
            self._order_accepted.succeed()

    # Reports.

    def _report_forever(self) -> Generator[Any, Any, None]:
        while not self._stopped:
            yield self._env.process(self._report())
            yield from self._wait_for_next_report()

    def _wait_for_next_report(self) -> Generator[Any, Any, None]:
        """Wait for the idle interval, less if a load that begins meanwhile needs it."""
        idle_until = self._env.now + IDLE_POLL_INTERVAL_S
        while True:
            self._order_accepted = self._env.event()
            report_at = self.places.next_report_at(self._env.now)
            until = idle_until if report_at is None else min(idle_until, report_at)
            # A report shows the state at the time when it was requested.
            until -= self._deployment.report_lag_s
            wait = self._env.timeout(max(0.0, until - self._env.now))
            yield wait | self._order_accepted
            if wait.processed:
                return

    def _report(self) -> Generator[Any, Any, None]:
        loaded: dict[AdapterKey, int] = dict(self.engine.version_by_adapter)
        loading = frozenset(self.engine.loading)
        active = self.engine.active
        yield self._env.timeout(self._deployment.report_lag_s)
        if self._stopped:
            return
        state = ReportedState(
            version_by_model={MODEL: 1},
            version_by_adapter=loaded,
            loading=loading,
            active=active,
            read_at=self._env.now,
        )
        self._execute(self.places.on_report(state, self._env.now))

    def _tick_forever(self) -> Generator[Any, Any, None]:
        while not self._stopped:
            yield self._env.timeout(TICK_S)
            if self.places.queue_length():
                self._execute(self.places.decide(self._env.now))
