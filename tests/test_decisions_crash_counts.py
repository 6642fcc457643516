"""Requests that crash the endpoints that run them."""

from bamboovale.decisions.crash_counts import KEPT_FOR_S, CrashCounts


class TestCrashCounts:
    """What convicts a request and what does not."""

    def test_the_second_endpoint_convicts(self) -> None:
        """A caller sends a request again that crashed the engine before.

        Each time an engine goes down with all its streams; nobody should run it again.
        """
        counts = CrashCounts()
        for number in range(2):
            counts.on_run_lost("f", f"e{number}", number)
            assert not counts.is_refused("f", number)
            counts.on_endpoint_gone(f"e{number}", number + 1)
        assert counts.is_refused("f", 3.0)

    def test_a_cut_at_an_endpoint_that_lives_says_nothing(self) -> None:
        """A link is cut; the endpoint goes on."""
        counts = CrashCounts()
        for number in range(5):
            counts.on_run_lost("f", f"e{number}", number)
        assert not counts.is_refused("f", 6.0)

    def test_an_endpoint_that_went_first_counts_as_well(self) -> None:
        counts = CrashCounts()
        for number in range(2):
            counts.on_endpoint_gone(f"e{number}", 1.0)
            counts.on_run_lost("f", f"e{number}", 2.0)
        assert counts.is_refused("f", 3.0)

    def test_a_request_that_ran_to_its_end_is_cleared(self) -> None:
        counts = CrashCounts()
        counts.on_run_lost("f", "e0", 0.0)
        counts.on_endpoint_gone("e0", 1.0)
        counts.on_answered("f")
        counts.on_run_lost("f", "e1", 2.0)
        counts.on_endpoint_gone("e1", 3.0)
        assert not counts.is_refused("f", 4.0)

    def test_it_is_forgotten_after_a_while(self) -> None:
        counts = CrashCounts()
        for number in range(2):
            counts.on_run_lost("f", f"e{number}", 0.0)
            counts.on_endpoint_gone(f"e{number}", 1.0)
        assert not counts.is_refused("f", 1.0 + KEPT_FOR_S)
