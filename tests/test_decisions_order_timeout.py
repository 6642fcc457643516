"""Tests of the time-out of orders to engines."""

from bamboovale.decisions.order_timeout import MAX_TIMEOUT_S, OrderTimeout


class TestOrderTimeout:
    """Guards against time-outs that are too long or too short."""

    def test_lost_answers_do_not_stop_an_engine(self) -> None:
        """Guards against two lost answers that cost more than the load itself."""
        timeout = OrderTimeout()
        for _ in range(50):
            timeout.on_answer(0.006)
        assert timeout.timeout_s(0) + timeout.timeout_s(1) < 0.25

    def test_a_slow_engine_is_awaited(self) -> None:
        """Guards against repeating every order at a slow VM."""
        timeout = OrderTimeout()
        retries = 0
        for _ in range(30):
            lost = 0
            while timeout.timeout_s(lost) < 0.1:
                lost += 1
            retries += lost
            timeout.on_answer(0.1)
        assert retries <= 6

    def test_the_timeout_is_bounded(self) -> None:
        timeout = OrderTimeout()
        for _ in range(50):
            timeout.on_answer(1.0)
        assert timeout.timeout_s(4) == MAX_TIMEOUT_S
