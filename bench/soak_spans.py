"""When the faults of a soak were active."""

from dataclasses import dataclass


@dataclass(frozen=True)
class FaultSpan:
    """Interval in which a fault was active; ``subject`` is a VM, store or endpoint."""

    name: str
    subject: str
    started_at: float
    ended_at: float

    def overlaps(self, started_at: float, ended_at: float) -> bool:
        """Tell whether the fault was active at any time in the interval."""
        return self.started_at <= ended_at and started_at <= self.ended_at
