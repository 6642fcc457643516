"""One engine at its owner: places, slots and queue, without a network."""

from bamboovale.decisions.engine_places import EnginePlaces
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


def places(slots: int = 2, batch: int = 8) -> EnginePlaces:
    """Return an engine that has its model and no adapter."""
    engine = EnginePlaces(EngineCapacity(batch, 100_000, slots))
    engine.may_order = True
    engine.on_report(facts(0.0), 0.0)
    return engine


def facts(read_at: float, **version_by_adapter: int) -> ReportedState:
    """Return a report."""
    adapters = {(MODEL, name): v for name, v in version_by_adapter.items()}
    return ReportedState({MODEL: 1}, adapters, frozenset(), 0, read_at)


def ask(name: str, adapter: str, now: float = 0.0, **fields: float) -> QueuedRequest:
    """Return a request that has a goal of a second and waits for three."""
    return QueuedRequest(
        ask_id=name,
        entry_vm="entry-0",
        model=MODEL,
        adapter=adapter,
        version=int(fields.get("version", 1)),
        prompt_tokens=100,
        output_tokens=20,
        rank=0,
        goal_at=now + fields.get("goal_s", 1.0),
        latest_start=now + fields.get("waits_s", 3.0),
    )


def load(engine: EnginePlaces, adapter: str, now: float) -> None:
    """Bring an adapter in, by a request that ends at once."""
    [order] = engine.on_request(ask(f"load-{adapter}", adapter, now), now)
    assert order == OrderLoad(MODEL, adapter, 1)
    engine.on_order_done(order, now, at_once=False)
    later = now + 1.0
    engine.on_report(facts(later, **{adapter: 1}), later)
    engine.on_release(f"load-{adapter}", later)


class TestSlots:
    """Adapters come and go within the slots."""

    def test_an_accepted_unload_keeps_its_slot_until_a_report_shows_it_empty(
        self,
    ) -> None:
        """An adapter is evicted while a run that its owner does not know still uses it.

        The engine accepts the unload and lets it wait for the run. Were its slot given
        away at once, the next load would be one too many and crash the engine with all
        its streams. The cause: a caller left, or another VM sent without a place.
        """
        engine = places(slots=1)
        load(engine, "a1", 0.0)
        [order] = engine.on_request(ask("r", "a2", 2.0), 2.0)
        assert order == OrderUnload(MODEL, "a1")
        assert engine.on_order_done(order, 2.0, at_once=False) == []
        assert engine.on_report(facts(2.4, a1=1), 2.4) == []
        [order] = engine.on_report(facts(2.8), 2.8)
        assert order == OrderLoad(MODEL, "a2", 1)

    def test_a_report_older_than_an_unload_brings_nothing_back(
        self,
    ) -> None:
        """Reports lag; one that is read just after an unload still lists the adapter.

        Taken for loaded it would be evicted again and again, each time with an order
        that does nothing and holds up the loads that callers wait for.
        """
        engine = places(slots=1)
        load(engine, "a1", 0.0)
        [order] = engine.on_request(ask("r", "a2", 2.0), 2.0)
        [order] = engine.on_order_done(order, 2.0, at_once=True)
        assert order == OrderLoad(MODEL, "a2", 1)
        engine.on_order_done(order, 2.0, at_once=False)
        engine.on_report(facts(2.1, a1=1), 2.1)
        assert (MODEL, "a1") not in engine.snapshot(2.1).loaded

    def test_an_adapter_that_may_still_be_in_transit_is_not_evicted(self) -> None:
        """A load takes longer than expected, its caller leaves, a slot is wanted.

        The engine answers the unload as done, since it does not hold the adapter yet,
        which then arrives in a slot that was given away: one too many, and a crash.
        """
        engine = places(slots=1)
        [order] = engine.on_request(ask("r1", "a1"), 0.0)
        engine.on_order_done(order, 0.0, at_once=False)
        engine.decide(0.4)
        engine.on_cancel("r1", 0.4)
        assert engine.on_request(ask("r2", "a2", 0.4), 0.4) == []
        [order] = engine.on_report(facts(0.6, a1=1), 0.6)
        assert order == OrderUnload(MODEL, "a1")

    def test_an_adapter_in_use_is_never_evicted(self) -> None:
        engine = places(slots=1)
        [order] = engine.on_request(ask("r1", "a1"), 0.0)
        engine.on_order_done(order, 0.0, at_once=False)
        assert any(isinstance(item, Grant) for item in engine.decide(1.0))
        assert engine.on_request(ask("r2", "a2", 1.0), 1.0) == []
        engine.on_report(facts(1.2, a1=1), 1.2)
        [order] = engine.on_release("r1", 1.5)
        assert order == OrderUnload(MODEL, "a1")

    def test_a_new_owner_sends_nothing_before_a_load_can_be_complete(self) -> None:
        """After every start and hand-over the first requests come back refused.

        Their owner has not measured a load yet. It guessed that one is done after
        0.2 s, where the weight store needs 0.25 to 0.29 s: on a heavy day of 45
        engines 507 of 5,113 requests were sent too early, each a repeat.
        """
        engine = places(slots=1)
        [order] = engine.on_request(ask("r", "a1"), 0.0)
        engine.on_order_done(order, 0.0, at_once=False)
        assert engine.decide(0.29) == []
        [grant] = engine.decide(0.36)
        assert isinstance(grant, Grant)

    def test_an_engine_that_keeps_no_adapters_is_found_out(self) -> None:
        """At an engine that keeps few evicted adapters every second load fails.

        Its owner takes an adapter that it held before for quickly loaded, and sends the
        request after 0.06 s; the engine fetches it anew and refuses the request, which
        costs a repeat each time, and is refused once the budget of repeats is used up.
        """
        engine = places(slots=1)
        early = 0
        now = 0.0
        load(engine, "a1", now)
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
        """Load an adapter in 0.25 s; True if its request was sent before that."""
        [unload] = engine.on_request(ask(name, adapter, now), now)
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
        engine.on_report(facts(now + 1.0, **{adapter: 1}), now + 1.0)
        return early

    def test_a_request_that_came_before_its_load_was_complete_waits_for_a_report(
        self,
    ) -> None:
        """A load takes longer than expected and the engine refuses the first request.

        Sent again at once it would be refused again, which costs retry budget.
        """
        engine = places()
        [order] = engine.on_request(ask("r1", "a1"), 0.0)
        engine.on_order_done(order, 0.0, at_once=False)
        [grant] = engine.decide(0.5)
        assert isinstance(grant, Grant) and not grant.confirmed
        engine.on_run_refused("r1", 0.5, not_held=True)
        assert engine.on_request(ask("r2", "a1", 0.5), 0.5) == []
        [grant] = engine.on_report(facts(0.7, a1=1), 0.7)
        assert isinstance(grant, Grant) and grant.confirmed


