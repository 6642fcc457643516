"""Ordered candidates of an adapter among live engines, the same at every entry VM.

Load pattern: engines come and go, adapters number in the thousands. A shared table of
who serves what must be agreed and kept; random choice scatters an adapter over all
engines and each loads it. With rendezvous hashing every entry VM works out the same
order alone, and a lost engine moves only the adapters it had.

The order of an adapter costs one hash per engine of its base model (0.5 ms at 600)
and is kept for the adapters used last, so a decision looks at a handful of engines.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from heapq import nlargest

KEPT_ORDERS = 4096
"""About 1 MB; at 17,000 adapters the busiest quarter, nearly all of the requests."""
CANDIDATES = 8
"""Far more copies than one adapter of a skewed load has needed, few enough to scan."""


def score(key: str, member: str) -> int:
    """Return the weight of a member for a key, equal on every machine."""
    digest = hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def first_members(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the first members for a key, the best first, the same on every machine."""
    return nlargest(count, members, key=lambda name: score(key, name))


class RendezvousOrder:
    """Candidates by key over a changing set of members."""

    def __init__(self, members: Iterable[str] = ()) -> None:
        self.members = frozenset(members)
        self._order_by_key: OrderedDict[str, tuple[str, ...]] = OrderedDict()

    def set_members(self, members: Iterable[str]) -> None:
        """Take a new set of members; all orders are worked out again when needed."""
        changed = frozenset(members)
        if changed != self.members:
            self.members = changed
            self._order_by_key.clear()

    def candidates(self, key: str) -> tuple[str, ...]:
        """Return the first members for the key, the best first."""
        order = self._order_by_key.get(key)
        if order is None:
            order = tuple(
                nlargest(CANDIDATES, self.members, key=lambda name: score(key, name))
            )
            self._order_by_key[key] = order
            if len(self._order_by_key) > KEPT_ORDERS:
                self._order_by_key.popitem(last=False)
        else:
            self._order_by_key.move_to_end(key)
        return order
