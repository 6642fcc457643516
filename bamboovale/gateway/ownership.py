"""Ownership of engines: leases by group membership in the metadata store.

Engines are hashed to partitions of one group; the store assigns each partition to one
member, and the group's generation rises with each change. Fencing numbers of orders are
derived from the generation.
"""

import asyncio
import hashlib
import time
from collections.abc import Callable

from bamboovale.gateway.journal import Journal
from bamboovale.gateway.order_turns import OrderTurns
from bamboovale.store.interface import Membership, MetadataStore, StoreError

GROUP = "engine-owners"
TOPIC = "engines"
TTL_S = 2.0
"""Lease time, after which the engines of a silent owner are reassigned."""
RENEW_INTERVAL_S = 0.6
RETRY_INTERVAL_S = 0.3
"""Delay after a failed renewal, such that one lost call does not expire a lease."""
GENERATIONS_PER_ERA = 1 << 16
"""The store gives generations out again when it returns from an older copy, in a later
era: each generation of that one is above all before."""
FENCES_PER_GENERATION = 1 << 24
VMS_PER_STEP = 1 << 14
"""A fencing number consists of the store's generation, a step within it for takeovers
during a store outage, and a number of the VM, so that no two VMs use the same one."""
LEASE_MARGIN_S = 0.3
"""No orders are sent so close to a lease's end, as they may arrive after it."""


