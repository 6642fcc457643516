"""Finds a place at an engine for a request: chooses, asks the owner, asks elsewhere."""

import asyncio
from collections.abc import Callable
from typing import Any

from bamboovale.decisions.engine_choice import EngineCandidate, EngineChooser
from bamboovale.decisions.mechanisms import ALL_ON, Mechanisms
from bamboovale.gateway.call import Call
from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.engines import Engines, HeldPlace, OwnerSilent
from bamboovale.gateway.messages import PlaceRequest
from bamboovale.gateway.model import EndpointRecord, ModelWork
from bamboovale.gateway.stream_progress import Progress

MOST_FULL = 3
"""Engines that refuse a request at once before its caller is refused. Many VMs choose
by the same words, and an engine that has just come up gets more than it can place."""
AT_ONCE_S = 0.1
"""A refusal that comes later has used up the caller's patience."""
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


class EngineFull(Exception):  # noqa: N818 - reads as what happened
    """An engine's owner sees no place in time; ``retry_after_s`` tells when to ask."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class PlaceSearch:
    """Searches the engines of a pool for one request at a time."""

    def __init__(
        self,
        *,
        endpoints: EndpointView,
        engines: Engines,
        version_of: Callable[[str, str | None], int],
        now: Callable[[], float],
        mechanisms: Mechanisms = ALL_ON,
    ) -> None:
        self._endpoints = endpoints
        self._engines = engines
        self._version_of = version_of
        self._now = now
        self._mechanisms = mechanisms
        self._chooser_by_service: dict[str, EngineChooser] = {}

    async def find(
        self,
        call: Call,
        work: ModelWork,
        progress: Progress,
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
                raise _no_place(progress, full)
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
        views: dict[str, EngineCandidate],
        passed_over: set[str],
        progress: Progress,
    ) -> str | None:
        """Choose an engine; one that failed this request only if no other is left."""
        chooser = self._chooser_by_service.setdefault(
            call.service, EngineChooser(self._mechanisms)
        )
        chooser.recently_held.update(views)
        key = None if work.adapter is None else (work.model, work.adapter)
        version = self._version_of(work.model, work.adapter)
        tokens = work.prompt_tokens
        excluded = progress.excluded | passed_over
        chosen = chooser.choose(key, version, views, excluded, tokens)
        if chosen is None:
            chosen = chooser.choose(key, version, views, passed_over, tokens)
        return chosen

    def _is_unheard(self, view: EngineCandidate) -> bool:
        """Tell whether an engine's owner is still to be heard of for the first time.

        Guards against the crowd that comes back to VMs that have just started: sent
        straight to engines that hold its adapters, past their owners, its prompts are
        neither counted nor paced; and all VMs would choose by what endpoints last
        registered, the same few engines each.
        """
        return not view.has_status

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
        progress: Progress,
    ) -> tuple[EndpointRecord, HeldPlace | None]:
        """Go straight to an engine that held the adapter when last heard of."""
        key = None if work.adapter is None else (work.model, work.adapter)
        holders = [
            name
            for name, view in views.items()
            if view.snapshot is not None
            and name not in progress.excluded
            and (key is None or view.snapshot.loaded.get(key, 0) >= version)
        ]
        if not holders:
            call.notes["engines"] = len(views)
            raise progress.given_up("no engine can load it now", NO_ENGINE_RETRY_S)
        chosen = min(holders, key=lambda name: views[name].run_cost_s())
        return self._endpoints.record_by_id[chosen], None

    async def _ask(
        self,
        call: Call,
        work: ModelWork,
        view: EngineCandidate,
        version: int,
        progress: Progress,
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
            raise _no_place(progress, {engine_id: full})
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

    def _starts_within_s(self, call: Call, progress: Progress, now: float) -> float:
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


def _no_place(progress: Progress, full: dict[str, EngineFull]) -> Exception:
    """Return the refusal; its caller comes back when the first has a place."""
    first = min(full.values(), key=lambda refusal: refusal.retry_after_s)
    return progress.given_up(f"no place: {first}", first.retry_after_s)
