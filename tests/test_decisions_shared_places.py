"""Tests of the places that one VM grants to all, and of the back-off from that VM."""

import heapq
import random
from collections import Counter

import pytest

from bamboovale.decisions.granter_back_off import MAX_PAUSE_S, GranterBackOff
from bamboovale.decisions.place_endpoint import CallEnd
from bamboovale.decisions.place_requests import PlaceDecision, PlaceWanted
from bamboovale.decisions.shared_places import SharedPlaces, has_shared_places

CALL_S = 0.05
SLOTS_BY_ID = {"a": 2, "b": 2}


def wanted(number: int, **fields: object) -> PlaceWanted:
    """Return a request of one VM."""
    usual = {"rank": 0, "goal_in_s": 0.4, "waits_s": 0.2, "ends_in_s": 2.0}
    return PlaceWanted("vm", number, **{**usual, **fields})  # type: ignore[arg-type]


def places(slots_by_id: dict[str, int] | None = None) -> SharedPlaces:
    """Return the places of a pool that is not used yet."""
    shared = SharedPlaces()
    shared.set_endpoints(slots_by_id or SLOTS_BY_ID)
    return shared


def ask(shared: SharedPlaces, number: int, at: float, **fields: object) -> list:
    """Return the decisions on a further request."""
    shared.on_request(wanted(number, **fields), at)
    return shared.decide(at)


def used_places() -> SharedPlaces:
    """Return the places of one endpoint that has answered a call, at ``CALL_S``."""
    shared = places({"a": 1})
    ask(shared, 0, 0.0)
    answer(shared, 0, CALL_S)
    return shared


def granted_id(decisions: list[PlaceDecision]) -> str | None:
    """Return the endpoint of the only decision."""
    [decision] = decisions
    return decision.endpoint_id


def answer(
    shared: SharedPlaces, number: int, at: float, took_s: float = CALL_S
) -> list:
    """Return the decisions after an answer."""
    shared.on_release(("vm", number), CallEnd.ANSWERED, took_s, at)
    return shared.decide(at)


