"""The overlay of neighbours: bounded in degree and computed alike by every VM.

All VMs are placed on a few rings, on each in another pseudo-random order. A VM watches
its successor on each ring and is watched by its predecessor (as in Rapid: Suresh et
al., "Stable and Consistent Membership at Scale with Rapid", 2018). Gossip goes both
ways. The graph has a small diameter and stays connected when many VMs fail.
"""

import hashlib
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable

RINGS = 3
FULL_MESH_MAX_VMS = 10
"""Up to this size all VMs are neighbours of one another (full mesh)."""


class Rings:
    """The VMs of the fleet in the order of each ring."""

    def __init__(self) -> None:
        self._members: set[str] = set()
        self._rings: list[list[tuple[bytes, str]]] = [[] for _ in range(RINGS)]

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, vm_id: object) -> bool:
        return vm_id in self._members

    def __iter__(self) -> Iterable[str]:  # type: ignore[override]
        return iter(self._members)

    def add(self, vm_id: str) -> None:
        """Add a VM to every ring."""
        if vm_id in self._members:
            return
        self._members.add(vm_id)
        for number, ring in enumerate(self._rings):
            insort(ring, (_position(number, vm_id), vm_id))

    def remove(self, vm_id: str) -> None:
        """Remove a VM from every ring."""
        if vm_id not in self._members:
            return
        self._members.remove(vm_id)
        for number, ring in enumerate(self._rings):
            del ring[bisect_left(ring, (_position(number, vm_id), vm_id))]

    def watched_by(
        self,
        vm_id: str,
        is_excluded: Callable[[str], bool] = lambda vm_id: False,
        width: int = 1,
    ) -> set[str]:
        """Return the VMs that a VM watches: ``width`` successors on each ring."""
        return self._next(vm_id, 1, is_excluded, width)

    def neighbours(
        self,
        vm_id: str,
        is_excluded: Callable[[str], bool] = lambda vm_id: False,
        width: int = 1,
    ) -> set[str]:
        """Return ``width`` successors and predecessors of a VM on each ring."""
        successors = self._next(vm_id, 1, is_excluded, width)
        return successors | self._next(vm_id, -1, is_excluded, width)

    def _next(
        self,
        vm_id: str,
        step: int,
        is_excluded: Callable[[str], bool],
        width: int,
    ) -> set[str]:
        if len(self._members) <= FULL_MESH_MAX_VMS:
            return {v for v in self._members if v != vm_id and not is_excluded(v)}
        found: set[str] = set()
        for number, ring in enumerate(self._rings):
            at = bisect_left(ring, (_position(number, vm_id), vm_id))
            found.update(_next_on(ring, at, step, is_excluded, width))
        return found - {vm_id}


def _next_on(
    ring: list[tuple[bytes, str]],
    at: int,
    step: int,
    is_excluded: Callable[[str], bool],
    width: int,
) -> list[str]:
    found: list[str] = []
    for distance in range(1, len(ring)):
        vm_id = ring[(at + step * distance) % len(ring)][1]
        if not is_excluded(vm_id):
            found.append(vm_id)
        if len(found) == width:
            break
    return found


def _position(ring: int, vm_id: str) -> bytes:
    return hashlib.blake2b(f"{ring}\0{vm_id}".encode(), digest_size=8).digest()
