"""Stand-in of a plain service that echoes requests and records runs."""

import hashlib
import time
import uuid
from typing import Any

from bamboovale.standins.faults import Faults
from bamboovale.standins.history import History
from bamboovale.standins.messages import Answer, DroppedConnectionError, Request
from bamboovale.standins.server import StandInServer

FAULTS = ("error_share", "refuse_share", "drop_before_run", "drop_after_run", "hang")
THREADS = 128
HANG_S = 600.0


class ServiceStandIn:
    """Accepts every method and path and answers after a fixed latency."""

    def __init__(
        self,
        service_id: str,
        latency_ms: float,
        faults: Faults,
        history: History,
    ) -> None:
        self._id = service_id
        self._latency_s = latency_ms / 1000
        self._faults = faults
        self._history = history

    def answer(self, request: Request) -> Answer:
        """Run a request; faults may change or drop its answer."""
        if self._faults.occurs("drop_before_run"):
            raise DroppedConnectionError
        if self._faults.occurs_by_share("refuse_share"):
            self._history.record("refused", **self._describe(request))
            return Answer.error(503, "overloaded", headers={"Retry-After": "1"})
        time.sleep(self._latency_s)
        failed = self._faults.occurs_by_share("error_share")
        run = {
            "run_id": uuid.uuid4().hex,
            "outcome": "error" if failed else "complete",
            **self._describe(request),
        }
        self._history.record("run", **run)
        if self._faults.occurs("hang"):
            time.sleep(HANG_S)
        if self._faults.occurs("drop_after_run"):
            raise DroppedConnectionError
        if failed:
            return Answer.error(500, "internal_error")
        return Answer(body={"service": self._id, **run})

    def _describe(self, request: Request) -> dict[str, Any]:
        return {
            "request_id": request.headers.get("x-request-id"),
            "key": request.headers.get("idempotency-key"),
            "method": request.method,
            "path": request.path,
            "body_sha256": hashlib.sha256(request.body).hexdigest(),
            "source": request.source,
        }


def create_server(
    listen: str,
    service_id: str,
    latency_ms: float = 20.0,
) -> StandInServer:
    """Return a plain service that listens on ``listen`` once started."""
    faults = Faults(FAULTS)
    history = History()
    service = ServiceStandIn(service_id, latency_ms, faults, history)
    return StandInServer(listen, service.answer, faults, history, THREADS)
