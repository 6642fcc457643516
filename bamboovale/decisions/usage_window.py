"""What a customer has used in a sliding window, against its limit.

A limit of a rate and a burst allows ``rate * window + burst`` in any window. Counting
the window itself admits all of it; a token bucket of the same rate and burst would
refuse a demand that is uneven within the window although no window exceeds the limit.
"""

from collections import deque
from dataclasses import dataclass

SLICE_S = 0.25
"""Resolution of the window; use leaves it up to this much later than it could."""
RATE_SPAN_S = 0.5
"""Time for which the use that leaves the window next is averaged."""


@dataclass
class _Slice:
    """Use between ``started_at`` and the next slice.

    ``is_assumed`` is whether it was before this window was kept.
    """

    started_at: float
    used: float
    is_assumed: bool = False


class UsageWindow:
    """Use of one customer in the last ``window_s`` seconds; no clock.

    It begins as if the limit had been used up evenly: what was used before is not
    known, and a restart must not refill it.
    """

    def __init__(
        self, rate_per_s: float, burst: float, window_s: float, now: float
    ) -> None:
        self._window_s = window_s
        self._capacity = rate_per_s * window_s + burst
        self._slices: deque[_Slice] = deque()
        self._used = 0.0
        self.restore(self._capacity / 2, self._capacity / window_s, now, now)

    @property
    def capacity(self) -> float:
        """Return the most that can be left."""
        return self._capacity

    def set_limit(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the limit.

        Earlier use counts against a lower limit in proportion, so that a customer that
        was within its limit is not refused for a whole window.
        """
        self._expire(now)
        capacity = rate_per_s * self._window_s + burst
        if capacity < self._capacity:
            for part in self._slices:
                part.used *= capacity / self._capacity
            self._used *= capacity / self._capacity
        self._capacity = capacity

    def spend(self, amount: float, now: float) -> None:
        """Count use; a negative amount was given back."""
        self._expire(now)
        last = self._slices[-1] if self._slices else None
        if last is None or last.is_assumed or now - last.started_at >= SLICE_S:
            self._slices.append(_Slice(now, 0.0))
        self._slices[-1].used += amount
        self._used += amount

    def left(self, now: float) -> float:
        """Return what may still be used, below 0 if too much was."""
        self._expire(now)
        return self._capacity - self._used

    def early_use(self, now: float) -> float:
        """Return the use that drops out of the window during its next half."""
        self._expire(now)
        until = now + self._window_s / 2
        return sum(part.used for part in self._slices if self._leaves_at(part) <= until)

    def sustained_per_s(self, now: float) -> float:
        """Return the rate that can be used during the next half of the window."""
        free = self._capacity - self._used + self.early_use(now)
        return max(0.0, free) / (self._window_s / 2)

    def restore(
        self, early_use: float, sustained_per_s: float, at: float, now: float
    ) -> None:
        """Replace what is assumed of the use before this window was kept.

        The arguments are those of an earlier one at the time ``at``.
        """
        self._expire(now)
        known = [part for part in self._slices if not part.is_assumed]
        early_use = max(0.0, early_use)
        late_use = self._capacity - sustained_per_s * self._window_s / 2
        late_use = max(0.0, late_use)
        half = max(1, round(self._window_s / SLICE_S / 2))
        first = at - 2 * half * SLICE_S
        assumed = [
            _Slice(first + number * SLICE_S, use / half, is_assumed=True)
            for number, use in enumerate([early_use] * half + [late_use] * half)
        ]
        self._slices = deque(sorted(assumed + known, key=lambda part: part.started_at))
        self._used = sum(part.used for part in self._slices)
        self._expire(now)

    def regained_per_s(self, now: float) -> float:
        """Return the rate at which use leaves the window next."""
        self._expire(now)
        until = now + RATE_SPAN_S
        leaving = sum(
            part.used for part in self._slices if self._leaves_at(part) <= until
        )
        return max(0.0, leaving) / RATE_SPAN_S

    def credit(self, amount: float, now: float) -> None:
        """Do nothing: what was left is known from what is assumed of the use."""

    def open_in_s(self, now: float) -> float:
        """Return after how long anything is left, if nothing is used."""
        missing = -self.left(now)
        if missing < 0.0:
            return 0.0
        for part in self._slices:
            missing -= part.used
            if missing < 0.0:
                return max(0.0, self._leaves_at(part) - now)
        return self._window_s

    def _leaves_at(self, part: _Slice) -> float:
        return part.started_at + SLICE_S + self._window_s

    def _expire(self, now: float) -> None:
        while self._slices and self._leaves_at(self._slices[0]) <= now:
            self._used -= self._slices.popleft().used
