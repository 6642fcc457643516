"""The account of one customer's quota, kept by one entry VM for the whole fleet.

Answers the load of a customer whose requests arrive at many VMs at once. VMs admit
requests without asking and report afterwards; each reply divides what is left of the
customer's budget in proportion to demand (flow proportional share: Raghavan et al.,
"Cloud Control with Distributed Rate Limiting", 2007). A budget in debt is regained
before anything is admitted, so that late reports delay requests but admit no more.

VMs that are cut off go on at their last share for a while. The account counts that as
used until it hears of them again. An account that moves to another VM goes on from the
newest of the replies that its users had.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from bamboovale.decisions.quota_meter import (
    DEMAND_GROWTH,
    DEMAND_MEMORY_S,
    HOLD_S,
)
from bamboovale.decisions.quota_reports import QuotaGrant, QuotaReport

FORGET_AFTER_S = 30.0
"""Time without a report after which a VM's counts are dropped."""
NOTICE_INTERVAL_S = 0.4
"""Least time between two notices to all VMs."""
AMPLE_SHARE = 0.5
"""Part of the capacity from which the demand counts as far below the limit."""
REOPEN_SHARE = 0.1
"""Part of the capacity that must be left before a used up account is open again."""
MAX_RECALLED_AGE_S = 8.0
"""Age up to which a reply of an earlier holder of the account counts."""
USUAL_MEMORY_S = 20.0
"""Time constant of the mean of what is admitted: longer than most peaks."""
RECALL_PERIOD_S = 2.0
"""Time within which all VMs in use report to an account that has moved."""


