"""Outcomes of model requests on disconnects, failed runs and version changes."""

import contextlib
import json
import logging
from collections.abc import Callable, Iterator
from typing import Any

from bamboovale.catalogue.edits import Action, Change, Edit
from bamboovale.catalogue.entries import AdapterEntry, Kind, PoolEntry
from bamboovale.catalogue.fold import Catalogue
from bamboovale.claims.answers import AnswerState
from bamboovale.decisions.work import Permit
from bamboovale.entry.caller_answer import CallerAnswer
from bamboovale.entry.caller_request import CallerRequest
from bamboovale.entry.engine_run import RunFailedError, RunFailure
from bamboovale.entry.model_requests import ModelRequests
from bamboovale.entry.permits import CallerDisconnected, HeldPermit, TryAnotherEngine
from bamboovale.environment import Environment
from bamboovale.errors import ErrorCode, Refusal
from bamboovale.metrics import Metrics
from bamboovale.settings import Settings
from bamboovale.views import Views


def catalogue_with_version(version: str) -> Any:
    catalogue = Catalogue.empty()
    entries = (
        PoolEntry("pool", "base"),
        AdapterEntry("a", "a", version, f"s{version}", "base", "pool", "owner"),
    )
    changes = tuple(
        Change(Action.SET, Kind(entry.kind), entry.name, entry) for entry in entries
    )
    outcome = catalogue.apply(0, Edit("edit-0001", "op", 0.0, changes).to_json())
    assert outcome is not None and outcome.accepted
    return catalogue.view()


class FakeCollaborators:
    """Fakes of all collaborators of ModelRequests, with results set by the test."""

    def __init__(self) -> None:
        self.disconnect: Any = None
        self.permit_results: list[Any] = []
        self.run_results: list[Any] = []
        self.released = 0
        self.targets: list[str] = []
        self.engines: tuple[str, ...] = ()

    # Decisions.

    def crash_refusal(self, fingerprint: str) -> None:
        return None

    def crashed_endpoints(self, fingerprint: str) -> frozenset[str]:
        return frozenset()

    def choose_engine(self, item: Any, base_model: str, excluded: Any) -> str | None:
        self.targets.append(item.target.lora_name)
        if not self.engines:
            return "g1"
        return next((name for name in self.engines if name not in excluded), None)

    def may_retry(self) -> bool:
        return True

    # Permits.

    def acquire(self, item: Any, engine: str, disconnect: Any, wanted: Any) -> Any:
        self.disconnect = disconnect
        answer = self.permit_results.pop(0)
        return answer(item) if callable(answer) else answer

    def release(self, held: Any, refused: bool = False) -> None:
        self.released += 1

    # Runs.

    def run(self, spec: Any, request: Any, disconnect: Any) -> CallerAnswer:
        outcome = self.run_results.pop(0)
        if callable(outcome):
            outcome = outcome()
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    # Disconnects, lifecycle, crash reports.

    @contextlib.contextmanager
    def watch(self, connection: Any, signal: Any) -> Iterator[None]:
        yield

    def new_attempt_id(self, request: CallerRequest) -> str:
        return f"{request.request_id}.{len(self.targets)}"

    def answer(
        self,
        request: Any,
        entry: str,
        owner: str,
        limits: Any,
        run: Callable[[], CallerAnswer],
    ) -> CallerAnswer:
        return run()

    def report(self, permit: Any, fingerprint: str, alone: bool) -> bool:
        return False


def grant(item: Any) -> HeldPermit:
    permit = Permit(
        permit_id="p",
        request_id=item.request_id,
        entry_vm="e1",
        engine_id="g1",
        boot_id="b1",
        lora_name=item.target.lora_name,
        fencing=1,
        send_within_s=1.0,
    )
    return HeldPermit(permit, "e1", float("inf"))


class Requests:
    """Model requests with fake collaborators."""

    def __init__(self) -> None:
        self.fakes = FakeCollaborators()
        self.views = Views(serving_until=float("inf"))
        self.views.catalogue = catalogue_with_version("1")
        environment = Environment(
            Settings(id="e1", failure_domain="muc-a"),
            Metrics(),
            logging.getLogger("test"),
            now=lambda: 0.0,
        )
        fakes: Any = self.fakes
        self.requests = ModelRequests(
            environment,
            self.views,
            fakes,
            fakes,
            fakes,
            fakes,
            fakes,
            fakes,
        )

    def answer(self, idempotent: bool | None = None) -> CallerAnswer:
        return self.requests.answer(
            CallerRequest(
                request_id="r",
                method="POST",
                path="/v1/completions",
                query="",
                header_by_name={},
                body=json.dumps({"model": "a", "prompt": "x"}).encode(),
                caller="c",
                arrived_at=0.0,
                idempotent=idempotent,
            )
        )

    def disconnect_and_fail(self) -> RunFailedError:
        self.fakes.disconnect.disconnected = True
        return RunFailedError(RunFailure.BROKEN, "aborted")


