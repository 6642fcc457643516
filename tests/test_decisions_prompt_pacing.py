"""Tests that pacing the prompts of an engine keeps the pauses of its streams short."""

import random
from dataclasses import dataclass, field, replace

import pytest
import simpy

from bamboovale.decisions.prefill_speed import PrefillSpeed
from bamboovale.decisions.prompt_pacing import PromptPacing
from bamboovale.decisions.stall_detector import StallDetector, is_pool_stalled
from bamboovale.emulator.engine import (
    EngineFigures,
    EngineModel,
    EngineRun,
    SharedStore,
)

KEY = ("base", "a1")
FAST = EngineFigures(places=200, kv_tokens=10_000_000)
SLOW = replace(FAST, slowness=1.3)
QUICK = replace(FAST, read_tokens_per_s=38_700.0, step_s=0.0055, tokens_per_event=5)


@dataclass
class Stream:
    """Events that one caller received."""

    requested_at: float
    event_at: list[float] = field(default_factory=list)

    def is_in_time(self, goal_s: float, pause_s: float) -> bool:
        return self.event_at[0] - self.requested_at <= goal_s and (
            self.longest_pause_s <= pause_s
        )

    @property
    def longest_pause_s(self) -> float:
        gaps = zip(self.event_at, self.event_at[1:], strict=False)
        return max((later - earlier for earlier, later in gaps), default=0.0)


@dataclass
class PacedEngine:
    """An engine behind its pacing, without adapters and places."""

    figures: EngineFigures
    pause_s: float
    paced: bool = False

    def __post_init__(self) -> None:
        self.env = simpy.Environment()
        self.engine = EngineModel(self.env, self.figures, SharedStore())
        self.engine.version_by_adapter[KEY] = 1
        self.pacing = PromptPacing()
        self.pacing.pool_stalled = self.paced
        self.queue: list[tuple[str, int, int, Stream]] = []
        self.streams: list[Stream] = []

    def send_prompt(self, tokens: int, output_tokens: int = 200) -> Stream:
        stream = Stream(self.env.now)
        self.streams.append(stream)
        self.queue.append((f"r{len(self.streams)}", tokens, output_tokens, stream))
        self.decide()
        return stream

    def decide(self) -> None:
        while self.queue:
            name, tokens, output_tokens, stream = self.queue[0]
            now = self.env.now
            wait_s = self.pacing.wait_s(tokens, self.pause_s, now)
            if wait_s > 0:
                self.env.process(self._decide_after(wait_s))
                return
            del self.queue[0]
            self.pacing.on_granted(name, tokens, now)
            self._begin(name, tokens, output_tokens, stream)

    def _decide_after(self, wait_s: float):
        yield self.env.timeout(wait_s)
        self.decide()

    def _begin(self, name: str, tokens: int, output_tokens: int, stream: Stream):
        def on_event(now: float) -> None:
            if not stream.event_at:
                self.pacing.on_first_event(name, now)
            elif now - stream.event_at[-1] > self.pause_s >= stream.longest_pause_s:
                self.pacing.on_stall(now - stream.event_at[-1], now)
            stream.event_at.append(now)

        run = EngineRun(
            name,
            KEY,
            tokens,
            output_tokens,
            on_event,
            on_end=lambda now: None,
        )
        assert self.engine.start(run, 1)

    def warm_up(self, seed: int = 1) -> None:
        """Let it learn the prefill speed from single prompts."""
        rng = random.Random(seed)
        for _ in range(60):
            self.send_prompt(rng.randint(200, 3000), output_tokens=2)
            self.env.run(self.env.now + 0.4)


class IgnoringDetector(StallDetector):
    """A detector that ignores stalls."""

    def on_stall(self, pause_s: float, read_s: float, now: float) -> None:
        """Ignore the stall."""


