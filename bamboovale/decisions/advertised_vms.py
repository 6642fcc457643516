"""Which entry VMs are named to callers.

Load pattern: hundreds of small VMs before some sixty engines, each VM with a few
requests a second. If callers spread over all of them, hardly any request finds a
connection to its engine that another request has opened, and every VM must be told how
busy every engine is, so that each is told seldom and chooses by old news.

Named are the first VMs of a weighted rendezvous order in each failure domain, larger
ones more often: the same at every VM, and as VMs come and go hardly any other moves. A
share of the fleet that grows with it, and at least so many that the loss of some is
borne. VMs that are busy say so; while many of those named do, twice as many are.
"""

import hashlib
import math
from collections.abc import Sequence
from dataclasses import dataclass

LEAST_NAMED = 24
"""Up to so many VMs all are named."""
NAMED_SHARE = 0.2
"""Of a larger fleet."""
LEAST_NEAR = 4
"""In each failure domain, as far as there are so many."""
BUSY_SHARE = 0.25
"""Of those named; more of them busy, and twice as many are named."""


@dataclass(frozen=True)
class Candidate:
    """A VM that may be named; ``cores`` is its share of processor time."""

    vm_id: str
    cores: float
    is_busy: bool = False


def advertised_in_domain(candidates: Sequence[Candidate], fleet_size: int) -> list[str]:
    """Return the VMs of one failure domain to name to callers.

    ``fleet_size`` counts the candidates of all failure domains.
    """
    if fleet_size <= LEAST_NAMED:
        return [candidate.vm_id for candidate in candidates]
    total = max(LEAST_NAMED, NAMED_SHARE * fleet_size)
    count = max(LEAST_NEAR, math.ceil(total * len(candidates) / fleet_size))
    order = sorted(candidates, key=_rank)
    while count < len(order):
        busy = sum(candidate.is_busy for candidate in order[:count])
        if busy <= BUSY_SHARE * count:
            break
        count *= 2
    return [candidate.vm_id for candidate in order[:count]]


def _rank(candidate: Candidate) -> float:
    """Return a place in the order; the chance of an early one grows with the cores."""
    digest = hashlib.blake2b(candidate.vm_id.encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / (2**64 + 1)
    return -math.log(uniform) / max(0.01, candidate.cores)
