"""Customers of the configuration: their API keys, priorities and quotas."""

import hashlib
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto

_DIGEST_KEY = os.urandom(16)
"""Keys the digests of this process, so that API keys cannot be guessed from them."""


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = auto()
    TOKENS = auto()


@dataclass(frozen=True)
class Quota:
    """The limit of a customer over all entry VMs, as a token bucket.

    ``rate_per_s`` and ``burst`` are in ``unit``. A request without a token count costs
    ``uncounted_tokens`` where the unit is tokens.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    uncounted_tokens: float = 1.0

    def cost(self, tokens: int | None) -> float:
        """Return what a request with this token count, None if unknown, costs."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return self.uncounted_tokens if tokens is None else float(tokens)


@dataclass(frozen=True)
class Customer:
    """A customer; ``priority`` goes before that of a route, None if it has none.

    ``quota`` is None if the customer has no limit.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True)
class Customers:
    """All customers of one configuration and the holders of their API keys.

    Keys are kept as digests only, so that no dump or error text can contain them.
    """

    by_name: Mapping[str, Customer]
    _name_by_digest: Mapping[bytes, str] = field(repr=False)

    @classmethod
    def from_keys(
        cls,
        customers: tuple[Customer, ...],
        name_by_key: Mapping[bytes, str],
    ) -> "Customers":
        """Return customers with the name of the holder of each key."""
        return cls(
            {customer.name: customer for customer in customers},
            {_digest(key): name for key, name in name_by_key.items()},
        )

    def holder_of(self, key: bytes | None) -> Customer | None:
        """Return the customer that holds a key, None if nobody does."""
        if key is None:
            return None
        name = self._name_by_digest.get(_digest(key))
        return None if name is None else self.by_name[name]


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=16, key=_DIGEST_KEY).digest()
