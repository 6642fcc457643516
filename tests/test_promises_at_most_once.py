"""A non-idempotent request runs at most once, whatever fails around it."""

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
    """Bookings with an Idempotency-Key."""

    def test_the_entry_vm_dies_while_the_call_runs(self, scenario: Scenario) -> None:
        """A family would be charged twice.

        The booking runs at the service; its entry VM is killed before it can
        answer; the caller sends it again, with the same key, to another entry VM.
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
        """One fryer would be sold to two buyers.

        An impatient caller sends a listing through three entry VMs side by side;
        none of them has read the others' claim when it claims the key.
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
        """A claim whose answer was lost would be made again, and both would send.

        The log takes every append and drops each answer for a while.
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
        """Bookings would run twice when the claims cannot be written down.

        A booking runs; the log goes down; the caller, who lost the answer, repeats it
        at every entry VM, and sends a new one.
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

    def test_an_entry_vm_frozen_between_claim_and_send(
        self,
        scenario: Scenario,
    ) -> None:
        """A family would be charged twice, by an entry VM that woke up late.

        Bookings pass through an entry VM while it is paused again and again, past its
        leases; their callers repeat them elsewhere; the paused VM goes on unaware.
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
