"""HTTP server of all stand-ins: faults, history and dropped connections."""

import json
import logging
import select
import selectors
import signal
import socket
import threading
import time
from collections.abc import Iterator, Mapping
from contextlib import closing, contextmanager, suppress
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, unquote

from cheroot.server import Gateway, HTTPConnection, HTTPServer
from cheroot.workers.threadpool import ThreadPool

from bamboovale.standins.faults import Faults, UnknownFaultError
from bamboovale.standins.history import History
from bamboovale.standins.messages import (
    Answer,
    DroppedConnectionError,
    Handler,
    Request,
)

logger = logging.getLogger(__name__)

# Longer than any pause of a test, so that callers' idle connections stay open
# between two requests.
IDLE_TIMEOUT_S = 120
LISTEN_BACKLOG = 512
DEFAULT_THREADS = 64
CONTROL_PATHS = frozenset({"/faults", "/history", "/healthz"})


class Connection(HTTPConnection):
    """A connection that the server can drop while a request runs on it."""

    def __init__(self, server: Any, sock: socket.socket, *rest: Any) -> None:
        super().__init__(server, sock, *rest)
        self.is_last_request = False
        server.open_connections.add(self)

    def close(self) -> None:
        """Close the socket and remove the connection from the open ones."""
        self.server.open_connections.discard(self)
        super().close()

    def drop(self) -> None:
        """Shut the socket down, also while another thread reads or writes it."""
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def is_open(self) -> bool:
        """Return whether the peer has not closed the connection."""
        try:
            poll = select.poll()
            poll.register(self.socket, select.POLLIN)
            # Peek only at a readable socket: otherwise recv blocks until its timeout.
            return not poll.poll(0) or self.socket.recv(1, socket.MSG_PEEK) != b""
        except (OSError, ValueError):
            return False


class StandInGateway(Gateway):
    """Passes one parsed request to the stand-in and writes its answer."""

    def respond(self) -> None:
        """Answer the request, or drop its connection."""
        request = self._read()
        try:
            answer = self.req.server.answer(request)
            self._write(answer)
        except DroppedConnectionError:
            self.req.conn.drop()
            raise

    def _read(self) -> Request:
        req = self.req
        return Request(
            method=req.method.decode("ascii"),
            path=unquote(req.path.decode("latin-1")),
            query=dict(parse_qsl(req.qs.decode("latin-1"))),
            headers={
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in req.inheaders.items()
            },
            body=req.rfile.read(),
            source=req.conn.remote_addr,
            is_open=req.conn.is_open,
        )

    def _write(self, answer: Answer) -> None:
        req = self.req
        status = HTTPStatus(answer.status)
        req.status = f"{status.value} {status.phrase}".encode()
        req.close_connection = req.close_connection or req.conn.is_last_request
        for name, value in answer.headers.items():
            self._add_header(name, value)
        if answer.chunks is not None:
            self._write_chunks(answer.chunks)
            return
        if isinstance(answer.body, bytes):
            body = answer.body
        else:
            body = json.dumps(answer.body).encode()
        if "Content-Type" not in answer.headers:
            self._add_header("Content-Type", "application/json")
        self._add_header("Content-Length", str(len(body)))
        req.ensure_headers_sent()
        if req.method != b"HEAD":
            req.write(body)

    def _add_header(self, name: str, value: str) -> None:
        self.req.outheaders.append((name.encode("latin-1"), value.encode("latin-1")))

    def _write_chunks(self, chunks: Iterator[bytes]) -> None:
        with closing(chunks):  # type: ignore[type-var]
            for chunk in chunks:
                self.req.ensure_headers_sent()
                self.req.write(chunk)


