"""Handles callers' requests: finds the route, sets the deadline, always answers."""

import asyncio
import contextlib
import random
from collections.abc import Mapping

from bamboovale.crashes.guard import CRASHES_ENDPOINTS, REFUSED_RETRY_S, CrashGuard
from bamboovale.gateway.access import AccessControl, Admission
from bamboovale.gateway.call import (
    Call,
    CallCodec,
    CallerLeft,
    CallFailed,
    CallRefused,
    KeyRejected,
    QuotaExceeded,
)
from bamboovale.gateway.model import BaseModel, CallFacts, Route, RoutingTable
from bamboovale.gateway.model_calls import ModelCalls
from bamboovale.gateway.plain_calls import PlainCalls
from bamboovale.gateway.stream_progress import StreamCut
from bamboovale.gateway.vm_state import VMState
from bamboovale.http1.request import BadRequest, Request
from bamboovale.http1.responder import Responder
from bamboovale.metrics import Metrics

NOT_READY_RETRY_S = 1.0
"""Retry delay while this VM has no configuration."""
STOPPED = "the VM stopped"
STOPS = "the VM stops, possibly before the deadline"
STOPPED_RETRY_S = 0.2
"""Retry delay once the VM stops: others serve."""
LEFT = "left"
"""Outcome of a request whose caller closed its connection before the answer."""
DEFAULT_TIMEOUT_S = 60.0
"""Timeout for callers that set no deadline; bounded by the route's timeout."""


