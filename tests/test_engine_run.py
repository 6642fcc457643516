"""Answers of engines that are broken, late, mixed up or truncated."""

import contextlib
import json
import socket
import threading
from collections.abc import Iterator

import pytest

from bamboovale.entry.endpoint_connections import EndpointConnections
from bamboovale.entry.engine_run import (
    EngineRun,
    RunFailedError,
    RunFailure,
    RunTarget,
)


@contextlib.contextmanager
def engine_that_sends(*answers: bytes) -> Iterator[tuple[str, int]]:
    """Send one raw answer per request, on one connection after another."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        left = list(answers)
        while left:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection:
                while left:
                    if not _read_request(connection):
                        break
                    answer = left.pop(0)
                    with contextlib.suppress(ConnectionError):
                        connection.sendall(answer)
                    if b"Connection: close" in answer or not answer:
                        break

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield listener.getsockname()
    finally:
        listener.close()


def _read_request(connection: socket.socket) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65536)
        if not part:
            return b""
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = next(
        int(line.split(b":")[1])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length")
    )
    while len(body) < length:
        body += connection.recv(65536)
    return data


def response(status: int, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def stream(*events: bytes, ended: bool = True) -> bytes:
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in events)
    head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    return head + chunks + (b"0\r\n\r\n" if ended else b"")


def answer(request_id: str = "r.1", model: str = "a@1", finish: str = "stop") -> bytes:
    return json.dumps(
        {"id": request_id, "model": model, "choices": [{"finish_reason": finish}]}
    ).encode()


def event(text: str, request_id: str = "r.1", model: str = "a@1") -> bytes:
    value = {"id": request_id, "model": model, "choices": [{"text": text}]}
    return b"data: " + json.dumps(value).encode() + b"\n\n"


DONE = b"data: [DONE]\n\n"


class Run:
    """Runs against one fake engine."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.connections = EndpointConnections("127.0.0.1")
        self.target = RunTarget(address, "r.1", "a@1")

    def start(self) -> EngineRun:
        return EngineRun(self.connections, self.target, fresh=False)

    def read_answer(self) -> bytes:
        run = self.start()
        try:
            return run.read_answer(run.send("/v1/completions", b"{}"))
        finally:
            run.abandon()

    def events(self) -> list[bytes]:
        run = self.start()
        try:
            return list(run.read_events(run.send("/v1/completions", b"{}")))
        finally:
            run.abandon()

    def failure(self, read: str) -> RunFailure:
        with pytest.raises(RunFailedError) as raised:
            getattr(self, read)()
        return raised.value.failure


class TestCompleteAnswer:
    """Only a complete answer to the same request is forwarded."""

    def test_its_own_answer(self) -> None:
        with engine_that_sends(response(200, answer())) as address:
            assert Run(address).read_answer() == answer()

    @pytest.mark.parametrize(
        "body",
        [answer(request_id="r.2"), answer(model="a@2"), answer(finish=""), b"{"],
        ids=["another request's", "another version's", "unfinished", "not JSON"],
    )
    def test_another_answer_is_not_forwarded(self, body: bytes) -> None:
        with engine_that_sends(response(200, body)) as address:
            assert Run(address).failure("read_answer") is RunFailure.WRONG

    def test_a_truncated_answer_is_broken(self) -> None:
        truncated = response(200, answer())[:-5]
        truncated = truncated.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)
        with engine_that_sends(truncated) as address:
            assert Run(address).failure("read_answer") is RunFailure.BROKEN

    def test_no_answer_may_have_run(self) -> None:
        with engine_that_sends(b"") as address:
            failure = Run(address).failure("read_answer")
        assert failure is RunFailure.BROKEN

    def test_an_unknown_adapter_was_not_run(self) -> None:
        with engine_that_sends(response(404, b"{}")) as address:
            run = Run(address)
            with pytest.raises(RunFailedError) as raised:
                run.read_answer()
        assert raised.value.not_run

    def test_no_connection_was_not_run(self) -> None:
        with engine_that_sends() as address:
            pass
        assert Run(address).failure("read_answer") is RunFailure.NOT_SENT


class TestStream:
    """A stream is complete only with its end marker."""

    def test_a_complete_stream(self) -> None:
        with engine_that_sends(stream(event("x"), event("y"), DONE)) as address:
            assert Run(address).events() == [event("x"), event("y")]

    def test_events_split_over_chunks(self) -> None:
        data = event("x") + event("y") + DONE
        parts = [data[start : start + 7] for start in range(0, len(data), 7)]
        with engine_that_sends(stream(*parts)) as address:
            assert Run(address).events() == [event("x"), event("y")]

    def test_an_end_without_the_marker_is_broken(self) -> None:
        """Guards against a truncated answer that is forwarded as complete."""
        with engine_that_sends(stream(event("x"))) as address:
            assert Run(address).failure("events") is RunFailure.BROKEN

    def test_a_broken_connection_is_broken(self) -> None:
        with engine_that_sends(stream(event("x"), ended=False)) as address:
            assert Run(address).failure("events") is RunFailure.BROKEN

    def test_another_requests_stream_is_not_forwarded(self) -> None:
        with engine_that_sends(stream(event("x", "r.2"), DONE)) as address:
            assert Run(address).failure("events") is RunFailure.WRONG


class TestLateAnswer:
    """A late answer is never read as the answer to another request.

    Guards against the reuse of a connection on which an answer is still outstanding.
    """

    def test_an_abandoned_connection_is_not_reused(self) -> None:
        late = response(200, answer())
        with engine_that_sends(late, response(200, answer())) as address:
            run = Run(address)
            first = run.start()
            first.send("/v1/completions", b"{}")
            first.abandon()
            second = run.start()
            assert second.exchange.connection is not first.exchange.connection
            second.abandon()

    def test_a_completed_connection_is_reused(self) -> None:
        with engine_that_sends(
            response(200, answer()), response(200, answer())
        ) as address:
            run = Run(address)
            first = run.start()
            first.read_answer(first.send("/v1/completions", b"{}"))
            assert run.start().exchange.connection is first.exchange.connection


class TestAnswersWithoutEnd:
    """An engine sends until it is cut; what is kept of that is bounded."""

    BYTES = 24 * 1024 * 1024
    """Far more than is kept of any answer."""

    @pytest.mark.parametrize("status", [200, 400, 500])
    def test_an_answer_is_broken(self, status: int) -> None:
        """Guards against an answer that fills the memory."""
        sent = response(status, b"x" * self.BYTES)
        with engine_that_sends(sent) as address:
            assert Run(address).failure("read_answer") is RunFailure.BROKEN

    @pytest.mark.parametrize("line", [b"x", b"data: x\n"])
    def test_an_event_is_broken(self, line: bytes) -> None:
        """Guards against an event without an end that is kept, and searched anew."""
        piece = line * (1000 // len(line))
        sent = stream(event("a"), *[piece] * (self.BYTES // len(piece)))
        with engine_that_sends(sent) as address:
            assert Run(address).failure("events") is RunFailure.BROKEN

    @pytest.mark.parametrize("status", [100, 103])
    def test_interim_responses_are_no_answer(self, status: int) -> None:
        """Guards against a thread that skips interim responses for ever."""
        interim = b"HTTP/1.1 %d X\r\n\r\n" % status
        sent = interim * 100_000 + response(200, answer())
        with engine_that_sends(sent) as address:
            assert Run(address).failure("read_answer") is not None
