"""Answers that stop early: their bytes in each framing, and a server that cuts them."""

import contextlib
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from bamboovale.http1.sockets import reset_on_close

CLOSE = "close"
RESET = "reset"
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
FIELDS = b"X-Request-Id: r-1\r\nX-Server-Stamp: s\r\n"
JSON_TYPE = b"Content-Type: application/json\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
BODY = b'{"value": 1234}'
ACCEPT_S = 10.0


@dataclass(frozen=True)
class Answer:
    """The bytes of a whole answer; without a frame it ends with its connection."""

    name: str
    head: bytes
    content: bytes
    interim: bytes = b""
    framed: bool = True

    @property
    def data(self) -> bytes:
        """Return all bytes."""
        return self.interim + self.head + self.content

    def is_whole(self, cut: int, how: str) -> bool:
        """Return whether it may be taken as whole if it is cut after some bytes."""
        if self.framed:
            return cut >= len(self.data)
        return cut >= len(self.interim + self.head) and how == CLOSE


def _head(*fields: bytes) -> bytes:
    return STATUS_LINE + b"".join(fields) + b"\r\n"


LENGTH = b"Content-Length: %d\r\n" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (BODY[:6], BODY[6:]))
CHUNKED_BODY = CHUNKS + b"0\r\n\r\n"
WITH_LENGTH = _head(JSON_TYPE, FIELDS, LENGTH)
ANSWERS = (
    Answer("length last", WITH_LENGTH, BODY),
    Answer("length first", _head(LENGTH, JSON_TYPE, FIELDS), BODY),
    Answer("chunks", _head(CHUNKED, JSON_TYPE, FIELDS), CHUNKED_BODY),
    Answer("chunks with a trailer", _head(CHUNKED), CHUNKS + b"00\r\nA: b\r\n\r\n"),
    Answer("no frame", _head(JSON_TYPE, FIELDS), BODY, framed=False),
    Answer("after an interim answer", WITH_LENGTH, BODY, INTERIM),
    Answer("after two", WITH_LENGTH, BODY, b"HTTP/1.1 100 Go on\r\n\r\n" + INTERIM),
)


@dataclass
class CuttingServer:
    """Sends prepared bytes in answer to requests, then closes or resets.

    ``kept`` are whole answers to the first requests of each connection, ``data`` is
    the last one, after which the connection stays open until ``left`` is set or for
    ``stays_s``. ``requests`` counts what was read.
    """

    data: bytes = b""
    how: str = CLOSE
    kept: tuple[bytes, ...] = ()
    stays_s: float = 0.0
    left: threading.Event = field(default_factory=threading.Event)
    requests: int = 0
    address: tuple[str, int] = ("", 0)
    _open: socket.socket | None = None

    @contextmanager
    def running(self) -> Iterator["CuttingServer"]:
        """Listen until the end of the block."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.address = listener.getsockname()
            thread = threading.Thread(target=self._accept, args=(listener,))
            thread.start()
            try:
                yield self
            finally:
                listener.shutdown(socket.SHUT_RDWR)
                if self._open is not None:
                    with contextlib.suppress(OSError):
                        self._open.shutdown(socket.SHUT_RDWR)
                thread.join(ACCEPT_S)

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                self._open = connection
                with contextlib.suppress(OSError), connection:
                    self._serve(connection)

    def _serve(self, connection: socket.socket) -> None:
        for answer in (*self.kept, self.data):
            if not self._read_request(connection):
                return
            connection.sendall(answer)
        self.left.wait(self.stays_s)
        if self.how == RESET:
            reset_on_close(connection)

    def _read_request(self, connection: socket.socket) -> bool:
        """Read a request; return whether there was one."""
        received = b""
        while b"\r\n\r\n" not in received:
            piece = connection.recv(4096)
            if not piece:
                return False
            received += piece
        head, _, body = received.partition(b"\r\n\r\n")
        length = head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]
        while len(body) < int(length or b"0"):
            body += connection.recv(4096)
        self.requests += 1
        return True
