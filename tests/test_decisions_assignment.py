"""Tests that leases spread evenly over entry VMs."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboovale.decisions.assignment import LeaseAssignment

DOMAINS = ("muc-a", "muc-b", "nue-a")
NAMES = st.sets(st.integers(1, 40), min_size=1, max_size=12)


def place_in_domains(prefix: str, numbers: set[int]) -> dict[str, str]:
    return {f"{prefix}{n}": DOMAINS[n % len(DOMAINS)] for n in numbers}


def first_by_engine(engines: dict[str, str], vms: dict[str, str]) -> dict[str, str]:
    assignment = LeaseAssignment()
    return {
        engine: assignment.vms_in_order(engine, engines, vms)[0] for engine in engines
    }


class TestLeaseAssignment:
    """Guards against VMs that compute different or uneven assignments."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(NAMES, NAMES)
    def test_no_vm_holds_more_than_its_share(self, e: set[int], v: set[int]) -> None:
        engines, vms = place_in_domains("g", e), place_in_domains("e", v)
        held = Counter(first_by_engine(engines, vms).values())
        assert max(held.values()) <= -(-len(engines) // len(vms))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(NAMES, NAMES)
    def test_each_engine_has_every_vm_in_its_order(
        self,
        e: set[int],
        v: set[int],
    ) -> None:
        engines, vms = place_in_domains("g", e), place_in_domains("e", v)
        assignment = LeaseAssignment()
        for engine in engines:
            assert set(assignment.vms_in_order(engine, engines, vms)) == set(vms)

    def test_a_lost_vm_moves_few_leases_of_others(self) -> None:
        """Guards against needless moves, which interrupt the loads of an engine."""
        engines = place_in_domains("g", set(range(60)))
        vms = place_in_domains("e", set(range(9)))
        before = first_by_engine(engines, vms)
        del vms["e4"]
        after = first_by_engine(engines, vms)
        others = [g for g in engines if before[g] != "e4"]
        moved = [g for g in others if before[g] != after[g]]
        assert len(moved) <= len(engines) // 6

    def test_an_engine_is_held_in_its_own_failure_domain(self) -> None:
        """Guards against losing a failure domain and with it holders elsewhere."""
        engines = place_in_domains("g", set(range(60)))
        vms = place_in_domains("e", set(range(9)))
        first = first_by_engine(engines, vms)
        assert all(vms[vm_id] == engines[engine] for engine, vm_id in first.items())

    def test_no_vm_is_returned_without_vms(self) -> None:
        assert LeaseAssignment().vms_in_order("g1", {"g1": ""}, {}) == []
