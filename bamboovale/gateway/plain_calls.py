"""Calls of plain services: chooses endpoints and retries safe calls."""

import asyncio
import math
import random
from collections.abc import Callable

from bamboovale.decisions.retry_share import RetryShare
from bamboovale.decisions.routing import ServiceRouter
from bamboovale.gateway.call import Call, CallCodec, CallFailed, CallRefused
from bamboovale.gateway.endpoint_client import EndpointClient, MayHaveRun, NotRun
from bamboovale.gateway.endpoint_limits import EndpointLimits
from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.model import AnswerFacts, CallKind, EndpointRecord

REFUSAL_RETRY_S = 0.2
"""Retry delay for callers if no endpoint accepts a call."""
ATTEMPT_TIME_SHARE = 0.45
"""Share of the time left after which a safe call is retried elsewhere; guards against
an endpoint that hangs until the caller's deadline."""
MIN_ATTEMPT_TIMEOUT_S = 0.15
"""Lower bound of that timeout, above usual answer times."""
MAX_LIMIT_RETRY_S = 2.0
"""Longest retry delay while endpoints are at their limits: another VM may use them."""
MAX_ATTEMPTS = 6
"""Endpoints tried for one call, refusals included; each draws on the retry budget."""
FULL_PAUSE_S = 0.05
"""Pause before the endpoints are tried anew once all have rejected a call as full:
about the time until one of their running calls ends."""
FULL_PATIENCE_GOALS = 0.5
"""Part of the route's goal after which such a call is refused."""
SERVER_ERROR = 500


