"""Checks that an endpoint is still the start of it that is known.

Its software version belongs to one start. An endpoint that starts again under its id
and address may do so with other software before anybody hears of it; only what its
process says on the connection on which a request will go shows which one it is.
"""

import asyncio
from typing import Protocol

import h11

from bamboovale.gateway.model import AnswerFacts, EndpointRecord, EngineReport
from bamboovale.http1.body import read_body
from bamboovale.http1.connection import (
    MAX_STALE_RESPONSES,
    Connection,
    IncompleteResponse,
    ResponseHead,
)

TIMEOUT_S = 1.0
MAX_REPORT_BYTES = 256 * 1024
"""Also of such an answer, which may be that to a request."""
OK = 200


class ReportCodec(Protocol):
    """Encodes and decodes reports of engines."""

    def report_request(self, registered_id: str, host: str) -> h11.Request:
        """Return the request for a report."""

    def decode_answer(self, head: ResponseHead) -> AnswerFacts:
        """Read the head of an answer."""

    def decode_report(self, body: bytes) -> EngineReport:
        """Read a report; raises ValueError."""


class AnotherStart(Exception):  # noqa: N818 - reads as what happened
    """The endpoint started again, or does not show that it did not."""


async def check_start(
    connection: Connection, record: EndpointRecord, codec: ReportCodec
) -> None:
    """Read the report of an engine on a connection; raises AnotherStart.

    Closes the connection if nothing more can be sent on it.
    """
    host = f"{record.address[0]}:{record.address[1]}"
    try:
        async with asyncio.timeout(TIMEOUT_S):
            connection.send(codec.report_request(record.registered_id, host), b"")
            head, body = await _read_report(connection, codec)
    except (TimeoutError, IncompleteResponse) as error:
        raise AnotherStart(f"no report: {error}") from error
    if head.status != OK:
        raise AnotherStart(f"report: {head.status}")
    try:
        report = codec.decode_report(body)
    except ValueError as error:
        raise AnotherStart(str(error)) from error
    if report.started_ms != record.started_ms:
        raise AnotherStart("the engine started again")
    if not connection.reusable:
        # Guards against a request on a connection that ends with the report.
        connection.close()


async def _read_report(
    connection: Connection, codec: ReportCodec
) -> tuple[ResponseHead, bytes]:
    """Return head and body of the report, skipping second answers to requests.

    Those name their request, which a report does not.
    """
    for _ in range(MAX_STALE_RESPONSES + 1):
        head = await connection.head()
        body = await read_body(connection, MAX_REPORT_BYTES)
        if codec.decode_answer(head).request_id is None:
            return head, body
        if not connection.skip_response():
            break
    raise IncompleteResponse("only answers to other requests were received")
