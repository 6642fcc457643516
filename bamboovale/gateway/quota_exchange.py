"""Quotas of customers over the fleet: reports of what was admitted, and replies.

The account of a customer is kept by the VM that holds a partition of the owners' group
in the store, so that two halves of a partitioned fleet do not both keep one.
"""

import asyncio
import dataclasses
import random
from collections.abc import Mapping

from bamboovale.decisions.advertised_vms import advertised_count
from bamboovale.decisions.quota_account import QuotaAccount
from bamboovale.decisions.quota_budget import QuotaBudget
from bamboovale.decisions.quota_meter import QuotaMeter
from bamboovale.decisions.quota_reports import QuotaGrant, QuotaReport
from bamboovale.gateway.account_holders import AccountHolders, Partitions
from bamboovale.gateway.customers import Quota
from bamboovale.gateway.engines import Links
from bamboovale.gateway.messages import QuotaGrants, QuotaReports
from bamboovale.gateway.model import RoutingTable
from bamboovale.gateway.vm_state import VMState

ACTIVE_INTERVAL_S = 0.1
IDLE_INTERVAL_S = 1.0
"""Intervals of checks for due reports and notices."""
UNREAD_FLEET_SIZE = 64
"""Assumed number of VMs until the registered ones were read from the store."""


class QuotaExchange:
    """This VM's meter, and the accounts that it keeps for others.

    ``meter`` is asked by each request and never waits for a reply.
    """

    def __init__(self, state: VMState, links: Links, partitions: Partitions) -> None:
        self.meter = QuotaMeter(
            state.fleet.membership.own.start,
            state.now(),
            random.Random(),
            account_lost_s=lambda customer: self._holders.lost_s(customer),
        )
        self._state = state
        self._links = links
        self._holders = AccountHolders(state, partitions)
        self._granter_by_customer: dict[str, str] = {}
        self._asked_by_customer: dict[str, str] = {}
        self._quota_by_customer: Mapping[str, Quota] = {}
        self._account_by_customer: dict[str, QuotaAccount] = {}
        self._wake_event = asyncio.Event()

    def apply_table(self, table: RoutingTable) -> None:
        """Apply the limits of a configuration."""
        customers = table.customers.by_name.values() if table.customers else ()
        before = self._quota_by_customer
        self._quota_by_customer = {
            customer.name: customer.quota
            for customer in customers
            if customer.quota is not None
        }
        self._log_changes(before)
        now = self._state.now()
        self.meter.set_limits(self._quota_by_customer, now)
        for customer, account in list(self._account_by_customer.items()):
            quota = self._quota_by_customer.get(customer)
            if quota is None:
                del self._account_by_customer[customer]
            else:
                account.set_limit(quota.rate_per_s, quota.burst, now)

    def _log_changes(self, before: Mapping[str, Quota]) -> None:
        for customer in before.keys() | self._quota_by_customer.keys():
            quota = self._quota_by_customer.get(customer)
            if quota != before.get(customer):
                self._state.journal.write(
                    "quota",
                    customer=customer,
                    rate_per_s=quota.rate_per_s if quota else None,
                    burst=quota.burst if quota else None,
                    unit=quota.unit.name.lower() if quota else None,
                )

    def on_spent(self, customer: str) -> None:
        """Send a report of the customer without delay, if one is due."""
        if self.meter.wants_report(customer, self._state.now()):
            self._wake_event.set()

    async def exchange_forever(self) -> None:
        """Send reports, and notices of the accounts kept here, forever."""
        while True:
            self._holders.update()
            self._drop_lost_accounts()
            self._send_reports()
            self._send_notices()
            interval_s = ACTIVE_INTERVAL_S if self._quota_by_customer else None
            try:
                async with asyncio.timeout(interval_s or IDLE_INTERVAL_S):
                    await self._wake_event.wait()
            except TimeoutError:
                pass
            self._wake_event.clear()

    def on_reports(self, sender: str, message: QuotaReports) -> None:
        """Charge a VM's reports to the accounts kept here, and reply."""
        grants = tuple(
            grant
            for report in message.reports
            if (grant := self._charge(sender, report)) is not None
        )
        if grants:
            self._links.notify(sender, QuotaGrants(message.start, grants))

    def on_grants(self, sender: str, message: QuotaGrants) -> None:
        """Apply replies to this process's reports."""
        if message.start == self.meter.start:
            for grant in message.grants:
                self._apply(sender, grant)

    def _apply(self, granter: str, grant: QuotaGrant) -> None:
        self._granter_by_customer[grant.customer] = granter
        self._asked_by_customer.pop(grant.customer, None)
        self.meter.on_grant(grant, self._state.now())

    def left_by_customer(self) -> dict[str, float]:
        """Return by customer what is left in the accounts kept here."""
        now = self._state.now()
        return {
            customer: round(account.left(now), 1)
            for customer, account in self._account_by_customer.items()
        }

    def _charge(self, sender: str, report: QuotaReport) -> QuotaGrant | None:
        quota = self._quota_by_customer.get(report.customer)
        if quota is None or not self._holders.is_own(report.customer):
            return None
        now = self._state.now()
        account = self._account_by_customer.get(report.customer)
        if account is None:
            window_s = self._state.node.bounds.quota_window_s
            budget = QuotaBudget(quota.rate_per_s, quota.burst, window_s, now)
            account = QuotaAccount(report.customer, budget, now)
            self._account_by_customer[report.customer] = account
        return account.on_report(sender, report, now)

    def _send_reports(self) -> None:
        self.meter.fleet_size = self._fleet_size()
        self._report_to_new_holders()
        own_id = self._state.node.name
        reports_by_vm: dict[str, list[QuotaReport]] = {}
        for report in self.meter.due_reports(self._state.now()):
            holder = self._holders.holder_of(report.customer)
            if holder is None:
                continue
            if holder == self._granter_by_customer.get(report.customer):
                report = _without_grant(report)
            reports_by_vm.setdefault(holder, []).append(report)
        for vm_id, reports in reports_by_vm.items():
            if vm_id != own_id:
                message = QuotaReports(self.meter.start, tuple(reports))
                self._links.notify(vm_id, message)
                continue
            for report in reports:
                grant = self._charge(own_id, report)
                if grant is not None:
                    self._apply(own_id, grant)

    def _report_to_new_holders(self) -> None:
        """Report at once where another VM keeps an account than granted last."""
        for customer, granter in self._granter_by_customer.items():
            holder = self._holders.holder_of(customer)
            if holder not in (None, granter, self._asked_by_customer.get(customer)):
                self._asked_by_customer[customer] = holder
                self.meter.report_anew(customer)

    def _send_notices(self) -> None:
        now = self._state.now()
        for customer, account in self._account_by_customer.items():
            account.presume_use(self._state.fleet.is_live, now)
            notices = account.due_notices(now)
            if notices:
                self._state.journal.write(
                    "quota_account", customer=customer, **account.summary(now)
                )
            for vm_id, (start, grant) in notices.items():
                message = QuotaGrants(start, (grant,))
                if vm_id == self._state.node.name:
                    self.on_grants(vm_id, message)
                else:
                    self._links.notify(vm_id, message)

    def _drop_lost_accounts(self) -> None:
        for customer in list(self._account_by_customer):
            if not self._holders.is_own(customer):
                del self._account_by_customer[customer]

    def _fleet_size(self) -> int:
        """Return the number of VMs that callers are sent to."""
        size = self._state.fleet.expected_size()
        if not self._state.has_read_fleet:
            size = max(size, UNREAD_FLEET_SIZE)
        return advertised_count(size)


def _without_grant(report: QuotaReport) -> QuotaReport:
    """Return a report without the last reply, which the account's VM sent itself."""
    return dataclasses.replace(
        report, left=0.0, weight=0.0, early_use=0.0, sustained_per_s=0.0
    )
