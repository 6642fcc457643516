"""Tests of an engine's places, slots and queue at its owner, without a network."""

import itertools
from collections.abc import Sequence

import pytest

from bamboovale.decisions.engine_places import EnginePlaces
from bamboovale.decisions.mechanisms import Mechanisms
from bamboovale.decisions.place_work import (
    EngineCapacity,
    Grant,
    OrderLoad,
    OrderUnload,
    QueuedRequest,
    RefusalReason,
    Refuse,
    ReportedState,
)

MODEL = "base"


def make_places(slots: int = 2, batch: int = 8) -> EnginePlaces:
    """Return an engine with its base model and no adapter."""
    engine = EnginePlaces(EngineCapacity(batch, 100_000, slots))
    engine.may_order = True
    engine.on_report(make_report(0.0), 0.0)
    return engine


def make_report(
    read_at: float,
    loading: Sequence[str] = (),
    missing: int | None = None,
    busy: bool = False,
    **version_by_adapter: int,
) -> ReportedState:
    """Return a report with the given adapters loaded, and some loading."""
    adapters = {(MODEL, name): v for name, v in version_by_adapter.items()}
    coming = frozenset((MODEL, name) for name in loading)
    return ReportedState(
        {MODEL: 1}, adapters, coming, 0, read_at, missing_orders=missing, busy=busy
    )


def make_request(
    name: str, adapter: str, now: float = 0.0, **fields: float
) -> QueuedRequest:
    """Return a request with a goal of 1 s that waits for at most 3 s."""
    return QueuedRequest(
        ask_id=name,
        entry_vm="entry-0",
        model=MODEL,
        adapter=adapter,
        version=int(fields.get("version", 1)),
        prompt_tokens=100,
        output_tokens=20,
        rank=int(fields.get("rank", 0)),
        goal_at=now + fields.get("goal_s", 1.0),
        latest_start=now + fields.get("waits_s", 3.0),
    )


def load_adapter(engine: EnginePlaces, adapter: str, now: float) -> None:
    """Load an adapter by a request that ends at once."""
    [order] = engine.on_request(make_request(f"load-{adapter}", adapter, now), now)
    assert order == OrderLoad(MODEL, adapter, 1)
    engine.on_order_done(order, now, at_once=False)
    later = now + 1.0
    engine.on_report(make_report(later, **{adapter: 1}), later)
    engine.on_release(f"load-{adapter}", later)


