"""Turns at the weight store stay within its limits and go to most waiting work."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bamboovale.decisions.load_scheduler import LoadConfig, LoadGrant, LoadScheduler

CONFIG = LoadConfig(rate_per_s=5.0, at_once=2)


class LoadMachine(RuleBasedStateMachine):
    """Holders ask, use turns, fail, fall silent; the store's limits always hold."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.scheduler = LoadScheduler.from_config(CONFIG)
        self.given = 0
        self.returned = 0
        self.open: list[LoadGrant] = []

    def take(self, turns: list[LoadGrant]) -> None:
        self.given += len(turns)
        self.open += turns

    @rule(
        engine=st.sampled_from(["e1", "e2", "e3"]),
        name=st.sampled_from("abcdef"),
        weight=st.floats(0.1, 50.0),
    )
    def ask(self, engine: str, name: str, weight: float) -> None:
        self.take(self.scheduler.on_request(engine, name, weight, self.now))

    @precondition(lambda self: self.open)
    @rule(loaded=st.booleans())
    def end(self, loaded: bool) -> None:
        turn = self.open.pop(0)
        self.take(self.scheduler.on_done(turn.number, self.now, loaded=loaded))

    @precondition(lambda self: self.open)
    @rule()
    def give_back(self) -> None:
        turn = self.open.pop(0)
        self.returned += turn.number in self.scheduler.grant_by_number
        self.take(self.scheduler.on_returned(turn.number, self.now))

    @rule(seconds=st.sampled_from([0.05, 0.5, 4.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.take(self.scheduler.on_tick(self.now))

    @invariant()
    def keeps_limits(self) -> None:
        assert len(self.scheduler.grant_by_number) <= CONFIG.at_once
        most = CONFIG.at_once + CONFIG.rate_per_s * self.now
        assert self.given - self.returned <= most + 1e-6
        assert self.scheduler.pending <= 18

    def teardown(self) -> None:
        """Silent holders or a failing store never block it for good."""
        for _ in range(400):
            turns = self.scheduler.on_request("e9", "z", 0.1, self.now)
            turns += self.scheduler.on_tick(self.now)
            while turns:
                turn = turns.pop()
                if turn.lora_name == "z":
                    return
                turns += self.scheduler.on_done(turn.number, self.now, loaded=True)
            self.now += 0.1
        raise AssertionError("an ask was never served")


TestLoadMachine = LoadMachine.TestCase
TestLoadMachine.settings = settings(
    max_examples=80,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)


class TestOrder:
    """Most waiting work first, within the rate."""

    def test_heavier_ask_goes_first(self) -> None:
        scheduler = LoadScheduler.from_config(CONFIG)
        first = scheduler.on_request("e1", "a", 1.0, 0.0)
        first += scheduler.on_request("e1", "b", 1.0, 0.0)
        assert len(first) == 2
        scheduler.on_request("e2", "light", 1.0, 0.1)
        scheduler.on_request("e3", "heavy", 9.0, 0.1)
        (turn,) = scheduler.on_done(first[0].number, 0.4, loaded=True)
        assert turn.lora_name == "heavy"

    def test_failing_store_is_probed_by_one_load(self) -> None:
        scheduler = LoadScheduler.from_config(CONFIG)
        turns = scheduler.on_request("e1", "a", 1.0, 0.0)
        scheduler.on_request("e2", "b", 1.0, 0.0)
        scheduler.on_request("e3", "c", 1.0, 0.0)
        assert scheduler.on_done(turns[0].number, 0.1, loaded=False) == []
        assert scheduler.on_tick(0.5) == []

    def test_static_share(self) -> None:
        share = LoadScheduler.static_share(CONFIG, live_vms=10)
        given = []
        for number in range(100):
            now = number / 10
            given += share.on_request("e1", f"a{number}", 1.0, now)
            for turn in list(share.grant_by_number.values()):
                given += share.on_done(turn.number, now, loaded=True)
        assert len(given) <= 1 + 5.0 * 10 / 10
