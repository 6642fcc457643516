"""Owners of an engine that change while orders are sent."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import pytest

from bamboovale.decisions.place_work import OrderLoad
from bamboovale.gateway.model import EndpointRecord, EngineOrder, OrderOutcome
from bamboovale.gateway.order_sender import OrderSender
from bamboovale.gateway.order_turns import OrderTurns
from bamboovale.gateway.ownership import TOPIC, TTL_S, Ownership
from bamboovale.store.interface import Membership, Partition
from bench.virtual_loop import run_in_virtual_time
from tests.gateway_site import RecordedJournal

PARTITIONS = 4
TURN_S = 3.0
CALL_S = 0.004
REPORT_AGE_S = 0.2
ENGINES = ("e0", "e1", "e2", "e3", "e4", "e5")
LOAD = OrderLoad("base", "a1", 1)


@dataclass
class Member:
    """A member of the group; ``confirmed`` is the last generation that it named."""

    seen_at: float
    confirmed: int


class Group:
    """The store's group: deals partitions in turn to the sorted members."""

    def __init__(self) -> None:
        self._member_by_name: dict[str, Member] = {}
        self._owner_by_part: dict[int, str] = {}
        self._pending_by_part: dict[int, tuple[str, int]] = {}
        self._generation = 0
        self._shift = 0

    async def join(self, group: str, name: str, *args: Any, **options: Any) -> Any:
        """Answer as the store does, after a moment."""
        await asyncio.sleep(CALL_S)
        now = asyncio.get_running_loop().time()
        is_new = name not in self._member_by_name
        self._member_by_name[name] = Member(now, args[2])
        expired = [
            other
            for other, member in self._member_by_name.items()
            if now - member.seen_at > TTL_S
        ]
        for other in expired:
            del self._member_by_name[other]
        if is_new or expired:
            self.deal()
        return Membership(self._generation, tuple(self._usable(name)))

    async def leave(self, group: str, name: str) -> None:
        """Take a member out at once."""
        await asyncio.sleep(CALL_S)
        if self._member_by_name.pop(name, None) is not None:
            self.deal()

    def move_all(self) -> None:
        """Give every partition to the next member at once, without its consent."""
        self._shift += 1
        self.deal()
        self._pending_by_part.clear()

    def deal(self) -> None:
        """Deal the partitions; one that moves waits for its owner to confirm."""
        self._generation += 1
        names = sorted(self._member_by_name)
        for part in range(PARTITIONS) if names else ():
            old = self._owner_by_part.get(part)
            new = names[(part + self._shift) % len(names)]
            self._owner_by_part[part] = new
            if old != new and old in self._member_by_name:
                self._pending_by_part[part] = (old, self._generation)

    def _usable(self, name: str) -> list[Partition]:
        for part, (old, generation) in list(self._pending_by_part.items()):
            member = self._member_by_name.get(old)
            if member is None or member.confirmed >= generation:
                del self._pending_by_part[part]
        return [
            Partition(TOPIC, part)
            for part, owner in self._owner_by_part.items()
            if owner == name and part not in self._pending_by_part
        ]


@dataclass
class Engine:
    """Accepts orders by fencing number and count; reports its count late."""

    rng: random.Random
    fence: int = 0
    counts: list[tuple[float, int]] = field(default_factory=lambda: [(0.0, 0)])
    given: list[tuple[float, str]] = field(default_factory=list)

    async def order(self, name: str, fence: int, expected: int | None) -> OrderOutcome:
        """Answer an order, sometimes not at all though it was accepted."""
        await asyncio.sleep(CALL_S)
        if fence < self.fence:
            return OrderOutcome.FENCED
        now, count = asyncio.get_running_loop().time(), self.counts[-1][1]
        if expected != count:
            return OrderOutcome.CONFLICT
        self.fence = fence
        self.counts.append((now, count + 1))
        self.given.append((now, name))
        if self.rng.random() < 0.1:
            await asyncio.sleep(0.05)
            return OrderOutcome.UNKNOWN
        await asyncio.sleep(CALL_S)
        return OrderOutcome.ACCEPTED

    def report(self) -> int:
        """Return the count of a moment ago."""
        then = asyncio.get_running_loop().time() - REPORT_AGE_S
        return [count for at, count in self.counts if at <= then or not at][-1]