class TestGrants:
    """Which requests get which places."""

    def test_places_are_spread_and_never_exceed_the_slots(self) -> None:
        shared = places()
        chosen = [granted_id(ask(shared, number, 0.0)) for number in range(4)]
        assert Counter(chosen) == {"a": 2, "b": 2}
        assert ask(shared, 4, 0.0) == []
        assert answer(shared, 0, CALL_S)[0].key == ("vm", 4)

    def test_the_queue_goes_by_goal_and_rank_and_late_requests_come_last(self) -> None:
        """Guards against late requests before those that can be in time."""
        shared = places({"a": 1})
        ask(shared, 0, 0.0)
        shared.on_request(wanted(1, goal_in_s=-0.1, waits_s=0.4), 0.0)
        shared.on_request(wanted(2, rank=1), 0.0)
        shared.on_request(wanted(3, goal_in_s=0.5), 0.0)
        shared.on_request(wanted(4, goal_in_s=0.3), 0.0)
        order = []
        for number, at in zip((0, 4, 3, 2), (0.01, 0.02, 0.03, 0.04), strict=True):
            order += [d.key[1] for d in answer(shared, number, at) if d.endpoint_id]
        assert order == [4, 3, 2, 1]

    def test_an_excluded_endpoint_holds_up_no_other_request(self) -> None:
        """Guards against a free place while something waits."""
        shared = places({"a": 1, "b": 1})
        ask(shared, 0, 0.0, excluded=frozenset("a"))
        assert ask(shared, 1, 0.0, excluded=frozenset("a")) == []
        assert granted_id(ask(shared, 2, 0.0)) == "a"

    def test_a_slow_endpoint_gets_fewer_calls_and_is_tried_again(self) -> None:
        """Guards against calls at a slow endpoint while a fast one has places."""
        shared = places({"a": 4, "b": 4})
        time_by_id: dict[str | None, float] = {"a": CALL_S, "b": 4 * CALL_S}
        at = 0.0
        chosen = []
        for number in range(0, 20, 2):
            pair = [granted_id(ask(shared, number + i, at)) for i in (0, 1)]
            for i in sorted((0, 1), key=lambda i: time_by_id[pair[i]]):
                took_s = time_by_id[pair[i]]
                answer(shared, number + i, at + took_s, took_s)
            chosen += pair
            at += 4 * CALL_S
        assert chosen.count("b") <= 2
        pair = [granted_id(ask(shared, number, at + 10.0)) for number in (20, 21)]
        assert pair == ["a", "b"]

    @pytest.mark.parametrize("seed", range(20))
    def test_no_place_is_free_while_a_request_waits_or_is_refused(
        self, seed: int
    ) -> None:
        rng = random.Random(seed)
        shared = places({"a": 3, "b": 2, "c": 1})
        waiting: dict[int, frozenset[str]] = {}
        used: dict[int, str] = {}
        at = 0.0
        for number in range(400):
            at += rng.expovariate(150.0)
            if used and rng.random() < 0.4:
                ended = rng.choice(list(used))
                del used[ended]
                decisions = answer(shared, ended, at, took_s=0.03)
            else:
                waiting[number] = frozenset(rng.sample("abc", rng.choice((0, 0, 1))))
                decisions = ask(shared, number, at, excluded=waiting[number])
            refused = []
            for decision in decisions:
                excluded = waiting.pop(decision.key[1])
                if decision.endpoint_id is not None:
                    used[decision.key[1]] = decision.endpoint_id
                else:
                    refused.append(excluded)
            in_use = Counter(used.values())
            free = {
                n for n, slots in (("a", 3), ("b", 2), ("c", 1)) if in_use[n] < slots
            }
            assert not any(free - excluded for excluded in waiting.values())
            assert not any(free - excluded for excluded in refused)


class TestRefusals:
    """Requests that cannot start in time."""

    def test_none_is_refused_before_the_time_of_calls_is_known(self) -> None:
        """Guards against refusals by an assumed time when a granter starts."""
        shared = places({"a": 1})
        assert granted_id(ask(shared, 0, 0.0)) == "a"
        assert not any(ask(shared, number, 0.0) for number in range(1, 50))
        decisions = answer(shared, 0, CALL_S)
        refused = [d for d in decisions if d.endpoint_id is None]
        assert 35 < len(refused) < 47

    def test_they_are_refused_at_once_with_times_that_differ(self) -> None:
        """Guards against callers that wait in vain, or return all at once."""
        shared = used_places()
        retries = [
            decision.retry_after_s
            for number in range(1, 30)
            for decision in ask(shared, number, CALL_S, waits_s=0.12)
            if decision.endpoint_id is None
        ]
        assert len(retries) > 20
        assert min(r for r in retries if r is not None) > 0.12
        assert len(set(retries)) > 10

    def test_one_that_more_urgent_ones_delay_is_refused_when_that_is_known(
        self,
    ) -> None:
        shared = used_places()
        shared.on_held(("vm", 20), "a", 1.0, CALL_S)
        shared.on_held(("vm", 21), "a", 1.0, CALL_S)
        assert ask(shared, 1, CALL_S, rank=1, goal_in_s=0.25) == []
        urgent = [ask(shared, n, CALL_S, goal_in_s=0.6) for n in range(2, 19)]
        refused = [decision for decisions in urgent for decision in decisions]
        assert ("vm", 1) in [decision.key for decision in refused]

    def test_a_waiting_request_is_refused_once_its_goal_cannot_be_met(self) -> None:
        shared = places({"a": 1})
        ask(shared, 0, 0.0)
        assert ask(shared, 1, 0.0) == []
        due_at = shared.next_at(0.0)
        assert due_at == pytest.approx(0.4 - CALL_S)
        [decision] = shared.decide(due_at)
        assert decision.key == ("vm", 1)
        assert decision.retry_after_s is not None

    def test_a_pool_that_is_too_slow_for_the_goal_still_serves(self) -> None:
        """Guards against refusals of all calls where none can be in time."""
        shared = places({"a": 1})
        ask(shared, 0, 0.0)
        answer(shared, 0, 1.0, took_s=1.0)
        assert granted_id(ask(shared, 1, 1.0)) == "a"

    def test_without_a_usable_endpoint_the_vm_chooses_itself(self) -> None:
        shared = places({"a": 1})
        [decision] = ask(shared, 0, 0.0, excluded=frozenset("a"))
        assert decision == PlaceDecision(("vm", 0))