class TestRefusedRuns:
    """What an engine refuses tells little about its slots."""

    def test_a_refused_run_gives_no_slot_away(self) -> None:
        """An engine refuses a run, since it holds another version of the adapter.

        Taken for gone, the adapter's slot would be given to the next load at once,
        which is one too many: the engine crashes with all its streams.
        """
        engine = places(slots=1)
        load(engine, "a1", 0.0)
        [grant] = engine.on_request(ask("r1.0", "a1", 2.0), 2.0)
        assert isinstance(grant, Grant)
        engine.on_request(ask("r2.0", "a2", 2.0), 2.0)
        assert engine.on_run_refused("r1.0", 2.1, not_held=True) == []
        assert engine.on_report(facts(2.15), 2.15) == []
        [order] = engine.on_report(facts(2.3, a1=1), 2.3)
        assert order == OrderUnload(MODEL, "a1")


class TestRunsUnknown:
    """Runs that the owner did not grant, or no longer counts."""

    def test_a_run_of_the_last_owner_keeps_its_adapter(self) -> None:
        """An engine changes its owner while runs are under way.

        The new owner evicts an adapter in use; the engine waits for the run, for
        seconds, and refuses every other order meanwhile: nobody gets a slot.
        """
        engine = places(slots=1)
        engine.on_report(facts(1.0, a1=1), 1.0)
        engine.adopt_place(ask("old.0", "a1", 1.0), 1, 1.0)
        assert engine.on_request(ask("r.0", "a2", 1.1), 1.1) == []
        [order] = engine.on_release("old.0", 1.5)
        assert order == OrderUnload(MODEL, "a1")

    def test_a_new_owner_evicts_nothing_before_it_has_heard_of_the_runs(self) -> None:
        engine = places(slots=1)
        engine.may_evict_from = 1.6
        engine.on_report(facts(1.0, a1=1), 1.0)
        assert engine.on_request(ask("r.0", "a2", 1.1), 1.1) == []
        [order] = engine.decide(1.7)
        assert order == OrderUnload(MODEL, "a1")

    def test_a_run_that_we_broke_off_keeps_its_adapter_until_it_is_gone(self) -> None:
        """A caller leaves; the engine goes on with the run, as some do.

        Its adapter looks idle. Evicted, it blocks the engine's orders until the end.
        """
        engine = places(slots=1)
        load(engine, "a1", 0.0)
        engine.on_request(ask("r1.0", "a1", 2.0), 2.0)
        engine.on_release("r1.0", 2.1, aborted=True)
        assert engine.on_request(ask("r2.0", "a2", 2.1), 2.1) == []
        running = ReportedState(
            {MODEL: 1}, {(MODEL, "a1"): 1}, frozenset(), 1, 2.5, frozenset({"r1"})
        )
        assert engine.on_report(running, 2.5) == []
        [order] = engine.on_report(facts(2.9, a1=1), 2.9)
        assert order == OrderUnload(MODEL, "a1")


