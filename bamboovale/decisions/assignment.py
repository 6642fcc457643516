"""Assigns the leases of engines to entry VMs.

Guards against a VM that holds most leases, and against a lost failure domain that takes
the lease holders of engines elsewhere with it.

Every VM computes the same assignment from the same two lists. Each engine, in a fixed
order, goes to the first VM in its ranking that has not reached its even share, rounded
up. VMs of the engine's failure domain rank first; within each group the ranking is by
rendezvous hashing, so that a VM that joins or leaves moves few other leases.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from bamboovale.decisions.rendezvous import score


def ranked_vms(
    engine_id: str,
    failure_domain: str,
    domain_by_vm: Mapping[str, str],
) -> list[str]:
    """Return all VMs in the ranking of an engine, the best first."""

    def rank(vm_id: str) -> tuple[bool, int]:
        return domain_by_vm[vm_id] == failure_domain, score(engine_id, vm_id)

    return sorted(domain_by_vm, key=rank, reverse=True)


class LeaseAssignment:
    """The assignment of engines to entry VMs, recomputed when either list changes.

    The cost grows with the product of engines and VMs; it is paid only when a VM or an
    engine joins or leaves.
    """

    def __init__(self) -> None:
        self._inputs: tuple[Mapping[str, str], Mapping[str, str]] = ({}, {})
        self._vms_by_engine: dict[str, list[str]] = {}

    def vms_in_order(
        self,
        engine_id: str,
        domain_by_engine: Mapping[str, str],
        domain_by_vm: Mapping[str, str],
    ) -> list[str]:
        """Return the VMs in the order in which they may take the engine's lease."""
        if (domain_by_engine, domain_by_vm) != self._inputs:
            self._inputs = (dict(domain_by_engine), dict(domain_by_vm))
            self._vms_by_engine = dict(_assign(domain_by_engine, domain_by_vm))
        return self._vms_by_engine[engine_id]


def _assign(
    domain_by_engine: Mapping[str, str],
    domain_by_vm: Mapping[str, str],
) -> Iterable[tuple[str, list[str]]]:
    max_leases = -(-len(domain_by_engine) // max(1, len(domain_by_vm)))
    lease_count: Counter[str] = Counter()
    for engine, domain in sorted(domain_by_engine.items()):
        ranking = ranked_vms(engine, domain, domain_by_vm)
        first = next(
            (vm_id for vm_id in ranking if lease_count[vm_id] < max_leases), None
        )
        if first is not None:
            lease_count[first] += 1
            ranking.remove(first)
            ranking.insert(0, first)
        yield engine, ranking
