"""What a VM believes of the limit of one endpoint, from answers and from other VMs.

An endpoint in need names a limit in its answers for as long as it holds. Answers
overtake one another: one to a request that was sent before the limit was last named may
have been made before it, so that it does not end the limit.

A change that a VM sees in an answer is numbered and told to the others, of whom each
goes by the highest number (a Lamport clock). Two VMs that see changes at once go by the
lower limit until the next answer.
"""

import math

SAME_SHARE = 0.1
"""Change of a limit, as a share of it, that is not worth telling."""


class LimitBelief:
    """The newest limit of one endpoint; no clock.

    ``told_per_s`` is the limit that other VMs know by ``number``.
    """

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.named_at = -math.inf
        self.told_per_s: float | None = None
        self.number = 0

    def on_answer(
        self, limit_per_s: float | None, sent_at: float, now: float, *, ends: bool
    ) -> bool:
        """Apply an answer; return whether the limit began, changed or ended.

        ``ends`` is whether an answer without a limit means that there is none.
        """
        if limit_per_s is None:
            if not ends or sent_at <= self.named_at:
                return False
        else:
            self.named_at = now
        self.limit_per_s = limit_per_s
        if _is_same(limit_per_s, self.told_per_s):
            return False
        self.told_per_s = limit_per_s
        self.number += 1
        return True

    def on_news(self, limit_per_s: float | None, number: int, now: float) -> bool:
        """Apply what another VM tells; return whether it is new."""
        is_same_time = number == self.number
        is_lower = _or_none_is_high(limit_per_s) < _or_none_is_high(self.told_per_s)
        if number < self.number or (is_same_time and not is_lower):
            return False
        self.number = number
        self.limit_per_s = self.told_per_s = limit_per_s
        if limit_per_s is not None:
            self.named_at = now
        return True


def _or_none_is_high(limit_per_s: float | None) -> float:
    return math.inf if limit_per_s is None else limit_per_s


def _is_same(limit_per_s: float | None, told_per_s: float | None) -> bool:
    if limit_per_s is None or told_per_s is None:
        return limit_per_s is told_per_s
    return abs(limit_per_s - told_per_s) <= SAME_SHARE * told_per_s
