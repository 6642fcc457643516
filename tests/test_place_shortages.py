"""What callers get where few endpoints are left, judged by what these could serve.

The bound of each play is what the endpoints that take calls could answer well: calls go
first to those that answer all, each has a number of slots over the time of a call.
"""

from dataclasses import replace
from functools import cache
from statistics import mean

import pytest

from bench.shared_place_simulation import Day, Outcome, Span, Way, play

CHANCE_LOSS = 0.03
"""What callers may get less than the bound, as arrivals and failures are random."""
OWN_CHOICE_PART = 0.8
"""Part of the bound that VMs which know nothing of one another must reach."""
SEEDS = range(1, 5)
ALWAYS = Span(0.0)
SITE = Day(
    vms=86, endpoints=3, work_s=0.06, goal_s=0.3, deadline_s=1.5, seconds=4.0, load=0.65
)
ALL_FAIL = replace(SITE, failing=ALWAYS, failing_share=0.45, failing_endpoints=3)
TWO_FAIL = replace(ALL_FAIL, failing_endpoints=2)
TWO_LEAVE = replace(SITE, load=0.5, leaving=ALWAYS, leaving_endpoints=2)
ONE_LEAVES = replace(SITE, load=0.8, leaving=ALWAYS)
TWO_DEAD = replace(SITE, load=0.5, failing=ALWAYS, failing_endpoints=2)


def bound(day: Day) -> float:
    """Return the share of callers that the endpoints could answer well."""
    asked = day.load * day.endpoints
    left = day.endpoints - day.leaving_endpoints * (day.leaving != Span())
    failing = day.failing_endpoints * (day.failing != Span())
    sound_share = min(1.0, (left - failing) / asked)
    failing_share = min(1.0 - sound_share, failing / asked)
    return sound_share + failing_share * (1.0 - day.failing_share)


@cache
def played(day: Day) -> tuple[Outcome, ...]:
    """Return what callers get on a day, for each seed."""
    return tuple(play(replace(day, seed=seed)) for seed in SEEDS)


def in_time(day: Day) -> float:
    """Return the share of callers that were answered in time, over the seeds."""
    return mean(outcome.share(outcome.in_time) for outcome in played(day))


def in_time_between(day: Day, start: int, end: int) -> float:
    """Return the share of callers of some seconds that were answered in time."""
    seconds = range(start, end)
    answered = sum(o.in_time_by_s[second] for o in played(day) for second in seconds)
    callers = sum(o.callers_by_s[second] for o in played(day) for second in seconds)
    return answered / callers


class TestFailingEndpoints:
    """Endpoints that answer a part of their calls with errors."""

    @pytest.mark.parametrize("vms", [6, 86])
    @pytest.mark.parametrize("load", [0.65, 0.8])
    @pytest.mark.parametrize("share", [0.45, 0.7])
    def test_a_pool_that_fails_a_share_of_its_calls_answers_the_others(
        self, vms: int, load: float, share: float
    ) -> None:
        """Guards against a pool that is left out as a whole."""
        day = replace(ALL_FAIL, vms=vms, load=load, failing_share=share)
        assert in_time(day) > bound(day) - CHANCE_LOSS

    def test_callers_are_served_again_as_soon_as_the_failures_end(self) -> None:
        """Guards against endpoints that stand idle after they have recovered."""
        day = replace(ALL_FAIL, failing=Span(1.0, 5.0), load=0.85, seconds=9.0)
        assert in_time_between(day, 6, 9) > 1.0 - CHANCE_LOSS

    def test_endpoints_that_stopped_working_are_back_within_some_seconds(self) -> None:
        """Guards against an endpoint that is tried ever more rarely."""
        day = replace(TWO_DEAD, failing=Span(1.0, 9.0), load=0.85, seconds=16.0)
        assert in_time_between(day, 14, 16) > 1.0 - CHANCE_LOSS

    def test_two_of_three_that_stopped_working_get_hardly_a_call(self) -> None:
        """Guards against calls that are lost at all but one dead endpoint."""
        assert in_time(TWO_DEAD) > bound(TWO_DEAD) - CHANCE_LOSS

    def test_calls_wait_for_endpoints_that_do_not_fail(self) -> None:
        """Guards against calls at a failing endpoint that others take in time."""
        day = replace(TWO_FAIL, load=0.5)
        assert in_time(day) > bound(day) - CHANCE_LOSS

    def test_failing_endpoints_serve_what_the_others_cannot(self) -> None:
        """Guards against callers that are refused at half of an endpoint's worth."""
        day = replace(TWO_FAIL, load=0.8)
        assert in_time(day) > bound(day) - CHANCE_LOSS