class VM:
    """Owns engines as the group assigns them, and sends orders to them."""

    def __init__(self, name: str, group: Group, engines: dict[str, Engine]) -> None:
        loop = asyncio.get_running_loop()
        self.name = name
        self.frozen = False
        self._engines = engines
        self._sender_by_engine: dict[str, tuple[OrderSender, asyncio.Task[None]]] = {}
        self.ownership = Ownership(
            name,
            PARTITIONS,
            group,  # type: ignore[arg-type]
            RecordedJournal(name),
            engines_check_fencing=True,
            settle_s=TURN_S,
            on_change=self._assign,
            clock=loop.time,
        )
        self._renewal = asyncio.ensure_future(self.ownership.renew_forever())

    async def freeze(self, seconds: float) -> None:
        """Do nothing for a while."""
        self.frozen = True
        self._renewal.cancel()
        await asyncio.sleep(seconds)
        self.frozen = False
        self._renewal = asyncio.ensure_future(self.ownership.renew_forever())

    def kill(self) -> None:
        """End without a word to anybody."""
        self._renewal.cancel()
        for _, task in self._sender_by_engine.values():
            task.cancel()

    def _assign(self) -> None:
        for engine_id in ENGINES:
            known = self._sender_by_engine.get(engine_id)
            if not self.ownership.holds(engine_id):
                if known is not None:
                    self._sender_by_engine.pop(engine_id)[1].cancel()
            elif known is None:
                sender = self._sender(engine_id)
                task = asyncio.ensure_future(self._order_forever(engine_id, sender))
                self._sender_by_engine[engine_id] = sender, task

    def _sender(self, engine_id: str) -> OrderSender:
        engine = self._engines[engine_id]

        async def order(
            record: EndpointRecord,
            order: EngineOrder,
            fence: int,
            expected: int | None,
            lost: int,
        ) -> OrderOutcome:
            return await engine.order(self.name, fence, expected)

        context = SimpleNamespace(
            rest_s=lambda engine_id: 0.0,
            client=SimpleNamespace(order=order),
            journal=RecordedJournal(self.name),
            fence=self.ownership.fence,
            may_order=self.ownership.may_order,
            on_order=self.ownership.on_order,
            # As VMs hear from the other owner.
            on_fenced=lambda record, fence: self.ownership.on_fenced(
                engine_id, engine.fence
            ),
        )
        record = EndpointRecord(engine_id, "llm", ("10.0.0.1", 1), "a", True, 8)
        return OrderSender(lambda: record, context, lambda: 1)  # type: ignore[arg-type]

    async def _order_forever(self, engine_id: str, sender: OrderSender) -> None:
        engine = self._engines[engine_id]
        while True:
            await asyncio.sleep(engine.rng.choice((0.02, 0.1, 0.1, 0.7)))
            if not self.frozen:
                sender.on_report(engine.report())
                if sender.may_order():
                    await sender.send(LOAD, sender.accepted_orders())


def pauses_of(given: list[tuple[float, str]]) -> list[float]:
    """Return how long VMs paused while another one ordered between their orders."""
    spans = [
        (name, [at for at, _ in orders])
        for name, orders in itertools.groupby(given, key=lambda order: order[1])
    ]
    return [
        after[0] - before[-1]
        for (name, before), _, (again, after) in zip(
            spans, spans[1:], spans[2:], strict=False
        )
        if name == again
    ]


