"""Tests of the check of a fleet's retry budget at stand-in endpoints."""

from bamboovale.standins.endpoint_signals import Arrival
from bamboovale.standins.retry_arrivals import RetryBound, retry_violations

BOUND = RetryBound(ratio=0.2, burst=2.0, window_s=10.0)


def arrivals(*times: float, request_id: str = "one") -> list[Arrival]:
    """Return arrivals of one request."""
    return [Arrival("vm", at, request_id) for at in times]


class TestRetryViolations:
    """What counts as a retry, and which requests allow it."""

    def test_the_first_arrival_of_a_request_is_no_retry(self) -> None:
        one_each = [Arrival("vm", 1.0, str(number)) for number in range(50)]
        assert list(retry_violations(one_each, [], BOUND)) == []

    def test_arrivals_beyond_the_burst_are_found(self) -> None:
        assert list(retry_violations(arrivals(0, 1, 2), [], BOUND)) == []
        assert len(list(retry_violations(arrivals(0, 1, 2, 3), [], BOUND))) == 1

    def test_a_window_that_has_passed_counts_no_more(self) -> None:
        assert list(retry_violations(arrivals(0, 1, 2, 12.5), [], BOUND)) == []

    def test_requests_of_an_earlier_window_count(self) -> None:
        """Guards against taking the end of a burst of requests for too many retries."""
        late = arrivals(10, 11, 12, 13)
        assert len(list(retry_violations(late, [], BOUND))) == 1
        assert list(retry_violations(late, [-5.0] * 5, BOUND)) == []
        assert len(list(retry_violations(late, [-25.0] * 5, BOUND))) == 1
