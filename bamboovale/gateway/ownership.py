"""Which engines this entry VM may order: a lease by group membership in the store.

Engines are hashed to partitions of one group; the store gives each partition to one
member, and its generation rises with each change. The generation is the fencing number
of our orders.
"""

import asyncio
import hashlib
import time
from collections.abc import Callable

from bamboovale.gateway.journal import Journal
from bamboovale.gateway.store import Membership, MetadataStore, StoreError

GROUP = "engine-owners"
TOPIC = "engines"
TTL_S = 2.0
"""How long an owner may be unheard before its engines go to others: two to three
renewals. Shorter loses engines to a slow store, longer leaves them without loads."""
RENEW_S = 0.6
RETRY_S = 0.3
"""After a failed renewal: half the usual time, so that one lost call ends no lease."""
TOKENS_PER_GENERATION = 1 << 24
VMS_PER_STEP = 1 << 14
"""A fencing number has three parts: the store's generation, a step within it for owners
that stood in, and a number of the VM, so that no two VMs use the same one."""
MARGIN_S = 0.3
"""An order sent so close to the end may arrive after it."""


def lease_clock() -> float:
    """Return seconds that also pass while the machine is suspended.

    Guards against a machine that is frozen past its lease and wakes up believing that
    no time has passed: the steady clock stands still meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def partition_of(engine_id: str, partitions: int) -> int:
    """Return the partition of an engine, the same at every entry VM."""
    digest = hashlib.blake2b(engine_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % partitions


class Ownership:
    """What this VM holds and until when; ``keep`` renews it."""

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
        self._fenced = engines_check_fencing
        self._settle_s = 0.0 if engines_check_fencing else settle_s
        self._on_change = on_change
        self._may_own = may_own
        self._clock = clock
        digest = hashlib.blake2b(member.encode(), digest_size=8).digest()
        self._own_number = int.from_bytes(digest, "big") % VMS_PER_STEP
        self._held_until = 0.0
        self._held_since: dict[int, float] = {}
        self._takeover_token: dict[str, int] = {}
        self._bumped_token: dict[str, int] = {}
        self._unreachable_since: float | None = None
        self._joined = False
        self._leaving = False
        self._suspended = False

    def holds(self, engine_id: str) -> bool:
        """Tell whether we own an engine, whatever the lease's age."""
        if engine_id in self._takeover_token:
            return True
        return partition_of(engine_id, self._partitions) in self._held_since

    def fence(self, engine_id: str) -> int:
        """Return the fencing number of our orders to an engine."""
        takeover = self._takeover_token.get(engine_id)
        if takeover is not None:
            return takeover
        granted = self.generation * TOKENS_PER_GENERATION
        return max(granted, self._bumped_token.get(engine_id, 0))

    def store_unreachable_s(self) -> float:
        """Return for how long the store has not answered us."""
        if self._unreachable_since is None:
            return 0.0
        return self._clock() - self._unreachable_since

    def take_over(self, engine_id: str, above: int) -> None:
        """Own an engine that nobody owns while the store cannot say who should.

        Only where engines refuse an older fencing number: the token is higher than the
        last owner's and differs from that of any other VM that has the same idea, so
        that the engine obeys one of them. It ends when the store answers again.
        """
        if self._fenced and not self._leaving:
            self._takeover_token[engine_id] = self._next_token(above)
            self._journal.write(
                "stand_in",
                engine=engine_id,
                token=self._takeover_token[engine_id],
                above=above,
                store_away_s=round(self.store_unreachable_s(), 2),
            )

    def on_fenced(self, engine_id: str, above: int) -> None:
        """Take an engine's word that another VM used a higher number.

        The rightful owner, confirmed by the store, goes on with a higher one; anybody
        else stops.
        """
        if engine_id in self._takeover_token:
            del self._takeover_token[engine_id]
            self._on_change()
        elif self.reachable and self.holds(engine_id):
            used = max(above, self.fence(engine_id))
            self._bumped_token[engine_id] = self._next_token(used)

    def _next_token(self, above: int) -> int:
        """Return a token above another that no other VM makes."""
        step = above // VMS_PER_STEP + 1
        return step * VMS_PER_STEP + self._own_number

    def may_order(self, engine_id: str) -> bool:
        """Tell whether an order to an engine may be sent now.

        Where engines refuse an older fencing number, an owner goes on while the store
        cannot be reached: nobody else can take over then, and if we alone are cut off,
        the engine refuses us. Elsewhere the lease must be in force, and the last
        owner's lease must be over for long.
        """
        if self._leaving:
            return False
        if engine_id in self._takeover_token:
            return not self.reachable
        since = self._held_since.get(partition_of(engine_id, self._partitions))
        if since is None:
            return False
        now = self._clock()
        if now - since < self._settle_s:
            return False
        if now < self._held_until:
            return True
        return self._fenced and not self.reachable

    async def renew_forever(self) -> None:
        """Renew for ever, unless others of a large fleet own the engines."""
        while True:
            if self._suspended:
                await asyncio.sleep(RETRY_S)
                continue
            if not self._held_since and not self._may_own():
                await self._stay_out()
                await asyncio.sleep(RENEW_S)
                continue
            before = self.generation
            await self._renew()
            if not self.reachable:
                await asyncio.sleep(RETRY_S)
            elif self.generation == before:
                await asyncio.sleep(RENEW_S)
            else:
                # What we no longer hold goes on only once we have said that we know.
                await asyncio.sleep(0.02)

    async def _stay_out(self) -> None:
        """Leave the group, so that the store gives us nothing that nobody takes."""
        if not self._joined:
            return
        self._joined = False
        self._journal.write("ownership_stays_out", generation=self.generation)
        try:
            await self._store.leave(GROUP, self._member)
        except StoreError as error:
            self._journal.write("ownership_leave_failed", error=str(error))

    async def set_suspended(self, suspended: bool) -> None:
        """Give up all engines while most other VMs do not hear us, or take part again.

        Guards against an owner that is cut off from its peers but not from the store:
        it would keep its engines and nobody could ask it for a place.
        """
        if suspended == self._suspended:
            return
        self._suspended = suspended
        self._journal.write("ownership_step_back", back=suspended)
        if suspended:
            self._held_since.clear()
            self._on_change()
            try:
                await self._store.leave(GROUP, self._member)
            except StoreError as error:
                self._journal.write("ownership_leave_failed", error=str(error))

    async def leave(self) -> None:
        """Give up all engines at once, for a planned stop."""
        self._leaving = True
        self._held_since.clear()
        self._on_change()
        try:
            await self._store.leave(GROUP, self._member)
        except StoreError as error:
            self._journal.write("ownership_leave_failed", error=str(error))

    async def _renew(self) -> None:
        asked_at = self._clock()
        self._joined = True
        try:
            membership = await self._store.join(
                GROUP,
                self._member,
                [TOPIC],
                TTL_S,
                self.generation,
                timeout_s=TTL_S - MARGIN_S,
            )
        except StoreError as error:
            if self.reachable:
                self._journal.write("ownership_store_lost", error=str(error))
            self.reachable = False
            if self._unreachable_since is None:
                self._unreachable_since = self._clock()
            return
        if not self.reachable:
            self._journal.write("ownership_store_regained", waited=self.generation)
        self.reachable = True
        self._unreachable_since = None
        if self._leaving or self._suspended:
            return
        self._held_until = asked_at + TTL_S - MARGIN_S
        self._take(membership)

    def _take(self, membership: Membership) -> None:
        now = self._clock()
        numbers = {partition.number for partition in membership.partitions}
        # A partition may come without a new generation, once its last owner let go.
        moved = numbers != self._held_since.keys() or bool(self._takeover_token)
        self._takeover_token.clear()
        changed = moved or membership.generation != self.generation
        if moved:
            self._journal.write(
                "ownership_changed",
                generation=membership.generation,
                before=self.generation,
                gained=sorted(numbers - self._held_since.keys()),
                lost=sorted(self._held_since.keys() - numbers),
            )
        self._held_since = {
            number: self._held_since.get(number, now) for number in numbers
        }
        self.generation = membership.generation
        if changed:
            self._on_change()
