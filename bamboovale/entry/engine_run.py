"""One run of a request on an engine, under a permit."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from urllib3 import BaseHTTPResponse
from urllib3.exceptions import HTTPError

from bamboovale.entry.endpoint_connections import (
    ConnectFailedError,
    EndpointConnections,
    Exchange,
    ExchangeFailedError,
)

READ_TIMEOUT_S = 600.0
"""Covers the engine's queue and an answer of some thousand tokens."""

STREAM_READ_BYTES = 64 * 1024
MAX_EVENT_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 8 * 1024 * 1024
DONE_EVENT = b"data: [DONE]"
EVENT_END = b"\n\n"


class RunFailure(StrEnum):
    """Why a run gave no complete answer."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    BROKEN = "broken"
    WRONG = "wrong"
    REJECTED = "rejected"


class RunFailedError(Exception):
    """A run that ended without a complete answer.

    ``NOT_SENT`` and ``REFUSED`` did not run. ``REJECTED`` did not run either and
    carries the engine's 4xx answer, which is final.
    """

    def __init__(self, failure: RunFailure, reason: str, answer: bytes = b"") -> None:
        super().__init__(reason)
        self.failure = failure
        self.answer = answer

    @property
    def not_run(self) -> bool:
        """Return whether it is certain that the request did not run."""
        return self.failure in (
            RunFailure.NOT_SENT,
            RunFailure.REFUSED,
            RunFailure.REJECTED,
        )


@dataclass(frozen=True)
class RunTarget:
    """The engine and the names of a run, both of which its answer must repeat."""

    address: tuple[str, int]
    attempt_id: str
    lora_name: str


class EngineRun:
    """Sends one attempt and reads its answer, checking that it belongs to it."""

    def __init__(
        self,
        connections: EndpointConnections,
        target: RunTarget,
        *,
        fresh: bool,
    ) -> None:
        self._connections = connections
        self._target = target
        self._finished = False
        try:
            self.exchange: Exchange = connections.open(
                target.address,
                READ_TIMEOUT_S,
                fresh=fresh,
            )
        except ConnectFailedError as error:
            raise RunFailedError(RunFailure.NOT_SENT, str(error)) from error

    def send(self, path: str, body: bytes) -> BaseHTTPResponse:
        """Send the request and check the status of its answer."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": self._target.attempt_id,
        }
        try:
            response = self.exchange.send("POST", path, body, headers)
        except ExchangeFailedError as error:
            raise RunFailedError(RunFailure.BROKEN, str(error)) from error
        if response.status != 200:
            raise self._head_failure(response)
        return response

    def read_answer(self, response: BaseHTTPResponse) -> bytes:
        """Return the body of a complete answer that is not a stream."""
        data = self._read()
        try:
            answer = json.loads(data)
        except ValueError as error:
            raise RunFailedError(RunFailure.WRONG, "the answer is not JSON") from error
        self._check_identity(answer)
        self._check_finished(answer)
        self._finished = True
        self._connections.release(self._target.address, self.exchange)
        return data

    def read_events(self, response: BaseHTTPResponse) -> Iterator[bytes]:
        """Yield the events of a stream up to its end marker.

        Raises RunFailedError(BROKEN) for a stream that ends without the marker, so
        that a truncated answer is not passed on as complete.
        """
        first = True
        for event in self._whole_events(response):
            if event.strip() == DONE_EVENT:
                self._read_rest()
                return
            if first:
                self._check_identity(_event_json(event))
                first = False
            yield event
        raise RunFailedError(
            RunFailure.BROKEN, "the stream ended without its end marker"
        )

    def abandon(self) -> None:
        """Close the connection unless the run finished; this cancels the run."""
        if not self._finished:
            self._connections.discard(self.exchange)

    def _read(self) -> bytes:
        try:
            return self.exchange.read(MAX_ANSWER_BYTES)
        except ExchangeFailedError as error:
            raise RunFailedError(RunFailure.BROKEN, str(error)) from error

    def _whole_events(self, response: BaseHTTPResponse) -> Iterator[bytes]:
        """Yield events with their ends; raises RunFailedError for one without an end.

        Guards against an engine that sends without end: each byte is searched once,
        and an event is bounded.
        """
        pending = bytearray()
        searched = 0
        for chunk in self._read_chunks(response):
            pending += chunk
            begin = 0
            while (at := pending.find(EVENT_END, max(begin, searched))) >= 0:
                event_end = at + len(EVENT_END)
                yield bytes(pending[begin:event_end])
                begin = searched = event_end
            del pending[:begin]
            searched = max(0, len(pending) - len(EVENT_END) + 1)
            if len(pending) > MAX_EVENT_BYTES:
                raise RunFailedError(RunFailure.BROKEN, "an event without an end")

    def _read_chunks(self, response: BaseHTTPResponse) -> Iterator[bytes]:
        try:
            yield from response.stream(STREAM_READ_BYTES)
        except (HTTPError, OSError, ValueError, AttributeError) as error:
            raise RunFailedError(RunFailure.BROKEN, type(error).__name__) from error

    def _read_rest(self) -> None:
        """Read to the end of the response, so that the connection can be reused."""
        try:
            self.exchange.read(0)
        except (ExchangeFailedError, AttributeError):
            return
        self._finished = True
        self._connections.release(self._target.address, self.exchange)

    def _head_failure(self, response: BaseHTTPResponse) -> RunFailedError:
        data = self._read()
        if response.status in (404, 503):
            # The engine did not accept the request: the adapter is not loaded there,
            # or the engine is full.
            return RunFailedError(RunFailure.REFUSED, f"status {response.status}")
        if 400 <= response.status < 500:
            return RunFailedError(
                RunFailure.REJECTED, f"status {response.status}", data
            )
        return RunFailedError(RunFailure.BROKEN, f"status {response.status}")

    def _check_identity(self, answer: Any) -> None:
        """Raise for an answer to another request or from another adapter version.

        Guards against mixed-up connections and against engines that fall back to
        another adapter.
        """
        target = self._target
        named = isinstance(answer, dict) and (answer.get("id"), answer.get("model"))
        if named != (target.attempt_id, target.lora_name):
            raise RunFailedError(RunFailure.WRONG, f"the answer names {named}")

    def _check_finished(self, answer: dict[str, Any]) -> None:
        choices = answer.get("choices")
        if not choices or not choices[0].get("finish_reason"):
            raise RunFailedError(RunFailure.WRONG, "the answer has no finished choice")


def _event_json(event: bytes) -> Any:
    text = event.partition(b"data:")[2]
    try:
        return json.loads(text)
    except ValueError as error:
        raise RunFailedError(RunFailure.WRONG, "an event is not JSON") from error