def lease_clock() -> float:
    """Return a monotonic time in seconds that includes time in suspension.

    Guards against a machine that is suspended past its lease and then sends orders.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def partition_of(engine_id: str, partitions: int) -> int:
    """Return the partition of an engine, the same at every entry VM."""
    digest = hashlib.blake2b(engine_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % partitions


class Ownership:
    """The partitions that this VM holds, its lease and its fencing numbers.

    ``generation`` is that of the store's group, counted over all eras of the store.
    ``settle_s`` is how long an owner waits where another VM may have ordered an engine:
    before its first order if engines do not check fencing numbers, else only before it
    takes turns with that VM.
    ``renew_forever`` renews the lease. ``reachable`` is whether the store answered the
    last renewal.
    """

    def __init__(
        self,
        member: str,
        partitions: int,
        store: MetadataStore,
        journal: Journal,
        *,
        engines_check_fencing: bool,
        settle_s: float,
        on_change: Callable[[], None],
        may_own: Callable[[], bool] = lambda: True,
        clock: Callable[[], float] = lease_clock,
    ) -> None:
        self.generation = 0
        self.reachable = False
        self._member = member
        self._partitions = partitions
        self._store = store
        self._journal = journal
        self._engines_check_fencing = engines_check_fencing
        self._settle_s = 0.0 if engines_check_fencing else settle_s
        self._turns = OrderTurns(settle_s, journal, clock)
        self._on_change = on_change
        self._may_own = may_own
        self._clock = clock
        digest = hashlib.blake2b(member.encode(), digest_size=8).digest()
        self._vm_number = int.from_bytes(digest, "big") % VMS_PER_STEP
        self._confirmed_generation = 0
        self._era = 0
        self._held_until = 0.0
        self._held_since: dict[int, float] = {}
        self._takeover_fence: dict[str, int] = {}
        self._raised_fence: dict[str, int] = {}
        self._store_unreachable_since: float | None = None
        self._joined = False
        self._leaving = False
        self._suspended_for: set[str] = set()

    @property
    def _suspended(self) -> bool:
        return bool(self._suspended_for)

    def holds(self, engine_id: str) -> bool:
        """Return whether this VM owns an engine, even if the lease has expired."""
        if engine_id in self._takeover_fence:
            return True
        return partition_of(engine_id, self._partitions) in self._held_since

    def held_partitions(self) -> frozenset[int]:
        """Return the partitions that the store assigned to this VM."""
        return frozenset(self._held_since)

    def fence(self, engine_id: str) -> int:
        """Return the fencing number of this VM's orders to an engine."""
        takeover = self._takeover_fence.get(engine_id)
        if takeover is not None:
            return takeover
        granted = self.generation * FENCES_PER_GENERATION
        return max(granted, self._raised_fence.get(engine_id, 0))

    def store_unreachable_s(self) -> float:
        """Return for how many seconds the store has not answered this VM."""
        if self._store_unreachable_since is None:
            return 0.0
        return self._clock() - self._store_unreachable_since

    def take_over(self, engine_id: str, above: int) -> None:
        """Take over an engine without a live owner until the store answers again.

        Does nothing unless engines check fencing numbers: the new number is above the
        last owner's and differs from that of any other VM that takes over, so that the
        engine accepts orders of only one of them.
        """
        if self._engines_check_fencing and not self._leaving:
            self._takeover_fence[engine_id] = self._next_fence(above)
            self._journal.write(
                "stand_in",
                engine=engine_id,
                token=self._takeover_fence[engine_id],
                above=above,
                store_away_s=round(self.store_unreachable_s(), 2),
            )

    def on_fenced(self, engine_id: str, above: int) -> None:
        """Handle an engine's refusal because another VM used a higher number.

        The owner that the store confirms continues with a higher number; a VM that had
        taken the engine over releases it.
        """
        if engine_id in self._takeover_fence:
            del self._takeover_fence[engine_id]
            self._on_change()
        elif self.reachable and self.holds(engine_id):
            self._turns.on_fenced(engine_id)
            used = max(above, self.fence(engine_id))
            self._raised_fence[engine_id] = self._next_fence(used)

    def _next_fence(self, above: int) -> int:
        """Return a fencing number above the given one that no other VM generates."""
        step = above // VMS_PER_STEP + 1
        return step * VMS_PER_STEP + self._vm_number

    def on_order(self, engine_id: str, orders: int | None) -> None:
        """Note an order of this VM that an engine accepted as its ``orders``-th.

        None: it is not known whether it was accepted.
        """
        self._turns.on_order(engine_id, orders)

    def may_order(self, engine_id: str, orders: int | None = None) -> bool:
        """Return whether an order to an engine may be sent now.

        ``orders`` is how many orders the engine has accepted, None if not known.
        Where engines check fencing numbers, an owner continues after its lease while
        the store is unreachable: if it was replaced, the engine refuses its orders.
        Where they do not, this VM's lease must be valid and the last owner's expired.
        """
        if self._leaving:
            return False
        if engine_id in self._takeover_fence:
            return not self.reachable
        since = self._held_since.get(partition_of(engine_id, self._partitions))
        if since is None:
            return False
        now = self._clock()
        if now - since < self._settle_s:
            return False
        if not self._turns.may_order(engine_id, since, orders):
            return False
        if now < self._held_until:
            return True
        return self._engines_check_fencing and not self.reachable

    async def renew_forever(self) -> None:
        """Renew the lease until a planned stop, while this VM may own engines."""
        while not self._leaving:
            if self._suspended:
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            if not self._held_since and not self._may_own():
                await self._leave_group()
                await asyncio.sleep(RENEW_INTERVAL_S)
                continue
            before = self.generation
            await self._renew()
            if not self.reachable:
                await asyncio.sleep(RETRY_INTERVAL_S)
            elif self.generation == before:
                await asyncio.sleep(RENEW_INTERVAL_S)
            else:
                # The store reassigns revoked partitions once the member confirms the
                # new generation.
                await asyncio.sleep(0.02)

    async def _leave_group(self) -> None:
        """Leave the group, so that the store assigns no partitions to this VM."""
        if not self._joined:
            return
        self._joined = False
        self._journal.write("ownership_stays_out", generation=self.generation)
        await self._leave_store()

    async def _leave_store(self) -> None:
        try:
            await self._store.leave(GROUP, self._member)
        except StoreError as error:
            self._journal.write("ownership_leave_failed", error=str(error))

    async def set_suspended(self, suspended: bool, reason: str) -> None:
        """Release all engines while a reason holds; rejoin the group after the last.

        Guards against an owner that is cut off from its peers or from all endpoints,
        but not from the store, and keeps engines that nobody can use.
        """
        before = self._suspended
        if suspended:
            self._suspended_for.add(reason)
        else:
            self._suspended_for.discard(reason)
        if self._suspended == before:
            return
        self._journal.write("ownership_step_back", back=suspended, reason=reason)
        if suspended:
            self._held_since.clear()
            self._on_change()
            await self._leave_store()

    async def leave(self) -> None:
        """Release all engines at once, for a planned stop."""
        self._leaving = True
        self._held_since.clear()
        self._on_change()
        await self._leave_store()

    async def _renew(self) -> None:
        sent_at = self._clock()
        self._joined = True
        try:
            membership = await self._store.join(
                GROUP,
                self._member,
                [TOPIC],
                TTL_S,
                self._confirmed_generation,
                timeout_s=TTL_S - LEASE_MARGIN_S,
            )
        except StoreError as error:
            if self.reachable:
                self._journal.write("ownership_store_lost", error=str(error))
            self.reachable = False
            if self._store_unreachable_since is None:
                self._store_unreachable_since = self._clock()
            return
        if not self.reachable:
            self._journal.write("ownership_store_regained", waited=self.generation)
        self.reachable = True
        self._store_unreachable_since = None
        if self._leaving or self._suspended:
            # The join may have reached the store after the leave.
            await self._leave_store()
            return
        if self._may_have_missed_a_holder(_generation(membership)):
            self._held_since.clear()
        self._held_until = sent_at + TTL_S - LEASE_MARGIN_S
        self._apply(membership)
        self._turns.drop_old()

    def _may_have_missed_a_holder(self, generation: int) -> bool:
        """Return whether others may have held partitions since the last renewal."""
        if generation == self.generation:
            return False
        expired = self._clock() >= self._held_until + LEASE_MARGIN_S
        # The store may move a partition without its owner's consent, and back.
        skipped = generation > self.generation + 1
        return expired or (skipped and self._engines_check_fencing)

    def on_store_returned(self) -> None:
        """Confirm no generation to the store that it may not have given out yet."""
        self._confirmed_generation = 0

    def _apply(self, membership: Membership) -> None:
        now = self._clock()
        generation = _generation(membership)
        if membership.era != self._era:
            # Others may hold leases of the last era by their clocks.
            self._held_since.clear()
            self._raised_fence.clear()
            self._era = membership.era
        numbers = {partition.number for partition in membership.partitions}
        # A partition may be added without a new generation, once its owner released it.
        moved = numbers != self._held_since.keys() or bool(self._takeover_fence)
        self._takeover_fence.clear()
        changed = moved or generation != self.generation
        if moved:
            self._journal.write(
                "ownership_changed",
                generation=generation,
                before=self.generation,
                gained=sorted(numbers - self._held_since.keys()),
                lost=sorted(self._held_since.keys() - numbers),
            )
        self._held_since = {
            number: self._held_since.get(number, now) for number in numbers
        }
        self.generation = generation
        self._confirmed_generation = membership.generation
        if changed:
            self._on_change()


def _generation(membership: Membership) -> int:
    """Return a membership's generation, counted over all eras of the store."""
    return membership.era * GENERATIONS_PER_ERA + membership.generation