class TestEnds:
    """How places become free."""

    def test_a_place_is_freed_once(self) -> None:
        """Guards against a second release that frees another call's place."""
        shared = places({"a": 1})
        ask(shared, 0, 0.0)
        ask(shared, 1, 0.0)
        assert granted_id(answer(shared, 0, 0.01)) == "a"
        shared.on_held(("vm", 2), "a", 1.0, 0.01)
        assert ask(shared, 3, 0.01) == []
        assert answer(shared, 0, 0.02) == []

    def test_a_silent_vm_frees_its_places_at_the_deadline_or_when_missed(self) -> None:
        shared = places({"a": 1})
        ask(shared, 0, 0.0, ends_in_s=0.1)
        ask(shared, 1, 0.05)
        assert shared.next_at(0.05) == pytest.approx(0.1)
        assert granted_id(shared.decide(0.1)) == "a"
        shared.on_vm_gone("vm")
        assert granted_id(ask(shared, 2, 0.1)) == "a"

    def test_calls_that_a_vm_reports_take_places(self) -> None:
        shared = places({"a": 1, "b": 1})
        shared.on_held(("vm", 0), "a", 1.0, 0.0)
        assert granted_id(ask(shared, 1, 0.0)) == "b"
        shared.on_held(("vm", 1), "a", 1.0, 0.0)
        assert granted_id(ask(shared, 2, 0.0)) == "b"

    def test_a_rejecting_endpoint_gets_fewer_calls_until_it_answers(self) -> None:
        """Guards against calls sent into an endpoint that others fill."""
        shared = places({"a": 4})
        for number in range(4):
            ask(shared, number, 0.0)
        shared.on_release(("vm", 3), CallEnd.REJECTED, 0.0, 0.01)
        shared.on_release(("vm", 2), CallEnd.REJECTED, 0.0, 0.01)
        assert ask(shared, 4, 0.01) == []
        assert ask(shared, 5, 0.01) == []
        resumed_at = shared.next_at(0.01)
        assert shared.decide(resumed_at) == []
        assert len(answer(shared, 0, resumed_at)) == 1
        assert len(answer(shared, 1, resumed_at)) == 1
        for number in range(4, 30):
            answer(shared, number, resumed_at)
            ask(shared, number + 2, resumed_at)
        assert shared.dump(1.0)["endpoints"]["a"]["room"] == 4  # type: ignore[index]

    def test_an_endpoint_that_fails_fast_is_avoided_and_left_out(self) -> None:
        shared = places({"a": 2, "b": 2})
        chosen: Counter[str | None] = Counter()
        for number in range(40):
            at = number * CALL_S
            endpoint_id = granted_id(ask(shared, number, at))
            chosen[endpoint_id] += 1
            end = CallEnd.FAILED if endpoint_id == "a" else CallEnd.ANSWERED
            took_s = 0.001 if endpoint_id == "a" else CALL_S
            shared.on_release(("vm", number), end, took_s, at + took_s)
        assert chosen["a"] < 5

    def test_endpoints_left_out_get_calls_once_the_others_have_gone(self) -> None:
        """Guards against a pool of which nothing is left to use."""
        shared = places({"a": 1, "b": 1})
        shared.on_held(("other", 0), "b", 60.0, 0.0)
        for number in range(10):
            if ask(shared, number, 0.0):
                shared.on_release(("vm", number), CallEnd.FAILED, 0.01, 0.0)
        assert ask(shared, 10, 0.0) == []
        shared.set_endpoints({"a": 1})
        assert granted_id(shared.decide(0.0)) == "a"

    def test_the_last_endpoint_is_never_left_out(self) -> None:
        shared = places({"a": 1})
        for number in range(20):
            assert granted_id(ask(shared, number, float(number))) == "a"
            shared.on_release(("vm", number), CallEnd.FAILED, 0.1, number + 0.1)


