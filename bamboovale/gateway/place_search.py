"""Finds a place for a request: chooses engines and requests places of their owners."""

import asyncio
import math
from collections.abc import Callable
from functools import partial
from typing import Any

from bamboovale.decisions.engine_choice import EngineCandidate, EngineChooser
from bamboovale.decisions.mechanisms import ALL_ON, Mechanisms
from bamboovale.decisions.place_work import RefusalReason
from bamboovale.decisions.planned_stop import PlannedStop
from bamboovale.gateway.call import Call
from bamboovale.gateway.endpoint_limits import UNOWNED_PART
from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.engines import (
    Engines,
    GrantedPlace,
    OwnerUnavailable,
    PlaceTooLate,
)
from bamboovale.gateway.messages import PlaceRequest
from bamboovale.gateway.model import EndpointRecord, ModelWork
from bamboovale.gateway.send_gate import SendGate
from bamboovale.gateway.stream_progress import Progress
from bamboovale.request_ids import kept_id

MAX_FULL_ENGINES = 3
"""Immediate refusals by engines before the caller is refused. Many VMs choose by the
same status, so that an engine that has just started may get more than it can place."""
IMMEDIATE_REFUSAL_S = 0.1
"""A refusal after a longer time ends the search."""
STOPS = "the VM stops before the run could end"
NO_SOFTWARE = "no endpoint of the software that began the stream is left"
LIMITED = RefusalReason.LIMITED.name.lower()
MIN_RUN_S = 0.4
"""Time reserved for the prompt and the first tokens: a run that starts with less time
left would end after its caller's deadline."""
MIN_PATIENCE_S = 2.0
PATIENCE_GOALS = 4.0
PATIENCE_PAUSES = 8.0
"""Callers abandon a stream after the longest of these: seconds, multiples of the
route's goal and multiples of its longest acceptable pause between events."""
NO_ENGINE_RETRY_S = 0.5
"""Retry delay while engines have no owner: a new one is assigned within seconds."""
MAX_LIMIT_RETRY_S = 2.0
"""Longest retry delay while engines are at their limits: another VM may use them."""
OWNER_TIMEOUT_S = 0.35
OWNER_POLL_INTERVAL_S = 0.04
"""How long a request waits for an engine's owner to become known, and how often it
checks: status is published at a similar interval."""


