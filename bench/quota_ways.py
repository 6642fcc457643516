"""``python -m bench.quota_ways``: ways to keep quotas over a fleet, in virtual time.

Prints a table: largest window against the bound, what is refused of the usual demand,
while the customer is hot and afterwards, and messages a second of all VMs.
"""

from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.decisions.quota_account import Budget
from bamboovale.decisions.quota_budget import QuotaBudget
from bamboovale.decisions.quota_meter import QuotaMeter
from bamboovale.decisions.quota_reports import QuotaGrant, QuotaReport
from bamboovale.decisions.usage_window import UsageWindow
from bench.quota_simulation import Limit, Load, MeterClass, QuotaSimulation

FLEETS = ((9, 9), (86, 34), (300, 120))
RATES = (18_000.0, 150_000.0)
USUAL_SHARE = 1 / 1.8
HOT = 7.5
HOT_FROM_S, HOT_UNTIL_S, END_S = 10.0, 21.0, 40.0


class EqualShares(QuotaMeter):
    """Every VM has an equal part of rate and burst; no messages."""

    def take(
        self, customer: str, cost: float, now: float, patience_s: float = 10.0
    ) -> float | None:
        """Admit a request from this VM's own part."""
        part = self._meter_by_customer.get(customer)
        if part is None:
            super().take(customer, 0.0, now)
            part = self._meter_by_customer[customer]
        limit = self._limit_by_customer[customer]
        added = limit.rate_per_s / self.fleet_size * (now - part.updated_at)
        part.allowance = min(limit.burst / self.fleet_size, part.allowance + added)
        part.updated_at = now
        if part.allowance <= 0.0:
            return 1.0
        part.allowance -= cost
        return None

    def due_reports(self, now: float) -> list[QuotaReport]:
        """Return no reports."""
        return []

    def wants_report(self, customer: str, now: float) -> bool:
        """Return False."""
        return False


class SharedLevel(QuotaMeter):
    """Every VM admits while what is left for all, as last heard, is not used up."""

    def on_grant(self, grant: QuotaGrant, now: float) -> None:
        """Apply what is left as this VM's own allowance."""
        super().on_grant(grant, now)
        meter = self._meter_by_customer.get(grant.customer)
        if meter is not None:
            meter.allowance = grant.left - (meter.used - grant.used)


class TokenBucket:
    """A budget of the limit's rate and burst without a window."""

    def __init__(
        self, rate_per_s: float, burst: float, window_s: float, now: float
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._left = 0.0
        self._refilled_at = now

    def set_limit(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the limit."""
        self._left = min(self.left(now), burst)
        self._rate_per_s = rate_per_s
        self._burst = burst

    def spend(self, amount: float, now: float) -> None:
        """Count use."""
        self._left = self.left(now) - amount

    def left(self, now: float) -> float:
        """Return what may still be used, below 0 for a debt."""
        added = self._rate_per_s * (now - self._refilled_at)
        self._left = min(self._burst, self._left + added)
        self._refilled_at = now
        return self._left

    @property
    def capacity(self) -> float:
        """Return the burst."""
        return self._burst

    def regained_per_s(self, now: float) -> float:
        """Return the rate."""
        return self._rate_per_s

    def early_use(self, now: float) -> float:
        """Return 0, as no window is kept."""
        return 0.0

    def sustained_per_s(self, now: float) -> float:
        """Return the rate."""
        return self._rate_per_s

    def restore(
        self, early_use: float, sustained_per_s: float, at: float, now: float
    ) -> None:
        """Do nothing, as no window is kept."""

    def credit(self, amount: float, now: float) -> None:
        """Add what an earlier budget had left."""
        self._left = min(self._burst, self.left(now) + amount)

    def open_in_s(self, now: float) -> float:
        """Return after how long anything is left."""
        return max(0.0, -self.left(now)) / self._rate_per_s


@dataclass(frozen=True)
class Way:
    """A meter for each VM and a budget for the account."""

    meter: MeterClass = QuotaMeter
    budget: Callable[[float, float, float, float], Budget] = QuotaBudget


WAYS = {
    "equal shares": Way(meter=EqualShares),
    "shared level": Way(meter=SharedLevel),
    "shares of a plain bucket": Way(budget=TokenBucket),
    "shares of a window": Way(budget=UsageWindow),
    "shares of a budget": Way(),
}


def _halves_cut(played: QuotaSimulation) -> None:
    played.run_until(12.0)
    played.cut_off = set(range(1, len(played.meters), 2))
    played.run_until(20.0)
    played.cut_off = set()


def _account_lost(played: QuotaSimulation) -> None:
    played.run_until(14.0)
    played.kill_account(next_vm=1)


def _all_killed(played: QuotaSimulation) -> None:
    played.run_until(14.0)
    played.kill_all()


FAULTS: dict[str, Callable[[QuotaSimulation], None]] = {
    "none": lambda played: None,
    "account lost": _account_lost,
    "all killed": _all_killed,
    "halves cut": _halves_cut,
}


def play(
    way: str, vms: int, active: int, rate: float, factor: float, fault: str
) -> QuotaSimulation:
    """Play a customer that is hot for a while, with a fault; return the play."""
    usual = rate * USUAL_SHARE

    def demand(now: float) -> float:
        is_hot = HOT_FROM_S <= now < HOT_UNTIL_S
        return usual * factor if is_hot else usual

    played = QuotaSimulation(
        vms,
        Limit(rate, rate),
        Load(demand),
        seed=1,
        active_vms=active,
        new_meter=WAYS[way].meter,
        new_budget=WAYS[way].budget,
    )
    FAULTS[fault](played)
    played.run_until(END_S)
    return played


def main() -> None:
    """Print the table."""
    columns = [
        "way",
        "VMs",
        "tokens/s",
        "demand",
        "fault",
        "window",
        "usual",
        "hot",
        "after",
        "msg/s",
    ]
    print("| " + " | ".join(columns) + " |")
    print("|---" * len(columns) + "|")
    for vms, active in FLEETS:
        for rate in RATES:
            for factor in (1.0, HOT):
                for fault in FAULTS:
                    for way in WAYS:
                        print(_row(way, vms, active, rate, factor, fault))


def _row(
    way: str, vms: int, active: int, rate: float, factor: float, fault: str
) -> str:
    played = play(way, vms, active, rate, factor, fault)
    outcome = played.outcome
    window = outcome.largest_window() / played.limit.most_in_window()
    refused = [
        outcome.refused_share(2.0, HOT_FROM_S),
        outcome.refused_share(HOT_FROM_S + 1, HOT_UNTIL_S),
        outcome.refused_share(HOT_UNTIL_S + 2, END_S),
    ]
    columns = [
        way,
        f"{vms} ({active})",
        f"{rate:,.0f}",
        f"x{factor:g}",
        fault,
        f"{window:.2f}",
        *(f"{share:.3f}" for share in refused),
        f"{outcome.messages / END_S:.0f}",
    ]
    return "| " + " | ".join(columns) + " |"


if __name__ == "__main__":
    main()
