"""Graceful stops and durable edits, with real processes."""

import threading
import time
from collections.abc import Iterator

import pytest

from bench.callers import LoadConfig
from bench.history import Outcome
from bench.jobs import JobKind
from bench.operators import ADAPTERS, SERVICES
from bench.scenario import Scenario, running_scenario, wait_until

pytestmark = pytest.mark.xdist_group("promises-entries")

MIXED = LoadConfig(ADAPTERS[:2], SERVICES, callers=6, think_s=0.02)
LONG_STREAM_TOKENS = 200  # about three seconds


@pytest.fixture
def scenario() -> Iterator[Scenario]:
    with running_scenario() as running:
        yield running


class TestPlannedStop:
    """Every planned stop is a graceful shutdown."""

    def test_a_long_stream_outlives_the_stop(self, scenario: Scenario) -> None:
        """Guards against streams that are cut off when an entry VM stops.

        It stops while a long stream runs and callers with a cached list connect.
        """
        job = scenario.job(JobKind.STREAM, max_tokens=LONG_STREAM_TOKENS)
        with scenario.load(MIXED):
            future = scenario.begin(scenario.caller(at="e1"), job)
            time.sleep(0.5)
            scenario.cluster.stop_entry("e1")
        assert future.result(timeout=30) is Outcome.ANSWERED
        assert scenario.evaluate().violations == ()

    def test_all_entry_vms_are_replaced_one_by_one(self, scenario: Scenario) -> None:
        """Guards against errors for callers at a release.

        Each entry VM is replaced by a new one under load.
        """
        with scenario.load(MIXED) as load:
            for number in (1, 2, 3):
                successor = scenario.cluster.start_entry(f"n{number}")
                scenario.cluster.wait_until_ready(successor)
                load.add_seed(successor.callers_address)
                scenario.cluster.stop_entry(f"e{number}")
        verdict = scenario.evaluate()
        assert verdict.violations == ()
        assert verdict.outcomes.keys() <= {Outcome.ANSWERED, Outcome.HUNG_UP}


class TestEdits:
    """An accepted edit is in force everywhere within seconds and never reverts."""

    def test_operators_race(self, scenario: Scenario) -> None:
        """Guards against accepting two edits of the same base revision.

        Three operators edit one entry while the log is slow and loses answers.
        """
        log = scenario.cluster.standin_by_id["log"]
        log.set_faults(slow_ms=60, lose_answers={"share": 0.4, "seed": 5})
        verdicts: list[bool | None] = []
        for round_number in range(3):
            base = scenario.operator.read_entry_revision(ADAPTERS[0])
            threads = [
                threading.Thread(
                    target=lambda entry, version, base: verdicts.append(
                        scenario.operator.set_version(
                            ADAPTERS[0],
                            version,
                            scenario.cluster.entry_by_id[entry],
                            if_match=base,
                        )
                    ),
                    args=(f"e{number}", f"{round_number}-{number}", base),
                )
                for number in (1, 2, 3)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            assert verdicts[-3:].count(True) <= 1
        log.set_faults(slow_ms=None, lose_answers=None)
        time.sleep(2.0)
        assert True in verdicts
        assert scenario.evaluate().violations == ()

    def test_a_paused_entry_vm_catches_up_past_expired_records(
        self,
        scenario: Scenario,
    ) -> None:
        """Guards against serving an incomplete catalogue after a gap in the log.

        The log drops records that a paused entry VM has not read.
        """
        scenario.cluster.freeze_entry("e3")
        log = scenario.cluster.standin_by_id["log"]
        log.set_faults(retention_records=2)
        for version in range(2, 10):
            assert scenario.operator.set_version(ADAPTERS[0], str(version))
        scenario.cluster.thaw_entry("e3")
        wait_until(scenario.cluster.is_ready, "e3 does not serve again")
        log.set_faults(retention_records=None)
        time.sleep(1.0)
        assert scenario.evaluate().violations == ()

    def test_an_entry_vm_starts_during_an_outage_of_the_log(
        self,
        scenario: Scenario,
    ) -> None:
        """Guards against a VM that cannot serve after a restart in a log outage.

        It gets the catalogue from a peer and the lease holders from routing hints.
        """
        assert scenario.operator.set_version(ADAPTERS[0], "2")
        loaded = scenario.job(JobKind.COMPLETION)
        assert scenario.caller().finish(loaded) is Outcome.ANSWERED
        holders = scenario.operator.read_holders().values()
        killed = next(name for name in ("e1", "e2", "e3") if name not in holders)
        log = scenario.cluster.standin_by_id["log"]
        log.set_faults(down=True)
        scenario.cluster.kill_entry(killed)
        started = scenario.cluster.start_entry(killed)
        scenario.cluster.wait_until_ready(started)
        wanted = scenario.job(JobKind.COMPLETION)
        answer = scenario.caller(at=killed).send(wanted)
        log.set_faults(down=None)
        assert answer.received.outcome is Outcome.ANSWERED
        wait_until(scenario.cluster.is_ready, "not ready after the outage")
        assert scenario.evaluate().violations == ()
