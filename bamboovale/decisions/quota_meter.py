"""What one entry VM may admit of each customer's quota, without asking first.

A VM spends from a local allowance, a share of the customer's account (see
``quota_account``), and reports what it admitted; the next reply accounts for what was
overdrawn.
"""

import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from bamboovale.decisions.quota_reports import Limit, QuotaGrant, QuotaReport
from bamboovale.decisions.return_queue import (
    LEAST_SPARE_SHARE,
    ReturnQueue,
    ReturnTerms,
)

DEMAND_MEMORY_S = 2.0
"""Time constant of the mean demand."""
REPORT_INTERVAL_S = 0.5
EARLY_REPORT_INTERVAL_S = 0.2
"""Interval of reports while an allowance is nearly used up."""
URGENT_REPORT_INTERVAL_S = 0.05
"""The same once it is used up although the account has more."""
REPLY_TIMEOUT_S = 0.5
"""Time after which a report without a reply is repeated."""
CUSHION_SHARE = 0.125
"""Share of what is left that one VM may overdraw until the reply to its report: a
large request must not cause the refusal of those after it far below the limit."""
ALLOWED_SHARE = 0.5
"""Share of what is left in the account that the VMs may spend before they report:
replies to other VMs are based on the same sum."""
LEASE_S = 1.0
"""Time for which a share of the rate holds without a new reply."""
HOLD_S = 4.0
"""Time for which a VM without replies goes on at its last share: longer than another VM
needs to take over the account."""
DEMAND_GROWTH = 1.2
"""Growth of the demand that a VM without replies follows."""
ALONE_SHARE = 0.05
"""Share of the rate for all VMs that have lost their account, so that two halves of a
partitioned fleet stay near the limit."""
STARTING_S = 6.0
"""Time after a start in which a VM that knows no account has an equal part of the
rate."""
STARTING_BURST_S = 1.0
"""Seconds of that part that it may save up."""
FIRST_ALLOWANCE = 1e-6
"""Just enough to admit the first request of a customer."""
MIN_RETRY_S = 0.25
MAX_RETRY_S = 30.0
DEFAULT_PATIENCE_S = 10.0
"""Time that a caller is assumed to wait if it is not known."""


@dataclass
class _Meter:
    """Counts and allowance of one customer; times are of the VM's clock."""

    customer: str
    limit: Limit
    updated_at: float
    allowance: float = FIRST_ALLOWANCE
    granted: float = 0.0
    left: float = 0.0
    regained_per_s: float = 0.0
    opens_at: float = -math.inf
    is_ample: bool = False
    granted_at: float = -math.inf
    weight: float | None = None
    granted_demand_per_s: float = 0.0
    used: float = 0.0
    granted_for: float = 0.0
    demand_per_s: float = 0.0
    reported_at: float = -math.inf
    awaits_reply: bool = False
    asked_at: float = -math.inf
    has_news: bool = False
    usual_per_s: float = 0.0
    early_use: float = 0.0
    sustained_per_s: float = 0.0
    returns: ReturnQueue = field(default_factory=ReturnQueue)


