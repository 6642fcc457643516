"""Has another entry VM exchange a request with an endpoint."""

import itertools
import random
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from functools import partial
from typing import Any, Protocol

import h11

from bamboovale.decisions.relay_choice import Helper, RelayChoice
from bamboovale.http1.answer_limits import AnswerLimit
from bamboovale.http1.connection import IncompleteResponse, ResponseHead
from bamboovale.peers.loop_calls import await_on_loop
from bamboovale.peers.outgoing import (
    PeerLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from bamboovale.relay.messages import (
    RelayCancel,
    RelayData,
    RelayHead,
    RelayNext,
    RelayRequest,
)

MAX_BODY_BYTES = 1024 * 1024
"""Largest request that is passed on: it crosses a link that other messages share."""
MAX_LEFT_S = 60.0
FIRST_NUMBER_BITS = 32
"""Size of the random first number of an exchange."""
MAX_HELPERS = 3
"""VMs that are asked for one request, of which only the last tries to connect."""


class NotSent(Exception):  # noqa: N818 - reads as what happened
    """The other VM did not send the request."""


class Links(Protocol):
    """Sends messages to other VMs."""

    def request(self, vm_id: str, message: Any, timeout_s: float) -> "Future[Any]":
        """Send a request and return a future of its reply."""

    def notify(self, vm_id: str, message: Any) -> None:
        """Send a notice."""


class RelayedConnection:
    """An exchange by way of another VM, with the interface of a connection.

    The answer is asked for piece by piece, so that a slow caller slows the endpoint.
    ``via`` is the VM that sends the request, None before.
    """

    reusable = False
    is_reused = False
    skipped = 0
    has_received = False

    def __init__(
        self,
        relays: "Relays",
        relay_id: str,
        endpoint_id: str,
        request_id: str,
        *,
        once_only: bool,
        checks_start: bool,
        left_s: float,
        check_wanted: Callable[[], None],
    ) -> None:
        self.closed = False
        self.on_limit: Callable[[AnswerLimit], None] = partial(
            relays.on_limit, endpoint_id
        )
        self.via: str | None = None
        self._relays = relays
        self._relay_id = relay_id
        self._endpoint_id = endpoint_id
        self._request_id = request_id
        self._once_only = once_only
        self._checks_start = checks_start
        self._check_wanted = check_wanted
        self._expires_at = relays.now() + left_s
        self._request: h11.Request | None = None
        self._body = b""
        self._ended = True

    def held_bytes(self) -> int:
        """Return 0: the other VM holds what is not asked for."""
        return 0

    def send(self, request: h11.Request, body: bytes) -> None:
        """Keep the request, which goes out when its answer is awaited."""
        self._request = request
        self._body = body

    async def head(self) -> ResponseHead:
        """Return the head of the answer.

        Raises NotSent, IncompleteResponse, or what ``check_wanted`` raises.
        """
        if len(self._body) > MAX_BODY_BYTES:
            raise NotSent("too large to be passed on")
        failure = "no VM is left to send it"
        for _ in range(MAX_HELPERS):
            vm_id = self._relays.choose(self._endpoint_id)
            if vm_id is None:
                break
            self._check_wanted()
            reply = await self._start_at(vm_id)
            if reply.status:
                return ResponseHead(reply.status, [*reply.headers])
            failure = f"by {vm_id}: {reply.failure}"
            if reply.was_sent:
                raise IncompleteResponse(failure)
            self._relays.on_refused(vm_id, None if reply.is_cut else self._endpoint_id)
            if reply.was_tried:
                break
        raise NotSent(failure)

    async def data(self) -> bytes | None:
        """Return the next body bytes, None at its end; raises IncompleteResponse."""
        if self._ended:
            return None
        assert self.via is not None
        try:
            reply = await self._ask(self.via, RelayNext(self._relay_id), RelayData)
        except PeerUnreachableError as error:
            raise IncompleteResponse(f"by {self.via}: {error}") from error
        if reply.ended:
            self._end()
        if reply.failure:
            raise IncompleteResponse(f"by {self.via}: {reply.failure}")
        return None if reply.ended else reply.data

    def skip_response(self) -> bool:
        """Return False: the other VM has left out answers to other requests."""
        return False

    def close(self) -> None:
        """End the exchange; what still runs is cancelled."""
        if self.closed:
            return
        self.closed = True
        if not self._ended and self.via is not None:
            self._relays.links.notify(self.via, RelayCancel(self._relay_id))
            self._end()

    async def _start_at(self, vm_id: str) -> RelayHead:
        """Have a VM send the request; return its reply, or one for a lost link."""
        self.via = vm_id
        self._ended = False
        try:
            reply = await self._ask(vm_id, self._relay_request(), RelayHead)
        except PeerUnreachableError as error:
            reply = RelayHead(
                self._relay_id,
                failure=str(error),
                was_sent=False,
                was_tried=False,
                is_cut=True,
            )
        if not reply.status:
            self._end()
        return reply

    def _relay_request(self) -> RelayRequest:
        assert self._request is not None
        return RelayRequest(
            relay_id=self._relay_id,
            endpoint_id=self._endpoint_id,
            request_id=self._request_id,
            method=self._request.method.decode(),
            target=self._request.target.decode(),
            headers=tuple((bytes(n), bytes(v)) for n, v in self._request.headers),
            body=self._body,
            left_s=self._left_s(),
            once_only=self._once_only,
            checks_start=self._checks_start,
        )

    def _end(self) -> None:
        self._ended = True
        if self.via is not None:
            self._relays.on_end(self.via)

    def _left_s(self) -> float:
        return max(0.0, self._expires_at - self._relays.now())

    async def _ask(
        self, vm_id: str, message: RelayRequest | RelayNext, expected: type
    ) -> Any:
        future = self._relays.links.request(vm_id, message, self._left_s())
        try:
            reply = await await_on_loop(future)
        except (PeerTimeoutError, PeerLostError) as error:
            raise IncompleteResponse(f"by {vm_id}: {error}") from error
        if not isinstance(reply, expected):
            raise IncompleteResponse(f"{vm_id} sent another message")
        return reply


class Relays:
    """The exchanges of this VM by way of others.

    ``helpers`` returns the live VMs that may send a request for this one. ``on_limit``
    is told of the endpoint and bound of an answer that is cut here.
    """

    def __init__(
        self,
        links: Links,
        helpers: Callable[[], Iterable[Helper]],
        choice: RelayChoice,
        now: Callable[[], float],
        on_limit: Callable[[str, AnswerLimit], None] = lambda endpoint, limit: None,
    ) -> None:
        self.links = links
        self.on_limit = on_limit
        self.now = now
        self._helpers = helpers
        self._choice = choice
        # Another VM may still have exchanges of an earlier process of this VM.
        self._numbers = itertools.count(random.getrandbits(FIRST_NUMBER_BITS))

    def open(
        self,
        endpoint_id: str,
        request_id: str,
        *,
        once_only: bool,
        checks_start: bool,
        left_s: float,
        check_wanted: Callable[[], None] = lambda: None,
    ) -> RelayedConnection:
        """Return an exchange with an endpoint, for one request.

        ``check_wanted`` raises, before each VM is asked, if nobody waits any more.
        """
        return RelayedConnection(
            self,
            str(next(self._numbers)),
            endpoint_id,
            request_id,
            once_only=once_only,
            checks_start=checks_start,
            left_s=min(left_s, MAX_LEFT_S),
            check_wanted=check_wanted,
        )

    def choose(self, endpoint_id: str) -> str | None:
        """Return the VM to ask, None if none is left; ``on_end`` ends its part."""
        return self._choice.choose(self._helpers(), endpoint_id, self.now())

    def on_end(self, vm_id: str) -> None:
        """Count an exchange that a VM no longer has under way."""
        self._choice.on_end(vm_id)

    def on_refused(self, vm_id: str, endpoint_id: str | None) -> None:
        """Pass a VM over for a while that could not send to an endpoint, or to any."""
        self._choice.on_refused(vm_id, endpoint_id, self.now())
