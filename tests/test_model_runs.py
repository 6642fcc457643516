"""Streams of the own interface that go on after a break."""

from types import SimpleNamespace
from typing import Any

from bamboovale.claims.answers import AnswerState
from bamboovale.entry.caller_answer import AnswerOutcome
from bamboovale.entry.engine_run import RunFailedError, RunFailure
from bamboovale.entry.model_runs import ModelRuns
from bamboovale.membership.view import Membership
from bamboovale.models import VM, VMKind

ENGINE = "g1"


class Runs(ModelRuns):
    """Runs whose engine goes on with any stream; no sockets."""

    def __init__(self, software: str) -> None:
        decisions: Any = SimpleNamespace(on_answered=lambda fingerprint: None)
        none: Any = None
        views: Any = SimpleNamespace(membership=Membership())
        super().__init__(none, views, decisions, none, none)
        self.views = views
        self.resumed = 0
        self.list_engine(software)

    def list_engine(self, software: str) -> None:
        """Show the engine in the VM list with a software version."""
        ports = {"http": 1}
        row = VM(
            ENGINE,
            VMKind.RUNNER,
            "127.0.0.1",
            ports,
            pool="tutor-llm",
            software_version=software,
        )
        self.views.membership = Membership([row])

    def _resume(self, spec: Any, offset: int) -> Any:
        self.resumed += 1
        yield b"rest"
        return True


def broken_stream(runs: Runs, software_then: str) -> AnswerState:
    """Break a stream off; the engine has other software by then, or the same."""
    permit = SimpleNamespace(engine_id=ENGINE, lora_name="summaries@7")
    spec: Any = SimpleNamespace(
        held=SimpleNamespace(permit=permit), fingerprint="f", attempt_id="r.1"
    )

    def events() -> Any:
        runs.list_engine(software_then)
        raise RunFailedError(RunFailure.BROKEN, "reset")
        yield b""

    outcome = AnswerOutcome()
    source = runs._source(spec)
    list(runs._forward(spec, source, b"first", events(), outcome))
    return outcome.state


class TestResumedStream:
    """A stream whose connection broke."""

    def test_it_goes_on_at_the_software_that_began_it(self) -> None:
        runs = Runs("v1")
        assert broken_stream(runs, "v1") is AnswerState.ANSWERED
        assert runs.resumed == 1

    def test_it_does_not_go_on_at_other_software(self) -> None:
        """Guards against answers joined from two software versions."""
        runs = Runs("v1")
        assert broken_stream(runs, "v2") is AnswerState.UNKNOWN
        assert runs.resumed == 0
