"""A client of the entry VMs that notes what it sends and what it is answered."""

import asyncio
import itertools
import os
import time
from dataclasses import dataclass, field

import h11

from review.harness2.site import HOST, MODEL

CONNECT_TIMEOUT_S = 1.0
PATIENCE_S = 0.1
"""How long after its deadline a client leaves."""

_numbers = itertools.count(1)


@dataclass
class Attempt:
    """One request; times are monotonic, ``status`` 0 without an answer."""

    request_id: str
    path: str
    sent_at: float = 0.0
    answered_at: float | None = None
    status: int = 0
    is_whole: bool = False
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""

    @property
    def took_s(self) -> float | None:
        """Return the time from the request to the end of its answer."""
        return None if self.answered_at is None else self.answered_at - self.sent_at

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return number and data of the events of a stream."""
        found = []
        for text in self.body.decode("latin-1").split("\n\n"):
            fields = dict(
                line.split(": ", 1) for line in text.splitlines() if ": " in line
            )
            if fields.get("id", "").isdecimal():
                found.append((int(fields["id"]), fields.get("data", "")))
        return found


def new_id() -> str:
    """Return the id of a new request."""
    return f"{os.getpid():08x}{next(_numbers):08x}"


async def send(
    address: tuple[str, int],
    path: str,
    *,
    deadline_s: float,
    method: str = "POST",
    body: bytes = b"hello",
    adapter: str | None = None,
    tokens: str = "100,40",
    headers: dict[str, str] | None = None,
) -> Attempt:
    """Send one request on a new connection and read its answer."""
    attempt = Attempt(new_id(), path)
    fields = {
        "Host": HOST,
        "X-Request-Id": attempt.request_id,
        "X-Deadline-Ms": str(int(deadline_s * 1000)),
        **(headers or {}),
    }
    if adapter is not None:
        fields["X-Model"] = f"{MODEL}/{adapter}"
        fields["X-Token-Count"] = tokens
    if method != "GET":
        fields["Content-Length"] = str(len(body))
    request = h11.Request(method=method, target=path, headers=list(fields.items()))
    attempt.sent_at = time.monotonic()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
    except (OSError, TimeoutError) as error:
        attempt.error = f"connect: {error!r}"
        return attempt
    try:
        async with asyncio.timeout(deadline_s + PATIENCE_S):
            await _exchange(attempt, request, body, reader, writer)
    except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
        attempt.error = repr(error)
    finally:
        writer.close()
    return attempt


async def _exchange(
    attempt: Attempt,
    request: h11.Request,
    body: bytes,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    wire = h11.Connection(h11.CLIENT)
    data = wire.send(request)
    if request.method != b"GET":
        data += wire.send(h11.Data(data=body))
    writer.write(data + wire.send(h11.EndOfMessage()))
    while True:
        event = wire.next_event()
        if event is h11.NEED_DATA:
            wire.receive_data(await reader.read(65536))
        elif isinstance(event, h11.Response):
            attempt.status = event.status_code
            attempt.headers = {
                name.decode(): value.decode("latin-1") for name, value in event.headers
            }
        elif isinstance(event, h11.Data):
            attempt.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            attempt.is_whole = True
            attempt.answered_at = time.monotonic()
            return
        elif not isinstance(event, h11.InformationalResponse):
            return
