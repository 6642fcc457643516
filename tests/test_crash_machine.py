"""Evidence of crashes at three VMs, in any order of events."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bamboovale.crashes.evidence import Counted, CrashEvidence, Finding, Sound

VMS = 3
PARTS = ("part:route", "part:customer")
GUILTY = "part:guilty"
MAX_CRASHES = 4
"""Crashes of engines under the guilty part while all VMs hear one another."""


class CrashMachine(RuleBasedStateMachine):
    """Sound requests begin answers; the guilty part crashes what runs it.

    Each VM tells the others at once, unless it is cut off. What a VM knew is gone when
    it starts anew; the others then tell it what they know of crashes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.evidence = [CrashEvidence() for _ in range(VMS)]
        self.cut: set[int] = set()
        self.crashes = 0
        self.told: list[Counted | Sound] = []
        self.kept_back: list[Counted | Sound] = []
        self.engines = 0

    def _tell(self, vm: int, found: list[Finding]) -> None:
        """Tell the others what a VM would, and record it for those that start later."""
        news = [item for item in found if isinstance(item, Counted | Sound)]
        for item in news:
            if vm in self.cut:
                self.kept_back.append(item)
            elif item not in self.told:
                self.told.append(item)
                for other in self._hearers(vm):
                    self._hear(other, item)

    def _hear(self, vm: int, news: Counted | Sound) -> None:
        evidence = self.evidence[vm]
        if isinstance(news, Sound):
            evidence.on_sound(news.subject, news.age_s, self.now)
            return
        found = evidence.on_crashed(news.endpoint_id, self.now)
        found += evidence.on_run_lost(
            news.subject, news.endpoint_id, self.now, by_peer=True
        )
        self._tell(vm, found)

    def _hearers(self, vm: int) -> list[int]:
        if vm in self.cut:
            return []
        return [o for o in range(VMS) if o != vm and o not in self.cut]

    def _is_refused(self, vm: int, subjects: tuple[str, ...]) -> bool:
        return any(self.evidence[vm].is_refused(s, self.now) for s in subjects)

    def _crash(self, runs: list[tuple[int, tuple[str, ...]]]) -> None:
        """Crash an engine with the runs of some VMs."""
        self.engines += 1
        engine = f"e{self.engines}"
        for vm, subjects in runs:
            for subject in subjects:
                self.evidence[vm].on_run_lost(subject, engine, self.now)
        for vm in dict.fromkeys(vm for vm, _ in runs):
            self._tell(vm, self.evidence[vm].on_crashed(engine, self.now))

    @rule(vm=st.integers(0, VMS - 1))
    def sound_request_begins(self, vm: int) -> None:
        """Begin an answer on the shared parts, if they are not refused."""
        if not self._is_refused(vm, PARTS):
            self._tell(vm, self.evidence[vm].on_begun(PARTS, self.now))
            for other in self._hearers(vm):
                assert not self._is_refused(other, PARTS)

    @rule(vm=st.integers(0, VMS - 1), beside=st.integers(0, VMS - 1))
    def guilty_request(self, vm: int, beside: int) -> None:
        """Crash an engine under the guilty part, with a sound request beside."""
        self.now += 0.2
        own = (f"r{self.engines}", *PARTS, GUILTY)
        if self._is_refused(vm, own):
            return
        if not self.cut:
            self.crashes += 1
        self._crash([(vm, own), (beside, (f"s{self.engines}", *PARTS))])

    @rule(vm=st.integers(0, VMS - 1))
    def engine_is_killed(self, vm: int) -> None:
        """Crash an engine by itself, with a sound request that had not begun."""
        self.now += 0.2
        self._crash([(vm, (f"k{self.engines}", *PARTS))])

    @rule(vm=st.integers(0, VMS - 1))
    def vm_starts_anew(self, vm: int) -> None:
        """Kill a VM's process; the others tell the next one of crashes."""
        self.evidence[vm] = CrashEvidence()
        if self._hearers(vm):
            for news in list(self.told):
                self._hear(vm, news)

    @rule(vm=st.integers(0, VMS - 1))
    def vm_is_cut_off(self, vm: int) -> None:
        """Cut a VM off from the others."""
        self.cut.add(vm)

    @rule()
    def cuts_heal(self) -> None:
        """Have all VMs hear one another again, and what was told meanwhile."""
        self.cut.clear()
        self.told += [item for item in self.kept_back if item not in self.told]
        self.kept_back.clear()
        for vm in range(VMS):
            for news in list(self.told):
                self._hear(vm, news)

    @invariant()
    def the_guilty_part_is_refused_soon(self) -> None:
        """Guards against engines that crash one after the other under one part."""
        assert self.crashes <= MAX_CRASHES + 2 * len(self.cut)


CrashMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=60, deadline=None
)
TestCrashes = CrashMachine.TestCase
