"""Whether to ask the VM that grants places, after it did not answer in time.

Answers a granter that is overloaded, frozen or cut off: every call would wait for its
time-out before it is sent without a grant. After a time-out no call asks for a while,
then one does; the others ask again once it was answered.
"""

import math

FIRST_PAUSE_TIMEOUTS = 4.0
"""The first pause in multiples of the time-out: one late answer costs little."""
MAX_PAUSE_S = 2.0
"""By then another VM has taken over from one that was lost."""


class GranterBackOff:
    """The back-off from one service's granter; a new granter ends it."""

    def __init__(self) -> None:
        self._granter: str | None = None
        self._pause_s = 0.0
        self._ask_at = -math.inf
        self._trial_until = -math.inf

    @property
    def is_backing_off(self) -> bool:
        """Return whether the granter has not answered since its last time-out."""
        return self._pause_s > 0.0

    def may_ask(self, granter: str, now: float, timeout_s: float) -> bool:
        """Return whether a call that waits ``timeout_s`` for an answer may ask."""
        if granter != self._granter:
            self._granter = granter
            self._pause_s = 0.0
        if not self.is_backing_off:
            return True
        if now < max(self._ask_at, self._trial_until):
            return False
        self._trial_until = now + timeout_s
        return True

    def on_answer(self, granter: str) -> None:
        """End the back-off after an answer of the granter."""
        if granter == self._granter:
            self._pause_s = 0.0
            self._trial_until = -math.inf

    def on_timeout(self, granter: str, now: float, timeout_s: float) -> None:
        """Begin a pause, or double it, as the granter did not answer in time.

        Calls that asked before the current pause began do not prolong it.
        """
        if granter != self._granter or now < self._ask_at:
            return
        doubled_s = max(2.0 * self._pause_s, FIRST_PAUSE_TIMEOUTS * timeout_s)
        self._pause_s = min(MAX_PAUSE_S, doubled_s)
        self._ask_at = now + self._pause_s
