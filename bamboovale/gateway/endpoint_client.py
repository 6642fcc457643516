"""HTTP client for endpoints: sends one attempt of a request to one endpoint."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import h11

from bamboovale.gateway.call import CallCodec
from bamboovale.gateway.model import AnswerFacts, AnswerNotice, EndpointRecord
from bamboovale.http1.connection import ConnectFailed, Connection, IncompleteResponse
from bamboovale.http1.pool import ConnectionPool

MAX_STALE_ANSWERS = 2
"""Answers to earlier requests that are skipped on one connection."""
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
"""Limit of an answer that is buffered whole before it is forwarded."""


class NotRun(Exception):  # noqa: N818 - reads as what happened
    """The endpoint did not run the request, or was never reached.

    ``reached`` is whether the request arrived there, which counts as an attempt;
    ``is_full`` whether the endpoint itself was there and had no room.
    """

    def __init__(
        self,
        reason: str,
        *,
        reached: bool,
        wrong_endpoint: bool = False,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(reason)
        self.reached = reached
        self.is_full = reached and not wrong_endpoint
        self.wrong_endpoint = wrong_endpoint
        self.retry_after_s = retry_after_s


class MayHaveRun(Exception):  # noqa: N818 - reads as what happened
    """The request was sent and no valid answer was received."""


@dataclass
class EndpointAnswer:
    """An answer whose head was received; its body is read from the connection."""

    connection: Connection
    facts: AnswerFacts

    async def read_body(self) -> bytes:
        """Return the rest of the body.

        Raises MayHaveRun if it is cut short or exceeds ``MAX_BUFFERED_BYTES``.
        """
        parts = []
        size = 0
        try:
            while (data := await self.connection.data()) is not None:
                parts.append(data)
                size += len(data)
                if size > MAX_BUFFERED_BYTES:
                    raise MayHaveRun("the answer exceeds the size limit")
        except IncompleteResponse as error:
            raise MayHaveRun(f"answer cut: {error}") from error
        return b"".join(parts)


class EndpointClient:
    """Sends requests to endpoints over pooled connections."""

    def __init__(
        self,
        pool: ConnectionPool,
        codec: CallCodec,
        now: Callable[[], float],
        on_answer: Callable[[AnswerNotice], None],
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._now = now
        self._on_answer = on_answer

    async def connect(
        self,
        record: EndpointRecord,
        *,
        once_only: bool,
    ) -> Connection:
        """Return a connection; raises NotRun if the endpoint cannot be reached."""
        try:
            return await self._pool.take(
                record.endpoint_id,
                record.address,
                fresh_only=once_only,
            )
        except ConnectFailed as error:
            raise NotRun(f"connect: {error}", reached=False) from error

    async def send(
        self,
        connection: Connection,
        request: h11.Request,
        body: bytes,
        request_id: str,
        endpoint_id: str,
    ) -> EndpointAnswer:
        """Send the request and wait for the head of its answer.

        Raises NotRun or MayHaveRun.
        """
        if connection.closed:
            raise NotRun("the connection was closed before use", reached=False)
        connection.send(request, body)
        try:
            facts = await self._own_head(connection, request_id, endpoint_id)
        except IncompleteResponse as error:
            raise MayHaveRun(f"no answer: {error}") from error
        attempt = EndpointAnswer(connection, facts)
        if facts.not_run:
            await attempt.read_body()
            raise NotRun(
                f"endpoint answered {facts.status} without running the request",
                reached=True,
                wrong_endpoint=facts.wrong_endpoint,
                retry_after_s=facts.retry_after_s,
            )
        if not facts.signed:
            raise MayHaveRun(f"answer {facts.status} has no signature")
        return attempt

    @contextmanager
    def closing(self, record: EndpointRecord, connection: Connection) -> Iterator[None]:
        """Return the connection to the pool after a whole answer, else close it.

        Closing tells the endpoint that the run's answer is no longer needed.
        """
        try:
            yield
        finally:
            self._pool.give_back(record.endpoint_id, connection)

    async def _own_head(
        self, connection: Connection, request_id: str, endpoint_id: str
    ) -> AnswerFacts:
        """Return the head of the answer to this request, skipping stale answers."""
        sent_at = self._now()
        for _ in range(MAX_STALE_ANSWERS + 1):
            facts = self._codec.decode_answer(await connection.head())
            is_own = facts.request_id in (None, request_id)
            self._on_answer(
                AnswerNotice(
                    endpoint_id,
                    facts.signals,
                    sent_at,
                    tells_all=is_own and facts.signed and not facts.not_run,
                )
            )
            if is_own:
                return facts
            while await connection.data() is not None:
                pass
            if not connection.skip_response():
                break
        raise IncompleteResponse("only answers to other requests were received")
