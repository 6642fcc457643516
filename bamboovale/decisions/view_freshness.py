"""How long a VM may go by its view of the configuration: a lease on the view.

A key that was taken away must stop working everywhere within a bound, also at a VM that
is cut off, paused or slow and does not notice. So each VM keeps the latest moment of
which it can show that the store held nothing newer than its view, and refuses requests
with a key once that is longer ago than the bound. Times are of a clock that also counts
while the machine is suspended.
"""

import math

MARGIN_S = 0.25
"""Time before the bound at which a view no longer counts as fresh."""
OWN_READ_AFTER_S = 2.6
"""Age of the newest proof after which a VM that gets none reads the store itself."""


class ViewFreshness:
    """The newest proof of one VM; no sockets, no clock.

    ``bound_s`` is None while no bound is required, ``is_shared`` is true while VMs rely
    on one another's proofs. ``source`` names who gave the newest proof.
    """

    def __init__(self) -> None:
        self.bound_s: float | None = None
        self.is_shared = False
        self.proven_at = -math.inf
        self.source = ""

    def on_proof(self, proven_at: float, source: str) -> None:
        """Apply a proof that the view was the newest at a moment."""
        if proven_at > self.proven_at:
            self.proven_at = proven_at
            self.source = source

    def age_s(self, now: float) -> float:
        """Return the age of the newest proof, infinite without one."""
        return now - self.proven_at

    def is_fresh(self, now: float) -> bool:
        """Return whether keys may still be accepted by this view."""
        return self.bound_s is None or self.age_s(now) < self.bound_s - MARGIN_S

    def needs_own_read(self, now: float) -> bool:
        """Return whether others' proofs fail to come, so that a read is worth it."""
        return self.is_shared and self.age_s(now) > OWN_READ_AFTER_S