class QuotaMeter:
    """The allowances of one VM by customer; no sockets, no clock.

    ``start`` tells the starts of this VM apart. ``fleet_size`` is the number of VMs
    that callers are sent to, which share a quota while no account is known;
    ``account_lost_s`` returns for how long a customer's account has had no known
    holder, infinite if it never had one since the start.
    """

    def __init__(
        self,
        start: int,
        now: float,
        rng: random.Random,
        account_lost_s: Callable[[str], float],
    ) -> None:
        self.fleet_size = 1
        self.start = start
        self._started_at = now
        self._rng = rng
        self._account_lost_s = account_lost_s
        self._limit_by_customer: Mapping[str, Limit] = {}
        self._meter_by_customer: dict[str, _Meter] = {}

    def set_limits(self, limit_by_customer: Mapping[str, Limit], now: float) -> None:
        """Apply a configuration; customers without a limit are not listed."""
        self._limit_by_customer = limit_by_customer
        for customer, meter in list(self._meter_by_customer.items()):
            limit = limit_by_customer.get(customer)
            if limit is None:
                del self._meter_by_customer[customer]
                continue
            self._refill(meter, now)
            meter.limit = limit
            meter.allowance = min(meter.allowance, self._most(meter))

    def take(
        self,
        customer: str,
        cost: float,
        now: float,
        patience_s: float = DEFAULT_PATIENCE_S,
    ) -> float | None:
        """Admit a request; else return the seconds after which to try again.

        ``patience_s`` is how long its caller waits.
        """
        limit = self._limit_by_customer.get(customer)
        if limit is None:
            return None
        meter = self._meter_by_customer.get(customer)
        if meter is None:
            meter = _Meter(customer, limit, now)
            if self._account_lost_s(customer) > 0.0:
                saved_s = min(STARTING_BURST_S, now - self._started_at)
                meter.allowance = saved_s * self._rate_per_s(meter, now)
            self._meter_by_customer[customer] = meter
        self._refill(meter, now)
        meter.demand_per_s += cost / DEMAND_MEMORY_S
        meter.has_news = True
        if not self._may_spend(meter, cost, now):
            return self._retry_s(meter, cost, now, patience_s)
        meter.used += cost
        return None

    def _retry_s(
        self, meter: _Meter, cost: float, now: float, patience_s: float
    ) -> float:
        """Return after how long a refused request may return."""
        rate_per_s = meter.limit.rate_per_s
        weight = 1 / max(1, self.fleet_size) if meter.weight is None else meter.weight
        most_per_s = rate_per_s
        if meter.weight is not None:
            most_per_s = min(rate_per_s, meter.sustained_per_s)
        spare_per_s = most_per_s - meter.usual_per_s
        terms = ReturnTerms(
            opens_in_s=max(MIN_RETRY_S, meter.opens_at - now),
            spare_per_s=weight * max(spare_per_s, LEAST_SPARE_SHARE * rate_per_s),
            crowding=meter.demand_per_s / max(1e-9, weight * rate_per_s),
            patience_s=patience_s,
        )
        return min(MAX_RETRY_S, meter.returns.wait_s(cost, terms, now, self._rng))

    def _may_spend(self, meter: _Meter, cost: float, now: float) -> bool:
        """Spend the cost of a request if the allowance admits it.

        The last request may overdraw the allowance, as one may be worth more than this
        VM's share.
        """
        is_lost = self._account_lost_s(meter.customer) > HOLD_S
        if meter.weight is None and is_lost:
            return self._spend_by_chance(meter, cost)
        if self._is_held(meter, now) and not meter.is_ample:
            return self._spend_by_chance(meter, cost)
        if meter.allowance <= -self._cushion(meter, now):
            return False
        meter.allowance -= cost
        return True

    def _spend_by_chance(self, meter: _Meter, cost: float) -> bool:
        """Admit a request in as many cases as the allowance is a part of its cost.

        Guards against a restart of all VMs, or the loss of an account near the limit,
        when each VM would overdraw by a request. The allowance is spent on the chance,
        whether it is admitted or not.
        """
        is_admitted = self._rng.random() * cost < meter.allowance
        meter.allowance = max(0.0, meter.allowance - cost)
        return is_admitted

    def give_back(self, customer: str, cost: float, now: float) -> None:
        """Return the cost of an admitted request that did not run."""
        meter = self._meter_by_customer.get(customer)
        if meter is not None:
            meter.allowance += cost
            meter.used -= cost
            meter.has_news = True

    def due_reports(self, now: float) -> list[QuotaReport]:
        """Return the reports to send now, and mark them as sent."""
        due = []
        for customer, meter in self._meter_by_customer.items():
            if not self._is_due(meter, now):
                continue
            self._refill(meter, now)
            meter.reported_at = now
            if not meter.awaits_reply:
                meter.asked_at = now
            meter.awaits_reply = True
            meter.has_news = False
            due.append(
                QuotaReport(
                    customer,
                    self.start,
                    meter.used,
                    meter.granted_for,
                    0.0 if meter.weight is None else now - meter.granted_at,
                    meter.demand_per_s,
                    meter.left,
                    meter.weight or 0.0,
                    meter.early_use,
                    meter.sustained_per_s,
                )
            )
        return due

    def report_anew(self, customer: str) -> None:
        """Report at once, as another VM keeps the account now.

        Guards against refusals by an old reply: the new holder tells only VMs that have
        reported to it that the account is open again.
        """
        meter = self._meter_by_customer.get(customer)
        if meter is not None and meter.weight is not None:
            meter.has_news = True
            meter.awaits_reply = False
            meter.reported_at = -math.inf

    def wants_report(self, customer: str, now: float) -> bool:
        """Return whether a report of this customer is due before the next interval."""
        meter = self._meter_by_customer.get(customer)
        return meter is not None and self._is_due(meter, now)

    def on_grant(self, grant: QuotaGrant, now: float) -> None:
        """Apply the reply to a report."""
        meter = self._meter_by_customer.get(grant.customer)
        if meter is None:
            return
        self._refill(meter, now)
        meter.awaits_reply = False
        meter.weight = grant.weight
        meter.granted_at = now
        meter.left = grant.left
        meter.regained_per_s = grant.regained_per_s
        meter.opens_at = now + grant.open_in_s
        meter.usual_per_s = grant.usual_per_s
        meter.early_use = grant.early_use
        meter.sustained_per_s = grant.sustained_per_s
        meter.is_ample = grant.is_ample
        meter.granted_for = grant.used
        meter.granted_demand_per_s = meter.demand_per_s
        allowed = grant.weight * grant.left
        if grant.left > 0.0:
            allowed = max(FIRST_ALLOWANCE, ALLOWED_SHARE * allowed)
        meter.allowance = allowed - (meter.used - grant.used)
        meter.allowance = min(meter.allowance, self._most(meter))
        meter.granted = max(0.0, meter.allowance)

    def shares(self, now: float) -> dict[str, dict[str, float | None]]:
        """Return by customer what the state dump shows."""
        return {
            customer: {
                "allowance": round(meter.allowance, 1),
                "share": meter.weight,
                "used": round(meter.used, 1),
                "demand_per_s": round(meter.demand_per_s, 1),
                "granted_s_ago": (
                    round(now - meter.granted_at, 2)
                    if math.isfinite(meter.granted_at)
                    else None
                ),
            }
            for customer, meter in self._meter_by_customer.items()
        }

    def _is_due(self, meter: _Meter, now: float) -> bool:
        since_s = now - meter.reported_at
        if meter.awaits_reply:
            return since_s >= REPLY_TIMEOUT_S
        if not meter.has_news:
            return False
        if meter.allowance <= 0.0 and meter.left > 0.0:
            return since_s >= URGENT_REPORT_INTERVAL_S
        is_low = meter.allowance < meter.granted / 2 or meter.allowance <= 0.0
        return since_s >= (EARLY_REPORT_INTERVAL_S if is_low else REPORT_INTERVAL_S)

    def _cushion(self, meter: _Meter, now: float) -> float:
        """Return how far the allowance may be overdrawn."""
        if now - meter.granted_at > LEASE_S:
            return 0.0
        return CUSHION_SHARE * max(0.0, meter.left)

    def _refill(self, meter: _Meter, now: float) -> None:
        elapsed_s = max(0.0, now - meter.updated_at)
        added = self._rate_per_s(meter, now) * elapsed_s
        most = max(meter.allowance, self._most(meter))
        meter.allowance = min(most, meter.allowance + added)
        meter.demand_per_s *= math.exp(-elapsed_s / DEMAND_MEMORY_S)
        meter.updated_at = now

    def _most(self, meter: _Meter) -> float:
        """Return the largest allowance of a customer here."""
        if meter.weight is None:
            return max(FIRST_ALLOWANCE, STARTING_BURST_S * self._alone_per_s(meter))
        return max(FIRST_ALLOWANCE, meter.weight * max(meter.limit.burst, meter.left))

    def _rate_per_s(self, meter: _Meter, now: float) -> float:
        """Return the rate at which the allowance grows."""
        rate_per_s = meter.limit.rate_per_s
        granted_s_ago = now - meter.granted_at
        is_lost = 0.0 < self._account_lost_s(meter.customer) <= HOLD_S
        if meter.weight is not None and granted_s_ago <= HOLD_S:
            if granted_s_ago <= LEASE_S:
                return meter.regained_per_s * meter.weight
            if meter.is_ample or self._is_held(meter, now):
                held_per_s = DEMAND_GROWTH * meter.granted_demand_per_s
                # The longer without a reply, the more others may use that is not known.
                faded = math.exp(-(granted_s_ago - LEASE_S) / HOLD_S)
                most_per_s = min(rate_per_s, meter.sustained_per_s) * faded
                return min(most_per_s * meter.weight, held_per_s)
        is_starting = meter.weight is None and now - self._started_at <= STARTING_S
        share = 1.0 if is_starting or is_lost else ALONE_SHARE
        return self._alone_per_s(meter) * share

    def _is_held(self, meter: _Meter, now: float) -> bool:
        """Return whether this VM has no reply in time and goes on at its last share."""
        if meter.weight is None or now - meter.granted_at <= REPLY_TIMEOUT_S:
            return False
        if meter.awaits_reply and now - meter.asked_at > REPLY_TIMEOUT_S:
            return True
        return self._account_lost_s(meter.customer) > 0.0

    def _alone_per_s(self, meter: _Meter) -> float:
        """Return this VM's equal part of the rate."""
        return meter.limit.rate_per_s / max(1, self.fleet_size)
