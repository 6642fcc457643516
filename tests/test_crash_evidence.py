"""Tests of the refusal of requests that crash endpoints."""

from collections.abc import Iterable

import pytest

from bamboovale.crashes.evidence import MAX_TRACKED, CrashEvidence, Sound
from bamboovale.crashes.last_heard import LastHeard
from bamboovale.crashes.lost_runs import MAX_DELAY_S
from bamboovale.crashes.subjects import PART_RULE, REQUEST_RULE
from bamboovale.crashes.suspicion import FIRST_TRIAL_S, TRIAL_S

RETENTION_S = REQUEST_RULE.refuse_s


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

    @pytest.mark.parametrize("endpoints", [6, 70])
    def test_what_was_sound_is_tried_soon(self, endpoints: int) -> None:
        """Guards against a refusal that nothing can end, as nothing is served."""
        evidence = convict_at_once("part:x", endpoints, was_sound=True)
        assert evidence.is_refused("part:x", 10.0 + FIRST_TRIAL_S - 0.1)
        now = 10.0 + FIRST_TRIAL_S
        assert evidence.needs_trial("part:x", now)
        assert evidence.take_trial("part:x", "r1", now)
        evidence.on_begun(["part:x"], now + 0.1)
        assert not evidence.needs_trial("part:x", now + 0.2)
        assert not evidence.is_refused("part:x", now + 0.2)

    @pytest.mark.parametrize("endpoints", [6, 70])
    def test_what_never_was_sound_is_tried_late(self, endpoints: int) -> None:
        evidence = convict_at_once("part:x", endpoints, was_sound=False)
        assert evidence.is_refused("part:x", 10.0 + PART_RULE.refuse_s - 1.0)
        assert evidence.needs_trial("part:x", 10.0 + PART_RULE.refuse_s)

    @pytest.mark.parametrize("was_sound", [False, True])
    def test_three_trials_are_the_last_ones(self, was_sound: bool) -> None:
        """Guards against a part that crashes engines all day, one after the other."""
        evidence = convict_at_once("part:x", 8, was_sound=was_sound)
        trials = 0
        for now in range(11, 24 * 3600):
            if evidence.needs_trial("part:x", now) and evidence.take_trial(
                "part:x", f"r{now}", now
            ):
                crash(evidence, "part:x", now, now + 0.2)
                trials += 1
        assert trials == 3

    def test_a_record_holds_when_the_next_trial_is_due(self) -> None:
        """Guards against a refusal that begins anew with each restart of all VMs."""
        evidence = CrashEvidence()
        evidence.on_record("part:x", 6, 0.0, was_sound=True)
        assert evidence.needs_trial("part:x", FIRST_TRIAL_S)
        evidence = CrashEvidence()
        evidence.on_record("part:x", 9, 0.0, trials=3, was_sound=True)
        assert evidence.is_refused("part:x", 24 * 3600.0)


def convict_at_once(subject: str, endpoints: int, *, was_sound: bool) -> CrashEvidence:
    """Return the evidence when many endpoints have just crashed under a subject."""
    evidence = CrashEvidence()
    if was_sound:
        evidence.on_begun([subject], 0.0)
    for number in range(endpoints):
        crash(evidence, subject, number, 10.0)
    return evidence


class TestOutage:
    """Endpoints fall silent, which is known to be a crash some seconds later."""

    @pytest.mark.parametrize("endpoints", [3, 6, 70])
    @pytest.mark.parametrize("known_after_s", [0.5, 3.6, 7.0])
    @pytest.mark.parametrize("subject", ["r1", "part:route"])
    def test_what_was_served_until_then_is_not_refused(
        self, endpoints: int, known_after_s: float, subject: str
    ) -> None:
        """Guards against refusing all requests after an outage of all endpoints."""
        evidence = CrashEvidence()
        evidence.on_begun([subject], 9.0)
        for number in range(endpoints):
            silent_since = 10.0 + number * 0.01
            for lost_s in (0.0, known_after_s / 2, known_after_s):
                evidence.on_run_lost(subject, f"e{number}", silent_since + lost_s)
            known_at = silent_since + known_after_s
            evidence.on_crashed(f"e{number}", known_at, known_after_s)
            evidence.on_run_lost(subject, f"e{number}", known_at)
        assert not evidence.is_refused(subject, 30.0)
        assert not evidence.needs_trial(subject, 30.0)

    def test_what_began_nothing_before_is_refused(self) -> None:
        """Guards against a part whose engines fall silent under it."""
        evidence = CrashEvidence()
        evidence.on_begun(["part:x"], 0.0)
        for number in range(5):
            now = 10.0 + 4.0 * number
            evidence.on_run_lost("part:x", f"e{number}", now)
            evidence.on_crashed(f"e{number}", now + 3.6, 3.6)
        assert evidence.is_refused("part:x", 31.0)

    def test_peers_hear_of_what_was_served_until_then(self) -> None:
        """Guards against a VM that sees few answers and accuses what others served."""
        evidence = CrashEvidence()
        evidence.on_begun(["part:x"], 9.0)
        evidence.on_crashed("e1", 14.0, 4.0)
        found = evidence.on_run_lost("part:x", "e1", 14.1, by_peer=True)
        assert found == [Sound("part:x", "e1", 1.0)]
        other = CrashEvidence()
        for number in range(3):
            crash(other, "part:x", number, 14.2)
        assert other.is_refused("part:x", 14.3)
        other.on_sound("part:x", 0.0, 14.4, silent_s=4.4)
        assert not other.is_refused("part:x", 14.5)
        # The answer was begun when the endpoint was last heard, not now.
        other.on_run_lost("part:x", "e9", 14.6)
        assert other.on_crashed("e9", 14.6)


