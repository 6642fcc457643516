"""Requests for a model: gets a place at an engine and forwards its stream."""

from collections.abc import Callable

import h11

from bamboovale.crashes.attempt_watch import AttemptWatch
from bamboovale.crashes.guard import CRASHES_ENDPOINTS, REFUSED_RETRY_S, CrashGuard
from bamboovale.decisions.mechanisms import ALL_ON, Mechanisms
from bamboovale.decisions.planned_stop import PlannedStop
from bamboovale.gateway.call import Call, CallCodec, CallerLeft, CallFailed
from bamboovale.gateway.endpoint_client import (
    EndpointAnswer,
    EndpointClient,
    MayHaveRun,
    NotRun,
    StartChanged,
)
from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.engines import Engines, GrantedPlace
from bamboovale.gateway.events import EventBuffer, EventsBroken, EventTooLong
from bamboovale.gateway.model import AnswerFacts, EndpointRecord, ModelWork
from bamboovale.gateway.place_search import PlaceSearch
from bamboovale.gateway.retry_budgets import RetryBudgets, cause_of
from bamboovale.gateway.send_gate import SendGate
from bamboovale.gateway.stream_progress import Progress, StreamCut
from bamboovale.http1.answer_limits import AnswerLimit
from bamboovale.http1.connection import IncompleteResponse
from bamboovale.streams.call_streams import CallStreams

MAX_ATTEMPTS = 4
"""Engines that are tried for one request before it is refused."""
MOST_URGENT = 4
"""Urgency of the most urgent routes, one above the engine's default."""
LEAST_URGENT = 9
OK = 200


