"""Tests of the policy bench: its figures, profiles and load generator."""

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from bamboovale.models import WorkClass
from bench.bench import FAULT_AT_S, SCENARIOS, check_codes, fault_changes
from bench.bench_callers import Ending, Received, TraceOrder, send_trace
from bench.bench_deployment import catalogue_entries, scaled
from bench.bench_figures import Observation, others_wait_p95
from bench.cluster import ClusterConfig, running_cluster
from bench.measures import Outcome
from bench.profiles import GALLEY, LERNWERK, Arrival

IDLE_S = 0.25


def arrival(at: float, customer: str = "customer-0") -> Arrival:
    return Arrival(at, "adapter-0", customer, WorkClass.INTERACTIVE, 4, 10.0)


def received(at: float, first_at: float, customer: str = "customer-0") -> Received:
    return Received(
        arrival=arrival(at, customer),
        first_at=first_at,
        ended_at=first_at + 1.0,
        ending=Ending.WHOLE,
    )


def observe(items: list[Received], events: list[dict[str, object]]) -> Observation:
    return Observation(
        received=items,
        events_by_engine={"g1": events},
        start_at=100.0,
        seconds=20.0,
        settle_s=0.0,
        entry_cpu_s=0.0,
    )


class TestFigures:
    """Figures computed from callers' results and engines' histories."""

    def test_places_count_only_while_work_waits(self) -> None:
        # One run occupies a place from second 1 to 9; a request waits from 5 to 7.
        events: list[dict[str, object]] = [
            {"time": 101.0, "event": "run_start"},
            {"time": 109.0, "event": "run_end"},
        ]
        fill = observe([received(5.0 - IDLE_S, 7.0)], events).fill(LERNWERK, IDLE_S)
        places = LERNWERK.engines * LERNWERK.max_num_seqs
        assert fill.offered == pytest.approx(2.0 * places, rel=0.05)
        assert fill.share == pytest.approx(1 / places)

    def test_a_wait_within_the_idle_wait_is_no_stall(self) -> None:
        items = [received(1.0, 1.2), received(2.0, 3.25)]
        figures = observe(items, []).figures(LERNWERK, IDLE_S)
        assert figures["interactive stalled share"] == 0.5
        assert figures["interactive stall p99"] == pytest.approx(1.0)

    def test_a_refusal_does_not_count_as_goodput(self) -> None:
        refused = Received(
            arrival(1.0), ended_at=9.0, ending=Ending.REFUSED, code="overloaded"
        )
        figures = observe([refused], []).figures(LERNWERK, IDLE_S)
        assert figures["goodput_per_s"] == 0.0
        assert figures[f"{Outcome.REFUSED} share"] == 1.0
        assert figures["refusal wait p95"] == pytest.approx(8.0)

    def test_the_hot_customer_does_not_count_among_the_others(self) -> None:
        items = [received(1.0, 9.0, "customer-2"), received(1.0, 2.0)]
        assert others_wait_p95(items, "customer-2", 0.0) == pytest.approx(1.0)


class TestProfiles:
    """Scaled profiles and fault schedules."""

    @pytest.mark.parametrize("profile", [LERNWERK, GALLEY])
    def test_a_scaled_profile_keeps_its_sizes(self, profile) -> None:
        small = scaled(profile)
        assert (small.engines, small.adapters) == (profile.engines, 3000)
        assert small.loads_per_s == profile.loads_per_s
        assert len(catalogue_entries(small)) == 2 + 2 * 3000

    def test_every_fault_is_over_when_its_scenario_ends(self) -> None:
        for scenario in SCENARIOS:
            faults: dict[str, object] = {}
            for change in fault_changes(scenario):
                assert FAULT_AT_S <= change.at <= scenario.seconds
                faults |= change.faults
            faults.pop("crash", None)
            assert not any(faults.values())


@pytest.fixture
def engine_address(tmp_path: Path) -> Iterator[str]:
    config = ClusterConfig(engines=1, services=0, entries=0)
    with running_cluster(config, tmp_path) as cluster:
        yield cluster.standin_by_id["g1"].url.removeprefix("http://")


class TestCallers:
    """The open-loop load generator."""

    def test_an_invalid_request_of_the_bench_raises(self) -> None:
        # Otherwise invalid requests would count as refusals under load.
        refused = Received(arrival(1.0), ending=Ending.REFUSED, code="bad_request")
        with pytest.raises(ValueError, match="invalid request sent by the bench"):
            check_codes([refused])

    def test_requests_are_sent_on_time_after_earlier_ones_were_refused(
        self, engine_address: str
    ) -> None:
        order = TraceOrder(
            label="test",
            addresses=(engine_address,),
            arrivals=(arrival(0.1), arrival(0.2)),
            start_at=time.time(),
            seconds=1.0,
        )
        items = send_trace(order)
        assert [item.ending for item in items] == [Ending.REFUSED] * 2
        assert all(item.sent_at - item.arrival.at < 0.1 for item in items)
