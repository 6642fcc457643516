"""Model requests: finds the entry, gets permits and retries failed runs."""

import time
from dataclasses import replace

from result import Err

from bamboovale.catalogue.entries import AdapterEntry
from bamboovale.crashes.reporter import CrashReporter
from bamboovale.decisions.admission import Limits
from bamboovale.decisions.work import WorkItem
from bamboovale.entry.attempts import (
    Attempts,
    CallerDisconnectedError,
    FinalRefusalError,
    endpoint_error,
    outcome_unknown,
    rejection,
)
from bamboovale.entry.caller_answer import CallerAnswer
from bamboovale.entry.caller_request import CallerRequest
from bamboovale.entry.decision_facade import DecisionFacade
from bamboovale.entry.disconnects import DisconnectWatcher
from bamboovale.entry.engine_run import RunFailedError, RunFailure
from bamboovale.entry.model_call import (
    DEFAULT_MAX_TOKENS,
    ModelCall,
    read_model_call,
)
from bamboovale.entry.model_runs import ModelRuns, RunSpec
from bamboovale.entry.permits import (
    CallerDisconnected,
    DisconnectSignal,
    HeldPermit,
    PermitClient,
    TryAnotherEngine,
    VersionOutdated,
)
from bamboovale.entry.request_lifecycle import RequestLifecycle
from bamboovale.environment import Environment
from bamboovale.errors import ErrorCode, Refusal
from bamboovale.models import AdapterVersion
from bamboovale.views import Views

MAX_SEARCH_S = 5.0
"""How long to search for an engine while leases move to other holders."""

SEARCH_PAUSE_S = 0.1
"""Pause between two rounds over all engines."""

MAX_REFUSALS = 2
"""The first refusal may be due to an outdated hint; the second is final."""

MAX_RUNS = 3
"""Runs of one request, independent of the retry budget."""

UNSTARTED_RUN_BACKOFF_S = 0.02
"""Linear back-off, so that the holder has time to detect a restarted engine."""

MAX_UNSTARTED_RUNS = 10
"""Permits whose run did not start (adapter gone, no connection, permit expired)."""