class TestSlots:
    """Guards against more adapters than slots and needless loads."""

    def test_an_accepted_unload_keeps_its_slot_until_a_report_shows_it_empty(
        self,
    ) -> None:
        """Guards against a load too many while an unload waits for an unknown run.

        The engine would exceed its slots and crash with all its streams.
        """
        engine = make_places(slots=1)
        load_adapter(engine, "a1", 0.0)
        [order] = engine.on_request(make_request("r", "a2", 2.0), 2.0)
        assert order == OrderUnload(MODEL, "a1")
        assert engine.on_order_done(order, 2.0, at_once=False) == []
        assert engine.on_report(make_report(2.4, a1=1), 2.4) == []
        [order] = engine.on_report(make_report(2.8), 2.8)
        assert order == OrderLoad(MODEL, "a2", 1)

    def test_a_report_older_than_an_unload_is_not_applied(
        self,
    ) -> None:
        """Guards against evicting an adapter again that an old report still lists."""
        engine = make_places(slots=1)
        load_adapter(engine, "a1", 0.0)
        [order] = engine.on_request(make_request("r", "a2", 2.0), 2.0)
        [order] = engine.on_order_done(order, 2.0, at_once=True)
        assert order == OrderLoad(MODEL, "a2", 1)
        engine.on_order_done(order, 2.0, at_once=False)
        engine.on_report(make_report(2.1, a1=1), 2.1)
        assert (MODEL, "a1") not in engine.snapshot(2.1).loaded

    def test_an_adapter_that_may_still_be_in_transit_is_not_evicted(self) -> None:
        """Guards against unloading an adapter whose load is not complete.

        The engine answers the unload as done and loads the adapter into a reassigned
        slot.
        """
        engine = make_places(slots=1)
        [order] = engine.on_request(make_request("r1", "a1"), 0.0)
        engine.on_order_done(order, 0.0, at_once=False)
        engine.decide(0.4)
        engine.on_cancel("r1", 0.4)
        assert engine.on_request(make_request("r2", "a2", 0.4), 0.4) == []
        [order] = engine.on_report(make_report(0.6, a1=1), 0.6)
        assert order == OrderUnload(MODEL, "a1")

    def test_a_new_version_in_transit_keeps_its_slot(self) -> None:
        """Guards against evicting an adapter that the previous owner is replacing."""
        engine = make_places(slots=1)
        engine.on_report(make_report(1.0, loading=["a1"], a1=1), 1.0)
        assert engine.on_request(make_request("r", "a2", 1.1), 1.1) == []
        [order] = engine.on_report(make_report(2.0, a1=2), 2.0)
        assert order == OrderUnload(MODEL, "a1")

    def test_an_adapter_that_a_current_report_lacks_is_not_replaced(self) -> None:
        """Guards against a load that needs a slot taken for one that needs none."""
        engine = make_places(slots=1)
        engine.on_report(make_report(1.0, a1=1), 1.0)
        engine.on_report(make_report(1.1, missing=0, a2=1), 1.1)
        [order] = engine.on_request(make_request("r", "a1", 1.1, version=2), 1.1)
        assert order == OrderUnload(MODEL, "a2")

    def test_an_unload_that_a_report_does_not_show_yet_stays_done(self) -> None:
        """Guards against reports that lag further behind than usual."""
        engine = make_places(slots=1)
        load_adapter(engine, "a1", 0.0)
        [order] = engine.on_request(make_request("r", "a2", 2.0), 2.0)
        engine.on_order_done(order, 2.0, at_once=True)
        engine.on_report(make_report(4.0, missing=1, a1=1), 4.0)
        assert (MODEL, "a1") not in engine.snapshot(4.0).loaded
        engine.on_report(make_report(4.1, missing=0, a1=1), 4.1)
        assert (MODEL, "a1") in engine.snapshot(4.1).loaded

    def test_a_report_from_before_a_load_does_not_end_it(self) -> None:
        """Guards against a slot given away after an engine was silent for seconds."""
        engine = make_places(slots=1)
        [order] = engine.on_request(make_request("r1", "a1"), 0.0)
        engine.on_order_done(order, 0.0, at_once=False)
        engine.on_cancel("r1", 0.1)
        engine.on_request(make_request("r2", "a2", 3.0), 3.0)
        assert engine.on_report(make_report(3.0, missing=1), 3.0) == []
        [order] = engine.on_report(make_report(3.1, missing=0, a1=1), 3.1)
        assert order == OrderUnload(MODEL, "a1")

    def test_nothing_is_ordered_while_an_unload_waits_for_a_run(self) -> None:
        """Guards against evicting an adapter that is about to go by itself."""
        engine = make_places(slots=1)
        engine.on_report(make_report(1.0, busy=True, a1=1), 1.0)
        assert engine.on_request(make_request("r", "a2", 1.0), 1.0) == []
        assert engine.next_report_at(1.0) is not None
        [order] = engine.on_report(make_report(1.1, missing=0), 1.1)
        assert order == OrderLoad(MODEL, "a2", 1)

    def test_an_adapter_in_use_is_never_evicted(self) -> None:
        engine = make_places(slots=1)
        [order] = engine.on_request(make_request("r1", "a1"), 0.0)
        engine.on_order_done(order, 0.0, at_once=False)
        assert any(isinstance(item, Grant) for item in engine.decide(1.0))
        assert engine.on_request(make_request("r2", "a2", 1.0), 1.0) == []
        engine.on_report(make_report(1.2, a1=1), 1.2)
        [order] = engine.on_release("r1", 1.5)
        assert order == OrderUnload(MODEL, "a1")

    def test_a_new_owner_sends_nothing_before_a_load_can_be_complete(self) -> None:
        """Guards against an initial load time so short that engines refuse requests."""
        engine = make_places(slots=1)
        [order] = engine.on_request(make_request("r", "a1"), 0.0)
        engine.on_order_done(order, 0.0, at_once=False)
        assert engine.decide(0.29) == []
        [grant] = engine.decide(0.36)
        assert isinstance(grant, Grant)

    def test_an_engine_without_a_cache_is_detected(self) -> None:
        """Guards against early requests at an engine that does not cache adapters."""
        engine = make_places(slots=1)
        early = 0
        now = 0.0
        load_adapter(engine, "a1", now)
        for number in range(12):
            adapter = "a2" if number % 2 == 0 else "a1"
            now += 5.0
            early += self._load_again(engine, f"r{number}", adapter, now)
        assert early <= 4

    def _load_again(
        self,
        engine: EnginePlaces,
        name: str,
        adapter: str,
        now: float,
    ) -> bool:
        """Load an adapter in 0.25 s; return whether its request was sent earlier."""
        [unload] = engine.on_request(make_request(name, adapter, now), now)
        [order] = engine.on_order_done(unload, now, at_once=True)
        assert isinstance(order, OrderLoad)
        engine.on_order_done(order, now, at_once=False)
        sent_at = now
        while not any(isinstance(a, Grant) for a in engine.decide(sent_at)):
            sent_at += 0.01
        early = sent_at - now < 0.25
        if early:
            engine.on_run_refused(name, sent_at, not_held=True)
        else:
            engine.on_release(name, now + 1.0)
        engine.on_report(make_report(now + 1.0, **{adapter: 1}), now + 1.0)
        return early

    def test_a_request_refused_before_its_load_completed_waits_for_a_report(
        self,
    ) -> None:
        """Guards against sending a request again that the engine would refuse again."""
        engine = make_places()
        [order] = engine.on_request(make_request("r1", "a1"), 0.0)
        engine.on_order_done(order, 0.0, at_once=False)
        [grant] = engine.decide(0.5)
        assert isinstance(grant, Grant) and not grant.confirmed
        engine.on_run_refused("r1", 0.5, not_held=True)
        assert engine.on_request(make_request("r2", "a1", 0.5), 0.5) == []
        [grant] = engine.on_report(make_report(0.7, a1=1), 0.7)
        assert isinstance(grant, Grant) and grant.confirmed


