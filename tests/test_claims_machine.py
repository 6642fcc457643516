"""Stateful test of claims: no key is sent twice within the horizon."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bamboovale.claims.fold import ClaimGapError, ClaimTable, Verdict
from bamboovale.claims.records import Answered, Claim, ClaimItem, Released, encode_items

NODES = 3
KEYS = ("a", "b", "c")
HORIZON_S = 100.0
# Two keys per customer, so that tables become full.
MAX_CLAIMS = 4

nodes = st.integers(0, NODES - 1)


class Node:
    """One incarnation of an entry VM."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.table = ClaimTable(HORIZON_S, MAX_CLAIMS)
        self.group: list[ClaimItem] = []
        self.won: list[Claim] = []
        self.open_by_attempt: dict[str, Claim] = {}


class ClaimMachine(RuleBasedStateMachine):
    """Read lag, late and repeated appends, releases, restarts and gaps."""

    @initialize()
    def start(self) -> None:
        self.time = 0.0
        self.log: list[tuple[float, Any]] = []
        self.first = 0
        self.in_flight: list[Any] = []
        self.nodes = [Node(f"entry-{number}") for number in range(NODES)]
        self.attempts = 0
        self.claimed_at_by_attempt: dict[str, float] = {}
        self.sent: list[Claim] = []
        self.released: set[str] = set()

    @rule(seconds=st.sampled_from([1.0, 30.0, 60.0, 100.0]))
    def wait(self, seconds: float) -> None:
        self.time += seconds

    @rule(node=nodes, key=st.sampled_from(KEYS), body=st.sampled_from("xxxy"))
    def claim(self, node: int, key: str, body: str) -> None:
        self.attempts += 1
        writer = self.nodes[node]
        claim = Claim(key, "o", body, writer.name, "i", f"attempt-{self.attempts}")
        writer.open_by_attempt[claim.attempt_id] = claim
        writer.group.append(claim)

    @rule(node=nodes)
    def commit(self, node: int) -> None:
        writer = self.nodes[node]
        self.in_flight.append(encode_items(writer.group))
        writer.group = []

    @rule(index=st.integers(0, 9), keep=st.booleans())
    def append_one(self, index: int, keep: bool) -> None:
        """Append a value in flight; a kept one may be appended again."""
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        value = self.in_flight[index] if keep else self.in_flight.pop(index)
        self.log.append((self.time, value))

    @rule(node=nodes, key=st.sampled_from(KEYS))
    def claim_commit_and_read(self, node: int, key: str) -> None:
        self.claim(node, key, "x")
        self.commit(node)
        self.log.append((self.time, self.in_flight.pop()))
        self.read(node, 99)

    @rule(node=nodes, count=st.integers(1, 5))
    def read(self, node: int, count: int) -> None:
        reader = self.nodes[node]
        for _ in range(count):
            offset = max(reader.table.next_offset, self.first)
            if offset >= len(self.log):
                return
            log_time, value = self.log[offset]
            try:
                outcomes = reader.table.apply(offset, value, log_time)
            except ClaimGapError:
                self.give_up_all(reader)
                reader.table = ClaimTable.after_gap(offset, HORIZON_S, MAX_CLAIMS)
                outcomes = reader.table.apply(offset, value, log_time)
            for outcome in outcomes:
                claim = reader.open_by_attempt.pop(outcome.claim.attempt_id, None)
                if claim is None:
                    continue
                if outcome.verdict is Verdict.WON:
                    self.claimed_at_by_attempt[claim.attempt_id] = log_time
                    reader.won.append(claim)
                elif outcome.verdict is Verdict.UNKNOWN:
                    self.release(reader, claim)

    def give_up_all(self, node: Node) -> None:
        for claim in (*node.open_by_attempt.values(), *node.won):
            self.release(node, claim)
        node.open_by_attempt.clear()
        node.won.clear()

    def release(self, node: Node, claim: Claim) -> None:
        self.released.add(claim.attempt_id)
        node.group.append(Released(claim.key, claim.owner, claim.attempt_id))

    @rule(node=nodes, sends=st.booleans())
    def send_or_release(self, node: int, sends: bool) -> None:
        holder = self.nodes[node]
        if not holder.won:
            return
        claim = holder.won.pop(0)
        if not sends:
            self.release(holder, claim)
            return
        self.sent.append(claim)
        holder.group.append(Answered(claim.key, claim.owner, claim.attempt_id, 200))

    @rule(node=nodes)
    def give_up_before_the_verdict(self, node: int) -> None:
        writer = self.nodes[node]
        if writer.open_by_attempt:
            attempt_id = next(iter(writer.open_by_attempt))
            self.release(writer, writer.open_by_attempt.pop(attempt_id))

    @rule(count=st.integers(1, 6))
    def expire(self, count: int) -> None:
        self.first = min(self.first + count, len(self.log))

    @rule(node=nodes, count=st.sampled_from([0, 1, 99]))
    def replace_a_vm(self, node: int, count: int) -> None:
        self.nodes[node] = Node(f"entry-{node}")
        self.read(node, count)

    @rule(node=nodes, other=nodes, key=st.sampled_from(KEYS), sends=st.booleans())
    def claim_expires_before_a_start(
        self,
        node: int,
        other: int,
        key: str,
        sends: bool,
    ) -> None:
        self.claim_commit_and_read(node, key)
        self.send_or_release(node, sends)
        self.first = len(self.log)
        self.replace_a_vm(other, 99)

    @rule(node=nodes, key=st.sampled_from(KEYS))
    def claim_and_give_up(self, node: int, key: str) -> None:
        self.claim(node, key, "x")
        self.give_up_before_the_verdict(node)
        self.commit(node)
        self.log.append((self.time, self.in_flight.pop()))

    @rule(node=nodes, key=st.sampled_from(KEYS))
    def repeat_for_longer_than_a_horizon(self, node: int, key: str) -> None:
        for _ in range(2):
            self.time += 60.0
            self.claim_read_and_send(node, key)

    @rule(node=nodes, key=st.sampled_from(KEYS))
    def claim_read_and_send(self, node: int, key: str) -> None:
        self.claim_commit_and_read(node, key)
        self.send_or_release(node, True)

    @invariant()
    def a_key_is_sent_once_within_the_horizon(self) -> None:
        claimed_at_by_key: dict[str, float] = {}
        for claim in sorted(
            self.sent, key=lambda claim: self.claimed_at_by_attempt[claim.attempt_id]
        ):
            assert claim.attempt_id not in self.released
            claimed_at = self.claimed_at_by_attempt[claim.attempt_id]
            before = claimed_at_by_key.get(claim.key)
            assert before is None or claimed_at - before >= HORIZON_S
            claimed_at_by_key[claim.key] = claimed_at


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=400,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
)
