"""Leases spread evenly over entry VMs."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboovale.decisions.assignment import LeaseAssignment

DOMAINS = ("muc-a", "muc-b", "nue-a")
NAMES = st.sets(st.integers(1, 40), min_size=1, max_size=12)


def spread(prefix: str, numbers: set[int]) -> dict[str, str]:
    return {f"{prefix}{n}": DOMAINS[n % len(DOMAINS)] for n in numbers}


def first_by_engine(engines: dict[str, str], vms: dict[str, str]) -> dict[str, str]:
    assignment = LeaseAssignment()
    return {
        engine: assignment.vms_in_order(engine, engines, vms)[0] for engine in engines
    }


class TestLeaseAssignment:
    """All VMs work out the same even assignment."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(NAMES, NAMES)
    def test_no_vm_holds_more_than_its_share(self, e: set[int], v: set[int]) -> None:
        engines, vms = spread("g", e), spread("e", v)
        held = Counter(first_by_engine(engines, vms).values())
        assert max(held.values()) <= -(-len(engines) // len(vms))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(NAMES, NAMES)
    def test_each_engine_has_every_vm_in_its_order(
        self,
        e: set[int],
        v: set[int],
    ) -> None:
        engines, vms = spread("g", e), spread("e", v)
        assignment = LeaseAssignment()
        for engine in engines:
            assert set(assignment.vms_in_order(engine, engines, vms)) == set(vms)

    def test_a_lost_vm_moves_few_leases_of_others(self) -> None:
        """Each move costs an engine a moment without loads."""
        engines = spread("g", set(range(60)))
        vms = spread("e", set(range(9)))
        before = first_by_engine(engines, vms)
        del vms["e4"]
        after = first_by_engine(engines, vms)
        others = [g for g in engines if before[g] != "e4"]
        moved = [g for g in others if before[g] != after[g]]
        assert len(moved) <= len(engines) // 6

    def test_an_engine_is_held_in_its_own_failure_domain(self) -> None:
        """A lost failure domain then takes no holder of an engine elsewhere."""
        engines = spread("g", set(range(60)))
        vms = spread("e", set(range(9)))
        first = first_by_engine(engines, vms)
        assert all(vms[vm_id] == engines[engine] for engine, vm_id in first.items())

    def test_without_a_vm_there_is_nobody(self) -> None:
        assert LeaseAssignment().vms_in_order("g1", {"g1": ""}, {}) == []