class TestRefusedRuns:
    """Guards against conclusions about slots from a refused run."""

    def test_a_refused_run_does_not_free_its_slot(self) -> None:
        """Guards against a load too many after a run that the engine refused.

        The engine may hold another version of the adapter.
        """
        engine = make_places(slots=1)
        load_adapter(engine, "a1", 0.0)
        [grant] = engine.on_request(make_request("r1.0", "a1", 2.0), 2.0)
        assert isinstance(grant, Grant)
        engine.on_request(make_request("r2.0", "a2", 2.0), 2.0)
        assert engine.on_run_refused("r1.0", 2.1, not_held=True) == []
        assert engine.on_report(make_report(2.15), 2.15) == []
        [order] = engine.on_report(make_report(2.3, a1=1), 2.3)
        assert order == OrderUnload(MODEL, "a1")


class TestUnknownRuns:
    """Guards against evicting adapters of runs that the owner does not count."""

    def test_a_run_of_the_previous_owner_keeps_its_adapter(self) -> None:
        """Guards against an unload after a change of owner that waits for a run.

        The engine refuses all other orders until the run ends.
        """
        engine = make_places(slots=1)
        engine.on_report(make_report(1.0, a1=1), 1.0)
        engine.adopt_place(make_request("old.0", "a1", 1.0), 1, 1.0)
        assert engine.on_request(make_request("r.0", "a2", 1.1), 1.1) == []
        [order] = engine.on_release("old.0", 1.5)
        assert order == OrderUnload(MODEL, "a1")

    def test_a_run_that_is_told_of_after_its_end_keeps_nothing(self) -> None:
        """Guards against places that a new owner keeps for nobody, for good."""
        engine = make_places(slots=1)
        engine.on_report(make_report(1.0, a1=1), 1.0)
        engine.on_release("old.0", 1.1)
        engine.adopt_place(make_request("old.0", "a1", 1.1), 1, 1.2)
        engine.on_report(make_report(9.0, a1=1), 9.0)
        [order] = engine.on_request(make_request("r.0", "a2", 9.1), 9.1)
        assert order == OrderUnload(MODEL, "a1")

    def test_a_new_owner_evicts_nothing_before_it_knows_the_runs(self) -> None:
        engine = make_places(slots=1)
        engine.may_evict_from = 1.6
        engine.on_report(make_report(1.0, a1=1), 1.0)
        assert engine.on_request(make_request("r.0", "a2", 1.1), 1.1) == []
        [order] = engine.decide(1.7)
        assert order == OrderUnload(MODEL, "a1")

    def test_an_aborted_run_keeps_its_adapter_until_it_ends(self) -> None:
        """Guards against an unload that waits for a run which the engine continues."""
        engine = make_places(slots=1)
        load_adapter(engine, "a1", 0.0)
        engine.on_request(make_request("r1.0", "a1", 2.0), 2.0)
        engine.on_release("r1.0", 2.1, aborted=True)
        assert engine.on_request(make_request("r2.0", "a2", 2.1), 2.1) == []
        running = ReportedState(
            {MODEL: 1}, {(MODEL, "a1"): 1}, frozenset(), 1, 2.5, frozenset({"r1"})
        )
        assert engine.on_report(running, 2.5) == []
        [order] = engine.on_report(make_report(2.9, a1=1), 2.9)
        assert order == OrderUnload(MODEL, "a1")


