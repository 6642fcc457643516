"""Quotas of one customer over many VMs in virtual time, with cuts, kills and bursts.

Callers that were refused may return once, after ``Retry-After``, to any VM.
"""

import heapq
import math
import random
from collections.abc import Callable
from functools import partial

from bamboovale.decisions.quota_account import Budget, QuotaAccount
from bamboovale.decisions.quota_budget import QuotaBudget
from bamboovale.decisions.quota_meter import QuotaMeter
from bamboovale.decisions.quota_reports import QuotaGrant, QuotaReport
from bench.quota_load import WINDOW_S, Limit, Load, Outcome

MeterClass = Callable[
    [int, float, random.Random, Callable[[str], float]],
    QuotaMeter,
]

CUSTOMER = "customer"
TICK_S = 0.05
FAILOVER_S = 3.0
"""Time from the death of the account's VM until all know the next one."""
LEASE_MOVES_S = 2.0
"""Time from the last renewal of a lease until the store assigns it to another VM."""
GOSSIP_S = (0.1, 1.0)
"""Range of the times until a VM hears of a new holder."""
SUSPECT_S = 2.5
"""Time until a VM that cannot be reached counts as lost."""


class QuotaSimulation:
    """VMs that admit the requests of one customer by ``QuotaMeter``.

    ``accounts_at`` is the VM to which the store assigns the account, None while it is
    nobody's; ``holder_seen`` has by VM the one that it reports to. VMs of ``cut_off``
    exchange no messages with the others. ``new_meter`` makes the meters, ``new_budget``
    rate, burst, window and time. With ``returns`` callers return after
    Retry-After, if their patience lasts.
    """

    def __init__(
        self,
        vms: int,
        limit: Limit,
        load: Load,
        seed: int,
        *,
        active_vms: int | None = None,
        latency_s: tuple[float, float] = (0.005, 0.04),
        new_meter: MeterClass = QuotaMeter,
        new_budget: Callable[[float, float, float, float], Budget] = QuotaBudget,
        returns: bool = False,
    ) -> None:
        self.now = 0.0
        self.limit = limit
        self.load = load
        self.outcome = Outcome()
        self._cut_off: set[int] = set()
        self._cut_at = math.inf
        self._dead_since: dict[int, float] = {}
        self.accounts_at: int | None = 0
        self._frozen_since: dict[int, float] = {}
        self._frozen_until: dict[int, float] = {}
        self._rng = random.Random(seed)
        self._latency_s = latency_s
        self._vms = vms
        self._make_meter = new_meter
        self._make_budget = new_budget
        self._returns = returns
        self._active = list(range(active_vms or vms))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._starts = 0
        self.holder_seen: list[int | None] = [0] * vms
        self._account_by_vm: dict[int, QuotaAccount] = {0: self._new_account()}
        self.meters = [self._new_meter(vm) for vm in range(vms)]
        self._holder_lost_at = [-math.inf] * vms
        self._at(0.0, self._arrive)
        for vm in range(vms):
            self._at(self._rng.random() * TICK_S, partial(self._tick, vm))

    def run_until(self, end: float) -> None:
        """Play until a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def kill_account(self, *, next_vm: int) -> None:
        """End the VM with the account; another one takes over after a while."""
        assert self.accounts_at is not None
        self.kill([self.accounts_at])
        self._lose_account()
        self._at(self.now + FAILOVER_S, lambda: self._take_over(next_vm))

    def kill(self, vms: list[int], down_s: float = 1.0) -> None:
        """End VMs, which start again without memory."""
        self._dead_since.update((vm, self.now) for vm in vms)
        self._at(self.now + down_s, lambda: self._restart(vms))

    def kill_all(self, down_s: float = 1.0) -> None:
        """End all VMs; the account is found again some time after their start."""
        self._lose_account()
        self.kill(list(range(self._vms)), down_s)
        self._at(self.now + down_s + FAILOVER_S, lambda: self._take_over(0))

    def reject_account(self, *, next_vm: int) -> None:
        """Let the store reject the VM with the account, which goes on until it hears.

        The lease moves, and the VMs hear of it at different times.
        """

        def move() -> None:
            self.accounts_at = next_vm
            self._account_by_vm[next_vm] = self._new_account()
            self.holder_seen[next_vm] = next_vm
            for vm in range(self._vms):
                hears_at = self.now + self._rng.uniform(*GOSSIP_S)
                self._at(hears_at, partial(self._hear_of, vm, next_vm))

        self._at(self.now + LEASE_MOVES_S, move)

    def freeze(self, vms: list[int], duration_s: float) -> None:
        """Suspend VMs; what reaches them meanwhile is handled when they go on."""
        self._frozen_since.update((vm, self.now) for vm in vms)
        self._frozen_until.update((vm, self.now + duration_s) for vm in vms)

    @property
    def cut_off(self) -> set[int]:
        """Return the VMs that are cut off from the others."""
        return self._cut_off

    @cut_off.setter
    def cut_off(self, vms: set[int]) -> None:
        self._cut_off = vms
        self._cut_at = self.now

    def set_limit(self, limit: Limit) -> None:
        """Change the limit at every VM."""
        self.limit = limit
        for account in self._account_by_vm.values():
            account.set_limit(limit.rate_per_s, limit.burst, self.now)
        for meter in self.meters:
            meter.set_limits({CUSTOMER: limit}, self.now)

    def _lose_account(self) -> None:
        self.accounts_at = None
        self._account_by_vm.clear()
        self.holder_seen = [None] * self._vms
        self._holder_lost_at = [self.now] * self._vms

    def _take_over(self, vm: int) -> None:
        self.accounts_at = vm
        self._account_by_vm[vm] = self._new_account()
        self.holder_seen = [vm] * self._vms
        for meter in self.meters:
            meter.report_anew(CUSTOMER)

    def _hear_of(self, vm: int, holder: int) -> None:
        if self._is_frozen(vm):
            self._at(self._frozen_until[vm], partial(self._hear_of, vm, holder))
        elif holder == self.accounts_at:
            self.holder_seen[vm] = holder
            self.meters[vm].report_anew(CUSTOMER)
            if vm != holder:
                self._account_by_vm.pop(vm, None)

    def _new_account(self) -> QuotaAccount:
        limit = self.limit
        budget = self._make_budget(limit.rate_per_s, limit.burst, WINDOW_S, self.now)
        return QuotaAccount(CUSTOMER, budget, self.now)

    def _restart(self, vms: list[int]) -> None:
        for vm in vms:
            self._dead_since.pop(vm, None)
            self._holder_lost_at[vm] = -math.inf
            self.meters[vm] = self._new_meter(vm)

    def _new_meter(self, vm: int) -> QuotaMeter:
        self._starts += 1
        meter = self._make_meter(
            self._starts,
            self.now,
            self._rng,
            lambda customer: self._account_lost_s(vm),
        )
        meter.fleet_size = len(self._active)
        meter.set_limits({CUSTOMER: self.limit}, self.now)
        return meter

    def _at(self, at: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, action))

    def _arrive(self) -> None:
        self._at(self.now + self.load.gap_s(self.now, self._rng), self._arrive)
        for _ in range(self.load.clump):
            vm = self._rng.choice(self._active)
            self._request(vm, self.load.next_request(self._rng), is_return=False)

    def _request(self, vm: int, cost: float, *, is_return: bool) -> None:
        if vm in self._dead_since:
            return
        if self._is_frozen(vm):
            thaws_at = self._frozen_until[vm]
            self._at(thaws_at, partial(self._request, vm, cost, is_return=is_return))
            return
        patience_s = self.load.patience_s
        retry_s = self.meters[vm].take(CUSTOMER, cost, self.now, patience_s)
        outcome, attempt = self.outcome, (self.now, cost)
        (outcome.admitted if retry_s is None else outcome.refused).append(attempt)
        if is_return:
            outcome.returned.append(attempt)
            if retry_s is not None:
                outcome.refused_again.append(attempt)
        elif retry_s is not None and self._returns and retry_s <= patience_s:
            again_at = self._rng.choice(self._active)
            again = partial(self._request, again_at, cost, is_return=True)
            self._at(self.now + retry_s, again)
        if self.meters[vm].wants_report(CUSTOMER, self.now):
            self._report(vm)

    def _tick(self, vm: int) -> None:
        self._at(self.now + TICK_S, partial(self._tick, vm))
        if vm in self._dead_since or self._is_frozen(vm):
            return
        self._report(vm)
        account = self._account_by_vm.get(vm)
        if account is not None:
            account.presume_use(partial(self._is_reached, vm), self.now)
            for other, (start, grant) in account.due_notices(self.now).items():
                deliver = partial(self._on_grant, int(other), start, grant)
                self._send(vm, int(other), deliver)

    def _account_lost_s(self, vm: int) -> float:
        is_known = self.holder_seen[vm] is not None
        return 0.0 if is_known else self.now - self._holder_lost_at[vm]

    def _is_reached(self, vm: int, other: str) -> bool:
        """Return whether a VM sees another one as live; it hears late of a loss."""
        lost_at = self._lost_at(vm, int(other))
        return self.now - lost_at < SUSPECT_S

    def _lost_at(self, vm: int, other: int) -> float:
        """Return since when a VM cannot reach another one, infinite if it can."""
        times = [self._dead_since.get(other, math.inf)]
        if (vm in self._cut_off) != (other in self._cut_off):
            times.append(self._cut_at)
        if self._is_frozen(other):
            times.append(self._frozen_since[other])
        return min(times)

    def _is_frozen(self, vm: int) -> bool:
        return self._frozen_until.get(vm, 0.0) > self.now

    def _report(self, vm: int) -> None:
        holder = self.holder_seen[vm]
        if holder is None:
            return
        for report in self.meters[vm].due_reports(self.now):
            self._send(vm, holder, partial(self._on_report, vm, holder, report))

    def _on_report(self, vm: int, holder: int, report: QuotaReport) -> None:
        account = self._account_by_vm.get(holder)
        if account is None:
            return
        grant = account.on_report(str(vm), report, self.now)
        self._send(holder, vm, partial(self._on_grant, vm, report.start, grant))

    def _on_grant(self, vm: int, start: int, grant: QuotaGrant) -> None:
        if self.meters[vm].start == start:
            self.meters[vm].on_grant(grant, self.now)

    def _send(self, sender: int, receiver: int, arrive: Callable[[], None]) -> None:
        self.outcome.messages += 1
        at = self.now + self._rng.uniform(*self._latency_s)
        self._at(at, partial(self._deliver, sender, receiver, arrive))

    def _deliver(self, sender: int, receiver: int, arrive: Callable[[], None]) -> None:
        is_cut = (sender in self._cut_off) != (receiver in self._cut_off)
        if is_cut or sender in self._dead_since or receiver in self._dead_since:
            return
        if self._is_frozen(receiver):
            thaws_at = self._frozen_until[receiver]
            self._at(thaws_at, partial(self._deliver, sender, receiver, arrive))
            return
        arrive()
