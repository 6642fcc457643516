"""Selects the entry VMs that are advertised to callers.

If the callers of a large fleet spread over all its VMs, hardly any request finds an
open connection to its engine, and every VM needs frequent statuses of every engine.

Each failure domain advertises the first VMs of a weighted rendezvous order, larger VMs
more often. The order is the same at every VM and changes little as VMs come and go. The
number grows with the fleet and is large enough to survive the loss of some. While many
of the advertised VMs are busy, twice as many are advertised.
"""

import hashlib
import math
from collections.abc import Sequence
from dataclasses import dataclass

MIN_ADVERTISED = 24
"""A fleet of at most this size is advertised as a whole."""
ADVERTISED_SHARE = 0.2
"""Advertised share of a larger fleet."""
MIN_PER_DOMAIN = 4
"""Least number in each failure domain that has as many VMs."""
BUSY_SHARE = 0.25
"""Share of busy VMs above which twice as many are advertised."""


@dataclass(frozen=True)
class Candidate:
    """A VM that may be advertised; ``cores`` is its share of processor time."""

    vm_id: str
    cores: float
    is_busy: bool = False


def advertised_count(fleet_size: int) -> int:
    """Return how many VMs of a fleet are advertised while few are busy."""
    if fleet_size <= MIN_ADVERTISED:
        return fleet_size
    return math.ceil(max(MIN_ADVERTISED, ADVERTISED_SHARE * fleet_size))


def advertised_in_domain(candidates: Sequence[Candidate], fleet_size: int) -> list[str]:
    """Return the advertised VMs of one failure domain.

    ``fleet_size`` counts the candidates of all failure domains.
    """
    if fleet_size <= MIN_ADVERTISED:
        return [candidate.vm_id for candidate in candidates]
    total = advertised_count(fleet_size)
    count = max(MIN_PER_DOMAIN, math.ceil(total * len(candidates) / fleet_size))
    order = sorted(candidates, key=_rank)
    while count < len(order):
        busy = sum(candidate.is_busy for candidate in order[:count])
        if busy <= BUSY_SHARE * count:
            break
        count *= 2
    return [candidate.vm_id for candidate in order[:count]]


def _rank(candidate: Candidate) -> float:
    """Return a sort key; more cores make a low one more likely."""
    digest = hashlib.blake2b(candidate.vm_id.encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / (2**64 + 1)
    return -math.log(uniform) / max(0.01, candidate.cores)
