"""Customers of a soak: keys that are added and taken away, and checks of their runs."""

import random
import time
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from bamboovale.standins.platform_endpoints import Run

REVOKE_S = 3.0
"""Longest time from the store's acknowledgement that a key was taken away until no
request sent with it runs, at any VM and under any fault, as configured."""
CLOCK_SLACK_S = 0.05
BOUNDS = {"strict-revoke": True, "revoke-ms": int(REVOKE_S * 1000)}
CUSTOMERS = ("agency-1", "agency-2")
KEYS_IN_USE = 2
OLD_KEY_SHARE = 0.15
"""Share of requests that are sent with a key that was taken away."""


@dataclass
class Keys:
    """The keys of the soak's customers; ``revoked_at`` is the store's answer."""

    in_use: dict[str, list[str]] = field(default_factory=dict)
    owner_by_key: dict[str, str] = field(default_factory=dict)
    revoked_at: dict[str, float] = field(default_factory=dict)
    _count: int = 0

    @classmethod
    def from_start(cls) -> "Keys":
        """Return customers with their first keys."""
        keys = cls()
        for customer in CUSTOMERS:
            keys.in_use[customer] = []
            for _ in range(KEYS_IN_USE):
                keys._add(customer)
        return keys

    def document(self) -> list[dict[str, Any]]:
        """Return the customers as the operator writes them."""
        return [
            {"name": customer, "api-keys": list(keys)}
            for customer, keys in self.in_use.items()
        ]

    def replace_oldest(self, customer: str) -> str:
        """Take away the oldest key of a customer and add one; return the oldest.

        The caller sets ``revoked_at`` once the store has acknowledged the change.
        """
        oldest = self.in_use[customer].pop(0)
        self._add(customer)
        return oldest

    def choose(self, rng: random.Random) -> str:
        """Return a key for a request, sometimes one that was taken away."""
        if self.revoked_at and rng.random() < OLD_KEY_SHARE:
            return rng.choice(list(self.revoked_at))
        return rng.choice(self.in_use[rng.choice(CUSTOMERS)])

    def _add(self, customer: str) -> None:
        self._count += 1
        key = f"soak-key-{self._count}-of-{customer}"
        self.in_use[customer].append(key)
        self.owner_by_key[key] = customer

    def note_revoked(self, key: str) -> None:
        """Record that the store has acknowledged that a key was taken away."""
        self.revoked_at[key] = time.monotonic()


def broken_by(
    key: str,
    sent_at: float,
    runs: Sequence[Run],
    revoked_at: Mapping[str, float],
    owner_by_key: Mapping[str, str],
) -> Iterator[tuple[str, str]]:
    """Return promise and detail of what the runs of one request break."""
    since_s = sent_at - revoked_at.get(key, sent_at)
    if runs and since_s > REVOKE_S + CLOCK_SLACK_S:
        yield "no revoked key", f"sent {since_s:.2f} s after its key was taken away"
    for run in runs:
        values = [value for _, value in run.headers]
        if any(key.encode() in value for value in values):
            yield "keys stay hidden", f"the key reached {run.target}"
        named = dict(run.headers).get(b"x-tenant", b"").decode()
        if named != owner_by_key[key]:
            yield "right customer", f"{named!r} in place of {owner_by_key[key]!r}"
