"""A small HTTP/1.1 server and client on asyncio's streams."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

REASONS = {
    200: "OK",
    202: "Accepted",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    503: "Service Unavailable",
}
MAX_HEAD_BYTES = 256 * 1024
JSON_TYPE = {"content-type": "application/json"}

Address = tuple[str, int]


@dataclass(frozen=True)
class Request:
    """A whole request; the names of its headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass
class Responder:
    """Writes the answer to one request."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def is_caller_gone(self) -> bool:
        """Return whether the connection was closed by its caller."""
        return self.reader.at_eof() or self.writer.is_closing()

    def answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Write a whole answer."""
        lines = {**headers, "content-length": str(len(body))}
        self.writer.write(head_of(status, lines) + body)

    def start_stream(self, headers: dict[str, str]) -> None:
        """Write the head of a stream of events."""
        lines = {
            **headers,
            "content-type": "text/event-stream",
            "transfer-encoding": "chunked",
        }
        self.writer.write(head_of(200, lines))

    async def send_piece(self, data: bytes) -> None:
        """Write a piece of the stream."""
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await self.writer.drain()

    def end_stream(self) -> None:
        """Write the end of the stream."""
        self.writer.write(b"0\r\n\r\n")


Handler = Callable[[Request, Responder], Awaitable[None]]


def head_of(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def serve(handler: Handler, address: Address) -> asyncio.Server:
    """Serve requests at an address, one after the other on each connection."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (request := await read_request(reader)) is not None:
                await handler(request, Responder(reader, writer))
                await writer.drain()
        writer.close()

    return await asyncio.start_server(on_connection, *address, limit=MAX_HEAD_BYTES)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, headers = parse_head(head)
    method, target, _ = first.split(" ", 2)
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a head."""
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


@dataclass
class Answer:
    """What a client got; ``status`` is 0 without an answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    error: str = ""


class ClientConnection:
    """A connection of a client, for one request after the other."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: Address, timeout_s: float = 1.0) -> "ClientConnection":
        """Connect; raises OSError or TimeoutError."""
        async with asyncio.timeout(timeout_s):
            streams = await asyncio.open_connection(*address, limit=MAX_HEAD_BYTES)
        return cls(*streams)

    async def send(self, data: bytes) -> None:
        """Write bytes."""
        self._writer.write(data)
        await self._writer.drain()

    async def read_answer(self, timeout_s: float, gap_s: float | None = None) -> Answer:
        """Return the answer, as far as it came in time.

        ``gap_s`` is the longest pause of a stream, also before its first event.
        """
        answer = Answer()
        gap_s = timeout_s if gap_s is None else gap_s
        try:
            async with asyncio.timeout(timeout_s):
                await self._read(answer, gap_s)
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            answer.error = type(error).__name__
        return answer

    async def _read(self, answer: Answer, gap_s: float) -> None:
        async with asyncio.timeout(gap_s):
            head = await self._reader.readuntil(b"\r\n\r\n")
        first, answer.headers = parse_head(head)
        answer.status = int(first.split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while piece := await asyncio.wait_for(self._read_piece(), gap_s):
                answer.body += piece
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await self._reader.readexactly(length)
        answer.is_whole = True

    async def _read_piece(self) -> bytes:
        """Return a piece of an answer without a length, empty at its end."""
        size = int(await self._reader.readline(), 16)
        piece = await self._reader.readexactly(size)
        await self._reader.readline()
        return piece

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def request_bytes(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return a request with the length of its body."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: Address,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a new connection; return what came in time."""
    try:
        connection = await ClientConnection.open(address)
    except (OSError, TimeoutError) as error:
        return Answer(error=f"connect: {type(error).__name__}")
    try:
        await connection.send(request_bytes(method, target, headers, body))
        return await connection.read_answer(timeout_s)
    except OSError as error:
        return Answer(error=type(error).__name__)
    finally:
        connection.close()
