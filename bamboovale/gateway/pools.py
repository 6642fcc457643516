"""The connections of one VM: to endpoints, for control calls to them, to the store."""

from functools import partial

from bamboovale.gateway.client_bounds import ENDPOINTS, ClientBounds
from bamboovale.gateway.jobs import Job
from bamboovale.gateway.vm_state import VMState
from bamboovale.http1.answer_limits import AnswerLimit
from bamboovale.http1.pool import ConnectionPool, sweep_forever
from bamboovale.metrics import Metrics


class Pools:
    """A pool for each purpose, so that callers' requests never wait for control calls.

    Connections to endpoints tell the VM which of them it reaches.
    """

    def __init__(self, state: VMState, metrics: Metrics, bounds: ClientBounds) -> None:
        self._state = state
        self._opened = metrics.gateway_connections_opened
        self._cut = metrics.gateway_answers_cut
        self.endpoint = self._to_endpoints("endpoint")
        self.endpoint.limit(
            bounds.sockets(ENDPOINTS), partial(bounds.on_dropped, ENDPOINTS)
        )
        self.endpoint.tell_received(bounds.memory.grow)
        self.control = self._to_endpoints("control")
        self.store = ConnectionPool(
            state.now, self._opened.labels("store").inc, state.node.ip
        )
        for pool in (self.endpoint, self.control, self.store):
            pool.tell_limits(self._on_limit)

    def _to_endpoints(self, purpose: str) -> ConnectionPool:
        paths = self._state.path_watch
        return ConnectionPool(
            self._state.now,
            self._opened.labels(purpose).inc,
            self._state.node.ip,
            paths.on_connected,
            paths.on_failed,
            paths.paths.is_in_doubt,
        )

    def _on_limit(self, endpoint_id: str, limit: AnswerLimit) -> None:
        """Log and count an answer that was cut at a bound."""
        self._cut.labels(limit).inc()
        self._state.journal.write("answer_cut", endpoint=endpoint_id, limit=limit)

    def sweeps(self) -> dict[str, Job]:
        """Return the tasks by name that close idle connections to endpoints."""
        return {
            "endpoint_connections": partial(sweep_forever, self.endpoint),
            "control_connections": partial(sweep_forever, self.control),
        }

    def forget(self, endpoint_id: str) -> None:
        """Close the connections to an endpoint that is gone."""
        self.endpoint.forget(endpoint_id)
        self.control.forget(endpoint_id)

    def close(self) -> None:
        """Close all connections at once."""
        for pool in (self.endpoint, self.control, self.store):
            pool.close()
