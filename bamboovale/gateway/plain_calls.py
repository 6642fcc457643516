"""Calls of plain services: chooses endpoints and retries safe calls."""

import asyncio
import math
import random
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager

import h11

from bamboovale.crashes.guard import CRASHES_ENDPOINTS, REFUSED_RETRY_S, CrashGuard
from bamboovale.decisions.place_endpoint import CallEnd
from bamboovale.decisions.routing import ServiceRouter
from bamboovale.gateway.call import (
    Call,
    CallCodec,
    CallerLeft,
    CallFailed,
    CallRefused,
)
from bamboovale.gateway.endpoint_client import EndpointClient, MayHaveRun, NotRun
from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.model import AnswerFacts, CallKind, EndpointRecord
from bamboovale.gateway.plain_attempts import Attempts
from bamboovale.gateway.retry_budgets import RetryBudgets, cause_of
from bamboovale.gateway.send_gate import SendGate
from bamboovale.shared_places.places import OwnChoices, Place, Places

REFUSAL_RETRY_S = 0.2
"""Retry delay for callers if no endpoint accepts a call."""
ATTEMPT_TIME_SHARE = 0.45
"""Share of the time left after which a safe call is retried elsewhere; guards against
an endpoint that hangs until the caller's deadline."""
MIN_ATTEMPT_TIMEOUT_S = 0.15
"""Lower bound of that timeout, above usual answer times."""
NO_SHARE_RETRY_S = 1.0
"""Retry delay for callers if only other VMs may use endpoints at their limits."""
MAX_ATTEMPTS = 6
"""Endpoints tried for one call, refusals included; each draws on the retry budget."""
FULL_PAUSE_S = 0.05
"""Pause before the endpoints are tried anew once all have rejected a call as full:
about the time until one of their running calls ends."""
BRITTLE_PAUSE_S = 0.02
"""Pause between looks for room at brittle endpoints, which is known here."""
FULL_PATIENCE_GOALS = 0.5
"""Part of the route's goal after which such a call is refused."""
NO_PLACE = "no_place"
AT_REST = "at_rest"
FULL = "full"
UNREACHED = "unreached"
NO_ENDPOINT = "no_endpoint"
CRASHES = "crashes"
"""Reasons for which calls are refused, in the counter."""
CLIENT_ERROR = 400
SERVER_ERROR = 500


