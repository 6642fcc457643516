"""Tests of the load scheduler: limits of the weight store and order of grants."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bamboovale.decisions.load_scheduler import LoadConfig, LoadGrant, LoadScheduler

CONFIG = LoadConfig(rate_per_s=5.0, at_once=2)


class LoadMachine(RuleBasedStateMachine):
    """Guards against grants beyond the limits of the weight store."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.scheduler = LoadScheduler.from_config(CONFIG)
        self.given = 0
        self.returned = 0
        self.open: list[LoadGrant] = []

    def add_grants(self, grants: list[LoadGrant]) -> None:
        self.given += len(grants)
        self.open += grants

    @rule(
        engine=st.sampled_from(["e1", "e2", "e3"]),
        name=st.sampled_from("abcdef"),
        weight=st.floats(0.1, 50.0),
    )
    def request_load(self, engine: str, name: str, weight: float) -> None:
        self.add_grants(self.scheduler.on_request(engine, name, weight, self.now))

    @precondition(lambda self: self.open)
    @rule(loaded=st.booleans())
    def end(self, loaded: bool) -> None:
        grant = self.open.pop(0)
        self.add_grants(self.scheduler.on_done(grant.number, self.now, loaded=loaded))

    @precondition(lambda self: self.open)
    @rule()
    def give_back(self) -> None:
        grant = self.open.pop(0)
        self.returned += grant.number in self.scheduler.grant_by_number
        self.add_grants(self.scheduler.on_returned(grant.number, self.now))

    @precondition(lambda self: self.open)
    @rule()
    def lose(self) -> None:
        grant = self.open.pop(0)
        self.add_grants(self.scheduler.on_lost(grant.number, self.now))

    @rule(seconds=st.sampled_from([0.05, 0.5, 4.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.add_grants(self.scheduler.on_tick(self.now))

    @invariant()
    def keeps_limits(self) -> None:
        assert len(self.scheduler.grant_by_number) <= CONFIG.at_once
        max_grants = CONFIG.at_once + CONFIG.rate_per_s * self.now
        assert self.given - self.returned <= max_grants + 1e-6
        assert self.scheduler.pending <= 18

    def teardown(self) -> None:
        """Guard against silent holders or a failing store that block it for ever."""
        for _ in range(400):
            grants = self.scheduler.on_request("e9", "z", 0.1, self.now)
            grants += self.scheduler.on_tick(self.now)
            while grants:
                grant = grants.pop()
                if grant.lora_name == "z":
                    return
                grants += self.scheduler.on_done(grant.number, self.now, loaded=True)
            self.now += 0.1
        raise AssertionError("a load request was never granted")


TestLoadMachine = LoadMachine.TestCase
TestLoadMachine.settings = settings(
    max_examples=80,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)


class TestOrder:
    """Guards against grants by arrival and against load on a failing store."""

    def test_higher_weight_goes_first(self) -> None:
        scheduler = LoadScheduler.from_config(CONFIG)
        first_grants = scheduler.on_request("e1", "a", 1.0, 0.0)
        first_grants += scheduler.on_request("e1", "b", 1.0, 0.0)
        assert len(first_grants) == 2
        scheduler.on_request("e2", "light", 1.0, 0.1)
        scheduler.on_request("e3", "heavy", 9.0, 0.1)
        (grant,) = scheduler.on_done(first_grants[0].number, 0.4, loaded=True)
        assert grant.lora_name == "heavy"

    def test_failing_store_is_probed_by_one_load(self) -> None:
        scheduler = LoadScheduler.from_config(CONFIG)
        grants = scheduler.on_request("e1", "a", 1.0, 0.0)
        scheduler.on_request("e2", "b", 1.0, 0.0)
        scheduler.on_request("e3", "c", 1.0, 0.0)
        assert scheduler.on_done(grants[0].number, 0.1, loaded=False) == []
        assert scheduler.on_tick(0.5) == []

    def test_static_share(self) -> None:
        share = LoadScheduler.static_share(CONFIG, live_vms=10)
        given = []
        for number in range(100):
            now = number / 10
            given += share.on_request("e1", f"a{number}", 1.0, now)
            for grant in list(share.grant_by_number.values()):
                given += share.on_done(grant.number, now, loaded=True)
        assert len(given) <= 1 + 5.0 * 10 / 10
