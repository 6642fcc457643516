"""One entry VM's view of which VMs are live or leaving."""

from collections.abc import Iterable

from bamboovale.models import VM, VMKind, VMState


class Membership:
    """An immutable view of the VM list and of the peers' states.

    ``draining_ids`` are entry VMs that announced a planned stop to their peers,
    possibly before the list shows it; ``unreachable_ids`` are entry VMs that send no
    status, and ``starting_ids`` are reachable ones that do not serve yet.
    """

    def __init__(
        self,
        vms: Iterable[VM] = (),
        draining_ids: frozenset[str] = frozenset(),
        unreachable_ids: frozenset[str] = frozenset(),
        starting_ids: frozenset[str] = frozenset(),
    ) -> None:
        self.vm_by_id = {vm.id: vm for vm in vms}
        self.draining_ids = draining_ids
        self.unreachable_ids = unreachable_ids
        self.starting_ids = starting_ids

    def states(self) -> tuple[frozenset[str], ...]:
        """Return the draining, unreachable and starting ids."""
        return self.draining_ids, self.unreachable_ids, self.starting_ids

    def listed_entry_vms(self) -> list[VM]:
        """Return every entry VM in the list, leaving or not."""
        return [vm for vm in self.vm_by_id.values() if vm.kind is VMKind.ENTRY]

    def usable_entry_vms(self) -> list[VM]:
        """Return the entry VMs that may receive callers and leases."""
        return [
            vm
            for vm in self.listed_entry_vms()
            if vm.state is VMState.LIVE
            and vm.id not in self.draining_ids
            and vm.id not in self.unreachable_ids
            and vm.id not in self.starting_ids
        ]

    def runners(self) -> list[VM]:
        """Return every runner in the list; a leaving one still needs a holder."""
        return [vm for vm in self.vm_by_id.values() if vm.kind is VMKind.RUNNER]

    def live_endpoints(self, pool: str) -> list[VM]:
        """Return the endpoints of a pool that may receive new requests."""
        return [
            vm
            for vm in self.vm_by_id.values()
            if vm.pool == pool and vm.state is VMState.LIVE
        ]

    def is_leaving(self, vm_id: str) -> bool:
        """Return whether a VM is leaving or no longer listed."""
        vm = self.vm_by_id.get(vm_id)
        return vm is None or vm.state is VMState.LEAVING

    def address_of(self, vm_id: str, use: str) -> tuple[str, int] | None:
        """Return the address of a VM's port (``callers``, ``peers``, ``http``)."""
        vm = self.vm_by_id.get(vm_id)
        if vm is None or use not in vm.ports:
            return None
        return vm.address, vm.ports[use]

    def with_changes(
        self,
        vms: Iterable[VM] | None = None,
        draining_ids: frozenset[str] | None = None,
        unreachable_ids: frozenset[str] | None = None,
        starting_ids: frozenset[str] | None = None,
    ) -> "Membership":
        """Return a copy with the given parts replaced."""
        return Membership(
            self.vm_by_id.values() if vms is None else vms,
            self.draining_ids if draining_ids is None else draining_ids,
            self.unreachable_ids if unreachable_ids is None else unreachable_ids,
            self.starting_ids if starting_ids is None else starting_ids,
        )
