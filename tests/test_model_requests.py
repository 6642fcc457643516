"""How a model request ends when its caller, its engine or its version goes."""

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


class Collaborators:
    """What a model request meets; each end is played by the test."""

    def __init__(self) -> None:
        self.disconnect: Any = None
        self.permit_answers: list[Any] = []
        self.run_endings: list[Any] = []
        self.released = 0
        self.targets: list[str] = []
        self.engines: tuple[str, ...] = ()

    # The desk.

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

    # The permits.

    def acquire(self, item: Any, engine: str, disconnect: Any, wanted: Any) -> Any:
        self.disconnect = disconnect
        answer = self.permit_answers.pop(0)
        return answer(item) if callable(answer) else answer

    def release(self, held: Any, refused: bool = False) -> None:
        self.released += 1

    # The runs.

    def run(self, order: Any, request: Any, disconnect: Any) -> CallerAnswer:
        outcome = self.run_endings.pop(0)
        if callable(outcome):
            outcome = outcome()
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    # Hang-ups, admission, crashes.

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


class World:
    """One model request among played collaborators."""

    def __init__(self) -> None:
        self.played = Collaborators()
        self.views = Views(serving_until=float("inf"))
        self.views.catalogue = catalogue_with_version("1")
        environment = Environment(
            Settings(id="e1", failure_domain="muc-a"),
            Metrics(),
            logging.getLogger("test"),
            now=lambda: 0.0,
        )
        played: Any = self.played
        self.requests = ModelRequests(
            environment,
            self.views,
            played,
            played,
            played,
            played,
            played,
            played,
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

    def hang_up_and_break(self) -> RunFailedError:
        self.played.disconnect.disconnected = True
        return RunFailedError(RunFailure.BROKEN, "aborted")


DONE = CallerAnswer.complete(200, [], b"{}")


class TestHangup:
    """A key stays claimed only if its request may have run.

    A tutor's phone loses its network while the request waits for a place. The repeat
    with the same key was told that nobody knows whether it ran, although it never
    left the entry VM.
    """

    def test_a_hangup_in_the_queue_was_not_run(self) -> None:
        world = World()
        world.played.permit_answers = [CallerDisconnected()]
        assert world.answer().outcome.state is AnswerState.NOT_RUN

    def test_a_hangup_during_the_run_is_unknown(self) -> None:
        world = World()
        world.played.permit_answers = [grant]
        world.played.run_endings = [world.hang_up_and_break]
        assert world.answer().outcome.state is AnswerState.UNKNOWN


class TestBrokenRun:
    """What may have run is repeated only if it may run twice."""

    def test_an_idempotent_request_is_repeated(self) -> None:
        world = World()
        world.played.permit_answers = [grant, grant]
        world.played.run_endings = [RunFailedError(RunFailure.BROKEN, "x"), DONE]
        assert world.answer().status == 200

    def test_a_non_idempotent_one_is_not(self) -> None:
        world = World()
        world.played.permit_answers = [grant]
        world.played.run_endings = [RunFailedError(RunFailure.BROKEN, "x")]
        answer = world.answer(idempotent=False)
        assert answer.outcome.code == ErrorCode.OUTCOME_UNKNOWN.value

    def test_one_that_surely_did_not_run_goes_on_all_the_same(self) -> None:
        world = World()
        world.played.permit_answers = [grant, grant]
        world.played.run_endings = [RunFailedError(RunFailure.REFUSED, "x"), DONE]
        assert world.answer(idempotent=False).status == 200

    def test_after_a_run_no_refusal_says_not_run(self) -> None:
        """An engine broke off; then this VM stopped serving."""
        world = World()
        world.played.permit_answers = [grant]

        def break_and_stop_serving() -> RunFailedError:
            world.views.serving_until = float("-inf")
            return RunFailedError(RunFailure.BROKEN, "x")

        world.played.run_endings = [break_and_stop_serving]
        answer = world.answer()
        assert answer.outcome.code == ErrorCode.NOT_READY.value
        assert answer.outcome.state is AnswerState.UNKNOWN


class TestNewVersion:
    """A request that waited moves to the version that is in force now."""

    def test_its_permit_for_the_old_one_is_given_back(self) -> None:
        world = World()

        def grant_then_change(item: Any) -> HeldPermit:
            world.views.catalogue = catalogue_with_version("2")
            return grant(item)

        world.played.permit_answers = [grant_then_change, grant]
        world.played.run_endings = [DONE]
        assert world.answer().status == 200
        assert world.played.targets == ["a@1", "a@2"]
        assert world.played.released == 1


class TestUnloadableAdapter:
    """In a log outage the engine that has the adapter loaded is found.

    Two engines cannot load it and refuse; a third has it loaded, but its hint has not
    arrived here yet. The second refusal was final.
    """

    def test_a_third_engine_is_asked(self) -> None:
        world = World()
        refusal = Refusal(ErrorCode.LOG_UNAVAILABLE, "not loaded", not_run=True)
        world.played.permit_answers = [refusal, refusal, grant]
        world.played.run_endings = [DONE]
        assert world.answer().status == 200

    def test_an_engine_without_holder_is_asked_again(self) -> None:
        """The adapter was loaded, and its requests were refused for a moment.

        In a log outage one engine cannot load it. The other one has it loaded, but its
        lease has just moved, so that nobody answers for it in the first round.
        """
        world = World()
        world.played.engines = ("g1", "g2")
        refusal = Refusal(ErrorCode.LOG_UNAVAILABLE, "not loaded", not_run=True)
        nobody = TryAnotherEngine("the engine has no lease holder")
        world.played.permit_answers = [refusal, nobody, refusal, grant]
        world.played.run_endings = [DONE]
        assert world.answer().status == 200

    def test_it_is_refused_at_once_if_every_engine_cannot_load_it(self) -> None:
        world = World()
        world.played.engines = ("g1", "g2")
        refusal = Refusal(ErrorCode.LOG_UNAVAILABLE, "not loaded", not_run=True)
        world.played.permit_answers = [refusal, refusal]
        assert world.answer().outcome.code == ErrorCode.LOG_UNAVAILABLE.value
