"""What all clients of this VM may hold together, by the limits of its machine."""

from bamboovale.gateway.journal import Journal
from bamboovale.http1.memory import MemoryBudget
from bamboovale.http1.server import ServerLimits
from bamboovale.metrics import Metrics
from bamboovale.platform.node_file import NodeSettings

MEMORY = "memory"

QUERY_LIMITS = ServerLimits(body_bytes=4 * 1024)
"""Limits of requests for the directory, readiness and monitoring: they need no body."""


class ClientBounds:
    """The bound of memory; it is logged and counted when it cuts."""

    def __init__(self, node: NodeSettings, journal: Journal, metrics: Metrics) -> None:
        self._journal = journal
        self._cuts = metrics.gateway_clients_cut
        self.memory = MemoryBudget.from_memory(node.memory_mb, self._on_shed)

    def _on_shed(self, held_bytes: int) -> None:
        self._cuts.labels(MEMORY).inc()
        most = int(self.memory.limit_bytes)
        self._journal.write("client_cut", limit=MEMORY, held=held_bytes, most=most)
