"""Which entry VM should hold the lease of which engine.

Load pattern: few entry VMs hold the leases of a few engines. Plain rendezvous hashing
gave one of three VMs four of five leases, and with that VM four of five engines wait
for a take-over at once. And when a failure domain is lost, engines elsewhere whose
holders stood in it wait for a take-over too.

Every VM works out the same assignment from the same two lists: engines in a fixed
order each go to the first VM in their order that is not full: VMs of the engine's
failure domain first, each group in rendezvous order. No VM gets more than its even
share rounded up. A VM that comes or goes moves its own share and few others.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from bamboovale.decisions.rendezvous import score


def ranked_vms(
    engine_id: str,
    failure_domain: str,
    domain_by_vm: Mapping[str, str],
) -> list[str]:
    """Return the VMs in the engine's order, the best first."""

    def rank(vm_id: str) -> tuple[bool, int]:
        return domain_by_vm[vm_id] == failure_domain, score(engine_id, vm_id)

    return sorted(domain_by_vm, key=rank, reverse=True)


class LeaseAssignment:
    """The assignment of engines to entry VMs, worked out anew when either changes.

    At 600 engines and 380 VMs that is 228,000 hashes, some tenths of a second; it
    happens when a VM comes or goes, not with every decision.
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
    most = -(-len(domain_by_engine) // max(1, len(domain_by_vm)))
    held: Counter[str] = Counter()
    for engine, domain in sorted(domain_by_engine.items()):
        ranking = ranked_vms(engine, domain, domain_by_vm)
        first = next((vm_id for vm_id in ranking if held[vm_id] < most), None)
        if first is not None:
            held[first] += 1
            ranking.remove(first)
            ranking.insert(0, first)
        yield engine, ranking