class PlainCalls:
    """Runs calls at the endpoints of plain services."""

    def __init__(
        self,
        client: EndpointClient,
        codec: CallCodec,
        endpoints: EndpointView,
        gate: SendGate,
        retries: RetryBudgets,
        crashes: CrashGuard,
        now: Callable[[], float],
        rng: random.Random,
        places: Places | None = None,
        on_refused: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._on_refused = on_refused
        self._places = places or OwnChoices()
        self._client = client
        self._codec = codec
        self._endpoints = endpoints
        self._gate = gate
        self._retries = retries
        self._crashes = crashes
        self._now = now
        self._rng = rng
        self._router_by_service: dict[str, ServiceRouter] = {}
        self._endpoints_by_service: dict[str, frozenset[str]] = {}
        self._last_call_number = 0

    async def run(self, call: Call) -> None:
        """Answer the call; raises CallRefused or CallFailed."""
        self._retries.on_fresh(call.service)
        so_far = Attempts()
        for number in range(MAX_ATTEMPTS):
            async with self._open_place(call, so_far) as place:
                if not await self._attempt(call, place, so_far, number):
                    break
        if so_far.answer is None:
            self._give_up(call, so_far)
            return
        call.answer(*so_far.answer)

    def _open_place(
        self, call: Call, so_far: Attempts
    ) -> AbstractAsyncContextManager[Place]:
        waited_s = self._now() - call.request.received_at
        return self._places.open(
            call,
            lambda: so_far.excluded | self._unusable_ids(call),
            FULL_PATIENCE_GOALS * call.route.goal_s - waited_s,
        )

    async def _attempt(
        self, call: Call, place: Place, so_far: Attempts, number: int
    ) -> bool:
        """Make one attempt, if it may go out; return whether another may follow."""
        call.check_caller()
        so_far.no_place_retry_s = place.retry_after_s
        if place.retry_after_s is not None:
            return False
        record = await self._endpoint_of(place, call, so_far)
        so_far.is_refused = self._crashes.is_refused(call)
        if record is None or so_far.is_refused or not self._may_send(call, so_far):
            return False
        so_far.excluded.add(record.endpoint_id)
        self._gate.take(record.endpoint_id)
        place.on_sent(record.endpoint_id)
        try:
            facts, body = await self._try_once(call, record, number, place)
        except NotRun as error:
            so_far.on_not_run(error)
            return True
        except MayHaveRun as error:
            so_far.on_broken(error)
        else:
            so_far.on_answer(facts, body)
            if facts.status < SERVER_ERROR:
                return False
        is_safe = call.route.kind is CallKind.SAFE
        return is_safe and so_far.runs < call.route.max_attempts

    async def _endpoint_of(
        self, place: Place, call: Call, so_far: Attempts
    ) -> EndpointRecord | None:
        """Return the granted endpoint while it takes calls from here, else another."""
        granted = place.endpoint_id
        if granted is None or not self._endpoints.is_ready(granted):
            return await self._next_endpoint(call, so_far)
        if granted in self._unusable_ids(call):
            return await self._next_endpoint(call, so_far)
        return self._endpoints.record_by_id[granted]

    def _may_send(self, call: Call, so_far: Attempts) -> bool:
        """Return whether a first attempt, or a retry by the budget, may go out.

        An attempt that never reached an endpoint leaves the next one the first.
        """
        if not so_far.arrivals:
            return True
        return self._retries.take(call, cause_of(so_far.last_failure))

    async def _next_endpoint(
        self, call: Call, so_far: Attempts
    ) -> EndpointRecord | None:
        """Return the endpoint to try next, None if the call cannot be sent in time.

        Waits for one that has room, or may get a call by its limit or after its rest,
        within a part of the goal: guards against refusals in the bursts of a pool that
        can carry its load.
        """
        excluded, failure = so_far.excluded, so_far.failure
        record = self._choose(call, excluded)
        if record is not None:
            return record
        if self._gate.most_by_id(self._endpoints.ready(call.service)):
            return await self._wait_for_brittle(call, excluded)
        is_full = isinstance(failure, NotRun) and failure.is_full
        wait_s = self._wait_for_room_s(call.service, excluded, is_full=is_full)
        if not self._may_wait(call, wait_s):
            return None
        await asyncio.sleep(wait_s)
        if is_full:
            excluded.clear()
        return self._choose(call, excluded)

    async def _wait_for_brittle(
        self, call: Call, excluded: set[str]
    ) -> EndpointRecord | None:
        """Return an endpoint once one has room for this VM, None if not in time.

        Guards against endpoints that fall over as they must turn calls away.
        """
        record = None
        while record is None and self._may_wait(call, BRITTLE_PAUSE_S):
            await asyncio.sleep(BRITTLE_PAUSE_S)
            excluded.clear()
            record = self._choose(call, excluded)
        return record

    def _wait_for_room_s(
        self, service: str, excluded: set[str], *, is_full: bool
    ) -> float:
        """Return how long to wait before the endpoints are tried anew.

        ``is_full`` is whether the excluded ones were just full, which soon passes.
        """
        waits_s = self._waits_s(service)
        if not is_full:
            return min(
                (s for n, s in waits_s.items() if n not in excluded), default=math.inf
            )
        return max(
            FULL_PAUSE_S * self._rng.uniform(0.5, 1.5),
            self._common_wait_s(service),
        )

    def _may_wait(self, call: Call, wait_s: float) -> bool:
        waited_s = self._now() - call.request.received_at
        return waited_s + wait_s < FULL_PATIENCE_GOALS * call.route.goal_s

    def _waits_s(self, service: str) -> dict[str, float]:
        """Return the wait by id for the endpoints that take no call from here now."""
        return self._gate.waits_s(self._listed(service))

    def _common_wait_s(self, service: str) -> float:
        """Return the wait until the first endpoint takes a call from here."""
        waits_s = self._waits_s(service)
        takes_none = len(waits_s) == len(self._listed(service))
        return min(waits_s.values(), default=0.0) if takes_none else 0.0

    def _listed(self, service: str) -> frozenset[str]:
        """Return the endpoints that accept new work."""
        records = self._endpoints.ready(service)
        return frozenset(record.endpoint_id for record in records)

    def _give_up(self, call: Call, so_far: Attempts) -> None:
        if isinstance(so_far.failure, MayHaveRun):
            raise CallFailed(str(so_far.failure))
        reason, refusal = self._refusal(call, so_far)
        self._on_refused(reason)
        raise refusal

    def _refusal(self, call: Call, so_far: Attempts) -> tuple[str, CallRefused]:
        """Return why a call is refused, as a label, and the refusal."""
        failure = so_far.failure
        if so_far.is_refused:
            return CRASHES, CallRefused(CRASHES_ENDPOINTS, REFUSED_RETRY_S)
        if so_far.no_place_retry_s is not None:
            reason = "no place is expected in time"
            return NO_PLACE, CallRefused(reason, so_far.no_place_retry_s)
        wait_s = self._common_wait_s(call.service)
        if wait_s > 0.0:
            reason = "the endpoints want rest or are at their limits"
            retry_s = wait_s if math.isfinite(wait_s) else NO_SHARE_RETRY_S
            return AT_REST, CallRefused(reason, retry_s)
        if isinstance(failure, NotRun):
            retry_s = failure.retry_after_s or REFUSAL_RETRY_S
            label = FULL if failure.is_full else UNREACHED
            return label, CallRefused(str(failure), retry_s)
        refusal = CallRefused("no endpoint accepts calls", REFUSAL_RETRY_S)
        return NO_ENDPOINT, refusal

    async def _try_once(
        self,
        call: Call,
        record: EndpointRecord,
        number: int,
        place: Place,
    ) -> tuple[AnswerFacts, bytes]:
        router = self._router_by_service[call.service]
        self._last_call_number += 1
        call_id = str(self._last_call_number)
        started_at = self._now()
        note = call.note_attempt(started_at, endpoint=record.endpoint_id)
        router.on_start(record.endpoint_id, call_id, started_at)
        ok, end = False, CallEnd.FAILED
        try:
            with self._crashes.watch(call, record) as watch:
                async with asyncio.timeout(self._attempt_timeout_s(call, number)):
                    answer = await self._exchange(call, record)
                if answer[0].status >= CLIENT_ERROR:
                    watch.on_failure()
            note["status"] = answer[0].status
            ok = True
            if answer[0].status < SERVER_ERROR:
                end = CallEnd.ANSWERED
            return answer
        except TimeoutError as error:
            note["failed"] = "no answer in time"
            raise MayHaveRun("no answer in time") from error
        except (NotRun, MayHaveRun) as error:
            note["failed"] = str(error)
            if isinstance(error, NotRun) and error.is_full:
                end = CallEnd.REJECTED
            raise
        except (asyncio.CancelledError, CallerLeft):
            ok, end = True, CallEnd.UNUSED
            raise
        finally:
            took_s = self._now() - started_at
            note["s"] = round(took_s, 4)
            place.on_end(end, took_s)
            self._note_end(router, record, call_id, end, ok)

    def _note_end(
        self,
        router: ServiceRouter,
        record: EndpointRecord,
        call_id: str,
        end: CallEnd,
        ok: bool,
    ) -> None:
        if end is CallEnd.REJECTED:
            self._gate.on_rejected(
                record.endpoint_id, router.under_way(record.endpoint_id)
            )
            router.on_rejected(record.endpoint_id, call_id, self._now())
        else:
            now = self._now()
            is_error = ok and end is CallEnd.FAILED
            router.on_end(record.endpoint_id, call_id, now, ok=ok, error=is_error)

    def _attempt_timeout_s(self, call: Call, number: int) -> float | None:
        """Return the timeout of one attempt; None: only the call's deadline applies."""
        repeatable = call.route.kind is CallKind.SAFE and call.route.max_attempts > 1
        if not repeatable or number + 1 >= call.route.max_attempts:
            return None
        left_s = call.left_s(self._now())
        return max(MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIME_SHARE * left_s)

    async def _exchange(
        self, call: Call, record: EndpointRecord
    ) -> tuple[AnswerFacts, bytes]:
        def encode() -> h11.Request:
            return self._codec.encode_call(
                call.request,
                call.facts,
                registered_id=record.registered_id,
                left_s=call.left_s(self._now()),
            )

        once_only = call.route.kind is not CallKind.SAFE
        sending = self._client.attempt(call, record, encode, once_only=once_only)
        async with sending as answer:
            return answer.facts, await answer.read_body()

    def _choose(self, call: Call, excluded: set[str]) -> EndpointRecord | None:
        router = self._router(call.service)
        now = self._now()
        router.on_tick(now)
        name = router.choose(now, self._rng, excluded | self._blocked_ids(call))
        return None if name is None else self._endpoints.record_by_id.get(name)

    def _router(self, service: str) -> ServiceRouter:
        """Return the router of a service with the endpoints that accept new work."""
        router = self._router_by_service.setdefault(service, ServiceRouter())
        listed = self._listed(service)
        if listed != self._endpoints_by_service.get(service):
            self._endpoints_by_service[service] = listed
            router.set_endpoints(listed)
        router.set_most(self._gate.most_by_id(self._endpoints.ready(service)))
        return router

    def _blocked_ids(self, call: Call) -> set[str]:
        """Return the endpoints that take no call from this VM now."""
        listed = self._listed(call.service)
        blocked = self._gate.waits_s(listed).keys()
        self._gate.note_passed_over(call.notes, blocked)
        return set(blocked)

    def _unusable_ids(self, call: Call) -> set[str]:
        """Return the endpoints that take no call, or no more, from this VM now."""
        router = self._router(call.service)
        most_by_id = self._gate.most_by_id(self._endpoints.ready(call.service))
        full = {n for n, most in most_by_id.items() if router.under_way(n) >= most}
        return self._blocked_ids(call) | full
