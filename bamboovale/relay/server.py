"""Sends requests to endpoints for other entry VMs."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import h11

from bamboovale.decisions.endpoint_paths import PathUse
from bamboovale.gateway.endpoint_client import EndpointClient, MayHaveRun, NotRun
from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import EndpointRecord
from bamboovale.gateway.path_watch import PathWatch
from bamboovale.gateway.send_gate import SendGate
from bamboovale.http1.connection import (
    HIGH_WATER_BYTES,
    Connection,
    IncompleteResponse,
)
from bamboovale.http1.memory import MemoryBudget
from bamboovale.peers.incoming import Reply
from bamboovale.relay.messages import (
    RelayCancel,
    RelayData,
    RelayHead,
    RelayQuery,
    RelayRequest,
)

MAX_RELAYS_PER_CORE = 64
"""Exchanges under way for other VMs; own callers are not to be starved by them."""
MAX_PIECE_BYTES = 64 * 1024
SENDER_CHECK_S = 0.25
MOST_PAUSE_S = 0.5
"""Longest time between two pieces for which a VM that is not live is waited for."""
SENDER_GONE = "the VM that asked is gone"
TOO_MUCH_HELD = "too much is held for other requests"
BODY_COPIES = 3
"""The body of a request, as received, encoded, and in the send buffer."""


@dataclass(eq=False)
class _Relay:
    """One exchange; ``wanted`` are the replies that wait for pieces of the body.

    ``unanswered`` is the reply that the sender waits for, None between two pieces, when
    ``answered_at`` is when it got the last one.
    """

    request: RelayRequest
    sender: str
    unanswered: Reply | None
    wanted: "asyncio.Queue[Reply]" = field(default_factory=asyncio.Queue)
    answered_at: float = 0.0
    task: "asyncio.Task[None] | None" = None
    end_reason: str | None = None
    has_head: bool = False
    connection: Connection | None = None

    def held_bytes(self) -> int:
        """Return the bytes held for the sender's caller."""
        held = BODY_COPIES * len(self.request.body)
        if self.end_reason == TOO_MUCH_HELD:
            return 0
        return held + (self.connection.held_bytes() if self.connection else 0)

    def waits_for_client(self) -> bool:
        """Return whether the sender has not asked for more of the answer."""
        return self.unanswered is None

    def shed(self) -> None:
        """End the exchange, as this VM holds too much."""
        self.end(TOO_MUCH_HELD)

    def end(self, reason: str | None = None) -> None:
        """End the exchange, which closes its connection to the endpoint."""
        self.end_reason = reason
        if self.task is not None:
            self.task.cancel()


