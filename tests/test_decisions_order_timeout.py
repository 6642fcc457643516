"""How long answers to orders are awaited."""

from bamboovale.decisions.order_timeout import LONGEST_S, OrderTimeout


class TestOrderPatience:
    """Orders without an answer at fast and at slow engines."""

    def test_lost_answers_do_not_stop_an_engine(self) -> None:
        """Requests queue at an engine with free slots.

        It leaves three in ten orders without an answer, and each load takes an unload
        and a load order. Two tries in a row without an answer may cost no more than
        the load itself, a quarter of a second.
        """
        patience = OrderTimeout()
        for _ in range(50):
            patience.on_answer(0.006)
        assert patience.timeout_s(0) + patience.timeout_s(1) < 0.25

    def test_a_slow_engine_is_waited_for(self) -> None:
        """A VM that is slowed to a fifth would give every order twice."""
        patience = OrderTimeout()
        repeats = 0
        for _ in range(30):
            lost = 0
            while patience.timeout_s(lost) < 0.1:
                lost += 1
            repeats += lost
            patience.on_answer(0.1)
        assert repeats <= 6

    def test_it_never_waits_for_long(self) -> None:
        patience = OrderTimeout()
        for _ in range(50):
            patience.on_answer(1.0)
        assert patience.timeout_s(4) == LONGEST_S
