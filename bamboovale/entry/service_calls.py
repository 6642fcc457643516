"""Proxies calls below ``/services/NAME/`` to endpoints of plain services."""

from collections.abc import Iterable

from result import Err, Ok, Result

from bamboovale.catalogue.entries import ServiceEntry
from bamboovale.decisions.admission import Limits
from bamboovale.entry.caller_answer import CallerAnswer
from bamboovale.entry.caller_request import CallerRequest
from bamboovale.entry.decision_facade import DecisionFacade
from bamboovale.entry.disconnects import DisconnectWatcher
from bamboovale.entry.endpoint_connections import (
    ConnectFailedError,
    EndpointConnections,
    Exchange,
    ExchangeFailedError,
)
from bamboovale.entry.permits import DisconnectSignal
from bamboovale.entry.request_lifecycle import RequestLifecycle
from bamboovale.environment import Environment
from bamboovale.errors import ErrorCode, Refusal
from bamboovale.views import Views

PREFIX = "/services/"
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Answers are buffered, so that a truncated one is never forwarded."""

MAX_TRIES = 3

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Headers that belong to one connection (RFC 9110, section 7.6.1)."""


class ServiceCalls:
    """Routes calls to the endpoints of plain services."""

    def __init__(
        self,
        environment: Environment,
        views: Views,
        decisions: DecisionFacade,
        connections: EndpointConnections,
        disconnects: DisconnectWatcher,
        lifecycle: RequestLifecycle,
    ) -> None:
        self._environment = environment
        self._views = views
        self._decisions = decisions
        self._connections = connections
        self._disconnects = disconnects
        self._lifecycle = lifecycle

    def answer(self, request: CallerRequest, raw_path: str) -> CallerAnswer:
        """Return the answer to a call; ``raw_path`` is the path before URL decoding."""
        name, _, rest = raw_path[len(PREFIX) :].partition("/")
        catalogue = self._views.catalogue
        entry = None if catalogue is None else catalogue.service_by_name.get(name)
        if entry is None:
            refusal = Refusal(ErrorCode.NOT_FOUND, f"no service {name!r}", not_run=True)
            return CallerAnswer.refusal(refusal, request.request_id)
        return self._lifecycle.answer(
            request,
            f"service/{entry.name}",
            entry.owner,
            Limits(entry.limits.requests_per_s, entry.limits.concurrency),
            lambda: self._call(request, entry, f"/{rest}"),
        )

    def _call(
        self,
        request: CallerRequest,
        entry: ServiceEntry,
        path: str,
    ) -> CallerAnswer:
        """Call one endpoint after another while the call may be retried."""
        call = _Call(request, entry, path, _is_idempotent(request, entry))
        while True:
            result = self._try_once(call)
            if isinstance(result, Ok):
                return result.ok_value
            refusal = result.err_value
            if refusal is None:
                continue
            return CallerAnswer.refusal(refusal, request.request_id)

    def _try_once(self, call: "_Call") -> Result[CallerAnswer, Refusal | None]:
        """Call one endpoint; Err(None) if another one is to be tried."""
        attempt_id = self._lifecycle.new_attempt_id(call.request)
        endpoint_id = self._decisions.choose_endpoint(
            call.entry.pool,
            attempt_id,
            call.excluded,
        )
        if endpoint_id is None:
            return Err(self._no_endpoint(call))
        ok = False
        try:
            answer = self._exchange(call, endpoint_id, attempt_id)
            ok = answer.status < 500
            return Ok(answer)
        except ConnectFailedError as error:
            call.excluded.add(endpoint_id)
            return Err(self._after_failed_connect(call, str(error)))
        except ExchangeFailedError as error:
            call.excluded.add(endpoint_id)
            call.ran = True
            return Err(self._after_lost_answer(call, str(error)))
        finally:
            self._decisions.call_ended(call.entry.pool, endpoint_id, attempt_id, ok)

    def _exchange(
        self,
        call: "_Call",
        endpoint_id: str,
        attempt_id: str,
    ) -> CallerAnswer:
        address = self._views.membership.address_of(endpoint_id, "http")
        if address is None:
            raise ConnectFailedError("the endpoint is no longer listed")
        timeout_s = self._time_left(call)
        exchange = self._connections.open(
            address,
            timeout_s,
            fresh=not call.idempotent,
        )
        finished = False
        self._environment.metrics.attempts.inc()
        try:
            call.disconnect.on_disconnect(exchange.abort)
            with self._disconnects.watch(
                call.request.connection, call.disconnect.trigger
            ):
                body = self._send(call, exchange, attempt_id, address[0])
            finished = True
        finally:
            if finished:
                self._connections.release(address, exchange)
            else:
                self._connections.discard(exchange)
        assert exchange.response is not None
        headers = [
            *_end_to_end(exchange.response.headers.items()),
            ("X-Request-Id", call.request.request_id),
            ("X-Endpoint", endpoint_id),
            ("X-Entry", self._environment.settings.id),
        ]
        return CallerAnswer.complete(exchange.response.status, headers, body)

    def _send(
        self,
        call: "_Call",
        exchange: Exchange,
        attempt_id: str,
        host: str,
    ) -> bytes:
        request = call.request
        headers = dict(_end_to_end(request.header_by_name.items()))
        headers["host"] = host
        headers["x-request-id"] = attempt_id
        headers["via"] = "1.1 bamboovale"
        target = call.path + (f"?{request.query}" if request.query else "")
        exchange.send(request.method, target, request.body, headers)
        return exchange.read(MAX_ANSWER_BYTES)

    def _time_left(self, call: "_Call") -> float:
        timeout_s = call.entry.timeout_s
        deadline_s = call.request.deadline_s
        if deadline_s is not None:
            passed = self._environment.now() - call.request.arrived_at
            timeout_s = min(timeout_s, max(0.01, deadline_s - passed))
        return timeout_s

    # Failures.

    def _no_endpoint(self, call: "_Call") -> Refusal:
        return Refusal(
            ErrorCode.ENDPOINT_ERROR if call.ran else ErrorCode.NO_ENDPOINT,
            f"no endpoint of {call.entry.pool} can take the call",
            not_run=not call.ran,
            retry_after_s=1.0,
        )

    def _after_failed_connect(self, call: "_Call", reason: str) -> Refusal | None:
        call.tries += 1
        if call.tries < MAX_TRIES:
            return None
        return Refusal(
            ErrorCode.NO_ENDPOINT,
            f"no endpoint took the call: {reason}",
            not_run=not call.ran,
            retry_after_s=1.0,
        )

    def _after_lost_answer(self, call: "_Call", reason: str) -> Refusal | None:
        """Return None to retry an idempotent call within the budget, else a refusal."""
        call.tries += 1
        if not call.idempotent or call.disconnect.disconnected:
            return Refusal(
                ErrorCode.OUTCOME_UNKNOWN,
                f"the call was sent and its answer is lost ({reason})",
                not_run=False,
            )
        if call.tries < MAX_TRIES and self._decisions.may_retry():
            self._environment.metrics.retries.inc()
            return None
        return Refusal(
            ErrorCode.ENDPOINT_ERROR,
            f"the endpoint's answer is lost ({reason})",
            not_run=False,
            retry_after_s=1.0,
        )


class _Call:
    """State of one call across its tries."""

    def __init__(
        self,
        request: CallerRequest,
        entry: ServiceEntry,
        path: str,
        idempotent: bool,
    ) -> None:
        self.request = request
        self.entry = entry
        self.path = path
        self.idempotent = idempotent
        self.disconnect = DisconnectSignal()
        self.excluded: set[str] = set()
        self.tries = 0
        self.ran = False


def _is_idempotent(request: CallerRequest, entry: ServiceEntry) -> bool:
    """Decide by the caller's header, then by the method, then by the entry."""
    if request.idempotent is not None:
        return request.idempotent
    return request.method in SAFE_METHODS or entry.idempotent


def _end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Drop hop-by-hop headers and those that are set again."""
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | named | {"content-length", "host", "x-request-id"}
    return [(name, value) for name, value in pairs if name.lower() not in dropped]
