"""Times of a VM's planned stop."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PlannedStop:
    """Times of a stop on the VM's clock, in seconds.

    ``started_at`` is when the VM was told to stop, ``ends_at`` when it cuts the answers
    that are not complete.
    """

    started_at: float
    ends_at: float