@pytest.mark.parametrize("vms", [3, 6, 15])
class TestSmallFleet:
    """VMs that choose by themselves, as they do not outnumber the places."""

    def test_two_of_three_that_stopped_working_get_few_calls(self, vms: int) -> None:
        """Guards against calls that fast failures attract."""
        day = replace(TWO_DEAD, vms=vms, way=Way.LOCAL, seconds=6.0)
        assert in_time(day) > OWN_CHOICE_PART * bound(day)

    def test_one_of_three_that_stopped_working_gets_few_calls(self, vms: int) -> None:
        """Guards against an endpoint that only answers errors and is not left out."""
        day = replace(TWO_DEAD, vms=vms, way=Way.LOCAL, seconds=6.0)
        day = replace(day, load=0.6, failing_endpoints=1)
        assert in_time(day) > OWN_CHOICE_PART * bound(day)

    def test_a_pool_that_fails_a_share_of_its_calls_answers_the_others(
        self, vms: int
    ) -> None:
        day = replace(ALL_FAIL, vms=vms, way=Way.LOCAL, load=0.8, seconds=6.0)
        assert in_time(day) > bound(day) - CHANCE_LOSS


@pytest.mark.parametrize("vms", [3, 6, 15])
class TestSmallFleetShortage:
    """Places that are short for VMs that do not outnumber them, without a granter."""

    @pytest.mark.parametrize(
        "day",
        [TWO_LEAVE, ONE_LEAVES, replace(SITE, load=1.2), replace(SITE, load=1.7)],
        ids=["two leave", "one leaves", "overload", "large overload"],
    )
    def test_what_is_left_serves_callers_in_time(self, vms: int, day: Day) -> None:
        """Guards against full queues at the endpoints, where all answers are late."""
        day = replace(day, vms=vms, way=Way.SHARE, seconds=6.0)
        assert in_time(day) > OWN_CHOICE_PART * bound(day)

    @pytest.mark.parametrize("load", [0.8, 0.9])
    def test_no_caller_is_refused_where_places_are_not_short(
        self, vms: int, load: float
    ) -> None:
        """Guards against a share that takes bursts and slow calls for a shortage."""
        day = replace(SITE, vms=vms, way=Way.SHARE, load=load, work_spread=0.5)
        assert in_time(replace(day, seconds=6.0)) > bound(day) - CHANCE_LOSS

    def test_calls_that_usually_take_most_of_their_goal_are_not_refused(
        self, vms: int
    ) -> None:
        """Guards against a slow service that is taken for a short one."""
        day = replace(SITE, vms=vms, way=Way.SHARE, work_s=0.2, load=0.6)
        refused = mean(outcome.share(outcome.refused) for outcome in played(day))
        assert refused < CHANCE_LOSS


class TestShortage:
    """Few endpoints, whose places a granter gives."""

    @pytest.mark.parametrize(
        "day",
        [ONE_LEAVES, TWO_LEAVE, replace(SITE, load=1.7)],
        ids=["one leaves", "two leave", "overload"],
    )
    def test_hardly_an_answer_is_late(self, day: Day) -> None:
        """Guards against waits that leave no time for a call longer than usual."""
        uneven = replace(day, work_spread=0.6, seconds=6.0)
        late = mean(outcome.share(outcome.late) for outcome in played(uneven))
        assert late < CHANCE_LOSS
        assert in_time(uneven) > bound(day) - CHANCE_LOSS


class TestNoGranter:
    """Few endpoints while no VM grants their places."""

    @pytest.mark.parametrize(
        "day",
        [
            replace(TWO_LEAVE, unknown_granter=ALWAYS),
            replace(ONE_LEAVES, unknown_granter=ALWAYS),
            replace(SITE, load=1.7, unknown_granter=ALWAYS),
        ],
        ids=["two leave", "one leaves", "overload"],
    )
    def test_what_is_left_serves_callers_in_time(self, day: Day) -> None:
        """Guards against full queues at the endpoints, where all answers are late."""
        assert in_time(replace(day, seconds=6.0)) > OWN_CHOICE_PART * bound(day)

    def test_no_caller_is_refused_where_places_are_not_short(self) -> None:
        """Guards against a share that limits VMs with many callers."""
        day = replace(SITE, load=0.8, unknown_granter=ALWAYS)
        assert in_time(day) > bound(day) - CHANCE_LOSS

    def test_callers_are_served_again_once_the_endpoints_are_back(self) -> None:
        """Guards against a limit that outlasts the shortage."""
        left = Span(1.0, 4.0)
        day = replace(TWO_LEAVE, unknown_granter=ALWAYS, leaving=left, seconds=9.0)
        assert in_time_between(day, 6, 9) > 1.0 - CHANCE_LOSS
