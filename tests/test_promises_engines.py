"""Right versions, no eviction under a run, and leaving engines, with real processes."""

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

# Six adapters share four slots, so that somebody always waits for an eviction.
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
    """An adapter that a running request uses is never evicted under it."""

    def test_more_adapters_than_slots(self, scenario: Scenario) -> None:
        """A stream would break because another customer's adapter was loaded.

        Streams of six adapters compete for four slots.
        """
        with scenario.load(STREAMS):
            time.sleep(5.0)
        assert count_unloads(scenario) > 0
        assert find_violations(scenario.history()) == []

    def test_the_holder_dies_under_streams(self, scenario: Scenario) -> None:
        """Streams through other entry VMs would break after a lease change.

        A lease holder is killed; the next one does not know which permits it had
        granted, and callers wait for evictions.
        """
        with scenario.load(STREAMS):
            time.sleep(2.0)
            scenario.cluster.kill_entry("e1")
            time.sleep(6.0)
        assert count_unloads(scenario) > 0
        assert find_violations(scenario.history()) == []

    def test_the_holder_is_frozen_past_its_lease(self, scenario: Scenario) -> None:
        """Two holders would order the same engine, and evict under a run.

        A holder is paused for longer than its lease, another takes over, the first
        goes on and believes itself the holder. The engines ignore fencing numbers.
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
    """Every request runs on the version that its entry names."""

    def test_queued_requests_move_to_the_new_version(self, scenario: Scenario) -> None:
        """A parent would get a summary by a version that was withdrawn.

        Requests queue for busy engines while the entry's version changes.
        """
        with scenario.load(STREAMS):
            for version in ("2", "3"):
                time.sleep(1.5)
                assert scenario.operator.set_version(ADAPTERS[0], version)
            time.sleep(7.0)
        verdict = scenario.judge()
        assert verdict.violations == ()
        assert f"{ADAPTERS[0]}@3" in {
            start.lora_name for start in scenario.history().of(RunStarted)
        }

    def test_an_entry_vm_cut_from_everything_stops_serving_old_versions(
        self,
        scenario: Scenario,
    ) -> None:
        """A withdrawn version would be served for as long as a cut lasts.

        One entry VM loses the log and the VM list; the version changes; callers stay
        with the cut VM, which hears of it from its peers or refuses.
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
        """A withdrawn version would be served by a VM that nobody can tell of it.

        One entry VM loses the log, the VM list and all its peers, but not its callers
        and engines; the version changes.
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
        """A VM that slept through a withdrawal would serve what waits at its door.

        The holder of an engine is paused and cut from the log, the VM list and its
        peers; the version changes; requests arrive; it goes on before any of its
        tasks has noticed how long it slept.
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
    """An endpoint that is leaving receives no new work within a few seconds."""

    def test_a_leaving_engine_with_a_queue(self, scenario: Scenario) -> None:
        """Requests would be sent to an engine that is about to go.

        An engine with a queue is marked as leaving; its queue must move, its runs
        must finish.
        """
        with scenario.load(STREAMS):
            time.sleep(2.0)
            scenario.cluster.set_endpoint_leaving("g1", leaving=True)
            time.sleep(8.0)
        verdict = scenario.judge()
        assert verdict.violations == ()
        assert verdict.outcomes[Outcome.ANSWERED] > 0


class TestCrashPrompts:
    """A request that crashes every engine that runs it."""

    def test_its_repeats_cost_a_bounded_number_of_engines(
        self,
        scenario: Scenario,
    ) -> None:
        """One seller's prompt would take down the whole service.

        A caller sends a prompt that crashes engines, and sends it again whenever the
        answer does not forbid it.
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
