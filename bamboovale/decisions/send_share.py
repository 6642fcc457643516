"""How many calls a VM sends by its own choice while a service's places are short.

Answers few endpoints before many VMs, while no VM grants their places or the granter
does not answer: each VM would send all its calls, the endpoints' queues fill, and
nearly all answers come late. A VM that sees a sign of this (an answer that took most of
its goal, a rejection by a full endpoint, a granter that refuses) sends no more than its
part of what the endpoints can run. The part doubles with each interval without a
further sign, so that a VM with many callers is limited only while places are short.
"""

import math
from dataclasses import dataclass

SLOW_GOALS = 0.6
"""Part of its goal from which an answer shows that calls wait at endpoints."""
WAITED_FACTOR = 2.0
"""Multiple of the usual time of a call from which it has waited at its endpoint."""
DOUBLING_S = 1.5
"""Time without a sign in which the part doubles."""
MIN_BURST = 2.0
"""Calls that may go out at once after an idle time, if the part of slots is less."""
SHORTER_WEIGHT = 0.25
LONGER_WEIGHT = 0.05
"""Weight of one call in the learned time: longer ones may have waited there."""


@dataclass(frozen=True)
class PoolSize:
    """The places of a service, and the VMs that send calls to them."""

    slots: int
    senders: int


class SendShare:
    """The part of one service's places that this VM uses by its own choice."""

    def __init__(self) -> None:
        self._call_s: float | None = None
        self._sign_at = -math.inf
        self._tokens = MIN_BURST
        self._filled_at = -math.inf

    def is_short(self, now: float) -> bool:
        """Return whether places were short within the last doubling."""
        return now < self._sign_at + DOUBLING_S

    def on_sign(self, now: float) -> None:
        """Note that places are short."""
        self._sign_at = now

    def on_answer(self, took_s: float, goal_s: float, now: float) -> None:
        """Learn the time of a call, and whether it waited at its endpoint."""
        known_s = took_s if self._call_s is None else self._call_s
        weight = SHORTER_WEIGHT if took_s < known_s else LONGER_WEIGHT
        self._call_s = known_s + weight * (took_s - known_s)
        if took_s > max(SLOW_GOALS * goal_s, WAITED_FACTOR * known_s):
            self.on_sign(now)

    def wait_s(self, pool: PoolSize, now: float) -> float:
        """Return when a call may go out, in seconds; 0 for at once."""
        rate_per_s = self._rate_per_s(pool, now)
        if math.isinf(rate_per_s):
            return 0.0
        burst = max(MIN_BURST, pool.slots / max(1, pool.senders))
        gained = rate_per_s * max(0.0, now - self._filled_at)
        self._tokens = min(burst, self._tokens + gained)
        self._filled_at = now
        return max(0.0, (1.0 - self._tokens) / rate_per_s)

    def take(self) -> None:
        """Count a call that goes out."""
        self._tokens = max(0.0, self._tokens - 1.0)

    def _rate_per_s(self, pool: PoolSize, now: float) -> float:
        """Return how many calls a second may go out, infinite without a limit."""
        doublings = (now - self._sign_at) / DOUBLING_S
        if self._call_s is None or doublings > math.log2(max(2, pool.senders)):
            return math.inf
        part_per_s = pool.slots / self._call_s / max(1, pool.senders)
        return max(1e-3, part_per_s * 2.0**doublings)
