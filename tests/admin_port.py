"""A fake administration port over an in-memory log."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from cheroot.wsgi import Server
from result import Err, Ok, Result

from bamboovale.admin.port import InForceReport
from bamboovale.catalogue.edits import Edit, EditOutcome
from bamboovale.catalogue.fold import Catalogue, CatalogueView
from bamboovale.errors import ErrorCode, Refusal

LOST = Refusal(ErrorCode.OUTCOME_UNKNOWN, "the answer was lost", not_run=False)
DOWN = Refusal(ErrorCode.LOG_UNAVAILABLE, "down", not_run=True, retry_after_s=2.0)


class ListPort:
    """Applies edits immediately; can lose answers or be down."""

    def __init__(self) -> None:
        self.records: list[Any] = []
        self.folded = Catalogue.empty()
        self.lose_answers = 0
        self.is_down = False
        self.report = InForceReport(0, {"entry-1": 0})

    def catalogue(self) -> CatalogueView:
        return self.folded.view()

    def submit(self, edit: Edit, timeout_s: float) -> Result[EditOutcome, Refusal]:
        if self.is_down:
            return Err(DOWN)
        self.records.append(edit.to_json())
        outcome = self.folded.apply(len(self.records) - 1, self.records[-1])
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(LOST)
        assert outcome is not None
        return Ok(outcome)

    def in_force(self, revision: int, timeout_s: float) -> InForceReport:
        vms = self.report.revision_by_vm
        return InForceReport(revision, vms, self.report.missing)

    def state(self) -> dict[str, Any]:
        return {"leases": {}}

    def metrics(self) -> bytes:
        return b"up 1\n"

    def ready(self) -> bool:
        return not self.is_down


@contextmanager
def serve(application: Any) -> Iterator[str]:
    """Serve a WSGI application on a free loopback port; yield its URL."""
    server = Server(("127.0.0.1", 0), application, numthreads=2, shutdown_timeout=1)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield f"http://127.0.0.1:{server.bind_addr[1]}"
    finally:
        server.stop()
        thread.join(timeout=5)
