"""When the refused requests of one customer may return to one entry VM's share.

Answers the load of a customer that sends several times its limit: callers that are
told the same short time return together, are refused again and crowd out new requests.
Each is given a different time, at the rate that the customer's usual demand leaves
free. The further the demand is above the limit, the later the first of these times, as
a request that returns meanwhile has little chance. No time is kept for a caller that
will have given up by then.
"""

import math
import random
from dataclasses import dataclass

LEAST_SPARE_SHARE = 0.1
"""Least part of the rate at which refused requests may return."""


@dataclass(frozen=True)
class ReturnTerms:
    """What a VM knows when it refuses a request; times in seconds.

    ``opens_in_s`` is when the budget has room, ``spare_per_s`` the rate at this VM that
    usual demand leaves free, ``crowding`` the demand as a multiple of the limit,
    ``patience_s`` how long the caller waits.
    """

    opens_in_s: float
    spare_per_s: float
    crowding: float
    patience_s: float


class ReturnQueue:
    """Times promised to refused requests; no clock."""

    def __init__(self) -> None:
        self._promised_until = -math.inf

    def wait_s(
        self, cost: float, terms: ReturnTerms, now: float, rng: random.Random
    ) -> float:
        """Return after how long a refused request may return."""
        chance = 1.0 / max(1.0, terms.crowding)
        crowded_s = terms.patience_s * (1.0 - chance**2)
        begins_at = now + max(terms.opens_in_s, crowded_s)
        begins_at = max(begins_at, self._promised_until)
        interval_s = cost / max(terms.spare_per_s, 1e-9)
        # The queues of many VMs begin at the same time; their callers must not.
        wait_s = begins_at - now + rng.random() * interval_s
        if wait_s <= terms.patience_s:
            self._promised_until = begins_at + interval_s
        return wait_s
