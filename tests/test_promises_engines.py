"""Adapter versions, evictions and leaving engines, with real processes."""

import time
from collections.abc import Iterator

import pytest

from bench.callers import Caller, LoadConfig
from bench.checker import find_violations
from bench.history import AdapterOrder, Outcome, Received, RunStarted
from bench.jobs import JobKind
from bench.operators import ADAPTERS, SERVICES
from bench.peer_cuts import CutWay
from bench.scenario import Scenario, running_scenario

pytestmark = pytest.mark.xdist_group("promises-engines")

# Six adapters share four slots, so that some request always waits for an eviction.
STREAMS = LoadConfig(
    ADAPTERS,
    SERVICES,
    callers=8,
    think_s=0.02,
    weight_by_kind={JobKind.STREAM: 1},
)
PAST_THE_LEASE_S = 4.0


@pytest.fixture
def scenario() -> Iterator[Scenario]:
    with running_scenario() as running:
        yield running


def count_unloads(scenario: Scenario) -> int:
    orders = scenario.history().of(AdapterOrder)
    return sum(order.order == "unload" and order.done for order in orders)


def send_next(scenario: Scenario, caller: Caller) -> Received:
    return caller.send(scenario.job(JobKind.COMPLETION)).received


class TestEviction:
    """An adapter is never evicted while a request uses it."""

    def test_more_adapters_than_slots(self, scenario: Scenario) -> None:
        """Guards against evicting the adapter of a running stream.

        Streams of six adapters compete for four slots.
        """
        with scenario.load(STREAMS):
            time.sleep(5.0)
        assert count_unloads(scenario) > 0
        assert find_violations(scenario.history()) == []

    def test_the_holder_dies_under_streams(self, scenario: Scenario) -> None:
        """Guards against evictions under permits of a killed lease holder.

        The next holder does not know these permits, and requests wait for evictions.
        """
        with scenario.load(STREAMS):
            time.sleep(2.0)
            scenario.cluster.kill_entry("e1")
            time.sleep(6.0)
        assert count_unloads(scenario) > 0
        assert find_violations(scenario.history()) == []

    def test_the_holder_is_paused_past_its_lease(self, scenario: Scenario) -> None:
        """Guards against orders of two holders to the same engine.

        A holder resumes after another took over. The engines ignore fencing numbers.
        """
        with scenario.load(STREAMS):
            time.sleep(1.5)
            for entry in ("e1", "e2"):
                scenario.cluster.freeze_entry(entry)
                time.sleep(PAST_THE_LEASE_S)
                scenario.cluster.thaw_entry(entry)
                time.sleep(1.0)
        assert find_violations(scenario.history()) == []


class TestVersions:
    """Every request runs on the version in the catalogue."""

    def test_queued_requests_move_to_the_new_version(self, scenario: Scenario) -> None:
        """Guards against running queued requests on a replaced version.

        Requests queue for busy engines while the entry's version changes.
        """
        with scenario.load(STREAMS):
            for version in ("2", "3"):
                time.sleep(1.5)
                assert scenario.operator.set_version(ADAPTERS[0], version)
            time.sleep(7.0)
        verdict = scenario.evaluate()
        assert verdict.violations == ()
        assert f"{ADAPTERS[0]}@3" in {
            start.lora_name for start in scenario.history().of(RunStarted)
        }

    def test_an_entry_vm_cut_from_everything_stops_serving_old_versions(
        self,
        scenario: Scenario,
    ) -> None:
        """Guards against serving a replaced version during a partition.

        One entry VM loses the log and the VM list; it gets the new version from its
        peers or refuses.
        """
        address = scenario.cluster.entry_by_id["e3"].address
        for standin in ("log", "vms"):
            scenario.cluster.standin_by_id[standin].set_faults(cut=[address])
        assert scenario.operator.set_version(ADAPTERS[0], "2")
        caller = scenario.caller(at="e3")
        for _ in range(8):
            caller.send(scenario.job(JobKind.COMPLETION))
            time.sleep(1.0)
        assert find_violations(scenario.history()) == []

    def test_an_isolated_entry_vm_refuses(self) -> None:
        """Guards against serving a replaced version in complete isolation.

        One entry VM loses the log, the VM list and all peers, but not its callers and
        engines.
        """
        with running_scenario(relays=True) as scenario:
            address = scenario.cluster.entry_by_id["e3"].address
            for standin in ("log", "vms"):
                scenario.cluster.standin_by_id[standin].set_faults(cut=[address])
            scenario.cluster.cut_from_peers("e3", CutWay.BOTH)
            assert scenario.operator.set_version(ADAPTERS[0], "2")
            caller = scenario.caller(at="e3")
            until = time.time() + 8.0
            while time.time() < until:
                send_next(scenario, caller)
                time.sleep(0.3)
            last = send_next(scenario, caller)
            assert (last.outcome, last.code) == (Outcome.NOT_RUN, "not_ready")
            assert find_violations(scenario.history()) == []

    def test_a_holder_paused_and_isolated_serves_nothing_old(self) -> None:
        """Guards against serving buffered requests with a replaced version.

        The holder of an engine is paused and isolated while the version changes and
        requests arrive, then resumes before any actor has detected the pause.
        """
        with running_scenario(relays=True) as scenario:
            holder = scenario.operator.read_holders()["g1"]
            warm = scenario.job(JobKind.COMPLETION)
            scenario.caller(at=holder).finish(warm)
            address = scenario.cluster.entry_by_id[holder].address
            scenario.cluster.freeze_entry(holder)
            for standin in ("log", "vms"):
                scenario.cluster.standin_by_id[standin].set_faults(cut=[address])
            scenario.cluster.cut_from_peers(holder, CutWay.BOTH)
            assert scenario.operator.set_version(ADAPTERS[0], "2")
            time.sleep(6.5)
            caller = scenario.caller(at=holder)
            jobs = [scenario.job(JobKind.COMPLETION) for _ in range(8)]
            futures = [scenario.threads.submit(caller.send, job) for job in jobs]
            time.sleep(0.3)
            scenario.cluster.thaw_entry(holder)
            answers = [future.result(timeout=60) for future in futures]
            assert {answer.received.outcome for answer in answers} == {Outcome.NOT_RUN}
            assert find_violations(scenario.history()) == []


class TestLeaving:
    """A leaving endpoint receives no new work after a few seconds."""

    def test_a_leaving_engine_with_a_queue(self, scenario: Scenario) -> None:
        """Guards against sending requests to an engine that is leaving.

        Its queued requests must move to other engines, and its runs must finish.
        """
        with scenario.load(STREAMS):
            time.sleep(2.0)
            scenario.cluster.set_endpoint_leaving("g1", leaving=True)
            time.sleep(8.0)
        verdict = scenario.evaluate()
        assert verdict.violations == ()
        assert verdict.outcomes[Outcome.ANSWERED] > 0


class TestCrashPrompts:
    """A request that crashes every engine that runs it."""

    def test_its_retries_crash_a_bounded_number_of_engines(
        self,
        scenario: Scenario,
    ) -> None:
        """Guards against one prompt that crashes all engines.

        The caller retries it whenever the answer permits.
        """
        job = scenario.job(JobKind.STREAM, text="<<crash>>")
        scenario.caller().finish(job)
        crashes = [
            event
            for engine in ("g1", "g2")
            for event in scenario.cluster.standin_by_id[engine].read_history()
            if event["event"] == "crash"
        ]
        assert 1 <= len(crashes) <= 2
        assert (
            scenario.caller().finish(scenario.job(JobKind.STREAM)) is Outcome.ANSWERED
        )