class TestLastHeard:
    """For how long an endpoint has been silent."""

    def test_a_record_that_is_read_again_is_no_sign_of_life(self) -> None:
        """Guards against a store that returns with the records of dead endpoints."""
        heard = LastHeard()
        assert heard.silent_s("e", 1.0) == 0.0
        heard.note_record("e", 7, 1.0)
        heard.note_record("e", 7, 3.0)
        assert heard.silent_s("e", 4.0) == 3.0
        heard.note_record("e", 8, 4.0)
        assert heard.silent_s("e", 4.5) == 0.5
        assert heard.silent_s("e", 1000.0) == MAX_DELAY_S


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


def lose(evidence: CrashEvidence, subjects: Iterable[str], now: float) -> None:
    """Lose one run of each subject with an endpoint that crashes now."""
    endpoint_id = f"e@{now}"
    for subject in subjects:
        evidence.on_run_lost(subject, endpoint_id, now)
    evidence.on_crashed(endpoint_id, now)


class TestParts:
    """A part crashes engines; others are lost beside it."""

    def test_a_third_crash_is_refused(self) -> None:
        evidence = CrashEvidence()
        for now in range(3):
            assert not evidence.is_refused("part:x", now)
            lose(evidence, [f"r{now}", "part:x"], now)
        assert evidence.is_refused("part:x", 3.0)

    def test_a_part_that_begins_answers_is_not_refused(self) -> None:
        """Guards against refusing a whole route, whose first part was lost always."""
        evidence = CrashEvidence()
        for now in range(10):
            evidence.on_begun(["part:route"], now)
            lose(evidence, ["part:route", "part:x"], now + 0.5)
        assert evidence.is_refused("part:x", 11.0)
        assert not evidence.is_refused("part:route", 11.0)

    def test_the_part_that_explains_more_is_convicted(self) -> None:
        """Guards against refusing a customer, one of whose parts crashes engines."""
        evidence = CrashEvidence()
        lose(evidence, ["part:x"], 0.0)
        for now in range(1, 5):
            lose(evidence, ["part:customer", "part:x"], now)
        assert evidence.is_refused("part:x", 5.0)
        assert not evidence.is_refused("part:customer", 5.0)

    def test_parts_that_are_alike_need_one_crash_more(self) -> None:
        evidence = CrashEvidence()
        for now in range(3):
            lose(evidence, ["part:customer", "part:x"], now)
        assert not evidence.is_refused("part:x", 3.0)
        lose(evidence, ["part:x"], 3.0)
        assert evidence.is_refused("part:x", 4.0)
        assert not evidence.is_refused("part:customer", 4.0)

    def test_a_part_that_began_answers_before_needs_five(self) -> None:
        evidence = CrashEvidence()
        evidence.on_begun(["part:x"], 0.0)
        for now in range(10, 15):
            assert not evidence.is_refused("part:x", now)
            lose(evidence, ["part:x"], now)
        assert evidence.is_refused("part:x", 15.0)

    def test_a_known_part_is_not_refused_for_many_crashes_at_once(self) -> None:
        """Guards against refusing a route while news of its answers is on its way."""
        evidence = CrashEvidence()
        evidence.on_begun(["part:route"], 0.0)
        for number in range(8):
            crash(evidence, "part:route", number, 10.0)
        assert not evidence.is_refused("part:route", 10.3)
        assert not evidence.needs_trial("part:route", 10.3)
        evidence.on_sound("part:route", 0.0, 10.5)
        assert not evidence.is_refused("part:route", 12.0)

    def test_an_answer_begun_anywhere_clears(self) -> None:
        """Guards against each VM knowing its own answers alone."""
        evidence = CrashEvidence()
        for now in range(6):
            lose(evidence, ["part:x"], now)
        assert evidence.is_refused("part:x", 6.0)
        evidence.on_sound("part:x", 0.0, 6.0)
        assert not evidence.is_refused("part:x", 6.0)

    def test_a_peer_is_told_of_what_began_answers_here(self) -> None:
        evidence = CrashEvidence()
        evidence.on_begun(["part:x"], 0.0)
        evidence.on_crashed("e1", 1.0)
        found = evidence.on_run_lost("part:x", "e1", 1.0, by_peer=True)
        assert found == [Sound("part:x", "e1", 1.0)]

    def test_a_retried_request_does_not_hide_its_part(self) -> None:
        """Guards against crashes under a part that each request explains by itself."""
        evidence = CrashEvidence()
        for number in range(3):
            for now in (2 * number, 2 * number + 1):
                lose(evidence, [f"r{number}", "part:x"], now)
        assert evidence.is_refused("part:x", 7.0)