class TestCondition:
    """Where places are granted at all."""

    def test_it_holds_where_a_vm_has_no_more_than_one_place(self) -> None:
        assert has_shared_places(24, 24)
        assert not has_shared_places(6, 24)
        assert not has_shared_places(24, 0)


class TestBackOff:
    """A granter that does not answer in time."""

    def test_calls_stop_asking_and_one_tries_again(self) -> None:
        """Guards against calls that all wait for a granter that is gone."""
        back_off = GranterBackOff()
        asked = 0
        for number in range(1000):
            at = number * 0.005
            if back_off.may_ask("vm", at, 0.02):
                asked += 1
                back_off.on_timeout("vm", at + 0.02, 0.02)
        assert asked <= 10
        later = 5.0 + MAX_PAUSE_S
        assert back_off.may_ask("vm", later, 0.02)
        assert not back_off.may_ask("vm", later, 0.02)
        back_off.on_answer("vm")
        assert back_off.may_ask("vm", later, 0.02)

    def test_another_granter_is_asked_at_once(self) -> None:
        back_off = GranterBackOff()
        back_off.on_timeout("vm", 0.0, 0.02)
        assert back_off.may_ask("other", 0.0, 0.02)


def served_by_goal(
    per_s_by_goal: dict[float, float], seconds: float
) -> dict[float, float]:
    """Return by goal the share of requests that got a place at one endpoint of six."""
    rng = random.Random(1)
    shared = places({"a": 6})
    goal_by_number: dict[int, float] = {}
    served: Counter[float] = Counter()
    ends: list[tuple[float, int]] = []
    goals, rates = list(per_s_by_goal), list(per_s_by_goal.values())

    def apply(decisions: list[PlaceDecision], at: float) -> None:
        for decision in decisions:
            if decision.endpoint_id is not None:
                served[goal_by_number[decision.key[1]]] += 1
                end_at = at + 0.06 * rng.uniform(0.5, 1.5)
                heapq.heappush(ends, (end_at, decision.key[1]))

    at = 0.0
    for number in range(int(sum(rates) * seconds)):
        at += rng.expovariate(sum(rates))
        while ends and ends[0][0] <= at:
            end_at, ended = heapq.heappop(ends)
            shared.on_release(("vm", ended), CallEnd.ANSWERED, 0.06, end_at)
            apply(shared.decide(end_at), end_at)
        goal_s = goal_by_number[number] = rng.choices(goals, rates)[0]
        asked = ask(shared, number, at, goal_in_s=goal_s, waits_s=goal_s / 2)
        apply(asked, at)
    asked_by_goal = Counter(goal_by_number.values())
    return {goal: served[goal] / asked_by_goal[goal] for goal in goals}


class TestFairness:
    """Kinds of calls with different goals, at places that are short."""

    def test_neither_kind_pays_for_the_other(self) -> None:
        """Guards against patient calls that take the places of urgent ones."""
        share_by_goal = served_by_goal({0.3: 150.0, 1.0: 50.0}, 20.0)
        assert share_by_goal[0.3] > 0.7 * share_by_goal[1.0]
        assert share_by_goal[1.0] > 0.7 * share_by_goal[0.3]
