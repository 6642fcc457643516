"""Rendezvous hashing: the candidates of a key among members, equal at every VM.

Engines come and go, and adapters number in the thousands. A shared table of assignments
would need agreement, and random choice loads an adapter at every engine. With
rendezvous hashing every entry VM computes the same order, and a lost engine moves only
the adapters it had.

An order costs one hash per member and is cached for recently used keys.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Container, Iterable, Iterator
from heapq import nlargest
from itertools import islice

MAX_CACHED_ORDERS = 4096
"""Enough for the adapters that get nearly all requests, the busiest quarter of
17,000."""
CANDIDATES = 8
"""More than the copies that one adapter needs, few enough to scan."""


def score(key: str, member: str) -> int:
    """Return the weight of a member for a key, equal on every machine."""
    digest = hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def first_members(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the best members for a key, best first, equal on every machine."""
    return nlargest(count, members, key=lambda name: score(key, name))


class RendezvousOrder:
    """Cached candidates by key over a changing set of members.

    ``kept`` is the number of members that an order holds, None for all of them.
    """

    def __init__(
        self, members: Iterable[str] = (), kept: int | None = CANDIDATES
    ) -> None:
        self.members = frozenset(members)
        self._kept = kept
        self._order_by_key: OrderedDict[str, tuple[str, ...]] = OrderedDict()

    def set_members(self, members: Iterable[str]) -> None:
        """Set the members; cached orders are dropped if they change."""
        new_members = frozenset(members)
        if new_members != self.members:
            self.members = new_members
            self._order_by_key.clear()

    def candidates(self, key: str) -> tuple[str, ...]:
        """Return the best members for the key, best first."""
        order = self._order_by_key.get(key)
        if order is None:
            count = len(self.members) if self._kept is None else self._kept
            order = tuple(first_members(key, self.members, count))
            self._order_by_key[key] = order
            if len(self._order_by_key) > MAX_CACHED_ORDERS:
                self._order_by_key.popitem(last=False)
        else:
            self._order_by_key.move_to_end(key)
        return order

    def candidates_among(self, key: str, members: Container[str]) -> Iterator[str]:
        """Yield the best ``CANDIDATES`` of some members, best first.

        The order must hold all members. Guards against hashing all members again for
        each key when the ones that may be chosen differ from key to key.
        """
        listed = (name for name in self.candidates(key) if name in members)
        return islice(listed, CANDIDATES)
