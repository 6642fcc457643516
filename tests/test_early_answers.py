"""Answers without a length to requests that are still being written."""

import asyncio
import contextlib
import itertools
import socket
import threading
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import h11
import pytest

from bamboovale.event_loop import loop_factory
from bamboovale.http1.connection import Connection, IncompleteResponse
from bamboovale.http1.sockets import reset_on_close, set_receive_buffer

HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\n"
PART = b"a part of it"
SIZES = (10, 300_000, 5_000_000)
"""Of requests: in one packet, in the kernel's buffers, more than these hold."""
TRIES = 10
"""A reset may be told to a reader or a writer, as they come."""
Address = tuple[str, int]
End = Callable[[socket.socket], None]
RECEIVE_BUFFER_BYTES = 16 * 1024
each_size = pytest.mark.parametrize("size", SIZES)
each_loop = pytest.mark.parametrize(
    "loop", [asyncio.new_event_loop, loop_factory()], ids=["asyncio", "installed"]
)


def close_unread(connection: socket.socket) -> None:
    """Close with most of the request unread."""


def reset(connection: socket.socket) -> None:
    """Reset after a part of the request was read."""
    connection.recv(1000)
    reset_on_close(connection)


def close_then_reset(connection: socket.socket) -> None:
    """End the answer, and reset while the request is still coming."""
    connection.shutdown(socket.SHUT_WR)
    reset_on_close(connection)


def read_all(connection: socket.socket) -> None:
    """End the answer, and read the request to its end."""
    connection.shutdown(socket.SHUT_WR)
    while connection.recv(65536):
        pass


@contextmanager
def answering(end: End) -> Iterator[Address]:
    """Answer each request at its first byte, then end the connection."""

    def accept(listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                with contextlib.suppress(OSError), connection:
                    connection.recv(1)
                    connection.sendall(HEAD + PART)
                    end(connection)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        set_receive_buffer(listener, RECEIVE_BUFFER_BYTES)
        thread = threading.Thread(target=accept, args=(listener,), daemon=True)
        thread.start()
        yield listener.getsockname()
        listener.shutdown(socket.SHUT_RDWR)


async def upload(address: Address, size: int, late_s: float) -> bytes:
    """Send a request; return the whole answer.

    The loop stands still for some time before it reads any of it.
    """
    connection = await Connection.open(*address)
    headers = [("Host", "h"), ("Content-Length", str(size))]
    request = h11.Request(method="POST", target="/", headers=headers)
    connection.send(request, b"x" * size)
    time.sleep(late_s)
    try:
        await connection.head()
        received = b""
        while (data := await connection.data()) is not None:
            received += data
        return received
    finally:
        connection.close()


def run_on(
    loop: Callable[[], asyncio.AbstractEventLoop], test: Awaitable[None]
) -> None:
    """Run a test on an event loop."""
    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(asyncio.wait_for(test, 30.0))  # type: ignore[arg-type]


class TestEarlyAnswers:
    """An answer that ends with its connection, before the request is taken."""

    @each_loop
    @pytest.mark.parametrize(
        ("end", "size"),
        [
            *itertools.product((close_unread, reset), SIZES),
            *itertools.product((close_then_reset,), SIZES[1:]),
        ],
    )
    def test_one_that_is_reset_is_incomplete(
        self, loop: Callable[[], asyncio.AbstractEventLoop], size: int, end: End
    ) -> None:
        """Guards against a reset that is told to the writer, and read as an end."""

        async def test(address: Address) -> None:
            for number in range(TRIES):
                with pytest.raises(IncompleteResponse):
                    await upload(address, size, 0.02 * (number % 2))

        with answering(end) as address:
            run_on(loop, test(address))

    @each_loop
    @each_size
    def test_one_behind_which_the_request_is_read_is_whole(
        self, loop: Callable[[], asyncio.AbstractEventLoop], size: int
    ) -> None:
        """Guards against answers that are lost as their endpoint is quick."""

        async def test(address: Address) -> None:
            for number in range(TRIES):
                assert await upload(address, size, 0.02 * (number % 2)) == PART

        with answering(read_all) as address:
            run_on(loop, test(address))