class StandInServer(HTTPServer):
    """Serves one stand-in on one address, with its faults and its history."""

    ConnectionClass = Connection
    keep_alive_conn_limit = 10_000
    request_queue_size = LISTEN_BACKLOG
    timeout = IDLE_TIMEOUT_S

    def __init__(
        self,
        listen: str,
        handler: Handler,
        faults: Faults,
        history: History,
        threads: int = DEFAULT_THREADS,
    ) -> None:
        super().__init__(parse_address(listen), StandInGateway)
        self.requests = ThreadPool(self, min=threads, max=threads)
        self.open_connections: set[Connection] = set()
        self._is_refusing = False
        self.handler = handler
        self.faults = faults
        self.history = history
        faults.add_listener(self._apply_faults)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log cheroot's reports of broken connections at debug level."""
        logger.debug(msg, exc_info=traceback)

    def answer(self, request: Request) -> Answer:
        """Answer a control request, or apply the faults and call the handler."""
        if request.path in CONTROL_PATHS:
            return self._answer_control(request)
        if self._is_cut(request.source):
            raise DroppedConnectionError
        slow_ms = self.faults.get("slow_ms", 0)
        if slow_ms:
            time.sleep(slow_ms / 1000)
        # Guards against a request that was read before a crash and acts after it.
        if self._is_refusing:
            raise DroppedConnectionError
        try:
            return self.handler(request)
        except (ValueError, KeyError, TypeError) as error:
            return Answer.error(400, "bad_request", f"{type(error).__name__}: {error}")

    def _is_cut(self, source: str | None) -> bool:
        return bool(self.faults.get("down")) or source in self.faults.get("cut", ())

    def _answer_control(self, request: Request) -> Answer:
        if request.path == "/healthz":
            return Answer(body={"status": "ok"})
        if request.path == "/history":
            limit = request.query.get("limit")
            return Answer(
                body=self.history.read(
                    request.number("from", 0),
                    None if limit is None else int(limit),
                )
            )
        if request.method == "POST":
            try:
                self.faults.merge(request.json())
            except (UnknownFaultError, ValueError) as error:
                return Answer.error(400, "bad_request", str(error))
        return Answer(body=self.faults.to_json())

    def _apply_faults(self, changes: Mapping[str, Any]) -> None:
        self.history.record("faults", changes=dict(changes))
        if "cut" in changes or "down" in changes:
            for connection in list(self.open_connections):
                if self._is_cut(connection.remote_addr):
                    self._drop_unless_own(connection)
        if changes.get("refuse_s"):
            self.faults.merge({"refuse_s": None})
            self.refuse(float(changes["refuse_s"]))

    def refuse(self, seconds: float) -> None:
        """Drop all connections; refuse new ones for ``seconds``, then listen again."""
        self._is_refusing = True
        self._close_listener()
        for connection in list(self.open_connections):
            self._drop_unless_own(connection)
        timer = threading.Timer(seconds, self._open_listener)
        timer.daemon = True
        timer.start()

    def _drop_unless_own(self, connection: Connection) -> None:
        # The control request that set the fault still gets its answer.
        worker = threading.current_thread()
        if getattr(worker, "conn", None) is connection:
            connection.is_last_request = True
        else:
            connection.drop()

    def _close_listener(self) -> None:
        listener = self.socket
        if listener is None or listener.fileno() < 0:
            return
        self._selector().unregister(listener.fileno())
        listener.close()

    def _selector(self) -> Any:
        # cheroot has no public call to close and reopen only the listener.
        return self._connections._selector  # type: ignore[attr-defined]

    def _open_listener(self) -> None:
        self.bind(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.settimeout(1)
        self.socket.listen(self.request_queue_size)
        self._selector().register(
            self.socket.fileno(),
            selectors.EVENT_READ,
            data=self,
        )
        self._is_refusing = False
        self.history.record("listening")

    def start_serving(self) -> str:
        """Listen and serve in threads; return the address as HOST:PORT."""
        listening = threading.Event()
        threading.Thread(
            target=self._serve,
            args=(listening,),
            name="serve",
            daemon=True,
        ).start()
        listening.wait()
        host, port = self.bind_addr
        return f"{host}:{port}"

    def _serve(self, listening: threading.Event) -> None:
        # Workers started on this daemon thread are daemons too, so that one blocked
        # by a ``hang`` fault does not keep the process alive.
        try:
            self.prepare()
            # Inherited by accepted connections: one that is still closing would
            # otherwise block binding the port again after ``refuse``.
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        finally:
            listening.set()
        self.serve()


def parse_address(listen: str) -> tuple[str, int]:
    """Split HOST:PORT.

    >>> parse_address("127.0.0.1:0")
    ('127.0.0.1', 0)
    """
    host, _, port = listen.rpartition(":")
    return host, int(port)


@contextmanager
def running(server: StandInServer) -> Iterator[str]:
    """Serve while the block runs and yield the URL."""
    address = server.start_serving()
    try:
        yield f"http://{address}"
    finally:
        # In the background, because stopping blocks for a while.
        threading.Thread(target=server.stop, daemon=True).start()


def catch_termination() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set.

    Call it before printing the address: a process that reads the address may send
    SIGTERM at once and expects exit code 0.
    """
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    return stopping


def serve_until_terminated(server: StandInServer) -> None:
    """Print the address, then serve until SIGTERM or SIGINT."""
    stopping = catch_termination()
    print(f"listening on {server.start_serving()}", flush=True)
    stopping.wait()
