"""Tests of the refusal of requests that crash endpoints."""

from bamboovale.crashes.evidence import RETENTION_S, CrashEvidence


class TestCrashEvidence:
    """Guards against refusing innocent requests and retrying guilty ones."""

    def test_a_second_crash_is_refused(self) -> None:
        """Guards against a retried request that crashes one engine after the other."""
        counts = CrashEvidence()
        for number in range(2):
            counts.on_run_lost("f", f"e{number}", number)
            assert not counts.is_refused("f", number)
            counts.on_crashed(f"e{number}", number + 1)
        assert counts.is_refused("f", 3.0)

    def test_a_lost_run_at_a_live_endpoint_does_not_count(self) -> None:
        """Guards against refusing a request because a link broke."""
        counts = CrashEvidence()
        for number in range(5):
            counts.on_run_lost("f", f"e{number}", number)
        assert not counts.is_refused("f", 6.0)

    def test_an_endpoint_that_disappears_before_its_run_counts(self) -> None:
        counts = CrashEvidence()
        for number in range(2):
            counts.on_crashed(f"e{number}", 1.0)
            counts.on_run_lost("f", f"e{number}", 2.0)
        assert counts.is_refused("f", 3.0)

    def test_a_completed_request_is_cleared(self) -> None:
        counts = CrashEvidence()
        counts.on_run_lost("f", "e0", 0.0)
        counts.on_crashed("e0", 1.0)
        counts.on_answered("f")
        counts.on_run_lost("f", "e1", 2.0)
        counts.on_crashed("e1", 3.0)
        assert not counts.is_refused("f", 4.0)

    def test_crashes_expire(self) -> None:
        counts = CrashEvidence()
        for number in range(2):
            counts.on_run_lost("f", f"e{number}", 0.0)
            counts.on_crashed(f"e{number}", 1.0)
        assert not counts.is_refused("f", 1.0 + RETENTION_S)
