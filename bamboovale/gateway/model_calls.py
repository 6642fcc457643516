"""Requests for a model: a place at an engine, then the stream from there."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bamboovale.decisions.engine_choice import EngineChooser, EngineView
from bamboovale.decisions.mechanisms import ALL_ON, Mechanisms
from bamboovale.decisions.retry_share import RetryShare
from bamboovale.gateway.attempts import Attempt, Attempts, MayHaveRun, NotRun
from bamboovale.gateway.call import Call, CallCodec, CallFailed, CallRefused
from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.engines import Engines, HeldPlace, OwnerSilent
from bamboovale.gateway.events import EventBuffer, EventsBroken, Pauses
from bamboovale.gateway.messages import PlaceRequest
from bamboovale.gateway.model import EndpointRecord, ModelWork
from bamboovale.http1.connection import AnswerBroken

MOST_FULL = 3
"""Engines that refuse a request at once before its caller is refused. Many VMs choose
by the same words, and an engine that has just come up gets more than it can place."""
AT_ONCE_S = 0.1
"""A refusal that comes later has used up the caller's patience."""
MOST_TRIES = 4
"""Engines asked for one request; what cannot be placed by then is refused."""
RUN_LEAST_S = 0.4
"""A run that starts with less time left ends after its caller: reading the prompt and
a few tokens take about this."""
GAP_LEAST_S = 2.0
GAP_GOALS = 4.0
GAP_PAUSES = 8.0
"""Callers abandon a stream after the longest of these: seconds, times the goal, times
the longest good pause between events (the platform's pages)."""
NO_ENGINE_RETRY_S = 0.5
"""An engine whose owner died gets another within about two seconds, most sooner."""
OWNER_WAIT_S = 0.35
OWNER_LOOK_S = 0.04
"""A VM hears of an engine's new owner within an interval of statuses, 0.3 s."""
REFUSED_RETRY_S = 0.3
"""About a load, after which another engine may have the adapter."""
URGENCY_BASE = 4
"""Urgency of the most urgent routes; the engine's own default is one below."""
URGENCY_LAST = 9
OK = 200


class EngineFull(Exception):  # noqa: N818 - reads as what happened
    """An engine's owner sees no place in time; ``retry_after_s`` tells when to ask."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class StreamCut(Exception):  # noqa: N818 - reads as what happened
    """The engine's stream ended before its end."""


@dataclass
class _Progress:
    """What a caller has of its stream so far."""

    events: EventBuffer
    pauses: Pauses = field(default_factory=Pauses)
    started: bool = False
    held_up: bool = False
    runs: int = 0
    arrivals: int = 0
    excluded: set[str] = field(default_factory=set)


