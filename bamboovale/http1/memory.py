"""The memory that all clients of a process may hold together."""

import math
from collections.abc import Callable
from typing import Protocol

MIB = 1024 * 1024
MEMORY_SHARE = 0.25
"""Part of a machine's memory for what clients hold; the rest is the process's own."""
SETTLED_SHARE = 0.9
"""Part of the limit that is left after holders were cut, so that not each byte cuts."""


class Holder(Protocol):
    """One client's part: a connection, or a request for another VM."""

    def held_bytes(self) -> int:
        """Return the bytes that it holds, with those in the kernel."""

    def waits_for_client(self) -> bool:
        """Return whether it goes on only when its client sends or reads."""

    def shed(self) -> None:
        """End it at once, and let go of what it holds."""


class MemoryBudget:
    """Cuts the largest holders once all together hold more than the limit.

    Each client's part is bounded by the limits of its request; guards against a crowd
    whose parts together are more than the machine has. ``on_shed`` is told the bytes
    of each holder that is cut. ``releasing`` are those that were cut and have not let
    go of all; they add and remove themselves.
    """

    def __init__(
        self,
        limit_bytes: float = math.inf,
        on_shed: Callable[[int], None] = lambda held_bytes: None,
    ) -> None:
        self.limit_bytes = limit_bytes
        self._on_shed = on_shed
        self.releasing: set[Holder] = set()
        self._holders: set[Holder] = set()
        self._most_bytes = 0

    @classmethod
    def from_memory(
        cls, memory_mb: float, on_shed: Callable[[int], None]
    ) -> "MemoryBudget":
        """Return the budget of a process by the memory of its machine, in MiB."""
        return cls(int(memory_mb * MIB * MEMORY_SHARE), on_shed)

    def add(self, holder: Holder) -> None:
        """Count what a holder holds from now on."""
        self._holders.add(holder)

    def remove(self, holder: Holder) -> None:
        """Count a holder no longer."""
        self._holders.discard(holder)

    def grow(self, size: int) -> None:
        """Apply that holders took bytes; they are counted anew only when it matters.

        What they let go of is not told: the sum is an upper bound between two counts.
        """
        self._most_bytes += size
        if self._most_bytes > self.limit_bytes:
            self._settle()

    def held_bytes(self) -> int:
        """Return the bytes that all holders hold now."""
        return sum(holder.held_bytes() for holder in self._holders)

    def _settle(self) -> None:
        """Count anew, and cut the largest holders while there are too many bytes.

        Who waits for its client is cut before an equal one whose request is under way.
        """
        size_by_holder = {holder: holder.held_bytes() for holder in self._holders}

        def rank(holder: Holder) -> int:
            return size_by_holder[holder] * (2 if holder.waits_for_client() else 1)

        left = sum(size_by_holder.values())
        if left > self.limit_bytes:
            settled = SETTLED_SHARE * self.limit_bytes
            for holder in sorted(size_by_holder, key=rank, reverse=True):
                if left <= settled:
                    break
                left -= size_by_holder[holder]
                self._on_shed(size_by_holder[holder])
                holder.shed()
        self._most_bytes = left
