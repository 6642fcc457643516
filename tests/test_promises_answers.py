"""Own whole answers and a true "not run", with real processes and broken endpoints."""

import time
from collections.abc import Iterator

import pytest

from bench.checker import find_violations
from bench.history import Outcome
from bench.jobs import JobKind
from bench.operators import ADAPTERS
from bench.scenario import Scenario, running_scenario, wait_until

pytestmark = pytest.mark.xdist_group("promises-answers")


@pytest.fixture(scope="module")
def scenario() -> Iterator[Scenario]:
    with running_scenario() as running:
        yield running


@pytest.fixture(autouse=True)
def judged(scenario: Scenario) -> Iterator[None]:
    """Switch all faults off after each test and judge what happened so far."""
    yield
    for standin in scenario.cluster.standin_by_id.values():
        for name in standin.read_faults():
            standin.set_faults(**{name: None})
    wait_until(scenario.cluster.is_ready, "not ready after the test")
    assert find_violations(scenario.history()) == []


class TestAnswers:
    """Each caller receives the whole answer to its own request."""

    def test_answers_that_engines_mix_up_reach_nobody(self, scenario: Scenario) -> None:
        """A caller would read another's lesson summary.

        The engine answers two requests with each other's text; the id in the answer
        is not the one that was sent.
        """
        for engine in ("g1", "g2"):
            scenario.cluster.standin_by_id[engine].set_faults(wrong_answers=2)
        caller = scenario.caller()
        kinds = (JobKind.COMPLETION, JobKind.STREAM, JobKind.CHAT)
        for kind in kinds * 2:
            caller.finish(scenario.job(kind))

    def test_a_stream_survives_a_break_on_the_way(self, scenario: Scenario) -> None:
        """A tutor would see half a summary that looks whole.

        The engine ends streams halfway, without their end mark; the run itself goes
        on and can be resumed.
        """
        for engine in ("g1", "g2"):
            scenario.cluster.standin_by_id[engine].set_faults(truncate_answers=1)
        caller = scenario.caller()
        outcomes = [caller.finish(scenario.job(JobKind.STREAM)) for _ in range(4)]
        assert outcomes == [Outcome.ANSWERED] * 4

    def test_an_engine_crash_under_streams_ends_each_finally(
        self,
        scenario: Scenario,
    ) -> None:
        """A tutor's stream would hang, or end as if it were whole.

        Six streams run; both engines crash one after the other; each caller gets a
        typed end and, sending again, the whole answer.
        """
        futures = [
            scenario.begin(
                scenario.caller(name=f"agency-{number}"),
                scenario.job(JobKind.STREAM, ADAPTERS[number % 2], max_tokens=60),
            )
            for number in range(6)
        ]
        time.sleep(0.5)
        scenario.cluster.standin_by_id["g1"].set_faults(crash=True)
        time.sleep(1.5)
        scenario.cluster.standin_by_id["g2"].set_faults(crash=True)
        outcomes = [future.result(timeout=60) for future in futures]
        assert outcomes == [Outcome.ANSWERED] * 6

    def test_a_caller_that_hangs_up_frees_the_engine(self, scenario: Scenario) -> None:
        """Callers that lost patience would keep the engine busy for nobody.

        A caller reads two tokens of a long stream and closes the connection.
        """
        job = scenario.job(JobKind.HANG_UP, max_tokens=400)
        assert scenario.caller().finish(job) is Outcome.HUNG_UP
        wait_until(
            lambda: scenario.run_end(job) == "cancelled",
            "the run goes on without its caller",
        )


class TestNotRun:
    """When a caller is told "not run", the request was not run."""

    def test_a_service_that_drops_calls(self, scenario: Scenario) -> None:
        """A parent would be told that no booking was made, and be charged.

        The service runs a call and drops the connection before it answers, then
        drops one before it runs: from outside the two look alike.
        """
        service = scenario.cluster.standin_by_id["s1"]
        caller = scenario.caller()
        for fault in ("drop_after_run", "drop_before_run"):
            service.set_faults(**{fault: 1})
            job = scenario.job(JobKind.MARKED_CALL)
            assert caller.finish(job) is Outcome.UNKNOWN

    def test_a_service_that_refuses(self, scenario: Scenario) -> None:
        """A parent would be told by us what only the service can know.

        The service refuses every call as overloaded. That is its own answer: it is
        passed on as it is, and the call is not repeated behind the caller's back.
        """
        service = scenario.cluster.standin_by_id["s1"]
        service.set_faults(refuse_share=1.0)
        job = scenario.job(JobKind.MARKED_CALL)
        received = scenario.caller().send(job).received
        assert (received.outcome, received.code) == (Outcome.ANSWERED, "service_503")
        refused = [
            event
            for event in service.read_history()
            if event["event"] == "refused" and event["request_id"].startswith(job.id)
        ]
        assert len(refused) == 1
