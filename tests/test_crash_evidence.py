"""Tests of the refusal of requests that crash endpoints."""

from bamboovale.crashes.evidence import MAX_TRACKED, CrashEvidence
from bamboovale.crashes.subjects import REQUEST_RULE
from bamboovale.crashes.suspicion import RETENTION_S, TRIAL_S


def crash(evidence: CrashEvidence, subject: str, number: int, now: float) -> None:
    """Lose a run of the subject with an endpoint that crashes."""
    evidence.on_run_lost(subject, f"e{number}", now)
    evidence.on_crashed(f"e{number}", now)


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
        counts.on_begun(["f"], 1.5)
        counts.on_run_lost("f", "e1", 2.0)
        counts.on_crashed("e1", 3.0)
        assert not counts.is_refused("f", 4.0)

    def test_crashes_expire(self) -> None:
        counts = CrashEvidence()
        for number in range(2):
            counts.on_run_lost("f", f"e{number}", 0.0)
            counts.on_crashed(f"e{number}", 1.0)
        assert not counts.is_refused("f", 1.0 + RETENTION_S)


class TestTrials:
    """Guards against refusing a mended request for ever, and against dear trials."""

    def test_one_request_at_a_time_is_tried_after_the_refusal(self) -> None:
        evidence = CrashEvidence()
        for number in range(2):
            crash(evidence, "f", number, 0.0)
        now = RETENTION_S + 1.0
        assert evidence.needs_trial("f", now)
        assert evidence.take_trial("f", "r1", now)
        assert evidence.take_trial("f", "r1", now + 0.1)
        assert not evidence.take_trial("f", "r2", now + 0.1)
        assert evidence.take_trial("f", "r2", now + TRIAL_S)

    def test_a_day_of_trials_costs_four_endpoints(self) -> None:
        evidence = CrashEvidence()
        crashes = 0
        for now in range(0, 24 * 3600, 5):
            is_tried = evidence.needs_trial("f", now)
            if not evidence.is_refused("f", now) and (
                not is_tried or evidence.take_trial("f", f"r{now}", now)
            ):
                crash(evidence, "f", crashes, now)
                crashes += 1
        assert crashes == REQUEST_RULE.for_good

    def test_a_record_refuses_and_does_not_count_twice(self) -> None:
        evidence = CrashEvidence()
        assert evidence.on_record("f", 2, 0.0)
        assert not evidence.on_record("f", 2, 100.0)
        assert evidence.is_refused("f", RETENTION_S - 1.0)
        assert evidence.needs_trial("f", RETENTION_S + 1.0)


class TestBounds:
    """Guards against memory that grows with invented requests."""

    def test_refused_requests_outlive_suspects(self) -> None:
        evidence = CrashEvidence()
        for number in range(2):
            crash(evidence, "guilty", number, 0.0)
        for number in range(MAX_TRACKED + 10):
            crash(evidence, f"s{number}", number, 1.0)
        assert evidence.is_refused("guilty", 2.0)
        assert len(evidence) <= MAX_TRACKED
