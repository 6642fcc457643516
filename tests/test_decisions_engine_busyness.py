"""Tests of the measures of how busy an engine is."""

from bamboovale.decisions.engine_busyness import EngineBusyness


class TestSlotWait:
    """Guards against wrong predictions at an engine whose slots are all in use."""

    def turn_over_slots(
        self, busyness: EngineBusyness, per_s: float, until: float
    ) -> None:
        """Let requests wait throughout while slots turn over."""
        for number in range(int(until * 20) + 1):
            busyness.on_full(True, number / 20)
        for number in range(int(until * per_s)):
            busyness.on_load((number + 1) / per_s)

    def test_a_full_engine_counts_at_its_measured_rate(self) -> None:
        """Guards against a default rate that hides long waits at a full engine."""
        busyness = EngineBusyness()
        self.turn_over_slots(busyness, 2.0, until=4.0)
        assert 6.0 < busyness.slot_wait_s(20, 4.0) < 9.0

    def test_an_idle_engine_predicts_a_short_wait(self) -> None:
        busyness = EngineBusyness()
        self.turn_over_slots(busyness, 2.0, until=4.0)
        busyness.on_full(False, 4.0)
        assert busyness.slot_wait_s(12, 4.5) <= 1.0


class TestEngineBusyness:
    """Guards against slow engines that keep getting requests or never get any."""

    def test_an_engine_that_was_slow_is_tried_again_within_seconds(self) -> None:
        """Guards against an engine that stays unused after it was slow.

        Without requests it gets no new samples.
        """
        busyness = EngineBusyness()
        for number in range(20):
            busyness.on_first_event(3.0, number * 0.1)
        assert busyness.backlog_s([], 2.0) > 2.0
        assert busyness.backlog_s([], 7.0) < 0.2

    def test_missing_first_events_count_by_their_age(self) -> None:
        busyness = EngineBusyness()
        assert busyness.backlog_s([2.0, 3.0], 0.0) == 2.5
        assert busyness.backlog_s([9.0], 0.0) == 0.0

    def test_the_wait_grows_with_the_requests_ahead(self) -> None:
        busyness = EngineBusyness()
        for number in range(20):
            busyness.on_load(number * 0.1)
        assert busyness.slot_wait_s(4, 2.0) == 0.0
        assert 2.0 < busyness.slot_wait_s(34, 2.0) < 4.0
