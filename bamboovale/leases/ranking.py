"""The entry VMs in the order in which they may take each lease."""

from bamboovale.decisions.assignment import LeaseAssignment
from bamboovale.leases.messages import WEIGHT_STORE, node_name
from bamboovale.views import Views


class LeaseRanking:
    """Ranks the usable entry VMs for each lease, as one VM sees them."""

    def __init__(self, own_id: str, views: Views) -> None:
        self._own_id = own_id
        self._views = views
        self._assignment = LeaseAssignment()

    def engines(self) -> list[str]:
        """Return everything that has a lease: the weight store and the engines."""
        runners = self._views.membership.runners()
        return [WEIGHT_STORE, *(runner.id for runner in runners)]

    def vms_in_order(self, engine: str) -> list[str]:
        """Return the VMs that may take a lease, the best first."""
        membership = self._views.membership
        domain_by_engine = {WEIGHT_STORE: ""}
        for runner in membership.runners():
            domain_by_engine[runner.id] = runner.failure_domain
        domain_by_engine.setdefault(engine, "")
        domain_by_vm = {
            vm.id: vm.failure_domain for vm in membership.usable_entry_vms()
        }
        return self._assignment.vms_in_order(engine, domain_by_engine, domain_by_vm)

    def own_rank(self, engine: str, expired_holder: str | None) -> int | None:
        """Return this VM's rank among the takers, None if it is not usable."""
        others = [vm for vm in self.vms_in_order(engine) if vm != expired_holder]
        if self._own_id in others:
            return others.index(self._own_id)
        return len(others) if self._own_id == expired_holder else None

    def successor(self, engine: str) -> str | None:
        """Return the node that is to hold a lease after this VM, None if unknown."""
        incarnation_by_vm = self._views.incarnation_by_vm
        for vm_id in self.vms_in_order(engine):
            if vm_id != self._own_id and vm_id in incarnation_by_vm:
                return node_name(vm_id, incarnation_by_vm[vm_id])
        return None
