"""What all clients of this VM may hold together, by the limits of its machine."""

from functools import partial

from bamboovale.gateway.journal import Journal
from bamboovale.http1.connection_limit import ConnectionLimit, share_of_sockets
from bamboovale.http1.memory import MemoryBudget
from bamboovale.http1.request import ServerLimits
from bamboovale.metrics import Metrics
from bamboovale.peers.newcomers import MAX_OPENING_BYTES
from bamboovale.platform.node_file import NodeSettings

CALLERS, DIRECTORY, READINESS = "callers", "directory", "readiness"
MONITORING, PEERS, ENDPOINTS = "monitoring", "peers", "endpoints"
MEMORY, OPENING = "memory", "opening"

SHARE_BY_PORT = {
    CALLERS: 0.3,
    DIRECTORY: 0.08,
    READINESS: 0.02,
    MONITORING: 0.02,
    PEERS: 0.05,
    ENDPOINTS: 0.35,
}
"""Part of the sockets for each port, and for connections to endpoints; of peers those
that have not proved who they are. As many connections may wait to be accepted as
``connection_limit`` says; the rest is for the store and links to peers."""

QUERY_LIMITS = ServerLimits(body_bytes=4 * 1024)
"""Limits of requests for the directory, readiness and monitoring: they need no body."""


class ClientBounds:
    """The bounds of memory and connections; each is logged and counted when it cuts."""

    def __init__(self, node: NodeSettings, journal: Journal, metrics: Metrics) -> None:
        self._max_fds = node.max_fds
        self._journal = journal
        self._cuts = metrics.gateway_clients_cut
        self.memory = MemoryBudget.from_memory(node.memory_mb, self._on_shed)

    def port(self, name: str) -> ConnectionLimit:
        """Return the limit of connections at one port."""
        share = SHARE_BY_PORT[name]
        on_dropped = partial(self.on_dropped, name)
        return ConnectionLimit.from_descriptors(self._max_fds, share, on_dropped)

    def sockets(self, name: str) -> int:
        """Return how many connections are for one purpose."""
        return share_of_sockets(self._max_fds, SHARE_BY_PORT[name])

    def on_dropped(self, name: str) -> None:
        """Log and count that a connection made room for another one."""
        self._cuts.labels(name).inc()
        self._journal.write("client_cut", limit=name, most=self.sockets(name))

    def on_long_opening(self) -> None:
        """Log and count that a connection at the port for peers opened at length."""
        self._cuts.labels(OPENING).inc()
        self._journal.write("client_cut", limit=OPENING, most=MAX_OPENING_BYTES)

    def _on_shed(self, held_bytes: int) -> None:
        self._cuts.labels(MEMORY).inc()
        most = int(self.memory.limit_bytes)
        self._journal.write("client_cut", limit=MEMORY, held=held_bytes, most=most)