class ModelRequests:
    """Serves ``/v1/completions`` and ``/v1/chat/completions``."""

    def __init__(
        self,
        environment: Environment,
        views: Views,
        decisions: DecisionFacade,
        permits: PermitClient,
        runs: ModelRuns,
        disconnects: DisconnectWatcher,
        lifecycle: RequestLifecycle,
        crash_reporter: CrashReporter,
    ) -> None:
        self._environment = environment
        self._views = views
        self._decisions = decisions
        self._permits = permits
        self._runs = runs
        self._disconnects = disconnects
        self._lifecycle = lifecycle
        self._crash_reporter = crash_reporter

    def answer(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer to a model request."""
        call = read_model_call(request.path, request.body)
        if isinstance(call, Err):
            return CallerAnswer.refusal(call.err_value, request.request_id)
        entry = self._find_entry(call.ok_value.model)
        if entry is None:
            refusal = Refusal(
                ErrorCode.NOT_FOUND,
                f"no catalogue entry {call.ok_value.model!r}",
                not_run=True,
            )
            return CallerAnswer.refusal(refusal, request.request_id)
        return self._answer(request, call.ok_value, entry)

    def _find_entry(self, name: str) -> AdapterEntry | None:
        catalogue = self._views.catalogue
        return None if catalogue is None else catalogue.adapter_by_name.get(name)

    def _answer(
        self,
        request: CallerRequest,
        call: ModelCall,
        entry: AdapterEntry,
    ) -> CallerAnswer:
        fingerprint = request.fingerprint(entry.target.lora_name)
        refusal = self._decisions.crash_refusal(fingerprint)
        if refusal is not None:
            return CallerAnswer.refusal(refusal, request.request_id)
        wait_s = entry.limits.max_wait_s
        if request.deadline_s is not None:
            wait_s = min(wait_s, request.deadline_s)
        attempts = Attempts(
            request=request,
            call=call,
            entry=entry,
            idempotent=request.idempotent is not False,
            disconnect=DisconnectSignal(),
            latest_start=request.arrived_at + wait_s,
            fingerprint=fingerprint,
        )
        return self._lifecycle.answer(
            request,
            f"adapter/{entry.name}",
            entry.owner,
            Limits(entry.limits.requests_per_s, entry.limits.concurrency),
            lambda: self._attempt(attempts),
        )

    def _attempt(self, attempts: Attempts) -> CallerAnswer:
        """Try engines until one answers or the request has to be refused."""
        request = attempts.request
        with self._disconnects.watch(request.connection, attempts.disconnect.trigger):
            try:
                while True:
                    answer = self._try_once(attempts)
                    if answer is not None:
                        return answer
            except FinalRefusalError as final:
                ran = attempts.runs > 0
                refusal = replace(
                    final.refusal,
                    not_run=final.refusal.not_run and not ran,
                )
                return CallerAnswer.refusal(refusal, request.request_id)
            except CallerDisconnectedError:
                refusal = Refusal(
                    ErrorCode.BAD_REQUEST,
                    "the caller hung up",
                    not_run=attempts.runs == 0,
                )
                return CallerAnswer.refusal(refusal, request.request_id)

    def _try_once(self, attempts: Attempts) -> CallerAnswer | None:
        """Acquire one permit and run under it; None if another try is needed."""
        self._check_serving()
        attempt_id = self._lifecycle.new_attempt_id(attempts.request)
        held = self._get_permit(attempts, attempt_id)
        if held is None:
            return None
        entry = self._find_entry(attempts.entry.name)
        if not self._views.serving:
            self._permits.release(held)
            return None
        if entry is None or entry.target.lora_name != held.permit.lora_name:
            # The catalogue changed while the request waited: it must not run on the
            # old version.
            self._permits.release(held)
            self._follow_catalogue(attempts, entry)
            return None
        try:
            return self._runs.run(
                RunSpec(
                    held=held,
                    attempt_id=attempt_id,
                    call=attempts.call,
                    entry=entry,
                    max_tokens=self._max_tokens(attempts),
                    idempotent=attempts.idempotent,
                    fingerprint=attempts.fingerprint,
                ),
                attempts.request,
                attempts.disconnect,
            )
        except RunFailedError as failed:
            self._handle_failure(attempts, held, failed)
            return None

    def _follow_catalogue(
        self,
        attempts: Attempts,
        entry: AdapterEntry | None,
    ) -> None:
        if entry is None:
            raise FinalRefusalError(
                Refusal(ErrorCode.NOT_FOUND, "the entry was deleted", not_run=True)
            )
        attempts.entry = entry

    # Permits.

    def _get_permit(self, attempts: Attempts, attempt_id: str) -> HeldPermit | None:
        item = self._work_item(attempts, attempt_id)
        engine_id = self._decisions.choose_engine(
            item,
            attempts.entry.base_model,
            attempts.excluded,
        )
        if engine_id is None:
            self._pause_or_refuse(attempts)
            return None
        answer = self._permits.acquire(
            item,
            engine_id,
            attempts.disconnect,
            lambda: self._is_current(attempts),
        )
        if isinstance(answer, HeldPermit):
            return answer
        if isinstance(answer, CallerDisconnected):
            raise CallerDisconnectedError
        if isinstance(answer, VersionOutdated):
            self._follow_catalogue(attempts, self._find_entry(attempts.entry.name))
            return None
        attempts.excluded.add(engine_id)
        if isinstance(answer, TryAnotherEngine):
            attempts.holder_missing = True
            return None
        if answer.code is ErrorCode.LOG_UNAVAILABLE:
            # The engine cannot load the adapter now; another one may have it loaded.
            attempts.load_refusal = answer
            return None
        attempts.refusals += 1
        if attempts.refusals >= MAX_REFUSALS:
            raise FinalRefusalError(answer)
        return None

    def _check_serving(self) -> None:
        """Refuse a waiting request while this VM's catalogue may be outdated."""
        if not self._views.serving:
            raise FinalRefusalError(
                Refusal(
                    ErrorCode.NOT_READY,
                    "this entry VM has no sure view of the catalogue",
                    not_run=True,
                    retry_after_s=1.0,
                )
            )

    def _is_current(self, attempts: Attempts) -> bool:
        if not self._views.serving:
            return False
        entry = self._find_entry(attempts.entry.name)
        return entry is not None and entry.target == attempts.entry.target

    def _work_item(self, attempts: Attempts, attempt_id: str) -> WorkItem:
        entry = attempts.entry
        crashed = self._decisions.crashed_endpoints(attempts.fingerprint)
        attempts.exclusive = bool(crashed)
        attempts.excluded.update(crashed)
        return WorkItem(
            request_id=attempt_id,
            entry_vm=self._environment.settings.id,
            target=AdapterVersion(entry.adapter, entry.version),
            source=entry.source,
            work_class=entry.work_class,
            customer=entry.owner,
            arrived_at=attempts.request.arrived_at,
            latest_start=attempts.latest_start,
            max_tokens=self._max_tokens(attempts),
            size_bytes=len(attempts.request.body),
            fingerprint=attempts.fingerprint,
            exclusive=attempts.exclusive,
        )

    def _max_tokens(self, attempts: Attempts) -> int:
        wanted = attempts.call.max_tokens or DEFAULT_MAX_TOKENS
        return min(wanted, attempts.entry.limits.max_tokens)

    def _pause_or_refuse(self, attempts: Attempts) -> None:
        """Start another round over the engines while their leases may be moving."""
        now = self._environment.now()
        request = attempts.request
        give_up_at = min(attempts.latest_start, request.arrived_at + MAX_SEARCH_S)
        if attempts.disconnect.disconnected:
            raise CallerDisconnectedError
        # An engine whose lease is moving may have the adapter loaded: search again.
        search_ended = not attempts.holder_missing or now >= give_up_at
        if attempts.load_refusal is not None and search_ended:
            raise FinalRefusalError(attempts.load_refusal)
        if now >= give_up_at:
            raise FinalRefusalError(
                Refusal(
                    ErrorCode.NO_ENDPOINT,
                    f"no engine of {attempts.entry.base_model} can take the request",
                    not_run=attempts.runs == 0,
                    retry_after_s=1.0,
                )
            )
        attempts.excluded.clear()
        attempts.holder_missing = False
        time.sleep(SEARCH_PAUSE_S)

    # Failures of runs.

    def _handle_failure(
        self,
        attempts: Attempts,
        held: HeldPermit,
        failed: RunFailedError,
    ) -> None:
        """Return if the request may be tried again; raise if it may not."""
        if attempts.disconnect.disconnected:
            attempts.runs += not failed.not_run
            raise CallerDisconnectedError
        if failed.failure is RunFailure.REJECTED:
            raise FinalRefusalError(rejection(failed))
        if failed.not_run:
            self._count_unstarted_run(attempts, held, failed)
            return
        attempts.runs += 1
        crashed = self._crash_reporter.report(
            held.permit,
            attempts.fingerprint,
            alone=attempts.exclusive,
        )
        refusal = self._decisions.crash_refusal(attempts.fingerprint)
        if refusal is not None:
            raise FinalRefusalError(refusal)
        if not attempts.idempotent:
            raise FinalRefusalError(outcome_unknown(failed))
        suspect_failed = crashed and attempts.exclusive
        if (
            suspect_failed
            or attempts.runs >= MAX_RUNS
            or not self._decisions.may_retry()
        ):
            raise FinalRefusalError(endpoint_error(failed))
        self._environment.metrics.retries.inc()
        attempts.excluded.add(held.permit.engine_id)

    def _count_unstarted_run(
        self,
        attempts: Attempts,
        held: HeldPermit,
        failed: RunFailedError,
    ) -> None:
        """Back off after a run that did not start; raise after MAX_UNSTARTED_RUNS."""
        attempts.unstarted_runs += 1
        time.sleep(attempts.unstarted_runs * UNSTARTED_RUN_BACKOFF_S)
        if failed.failure is RunFailure.NOT_SENT:
            attempts.excluded.add(held.permit.engine_id)
        if attempts.unstarted_runs > MAX_UNSTARTED_RUNS:
            raise FinalRefusalError(
                Refusal(
                    ErrorCode.NO_ENDPOINT,
                    f"no engine took the request: {failed}",
                    not_run=True,
                    retry_after_s=1.0,
                )
            )
