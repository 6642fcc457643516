"""Implementation of the administration API on an entry VM."""

import time
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from typing import Any

import pykka
from result import Err, Ok, Result

from bamboovale.actors import tell
from bamboovale.admin.port import InForceReport
from bamboovale.catalogue.actor import AwaitOutcome
from bamboovale.catalogue.edits import Edit, EditOutcome
from bamboovale.catalogue.fold import Catalogue, CatalogueView
from bamboovale.entry.state_dump import StateDump
from bamboovale.environment import Environment
from bamboovale.errors import ErrorCode, Refusal
from bamboovale.log_service.appender import Appender
from bamboovale.peers.links import PeerLinks
from bamboovale.peers.messages import RevisionAnswer, RevisionQuery
from bamboovale.views import Views

POLL_INTERVAL_S = 0.1
QUERY_TIMEOUT_S = 1.0


class Administration:
    """Implements the administration port."""

    def __init__(
        self,
        environment: Environment,
        views: Views,
        catalogue_actor: pykka.ActorRef,
        appender: Appender,
        links: PeerLinks,
        state_dump: StateDump,
    ) -> None:
        self._environment = environment
        self._views = views
        self._catalogue_actor = catalogue_actor
        self._appender = appender
        self._links = links
        self._state_dump = state_dump

    def catalogue(self) -> CatalogueView:
        """Return the catalogue in force on this VM."""
        return self._views.catalogue or Catalogue.empty().view()

    def submit(self, edit: Edit, timeout_s: float) -> Result[EditOutcome, Refusal]:
        """Append an edit and wait until it is read back and accepted or rejected here.

        An append without an answer may have taken effect, so its outcome is awaited
        as well: only reading the record back shows it.
        """
        future: Future[EditOutcome] = Future()
        tell(self._catalogue_actor, AwaitOutcome(edit.edit_id, edit.digest(), future))
        appended = self._appender.append_now(edit.to_json())
        if isinstance(appended, Err) and not appended.err_value.may_have_taken_effect:
            self._count("log_unavailable")
            return Err(
                Refusal(
                    ErrorCode.LOG_UNAVAILABLE,
                    f"the log took no record: {appended.err_value.reason}",
                    not_run=True,
                    retry_after_s=2.0,
                )
            )
        try:
            outcome = future.result(timeout_s)
        except FutureTimeout:
            self._count("outcome_unknown")
            return Err(
                Refusal(
                    ErrorCode.OUTCOME_UNKNOWN,
                    "the edit was sent to the log and not read back; "
                    "send it again with the same edit id",
                    not_run=False,
                    retry_after_s=2.0,
                )
            )
        self._count("accepted" if outcome.accepted else "rejected")
        return Ok(outcome)

    def in_force(self, revision: int, timeout_s: float) -> InForceReport:
        """Poll all live entry VMs until they reach the revision or time is up."""
        give_up_at = time.monotonic() + timeout_s
        while True:
            report = self._query_revisions(revision)
            if report.in_force or time.monotonic() >= give_up_at:
                return report
            time.sleep(POLL_INTERVAL_S)

    def state(self) -> dict[str, Any]:
        """Return the state of this process."""
        return self._state_dump.collect()

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus' text format."""
        return self._environment.metrics.expose()

    def ready(self) -> bool:
        """Return whether this VM accepts requests of callers."""
        return self._views.serving and not self._views.draining

    def _query_revisions(self, revision: int) -> InForceReport:
        """Query the revision of all entry VMs concurrently.

        Includes listed VMs that are unreachable from here: callers may reach them.
        """
        own_id = self._environment.settings.id
        membership = self._views.membership
        future_by_vm = {
            vm.id: self._links.request(vm.id, RevisionQuery(), QUERY_TIMEOUT_S)
            for vm in membership.listed_entry_vms()
            if vm.id != own_id and vm.id not in membership.draining_ids
        }
        revision_by_vm = {own_id: self.catalogue().revision}
        missing = []
        for vm_id, future in future_by_vm.items():
            try:
                answer = future.result(2 * QUERY_TIMEOUT_S)
            except Exception:  # any failure of the link means no answer
                missing.append(vm_id)
                continue
            if isinstance(answer, RevisionAnswer):
                revision_by_vm[vm_id] = answer.revision
        return InForceReport(revision, revision_by_vm, tuple(missing))

    def _count(self, outcome: str) -> None:
        self._environment.metrics.catalogue_edits.labels(outcome=outcome).inc()
