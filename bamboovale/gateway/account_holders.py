"""Which VM keeps the account of each customer's quota, as this VM knows it.

A VM that the store rejects goes on until it hears that another one holds the partition:
its own reports, and those of the others, then go to the newer holder.
"""

import math
from typing import Protocol

from bamboovale.gateway.ownership import partition_of
from bamboovale.gateway.vm_state import VMState

ACCOUNT_PARTITION_DIVISOR = 4
"""Accounts use a number of partitions smaller by this factor, so that a VM reports to
few others."""


class Partitions(Protocol):
    """The partitions that this VM holds in the store."""

    def held_partitions(self) -> frozenset[int]:
        """Return the partitions that this VM holds."""


class AccountHolders:
    """The holders of accounts by customer; ``update`` follows the fleet."""

    def __init__(self, state: VMState, partitions: Partitions) -> None:
        self._state = state
        self._partitions = partitions
        self._holder_by_partition: dict[int, str | None] = {}
        self._known_at_by_partition: dict[int, float] = {}
        self._partition_by_customer: dict[str, int] = {}
        self._seen: object = None

    def update(self) -> None:
        """Look up the holders again, if anything changed."""
        fleet = self._state.fleet
        held = self._partitions.held_partitions()
        count = self._count()
        seen = (fleet.version, held, fleet.membership.own.partitions, count)
        if seen != self._seen:
            self._seen = seen
            self._partition_by_customer.clear()
            self._holder_by_partition = {
                partition: self._find_holder(partition, held)
                for partition in range(count)
            }
        now = self._state.now()
        for partition, holder in self._holder_by_partition.items():
            if holder is not None:
                self._known_at_by_partition[partition] = now

    def holder_of(self, customer: str) -> str | None:
        """Return the VM with a customer's account, None if unknown."""
        self.update()
        return self._holder_by_partition[self._partition_of(customer)]

    def is_own(self, customer: str) -> bool:
        """Return whether this VM keeps a customer's account."""
        return self.holder_of(customer) == self._state.node.name

    def lost_s(self, customer: str) -> float:
        """Return for how long no holder is known, infinite if none ever was."""
        if self.holder_of(customer) is not None:
            return 0.0
        partition = self._partition_of(customer)
        known_at = self._known_at_by_partition.get(partition, -math.inf)
        return self._state.now() - known_at

    def _find_holder(self, partition: int, held: frozenset[int]) -> str | None:
        fleet = self._state.fleet
        if partition not in held:
            return fleet.partition_holder(partition)
        return fleet.newer_holder(partition) or self._state.node.name

    def _partition_of(self, customer: str) -> int:
        partition = self._partition_by_customer.get(customer)
        if partition is None:
            partition = partition_of(f"quota/{customer}", self._count())
            self._partition_by_customer[customer] = partition
        return partition

    def _count(self) -> int:
        partitions = self._state.node.store_limits.partitions
        return max(1, partitions // ACCOUNT_PARTITION_DIVISOR)