class RequestHandler:
    """Dispatches callers' requests to plain services and engines, and answers them."""

    def __init__(
        self,
        *,
        codec: CallCodec,
        plain_calls: PlainCalls,
        model_calls: ModelCalls,
        access: AccessControl,
        crashes: CrashGuard,
        state: VMState,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._codec = codec
        self._plain_calls = plain_calls
        self._model_calls = model_calls
        self._access = access
        self._crashes = crashes
        self._state = state
        self._journal = state.journal
        self._now = state.now
        self._metrics = metrics
        self._rng = rng
        self._timeouts: set[asyncio.Timeout] = set()

    def end_calls(self) -> None:
        """End all calls under way at the end of a planned stop; each is answered."""
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(self._now())

    def log_undelivered(self, request: Request, unsent_bytes: int) -> None:
        """Log a request whose complete answer this VM could not send."""
        stop = self._state.planned_stop
        if stop is None:
            return
        request_id = None
        with contextlib.suppress(BadRequest):
            request_id = self._codec.decode_call(request).request_id
        self._journal.write(
            "undelivered",
            id=request_id,
            received_s=round(request.received_at - stop.started_at, 3),
            cut_s=round(self._now() - stop.started_at, 3),
            unsent_bytes=unsent_bytes,
        )

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request; the task is cancelled if its caller disconnects."""
        if self._state.stopping:
            responder.close_after()
        try:
            facts = self._codec.decode_call(request)
        except BadRequest as bad:
            self.on_bad_request(bad)
            self._answer(responder, bad.status, None, None)
            return
        table = self._state.table
        if responder.has_caller_left():
            self._drop(request, facts, table, responder)
            return
        if table is None or not self._state.takes_work():
            self._log_unrouted(request, facts, "not_ready", table)
            retry_s = STOPPED_RETRY_S if self._state.stopping else NOT_READY_RETRY_S
            self._refuse(responder, facts, retry_s)
            return
        route = table.match(facts.host, request.target)
        if route is None:
            self._log_unrouted(request, facts, "no_route", table)
            self._answer(responder, 404, None, facts.request_id)
            return
        admission = self._admit(request, facts, route, table, responder)
        if admission is not None:
            await self._handle_admitted(request, admission, route, table, responder)

    def _drop(
        self,
        request: Request,
        facts: CallFacts,
        table: RoutingTable | None,
        responder: Responder,
    ) -> None:
        """End a request whose caller left before it was read."""
        silent_s = responder.caller_silent_s
        details = {} if silent_s is None else {"caller_silent_s": silent_s}
        self._log_unrouted(request, facts, LEFT, table, details=details)
        responder.abort()

    def _admit(
        self,
        request: Request,
        facts: CallFacts,
        route: Route,
        table: RoutingTable,
        responder: Responder,
    ) -> Admission | None:
        """Return the admission of a request, None once it was refused; it never ran."""
        details: dict[str, float] = {}
        try:
            return self._access.admit(facts, route, table)
        except KeyRejected as rejection:
            outcome, reason = "key_rejected", str(rejection)
            self._answer(responder, 401, None, facts.request_id, needs_key=True)
        except QuotaExceeded as refusal:
            outcome, reason = "over_quota", str(refusal)
            self._metrics.count_refusal_of(refusal.customer)
            # No random spread: each caller is told a different time.
            self._answer(responder, 429, refusal.retry_after_s, facts.request_id)
            details = _quota_details(refusal)
        except CallRefused as refusal:
            outcome, reason = "view_unproven", str(refusal)
            self._refuse(responder, facts, refusal.retry_after_s)
        self._log_unrouted(request, facts, outcome, table, reason, details)
        return None

    def on_bad_request(self, bad: BadRequest) -> None:
        """Count and log a malformed request."""
        self._metrics.gateway_requests.labels("bad_request", "none").inc()
        self._journal.write("bad_request", status=bad.status, reason=str(bad))

    async def _handle_admitted(
        self,
        request: Request,
        admission: Admission,
        route: Route,
        table: RoutingTable,
        responder: Responder,
    ) -> None:
        facts = admission.facts
        wait_s = min(route.timeout_s, facts.deadline_s or DEFAULT_TIMEOUT_S)
        call = Call(
            request=request,
            facts=facts,
            route=route,
            service=self._pick_service(route),
            responder=responder,
            deadline=request.received_at + wait_s,
            customer=admission.customer,
        )
        outcome = LEFT
        try:
            outcome = await self._run(call, table)
        finally:
            if outcome == "refused" or not call.attempts:
                self._access.give_back(admission)
            if outcome != "answered" and self._is_stop_over():
                self._log_cut(call, outcome)
            self._log(call, outcome, table)

    async def _run(self, call: Call, table: RoutingTable) -> str:
        """Run the call to its final answer; return the outcome for log and metrics."""
        timeout = asyncio.timeout_at(call.deadline)
        try:
            async with timeout:
                self._timeouts.add(timeout)
                await self._dispatch(call, table)
            return "answered"
        except TimeoutError:
            if self._is_stop_over() and self._now() < call.deadline:
                return self._end_by_stop(call)
            return self._fail(call, 504, "timed_out")
        except CallerLeft:
            call.responder.abort()
            return LEFT
        except CallRefused as refusal:
            call.notes["reason"] = str(refusal)
            self._refuse(call.responder, call.facts, refusal.retry_after_s)
            return "refused"
        except (CallFailed, StreamCut) as failure:
            call.notes["reason"] = str(failure)
            return self._fail(call, 502, "failed")
        finally:
            self._timeouts.discard(timeout)

    async def _dispatch(self, call: Call, table: RoutingTable) -> None:
        stop = self._state.planned_stop
        if stop is not None and not stop.may_take(self._now(), call.deadline):
            raise CallRefused(STOPS, STOPPED_RETRY_S)
        service = table.service_by_name.get(call.service)
        work = call.facts.work
        if self._crashes.is_refused(call):
            raise CallRefused(CRASHES_ENDPOINTS, REFUSED_RETRY_S)
        if service is None or service.engines is None or work is None:
            await self._plain_calls.run(call)
            return
        model = service.engines.model_by_name.get(work.model)
        if model is None or not self._has_adapter(model, work.adapter):
            self._answer(call.responder, 404, None, call.facts.request_id)
            unknown = "model" if model is None else "adapter"
            call.notes["reason"] = f"unknown {unknown}"
            return
        await self._model_calls.run(call, work)

    def _has_adapter(self, model: BaseModel, adapter: str | None) -> bool:
        """Return whether a model has an adapter, by configuration or its record.

        Guards against orders, and memory, for adapters that callers make up.
        """
        if adapter is None or adapter in model.adapters:
            return True
        return (model.name, adapter) in self._state.version_by_adapter

    def _pick_service(self, route: Route) -> str:
        weights = route.weight_by_service
        if len(weights) == 1:
            return next(iter(weights))
        return self._rng.choices(list(weights), list(weights.values()))[0]

    def _end_by_stop(self, call: Call) -> str:
        """Answer a call that is not complete when this VM exits."""
        call.notes["reason"] = STOPPED
        call.responder.close_after()
        if call.attempts:
            return self._fail(call, 502, "cut_by_stop")
        self._refuse(call.responder, call.facts, STOPPED_RETRY_S)
        return "refused"

    def _fail(self, call: Call, status: int, outcome: str) -> str:
        """End a call whose request may have run."""
        if call.responder.started:
            # A regular end would make a truncated stream look complete.
            call.responder.abort()
        else:
            self._answer(call.responder, status, None, call.facts.request_id)
        call.notes["status"] = status
        return outcome

    def _refuse(
        self,
        responder: Responder,
        facts: CallFacts,
        retry_after_s: float | None,
    ) -> None:
        spread_s = None
        if retry_after_s is not None:
            # Jitter: callers refused together must not retry together.
            spread_s = retry_after_s * self._rng.uniform(0.75, 1.25)
        self._answer(responder, 503, spread_s, facts.request_id)

    def _answer(
        self,
        responder: Responder,
        status: int,
        retry_after_s: float | None,
        request_id: str | None,
        *,
        needs_key: bool = False,
    ) -> None:
        headers = self._codec.encode_refusal(
            retry_after_s, request_id, needs_key=needs_key
        )
        responder.answer(status, headers, b"")

    def _log_unrouted(
        self,
        request: Request,
        facts: CallFacts,
        outcome: str,
        table: RoutingTable | None,
        reason: str | None = None,
        details: Mapping[str, float] | None = None,
    ) -> None:
        self._metrics.gateway_requests.labels(outcome, "none").inc()
        self._journal.write(
            "request",
            id=facts.request_id,
            outcome=outcome,
            host=facts.host,
            target=request.target,
            config=table.version if table else None,
            **({"reason": reason, "not_run": True} if reason else {}),
            **(details or {}),
        )

    def _is_stop_over(self) -> bool:
        stop = self._state.planned_stop
        return stop is not None and self._now() >= stop.ends_at

    def _log_cut(self, call: Call, outcome: str) -> None:
        """Log a call that the stop ended, beside its line among those of all calls.

        Guards against a cut that no line tells of, as there are many requests.
        """
        stop = self._state.planned_stop
        assert stop is not None
        sent_at = call.sent_at
        self._journal.write(
            "cut_by_stop",
            id=call.facts.request_id,
            outcome=outcome,
            route=call.route.name,
            received_s=round(call.request.received_at - stop.started_at, 3),
            sent_s=None if sent_at is None else round(sent_at - stop.started_at, 3),
            cut_s=round(self._now() - stop.started_at, 3),
            answer_started=call.responder.started,
            answer_whole=call.is_answer_whole,
            unsent_bytes=call.responder.unsent_bytes,
        )

    def _log(self, call: Call, outcome: str, table: RoutingTable) -> None:
        kind = call.route.kind.name.lower()
        total_s = self._now() - call.request.received_at
        self._metrics.gateway_requests.labels(outcome, kind).inc()
        self._metrics.gateway_request_seconds.labels(kind).observe(total_s)
        if "first_s" in call.notes:
            self._metrics.gateway_first_event_seconds.observe(call.notes["first_s"])
        stop = self._state.planned_stop
        if stop is not None:
            since_stop_s = call.request.received_at - stop.started_at
            call.notes["since_stop_s"] = round(since_stop_s, 3)
        if outcome == LEFT:
            call.notes["caller_silent_s"] = call.responder.caller_silent_s
        work = call.facts.work
        self._journal.write(
            "request",
            id=call.facts.request_id,
            outcome=outcome,
            route=call.route.name,
            kind=kind,
            service=call.service,
            customer=call.customer_name,
            model=work.model if work else None,
            adapter=work.adapter if work else None,
            resumes=call.facts.resumes,
            resume_after=call.facts.resume_after,
            tokens=[work.prompt_tokens, work.output_tokens] if work else None,
            goal_s=call.route.goal_s,
            pause_allowed_s=call.route.gap_s,
            wait_s=round(call.deadline - call.request.received_at, 3),
            total_s=round(total_s, 4),
            config=table.version,
            **call.notes,
        )


def _quota_details(refusal: QuotaExceeded) -> dict[str, float]:
    """Return for the log what a request cost and when it may return."""
    return {
        "cost": refusal.cost,
        "retry_after_s": round(refusal.retry_after_s, 2),
    }
