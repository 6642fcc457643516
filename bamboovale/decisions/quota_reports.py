"""Limits of quotas, and what entry VMs and the account of a quota tell each other."""

from dataclasses import dataclass
from typing import Protocol


class Limit(Protocol):
    """The limit of a customer, in the unit of its costs."""

    @property
    def rate_per_s(self) -> float:
        """Return the sustained rate."""

    @property
    def burst(self) -> float:
        """Return the size of the bucket."""


@dataclass(frozen=True)
class QuotaReport:
    """What a VM admitted of a customer since it started, repeated reports included.

    ``granted_for`` is the part of ``used`` that the last reply had taken into account,
    ``replied_s_ago`` the time since that reply, 0 if there was none. ``left``,
    ``weight``, ``early_use`` and ``sustained_per_s`` are those of that reply.
    """

    customer: str
    start: int
    used: float
    granted_for: float
    replied_s_ago: float
    demand_per_s: float
    left: float = 0.0
    weight: float = 0.0
    early_use: float = 0.0
    sustained_per_s: float = 0.0


@dataclass(frozen=True)
class QuotaGrant:
    """Reply to a report: what is ``left`` for the fleet and this VM's share of it.

    ``regained_per_s`` is the rate at which more is regained next, ``open_in_s`` after
    how long anything is left, ``is_ample`` whether the demand is far below the limit.
    ``used`` repeats that of the report. ``usual_per_s`` is the mean rate of what is
    admitted, ``early_use`` the use that drops out of the window during its next half,
    ``sustained_per_s`` the rate that can be used during that half.
    """

    customer: str
    left: float
    regained_per_s: float
    open_in_s: float
    is_ample: bool
    weight: float
    used: float
    usual_per_s: float = 0.0
    early_use: float = 0.0
    sustained_per_s: float = 0.0
