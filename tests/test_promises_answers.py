"""Complete answers and a correct "not run", with real processes and faults."""

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
def checked(scenario: Scenario) -> Iterator[None]:
    """Disable all faults after each test and check the history so far."""
    yield
    for standin in scenario.cluster.standin_by_id.values():
        for name in standin.read_faults():
            standin.set_faults(**{name: None})
    wait_until(scenario.cluster.is_ready, "not ready after the test")
    assert find_violations(scenario.history()) == []


class TestAnswers:
    """Each caller receives the complete answer to its own request."""

    def test_answers_that_engines_mix_up_reach_nobody(self, scenario: Scenario) -> None:
        """Guards against forwarding an answer to another caller's request.

        The engine swaps the answers of two requests, which shows in their ids.
        """
        for engine in ("g1", "g2"):
            scenario.cluster.standin_by_id[engine].set_faults(wrong_answers=2)
        caller = scenario.caller()
        kinds = (JobKind.COMPLETION, JobKind.STREAM, JobKind.CHAT)
        for kind in kinds * 2:
            caller.finish(scenario.job(kind))

    def test_a_stream_survives_a_break_on_the_way(self, scenario: Scenario) -> None:
        """Guards against a truncated stream that looks complete.

        The engine ends streams early without an end marker; the run can be resumed.
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
        """Guards against streams that hang or look complete after an engine crash.

        Both engines crash in turn; each caller gets an error event and, on a retry,
        the complete answer.
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

    def test_a_disconnected_caller_frees_the_engine(self, scenario: Scenario) -> None:
        """Guards against engines that run requests of disconnected callers.

        A caller reads two tokens of a long stream and closes the connection.
        """
        job = scenario.job(JobKind.HANG_UP, max_tokens=400)
        assert scenario.caller().finish(job) is Outcome.HUNG_UP
        wait_until(
            lambda: scenario.run_end(job) == "cancelled",
            "the run continues without its caller",
        )


class TestNotRun:
    """A request that is reported as "not run" did not run."""

    def test_a_service_that_drops_calls(self, scenario: Scenario) -> None:
        """Guards against reporting a call as not run although it may have run.

        The service drops connections before and after the run, which look the same.
        """
        service = scenario.cluster.standin_by_id["s1"]
        caller = scenario.caller()
        for fault in ("drop_after_run", "drop_before_run"):
            service.set_faults(**{fault: 1})
            job = scenario.job(JobKind.MARKED_CALL)
            assert caller.finish(job) is Outcome.UNKNOWN

    def test_a_service_that_refuses(self, scenario: Scenario) -> None:
        """Guards against retrying or replacing a refusal of the service itself.

        The service refuses all calls as overloaded; its answer is forwarded unchanged.
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
