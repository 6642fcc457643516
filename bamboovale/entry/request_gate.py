"""Protects the threads of the HTTP server against slow senders (slowloris).

cheroot assigns a connection to a thread before its request has arrived, so callers that
send incomplete requests could occupy all threads. Here a connection waits without a
thread, for a bounded time, for its complete head and a body of moderate size.
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
"""Time from the connect, or the first byte, to the complete request."""

MAX_WAITING_CONNECTIONS = 1000
"""Waiting connections, one descriptor each; beyond it the oldest is closed."""

MAX_BUFFERED_BODY_BYTES = 32 * 1024
"""Larger bodies are read by a thread: they may not fit the kernel's buffer."""

MAX_HEAD_BYTES = 32 * 1024
"""A larger head is passed to a thread, which refuses it."""

MIN_BODY_BYTES_PER_S = 64 * 1024
POLL_INTERVAL_S = 0.25
HEAD_END = b"\r\n\r\n"
TIMEOUT_ANSWER = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


def is_complete(data: bytes) -> bool:
    r"""Return whether a thread can handle the request without waiting for its caller.

    True for invalid requests as well, which the server refuses.

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
    """Return the length of the body to wait for, 0 if unknown or not sent yet."""
    fields = [line.partition(b":") for line in head.split(b"\r\n")]
    value_by_name = {name: value.strip() for name, _, value in fields}
    if b"expect" in value_by_name:
        # The caller waits for 100 Continue before it sends the body.
        return 0
    length = value_by_name.get(b"content-length", b"")
    # Bounds the conversion; twelve digits exceed any limit.
    return int(length[:12]) if length.isdigit() else 0


@dataclass(frozen=True)
class WaitingConnection:
    """A connection whose request is incomplete, and the time to close it."""

    connection: HTTPConnection
    deadline: float


class RequestGate:
    """Holds connections until their request is complete, on one thread."""

    def __init__(self, admit: Callable[[HTTPConnection], None]) -> None:
        self._admit = admit
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        # In order of arrival: the first is the oldest.
        self._waiting_by_descriptor: dict[int, WaitingConnection] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="gate", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close the waiting connections."""
        self._stopping.set()
        self._thread.join()
        for descriptor in list(self._waiting_by_descriptor):
            self._drop(descriptor)
        self._epoll.close()

    def offer(self, connection: HTTPConnection) -> None:
        """Admit a connection once its request is complete."""
        if connection.rfile.has_data() or _has_complete_request(connection.socket):
            self._admit(connection)
            return
        descriptor = connection.socket.fileno()
        waiting = WaitingConnection(connection, time.monotonic() + REQUEST_TIMEOUT_S)
        with self._lock:
            self._waiting_by_descriptor[descriptor] = waiting
            is_full = len(self._waiting_by_descriptor) > MAX_WAITING_CONNECTIONS
            oldest = next(iter(self._waiting_by_descriptor))
        # Edge-triggered: one event per arrival, although the bytes stay unread. Bytes
        # that arrived since the check above cause an event as well.
        events = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET
        self._epoll.register(descriptor, events)
        if is_full:
            self._drop(oldest)

    def _run(self) -> None:
        while not self._stopping.is_set():
            for descriptor, events in self._epoll.poll(POLL_INTERVAL_S):
                self._poll(descriptor, ended=bool(events & select.EPOLLRDHUP))
            self._drop_expired()

    def _poll(self, descriptor: int, *, ended: bool) -> None:
        waiting = self._waiting_by_descriptor.get(descriptor)
        if waiting is None:
            return
        if not _has_complete_request(waiting.connection.socket):
            if ended:
                self._drop(descriptor)
            return
        if self._remove(descriptor) is not None:
            self._admit(waiting.connection)

    def _drop_expired(self) -> None:
        now = time.monotonic()
        with self._lock:
            expired = [
                descriptor
                for descriptor, waiting in self._waiting_by_descriptor.items()
                if waiting.deadline <= now
            ]
        for descriptor in expired:
            # If the VM was paused, the request may have arrived in the meantime.
            self._poll(descriptor, ended=False)
            self._drop(descriptor)

    def _drop(self, descriptor: int) -> None:
        waiting = self._remove(descriptor)
        if waiting is None:
            return
        with contextlib.suppress(OSError):
            waiting.connection.socket.setblocking(False)
            waiting.connection.socket.send(TIMEOUT_ANSWER)
        waiting.connection.close()

    def _remove(self, descriptor: int) -> WaitingConnection | None:
        """Remove and return a connection; only one thread gets it."""
        with self._lock:
            waiting = self._waiting_by_descriptor.pop(descriptor, None)
        if waiting is not None:
            with contextlib.suppress(OSError):
                self._epoll.unregister(descriptor)
        return waiting


def _has_complete_request(connection: socket.socket) -> bool:
    """Peek at the received bytes; the end of the stream counts as complete."""
    try:
        poll = select.poll()
        poll.register(connection, select.POLLIN)
        # recv() waits for the socket's timeout even with MSG_DONTWAIT.
        if not poll.poll(0):
            return False
        size = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES
        data = connection.recv(size, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True  # broken: the thread that handles it closes it
    return not data or is_complete(data)


class GatedServer(wsgi.Server):
    """An HTTP server whose threads get only complete requests."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._gate = RequestGate(super().process_conn)

    def prepare(self) -> None:
        """Bind the port and start the threads."""
        super().prepare()
        self._gate.start()

    def process_conn(self, conn: HTTPConnection) -> None:
        """Pass a new or a readable idle connection to the gate."""
        self._gate.offer(conn)

    def stop(self) -> None:
        """Stop listening and end the threads."""
        was_ready = self.ready
        super().stop()
        if was_ready:
            self._gate.stop()


@contextlib.contextmanager
def bounded_read(environ: Mapping[str, Any], size: int) -> Iterator[None]:
    """Shut the connection down if the block, which reads a body, takes too long.

    The socket's timeout restarts with each byte, so that a slow sender could hold the
    thread indefinitely. The read then fails with an error.
    """
    connection = environ.get("bamboovale.socket")
    if connection is None or _was_buffered(environ, size):
        yield
        return
    seconds = REQUEST_TIMEOUT_S + size / MIN_BODY_BYTES_PER_S
    timer = threading.Timer(seconds, _shut_down, (connection,))
    timer.daemon = True
    timer.start()
    try:
        yield
    finally:
        timer.cancel()


def _was_buffered(environ: Mapping[str, Any], size: int) -> bool:
    """Return whether the gate has waited for this body."""
    is_sent_later = "HTTP_EXPECT" in environ or "HTTP_TRANSFER_ENCODING" in environ
    return size <= MAX_BUFFERED_BODY_BYTES and not is_sent_later


def _shut_down(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RD)
