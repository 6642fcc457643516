"""Stateful test of leases: an engine never has two valid holders."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bamboovale.leases.fold import LeaseGapError, LeaseTable, Moved
from bamboovale.leases.own_leases import OwnLeases
from bamboovale.leases.records import Release, Take
from bamboovale.leases.recovery import LeaseRecovery
from bamboovale.leases.timing import LeaseTerms

NODES = 3
ENGINES = ("engine-1", "engine-2")
CLOCK_ERROR = 0.1
# The margin covers only rounding: the rules alone must tolerate the clock error.
TERMS = LeaseTerms(
    term_s=3.0,
    margin_s=1e-6,
    clock_error=CLOCK_ERROR,
    longest_term_s=3.0,
)

nodes = st.integers(0, NODES - 1)
engines = st.sampled_from(ENGINES)


class Node:
    """An entry VM with its own clock."""

    def __init__(self, name: str, rate: float, term_s: float) -> None:
        self.name = name
        self.rate = rate
        self.term_s = term_s
        self.restart(0)

    def restart(self, incarnation: int) -> None:
        self.id = f"{self.name}/{incarnation}"
        self.own = OwnLeases(self.id)
        self.table = LeaseTable.empty()
        # Set while the node has no lease table to continue from.
        self.recovery: LeaseRecovery | None = None
        self.sent = 0

    def clock(self, now: float) -> float:
        return 1000.0 + self.rate * now

    def next_record_id(self) -> str:
        self.sent += 1
        return f"{self.id}:{self.sent}"


class LeaseMachine(RuleBasedStateMachine):
    """Read lag, pauses, and appends that are late, repeated or from before a restart.

    Nodes have different terms, as during the rollout of a setting, and may change them.
    """

    @initialize(
        rates=st.lists(
            st.sampled_from([1 - CLOCK_ERROR, 1.0, 1 + CLOCK_ERROR]),
            min_size=NODES,
            max_size=NODES,
        ),
        terms=st.lists(
            st.sampled_from([1.5, 3.0]),
            min_size=NODES,
            max_size=NODES,
        ),
    )
    def start(self, rates: list[float], terms: list[float]) -> None:
        self.now = 0.0
        self.log: list[Any] = []
        self.first = 0
        self.in_flight: list[Any] = []
        self.nodes = [
            Node(f"entry-{i}", rate, term_s)
            for i, (rate, term_s) in enumerate(zip(rates, terms, strict=True))
        ]
        self.incarnations = 0
        self.fencing_by_engine: dict[str, int] = {}

    def send(self, node: Node, record: Any) -> None:
        node.own.note_sent(record, node.clock(self.now))
        self.in_flight.append(record.to_json())

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.7, 3.0, 3.4]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(index=st.integers(0, 9), keep=st.booleans())
    def append_one(self, index: int, keep: bool) -> None:
        """Append a record in flight; a kept one may be appended again."""
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        value = self.in_flight[index] if keep else self.in_flight.pop(index)
        self.log.append(value)

    @rule(node=nodes, term_s=st.sampled_from([1.5, 3.0]))
    def change_term(self, node: int, term_s: float) -> None:
        self.nodes[node].term_s = term_s

    @rule(node=nodes, count=st.integers(1, 5))
    def read(self, node: int, count: int) -> None:
        self.read_on(self.nodes[node], count)

    def read_on(self, node: Node, count: int) -> None:
        for _ in range(count):
            if node.recovery is not None:
                self.recover(node, node.recovery)
                return
            offset = max(node.table.next_offset, self.first)
            if offset >= len(self.log):
                return
            try:
                outcome = node.table.apply(
                    offset, self.log[offset], node.clock(self.now)
                )
            except LeaseGapError:
                node.recovery = LeaseRecovery(offset, node.clock(self.now))
                self.recover(node, node.recovery)
                return
            if isinstance(outcome, Moved):
                self.check_fencing(outcome)
            node.own.apply(outcome)

    def recover(self, node: Node, recovery: LeaseRecovery) -> None:
        for offset in range(self.first, len(self.log)):
            clock = node.clock(self.now)
            table = recovery.add(offset, self.log[offset], clock)
            if table is not None and table.next_offset >= node.table.next_offset:
                node.table = table
                node.recovery = None
                node.own.reconcile(table.lease_by_engine)
                return

    @rule(node=nodes, appended=st.booleans())
    def reset_when_due(self, node: int, appended: bool) -> None:
        actor = self.nodes[node]
        self.read_on(actor, 99)
        if actor.recovery is None:
            return
        clock = actor.clock(self.now)
        due = actor.recovery.reset_allowed_at(TERMS, rank=0)
        self.now += max(0.0, (due - clock) / actor.rate)
        if actor.clock(self.now) >= due:
            self.send(actor, actor.recovery.reset(actor.next_record_id(), actor.id))
        if appended:
            self.append_last(actor)

    def check_fencing(self, outcome: Moved) -> None:
        highest = self.fencing_by_engine.get(outcome.engine, -1)
        if outcome.offset > highest:
            assert outcome.fencing > highest
            self.fencing_by_engine[outcome.engine] = outcome.fencing

    @rule(node=nodes)
    def renew(self, node: int) -> None:
        holder = self.nodes[node]
        self.send(holder, holder.own.renewal(holder.next_record_id(), holder.term_s))

    @rule(node=nodes, engine=engines)
    def take_when_due(self, node: int, engine: str) -> None:
        taker = self.nodes[node]
        if taker.recovery is not None:
            return
        lease = taker.table.lease_by_engine.get(engine)
        clock = taker.clock(self.now)
        if clock < TERMS.take_allowed_at(lease, rank=0, now=clock):
            return
        after = taker.table.last_offset(engine)
        record_id = taker.next_record_id()
        self.send(taker, Take(record_id, taker.id, engine, after, taker.term_s))

    @rule(node=nodes, engine=engines, successor=st.integers(-1, NODES - 1))
    def hand_over(self, node: int, engine: str, successor: int) -> None:
        holder = self.nodes[node]
        held = holder.own.held_by_engine.get(engine)
        if held is None:
            return
        holder.own.drop(engine)
        next_node = self.nodes[successor].id if successor >= 0 else None
        record_id = holder.next_record_id()
        self.send(
            holder, Release(record_id, holder.id, engine, held.fencing, next_node)
        )

    @rule(node=nodes, engine=engines, at_once=st.booleans())
    def take_as_early_as_allowed(self, node: int, engine: str, at_once: bool) -> None:
        """Read all records, wait for as long as required, take and read back."""
        taker = self.nodes[node]
        self.read_on(taker, 99)
        lease = taker.table.lease_by_engine.get(engine)
        clock = taker.clock(self.now)
        due = TERMS.take_allowed_at(lease, rank=0, now=clock)
        self.now += max(0.0, (due - clock) / taker.rate)
        self.take_when_due(node, engine)
        if at_once:
            self.append_last(taker)

    @rule(node=nodes, seconds=st.sampled_from([0.0, 1.0, 2.9]))
    def renew_and_read_back(self, node: int, seconds: float) -> None:
        self.read_on(self.nodes[node], 99)
        self.renew(node)
        self.now += seconds
        self.append_last(self.nodes[node])

    @rule(node=nodes, seconds=st.sampled_from([0.5, 2.0]))
    def renew_again_after_a_lost_response(self, node: int, seconds: float) -> None:
        holder = self.nodes[node]
        self.read_on(holder, 99)
        renewal = holder.own.renewal(holder.next_record_id(), holder.term_s)
        self.send(holder, renewal)
        self.log.append(self.in_flight.pop())
        for other in self.nodes:
            if other is not holder:
                self.read_on(other, 99)
        self.now += seconds
        self.send(holder, renewal)
        self.read_on(holder, 99)

    @rule(node=nodes, holder=nodes, engine=engines)
    def take_that_is_appended_after_a_renewal(
        self,
        node: int,
        holder: int,
        engine: str,
    ) -> None:
        """Pause the writer of a valid take before its append."""
        self.renew_and_read_back(holder, 0.0)
        self.take_as_early_as_allowed(node, engine, at_once=False)
        take = self.in_flight.pop() if self.in_flight else None
        self.renew_and_read_back(holder, 0.0)
        self.log.append(take)
        self.read_on(self.nodes[node], 99)

    @rule(node=nodes, engine=engines, successor=nodes)
    def hand_over_and_renew(self, node: int, engine: str, successor: int) -> None:
        self.read_on(self.nodes[node], 99)
        if engine in self.nodes[node].own.held_by_engine:
            self.hand_over(node, engine, successor)
            self.log.append(self.in_flight.pop())
            self.renew_and_read_back(successor, 0.0)

    def append_last(self, node: Node) -> None:
        if self.in_flight:
            self.log.append(self.in_flight.pop())
        self.read_on(node, 99)

    @rule(node=nodes)
    def write_snapshot(self, node: int) -> None:
        writer = self.nodes[node]
        if writer.recovery is not None:
            return
        self.in_flight.append(writer.table.snapshot(writer.next_record_id()))

    @rule(count=st.integers(1, 4))
    def expire(self, count: int) -> None:
        self.first = min(self.first + count, len(self.log))

    @rule(node=nodes, other=nodes, kept=st.integers(0, 3))
    def expire_after_a_snapshot(self, node: int, other: int, kept: int) -> None:
        self.read_on(self.nodes[node], 99)
        self.write_snapshot(node)
        self.append_last(self.nodes[node])
        self.first = max(self.first, len(self.log) - 1 - kept)
        self.restart(other)
        self.read_on(self.nodes[other], 1)
        self.read_on(self.nodes[other], 99)

    @rule(node=nodes)
    def restart(self, node: int) -> None:
        self.incarnations += 1
        self.nodes[node].restart(self.incarnations)

    @invariant()
    def at_most_one_valid_holder(self) -> None:
        for engine in ENGINES:
            valid = [
                node.id
                for node in self.nodes
                if node.own.fencing(engine, node.clock(self.now)) is not None
            ]
            assert len(valid) <= 1, f"{engine} is held by {valid}"


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(
    max_examples=400,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
)
