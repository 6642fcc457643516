"""The account of one customer's quota, kept by one entry VM for the whole fleet.

Answers the load of a customer whose requests arrive at many VMs at once. The account is
a token bucket. VMs admit requests without asking and report afterwards; each reply
divides what is left in proportion to demand (flow proportional share: Raghavan et al.,
"Cloud Control with Distributed Rate Limiting", 2007). A bucket in debt is paid back
before anything is admitted, so that late reports delay requests but admit no more.
"""

import math
from dataclasses import dataclass

from bamboovale.decisions.quota_meter import DEMAND_MEMORY_S, QuotaGrant, QuotaReport

FORGET_AFTER_S = 30.0
"""Time without a report after which a VM's counts are dropped."""
NOTICE_INTERVAL_S = 0.4
REOPEN_S = 0.1
"""Seconds of the rate that are left before a used up account counts as open again."""
MAX_DEBT_S = 8.0
"""Limit of the debt, in seconds of the rate: a customer is not refused for longer."""


@dataclass
class _Reporter:
    """What one start of a VM last reported; times are of the account's clock."""

    start: int
    used: float
    demand_per_s: float
    reported_at: float

    def faded_demand_per_s(self, now: float) -> float:
        """Return the demand, less the longer ago it was reported."""
        age_s = now - self.reported_at
        return self.demand_per_s * math.exp(-age_s / DEMAND_MEMORY_S)


class QuotaAccount:
    """The bucket of one customer; no sockets, no clock.

    It begins empty: what a lost account had left is not known, and a restart of all
    VMs must not refill it.
    """

    def __init__(
        self, customer: str, rate_per_s: float, burst: float, now: float
    ) -> None:
        self._customer = customer
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = 0.0
        self._charged = 0.0
        self._refilled_at = now
        self._is_open = False
        self._noticed_at = now
        self._reporter_by_vm: dict[str, _Reporter] = {}

    def set_limit(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the limit; a lower burst takes effect at once."""
        self._refill(now)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, burst)

    def on_report(self, vm_id: str, report: QuotaReport, now: float) -> QuotaGrant:
        """Charge what a VM admitted, and return its share of what is left."""
        self._refill(now)
        before = self._level
        known = self._reporter_by_vm.get(vm_id)
        is_same = known is not None and known.start == report.start
        if known is not None and is_same:
            self._level -= report.used - known.used
        else:
            uncounted = report.used - report.granted_for - report.covered
            self._level -= max(0.0, uncounted)
        self._charged += before - self._level
        self._level = max(self._level, -MAX_DEBT_S * self._rate_per_s)
        self._reporter_by_vm[vm_id] = _Reporter(
            report.start, report.used, report.demand_per_s, now
        )
        return self._grant(report.demand_per_s, report.used, self._demand_per_s(now))

    def due_notices(self, now: float) -> dict[str, tuple[int, QuotaGrant]]:
        """Return start and grant of VMs that have not asked, once the account turned.

        Guards against VMs that rarely see the customer and go by a reply from before it
        was used up, or from before the debt was paid.
        """
        self._refill(now)
        is_open = self._level > (0.0 if self._is_open else REOPEN_S * self._rate_per_s)
        if is_open == self._is_open or now - self._noticed_at < NOTICE_INTERVAL_S:
            return {}
        self._is_open = is_open
        self._noticed_at = now
        total_per_s = self._demand_per_s(now)
        return {
            vm_id: (
                reporter.start,
                self._grant(
                    reporter.faded_demand_per_s(now), reporter.used, total_per_s
                ),
            )
            for vm_id, reporter in self._reporter_by_vm.items()
        }

    def _grant(
        self, demand_per_s: float, used: float, total_per_s: float
    ) -> QuotaGrant:
        weight = demand_per_s / total_per_s if total_per_s > 0.0 else 0.0
        return QuotaGrant(self._customer, self._level, weight, used)

    def summary(self, now: float) -> dict[str, float | bool | int]:
        """Return the state of the account for the log."""
        return {
            "open": self._is_open,
            "level": round(self.level(now), 1),
            "charged": round(self._charged, 1),
            "demand_per_s": round(self._demand_per_s(now), 1),
            "vms": len(self._reporter_by_vm),
        }

    def level(self, now: float) -> float:
        """Return what is left, below 0 for a debt."""
        self._refill(now)
        return self._level

    def _demand_per_s(self, now: float) -> float:
        """Return the demand at all VMs; that of a silent VM fades."""
        total = 0.0
        for vm_id, reporter in list(self._reporter_by_vm.items()):
            age_s = now - reporter.reported_at
            if age_s > FORGET_AFTER_S:
                del self._reporter_by_vm[vm_id]
            else:
                total += reporter.faded_demand_per_s(now)
        return total

    def _refill(self, now: float) -> None:
        added = self._rate_per_s * max(0.0, now - self._refilled_at)
        self._level = min(self._burst, self._level + added)
        self._refilled_at = now
