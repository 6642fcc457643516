"""HTTP client for endpoints: sends one attempt of a request to one endpoint."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

import h11

from bamboovale.decisions.endpoint_paths import PathUse
from bamboovale.gateway.call import Call, CallCodec
from bamboovale.gateway.model import AnswerFacts, AnswerNotice, EndpointRecord
from bamboovale.gateway.path_watch import PathWatch
from bamboovale.http1.answer_limits import AnswerLimit
from bamboovale.http1.body import read_body, skip_body
from bamboovale.http1.connection import (
    MAX_STALE_RESPONSES,
    ConnectFailed,
    Connection,
    ConnectRefused,
    IncompleteResponse,
    ResponseHead,
)
from bamboovale.http1.pool import ConnectionPool
from bamboovale.relay.client import NotSent, Relays
from bamboovale.streams.start_check import AnotherStart, ReportCodec, check_start

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


class StartChanged(NotRun):
    """Another start of the endpoint was found; it did not get the request."""


class MayHaveRun(Exception):  # noqa: N818 - reads as what happened
    """The request was sent and no valid answer was received."""


class EndpointCodec(CallCodec, ReportCodec, Protocol):
    """Encodes and decodes what endpoints get and answer."""


class Exchange(Protocol):
    """A connection to an endpoint, or an exchange by way of another VM."""

    closed: bool
    reusable: bool
    is_reused: bool
    skipped: int
    has_received: bool
    on_limit: Callable[[AnswerLimit], None]

    @property
    def via(self) -> str | None:
        """Return the VM that sends the request, None if this one does."""

    def held_bytes(self) -> int:
        """Return the received bytes that are not taken."""

    def send(self, request: h11.Request, body: bytes) -> None:
        """Send a complete request."""

    async def head(self) -> ResponseHead:
        """Return the head of the answer; raises IncompleteResponse or NotSent."""

    async def data(self) -> bytes | None:
        """Return the next body bytes, None at its end; raises IncompleteResponse."""

    def skip_response(self) -> bool:
        """Skip an answer to another request; return whether the next may follow."""

    def close(self) -> None:
        """Abort the exchange."""


@dataclass
class EndpointAnswer:
    """An answer whose head was received; its body is read from the connection."""

    connection: Exchange
    facts: AnswerFacts
    hold: Callable[[int], None]

    async def read_body(self) -> bytes:
        """Return the rest of the body; ``hold`` is told how much of it is kept.

        Raises MayHaveRun if it is cut short or exceeds ``MAX_BUFFERED_BYTES``.
        """
        try:
            return await read_body(self.connection, MAX_BUFFERED_BYTES, self.hold)
        except IncompleteResponse as error:
            raise MayHaveRun(f"answer cut: {error}") from error


class EndpointClient:
    """Sends requests to endpoints over pooled connections, or by way of other VMs."""

    def __init__(
        self,
        pool: ConnectionPool,
        codec: EndpointCodec,
        now: Callable[[], float],
        on_answer: Callable[[AnswerNotice], None],
        path_watch: PathWatch,
        relays: Relays,
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._now = now
        self._on_answer = on_answer
        self._path_watch = path_watch
        self._paths = path_watch.paths
        self._relays = relays
        self._trials: set[asyncio.Task[bool]] = set()

    @contextlib.asynccontextmanager
    async def attempt(
        self,
        call: Call,
        record: EndpointRecord,
        encode: Callable[[], h11.Request],
        *,
        once_only: bool,
        checks_start: bool = False,
    ) -> AsyncIterator[EndpointAnswer]:
        """Send a call to an endpoint; yield its answer.

        ``encode`` makes the request once there is a connection. With ``checks_start``
        it is sent only to the start of the endpoint that is known. Raises NotRun,
        MayHaveRun or CallerLeft.
        """
        connection = await self._connect(
            record, call, once_only=once_only, checks_start=checks_start
        )
        with self.closing(record, connection):
            if checks_start and isinstance(connection, Connection):
                await self.check_start(connection, record)
            call.check_caller()
            skipped_before = connection.skipped
            try:
                call.responder.read_from(connection)
                answer = await self._send(
                    connection, encode(), call, record.endpoint_id
                )
            finally:
                call.note_exchange(
                    connection.via,
                    is_reused=connection.is_reused,
                    skipped=connection.skipped - skipped_before,
                )
            yield answer

    async def _connect(
        self,
        record: EndpointRecord,
        call: Call,
        *,
        once_only: bool,
        checks_start: bool,
    ) -> Exchange:
        """Return a connection, or an exchange by way of another VM.

        Guards against callers that wait here for an endpoint that others reach.
        """
        endpoint_id, request_id = record.endpoint_id, call.facts.request_id
        left_s = call.left_s(self._now())
        use = self._paths.choose(endpoint_id, self._now())
        if use is PathUse.ANY:
            with contextlib.suppress(NotRun):
                return await self.connect_here(record, request_id, once_only=once_only)
        elif use is PathUse.OPEN_CONNECTION:
            kept = self._pool.take_kept(
                endpoint_id, request_id=request_id, fresh_only=once_only
            )
            if kept is not None:
                return kept
        self.try_path(record)
        return self._relays.open(
            endpoint_id,
            request_id,
            once_only=once_only,
            checks_start=checks_start,
            left_s=left_s,
            check_wanted=call.check_caller,
        )

    async def check_start(self, connection: Connection, record: EndpointRecord) -> None:
        """Raise StartChanged unless the other end is this start of the endpoint."""
        try:
            await check_start(connection, record, self._codec)
        except AnotherStart as error:
            connection.close()
            raise StartChanged(str(error), reached=False) from error

    async def connect_here(
        self, record: EndpointRecord, request_id: str, *, once_only: bool
    ) -> Connection:
        """Return a connection for a request.

        Raises NotRun if the endpoint cannot be reached.
        """
        try:
            return await self._pool.take(
                record.endpoint_id,
                record.address,
                request_id=request_id,
                fresh_only=once_only,
            )
        except ConnectFailed as error:
            raise NotRun(f"connect: {error}", reached=False) from error

    def try_path(self, record: EndpointRecord) -> None:
        """Try to connect, without a request that would wait for it."""
        if self._paths.take_trial(record.endpoint_id, self._now()):
            self.probe(record)

    def probe(self, record: EndpointRecord) -> None:
        """Open a connection to an endpoint, and keep it for the next request."""
        task = asyncio.get_running_loop().create_task(self.reaches(record))
        self._trials.add(task)
        task.add_done_callback(self._trials.discard)

    async def reaches(self, record: EndpointRecord) -> bool:
        """Return whether a new connection to an endpoint can be opened; keeps it."""
        endpoint_id = record.endpoint_id
        try:
            connection = await self._pool.open(endpoint_id, record.address)
        except ConnectFailed:
            if self._paths.is_out_of_reach(endpoint_id, self._now()):
                self._pool.forget(endpoint_id)
            return False
        self._pool.keep(endpoint_id, connection)
        return True

    async def is_port_closed(self, record: EndpointRecord) -> bool:
        """Return whether nothing listens at an endpoint, and no connection is open.

        A full endpoint refuses new connections, and keeps those that are open. False
        also if this VM reaches no endpoint at all.
        """
        endpoint_id = record.endpoint_id
        if self._pool.has_open(endpoint_id) or self._path_watch.check():
            return False
        try:
            connection = await self._pool.open(endpoint_id, record.address)
        except ConnectRefused:
            return not self._pool.has_open(endpoint_id)
        except ConnectFailed:
            return False
        self._pool.keep(endpoint_id, connection)
        return False

    async def send_relayed(
        self,
        connection: Connection,
        request: h11.Request,
        body: bytes,
        request_id: str,
        endpoint_id: str,
    ) -> ResponseHead:
        """Send a request for another VM; return the head of its own answer.

        Raises NotRun or MayHaveRun.
        """
        head, _ = await self._send_for_head(
            connection, request, body, request_id, endpoint_id
        )
        return head

    async def _send(
        self,
        connection: Exchange,
        request: h11.Request,
        call: Call,
        endpoint_id: str,
    ) -> EndpointAnswer:
        """Send the request and wait for the head of its answer.

        Raises NotRun or MayHaveRun.
        """
        _, facts = await self._send_for_head(
            connection,
            request,
            call.request.body,
            call.facts.request_id,
            endpoint_id,
        )
        attempt = EndpointAnswer(connection, facts, call.responder.hold)
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

    async def _send_for_head(
        self,
        connection: Exchange,
        request: h11.Request,
        body: bytes,
        request_id: str,
        endpoint_id: str,
    ) -> tuple[ResponseHead, AnswerFacts]:
        """Return the head of the answer; raises NotRun or MayHaveRun."""
        if connection.closed:
            raise NotRun("the connection was closed before use", reached=False)
        connection.send(request, body)
        try:
            return await self._own_head(connection, request_id, endpoint_id)
        except NotSent as error:
            raise NotRun(f"not sent: {error}", reached=False) from error
        except IncompleteResponse as error:
            self._on_no_answer(connection, endpoint_id, str(error))
            raise MayHaveRun(f"no answer: {error}") from error

    def _on_no_answer(
        self, connection: Exchange, endpoint_id: str, reason: str
    ) -> None:
        """Count a connection of this VM that broke before anything was received.

        An answer that is malformed shows that the endpoint is reached.
        """
        if connection.via is None and not connection.has_received:
            self._path_watch.on_failed(endpoint_id, reason)

    @contextlib.contextmanager
    def closing(self, record: EndpointRecord, connection: Exchange) -> Iterator[None]:
        """Return the connection to the pool after a whole answer, else close it.

        Closing tells the endpoint that the run's answer is no longer needed.
        """
        try:
            yield
        finally:
            if isinstance(connection, Connection):
                self._pool.give_back(record.endpoint_id, connection)
            else:
                connection.close()

    async def _own_head(
        self, connection: Exchange, request_id: str, endpoint_id: str
    ) -> tuple[ResponseHead, AnswerFacts]:
        """Return the head of the answer to this request, skipping stale answers."""
        sent_at = self._now()
        for _ in range(MAX_STALE_RESPONSES + 1):
            head = await connection.head()
            facts = self._codec.decode_answer(head)
            is_own = _is_own(facts, connection, request_id)
            self._on_answer(
                AnswerNotice(
                    endpoint_id,
                    facts.signals,
                    sent_at,
                    tells_all=is_own and facts.signed and not facts.not_run,
                    via=connection.via,
                )
            )
            if is_own:
                return head, facts
            await skip_body(connection, MAX_BUFFERED_BYTES)
            if not connection.skip_response():
                break
        raise IncompleteResponse("only answers to other requests were received")


def _is_own(facts: AnswerFacts, connection: Exchange, request_id: str) -> bool:
    """Return whether an answer belongs to this request.

    Endpoints echo the id. One without it is own only if the connection has carried no
    other request: else it may be a second answer to that one.
    """
    if facts.request_id is None:
        return not connection.is_reused
    return facts.request_id == request_id