class TestVersions:
    """Guards against old versions that are served for too long."""

    def test_no_request_starts_on_an_old_version_that_is_idle(self) -> None:
        engine = make_places()
        load_adapter(engine, "a1", 0.0)
        [order] = engine.on_request(make_request("r", "a1", 2.0, version=2), 2.0)
        assert order == OrderLoad(MODEL, "a1", 2)

    def test_an_old_version_in_use_gets_requests_for_a_moment_only(self) -> None:
        """Guards against new runs that delay the replacement of a version for ever."""
        engine = make_places()
        load_adapter(engine, "a1", 0.0)
        [grant] = engine.on_request(make_request("r1", "a1", 2.0), 2.0)
        assert isinstance(grant, Grant)
        actions = engine.on_request(make_request("r2", "a1", 2.1, version=2), 2.1)
        assert any(isinstance(item, Grant) and item.version == 1 for item in actions)
        actions = engine.on_request(make_request("r3", "a1", 4.0), 4.0)
        assert actions == [OrderLoad(MODEL, "a1", 2)]

    def test_a_failed_replacement_does_not_free_its_slot(self) -> None:
        """Guards against a load too many while the engine holds the old version."""
        engine = make_places(slots=1)
        load_adapter(engine, "a1", 0.0)
        [replacement] = engine.on_request(
            make_request("new", "a1", 2.0, version=2), 2.0
        )
        assert replacement == OrderLoad(MODEL, "a1", 2)
        engine.on_order_failed(replacement, certain=True)
        engine.on_cancel("new", 2.1)
        assert engine.on_request(make_request("other", "a2", 2.2), 2.2) == [
            OrderUnload(MODEL, "a1"),
        ]


