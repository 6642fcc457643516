"""Which VMs are neighbours: a bounded number each, the same in every VM's eyes.

All VMs stand on a few rings, on each in another pseudo-random order; each watches the
next behind it and is watched by the one before it (as in Rapid: Suresh et al., "Stable
and Consistent Membership at Scale with Rapid", 2018). News goes both ways. Between any
two VMs there are few steps, and the graph stays connected when a large part is gone.
"""

import hashlib
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable

RINGS = 3
ALL_LINKED_UP_TO = 10
"""VMs that are all neighbours of one another: few links, and news takes one step."""


class Rings:
    """The orders of a changing set of VMs."""

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
        """Put a VM on every ring."""
        if vm_id in self._members:
            return
        self._members.add(vm_id)
        for number, ring in enumerate(self._rings):
            insort(ring, (_position(number, vm_id), vm_id))

    def remove(self, vm_id: str) -> None:
        """Take a VM off every ring."""
        if vm_id not in self._members:
            return
        self._members.remove(vm_id)
        for number, ring in enumerate(self._rings):
            del ring[bisect_left(ring, (_position(number, vm_id), vm_id))]

    def watched_by(
        self,
        vm_id: str,
        passes_over: Callable[[str], bool] = lambda vm_id: False,
        width: int = 1,
    ) -> set[str]:
        """Return the next ``width`` VMs behind one on each ring."""
        return self._next(vm_id, 1, passes_over, width)

    def neighbours(
        self,
        vm_id: str,
        passes_over: Callable[[str], bool] = lambda vm_id: False,
        width: int = 1,
    ) -> set[str]:
        """Return the next ``width`` VMs on either side of one on each ring."""
        behind = self._next(vm_id, 1, passes_over, width)
        return behind | self._next(vm_id, -1, passes_over, width)

    def _next(
        self,
        vm_id: str,
        step: int,
        passes_over: Callable[[str], bool],
        width: int,
    ) -> set[str]:
        if len(self._members) <= ALL_LINKED_UP_TO:
            return {v for v in self._members if v != vm_id and not passes_over(v)}
        found: set[str] = set()
        for number, ring in enumerate(self._rings):
            at = bisect_left(ring, (_position(number, vm_id), vm_id))
            found.update(_next_on(ring, at, step, passes_over, width))
        return found - {vm_id}


def _next_on(
    ring: list[tuple[bytes, str]],
    at: int,
    step: int,
    passes_over: Callable[[str], bool],
    width: int,
) -> list[str]:
    found: list[str] = []
    for distance in range(1, len(ring)):
        vm_id = ring[(at + step * distance) % len(ring)][1]
        if not passes_over(vm_id):
            found.append(vm_id)
        if len(found) == width:
            break
    return found


def _position(ring: int, vm_id: str) -> bytes:
    return hashlib.blake2b(f"{ring}\0{vm_id}".encode(), digest_size=8).digest()