class Budget(Protocol):
    """What a customer may use, over all VMs."""

    def set_limit(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the limit."""

    def spend(self, amount: float, now: float) -> None:
        """Count use; a negative amount was given back."""

    def left(self, now: float) -> float:
        """Return what may still be used, below 0 for a debt."""

    @property
    def capacity(self) -> float:
        """Return the most that can be left at once."""

    def regained_per_s(self, now: float) -> float:
        """Return the rate at which it is regained next."""

    def open_in_s(self, now: float) -> float:
        """Return after how long anything is left, if nothing is used."""

    def early_use(self, now: float) -> float:
        """Return the use that drops out of the window during its next half."""

    def sustained_per_s(self, now: float) -> float:
        """Return the rate that can be used during the next half of the window."""

    def restore(
        self, early_use: float, sustained_per_s: float, at: float, now: float
    ) -> None:
        """Replace what is assumed of the use before by what was known at a time."""

    def credit(self, amount: float, now: float) -> None:
        """Add what an earlier budget had left, or take it back."""


@dataclass
class _Reporter:
    """What one start of a VM last reported; times are of the account's clock.

    ``held_per_s`` is the rate at which it goes on without a reply, ``presumed`` what is
    charged for that until it reports again.
    """

    start: int
    used: float
    demand_per_s: float
    reported_at: float
    held_per_s: float = 0.0
    presumed: float = 0.0

    def faded_demand_per_s(self, now: float) -> float:
        """Return the demand, less the longer ago it was reported."""
        age_s = now - self.reported_at
        return self.demand_per_s * math.exp(-age_s / DEMAND_MEMORY_S)

    def held(self, now: float) -> float:
        """Return what it may have admitted at its last share since its report."""
        return self.held_per_s * min(HOLD_S, now - self.reported_at)


@dataclass(frozen=True)
class _Recalled:
    """The newest reply of an earlier account, and the demand at all VMs then."""

    replied_at: float
    left: float
    demand_per_s: float


class QuotaAccount:
    """The budget of one customer and the VMs that use it; no sockets, no clock."""

    def __init__(self, customer: str, budget: Budget, now: float) -> None:
        self._customer = customer
        self._budget = budget
        self._began_at = now
        self._charged = 0.0
        self._recalled: _Recalled | None = None
        self._credited = 0.0
        self._recent_use = 0.0
        self._recent_at = now
        self._is_open = False
        self._noticed_at = now
        self._reporter_by_vm: dict[str, _Reporter] = {}

    def set_limit(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the limit."""
        self._budget.set_limit(rate_per_s, burst, now)

    def on_report(self, vm_id: str, report: QuotaReport, now: float) -> QuotaGrant:
        """Charge what a VM admitted, and return its share of what is left."""
        known = self._reporter_by_vm.get(vm_id)
        if known is not None and known.start == report.start:
            charge = report.used - known.used
        else:
            self._recall(report, now)
            charge = report.used - report.granted_for
        self._charged += charge
        self._recent_use = self._recent_use_at(now) + charge
        self._recent_at = now
        presumed = known.presumed if known is not None else 0.0
        self._budget.spend(charge - presumed, now)
        reporter = _Reporter(report.start, report.used, report.demand_per_s, now)
        self._reporter_by_vm[vm_id] = reporter
        self._credit_recalled(now)
        grant = self._grant(reporter, self._demand_per_s(now), now)
        rate_per_s = min(grant.regained_per_s, grant.sustained_per_s) * grant.weight
        reporter.held_per_s = min(rate_per_s, DEMAND_GROWTH * report.demand_per_s)
        return grant

    def _recall(self, report: QuotaReport, now: float) -> None:
        """Keep the newest reply that a VM had of an earlier account."""
        if not 0.0 < report.replied_s_ago <= MAX_RECALLED_AGE_S or report.weight <= 0.0:
            return
        replied_at = now - report.replied_s_ago
        if self._recalled is None or replied_at > self._recalled.replied_at:
            demand_per_s = report.demand_per_s / report.weight
            self._recalled = _Recalled(replied_at, report.left, demand_per_s)
            self._budget.restore(
                report.early_use, report.sustained_per_s, replied_at, now
            )

    def _credit_recalled(self, now: float) -> None:
        """Go on from what the newest reply of an earlier account left.

        What was regained since is credited as VMs report what they admitted since.
        """
        if self._recalled is None or now - self._began_at > RECALL_PERIOD_S:
            return
        heard = self._reported_demand_per_s(now) / max(
            1e-9, self._recalled_demand_per_s(now)
        )
        gap_s = self._began_at - self._recalled.replied_at
        regained = gap_s * self._budget.regained_per_s(now) * min(1.0, heard)
        credit = self._recalled.left + regained
        self._budget.credit(credit - self._credited, now)
        self._credited = credit

    def presume_use(self, is_live: Callable[[str], bool], now: float) -> None:
        """Count what VMs that are not reached may admit at their last share."""
        for vm_id, reporter in self._reporter_by_vm.items():
            if is_live(vm_id):
                continue
            held = reporter.held(now)
            self._budget.spend(held - reporter.presumed, now)
            reporter.presumed = held

    def due_notices(self, now: float) -> dict[str, tuple[int, QuotaGrant]]:
        """Return start and grant of VMs that have not asked, once the account turned.

        Guards against VMs that rarely see the customer and go by a reply from before it
        was used up, or from before the debt was regained.
        """
        if now - self._noticed_at < NOTICE_INTERVAL_S:
            return {}
        is_open = self._is_open_at(now)
        if is_open == self._is_open:
            return {}
        self._is_open = is_open
        self._noticed_at = now
        total_per_s = self._demand_per_s(now)
        return {
            vm_id: (reporter.start, self._grant(reporter, total_per_s, now))
            for vm_id, reporter in self._reporter_by_vm.items()
        }

    def summary(self, now: float) -> dict[str, float | bool | int]:
        """Return the state of the account for the log."""
        return {
            "open": self._is_open,
            "left": round(self.left(now), 1),
            "charged": round(self._charged, 1),
            "demand_per_s": round(self._demand_per_s(now), 1),
            "vms": len(self._reporter_by_vm),
        }

    def left(self, now: float) -> float:
        """Return what is left, below 0 for a debt."""
        return self._budget.left(now)

    def _grant(self, reporter: _Reporter, total_per_s: float, now: float) -> QuotaGrant:
        demand_per_s = reporter.faded_demand_per_s(now)
        return QuotaGrant(
            customer=self._customer,
            left=self._budget.left(now),
            regained_per_s=self._budget.regained_per_s(now),
            open_in_s=self._budget.open_in_s(now),
            is_ample=self._budget.left(now) >= AMPLE_SHARE * self._budget.capacity,
            weight=demand_per_s / total_per_s if total_per_s > 0.0 else 0.0,
            used=reporter.used,
            usual_per_s=self._usual_per_s(now),
            early_use=self._budget.early_use(now),
            sustained_per_s=self._budget.sustained_per_s(now),
        )

    def _recent_use_at(self, now: float) -> float:
        age_s = now - self._recent_at
        return self._recent_use * math.exp(-age_s / USUAL_MEMORY_S)

    def _usual_per_s(self, now: float) -> float:
        """Return the mean rate of what was admitted lately."""
        seen_share = 1.0 - math.exp(-(now - self._began_at) / USUAL_MEMORY_S)
        mean_s = max(1.0, USUAL_MEMORY_S * seen_share)
        return self._recent_use_at(now) / mean_s

    def _is_open_at(self, now: float) -> bool:
        """Return whether anything is left, a little more once it was used up."""
        needed = 0.0 if self._is_open else REOPEN_SHARE * self._budget.capacity
        return self._budget.left(now) > needed

    def _demand_per_s(self, now: float) -> float:
        """Return the demand at all VMs; that of a silent VM fades."""
        total = 0.0
        for vm_id, reporter in list(self._reporter_by_vm.items()):
            age_s = now - reporter.reported_at
            if age_s > FORGET_AFTER_S:
                del self._reporter_by_vm[vm_id]
            else:
                total += reporter.faded_demand_per_s(now)
        return max(total, self._recalled_demand_per_s(now))

    def _recalled_demand_per_s(self, now: float) -> float:
        """Return the demand at all VMs under the earlier account, less with time."""
        if self._recalled is None:
            return 0.0
        age_s = now - self._began_at
        return self._recalled.demand_per_s * math.exp(-age_s / DEMAND_MEMORY_S)

    def _reported_demand_per_s(self, now: float) -> float:
        """Return the demand at the VMs that have reported."""
        return sum(
            reporter.faded_demand_per_s(now)
            for reporter in self._reporter_by_vm.values()
        )