class TestPauses:
    """Guards against streams that stall while an engine gets many prompts."""

    @pytest.mark.parametrize("figures", [FAST, SLOW])
    def test_a_burst_of_prompts_stalls_no_stream(self, figures: EngineFigures) -> None:
        """Guards against a burst of prompts that stalls all streams of a batch."""
        longest_by_paced = {}
        for paced in (False, True):
            site = PacedEngine(figures, pause_s=0.3, paced=paced)
            if not paced:
                site.pacing.stall_detector = IgnoringDetector()
            site.warm_up()
            running = [site.send_prompt(300) for _ in range(2)]
            site.env.run(site.env.now + 1.0)
            burst = [site.send_prompt(1400) for _ in range(8)]
            site.env.run(site.env.now + 20.0)
            assert all(stream.event_at for stream in burst)
            longest_by_paced[paced] = max(s.longest_pause_s for s in running + burst)
        assert longest_by_paced[True] <= 0.3 < longest_by_paced[False]

    def test_no_prompt_waits_where_long_pauses_are_allowed(self) -> None:
        """Guards against pacing a fast engine with a wide bound."""
        site = PacedEngine(QUICK, pause_s=0.4, paced=True)
        site.warm_up()
        for _ in range(20):
            stream = site.send_prompt(600)
            assert not site.queue
            site.env.run(site.env.now + 0.08)
            assert stream.event_at[0] - stream.requested_at < 0.06

    def test_a_long_prompt_starts_among_short_ones(self) -> None:
        """Guards against a prompt above the bound that starves among short ones."""
        site = PacedEngine(FAST, pause_s=0.3, paced=True)
        site.warm_up()
        rng = random.Random(2)
        long_one = None
        for number in range(100):
            site.send_prompt(rng.randint(300, 1500), output_tokens=60)
            if number == 30:
                long_one = site.send_prompt(4600)
            site.env.run(site.env.now + 0.08)
        assert long_one is not None and long_one.event_at
        assert long_one.event_at[0] - long_one.requested_at < 1.0

    def test_most_streams_keep_their_pause_under_an_uneven_load(self) -> None:
        """Guards against late streams when prompts arrive unevenly."""
        share_by_paced = {}
        for paced in (False, True):
            site = PacedEngine(FAST, pause_s=0.3, paced=paced)
            if not paced:
                site.pacing.stall_detector = IgnoringDetector()
            site.warm_up()
            rng = random.Random(1)
            from_stream = len(site.streams)
            for _ in range(140):
                for _ in range(rng.choice((1, 1, 2, 2))):
                    site.send_prompt(_tokens(rng), _output_tokens(rng))
                site.env.run(site.env.now + rng.expovariate(5.0 / 1.5))
            site.env.run(site.env.now + 30.0)
            streams = site.streams[from_stream:]
            good = sum(stream.is_in_time(0.75, 0.3) for stream in streams)
            share_by_paced[paced] = good / len(streams)
        assert share_by_paced[False] < 0.75
        assert share_by_paced[True] > 0.95


def _tokens(rng: random.Random) -> int:
    """Return the length of a prompt; a few are ten times as long as most."""
    return int(min(4000, max(100, rng.lognormvariate(6.8, 0.9))))


def _output_tokens(rng: random.Random) -> int:
    return int(min(546, max(1, rng.lognormvariate(4.75, 0.9))))


