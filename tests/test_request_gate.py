"""Incomplete requests wait without a thread."""

import socket
import time
from collections.abc import Iterable, Iterator
from typing import Any

import pytest
from result import Err

from bamboovale.entry import request_gate
from bamboovale.entry.caller_request import read_request
from bamboovale.entry.http_server import HttpListener
from bamboovale.entry.request_gate import MAX_BUFFERED_BODY_BYTES, is_complete
from bench.processes import find_free_port
from tests.raw_http import request, send, silent_connections, trickle

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
TOO_LARGE = str(MAX_BUFFERED_BODY_BYTES + 1).encode()


class TestIsComplete:
    """When a request can be passed to a thread."""

    @pytest.mark.parametrize(
        ("data", "complete"),
        [
            (b"G", False),
            (HEAD, False),
            (HEAD + b"\r\n", True),
            (HEAD + b"content-LENGTH:  2\r\n\r\n{", False),
            (HEAD + b"Content-Length: 2\r\n\r\n{}", True),
            (HEAD + b"Content-Length: 2\r\n\r\n{}GET", True),
            (HEAD + b"Content-Length: " + TOO_LARGE + b"\r\n\r\n", True),
            (HEAD + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n", True),
            (HEAD + b"Content-Length: two\r\n\r\n", True),
            (HEAD + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n", True),
            (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", True),
            (b"x" * request_gate.MAX_HEAD_BYTES, True),
        ],
    )
    def test_is_complete(self, data: bytes, complete: bool) -> None:
        assert is_complete(data) is complete


def echo(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
    """Answer with the request's body (WSGI)."""
    read = read_request(environ, 1 << 20, 0.0)
    body = b"" if isinstance(read, Err) else read.ok_value.body
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


class TestGatedServer:
    """A server with one thread and slow callers."""

    @pytest.fixture
    def address(self, monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[str, int]]:
        monkeypatch.setattr(request_gate, "REQUEST_TIMEOUT_S", 1.0)
        address = ("127.0.0.1", find_free_port("127.0.0.1"))
        listener = HttpListener(
            "test", address, echo, threads=1, max_body_bytes=1 << 20
        )
        listener.start()
        yield address
        listener.stop()

    def test_a_request_in_pieces(self, address: tuple[str, int]) -> None:
        data = request("POST", "/", b"hello")
        with socket.create_connection(address, 5) as connection:
            for index in range(0, len(data), 7):
                connection.sendall(data[index : index + 7])
                time.sleep(0.005)
            assert connection.recv(1 << 16).startswith(b"HTTP/1.1 200 OK")

    def test_two_requests_at_once(self, address: tuple[str, int]) -> None:
        first = request("POST", "/", b"one", {"Connection": "keep-alive"})
        answer = send(address, first + request("POST", "/", b"two"))
        assert answer.text.count("HTTP/1.1 200 OK") == 2

    def test_a_large_body(self, address: tuple[str, int]) -> None:
        body = b"x" * (4 * MAX_BUFFERED_BODY_BYTES)
        assert len(send(address, request("POST", "/", body)).text) > len(body)

    def test_a_slow_caller_times_out_and_blocks_no_others(
        self, address: tuple[str, int]
    ) -> None:
        with silent_connections(address, 20, HEAD) as slow:
            started = time.monotonic()
            assert send(address, request("GET", "/")).status == 200
            assert time.monotonic() - started < 0.5
            for _ in range(8):
                trickle(slow, b"a")
                time.sleep(0.2)
            for connection in slow:
                assert connection.recv(100).startswith(b"HTTP/1.1 408 ")

    def test_a_body_read_by_a_thread_is_bounded(
        self, address: tuple[str, int], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(request_gate, "MIN_BODY_BYTES_PER_S", 1 << 20)
        head = HEAD + b"Content-Length: 100\r\nExpect: 100-continue\r\n\r\n"
        with silent_connections(address, 1, head) as slow:
            for _ in range(8):
                trickle(slow, b"a")
                time.sleep(0.2)
            started = time.monotonic()
            assert send(address, request("GET", "/")).status == 200
            assert time.monotonic() - started < 0.5

    def test_a_caller_that_disconnects_is_dropped(
        self, address: tuple[str, int]
    ) -> None:
        started = time.monotonic()
        assert send(address, HEAD, then_end=True).status == 408
        assert time.monotonic() - started < 0.5
