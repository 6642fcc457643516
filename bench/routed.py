"""Settings and configuration of a small routed deployment, and a caller for it."""

import contextlib
import itertools
import os
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11

from bamboovale.http1.connection import Connection, IncompleteResponse, ResponseHead

HOST = "shop.example"
MODEL = "base"
CALLER_CONNECT_TIMEOUT_S = 5.0
HOLDING_HOST = "127.255.255.254"
MOST_HELD_PORTS = 200
"""More than a deployment of one test has."""

# Concurrent test processes start their search at different ports.
_first_port = 18000 + os.getpid() * 37 % 11000
_ports = itertools.chain(range(_first_port, 29000), range(18000, _first_port))
_request_numbers = itertools.count(1)
_held_ports: deque[socket.socket] = deque(maxlen=MOST_HELD_PORTS)


def free_port() -> int:
    """Return a port below the kernel's range for outgoing connections.

    It is free at all addresses, as VMs of one test have different ones, and this
    process holds it at one that no VM has: guards against two test processes that
    choose the same port before either uses it.
    """
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind(("", port))
            except OSError:
                continue
        with contextlib.suppress(OSError):
            _held_ports.append(_hold(port))
            return port
    raise OSError("no free port")


def _hold(port: int) -> socket.socket:
    """Return a socket that keeps others from choosing a port; raises OSError."""
    held = socket.socket()
    try:
        held.bind((HOLDING_HOST, port))
    except OSError:
        held.close()
        raise
    return held


def node_document(
    store: tuple[str, int], name: str, address: str = "127.0.0.1", **bounds: Any
) -> dict[str, Any]:
    """Return an entry VM's settings file as a table."""
    ports = [free_port() for _ in range(4)]
    return {
        "node-name": name,
        "ip": address,
        "zone": "a",
        "region": "r",
        "port-range": [ports[0], ports[0]],
        "listen": {
            "front": f"{address}:{ports[1]}",
            "ready": f"{address}:{ports[2]}",
            "directory": f"{address}:{ports[3]}",
        },
        "bounds": {"fenced": True, "grace-s": 6, **bounds},
        "platform": {"addr": f"{store[0]}:{store[1]}", "parts": 12},
        "limits": {},
    }


def route(name: str, service: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "type": kind,
        "timeout-ms": 4000,
        "goal-ms": 500,
        "priority": 0,
        "service": service,
        "max-attempts": 2,
        "resumable": False,
        **fields,
    }


def configuration(version: int = 1, extra: tuple[dict, ...] = ()) -> dict[str, Any]:
    """Return a configuration with a model service and a plain one."""
    engine = {
        "slots": 8,
        "kv-capacity": 100_000,
        "adapter-slots": 2,
        "weights-mb": 100,
        "loads-per-s": 5,
        "models": [
            {"name": MODEL, "weights-mb": 90, "load-s": 0.1, "adapters": 100},
        ],
    }
    return {
        "version": version,
        "routes": [
            route("chat", "llm", "stream", **{"gap-target-ms": 400}),
            route("long", "llm", "stream", resumable=True, **{"gap-target-ms": 400}),
            route("book", "app", "unsafe", **{"max-attempts": 1}),
            route("check", "app", "safe"),
            *extra,
        ],
        "services": [
            {"name": "llm", "health-path": "/h", "max-conns": 100, "engine": engine},
            {"name": "app", "health-path": "/h", "max-conns": 100},
        ],
        "limits": {"max-header-bytes": 4096, "max-body-bytes": 100_000},
    }


@dataclass
class CallerAnswer:
    """The response to a caller; ``whole`` is False if it was cut off."""

    status: int
    head: ResponseHead | None
    body: bytes
    whole: bool

    def header(self, name: str) -> str | None:
        """Return a header's value."""
        value = self.head.get(name.encode()) if self.head else None
        return None if value is None else value.decode()


def request_id() -> str:
    """Return a new request id."""
    return f"request{next(_request_numbers)}"


async def call(
    address: tuple[str, int],
    path: str,
    *,
    adapter: str | None = None,
    body: bytes = b"hello",
    method: str = "POST",
    deadline_ms: int | None = 3000,
    headers: dict[str, str] | None = None,
    attempt: str | None = None,
) -> CallerAnswer:
    """Send one request as a caller and return the response."""
    fields = {"Host": HOST, "X-Request-Id": attempt or request_id()}
    if deadline_ms is not None:
        fields["X-Deadline-Ms"] = str(deadline_ms)
    if adapter is not None:
        fields["X-Model"] = f"{MODEL}/{adapter}"
        fields["X-Token-Count"] = "100,20"
    fields |= headers or {}
    if method == "GET":
        body = b""
    else:
        fields["Content-Length"] = str(len(body))
    request = h11.Request(method=method, target=path, headers=list(fields.items()))
    connection = await Connection.open(*address, timeout_s=CALLER_CONNECT_TIMEOUT_S)
    try:
        connection.send(request, body)
        return await read_answer(connection)
    finally:
        connection.close()


async def read_answer(
    connection: Connection, is_enough: Callable[[bytes], bool] = lambda received: False
) -> CallerAnswer:
    """Read a response until it is complete, cut off or enough for its caller."""
    head = None
    received = b""
    try:
        head = await connection.head()
        while (data := await connection.data()) is not None:
            received += data
            if is_enough(received):
                return CallerAnswer(head.status, head, received, whole=False)
    except IncompleteResponse:
        return CallerAnswer(head.status if head else 0, head, received, whole=False)
    return CallerAnswer(head.status, head, received, whole=True)
