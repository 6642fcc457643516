"""How busy an engine is, by what was sent and what was seen."""

from bamboovale.decisions.engine_busyness import EngineBusyness


class TestTurns:
    """When a request should get a slot, at an engine whose slots are all in use."""

    def hand_on(self, busyness: EngineBusyness, per_s: float, until: float) -> None:
        """Let requests wait throughout while slots are handed on."""
        for number in range(int(until * 20) + 1):
            busyness.on_full(True, number / 20)
        for number in range(int(until * per_s)):
            busyness.on_load((number + 1) / per_s)

    def test_a_full_engine_is_taken_for_what_it_does(self) -> None:
        """Callers waited 2.9 s at full engines, and were refused then.

        The engine hands on two slots a second; taken for eight, twenty requests ahead
        seemed to be placed in two seconds.
        """
        busyness = EngineBusyness()
        self.hand_on(busyness, 2.0, until=4.0)
        assert 6.0 < busyness.slot_wait_s(20, 4.0) < 9.0

    def test_a_quiet_engine_refuses_nobody(self) -> None:
        busyness = EngineBusyness()
        self.hand_on(busyness, 2.0, until=4.0)
        busyness.on_full(False, 4.0)
        assert busyness.slot_wait_s(12, 4.5) <= 1.0


class TestEngineBusyness:
    """Slow engines lose work and get it back."""

    def test_an_engine_that_was_slow_is_tried_again_within_seconds(self) -> None:
        """An engine is slow for a while, then well again.

        It gets no requests because its first events came late, and so no new samples:
        its slots would stand empty for ever while the others are full.
        """
        busyness = EngineBusyness()
        for number in range(20):
            busyness.on_first_event(3.0, number * 0.1)
        assert busyness.backlog_s([], 2.0) > 2.0
        assert busyness.backlog_s([], 7.0) < 0.2

    def test_first_events_that_do_not_come_count_by_their_age(self) -> None:
        busyness = EngineBusyness()
        assert busyness.backlog_s([2.0, 3.0], 0.0) == 2.5
        assert busyness.backlog_s([9.0], 0.0) == 0.0

    def test_a_turn_behind_many_others_comes_late(self) -> None:
        busyness = EngineBusyness()
        for number in range(20):
            busyness.on_load(number * 0.1)
        assert busyness.slot_wait_s(4, 2.0) == 0.0
        assert 2.0 < busyness.slot_wait_s(34, 2.0) < 4.0