class TestOverload:
    """Guards against late refusals and unmet goals with more requests than slots."""

    def test_requests_that_can_meet_their_goal_go_first(self) -> None:
        """Guards against first come, first served, which makes all requests late."""
        engine = make_places(slots=1)
        [order] = engine.on_request(make_request("r0", "a0"), 0.0)
        engine.on_order_done(order, 0.0, at_once=False)
        engine.decide(1.0)
        engine.on_request(make_request("old", "a1", 0.0, goal_s=1.0), 1.0)
        engine.on_request(make_request("new", "a2", 1.0, goal_s=1.0), 1.0)
        engine.on_report(make_report(1.2, a0=1), 1.2)
        [order] = engine.on_release("r0", 1.2)
        [order] = engine.on_order_done(order, 1.2, at_once=True)
        assert order == OrderLoad(MODEL, "a2", 1)

    def granted_first(self, *requests: QueuedRequest) -> str:
        """Return which request gets the only place of an engine once it is free."""
        engine = make_places(batch=1)
        load_adapter(engine, "a1", 0.0)
        [grant] = engine.on_request(make_request("running", "a1", 2.0), 2.0)
        assert isinstance(grant, Grant)
        for request in requests:
            assert engine.on_request(request, 2.0) == []
        [grant] = engine.on_release("running", 2.1)
        assert isinstance(grant, Grant)
        return grant.request.ask_id

    def test_the_more_urgent_of_two_requests_goes_first(self) -> None:
        """Guards against a priority that decides nothing at a full engine."""
        usual = make_request("usual", "a1", 2.0, rank=2)
        urgent = make_request("urgent", "a1", 2.0, rank=0, goal_s=1.2)
        assert self.granted_first(usual, urgent) == "urgent"

    def test_a_less_urgent_request_does_not_wait_for_ever(self) -> None:
        """Guards against requests that more urgent ones always overtake."""
        waiting = make_request("waiting", "a1", 1.0, rank=1, goal_s=1.5)
        urgent = make_request("urgent", "a1", 2.0, rank=0, goal_s=1.0)
        assert self.granted_first(urgent, waiting) == "waiting"

    def test_a_request_that_cannot_start_in_time_is_refused(self) -> None:
        engine = make_places(slots=1)
        [order] = engine.on_request(make_request("r0", "a0"), 0.0)
        engine.on_order_done(order, 0.0, at_once=False)
        engine.decide(1.0)
        engine.on_request(make_request("r1", "a1", 1.0, waits_s=0.5), 1.0)
        [refusal] = engine.decide(1.6)
        assert isinstance(refusal, Refuse)
        assert refusal.reason is RefusalReason.LATE

    def test_a_load_is_refused_soon_while_orders_are_stopped(self) -> None:
        """Guards against queueing a request that another engine could load for."""
        engine = make_places()
        engine.may_order = False
        engine.decide(0.0)
        engine.on_request(make_request("r1", "a1", 0.1), 0.1)
        [refusal] = engine.decide(0.6)
        assert isinstance(refusal, Refuse)
        assert refusal.reason is RefusalReason.CANNOT_LOAD


class TestLimit:
    """An engine that names how many requests a second it takes."""

    def make_limited(self, limit_per_s: float) -> EnginePlaces:
        """Return a limited engine with adapter ``a1`` loaded."""
        engine = make_places()
        load_adapter(engine, "a1", 0.0)
        engine.set_limit(limit_per_s, 2.0)
        return engine

    def test_places_are_granted_at_the_rate_of_the_limit(self) -> None:
        """Guards against grants to several VMs that exceed it together."""
        engine = self.make_limited(4.0)
        granted_at = []
        now = 2.0
        for number in range(400):
            now += 0.02
            actions = engine.on_request(make_request(f"r{number}.0", "a1", now), now)
            for action in actions:
                if isinstance(action, Grant):
                    granted_at.append(now)
                    engine.on_release(action.request.ask_id, now)
        assert 30 <= len(granted_at) <= 33
        gaps = [b - a for a, b in itertools.pairwise(granted_at)]
        assert min(gaps) >= 0.24

    def test_a_request_past_its_goal_is_sent_elsewhere_at_once(self) -> None:
        engine = self.make_limited(4.0)
        actions = []
        for number in range(8):
            actions += engine.on_request(make_request(f"r{number}.0", "a1", 2.1), 2.1)
        refused = [item for item in actions if isinstance(item, Refuse)]
        assert {item.reason for item in refused} == {RefusalReason.LIMITED}
        assert len(refused) == 4
        assert all(0.9 < item.retry_after_s <= 1.25 for item in refused)

    def test_an_idle_engine_takes_a_request_at_once(self) -> None:
        engine = self.make_limited(0.5)
        [grant] = engine.on_request(make_request("r1.0", "a1", 9.0), 9.0)
        assert isinstance(grant, Grant)

    def test_waiting_requests_start_once_the_limit_ends(self) -> None:
        engine = self.make_limited(1.0)
        assert engine.on_request(make_request("r1.0", "a1", 2.1), 2.1) == []
        engine.set_limit(None, 2.2)
        [grant] = engine.decide(2.2)
        assert isinstance(grant, Grant)

    def test_the_wait_shows_in_the_snapshot(self) -> None:
        """Guards against VMs that choose a limited engine as it looks idle."""
        engine = self.make_limited(2.0)
        assert engine.snapshot(2.0).backlog_s == 0.5