class ModelCalls:
    """Carries requests to engines."""

    def __init__(
        self,
        attempts: Attempts,
        codec: CallCodec,
        endpoints: EndpointView,
        engines: Engines,
        version_of: Callable[[str, str | None], int],
        share_of: Callable[[str], RetryShare],
        now: Callable[[], float],
        mechanisms: Mechanisms = ALL_ON,
    ) -> None:
        self._attempts = attempts
        self._codec = codec
        self._endpoints = endpoints
        self._engines = engines
        self._mechanisms = mechanisms
        self._version_of = version_of
        self._share_of = share_of
        self._now = now
        self._chooser_by_service: dict[str, EngineChooser] = {}

    async def run(self, call: Call, work: ModelWork) -> None:
        """Answer the request; raises CallRefused, CallFailed or StreamCut."""
        resume_after = call.facts.resume_after if call.route.resumable else None
        progress = _Progress(EventBuffer(resume_after))
        try:
            await self._run(call, work, progress)
        finally:
            call.notes.update(progress.pauses.notes(call.request.received_at))

    async def _run(self, call: Call, work: ModelWork, progress: _Progress) -> None:
        share = self._share_of(call.service)
        share.on_fresh(self._now())
        for _ in range(MOST_TRIES):
            engine, place = await self._find_place(call, work, progress)
            if progress.arrivals and not share.take(self._now()):
                if place is not None:
                    self._engines.release(place)
                raise self._given_up(progress, "the retry budget is used up")
            if await self._try_engine(call, work, engine, place, progress):
                return
        raise self._given_up(progress, "no engine took the request")

    def _given_up(self, progress: _Progress, reason: str) -> Exception:
        if progress.started:
            return StreamCut(reason)
        if progress.runs:
            return CallFailed(reason)
        return CallRefused(reason, REFUSED_RETRY_S)

    # Places.

    async def _find_place(
        self,
        call: Call,
        work: ModelWork,
        progress: _Progress,
    ) -> tuple[EndpointRecord, HeldPlace | None]:
        """Return an engine that holds the adapter; None as place: without its owner."""
        version = self._version_of(work.model, work.adapter)
        silent: set[str] = set()
        full: dict[str, EngineFull] = {}
        while True:
            records = self._endpoints.ready(call.service)
            views = self._engines.views(records)
            passed_over = silent | full.keys()
            chosen = self._choose(call, work, views, passed_over, progress)
            if full and (chosen is None or len(full) == MOST_FULL):
                raise self._no_place(progress, full)
            unowned = chosen is None or self._is_unheard(views[chosen])
            if unowned and self._owner_may_come(call):
                await asyncio.sleep(OWNER_LOOK_S)
                silent.clear()
                continue
            if chosen is None:
                return self._without_owner(call, work, views, version, progress)
            record = self._endpoints.record_by_id[chosen]
            if views[chosen].owner is None:
                return record, None
            try:
                view = views[chosen]
                place = await self._ask(call, work, view, version, progress)
                return record, place
            except EngineFull as error:
                full[chosen] = error
            except OwnerSilent as error:
                call.notes.setdefault("silent_owners", []).append(
                    {"engine": chosen, "error": str(error)}
                )
                silent.add(chosen)

    def _choose(
        self,
        call: Call,
        work: ModelWork,
        views: dict[str, EngineView],
        passed_over: set[str],
        progress: _Progress,
    ) -> str | None:
        """Choose an engine; one that failed this request only if no other is left."""
        chooser = self._chooser_by_service.setdefault(
            call.service, EngineChooser(self._mechanisms)
        )
        chooser.held_lately.see(views)
        key = None if work.adapter is None else (work.model, work.adapter)
        version = self._version_of(work.model, work.adapter)
        tokens = work.prompt_tokens
        excluded = progress.excluded | passed_over
        chosen = chooser.choose(key, version, views, excluded, tokens)
        if chosen is None:
            chosen = chooser.choose(key, version, views, passed_over, tokens)
        return chosen

    def _is_unheard(self, view: EngineView) -> bool:
        """Tell whether an engine's owner is still to be heard of for the first time.

        Guards against the crowd that comes back to VMs that have just started: sent
        straight to engines that hold its adapters, past their owners, its prompts are
        neither counted nor paced. After a restart of all VMs 121 of 161 streams went so
        in the first half second, and 69 of them paused for longer than allowed.
        """
        return view.owner is None and not view.is_told

    def _owner_may_come(self, call: Call) -> bool:
        """Tell whether it is too early to say that no engine has an owner.

        Guards against refusing everything for a fraction of a second whenever VMs
        start or engines change hands: owners are known within a few hundred ms.
        """
        return self._now() - call.request.received_at < OWNER_WAIT_S

    def _without_owner(
        self,
        call: Call,
        work: ModelWork,
        views: dict,
        version: int,
        progress: _Progress,
    ) -> tuple[EndpointRecord, HeldPlace | None]:
        """Go straight to an engine that held the adapter when last heard of."""
        key = None if work.adapter is None else (work.model, work.adapter)
        holders = [
            name
            for name, view in views.items()
            if view.outlook is not None
            and name not in progress.excluded
            and (key is None or view.outlook.loaded.get(key, 0) >= version)
        ]
        if not holders:
            call.notes["engines"] = len(views)
            raise self._refusal(progress, "no engine can load it now")
        chosen = min(holders, key=lambda name: views[name].run_cost_s())
        return self._endpoints.record_by_id[chosen], None

    def _refusal(self, progress: _Progress, reason: str) -> Exception:
        if progress.started or progress.runs:
            return self._given_up(progress, reason)
        return CallRefused(reason, NO_ENGINE_RETRY_S)

    async def _ask(
        self,
        call: Call,
        work: ModelWork,
        view: EngineView,
        version: int,
        progress: _Progress,
    ) -> HeldPlace:
        engine_id = view.engine_id
        now = self._now()
        ask_id = f"{call.facts.request_id}.{len(call.notes.get('asks', []))}"
        request = PlaceRequest(
            engine_id=engine_id,
            ask_id=ask_id,
            model=work.model,
            adapter=work.adapter,
            version=version,
            prompt_tokens=work.prompt_tokens,
            output_tokens=work.output_tokens,
            rank=call.route.priority,
            goal_within_s=call.goal_at - now,
            starts_within_s=self._starts_within_s(call, progress, now),
            pause_s=call.route.gap_s,
        )
        self._engines.note_sent(view, request)
        owner = self._engines.owner_name(engine_id)
        note: dict[str, Any] = {"engine": engine_id, "owner": owner}
        call.notes.setdefault("asks", []).append(note)
        try:
            reply = await self._engines.ask(engine_id, request)
        finally:
            note["s"] = round(self._now() - now, 4)
        if reply.version is None:
            note["refused"] = reply.reason
            full = EngineFull(reply.reason, reply.retry_after_s)
            if note["s"] <= AT_ONCE_S:
                raise full
            raise self._no_place(progress, {engine_id: full})
        note["version"] = reply.version
        if reply.paced_s:
            note["paced_s"] = reply.paced_s
        assert owner is not None
        place = HeldPlace(
            engine_id,
            ask_id,
            owner,
            reply.version,
            reply.confirmed,
        )
        self._engines.hold(place, request)
        return place

    def _no_place(
        self,
        progress: _Progress,
        full: dict[str, EngineFull],
    ) -> Exception:
        """Return the refusal; its caller comes back when the first has a place."""
        first = min(full.values(), key=lambda refusal: refusal.retry_after_s)
        if progress.started or progress.runs:
            return self._given_up(progress, f"no place: {first}")
        return CallRefused(f"no place: {first}", first.retry_after_s)

    def _starts_within_s(self, call: Call, progress: _Progress, now: float) -> float:
        """Return how long the caller will wait for a place.

        Callers give a stream up after a long gap, also before its first event: what
        cannot start by then is refused at once instead of being held to no end.
        """
        left_s = call.left_s(now)
        route = call.route
        gap_s = route.gap_s or 0.0
        patience_s = max(GAP_LEAST_S, GAP_GOALS * route.goal_s, GAP_PAUSES * gap_s)
        begun_at = now if progress.started else call.request.received_at
        waits_s = min(left_s, begun_at + patience_s - now)
        return max(0.0, waits_s - min(RUN_LEAST_S, waits_s / 2))

    # One engine.

    async def _try_engine(
        self,
        call: Call,
        work: ModelWork,
        record: EndpointRecord,
        place: HeldPlace | None,
        progress: _Progress,
    ) -> bool:
        """Return True once the caller has the whole answer, False to try again."""
        started_at = self._now()
        note = call.note_attempt(endpoint=record.endpoint_id)
        refused = not_held = False
        aborted = True
        try:
            await self._exchange(call, work, record, place, progress)
            aborted = False
            return True
        except NotRun as error:
            note["failed"] = str(error)
            progress.arrivals += error.reached
            refused = error.reached
            not_held = error.wrong_endpoint
            # Sent before the load was complete: the same engine is asked again.
            if not not_held and (place is None or place.confirmed):
                progress.excluded.add(record.endpoint_id)
            return False
        except (MayHaveRun, StreamCut) as error:
            note["failed"] = str(error)
            progress.arrivals += 1
            progress.runs += 1
            progress.excluded.add(record.endpoint_id)
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

    def _check_resumable(self, call: Call, progress: _Progress, reason: str) -> None:
        """Raise unless another engine may go on with the stream."""
        if call.route.resumable and progress.runs < call.route.max_attempts:
            progress.events.restart()
            return
        raise StreamCut(reason) if progress.started else CallFailed(reason)

    async def _exchange(
        self,
        call: Call,
        work: ModelWork,
        record: EndpointRecord,
        place: HeldPlace | None,
        progress: _Progress,
    ) -> None:
        once_only = not call.route.resumable
        connection = await self._attempts.connect(record, once_only=once_only)
        with self._attempts.closing(record, connection):
            request = self._codec.encode_call(
                call.request,
                call.facts,
                registered_id=record.registered_id,
                left_s=call.left_s(self._now()),
                version=place.version if place else self._least_version(work),
                urgency=min(URGENCY_LAST, URGENCY_BASE + call.route.priority),
                resume_after=progress.events.last_id,
            )
            attempt = await self._attempts.begin(
                connection,
                request,
                call.request.body,
                call.facts.request_id,
            )
            if attempt.facts.status != OK or not attempt.facts.is_event_stream:
                await self._pass_whole(call, attempt, progress)
            else:
                await self._pass_events(call, attempt, place, progress)

    def _least_version(self, work: ModelWork) -> int | None:
        """Return the version to expect at an engine that is sent to without an owner.

        Guards against an old version: what its last owner told may not have come
        about, and an engine that is told no version runs what it has. It refuses the
        request instead, and another engine is tried.
        """
        if work.adapter is None:
            return None
        return self._version_of(work.model, work.adapter)

    async def _pass_whole(
        self,
        call: Call,
        attempt: Attempt,
        progress: _Progress,
    ) -> None:
        """Hand on an answer that is no stream, unless a stream has begun."""
        body = await attempt.whole_body()
        if progress.started:
            raise StreamCut(f"engine said {attempt.facts.status}")
        call.notes["status"] = attempt.facts.status
        call.responder.answer(attempt.facts.status, attempt.facts.headers, body)

    async def _pass_events(
        self,
        call: Call,
        attempt: Attempt,
        place: HeldPlace | None,
        progress: _Progress,
    ) -> None:
        first = True
        try:
            while (data := await attempt.connection.data()) is not None:
                events = progress.events.feed(data)
                if not events:
                    continue
                if first and place is not None:
                    self._engines.started(place)
                first = False
                pause_s = progress.pauses.on_events(len(events), self._now())
                if place is not None and self._is_first_long(call, progress, pause_s):
                    self._engines.paused(place, pause_s)
                self._start(call, attempt, progress)
                await call.responder.write(b"".join(event.data for event in events))
        except (AnswerBroken, EventsBroken) as error:
            raise StreamCut(f"stream cut: {error}") from error
        if progress.events.has_partial:
            raise StreamCut("the stream ended within an event")
        self._start(call, attempt, progress)
        call.responder.finish()
        call.notes["status"] = OK

    def _is_first_long(self, call: Call, progress: _Progress, pause_s: float) -> bool:
        """Tell whether the stream has just become late by a pause."""
        allowed_s = call.route.gap_s
        if allowed_s is None or pause_s <= allowed_s or progress.held_up:
            return False
        progress.held_up = True
        return True

    def _start(self, call: Call, attempt: Attempt, progress: _Progress) -> None:
        """Send the head with the first event: until then another engine may answer."""
        if progress.started:
            return
        progress.started = True
        call.notes["first_s"] = round(self._now() - call.request.received_at, 4)
        call.responder.start(attempt.facts.status, attempt.facts.headers)