class EngineFull(Exception):  # noqa: N818 - reads as what happened
    """An engine has no place in time; ``retry_after_s`` is when to retry."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class PlaceSearch:
    """Searches the engines of a pool for a place."""

    def __init__(
        self,
        *,
        endpoints: EndpointView,
        engines: Engines,
        gate: SendGate,
        version_of: Callable[[str, str | None], int],
        now: Callable[[], float],
        leaving_use_s: float,
        planned_stop: Callable[[], PlannedStop | None],
        mechanisms: Mechanisms = ALL_ON,
    ) -> None:
        self._leaving_use_s = leaving_use_s
        self._planned_stop = planned_stop
        self._endpoints = endpoints
        self._engines = engines
        self._gate = gate
        self._version_of = version_of
        self._now = now
        self._mechanisms = mechanisms
        self._chooser_by_service: dict[str, EngineChooser] = {}

    async def find(
        self,
        call: Call,
        work: ModelWork,
        progress: Progress,
    ) -> tuple[EndpointRecord, GrantedPlace | None]:
        """Return an engine and the place that its owner granted.

        The place is None if the request must be sent to the engine without an owner.
        Raises CallRefused, CallFailed or StreamCut if no engine is found.
        """
        version = self._version_of(work.model, work.adapter)
        unavailable: set[str] = set()
        full: dict[str, EngineFull] = {}
        while True:
            records = progress.select(self._endpoints.ready(call.service))
            if progress.source is not None and not records:
                return self._choose_leaving(call, work, version, progress)
            rest_s = self._gate.common_rest_s([r.endpoint_id for r in records])
            if rest_s > 0.0:
                await self._wait_for_rest(call, progress, rest_s)
                continue
            candidates = self._engines.candidates(records)
            blocked = self._blocked(candidates)
            self._gate.note_passed_over(call.notes, blocked)
            skipped = unavailable | full.keys() | blocked
            chosen = self._choose(call, work, candidates, skipped, progress)
            if full and (chosen is None or len(full) == MAX_FULL_ENGINES):
                raise _no_place(progress, full)
            unowned = chosen is None or self._lacks_status(candidates[chosen])
            if unowned and self._may_wait_for_owner(call):
                await asyncio.sleep(OWNER_POLL_INTERVAL_S)
                unavailable.clear()
                continue
            if chosen is None:
                return self._choose_without_owner(
                    call, work, candidates, version, progress
                )
            record = self._endpoints.record_by_id[chosen]
            refusal = self.stop_refusal(call, work, record, progress)
            if refusal is not None:
                raise refusal
            if candidates[chosen].owner is None:
                self._gate.take(chosen)
                return record, None
            try:
                candidate = candidates[chosen]
                place = await self._request_place(
                    call, work, candidate, version, progress, record
                )
                if self._endpoints.is_ready(chosen) and not self._gate.rest_s(chosen):
                    return record, place
                # It said that it leaves or wants rest while the request was queued.
                self._engines.release(place)
                unavailable.add(chosen)
            except EngineFull as error:
                full[chosen] = error
            except OwnerUnavailable as error:
                call.notes.setdefault("silent_owners", []).append(
                    {"engine": chosen, "error": str(error)}
                )
                unavailable.add(chosen)

    def stop_refusal(
        self,
        call: Call,
        work: ModelWork,
        record: EndpointRecord,
        progress: Progress,
    ) -> Exception | None:
        """Return the refusal of a run that this VM's stop would cut, else None."""
        if self._now() < self._latest_start(call, work, record, progress):
            return None
        return progress.final_error(STOPS)

    def _latest_start(
        self,
        call: Call,
        work: ModelWork,
        record: EndpointRecord,
        progress: Progress,
    ) -> float:
        """Return until when a run may begin that this VM can complete.

        A request that has run goes on as long as it can.
        """
        stop = self._planned_stop()
        if stop is None or progress.runs:
            return math.inf
        speed = self._engines.speed(record, work.model)
        run_s = speed.run_time_s(work.prompt_tokens, work.output_tokens)
        call.notes["expected_run_s"] = round(run_s, 3)
        return stop.latest_start(run_s)

    def _choose(
        self,
        call: Call,
        work: ModelWork,
        candidates: dict[str, EngineCandidate],
        skipped: set[str],
        progress: Progress,
    ) -> str | None:
        """Choose an engine; one where this request failed only if there is no other."""
        chooser = self._chooser_by_service.setdefault(
            call.service, EngineChooser(self._mechanisms)
        )
        chooser.recently_held.update(candidates)
        key = None if work.adapter is None else (work.model, work.adapter)
        version = self._version_of(work.model, work.adapter)
        tokens = work.prompt_tokens
        excluded = progress.excluded | skipped
        chosen = chooser.choose(key, version, candidates, excluded, tokens)
        if chosen is None:
            chosen = chooser.choose(key, version, candidates, skipped, tokens)
        return chosen

    async def _wait_for_rest(
        self, call: Call, progress: Progress, rest_s: float
    ) -> None:
        """Wait for the end of a rest, or refuse the request if it is beyond its goal.

        Guards against repeats that keep a whole pool from recovering.
        """
        if self._now() + rest_s > call.goal_at:
            raise progress.final_error("the engines want rest", rest_s)
        await asyncio.sleep(rest_s)

    def _blocked(self, candidates: dict[str, EngineCandidate]) -> set[str]:
        """Return the engines that may get no request of this VM now.

        The limit of an engine with an owner is the owner's to keep.
        """
        return {
            engine_id
            for engine_id, candidate in candidates.items()
            if self._gate.rest_s(engine_id) > 0.0
            or (candidate.owner is None and self._unowned_wait_s(engine_id) > 0.0)
        }

    def _unowned_wait_s(self, engine_id: str) -> float:
        """Return the wait before a request may be sent without the engine's owner."""
        return self._gate.wait_s(engine_id, UNOWNED_PART)

    def _lacks_status(self, candidate: EngineCandidate) -> bool:
        """Return whether no status of an engine was received yet.

        Guards against overloading a few engines after a start of all VMs: chosen by
        endpoint records alone, all VMs would pick the same ones and bypass the pacing
        of prompts by their owners.
        """
        return not candidate.has_status

    def _may_wait_for_owner(self, call: Call) -> bool:
        """Return whether the request may still wait for an engine's owner to be known.

        Guards against refusing requests while VMs start or engines change owners.
        """
        return self._now() - call.request.received_at < OWNER_TIMEOUT_S

    def _choose_without_owner(
        self,
        call: Call,
        work: ModelWork,
        candidates: dict,
        version: int,
        progress: Progress,
    ) -> tuple[EndpointRecord, GrantedPlace | None]:
        """Return an engine whose last status contains the adapter, without a place."""
        key = None if work.adapter is None else (work.model, work.adapter)
        holders = [
            name
            for name, candidate in candidates.items()
            if candidate.snapshot is not None
            and name not in progress.excluded
            and (key is None or candidate.snapshot.loaded.get(key, 0) >= version)
        ]
        if not holders:
            call.notes["engines"] = len(candidates)
            raise progress.final_error(
                "no engine can load the adapter now", NO_ENGINE_RETRY_S
            )
        wait_s = min(map(self._unowned_wait_s, holders))
        if wait_s > 0.0:
            call.notes["engines"] = len(candidates)
            retry_s = min(wait_s, MAX_LIMIT_RETRY_S)
            raise progress.final_error("the engines are at their limits", retry_s)
        free = [name for name in holders if self._unowned_wait_s(name) <= 0.0]
        chosen = min(free, key=lambda name: candidates[name].run_cost_s())
        self._gate.take(chosen)
        return self._endpoints.record_by_id[chosen], None

    def _choose_leaving(
        self, call: Call, work: ModelWork, version: int, progress: Progress
    ) -> tuple[EndpointRecord, GrantedPlace | None]:
        """Return an engine that has just begun to leave, for a stream that goes on.

        No other one has the software that began the stream.
        """
        leaving = self._endpoints.leaving(call.service, self._leaving_use_s)
        records = progress.select(leaving)
        if not records:
            progress.is_software_gone = True
            raise progress.final_error(NO_SOFTWARE, None)
        candidates = self._engines.candidates(records)
        return self._choose_without_owner(call, work, candidates, version, progress)

    async def _request_place(
        self,
        call: Call,
        work: ModelWork,
        candidate: EngineCandidate,
        version: int,
        progress: Progress,
        record: EndpointRecord,
    ) -> GrantedPlace:
        engine_id = candidate.engine_id
        now = self._now()
        latest_start = partial(self._latest_start, call, work, record, progress)
        asked = len(call.notes.get("asks", []))
        ask_id = f"{kept_id(call.facts.request_id)}.{asked}"
        request = PlaceRequest(
            engine_id=engine_id,
            ask_id=ask_id,
            model=work.model,
            adapter=work.adapter,
            version=version,
            prompt_tokens=work.prompt_tokens,
            output_tokens=work.output_tokens,
            rank=call.priority,
            goal_within_s=_goal_within_s(call, progress, now),
            starts_within_s=min(
                self._starts_within_s(call, progress, now),
                max(0.0, latest_start() - now),
            ),
            pause_s=call.route.gap_s,
            start=self._engines.fleet.membership.own.start,
        )
        self._engines.note_sent(candidate, request)
        owner = self._engines.owner_name(engine_id)
        note: dict[str, Any] = {"engine": engine_id, "owner": owner}
        limit_per_s = self._gate.limits.limit_per_s(engine_id)
        if limit_per_s is not None:
            note["limit_per_s"] = limit_per_s
        call.notes.setdefault("asks", []).append(note)
        try:
            reply = await self._engines.request_place(
                engine_id, request, lambda: self._now() >= latest_start()
            )
        except PlaceTooLate:
            raise progress.final_error(STOPS) from None
        finally:
            note["s"] = round(self._now() - now, 4)
        if reply.version is None:
            note["refused"] = reply.reason
            full = EngineFull(reply.reason, reply.retry_after_s)
            if note["s"] <= IMMEDIATE_REFUSAL_S or reply.reason == LIMITED:
                raise full
            raise _no_place(progress, {engine_id: full})
        note["version"] = reply.version
        if reply.paced_s:
            note["paced_s"] = reply.paced_s
        assert owner is not None
        place = GrantedPlace(
            engine_id,
            ask_id,
            owner,
            reply.version,
            reply.confirmed,
        )
        self._engines.track_run(place, request)
        return place

    def _starts_within_s(self, call: Call, progress: Progress, now: float) -> float:
        """Return how long the request may be queued for a place, in seconds.

        Callers abandon a stream after a long gap, also before its first event. Guards
        against queueing requests that would start after that.
        """
        left_s = call.left_s(now)
        route = call.route
        gap_s = route.gap_s or 0.0
        patience_s = max(
            MIN_PATIENCE_S, PATIENCE_GOALS * route.goal_s, PATIENCE_PAUSES * gap_s
        )
        wait_started_at = now if progress.started else call.request.received_at
        waits_s = min(left_s, wait_started_at + patience_s - now)
        return max(0.0, waits_s - min(MIN_RUN_S, waits_s / 2))


def _goal_within_s(call: Call, progress: Progress, now: float) -> float:
    """Return within how many seconds the next event has its full value."""
    if progress.started and call.route.gap_s is not None:
        return call.route.gap_s
    return call.goal_at - now


def _no_place(progress: Progress, full: dict[str, EngineFull]) -> Exception:
    """Return the refusal; the caller should retry when the first engine has a place."""
    first = min(full.values(), key=lambda refusal: refusal.retry_after_s)
    return progress.final_error(f"no place: {first}", first.retry_after_s)