class TestBaseModel:
    """Guards against an engine that starts without its base model."""

    def test_it_is_loaded_before_the_first_request(self) -> None:
        """Guards against a base model that is never loaded, as no request needs it."""
        engine = EnginePlaces(EngineCapacity(8, 100_000, 2, (MODEL,)))
        engine.may_order = True
        empty = ReportedState({}, {}, frozenset(), 0, 0.0)
        [order] = engine.on_report(empty, 0.0)
        assert order == OrderLoad(MODEL, None, 0)
        assert engine.on_order_done(order, 0.0, at_once=False) == []
        assert engine.on_report(empty, 0.5) == [] and engine.loads_model()
        engine.on_report(make_report(6.0), 6.0)
        assert not engine.loads_model()

    def test_none_of_several_models_is_loaded_in_advance(self) -> None:
        engine = EnginePlaces(EngineCapacity(8, 100_000, 2, (MODEL, "other")))
        engine.may_order = True
        assert engine.on_report(ReportedState({}, {}, frozenset(), 0, 0.0), 0.0) == []


class TestRunSpeed:
    """Forecasts by the time of a run at an engine with two places."""

    def engine_with_runs(self, run_s: float = 0.8) -> EnginePlaces:
        """Return an engine that has ended some runs of this length."""
        engine = make_places(batch=2)
        load_adapter(engine, "a1", 0.0)
        for number in range(5):
            start = 2.0 + number
            engine.on_request(make_request(f"r{number}", "a1", start), start)
            engine.on_started(f"r{number}", start + 0.1)
            engine.on_release(f"r{number}", start + run_s)
        return engine

    def fill(self, engine: EnginePlaces, requests: int) -> list:
        """Send requests that the engine can't start in time; return the answers."""
        answers: list = []
        for number in range(requests):
            request = make_request(f"f{number}", "a1", 10.0, waits_s=1.0)
            answers += engine.on_request(request, 10.0)
        return answers

    def test_the_time_of_a_run_is_published(self) -> None:
        snapshot = self.engine_with_runs().snapshot(7.0)
        assert snapshot.run_s == pytest.approx(0.8)
        assert snapshot.s_per_output_token == pytest.approx(0.7 / 20)

    @pytest.mark.parametrize("end", ["aborted", "refused", "cancelled", "VM gone"])
    def test_other_ends_are_not_measured(self, end: str) -> None:
        """Guards against an engine that counts as slow as its callers are patient."""
        engine = self.engine_with_runs()
        engine.on_request(make_request("r", "a1", 10.0), 10.0)
        engine.on_started("r", 10.1)
        if end == "aborted":
            engine.on_release("r", 15.0, aborted=True)
        elif end == "refused":
            engine.on_run_refused("r", 15.0, not_held=False)
        elif end == "cancelled":
            engine.on_cancel("r", 15.0)
        else:
            engine.on_entry_gone("entry-0", 15.0)
        assert engine.snapshot(15.0).run_s == pytest.approx(0.8)
        assert engine.snapshot(15.0).active == 0

    def test_a_request_that_gets_no_place_in_time_is_refused_at_once(self) -> None:
        """Guards against a wait that ends with a refusal after seconds.

        Two requests run. With 0.4 s between two places, two of the others start
        within 1 s.
        """
        answers = self.fill(self.engine_with_runs(), 6)
        refused = [answer for answer in answers if isinstance(answer, Refuse)]
        assert [refusal.request.ask_id for refusal in refused] == ["f4", "f5"]
        assert refused[0].reason is RefusalReason.LATE
        assert refused[0].retry_after_s > 0.19

    def test_queued_requests_show_as_a_backlog(self) -> None:
        """Guards against a full engine that looks as free as one without a queue."""
        engine = self.engine_with_runs()
        self.fill(engine, 2)
        assert engine.snapshot(10.0).backlog_s == pytest.approx(0.0, abs=0.05)
        engine.on_request(make_request("queued", "a1", 10.0), 10.0)
        assert engine.snapshot(10.0).backlog_s == pytest.approx(0.4, abs=0.05)

    def test_without_the_mechanism_nothing_is_forecast(self) -> None:
        capacity = EngineCapacity(2, 100_000, 2)
        engine = EnginePlaces(capacity, Mechanisms.without(["run-speed"]))
        engine.runs.speed.seed(0.01, 0.8)
        assert engine.snapshot(0.0).run_s == 0.0
        assert engine.snapshot(0.0).s_per_output_token == 0.0