class TestStallDetector:
    """Guards against pacing engines whose streams do not stall."""

    def send_bursts(self, site: PacedEngine, seconds: float) -> list[Stream]:
        site.warm_up()
        rng = random.Random(6)
        from_stream = len(site.streams)
        until = site.env.now + seconds
        while site.env.now < until:
            for _ in range(6):
                site.send_prompt(_tokens(rng), _output_tokens(rng))
            site.env.run(site.env.now + 1.2)
        site.env.run(site.env.now + 20.0)
        return site.streams[from_stream:]

    def test_an_engine_without_stalls_is_not_paced(self) -> None:
        """Guards against callers that wait for pacing although no stream stalls."""
        site = PacedEngine(QUICK, pause_s=0.4)
        streams = self.send_bursts(site, 30.0)
        assert not site.pacing.is_on()
        assert all(stream.longest_pause_s <= 0.4 for stream in streams)

    def test_bursts_show_that_an_engine_stalls(self) -> None:
        """Guards against an engine that is never paced although its streams stall."""
        late_share = []
        for detector in (IgnoringDetector(), StallDetector()):
            site = PacedEngine(FAST, pause_s=0.3)
            site.pacing.stall_detector = detector
            streams = self.send_bursts(site, 30.0)
            late = sum(stream.longest_pause_s > 0.3 for stream in streams)
            late_share.append(late / len(streams))
        late_ignored, late_detected = late_share
        assert late_detected < 0.2 < 0.4 < late_ignored

    def test_stalls_without_prefill_do_not_count(self) -> None:
        """Guards against pacing an idle engine after its VM was suspended."""
        detector = StallDetector()
        for number in range(20):
            detector.on_stream(number * 0.01)
            detector.on_stall(1.0, 0.2, number * 0.01)
        assert not detector.is_stalled()

    def test_a_single_stall_does_not_count(self) -> None:
        detector = StallDetector()
        detector.on_stream(0.0)
        detector.on_stall(0.3, 0.3, 0.1)
        assert not detector.is_stalled()

    def test_a_single_engine_is_not_paced_for_ever(self) -> None:
        """Guards against pacing that remains after an engine was slow for a while."""
        pacing = PromptPacing()
        for number in range(10):
            pacing.stall_detector.on_stream(number * 0.1)
            pacing.stall_detector.on_stall(0.4, 0.4, number * 0.1)
        assert pacing.is_on()
        for number in range(100):
            now = 1.0 + number * 0.1
            pacing.on_first_event(f"r{number}", now)
            if number % 30 == 29:
                pacing.stall_detector.on_stall(0.4, 0.4, now)
        assert not pacing.is_on()

    def test_an_engine_of_a_stalled_pool_stays_paced(self) -> None:
        pacing = PromptPacing()
        pacing.pool_stalled = True
        for number in range(10):
            pacing.stall_detector.on_stream(number * 0.1)
            pacing.stall_detector.on_stall(0.4, 0.4, number * 0.1)
        for number in range(100):
            now = 1.0 + number * 0.1
            pacing.on_first_event(f"r{number}", now)
            if number % 30 == 29:
                pacing.stall_detector.on_stall(0.4, 0.4, now)
        assert pacing.stall_detector.is_stalled()

    @pytest.mark.parametrize(
        "stalled, engines, is_pool",
        [
            (0, 0, False),
            (0, 6, False),
            (2, 6, False),
            (3, 6, True),
            (1, 2, False),
            (1, 1, True),
            (3, 12, False),
        ],
    )
    def test_few_engines_do_not_stall_their_pool(
        self,
        stalled: int,
        engines: int,
        is_pool: bool,
    ) -> None:
        """Guards against pacing a whole pool because a few engines were slow once."""
        assert is_pool_stalled(stalled, engines) is is_pool

    def test_it_ends_once_almost_no_stream_stalls(self) -> None:
        detector = StallDetector()
        for number in range(10):
            detector.on_stream(number * 0.1)
            detector.on_stall(0.3, 0.3, number * 0.1)
        assert detector.is_stalled()
        for number in range(100):
            detector.on_stream(1.0 + number * 0.1)
            if number % 10 == 0:
                detector.on_stall(0.3, 0.3, 1.0 + number * 0.1)
        assert detector.is_stalled()
        for number in range(200):
            detector.on_stream(11.0 + number * 0.1)
        assert not detector.is_stalled()


class TestBacklog:
    """Guards against wrong predictions of how long a new prompt waits."""

    def test_a_prompt_counts_until_its_prefill_ends(self) -> None:
        pacing = PromptPacing()
        pacing.on_granted("r1", 8000, 0.0)
        pacing.on_granted("r2", 8000, 0.1)
        assert abs(pacing.prefill_ends_at(0.1) - 0.8) < 1e-6
        assert pacing.prefill_ends_at(0.9) == 0.9

    def test_a_refused_prompt_does_not_count(self) -> None:
        pacing = PromptPacing()
        pacing.on_granted("r1", 8000, 0.0)
        pacing.on_refused("r1")
        assert pacing.prefill_ends_at(0.0) == 0.0


class TestPrefillSpeed:
    """Guards against a wrong estimate of the prefill speed."""

    @pytest.mark.parametrize("tokens_per_s", [5_000, 13_000, 40_000])
    def test_speeds_unlike_the_initial_one_are_learned(self, tokens_per_s: int) -> None:
        speed = PrefillSpeed()
        rng = random.Random(4)
        for _ in range(80):
            tokens = rng.randint(200, 3000)
            speed.add(tokens, tokens / tokens_per_s + rng.uniform(0.01, 0.03))
        assert abs(speed.s_per_token * tokens_per_s - 1.0) < 0.25

    def test_cached_prompts_and_faults_have_little_effect(self) -> None:
        """Guards against outliers that make an engine seem many times faster."""
        speed = PrefillSpeed()
        rng = random.Random(5)
        for number in range(300):
            tokens = rng.randint(200, 3000)
            seconds = tokens / 17_000 + rng.uniform(0.01, 0.03)
            if number % 5 == 0:
                seconds = 0.02
            elif number % 20 == 7:
                seconds = 2.0
            speed.add(tokens, seconds)
            if number > 20:
                assert 10_000 < 1 / speed.s_per_token < 30_000
