"""What a VM believes of the limit of one endpoint, from answers.

An endpoint in need names a limit in its answers for as long as it holds. Answers
overtake one another: one to a request that was sent before the limit was last named may
have been made before it, so that it does not end the limit.
"""

import math

SAME_SHARE = 0.1
"""Change of a limit, as a share of it, that is not worth telling."""


class LimitBelief:
    """The newest limit of one endpoint; no clock."""

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.named_at = -math.inf
        self._told_per_s: float | None = None

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
        if _is_same(limit_per_s, self._told_per_s):
            return False
        self._told_per_s = limit_per_s
        return True


def _is_same(limit_per_s: float | None, told_per_s: float | None) -> bool:
    if limit_per_s is None or told_per_s is None:
        return limit_per_s is told_per_s
    return abs(limit_per_s - told_per_s) <= SAME_SHARE * told_per_s
