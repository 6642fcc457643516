"""Limit and load of one customer, and what its callers got."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboovale.decisions.usage_window import UsageWindow

WINDOW_S = 8.0
EXCESS = 0.1
TOLERANCE = 72_000.0


@dataclass(frozen=True)
class Limit:
    """The customer's limit in tokens."""

    rate_per_s: float
    burst: float

    def most_in_window(self) -> float:
        """Return what may run in any window."""
        allowed = self.rate_per_s * WINDOW_S + self.burst
        return allowed * (1 + EXCESS) + TOLERANCE


@dataclass
class Load:
    """Demand in tokens a second by time; requests of a mean size at random VMs.

    ``clump`` is the number of requests that arrive together, ``patience_s`` how long a
    caller waits for an answer.
    """

    demand_per_s: Callable[[float], float]
    request_tokens: float = 720.0
    large_tokens: float = 9_250.0
    large_share: float = 0.03
    clump: int = 1
    patience_s: float = 5.0

    def next_request(self, rng: random.Random) -> float:
        """Return the cost of a request."""
        is_large = rng.random() < self.large_share
        return self.large_tokens if is_large else self.request_tokens

    def gap_s(self, now: float, rng: random.Random) -> float:
        """Return the time until the next requests."""
        mean = (
            self.large_share * self.large_tokens
            + (1 - self.large_share) * self.request_tokens
        )
        per_s = self.demand_per_s(now) / (mean * self.clump)
        return rng.expovariate(max(1e-9, per_s))


@dataclass
class Outcome:
    """What the callers got: (time, cost) of each attempt, by decision.

    ``returned`` and ``refused_again`` are the attempts after ``Retry-After``.
    """

    admitted: list[tuple[float, float]] = field(default_factory=list)
    refused: list[tuple[float, float]] = field(default_factory=list)
    returned: list[tuple[float, float]] = field(default_factory=list)
    refused_again: list[tuple[float, float]] = field(default_factory=list)
    messages: int = 0

    def largest_window(self, since: float = 0.0) -> float:
        """Return the most that was admitted in any window that ends after a time."""
        largest = total = 0.0
        first = 0
        for at, cost in self.admitted:
            total += cost
            while self.admitted[first][0] <= at - WINDOW_S:
                total -= self.admitted[first][1]
                first += 1
            if at >= since:
                largest = max(largest, total)
        return largest

    def refused_share(self, start: float, end: float) -> float:
        """Return the share of the cost refused between two times."""
        refused = cost_between(self.refused, start, end)
        admitted = cost_between(self.admitted, start, end)
        return refused / (refused + admitted) if refused + admitted else 0.0

    def refused_again_share(self, start: float, end: float) -> float:
        """Return the share of the cost that returned between two times, refused."""
        returned = cost_between(self.returned, start, end)
        again = cost_between(self.refused_again, start, end)
        return again / returned if returned else 0.0

    def refused_within_limit(self, limit: Limit, start: float, end: float) -> float:
        """Return the share of the cost that one VM which knew all would admit as well.

        That VM counts the window alone, and what it would have admitted too.
        """
        window = UsageWindow(limit.rate_per_s, limit.burst, WINDOW_S, -WINDOW_S)
        refused = 0.0
        for at, cost, is_admitted in self._attempts():
            has_room = cost <= window.left(at)
            if is_admitted or has_room:
                window.spend(cost, at)
            if has_room and not is_admitted and start <= at < end:
                refused += cost
        return self._share_of_demand(refused, start, end)

    def refused_of_small_demand(self, limit: Limit, start: float, end: float) -> float:
        """Return the share of the cost refused while all that callers sent had room.

        What they sent is counted in windows, admitted or not.
        """
        window = UsageWindow(limit.rate_per_s, limit.burst, WINDOW_S, -WINDOW_S)
        refused = 0.0
        for at, cost, is_admitted in self._attempts():
            window.spend(cost, at)
            if window.left(at) >= 0.0 and not is_admitted and start <= at < end:
                refused += cost
        return self._share_of_demand(refused, start, end)

    def _attempts(self) -> list[tuple[float, float, bool]]:
        """Return time, cost and decision of all attempts, in order."""
        attempts = [(*attempt, True) for attempt in self.admitted]
        attempts += [(*attempt, False) for attempt in self.refused]
        return sorted(attempts)

    def _share_of_demand(self, cost: float, start: float, end: float) -> float:
        demand = cost_between(self.admitted, start, end)
        demand += cost_between(self.refused, start, end)
        return cost / demand if demand else 0.0


def cost_between(
    attempts: list[tuple[float, float]], start: float, end: float
) -> float:
    """Return the cost of the attempts between two times."""
    return sum(cost for at, cost in attempts if start <= at < end)