class TestVersions:
    """New versions replace old ones."""

    def test_nothing_new_starts_on_an_old_version_that_is_idle(self) -> None:
        engine = places()
        load(engine, "a1", 0.0)
        [order] = engine.on_request(ask("r", "a1", 2.0, version=2), 2.0)
        assert order == OrderLoad(MODEL, "a1", 2)

    def test_a_busy_old_version_serves_on_for_a_moment_only(self) -> None:
        """A new version of a hot adapter is named while runs on it never cease.

        The replacement waits for the runs; if new ones went on starting on the old
        version, it would never come. After a moment nothing new starts on it.
        """
        engine = places()
        load(engine, "a1", 0.0)
        [grant] = engine.on_request(ask("r1", "a1", 2.0), 2.0)
        assert isinstance(grant, Grant)
        actions = engine.on_request(ask("r2", "a1", 2.1, version=2), 2.1)
        assert any(isinstance(item, Grant) and item.version == 1 for item in actions)
        actions = engine.on_request(ask("r3", "a1", 4.0), 4.0)
        assert actions == [OrderLoad(MODEL, "a1", 2)]

    def test_a_new_version_that_was_not_ordered_gives_no_slot_away(self) -> None:
        """Guards against one load too many while the engine holds the old version."""
        engine = places(slots=1)
        load(engine, "a1", 0.0)
        [replacement] = engine.on_request(ask("new", "a1", 2.0, version=2), 2.0)
        assert replacement == OrderLoad(MODEL, "a1", 2)
        engine.on_order_failed(replacement, certain=True)
        engine.on_cancel("new", 2.1)
        assert engine.on_request(ask("other", "a2", 2.2), 2.2) == [
            OrderUnload(MODEL, "a1"),
        ]


class TestOverload:
    """More requests than slots."""

    def test_what_can_meet_its_goal_goes_before_what_is_late_already(self) -> None:
        """Twice as many adapters are asked for as the slots can take, for a while.

        First come first served, everyone would be late by the same wait; the requests
        that came last can still be in time.
        """
        engine = places(slots=1)
        [order] = engine.on_request(ask("r0", "a0"), 0.0)
        engine.on_order_done(order, 0.0, at_once=False)
        engine.decide(1.0)
        engine.on_request(ask("old", "a1", 0.0, goal_s=1.0), 1.0)
        engine.on_request(ask("new", "a2", 1.0, goal_s=1.0), 1.0)
        engine.on_report(facts(1.2, a0=1), 1.2)
        [order] = engine.on_release("r0", 1.2)
        [order] = engine.on_order_done(order, 1.2, at_once=True)
        assert order == OrderLoad(MODEL, "a2", 1)

    def test_what_cannot_start_in_time_is_refused(self) -> None:
        engine = places(slots=1)
        [order] = engine.on_request(ask("r0", "a0"), 0.0)
        engine.on_order_done(order, 0.0, at_once=False)
        engine.decide(1.0)
        engine.on_request(ask("r1", "a1", 1.0, waits_s=0.5), 1.0)
        [refusal] = engine.decide(1.6)
        assert isinstance(refusal, Refuse)
        assert refusal.reason is RefusalReason.LATE

    def test_without_leave_to_order_a_load_is_refused_soon(self) -> None:
        """The owner lost its lease; a request needs an adapter that is not loaded.

        Kept waiting it would end at its deadline, while another engine could load it.
        """
        engine = places()
        engine.may_order = False
        engine.decide(0.0)
        engine.on_request(ask("r1", "a1", 0.1), 0.1)
        [refusal] = engine.decide(0.6)
        assert isinstance(refusal, Refuse)
        assert refusal.reason is RefusalReason.CANNOT_LOAD


class TestBaseModel:
    """An engine that has started without its model."""

    def test_it_is_loaded_before_anybody_asks(self) -> None:
        """An engine is replaced while the others serve; nobody is sent to it.

        Loaded only for a request, its model came never, or a crowd waited for it.
        """
        engine = EnginePlaces(EngineCapacity(8, 100_000, 2, (MODEL,)))
        engine.may_order = True
        empty = ReportedState({}, {}, frozenset(), 0, 0.0)
        [order] = engine.on_report(empty, 0.0)
        assert order == OrderLoad(MODEL, None, 0)
        assert engine.on_order_done(order, 0.0, at_once=False) == []
        assert engine.on_report(empty, 0.5) == [] and engine.loads_model()
        engine.on_report(facts(6.0), 6.0)
        assert not engine.loads_model()

    def test_of_several_models_none_is_guessed(self) -> None:
        engine = EnginePlaces(EngineCapacity(8, 100_000, 2, (MODEL, "other")))
        engine.may_order = True
        assert engine.on_report(ReportedState({}, {}, frozenset(), 0, 0.0), 0.0) == []
