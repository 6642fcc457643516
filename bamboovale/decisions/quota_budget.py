"""The budget of a limit that is counted in sliding windows.

A limit of a rate and a burst allows ``rate * window + burst`` in any window. A token
bucket of the same rate and burst would refuse a lasting demand the part of the burst
that each window allows anew. Counting the window alone would admit all of it at once
and then nothing until it slides. So both hold: a bucket that regains the burst once a
window, and the window itself as the bound. The bucket holds a little more than the
burst, so that the start of a peak can use what the window allows; not much more, as
after a restart of all VMs nobody knows what was used at once.
"""

from bamboovale.decisions.usage_window import UsageWindow

RESERVE_S = 0.5
"""Seconds of the rate that the bucket holds beside the burst."""


class QuotaBudget:
    """What a customer may use now, over all VMs; no clock.

    It begins used up: what was used before is not known, and a restart must not refill
    it.
    """

    def __init__(
        self, rate_per_s: float, burst: float, window_s: float, now: float
    ) -> None:
        self._window_s = window_s
        self._window = UsageWindow(rate_per_s, burst, window_s, now)
        self._refilled_at = now
        self._in_bucket = 0.0
        self._regained_per_s = rate_per_s + burst / window_s
        self.capacity = burst + RESERVE_S * rate_per_s

    def set_limit(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the limit; a lower one applies at once."""
        self._refill(now)
        self._window.set_limit(rate_per_s, burst, now)
        self._regained_per_s = rate_per_s + burst / self._window_s
        self.capacity = burst + RESERVE_S * rate_per_s
        self._in_bucket = min(self._in_bucket, burst)

    def spend(self, amount: float, now: float) -> None:
        """Count use; a negative amount was given back."""
        self._refill(now)
        self._in_bucket -= amount
        self._window.spend(amount, now)

    def left(self, now: float) -> float:
        """Return what may be used, below 0 for a debt."""
        self._refill(now)
        return min(self._in_bucket, self._window.left(now))

    def regained_per_s(self, now: float) -> float:
        """Return the rate at which it is regained next."""
        if self._window.left(now) < self._in_bucket:
            return min(self._regained_per_s, self._window.regained_per_s(now))
        return self._regained_per_s

    def open_in_s(self, now: float) -> float:
        """Return after how long anything is left, if nothing is used."""
        self._refill(now)
        bucket_s = max(0.0, -self._in_bucket) / max(self._regained_per_s, 1e-9)
        return max(bucket_s, self._window.open_in_s(now))

    def early_use(self, now: float) -> float:
        """Return the use that drops out of the window during its next half."""
        return self._window.early_use(now)

    def sustained_per_s(self, now: float) -> float:
        """Return the rate that can be used during the next half of the window."""
        return self._window.sustained_per_s(now)

    def restore(
        self, early_use: float, sustained_per_s: float, at: float, now: float
    ) -> None:
        """Replace what is assumed of the use before; see ``UsageWindow.restore``."""
        self._window.restore(early_use, sustained_per_s, at, now)

    def credit(self, amount: float, now: float) -> None:
        """Add to the bucket what an earlier budget had left, or take it back."""
        self._refill(now)
        self._in_bucket = min(self.capacity, self._in_bucket + amount)

    def _refill(self, now: float) -> None:
        added = self._regained_per_s * max(0.0, now - self._refilled_at)
        most = max(self._in_bucket, self.capacity)
        self._in_bucket = min(most, self._in_bucket + added)
        self._refilled_at = now
