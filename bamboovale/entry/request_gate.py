"""Keeps callers that send slowly away from the threads that serve.

cheroot gives a connection to a thread before its request has arrived. As many callers
as there are threads, each with half a request sent, would keep everybody else waiting;
one byte of theirs now and then would do so without end. Here a connection waits for the
whole head, and a body of ordinary size, without a thread and for a bounded time.
"""

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from cheroot import wsgi
from cheroot.server import HTTPConnection

REQUEST_TIMEOUT_S = 5.0
"""From the first byte (or the connecting) to the whole request; a caller on a poor
mobile link needs about a second."""

MAX_WAITING_CONNECTIONS = 1000
"""Connections that wait at once; each costs a descriptor. The oldest goes first."""

MAX_BUFFERED_BODY_BYTES = 32 * 1024
"""Larger bodies are read by a thread: the kernel's buffer may not hold them whole."""

MAX_HEAD_BYTES = 32 * 1024
"""Beyond it a thread takes the request, and refuses it."""

MIN_BODY_BYTES_PER_S = 64 * 1024
POLL_INTERVAL_S = 0.25
HEAD_END = b"\r\n\r\n"
TIMEOUT_ANSWER = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


def is_complete(data: bytes) -> bool:
    r"""Tell whether a thread can take the request without waiting for its caller.

    That goes for what can only be refused as well: the server knows how.

    >>> is_complete(b"GET / HTTP/1.1\r\nHost: x\r\n")
    False
    >>> is_complete(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    True
    """
    head, end, body = data.partition(HEAD_END)
    if not end:
        return len(data) >= MAX_HEAD_BYTES
    length = _body_length(head.lower())
    return len(body) >= length or length > MAX_BUFFERED_BODY_BYTES


def _body_length(head: bytes) -> int:
    """Return the length of the body to wait for; 0 if it is not said or not coming."""
    fields = [line.partition(b":") for line in head.split(b"\r\n")]
    value_by_name = {name: value.strip() for name, _, value in fields}
    if b"expect" in value_by_name:
        # The caller waits for the server to say that it may go on.
        return 0
    length = value_by_name.get(b"content-length", b"")
    # Twelve digits are more than is ever waited for.
    return int(length[:12]) if length.isdigit() else 0


@dataclass(frozen=True)
class WaitingConnection:
    """A connection whose request has not arrived whole."""

    connection: HTTPConnection
    until: float


class RequestGate:
    """Holds connections until their request is whole, on one thread."""

    def __init__(self, admit: Callable[[HTTPConnection], None]) -> None:
        self._admit = admit
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        # In the order of their coming, so the first is the oldest.
        self._waiting_by_descriptor: dict[int, WaitingConnection] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="gate", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread and drop what waits."""
        self._stopping.set()
        self._thread.join()
        for descriptor in list(self._waiting_by_descriptor):
            self._drop(descriptor)
        self._epoll.close()

    def offer(self, connection: HTTPConnection) -> None:
        """Admit a connection, at once if its request is there."""
        if connection.rfile.has_data() or _has_complete_request(connection.socket):
            self._admit(connection)
            return
        descriptor = connection.socket.fileno()
        waiting = WaitingConnection(connection, time.monotonic() + REQUEST_TIMEOUT_S)
        with self._lock:
            self._waiting_by_descriptor[descriptor] = waiting
            crowded = len(self._waiting_by_descriptor) > MAX_WAITING_CONNECTIONS
            oldest = next(iter(self._waiting_by_descriptor))
        # Edge-triggered: an event for each arrival, not for what lies there unread.
        # Bytes that came since they were looked for cause one as well.
        events = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET
        self._epoll.register(descriptor, events)
        if crowded:
            self._drop(oldest)

    def _run(self) -> None:
        while not self._stopping.is_set():
            for descriptor, events in self._epoll.poll(POLL_INTERVAL_S):
                self._poll(descriptor, ended=bool(events & select.EPOLLRDHUP))
            self._drop_overdue()

    def _poll(self, descriptor: int, *, ended: bool) -> None:
        waiting = self._waiting_by_descriptor.get(descriptor)
        if waiting is None:
            return
        if not _has_complete_request(waiting.connection.socket):
            if ended:
                self._drop(descriptor)
            return
        if self._take(descriptor) is not None:
            self._admit(waiting.connection)

    def _drop_overdue(self) -> None:
        now = time.monotonic()
        with self._lock:
            overdue = [
                descriptor
                for descriptor, waiting in self._waiting_by_descriptor.items()
                if waiting.until <= now
            ]
        for descriptor in overdue:
            # Of a VM that was frozen the clock has gone on; what came meanwhile counts.
            self._poll(descriptor, ended=False)
            self._drop(descriptor)

    def _drop(self, descriptor: int) -> None:
        waiting = self._take(descriptor)
        if waiting is None:
            return
        with contextlib.suppress(OSError):
            waiting.connection.socket.setblocking(False)
            waiting.connection.socket.send(TIMEOUT_ANSWER)
        waiting.connection.close()

    def _take(self, descriptor: int) -> WaitingConnection | None:
        """Take a connection out; whoever gets it has it alone."""
        with self._lock:
            waiting = self._waiting_by_descriptor.pop(descriptor, None)
        if waiting is not None:
            with contextlib.suppress(OSError):
                self._epoll.unregister(descriptor)
        return waiting


def _has_complete_request(connection: socket.socket) -> bool:
    """Look at what has arrived without taking it; an end counts as whole."""
    try:
        poll = select.poll()
        poll.register(connection, select.POLLIN)
        # Python's read would wait for the socket's timeout, also with MSG_DONTWAIT.
        if not poll.poll(0):
            return False
        size = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES
        data = connection.recv(size, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True  # broken: the thread that takes it finds out and closes it
    return not data or is_complete(data)


class GatedServer(wsgi.Server):
    """An HTTP server whose threads get whole requests."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._gate = RequestGate(super().process_conn)

    def prepare(self) -> None:
        """Bind the port and start the threads."""
        super().prepare()
        self._gate.start()

    def process_conn(self, conn: HTTPConnection) -> None:
        """Take a new connection, or a kept one on which something arrived."""
        self._gate.offer(conn)

    def stop(self) -> None:
        """Stop listening and end the threads."""
        was_ready = self.ready
        super().stop()
        if was_ready:
            self._gate.stop()


@contextlib.contextmanager
def bounded_read(environ: Mapping[str, Any], size: int) -> Iterator[None]:
    """Break the connection off if the block, which reads a body, takes too long.

    The socket's timeout counts from the last byte, so a caller that sends one now and
    then would keep the thread for ever. The read ends with an error.
    """
    connection = environ.get("bamboovale.socket")
    if connection is None or _has_waited(environ, size):
        yield
        return
    seconds = REQUEST_TIMEOUT_S + size / MIN_BODY_BYTES_PER_S
    timer = threading.Timer(seconds, _break_off, (connection,))
    timer.daemon = True
    timer.start()
    try:
        yield
    finally:
        timer.cancel()


def _has_waited(environ: Mapping[str, Any], size: int) -> bool:
    """Tell whether the gate has waited for this body."""
    is_sent_later = "HTTP_EXPECT" in environ or "HTTP_TRANSFER_ENCODING" in environ
    return size <= MAX_BUFFERED_BODY_BYTES and not is_sent_later


def _break_off(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RD)
