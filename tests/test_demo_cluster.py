"""Parts of the bench: processes, collected histories, tries and defect checks."""

import random
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from bench.cluster import Cluster, ClusterConfig, running_cluster
from bench.collection import collect_history, read_engine
from bench.entry_list import EntryList
from bench.history import (
    AdapterOrder,
    EndpointState,
    History,
    LogRecord,
    Outcome,
    RunEnded,
    RunStarted,
)
from bench.http import call_json
from bench.jobs import Job, JobKind
from bench.processes import find_free_port, find_free_ports
from bench.tries import send_try

STANDINS_ONLY = ClusterConfig(engines=1, services=1, entries=0)


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    with running_cluster(STANDINS_ONLY, tmp_path) as running:
        yield running


class TestCluster:
    """Stand-ins as processes."""

    def test_ends_every_process_even_after_a_failure(self, tmp_path: Path) -> None:
        with (
            pytest.raises(RuntimeError),
            running_cluster(STANDINS_ONLY, tmp_path) as cluster,
        ):
            assert all(process.is_running for process in cluster.processes)
            raise RuntimeError("failure in the block")
        assert len(cluster.processes) == 5
        assert not any(process.is_running for process in cluster.processes)

    def test_collects_what_the_standins_recorded(self, cluster: Cluster) -> None:
        engine = cluster.standin_by_id["g1"].url
        log = cluster.standin_by_id["log"].url
        call_json("POST", f"{log}/streams/leases/records", {"value": 1})
        adapter = {"lora_name": "summaries@1", "lora_path": "summaries"}
        call_json("POST", f"{engine}/v1/load_lora_adapter", adapter)
        prompt = {"model": "summaries@1", "prompt": "p", "max_tokens": 2}
        call_json("POST", f"{engine}/v1/completions", prompt)
        call_json("POST", f"{engine}/v1/unload_lora_adapter", adapter)
        cluster.standin_by_id["g1"].set_faults(crash=True)
        cluster.set_endpoint_leaving("g1", leaving=True)
        history = collect_history(cluster)
        orders = [order.order for order in history.of(AdapterOrder)]
        assert orders == ["load", "unload"]
        (run,) = history.runs
        assert run.started.lora_name == "summaries@1"
        assert run.ended is not None
        assert len(list(history.of(LogRecord))) == 1
        assert len(list(history.of(EndpointState))) == 1

    def test_a_resumed_run_is_one_run(self) -> None:
        run = {"request_id": "job1t0.1", "model": "summaries@1"}
        events = [
            {"time": 1.0, "event": "boot", "boot_id": "b"},
            {"time": 2.0, "event": "run_start", **run},
            {"time": 3.0, "event": "run_end", "outcome": "cancelled", **run},
            {"time": 3.1, "event": "run_resume", **run},
            {"time": 3.2, "event": "run_start", **run},
            {"time": 4.0, "event": "run_end", "outcome": "complete", **run},
        ]
        history = History(read_engine("g1", events))
        assert len(history.starts_by_request_id["job1t0"]) == 1
        assert len(list(history.of(RunStarted))) == 2
        assert [end.reason for end in history.of(RunEnded)] == ["cancelled", "complete"]


class TestTries:
    """One try of a job against a service or a closed port."""

    def test_an_answer_of_a_service_is_its_own(self, cluster: Cluster) -> None:
        address = cluster.standin_by_id["s1"].url.removeprefix("http://")
        job = Job("job1", JobKind.KEYED_CALL, "bookings")
        received = send_try(job, "job1t0", address, 5.0).received
        assert (received.outcome, received.defect) == (Outcome.ANSWERED, "")
        foreign = send_try(job, "job2t0", address, 5.0).received
        assert foreign.defect == "the answer to request job2t0"

    def test_a_refused_connection_sent_nothing(self) -> None:
        address = f"127.0.0.1:{find_free_port('127.0.0.1')}"
        job = Job("job1", JobKind.CALL, "bookings")
        assert send_try(job, "job1t0", address, 1.0).received.outcome is (
            Outcome.UNREACHED
        )

    def test_a_dropped_connection_is_broken(self, cluster: Cluster) -> None:
        service = cluster.standin_by_id["s1"]
        service.set_faults(drop_after_run=1)
        job = Job("job1", JobKind.MARKED_CALL, "bookings")
        address = service.url.removeprefix("http://")
        assert send_try(job, "job1t0", address, 5.0).received.outcome is Outcome.BROKEN


class TestJobs:
    """Callers detect incomplete and foreign answers."""

    def test_a_cut_and_a_foreign_answer_have_different_defects(self) -> None:
        job = Job("job1", JobKind.STREAM, "summaries", max_tokens=4)
        other = Job("job2", JobKind.STREAM, "summaries", max_tokens=4)
        whole = job.expected_text("summaries@1")
        assert job.find_defect("summaries@1", whole) == ""
        assert "cut short" in job.find_defect("summaries@1", whole[:14])
        assert "foreign" in job.find_defect("summaries@2", whole)
        assert "foreign" in other.find_defect("summaries@1", whole)


class TestEntryList:
    """Callers without a reachable entry VM fall back on their seeds."""

    def test_no_entry_vm_answers(self) -> None:
        seeds = [f"127.0.0.1:{port}" for port in find_free_ports("127.0.0.1", 2)]
        entries = EntryList(seeds, random.Random(1))
        started_at = time.monotonic()
        assert entries.choose() in seeds
        assert time.monotonic() - started_at < 2.0