class Site:
    """VMs that come, go and freeze at random."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.group = Group()
        self.engines = {name: Engine(self.rng) for name in ENGINES}
        self._names = itertools.count()
        self._vms = [self._start() for _ in range(3)]
        self._thaws: list[asyncio.Task[None]] = []

    async def play(self, changes: int) -> None:
        """Have a number of changes take place, then end."""
        for _ in range(changes):
            await asyncio.sleep(self.rng.choice((0.2, 1.2, 2.5, 5.0)))
            change = self.rng.choice(
                (self._add, self._move, self._stop, self._kill, self._freeze)
            )
            await change()
        for vm in self._vms:
            vm.kill()

    def _start(self) -> VM:
        # Random names, so that new members come between the others.
        name = f"{self.rng.randrange(100):02}-{next(self._names)}"
        return VM(name, self.group, self.engines)

    async def _add(self) -> None:
        self._vms.append(self._start())

    async def _move(self) -> None:
        for _ in range(self.rng.choice((1, 2, 3, 4))):
            self.group.move_all()
            await asyncio.sleep(0.2)

    async def _stop(self) -> None:
        if len(self._vms) > 2:
            vm = self.rng.choice(self._vms)
            self._vms.remove(vm)
            await vm.ownership.leave()
            vm.kill()

    async def _kill(self) -> None:
        if len(self._vms) > 2:
            vm = self.rng.choice(self._vms)
            self._vms.remove(vm)
            vm.kill()

    async def _freeze(self) -> None:
        vm = self.rng.choice(self._vms)
        if not vm.frozen:
            seconds = self.rng.choice((0.5, 2.2, 4.0))
            self._thaws.append(asyncio.ensure_future(vm.freeze(seconds)))


class TestChangesOfOwner:
    """Guards against owners that order an engine in turns within the lease time."""

    @pytest.mark.parametrize("seed", range(12))
    def test_nobody_returns_within_the_lease_time(self, seed: int) -> None:
        async def test() -> None:
            site = Site(seed)
            await site.play(40)
            pauses = [
                pause_s
                for engine in site.engines.values()
                for pause_s in pauses_of(engine.given)
            ]
            assert all(len(engine.given) > 100 for engine in site.engines.values())
            assert len(pauses) > 3
            assert min(pauses) > TURN_S

        run_in_virtual_time(test())

    def test_an_owner_that_was_fenced_waits_before_it_goes_on(self) -> None:
        async def test() -> None:
            group, engines = (
                Group(),
                {name: Engine(random.Random(1)) for name in ENGINES},
            )
            vm = VM("vm", group, engines)
            await asyncio.sleep(1.0)
            vm.ownership.on_order("e0", 5)
            vm.ownership.on_fenced("e0", above=1 << 40)
            assert not vm.ownership.may_order("e0", 6)
            await asyncio.sleep(TURN_S)
            assert vm.ownership.may_order("e0", 6)
            vm.kill()

        run_in_virtual_time(test())


class TestOrderTurns:
    """An owner waits no longer than it must."""

    def test_an_engine_that_nobody_ordered_since_is_ordered_at_once(self) -> None:
        clock = [10.0]
        turns = OrderTurns(TURN_S, RecordedJournal("vm"), lambda: clock[0])
        turns.on_order("e", 7)
        clock[0] = 11.0
        assert turns.may_order("e", 10.5, 7)
        assert not turns.may_order("e", 10.5, 8)
        assert not turns.may_order("e", 10.5, None)
        assert turns.may_order("never ordered", 10.5, 8)

    def test_it_waits_from_its_own_last_order_on(self) -> None:
        clock = [10.0]
        journal = RecordedJournal("vm")
        turns = OrderTurns(TURN_S, journal, lambda: clock[0])
        turns.on_order("e", 7)
        clock[0] = 12.9
        assert not turns.may_order("e", 12.8, 9)
        assert not turns.may_order("e", 12.8, 9)
        clock[0] = 13.0
        assert turns.may_order("e", 12.8, 9)
        assert [line["wait_s"] for line in journal.of("order_waits_turn")] == [0.1]

    def test_an_owner_that_goes_on_does_not_wait(self) -> None:
        turns = OrderTurns(TURN_S, RecordedJournal("vm"), lambda: 10.0)
        turns.on_order("e", None)
        assert turns.may_order("e", 9.0, 9)
        turns.on_fenced("e")
        assert not turns.may_order("e", 9.0, 9)

    def test_old_orders_are_forgotten(self) -> None:
        clock = [0.0]
        turns = OrderTurns(TURN_S, RecordedJournal("vm"), lambda: clock[0])
        for number in range(100):
            turns.on_order(f"e{number}", number)
            clock[0] += 1.0
            turns.drop_old()
        assert len(turns._last_by_engine) == 2
