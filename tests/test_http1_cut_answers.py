"""Answers that stop early, cut after each byte, on connections of the event loop."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator

import h11
import pytest

from bamboovale.event_loop import loop_factory
from bamboovale.http1.connection import (
    HIGH_WATER_BYTES,
    Connection,
    IncompleteResponse,
)
from tests.cut_answers import ANSWERS, BODY, CLOSE, RESET, Answer, CuttingServer

REQUEST = h11.Request(method="GET", target="/", headers=[("Host", "h")])
Loop = Callable[[], asyncio.AbstractEventLoop]
each_answer = pytest.mark.parametrize("answer", ANSWERS, ids=lambda a: a.name)
each_end = pytest.mark.parametrize("how", [CLOSE, RESET])
each_loop = pytest.mark.parametrize(
    "loop", [asyncio.new_event_loop, loop_factory()], ids=["asyncio", "installed"]
)


@pytest.fixture
def server() -> Iterator[CuttingServer]:
    """Run a server that cuts its answers."""
    with CuttingServer().running() as running:
        yield running


def run_on(loop: Loop, test: Awaitable[None]) -> None:
    """Run a test on an event loop."""
    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(test)  # type: ignore[arg-type]


async def ask(connection: Connection) -> bytes:
    """Send a request and return the whole body of its answer."""
    connection.send(REQUEST, b"")
    assert (await connection.head()).status == 200
    body = b""
    while (data := await connection.data()) is not None:
        body += data
    return body


class TestCutAnswers:
    """Answers of endpoints that stop within their head or body."""

    @each_loop
    @each_answer
    @each_end
    @pytest.mark.parametrize("kept", [0, 1], ids=["fresh", "kept"])
    def test_a_cut_answer_is_incomplete(
        self, server: CuttingServer, answer: Answer, how: str, loop: Loop, kept: int
    ) -> None:
        """Guards against the end of a connection that passes for the end of a head."""
        server.how = how
        server.kept = (ANSWERS[0].data,) * kept

        async def test() -> None:
            for cut in range(len(answer.data) + 1):
                server.data = answer.data[:cut]
                connection = await Connection.open(*server.address)
                for _ in range(kept):
                    assert await ask(connection) == BODY
                if answer.is_whole(cut, how):
                    missing = len(answer.data) - cut
                    assert await ask(connection) == BODY[: len(BODY) - missing]
                else:
                    with pytest.raises(IncompleteResponse):
                        await ask(connection)
                    assert not connection.reusable
                connection.close()

        run_on(loop, test())

    @each_loop
    @pytest.mark.parametrize("stays_s", [0.0, 0.1])
    def test_a_large_one_that_is_reset_is_incomplete_for_a_slow_reader(
        self, server: CuttingServer, loop: Loop, stays_s: float
    ) -> None:
        """Guards against a reset that passes for a close while reading is paused."""
        body = bytes(HIGH_WATER_BYTES + 100_000)
        server.data = b"HTTP/1.1 200 OK\r\n\r\n" + body
        server.how, server.stays_s = RESET, stays_s

        async def test() -> None:
            connection = await Connection.open(*server.address)
            connection.send(REQUEST, b"")
            await connection.head()
            await asyncio.sleep(0.2)
            with pytest.raises(IncompleteResponse):
                while await connection.data() is not None:
                    pass
            connection.close()

        run_on(loop, test())
