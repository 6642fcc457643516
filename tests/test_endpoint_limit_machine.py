"""Beliefs of several VMs about an endpoint's limit, against what it says last."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from bamboovale.decisions.endpoint_limit import SAME_SHARE, LimitBelief

VMS = 3
LIMITS = st.sampled_from([None, 0.5, 4.0, 4.1, 50.0])

News = tuple[int, float | None, int]


class LimitBeliefMachine(RuleBasedStateMachine):
    """VMs read answers in any order and tell one another with any delay.

    The oracle is the endpoint's last limit, which one VM reads at the end.
    """

    def __init__(self) -> None:
        super().__init__()
        self.beliefs = [LimitBelief() for _ in range(VMS)]
        self.on_the_way: list[News] = []
        self.limit_per_s: float | None = None
        self.now = 0.0

    @rule(limit_per_s=LIMITS)
    def the_endpoint_changes(self, limit_per_s: float | None) -> None:
        self.limit_per_s = limit_per_s

    @rule(vm=st.integers(0, VMS - 1), age_s=st.sampled_from([0.01, 0.5, 2.0]))
    def a_vm_reads_an_answer(self, vm: int, age_s: float) -> None:
        self._read(vm, self.limit_per_s, age_s)

    @rule(vm=st.integers(0, VMS - 1))
    def a_vm_reads_a_late_answer_without_a_limit(self, vm: int) -> None:
        self._read(vm, None, 2.0)

    @rule(index=st.integers(0, 20))
    def news_arrive(self, index: int) -> None:
        if self.on_the_way:
            self._deliver(self.on_the_way.pop(index % len(self.on_the_way)))

    @rule(vm=st.integers(0, VMS - 1))
    def a_vm_starts_anew(self, vm: int) -> None:
        self.beliefs[vm] = LimitBelief()
        for other in self.beliefs:
            if other.number:
                self.on_the_way.append((vm, other.told_per_s, other.number))

    def teardown(self) -> None:
        """Deliver all news, let a VM read the last limit, and compare."""
        self._deliver_all()
        self._read(0, self.limit_per_s, 0.01)
        self._deliver_all()
        assert len({belief.told_per_s for belief in self.beliefs}) == 1
        for belief in self.beliefs:
            if self.limit_per_s is None:
                assert belief.limit_per_s is None
            else:
                known = belief.limit_per_s
                assert known is not None
                least, most = sorted((known, self.limit_per_s))
                assert most - least <= SAME_SHARE * most * 1.1

    def _read(self, vm: int, limit_per_s: float | None, age_s: float) -> None:
        self.now += 0.1
        belief = self.beliefs[vm]
        sent_at = self.now - age_s
        if belief.on_answer(limit_per_s, sent_at, self.now, ends=True):
            self._tell(vm)

    def _tell(self, vm: int) -> None:
        belief = self.beliefs[vm]
        self.on_the_way += [
            (other, belief.told_per_s, belief.number)
            for other in range(VMS)
            if other != vm
        ]

    def _deliver(self, news: News) -> None:
        self.now += 0.01
        vm, limit_per_s, number = news
        if self.beliefs[vm].on_news(limit_per_s, number, self.now):
            self._tell(vm)

    def _deliver_all(self) -> None:
        while self.on_the_way:
            self._deliver(self.on_the_way.pop())
        self.now += 3.0


TestLimitBeliefs = LimitBeliefMachine.TestCase
TestLimitBeliefs.settings = settings(max_examples=150, deadline=None)
