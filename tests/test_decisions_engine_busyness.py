"""How busy an engine is, by what was sent and what was seen."""

from bamboovale.decisions.engine_busyness import EngineBusyness


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
        assert busyness.turn_s(4, 2.0) == 0.0
        assert 2.0 < busyness.turn_s(34, 2.0) < 4.0
