"""Client for engines: reads their reports and sends orders with fencing numbers."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

import h11

from bamboovale.decisions.order_timeout import OrderTimeout
from bamboovale.gateway.model import (
    AnswerNotice,
    EndpointRecord,
    EndpointSignals,
    EngineOrder,
    EngineReport,
    OrderOutcome,
)
from bamboovale.http1.body import read_body
from bamboovale.http1.connection import (
    ConnectFailed,
    IncompleteResponse,
    ResponseHead,
)
from bamboovale.http1.pool import ConnectionPool

MAX_ANSWER_BYTES = 256 * 1024
"""Of a report, the longest answer: it names an engine's adapters and runs."""
REPORT_TIMEOUT_S = 1.0
"""An engine answers within milliseconds; a slow link adds some hundred."""


class EngineCodec(Protocol):
    """Encodes and decodes reports and orders in the engine's format."""

    def report_request(self, registered_id: str, host: str) -> h11.Request:
        """Return the request for a report."""

    def decode_report(self, body: bytes) -> EngineReport:
        """Read a report; raises ValueError."""

    def order_request(
        self,
        order: EngineOrder,
        *,
        registered_id: str,
        host: str,
        holder: str,
        fence: int,
        expected_orders: int | None,
    ) -> tuple[h11.Request, bytes]:
        """Return the request and body that send an order."""

    def decode_signals(self, head: ResponseHead) -> EndpointSignals:
        """Read what an engine says of itself in an answer."""

    def order_outcome(self, status: int) -> OrderOutcome:
        """Decode the HTTP status of an answer to an order."""


class EngineCallFailed(Exception):  # noqa: N818 - reads as what happened
    """No usable answer was received; the engine may have carried out the call.

    ``unreachable`` is true if the engine refused the connection.
    """

    def __init__(self, message: str, *, unreachable: bool = False) -> None:
        super().__init__(message)
        self.unreachable = unreachable


class EngineClient:
    """Calls engines over a connection pool that carries no callers' requests.

    ``on_hanging`` is called with an engine that answered nothing on an open connection,
    and how that ended.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        codec: EngineCodec,
        holder: str,
        on_answer: Callable[[AnswerNotice], None],
        on_call: Callable[[str, str], None] = lambda name, outcome: None,
        on_hanging: Callable[[str, str], None] = lambda endpoint_id, reason: None,
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._holder = holder
        self._on_answer = on_answer
        self._on_call = on_call
        self._on_hanging = on_hanging
        self._order_timeout = OrderTimeout()

    async def report(self, record: EndpointRecord) -> EngineReport:
        """Return the engine's report; raises EngineCallFailed."""
        request = self._codec.report_request(record.registered_id, _host(record))
        status, body = await self._exchange(record, request, b"", REPORT_TIMEOUT_S)
        self._on_call("report", str(status))
        if status != 200:
            gone = self._codec.order_outcome(status) is OrderOutcome.GONE
            raise EngineCallFailed(f"report: {status}", unreachable=gone)
        try:
            return self._codec.decode_report(body)
        except ValueError as error:
            raise EngineCallFailed(str(error)) from error

    async def order(
        self,
        record: EndpointRecord,
        order: EngineOrder,
        fence: int,
        expected_orders: int | None,
        lost: int = 0,
    ) -> OrderOutcome:
        """Send an order; UNKNOWN without an answer, as it may be carried out late.

        ``lost`` is how many earlier attempts of the same order had no answer.
        """
        request, body = self._codec.order_request(
            order,
            registered_id=record.registered_id,
            host=_host(record),
            holder=self._holder,
            fence=fence,
            expected_orders=expected_orders,
        )
        timeout_s = self._order_timeout.timeout_s(lost)
        asked_at = time.monotonic()
        try:
            status, _ = await self._exchange(record, request, body, timeout_s)
        except EngineCallFailed:
            outcome = OrderOutcome.UNKNOWN
        else:
            outcome = self._codec.order_outcome(status)
            self._order_timeout.on_answer(time.monotonic() - asked_at)
        self._on_call("order", outcome.name.lower())
        return outcome

    async def _exchange(
        self,
        record: EndpointRecord,
        request: h11.Request,
        body: bytes,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        connection = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._pool.take(record.endpoint_id, record.address)
                sent_at = time.monotonic()
                connection.send(request, body)
                head = await connection.head()
                signals = self._codec.decode_signals(head)
                notice = AnswerNotice(record.endpoint_id, signals, sent_at)
                self._on_answer(notice)
                answer = await read_body(connection, MAX_ANSWER_BYTES)
        except (TimeoutError, ConnectFailed, IncompleteResponse, OSError) as error:
            if connection is not None:
                connection.close()
                self._on_hanging(record.endpoint_id, type(error).__name__)
            raise EngineCallFailed(
                f"{type(error).__name__}: {error}",
                unreachable=isinstance(error, ConnectFailed),
            ) from error
        self._pool.give_back(record.endpoint_id, connection)
        return head.status, answer


def _host(record: EndpointRecord) -> str:
    return f"{record.address[0]}:{record.address[1]}"