DONE = CallerAnswer.complete(200, [], b"{}")


class TestDisconnect:
    """After a disconnect, the outcome is unknown only if the request was sent.

    Guards against keys that stay claimed for requests that never left the entry VM.
    """

    def test_a_disconnect_in_the_queue_was_not_run(self) -> None:
        requests = Requests()
        requests.fakes.permit_results = [CallerDisconnected()]
        assert requests.answer().outcome.state is AnswerState.NOT_RUN

    def test_a_disconnect_during_the_run_is_unknown(self) -> None:
        requests = Requests()
        requests.fakes.permit_results = [grant]
        requests.fakes.run_results = [requests.disconnect_and_fail]
        assert requests.answer().outcome.state is AnswerState.UNKNOWN


class TestBrokenRun:
    """A request that may have run is retried only if it is idempotent."""

    def test_an_idempotent_request_is_retried(self) -> None:
        requests = Requests()
        requests.fakes.permit_results = [grant, grant]
        requests.fakes.run_results = [RunFailedError(RunFailure.BROKEN, "x"), DONE]
        assert requests.answer().status == 200

    def test_a_non_idempotent_request_is_not_retried(self) -> None:
        requests = Requests()
        requests.fakes.permit_results = [grant]
        requests.fakes.run_results = [RunFailedError(RunFailure.BROKEN, "x")]
        answer = requests.answer(idempotent=False)
        assert answer.outcome.code == ErrorCode.OUTCOME_UNKNOWN.value

    def test_a_non_idempotent_request_that_did_not_run_is_retried(self) -> None:
        requests = Requests()
        requests.fakes.permit_results = [grant, grant]
        requests.fakes.run_results = [RunFailedError(RunFailure.REFUSED, "x"), DONE]
        assert requests.answer(idempotent=False).status == 200

    def test_after_a_run_no_refusal_says_not_run(self) -> None:
        """A run fails; then this VM stops serving."""
        requests = Requests()
        requests.fakes.permit_results = [grant]

        def break_and_stop_serving() -> RunFailedError:
            requests.views.serving_until = float("-inf")
            return RunFailedError(RunFailure.BROKEN, "x")

        requests.fakes.run_results = [break_and_stop_serving]
        answer = requests.answer()
        assert answer.outcome.code == ErrorCode.NOT_READY.value
        assert answer.outcome.state is AnswerState.UNKNOWN


class TestNewVersion:
    """A request that waited runs on the version that is now in force."""

    def test_its_permit_for_the_old_version_is_released(self) -> None:
        requests = Requests()

        def grant_then_change(item: Any) -> HeldPermit:
            requests.views.catalogue = catalogue_with_version("2")
            return grant(item)

        requests.fakes.permit_results = [grant_then_change, grant]
        requests.fakes.run_results = [DONE]
        assert requests.answer().status == 200
        assert requests.fakes.targets == ["a@1", "a@2"]
        assert requests.fakes.released == 1


class TestUnloadableAdapter:
    """During a log outage, the engine that has the adapter loaded is found.

    Guards against a final refusal before all engines were tried.
    """

    def test_a_third_engine_is_tried(self) -> None:
        requests = Requests()
        refusal = Refusal(ErrorCode.LOG_UNAVAILABLE, "not loaded", not_run=True)
        requests.fakes.permit_results = [refusal, refusal, grant]
        requests.fakes.run_results = [DONE]
        assert requests.answer().status == 200

    def test_an_engine_without_holder_is_tried_again(self) -> None:
        """Guards against refusals while the lease of an engine is moving.

        That engine has the adapter loaded, but no lease holder in the first round.
        """
        requests = Requests()
        requests.fakes.engines = ("g1", "g2")
        refusal = Refusal(ErrorCode.LOG_UNAVAILABLE, "not loaded", not_run=True)
        no_holder = TryAnotherEngine("the engine has no lease holder")
        requests.fakes.permit_results = [refusal, no_holder, refusal, grant]
        requests.fakes.run_results = [DONE]
        assert requests.answer().status == 200

    def test_it_is_refused_at_once_if_no_engine_can_load_it(self) -> None:
        requests = Requests()
        requests.fakes.engines = ("g1", "g2")
        refusal = Refusal(ErrorCode.LOG_UNAVAILABLE, "not loaded", not_run=True)
        requests.fakes.permit_results = [refusal, refusal]
        assert requests.answer().outcome.code == ErrorCode.LOG_UNAVAILABLE.value
