"""A non-idempotent request runs at most once under all faults."""

import time
from collections.abc import Iterator

import pytest

from bench.checker import find_violations
from bench.history import Outcome
from bench.jobs import JobKind
from bench.scenario import Scenario, running_scenario, wait_until

pytestmark = pytest.mark.xdist_group("promises-once")

SLOW_SERVICE = ("--latency-ms", "600")


@pytest.fixture
def scenario() -> Iterator[Scenario]:
    with running_scenario(engines=1, service_options=SLOW_SERVICE) as running:
        yield running


def count_runs(scenario: Scenario, job: str) -> int:
    return len(scenario.history().starts_of_job(job))


class TestAtMostOnce:
    """Calls with an Idempotency-Key."""

    def test_the_entry_vm_dies_while_the_call_runs(self, scenario: Scenario) -> None:
        """Guards against a second run after the entry VM is killed during the first.

        The caller retries with the same key at another entry VM.
        """
        job = scenario.job(JobKind.KEYED_CALL)
        future = scenario.begin(scenario.caller(at="e1"), job)
        time.sleep(0.4)
        scenario.cluster.kill_entry("e1")
        future.result(timeout=30)
        repeat = scenario.caller(at="e2").send(job, number=50)
        assert repeat.received.outcome in (Outcome.UNKNOWN, Outcome.ANSWERED)
        assert count_runs(scenario, job.id) == 1
        assert find_violations(scenario.history()) == []

    def test_two_entry_vms_get_one_key_at_once(self, scenario: Scenario) -> None:
        """Guards against concurrent claims of one key that all run.

        Three entry VMs get the same key at once and have not read the other claims.
        """
        job = scenario.job(JobKind.KEYED_CALL)
        futures = [
            scenario.threads.submit(scenario.caller(at=entry).send, job, number)
            for number, entry in enumerate(("e1", "e2", "e3"))
        ]
        outcomes = [future.result(timeout=30).received.outcome for future in futures]
        assert Outcome.ANSWERED in outcomes
        assert count_runs(scenario, job.id) == 1
        assert find_violations(scenario.history()) == []

    def test_answers_of_the_log_are_lost(self, scenario: Scenario) -> None:
        """Guards against a claim that is repeated after a lost answer and runs twice.

        The log accepts all appends and loses answers for a while.
        """
        log = scenario.cluster.standin_by_id["log"]
        log.set_faults(lose_answers={"share": 0.7, "seed": 3})
        jobs = [scenario.job(JobKind.KEYED_CALL) for _ in range(4)]
        futures = [
            scenario.begin(scenario.caller(at=f"e{number % 3 + 1}"), job)
            for number, job in enumerate(jobs)
        ]
        for future in futures:
            future.result(timeout=60)
        log.set_faults(lose_answers=None)
        assert all(count_runs(scenario, job.id) <= 1 for job in jobs)
        assert find_violations(scenario.history()) == []

    def test_an_outage_of_the_log(self, scenario: Scenario) -> None:
        """Guards against a second run while claims cannot be written to the log.

        The caller repeats an answered call at every entry VM and sends a new one.
        """
        first = scenario.job(JobKind.KEYED_CALL)
        scenario.caller(at="e1").send(first)
        scenario.cluster.standin_by_id["log"].set_faults(down=True)
        for number, entry in enumerate(("e1", "e2", "e3"), start=1):
            scenario.caller(at=entry).send(first, number)
        second = scenario.job(JobKind.KEYED_CALL)
        scenario.caller(at="e2").send(second, number=50)
        scenario.cluster.standin_by_id["log"].set_faults(down=None)
        wait_until(scenario.cluster.is_ready, "not ready after the outage")
        assert scenario.caller(at="e3").finish(second) is Outcome.ANSWERED
        assert count_runs(scenario, first.id) == 1
        assert count_runs(scenario, second.id) == 1
        assert find_violations(scenario.history()) == []

    def test_an_entry_vm_paused_between_claim_and_send(
        self,
        scenario: Scenario,
    ) -> None:
        """Guards against a second run by an entry VM that resumes after a pause.

        It is paused past its leases while callers repeat their calls elsewhere.
        """
        jobs = [scenario.job(JobKind.KEYED_CALL) for _ in range(6)]
        first = [
            scenario.threads.submit(scenario.caller(at="e1").send, job) for job in jobs
        ]
        time.sleep(0.05)
        scenario.cluster.freeze_entry("e1")
        time.sleep(1.0)
        for job in jobs:
            scenario.caller(at="e2").send(job, number=1)
        time.sleep(3.0)
        scenario.cluster.thaw_entry("e1")
        for future in first:
            future.result(timeout=60)
        assert all(count_runs(scenario, job.id) <= 1 for job in jobs)
        assert find_violations(scenario.history()) == []