class RelayServer:
    """Exchanges requests with endpoints for other VMs, each at most once."""

    def __init__(
        self,
        *,
        client: EndpointClient,
        endpoints: EndpointView,
        gate: SendGate,
        path_watch: PathWatch,
        journal: Journal,
        now: Callable[[], float],
        cores: float,
        memory: MemoryBudget,
        may_help: Callable[[float], bool],
        is_live: Callable[[str], bool],
        on_run_lost: Callable[[str], None],
        on_relayed: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self._client = client
        self._endpoints = endpoints
        self._gate = gate
        self._path_watch = path_watch
        self._journal = journal
        self._now = now
        self._most = max(1, int(MAX_RELAYS_PER_CORE * cores))
        self._memory = memory
        self._may_help = may_help
        self._is_live = is_live
        self._on_run_lost = on_run_lost
        self._on_relayed = on_relayed
        self._relay_by_key: dict[tuple[str, str], _Relay] = {}
        self._is_check_due = False

    def __len__(self) -> int:
        """Return the number of exchanges under way."""
        return len(self._relay_by_key)

    def on_query(self, sender: str, query: RelayQuery, reply: Reply) -> None:
        """Handle a message that wants a reply."""
        if isinstance(query, RelayRequest):
            self._start(sender, query, reply)
            return
        relay = self._relay_by_key.get((sender, query.relay_id))
        if relay is None:
            reply(RelayData(query.relay_id, ended=True, failure="no such exchange"))
        else:
            relay.unanswered = reply
            relay.wanted.put_nowait(reply)

    def on_cancel(self, sender: str, notice: RelayCancel) -> None:
        """End an exchange whose answer is no longer wanted."""
        relay = self._relay_by_key.get((sender, notice.relay_id))
        if relay is not None:
            relay.end()

    def close(self) -> None:
        """End all exchanges at once."""
        for relay in self._relay_by_key.values():
            relay.end()

    def _start(self, sender: str, request: RelayRequest, reply: Reply) -> None:
        refusal = self._refusal(request)
        if refusal is not None:
            reply(self._not_sent(request, refusal, was_tried=False))
            self._log(sender, request, "not_sent", refusal, 0.0)
            return
        relay = _Relay(request, sender, reply)
        key = sender, request.relay_id
        if (earlier := self._relay_by_key.get(key)) is not None:
            earlier.end(SENDER_GONE)
        self._relay_by_key[key] = relay
        self._memory.add(relay)
        self._check_senders_later()
        task = asyncio.get_running_loop().create_task(self._run(relay, reply))
        relay.task = task
        task.add_done_callback(lambda done: self._forget(key, relay))
        self._memory.grow(relay.held_bytes() + HIGH_WATER_BYTES)

    def _forget(self, key: tuple[str, str], relay: _Relay) -> None:
        """Forget an exchange that ended.

        Guards against one of an earlier process of its sender that bears the number of
        one under way.
        """
        self._memory.remove(relay)
        relay.task = None  # a cancelled task keeps its frames, and these the exchange
        if relay.end_reason == TOO_MUCH_HELD:
            self._tell_failed(relay)
        if self._relay_by_key.get(key) is relay:
            del self._relay_by_key[key]

    def _check_senders_later(self) -> None:
        if not self._is_check_due:
            self._is_check_due = True
            asyncio.get_running_loop().call_later(SENDER_CHECK_S, self._check_senders)

    def _check_senders(self) -> None:
        """End the exchanges that nobody waits for, and look again while there are any.

        Guards against work for callers whose VM died, or lost the link to this one: it
        sends no notice, and has told its caller that the request failed.
        """
        self._is_check_due = False
        for relay in list(self._relay_by_key.values()):
            if self._is_abandoned(relay):
                relay.end(SENDER_GONE)
        if self._relay_by_key:
            self._check_senders_later()

    def _is_abandoned(self, relay: _Relay) -> bool:
        if relay.unanswered is not None:
            return relay.unanswered.is_lost
        paused_s = self._now() - relay.answered_at
        return paused_s > MOST_PAUSE_S and not self._is_live(relay.sender)

    def _refusal(self, request: RelayRequest) -> str | None:
        """Return why a request cannot be sent from here, None if it can."""
        endpoint_id = request.endpoint_id
        if not self._may_help(request.left_s) or len(self) >= self._most:
            return "busy"
        if not self._endpoints.is_ready(endpoint_id):
            return "endpoint not known"
        if self._gate.rest_s(endpoint_id) > 0.0:
            return "the endpoint wants rest"
        if not self._reaches(endpoint_id):
            return "out of reach"
        return None

    def _reaches(self, endpoint_id: str) -> bool:
        """Return whether this VM may send to an endpoint; else try its path.

        Guards against a doubt that lasts as long as no caller of this VM ends it.
        """
        if self._path_watch.paths.choose(endpoint_id, self._now()) is PathUse.ANY:
            return True
        self._client.try_path(self._endpoints.record_by_id[endpoint_id])
        return False

    def _not_sent(
        self, request: RelayRequest, failure: str, *, was_tried: bool
    ) -> RelayHead:
        return RelayHead(
            request.relay_id,
            failure=failure,
            was_sent=False,
            was_tried=was_tried,
            is_cut=self._path_watch.check(),
        )

    async def _run(self, relay: _Relay, reply: Reply) -> None:
        request, started_at = relay.request, self._now()
        outcome, reason = "failed", None
        try:
            async with asyncio.timeout(request.left_s):
                await self._exchange(relay, reply)
            outcome = "answered"
        except TimeoutError:
            outcome = "timed_out"
        except NotRun as error:
            outcome, reason = "not_sent", str(error)
        except (MayHaveRun, IncompleteResponse) as error:
            outcome, reason = "broke_off", str(error)
            self._on_run_lost(request.endpoint_id)
        except asyncio.CancelledError:
            outcome, reason = "cancelled", relay.end_reason
            raise
        finally:
            self._log(relay.sender, request, outcome, reason, self._now() - started_at)

    async def _exchange(self, relay: _Relay, reply: Reply) -> None:
        """Send the request, then the answer's pieces as they are asked for."""
        request = relay.request
        record = self._endpoints.record_by_id[request.endpoint_id]
        try:
            connection = await self._client.connect_here(
                record, request.request_id, once_only=request.once_only
            )
        except NotRun as error:
            reply(self._not_sent(request, str(error), was_tried=True))
            raise
        relay.connection = connection
        with self._client.closing(record, connection):
            if request.checks_start:
                await self._check_start(connection, record, relay, reply)
            await self._forward(relay, connection, reply)

    async def _check_start(
        self,
        connection: Connection,
        record: EndpointRecord,
        relay: _Relay,
        reply: Reply,
    ) -> None:
        """Raise NotRun unless the other end is this start of the endpoint."""
        try:
            await self._client.check_start(connection, record)
        except NotRun as error:
            reply(self._not_sent(relay.request, str(error), was_tried=True))
            raise

    async def _forward(
        self, relay: _Relay, connection: Connection, reply: Reply
    ) -> None:
        request = relay.request
        message = h11.Request(
            method=request.method, target=request.target, headers=[*request.headers]
        )
        try:
            head = await self._client.send_relayed(
                connection,
                message,
                request.body,
                request.request_id,
                request.endpoint_id,
            )
        except NotRun as error:
            reply(self._not_sent(request, str(error), was_tried=True))
            raise
        except MayHaveRun as error:
            reply(RelayHead(request.relay_id, failure=str(error)))
            raise
        answer = RelayHead(request.relay_id, head.status, tuple(head.headers))
        self._answer(relay, reply, answer)
        relay.has_head = True
        await self._forward_body(relay, connection)

    def _answer(
        self, relay: _Relay, reply: Reply, answer: RelayHead | RelayData
    ) -> None:
        relay.unanswered = None
        relay.answered_at = self._now()
        reply(answer)

    async def _forward_body(self, relay: _Relay, connection: Connection) -> None:
        """Send each piece of the answer when it is asked for, then how it ended."""
        relay_id, failure = relay.request.relay_id, ""
        try:
            async for piece in _pieces(connection):
                reply = await relay.wanted.get()
                self._answer(relay, reply, RelayData(relay_id, piece))
        except IncompleteResponse as error:
            failure = str(error)
        reply = await relay.wanted.get()
        self._answer(relay, reply, RelayData(relay_id, ended=True, failure=failure))
        if failure:
            raise IncompleteResponse(failure)

    def _tell_failed(self, relay: _Relay) -> None:
        """Tell a sender that waits that its request, which may have run, failed."""
        if (reply := relay.unanswered) is None:
            return
        relay_id = relay.request.relay_id
        if relay.has_head:
            self._answer(
                relay, reply, RelayData(relay_id, ended=True, failure=TOO_MUCH_HELD)
            )
        else:
            self._answer(relay, reply, RelayHead(relay_id, failure=TOO_MUCH_HELD))

    def _log(
        self,
        sender: str,
        request: RelayRequest,
        outcome: str,
        reason: str | None,
        seconds: float,
    ) -> None:
        self._on_relayed(outcome)
        self._journal.write(
            "relayed",
            id=request.request_id,
            sender=sender,
            endpoint=request.endpoint_id,
            outcome=outcome,
            reason=reason,
            s=round(seconds, 4),
        )


async def _pieces(connection: Connection) -> AsyncIterator[bytes]:
    """Yield the body of an answer in pieces of bounded size."""
    while (data := await connection.data()) is not None:
        for start in range(0, len(data), MAX_PIECE_BYTES):
            yield data[start : start + MAX_PIECE_BYTES]
