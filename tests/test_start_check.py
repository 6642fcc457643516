"""The check that an engine is still the start of it that is known."""

import asyncio
import json

import pytest

from bamboovale.gateway.model import EndpointRecord
from bamboovale.http1.connection import Connection
from bamboovale.platform.node_file import NodeSettings
from bamboovale.platform.translation import PlatformTranslation
from bamboovale.streams.start_check import AnotherStart, check_start
from tests.gateway_site import node_document, run
from tests.test_http1 import ask, endpoint

STARTED_MS = 7
REJECTION = (
    b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Request-Id: one\r\n"
    b"Content-Length: 0\r\n\r\n"
)


async def rejects_twice_and_reports(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Reject a request; send that a second time, and alone, before the report."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(REJECTION)
    await reader.readuntil(b"\r\n\r\n")
    writer.write(REJECTION)
    await asyncio.sleep(0.05)
    report = {"models": [], "busy": False, "seq": 2, "born": STARTED_MS}
    body = json.dumps({"stage": "both", "queued": 0, "active": 0, **report}).encode()
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    await asyncio.sleep(0.5)


def known_start(address: tuple[str, int], started_ms: int) -> EndpointRecord:
    """Return the record of an engine that is known."""
    return EndpointRecord(
        registered_id="e",
        service="llm",
        address=address,
        failure_domain="a",
        ready=True,
        slots=8,
        started_ms=started_ms,
    )


async def check(started_ms: int) -> None:
    """Check a start on a connection whose request was rejected."""
    document = node_document(("127.0.0.1", 1), "entry-0")
    codec = PlatformTranslation(NodeSettings.from_document(document).unwrap())
    async with endpoint(rejects_twice_and_reports) as address:
        connection = await Connection.open(*address, timeout_s=10.0)
        await ask(connection)
        await check_start(connection, known_start(address, started_ms), codec)
        assert connection.reusable


class TestSecondAnswer:
    """A second answer to an earlier request comes before the report."""

    def test_the_known_start_is_recognized(self) -> None:
        """Guards against streams that end although their engine could go on."""
        run(check(STARTED_MS))

    def test_another_start_is_recognized(self) -> None:
        with pytest.raises(AnotherStart):
            run(check(STARTED_MS + 1))


async def reports_and_closes(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer a request, then send a report that says that the connection ends."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(REJECTION)
    await reader.readuntil(b"\r\n\r\n")
    body = json.dumps({"models": [], "seq": 2, "born": STARTED_MS}).encode()
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
    writer.write(head % len(body) + body)
    await asyncio.sleep(0.5)


class TestLastAnswer:
    """An endpoint says with its report that it ends the connection."""

    def test_nothing_more_is_sent_on_it(self) -> None:
        """Guards against a request that fails as its connection is no longer used."""

        async def test() -> None:
            codec = PlatformTranslation(
                NodeSettings.from_document(
                    node_document(("127.0.0.1", 1), "entry-0")
                ).unwrap()
            )
            async with endpoint(reports_and_closes) as address:
                connection = await Connection.open(*address, timeout_s=10.0)
                await ask(connection)
                await check_start(connection, known_start(address, STARTED_MS), codec)
                assert connection.reusable or connection.closed

        run(test())