class PlainCalls:
    """Runs calls at the endpoints of plain services."""

    def __init__(
        self,
        client: EndpointClient,
        codec: CallCodec,
        endpoints: EndpointView,
        limits: EndpointLimits,
        share_of: Callable[[str], RetryShare],
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._client = client
        self._codec = codec
        self._endpoints = endpoints
        self._limits = limits
        self._share_of = share_of
        self._now = now
        self._rng = rng
        self._router_by_service: dict[str, ServiceRouter] = {}
        self._endpoints_by_service: dict[str, frozenset[str]] = {}
        self._last_call_number = 0

    async def run(self, call: Call) -> None:
        """Answer the call; raises CallRefused or CallFailed."""
        share = self._share_of(call.service)
        share.on_fresh(self._now())
        excluded: set[str] = set()
        runs = 0
        answered: tuple[AnswerFacts, bytes] | None = None
        failure: Exception | None = None
        for number in range(MAX_ATTEMPTS):
            record = await self._next_endpoint(call, excluded, failure)
            if record is None or (number and not share.take(self._now())):
                break
            excluded.add(record.endpoint_id)
            self._limits.take(record.endpoint_id)
            try:
                facts, body = await self._try_once(call, record, number)
            except NotRun as error:
                failure = failure if isinstance(failure, MayHaveRun) else error
                continue
            except MayHaveRun as error:
                failure = error
                runs += 1
            else:
                runs += 1
                answered = (facts, body)
                if facts.status < SERVER_ERROR:
                    break
            if call.route.kind is not CallKind.SAFE or runs >= call.route.max_attempts:
                break
        if answered is not None:
            facts, body = answered
            call.notes["status"] = facts.status
            call.responder.answer(facts.status, facts.headers, body)
            return
        self._give_up(call, failure)

    async def _next_endpoint(
        self, call: Call, excluded: set[str], failure: Exception | None
    ) -> EndpointRecord | None:
        """Return the endpoint to try next, None if the call cannot be sent in time.

        Waits for one that has room, or may get a call by its limit, within a part of
        the goal: guards against refusals in the bursts of a pool that can carry its
        load.
        """
        record = self._choose(call.service, excluded)
        if record is not None:
            return record
        wait_s = self._wait_for_room_s(call, excluded, failure)
        if not self._may_wait(call, wait_s):
            return None
        await asyncio.sleep(wait_s * self._rng.uniform(0.5, 1.5))
        excluded.clear()
        return self._choose(call.service, excluded)

    def _wait_for_room_s(
        self, call: Call, excluded: set[str], failure: Exception | None
    ) -> float:
        """Return how long to wait before the endpoints are tried anew."""
        if isinstance(failure, NotRun) and failure.is_full:
            return FULL_PAUSE_S
        waits_s = self._limit_waits_s(call.service)
        return min(
            (s for n, s in waits_s.items() if n not in excluded), default=math.inf
        )

    def _may_wait(self, call: Call, wait_s: float) -> bool:
        waited_s = self._now() - call.request.received_at
        return waited_s + wait_s < FULL_PATIENCE_GOALS * call.route.goal_s

    def _limit_waits_s(self, service: str) -> dict[str, float]:
        """Return by id how long endpoints at their limits take no call from here."""
        return {
            record.endpoint_id: wait_s
            for record in self._endpoints.ready(service)
            if (wait_s := self._limits.wait_s(record.endpoint_id)) > 0.0
        }

    def _give_up(self, call: Call, failure: Exception | None) -> None:
        if isinstance(failure, MayHaveRun):
            raise CallFailed(str(failure))
        if isinstance(failure, NotRun):
            raise CallRefused(str(failure), failure.retry_after_s or REFUSAL_RETRY_S)
        waits_s = self._limit_waits_s(call.service)
        if waits_s:
            retry_s = min(MAX_LIMIT_RETRY_S, *waits_s.values())
            raise CallRefused("the endpoints are at their limits", retry_s)
        raise CallRefused("no endpoint accepts calls", REFUSAL_RETRY_S)

    async def _try_once(
        self,
        call: Call,
        record: EndpointRecord,
        number: int,
    ) -> tuple[AnswerFacts, bytes]:
        router = self._router_by_service[call.service]
        self._last_call_number += 1
        call_id = str(self._last_call_number)
        started_at = self._now()
        note = call.note_attempt(endpoint=record.endpoint_id)
        router.on_start(record.endpoint_id, call_id, started_at)
        ok = error_answer = rejected = False
        try:
            async with asyncio.timeout(self._attempt_timeout_s(call, number)):
                answer = await self._exchange(call, record)
            note["status"] = answer[0].status
            ok = True
            error_answer = answer[0].status >= SERVER_ERROR
            return answer
        except TimeoutError as error:
            note["failed"] = "no answer in time"
            raise MayHaveRun("no answer in time") from error
        except (NotRun, MayHaveRun) as error:
            note["failed"] = str(error)
            rejected = isinstance(error, NotRun) and error.is_full
            raise
        except asyncio.CancelledError:
            ok = True
            raise
        finally:
            note["s"] = round(self._now() - started_at, 4)
            self._note_end(router, record, call_id, rejected, ok, error_answer)

    def _note_end(
        self,
        router: ServiceRouter,
        record: EndpointRecord,
        call_id: str,
        rejected: bool,
        ok: bool,
        error: bool,
    ) -> None:
        if rejected:
            router.on_rejected(record.endpoint_id, call_id, self._now())
        else:
            now = self._now()
            router.on_end(record.endpoint_id, call_id, now, ok=ok, error=error)

    def _attempt_timeout_s(self, call: Call, number: int) -> float | None:
        """Return the timeout of one attempt; None: only the call's deadline applies."""
        repeatable = call.route.kind is CallKind.SAFE and call.route.max_attempts > 1
        if not repeatable or number + 1 >= call.route.max_attempts:
            return None
        left_s = call.left_s(self._now())
        return max(MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIME_SHARE * left_s)

    async def _exchange(
        self,
        call: Call,
        record: EndpointRecord,
    ) -> tuple[AnswerFacts, bytes]:
        once_only = call.route.kind is not CallKind.SAFE
        connection = await self._client.connect(record, once_only=once_only)
        with self._client.closing(record, connection):
            request = self._codec.encode_call(
                call.request,
                call.facts,
                registered_id=record.registered_id,
                left_s=call.left_s(self._now()),
            )
            attempt = await self._client.send(
                connection,
                request,
                call.request.body,
                call.facts.request_id,
                record.endpoint_id,
            )
            return attempt.facts, await attempt.read_body()

    def _choose(self, service: str, excluded: set[str]) -> EndpointRecord | None:
        router = self._router_by_service.setdefault(service, ServiceRouter())
        listed = frozenset(
            record.endpoint_id for record in self._endpoints.ready(service)
        )
        if listed != self._endpoints_by_service.get(service):
            self._endpoints_by_service[service] = listed
            router.set_endpoints(listed)
        now = self._now()
        router.on_tick(now)
        name = router.choose(
            now, self._rng, excluded | self._limit_waits_s(service).keys()
        )
        return None if name is None else self._endpoints.record_by_id.get(name)