class ModelCalls:
    """Runs requests at engines."""

    def __init__(
        self,
        client: EndpointClient,
        codec: CallCodec,
        endpoints: EndpointView,
        engines: Engines,
        gate: SendGate,
        version_of: Callable[[str, str | None], int],
        retries: RetryBudgets,
        streams: CallStreams,
        crashes: CrashGuard,
        now: Callable[[], float],
        leaving_use_s: float,
        planned_stop: Callable[[], PlannedStop | None] = lambda: None,
        mechanisms: Mechanisms = ALL_ON,
    ) -> None:
        self._client = client
        self._codec = codec
        self._endpoints = endpoints
        self._engines = engines
        self._version_of = version_of
        self._retries = retries
        self._streams = streams
        self._crashes = crashes
        self._now = now
        self._search = PlaceSearch(
            endpoints=endpoints,
            engines=engines,
            gate=gate,
            version_of=version_of,
            now=now,
            leaving_use_s=leaving_use_s,
            planned_stop=planned_stop,
            mechanisms=mechanisms,
        )

    async def run(self, call: Call, work: ModelWork) -> None:
        """Answer the request; raises CallRefused, CallFailed or StreamCut."""
        source = await self._streams.source_of(call)
        if source is not None:
            services = call.route.weight_by_service
            call.service = source.service_among(services, call.service)
        resume_after = call.facts.resume_after if call.is_resumption else None
        progress = Progress(EventBuffer(resume_after), source)
        try:
            await self._run(call, work, progress)
        finally:
            if call.is_resumption and not progress.started:
                self._streams.on_not_run(no_endpoint=progress.is_software_gone)
            call.notes.update(progress.pauses.log_fields(call.request.received_at))

    async def _run(self, call: Call, work: ModelWork, progress: Progress) -> None:
        self._retries.on_fresh(call.service)
        for _ in range(MAX_ATTEMPTS):
            engine, place = await self._search.find(call, work, progress)
            error = self._search.stop_refusal(call, work, engine, progress)
            error = error or self._reason_not_to_send(call, progress)
            if error is not None:
                if place is not None:
                    self._engines.release(place)
                raise error
            if await self._try_engine(call, work, engine, place, progress):
                return
        raise progress.final_error("no engine ran the request")

    def _reason_not_to_send(self, call: Call, progress: Progress) -> Exception | None:
        """Return the error that ends the call instead of an attempt, None to send it.

        Crashes may have become known while the request waited for its place, and its
        caller may have left.
        """
        if call.responder.has_caller_left():
            return CallerLeft()
        if self._crashes.is_refused(call):
            return progress.final_error(CRASHES_ENDPOINTS, REFUSED_RETRY_S)
        if not progress.arrivals:
            return None
        if self._retries.take(call, cause_of(progress.failure)):
            return None
        return progress.final_error("the retry budget is used up")

    # One engine.

    async def _try_engine(
        self,
        call: Call,
        work: ModelWork,
        record: EndpointRecord,
        place: GrantedPlace | None,
        progress: Progress,
    ) -> bool:
        """Return True once the caller has the whole answer, False to retry."""
        started_at = self._now()
        note = call.note_attempt(
            started_at, endpoint=record.endpoint_id, software=record.software_version
        )
        refused = not_held = False
        aborted = True
        try:
            with self._crashes.watch(call, record) as watch:
                answer = await self._exchange(
                    call, work, record, place, progress, watch
                )
            aborted = False
            if answer is not None:
                call.answer(*answer)
            return True
        except NotRun as error:
            note["failed"] = str(error)
            progress.failure = error
            progress.arrivals += error.reached
            refused = error.reached
            not_held = error.wrong_endpoint
            if isinstance(error, StartChanged):
                progress.started_again.add(record.endpoint_id)
            # If it was sent before the load was complete, the engine is retried.
            if not not_held and (place is None or place.confirmed):
                progress.excluded.add(record.endpoint_id)
            return False
        except (MayHaveRun, StreamCut) as error:
            note["failed"] = str(error)
            progress.on_broken(record, error)
            self._check_resumable(call, progress, str(error))
            return False
        finally:
            note["s"] = round(self._now() - started_at, 4)
            if place is not None:
                self._engines.release(
                    place,
                    refused=refused,
                    not_held=not_held,
                    aborted=aborted,
                )

    def _check_resumable(self, call: Call, progress: Progress, reason: str) -> None:
        """Raise StreamCut or CallFailed unless another engine may go on."""
        may_go_on = call.route.resumable and progress.is_position_known
        if may_go_on and progress.runs < call.route.max_attempts:
            progress.events.discard_partial()
            return
        raise StreamCut(reason) if progress.started else CallFailed(reason)

    async def _exchange(
        self,
        call: Call,
        work: ModelWork,
        record: EndpointRecord,
        place: GrantedPlace | None,
        progress: Progress,
        watch: AttemptWatch,
    ) -> tuple[AnswerFacts, bytes] | None:
        """Forward a stream; return any other answer, which is whole."""

        def encode() -> h11.Request:
            return self._codec.encode_call(
                call.request,
                call.facts,
                registered_id=record.registered_id,
                left_s=call.left_s(self._now()),
                version=place.version if place else self._least_version(work),
                urgency=min(LEAST_URGENT, MOST_URGENT + max(0, call.priority)),
                resume_after=progress.events.last_id,
            )

        if progress.events.last_id is not None:
            watch.on_going_on()
        once_only = not call.route.resumable
        sending = self._client.attempt(
            call,
            record,
            encode,
            once_only=once_only,
            checks_start=progress.must_check(record),
        )
        async with sending as attempt:
            if attempt.facts.status != OK or not attempt.facts.is_event_stream:
                watch.on_failure()
                return attempt.facts, await self._read_failure(attempt, progress)
            await self._forward_events(call, attempt, record, place, progress, watch)
            return None

    def _least_version(self, work: ModelWork) -> int | None:
        """Return the version to require of an engine without an owner.

        Guards against running an old version: without a required version the engine
        would run the one it holds.
        """
        if work.adapter is None:
            return None
        return self._version_of(work.model, work.adapter)

    async def _read_failure(self, attempt: EndpointAnswer, progress: Progress) -> bytes:
        """Return the body of an answer that is no stream; raises StreamCut in one."""
        body = await attempt.read_body()
        if progress.started:
            raise StreamCut(
                f"engine answered {attempt.facts.status} after the stream started"
            )
        return body

    async def _forward_events(
        self,
        call: Call,
        attempt: EndpointAnswer,
        record: EndpointRecord,
        place: GrantedPlace | None,
        progress: Progress,
        watch: AttemptWatch,
    ) -> None:
        first = True
        try:
            while (data := await attempt.connection.data()) is not None:
                events = progress.events.feed(data)
                call.responder.hold(progress.events.partial_bytes)
                if not events:
                    continue
                watch.on_event()
                if first and place is not None:
                    self._engines.notify_started(place)
                first = False
                pause_s = progress.pauses.on_events(len(events), self._now())
                if place is not None and self._is_first_stall(call, progress, pause_s):
                    self._engines.notify_paused(place, pause_s)
                self._start_answer(call, attempt, record, progress)
                write = call.responder.write(b"".join(event.data for event in events))
                del data, events  # not held beside what waits for a slow caller
                await write
                progress.events.raise_if_broken()
        except (IncompleteResponse, EventsBroken) as error:
            if isinstance(error, EventTooLong):
                attempt.connection.on_limit(AnswerLimit.EVENT)
            if isinstance(error, EventsBroken):
                progress.is_position_known = error.is_position_known
            raise StreamCut(f"stream cut: {error}") from error
        if progress.events.has_partial:
            raise StreamCut("the stream ended within an event")
        if not progress.started and not call.is_resumption:
            raise StreamCut("the stream ended before its first event")
        call.is_answer_whole = True
        self._start_answer(call, attempt, record, progress)
        call.responder.finish()
        call.notes["status"] = OK

    def _is_first_stall(self, call: Call, progress: Progress, pause_s: float) -> bool:
        """Return whether this is the stream's first pause beyond the route's limit."""
        allowed_s = call.route.gap_s
        if allowed_s is None or pause_s <= allowed_s or progress.stalled:
            return False
        progress.stalled = True
        return True

    def _start_answer(
        self,
        call: Call,
        attempt: EndpointAnswer,
        record: EndpointRecord,
        progress: Progress,
    ) -> None:
        """Send the head with the first event: before, another engine may answer."""
        if progress.started:
            return
        newest = self._endpoints.record_by_id.get(record.endpoint_id, record)
        progress.on_started(newest)
        assert progress.source is not None
        self._streams.on_first_event(call, progress.source)
        call.notes["first_s"] = round(self._now() - call.request.received_at, 4)
        call.responder.start(attempt.facts.status, attempt.facts.headers)
