"""The ports beside that for callers: directory, readiness, metrics and state dump."""

import json
from collections.abc import Callable
from typing import Any

from bamboovale.gateway.client_bounds import (
    DIRECTORY,
    MONITORING,
    QUERY_LIMITS,
    READINESS,
    ClientBounds,
)
from bamboovale.gateway.translation import Translation
from bamboovale.gateway.vm_state import VMState
from bamboovale.http1.request import Request
from bamboovale.http1.responder import Handler, Responder
from bamboovale.http1.server import Server
from bamboovale.metrics import Metrics

DIRECTORY_TTL_S = 1.0
"""How long clients may cache the addresses, and thus use a VM that stopped."""


class Ports:
    """HTTP servers for the address directory, readiness checks and monitoring."""

    def __init__(
        self,
        state: VMState,
        translation: Translation,
        metrics: Metrics,
        dump: Callable[[], dict[str, Any]],
        metrics_port: int,
        bounds: ClientBounds,
    ) -> None:
        self._state = state
        self._translation = translation
        self._metrics = metrics
        self._dump = dump
        self._metrics_port = metrics_port
        self._bounds = bounds
        self._directory = self._server(DIRECTORY, self._answer_directory)
        self._readiness = self._server(READINESS, self._answer_readiness)
        self._monitoring = self._server(MONITORING, self._answer_monitoring)

    def _server(self, name: str, handler: Handler) -> Server:
        return Server(
            handler,
            lambda: QUERY_LIMITS,
            memory=self._bounds.memory,
            connection_limit=self._bounds.port(name),
        )

    async def listen(self) -> None:
        """Bind all ports; raises OSError."""
        node = self._state.node
        await self._directory.listen(*node.directory)
        await self._readiness.listen(*node.readiness)
        await self._monitoring.listen(node.ip, self._metrics_port)

    def close(self) -> None:
        """Close all ports at once."""
        for server in (self._directory, self._readiness, self._monitoring):
            server.close()

    def addresses_for(self, failure_domain: str) -> list[tuple[str, int]]:
        """Return addresses of serving VMs, of the given domain only if it has two."""
        near: list[tuple[str, int]] = []
        others: list[tuple[str, int]] = []
        for domain, members in self._state.fleet.advertised_by_domain().items():
            group = near if domain == failure_domain else others
            group.extend((item.address, item.callers_port) for item in members)
        return near if len(near) > 1 else near + others

    async def _answer_directory(self, request: Request, responder: Responder) -> None:
        body = self._translation.directory_answer(
            request.target,
            self.addresses_for,
            min(DIRECTORY_TTL_S, self._state.node.bounds.directory_ttl_most_s),
        )
        if body is None:
            responder.answer(503, [(b"retry-after", b"1")], b"")
            return
        responder.answer(200, [(b"content-type", b"application/json")], body)

    async def _answer_readiness(self, request: Request, responder: Responder) -> None:
        if not self._translation.is_readiness_query(request.target):
            responder.answer(404, [], b"")
        else:
            responder.answer(200 if self._state.serving() else 503, [], b"")

    async def _answer_monitoring(self, request: Request, responder: Responder) -> None:
        """Serve metrics and the state dump of this process."""
        if request.target.startswith("/state"):
            kind, body = b"application/json", json.dumps(self._dump(), default=str)
            responder.answer(200, [(b"content-type", kind)], body.encode())
        elif request.target.startswith("/metrics"):
            kind = b"text/plain; version=0.0.4"
            responder.answer(200, [(b"content-type", kind)], self._metrics.expose())
        else:
            responder.answer(404, [], b"")
