"""Runs model requests under permits and forwards their answers."""

import contextlib
import json
from collections.abc import Generator, Iterator
from dataclasses import dataclass

from urllib3 import BaseHTTPResponse

from bamboovale.catalogue.entries import AdapterEntry
from bamboovale.claims.answers import AnswerState
from bamboovale.entry.caller_answer import (
    JSON_TYPE,
    AnswerOutcome,
    CallerAnswer,
    ChunksWithCleanup,
)
from bamboovale.entry.caller_request import CallerRequest
from bamboovale.entry.decision_facade import DecisionFacade
from bamboovale.entry.endpoint_connections import EndpointConnections
from bamboovale.entry.engine_run import (
    DONE_EVENT,
    EVENT_END,
    EngineRun,
    RunFailedError,
    RunFailure,
    RunTarget,
)
from bamboovale.entry.model_call import ModelCall
from bamboovale.entry.permits import DisconnectSignal, HeldPermit, PermitClient
from bamboovale.environment import Environment
from bamboovale.errors import ErrorCode, Refusal
from bamboovale.models import VM
from bamboovale.streams.source import StreamSource
from bamboovale.views import Views

STREAM_HEADERS = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache")]


@dataclass(frozen=True)
class RunSpec:
    """The permit, the request body and the options of one run."""

    held: HeldPermit
    attempt_id: str
    call: ModelCall
    entry: AdapterEntry
    max_tokens: int
    idempotent: bool
    fingerprint: str


class ModelRuns:
    """Sends runs to engines; releases the permit when the answer has been sent."""

    def __init__(
        self,
        environment: Environment,
        views: Views,
        decisions: DecisionFacade,
        permits: PermitClient,
        connections: EndpointConnections,
    ) -> None:
        self._environment = environment
        self._views = views
        self._decisions = decisions
        self._permits = permits
        self._connections = connections

    def run(
        self,
        spec: RunSpec,
        request: CallerRequest,
        disconnect: DisconnectSignal,
    ) -> CallerAnswer:
        """Return the answer; raises RunFailedError if there is none to forward."""
        with contextlib.ExitStack() as stack:
            stack.callback(self._permits.release, spec.held)
            run = self._open(spec)
            stack.callback(run.abandon)
            disconnect.on_disconnect(run.exchange.abort)
            if not self._permits.may_still_send(spec.held):
                raise RunFailedError(RunFailure.NOT_SENT, "the permit came too late")
            self._environment.metrics.attempts.inc()
            response = self._send(run, spec)
            headers = self._headers(spec, request)
            if spec.call.stream:
                return self._stream(spec, run, response, headers, stack)
            body = run.read_answer(response)
        self._decisions.on_answered(spec.fingerprint)
        return CallerAnswer.complete(200, [JSON_TYPE, *headers], body)

    def _send(self, run: EngineRun, spec: RunSpec) -> BaseHTTPResponse:
        try:
            return run.send(spec.call.path, self._body(spec))
        except RunFailedError as failed:
            if failed.failure is RunFailure.REFUSED:
                self._permits.release(spec.held, refused=True)
            raise

    def _open(self, spec: RunSpec) -> EngineRun:
        target = self._target(spec)
        return EngineRun(self._connections, target, fresh=not spec.idempotent)

    def _target(self, spec: RunSpec) -> RunTarget:
        permit = spec.held.permit
        address = self._views.membership.address_of(permit.engine_id, "http")
        if address is None:
            raise RunFailedError(RunFailure.NOT_SENT, "the engine is no longer listed")
        return RunTarget(address, spec.attempt_id, permit.lora_name)

    def _body(self, spec: RunSpec) -> bytes:
        permit = spec.held.permit
        return spec.call.body_for(permit.lora_name, spec.max_tokens, permit.priority)

    def _headers(
        self,
        spec: RunSpec,
        request: CallerRequest,
    ) -> list[tuple[str, str]]:
        catalogue = self._views.catalogue
        revision = 0 if catalogue is None else catalogue.revision
        return [
            ("X-Request-Id", request.request_id),
            ("X-Adapter", spec.held.permit.lora_name),
            ("X-Endpoint", spec.held.permit.engine_id),
            ("X-Entry", self._environment.settings.id),
            ("X-Catalogue-Revision", str(revision)),
        ]

    # Streams.

    def _stream(
        self,
        spec: RunSpec,
        run: EngineRun,
        response: BaseHTTPResponse,
        headers: list[tuple[str, str]],
        stack: contextlib.ExitStack,
    ) -> CallerAnswer:
        """Return a streamed answer after its first event has been read.

        Until then nothing was forwarded, so that a broken connection can still lead
        to another run.
        """
        events = run.read_events(response)
        first = next(events, None)
        outcome = AnswerOutcome()
        source = self._source(spec)
        chunks = self._forward(spec, source, first, events, outcome)
        held = stack.pop_all()
        return CallerAnswer(
            200,
            [*STREAM_HEADERS, *headers],
            ChunksWithCleanup(chunks, held.close),
            outcome,
        )

    def _forward(
        self,
        spec: RunSpec,
        source: StreamSource | None,
        first: bytes | None,
        events: Iterator[bytes],
        outcome: AnswerOutcome,
    ) -> Iterator[bytes]:
        forwarded = 0
        try:
            if first is not None:
                yield first
                forwarded = 1
            for event in events:
                yield event
                forwarded += 1
        except RunFailedError:
            may_resume = self._may_go_on(spec, source)
            if not (may_resume and (yield from self._resume(spec, forwarded))):
                outcome.state = AnswerState.UNKNOWN
                outcome.code = ErrorCode.OUTCOME_UNKNOWN.value
                yield _error_event(spec)
                return
        outcome.state = AnswerState.ANSWERED
        self._decisions.on_answered(spec.fingerprint)
        yield DONE_EVENT + EVENT_END

    def _engine(self, spec: RunSpec) -> VM | None:
        return self._views.membership.vm_by_id.get(spec.held.permit.engine_id)

    def _source(self, spec: RunSpec) -> StreamSource | None:
        """Return what begins the stream, None if its engine is no longer listed."""
        engine = self._engine(spec)
        if engine is None:
            return None
        return StreamSource(engine.pool, engine.software_version)

    def _may_go_on(self, spec: RunSpec, source: StreamSource | None) -> bool:
        """Return whether the engine still runs the software that began the stream."""
        engine = self._engine(spec)
        if source is None or engine is None:
            return False
        return source.may_go_on_at(engine)

    def _resume(
        self,
        spec: RunSpec,
        offset: int,
    ) -> Generator[bytes, None, bool]:
        """Continue a broken stream at ``offset``; return whether it was completed.

        The engine still runs the request if only the connection broke.
        """
        body = {"request_id": spec.attempt_id, "offset": offset}
        try:
            run = EngineRun(self._connections, self._target(spec), fresh=True)
        except RunFailedError:
            return False
        try:
            response = run.send("/resume", json.dumps(body).encode())
            yield from run.read_events(response)
        except RunFailedError:
            return False
        finally:
            run.abandon()
        return True


def _error_event(spec: RunSpec) -> bytes:
    """Return the event that ends a stream which cannot be completed."""
    refusal = Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        "the engine broke off; what came so far is not the whole answer",
        not_run=False,
    )
    data = json.dumps(refusal.to_json(spec.attempt_id.rpartition(".")[0]))
    return b"data: " + data.encode() + EVENT_END
