"""Tests of one engine's dispatch under arbitrary orders of events."""

from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bamboovale.decisions.dispatch import DispatchConfig, EngineDispatch
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.work import (
    Action,
    EngineView,
    Grant,
    Load,
    Permit,
    Refuse,
    RequestLoadGrant,
    ReturnLoadGrant,
    Unload,
    WorkItem,
)
from bamboovale.errors import ErrorCode
from bamboovale.models import AdapterVersion, WorkClass

CONFIG = DispatchConfig(engine_id="tutor-llm-1", base_model="base", fencing=7)
PLACES = 3
SLOTS = 2


def make_item(number: int, adapter: str = "a", **changes: object) -> WorkItem:
    item = WorkItem(
        request_id=f"r{number}",
        entry_vm="entry-1",
        target=AdapterVersion(adapter, "1"),
        source=f"store/{adapter}",
        work_class=WorkClass.INTERACTIVE,
        customer=f"customer-{adapter}",
        arrived_at=0.0,
        latest_start=1000.0,
    )
    return replace(item, **changes)


def make_view(*loaded: str, boot_id: str = "b1", **changes: object) -> EngineView:
    view = EngineView(boot_id, "base", PLACES, SLOTS, frozenset(loaded))
    return replace(view, **changes)


def make_dispatch(policy: Policy | None = None) -> EngineDispatch:
    return EngineDispatch.from_config(CONFIG, policy or Policy.chosen())


def grants(actions: list[Action]) -> list[Permit]:
    return [action.permit for action in actions if isinstance(action, Grant)]


def refusals(actions: list[Action]) -> list[Refuse]:
    return [action for action in actions if isinstance(action, Refuse)]


class EngineMachine(RuleBasedStateMachine):
    """Carries out the decisions of a dispatch on an engine with real bounds.

    The engine refuses nothing; it asserts that no order or grant exceeds its bounds.
    """

    policy = Policy.chosen()

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.dispatch = make_dispatch(self.policy)
        self.twin = make_dispatch(self.policy)
        self.boot = 1
        self.loaded: set[str] = set()
        self.loading: list[str] = []
        self.unloading: list[str] = []
        self.load_requests: list[str] = []
        self.running: dict[str, Permit] = {}
        self.foreign: dict[str, str] = {}
        self.waiting: dict[str, WorkItem] = {}
        self.outcomes: dict[str, int] = {}
        self.may_order = True
        self.requests = 0
        self.emit("on_engine_view", self.view())

    def view(self) -> EngineView:
        running = {p.request_id: p.lora_name for p in self.running.values()}
        return make_view(
            *self.loaded,
            boot_id=f"b{self.boot}",
            running_by_request_id={**running, **self.foreign},
            read_at=self.now,
        )

    def emit(self, event: str, *arguments: object) -> None:
        actions = getattr(self.dispatch, event)(*arguments, self.now)
        assert actions == getattr(self.twin, event)(*arguments, self.now)
        for action in actions:
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        if isinstance(action, Grant):
            self.granted(action.permit)
        elif isinstance(action, Refuse):
            self.settle(action.request_id)
        elif isinstance(action, RequestLoadGrant):
            self.load_requests.append(action.lora_name)
        elif isinstance(action, Load):
            assert self.may_order
            assert action.lora_name not in self.loaded
            used = len(self.loaded) + len(self.loading) + len(self.unloading)
            assert used < SLOTS
            self.loading.append(action.lora_name)
        elif isinstance(action, Unload):
            assert self.may_order
            assert action.lora_name in self.loaded
            assert action.lora_name not in self.adapters_in_use()
            self.loaded.remove(action.lora_name)
            self.unloading.append(action.lora_name)

    def adapters_in_use(self) -> set[str]:
        held = {permit.lora_name for permit in self.running.values()}
        return held | set(self.foreign.values())

    def granted(self, permit: Permit) -> None:
        assert permit.lora_name in self.loaded
        assert permit.boot_id == f"b{self.boot}"
        assert len(self.running) + len(self.foreign) < PLACES
        self.settle(permit.request_id)
        self.running[permit.permit_id] = permit

    def settle(self, request_id: str) -> None:
        del self.waiting[request_id]
        self.outcomes[request_id] = self.outcomes.get(request_id, 0) + 1

    @rule(
        adapter=st.sampled_from("abcd"),
        customer=st.sampled_from(["x", "y"]),
        work_class=st.sampled_from(list(WorkClass)),
        patience=st.sampled_from([0.1, 5.0, 60.0]),
        exclusive=st.sampled_from([False, False, False, True]),
    )
    def request(
        self,
        adapter: str,
        customer: str,
        work_class: WorkClass,
        patience: float,
        exclusive: bool,
    ) -> None:
        self.requests += 1
        item = make_item(
            self.requests,
            adapter,
            customer=customer,
            work_class=work_class,
            arrived_at=self.now,
            latest_start=self.now + patience,
            exclusive=exclusive,
        )
        self.waiting[item.request_id] = item
        self.emit("on_request", item)

    @rule(seconds=st.sampled_from([0.01, 0.5, 3.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.emit("on_tick")

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.waiting)))
        self.settle(request_id)
        self.emit("on_cancel", request_id)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def release(self, data: st.DataObject) -> None:
        permit_id = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[permit_id]
        self.emit("on_release", permit_id)

    @precondition(lambda self: self.load_requests)
    @rule(data=st.data())
    def use_load_grant(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.load_requests)))
        self.load_requests.remove(name)
        self.emit("on_load_grant", name)

    @precondition(lambda self: self.loading)
    @rule(succeeds=st.sampled_from([True, True, False]))
    def end_load(self, succeeds: bool) -> None:
        name = self.loading.pop(0)
        if succeeds:
            self.loaded.add(name)
            self.emit("on_loaded", name)
        else:
            self.emit("on_load_failed", name)

    @precondition(lambda self: self.unloading)
    @rule(succeeds=st.sampled_from([True, True, False]))
    def end_unload(self, succeeds: bool) -> None:
        name = self.unloading.pop(0)
        if succeeds:
            self.emit("on_unloaded", name)
        else:
            self.loaded.add(name)
            self.emit("on_unload_failed", name)

    @rule()
    def poll_engine(self) -> None:
        self.emit("on_engine_view", self.view())

    @precondition(lambda self: len(self.running) + len(self.foreign) < PLACES)
    @precondition(lambda self: self.loaded)
    @rule(data=st.data())
    def run_foreign(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.loaded)))
        self.foreign[f"f{self.requests}"] = name
        self.emit("on_engine_view", self.view())

    @precondition(lambda self: self.foreign)
    @rule()
    def end_foreign(self) -> None:
        self.foreign.popitem()

    @rule()
    def restart_engine(self) -> None:
        self.boot += 1
        for state in (self.loaded, self.loading, self.unloading, self.foreign):
            state.clear()
        self.running.clear()
        self.emit("on_engine_view", self.view())

    @rule(allowed=st.booleans())
    def change_lease(self, allowed: bool) -> None:
        self.may_order = allowed
        self.emit("set_may_order", allowed)

    @invariant()
    def holds_its_bounds(self) -> None:
        assert all(count == 1 for count in self.outcomes.values())
        assert set(self.dispatch.permits()) == set(self.running)
        state = self.dispatch.dump(self.now)
        assert state["queued"] == len(self.waiting)

    def teardown(self) -> None:
        """Guard against requests that starve once the engine works normally."""
        self.may_order = True
        self.emit("set_may_order", True)
        self.foreign.clear()
        for _ in range(40 * (len(self.waiting) + 1)):
            if not self.waiting:
                break
            self.end_all_runs_and_orders()
        assert not self.waiting

    def end_all_runs_and_orders(self) -> None:
        for permit_id in list(self.running):
            del self.running[permit_id]
            self.emit("on_release", permit_id)
        for name in list(dict.fromkeys(self.load_requests)):
            self.emit("on_load_grant", name)
        self.load_requests.clear()
        while self.unloading:
            self.end_unload(succeeds=True)
        while self.loading:
            self.end_load(succeeds=True)
        self.now += 0.5
        self.emit("on_engine_view", self.view())
        self.emit("on_tick")


class BaselineMachine(EngineMachine):
    """Guards against a baseline policy that exceeds the bounds."""

    policy = Policy.baseline()


FIXED = settings(
    max_examples=120,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)
TestEngineMachine = EngineMachine.TestCase
TestEngineMachine.settings = FIXED
TestBaselineMachine = BaselineMachine.TestCase
TestBaselineMachine.settings = FIXED


class TestPermits:
    """Guards against permits that lose place and pin while their request may run."""

    def test_lost_entry_vm_keeps_its_pin_until_the_run_ended(self) -> None:
        """Guards against evicting an adapter that a silent entry VM may still use.

        Its request may reach the engine a moment after the view that does not list it.
        """
        dispatch = make_dispatch()
        dispatch.on_engine_view(make_view("a@1"), 0.0)
        assert grants(dispatch.on_request(make_item(1), 0.0))
        dispatch.on_entry_gone("entry-1", 1.0)
        dispatch.on_engine_view(make_view("a@1", read_at=2.5), 2.5)
        assert dispatch.dump(2.5)["lingering"]
        running = {"r1": "a@1"}
        dispatch.on_engine_view(
            make_view("a@1", running_by_request_id=running, read_at=4.0),
            4.0,
        )
        assert dispatch.dump(4.0)["free_places"] == PLACES - 1
        dispatch.on_engine_view(make_view("a@1", read_at=5.0), 5.0)
        assert dispatch.dump(5.0)["free_places"] == PLACES

    def test_adopted_permits_count_once(self) -> None:
        first = make_dispatch()
        first.on_engine_view(make_view("a@1"), 0.0)
        permits = grants(first.on_request(make_item(1), 0.0))
        second = make_dispatch()
        running = {"r1": "a@1"}
        second.on_engine_view(make_view("a@1", running_by_request_id=running), 1.0)
        second.on_permits_adopted(permits, 1.0)
        assert second.dump(1.0)["free_places"] == PLACES - 1
        second.on_release(permits[0].permit_id, 2.0)
        assert second.dump(2.0)["free_places"] == PLACES

    def test_restart_ends_permits(self) -> None:
        dispatch = make_dispatch()
        dispatch.on_engine_view(make_view("a@1"), 0.0)
        dispatch.on_request(make_item(1), 0.0)
        dispatch.on_engine_view(make_view(boot_id="b2"), 1.0)
        assert not dispatch.permits()


class TestLeaving:
    """Guards against new requests at an engine that is leaving."""

    def test_queue_is_sent_elsewhere(self) -> None:
        dispatch = make_dispatch()
        dispatch.on_engine_view(make_view(), 0.0)
        dispatch.on_request(make_item(1), 0.0)
        moved = refusals(dispatch.set_leaving(1.0))
        assert [refuse.refusal.code for refuse in moved] == [ErrorCode.DRAINING]
        assert moved[0].refusal.not_run
        assert moved[0].refusal.retry_after_s == 0.0
        assert refusals(dispatch.on_request(make_item(2), 2.0))


class TestLease:
    """Guards against orders without a lease, and against idle loaded adapters."""

    def test_no_orders_without_lease(self) -> None:
        dispatch = make_dispatch()
        dispatch.on_engine_view(make_view("a@1"), 0.0)
        dispatch.set_may_order(False, 0.0)
        assert grants(dispatch.on_request(make_item(1, "a"), 0.0))
        assert dispatch.on_request(make_item(2, "b"), 0.0) == []
        assert dispatch.on_load_grant("b@1", 0.1) == [ReturnLoadGrant("b@1")]
        load_requests = dispatch.set_may_order(True, 0.2)
        assert [type(action) for action in load_requests] == [RequestLoadGrant]

    def test_new_holder_waits_before_first_eviction(self) -> None:
        dispatch = make_dispatch()
        dispatch.set_may_evict_from(5.0)
        dispatch.on_engine_view(make_view("a@1", "b@1"), 0.0)
        assert dispatch.on_request(make_item(1, "c"), 3.0) == []
        assert dispatch.on_load_grant("c@1", 4.0) == [ReturnLoadGrant("c@1")]
        (load_request,) = dispatch.on_tick(5.0)
        assert isinstance(load_request, RequestLoadGrant)
        (unload,) = dispatch.on_load_grant("c@1", 5.1)
        assert isinstance(unload, Unload)


class TestExclusive:
    """Guards against a crash suspect that runs beside other requests."""

    def test_waits_for_empty_engine_and_holds_it(self) -> None:
        dispatch = make_dispatch()
        dispatch.on_engine_view(make_view("a@1"), 0.0)
        (innocent,) = grants(dispatch.on_request(make_item(1), 0.0))
        assert not grants(dispatch.on_request(make_item(2, exclusive=True), 0.0))
        assert not grants(dispatch.on_request(make_item(3), 0.0))
        (alone,) = grants(dispatch.on_release(innocent.permit_id, 1.0))
        assert alone.request_id == "r2"
        assert not grants(dispatch.on_request(make_item(4), 1.0))
        after = grants(dispatch.on_release(alone.permit_id, 2.0))
        assert [permit.request_id for permit in after] == ["r3", "r4"]

    def test_dead_entry_vm_blocks_the_engine_only_until_its_run_ended(self) -> None:
        """Guards against a dead entry VM whose exclusive permit blocks the engine."""
        dispatch = make_dispatch()
        dispatch.on_engine_view(make_view("a@1"), 0.0)
        suspect = make_item(1, exclusive=True)
        assert grants(dispatch.on_request(suspect, 0.0))
        assert not grants(dispatch.on_request(make_item(2, entry_vm="entry-2"), 0.0))
        assert not grants(dispatch.on_entry_gone("entry-1", 1.0))
        assert grants(dispatch.on_engine_view(make_view("a@1", read_at=9.0), 9.0))


class TestRefusals:
    """Guards against late refusals and against retries at the same moment."""

    def test_full_engine_refuses_at_once(self) -> None:
        dispatch = make_dispatch()
        dispatch.on_engine_view(make_view("a@1"), 0.0)
        refused = []
        for number in range(40):
            item = make_item(number, latest_start=3.0)
            refused += refusals(dispatch.on_request(item, 0.0))
        assert len(refused) > 30
        assert all(refuse.refusal.not_run for refuse in refused)
        waits = {refuse.refusal.retry_after_s for refuse in refused}
        assert len(waits) == len(refused)
        assert min(waits) > 0

    def test_full_queue_refuses_the_flood_not_the_light_customer(self) -> None:
        config = replace(CONFIG, queue_limit=10)
        dispatch = EngineDispatch.from_config(config, Policy.chosen())
        dispatch.on_engine_view(make_view("a@1", "b@1"), 0.0)
        for number in range(13):
            dispatch.on_request(make_item(number, "a"), 0.0)
        actions = dispatch.on_request(make_item(99, "b", arrived_at=0.1), 0.1)
        assert [refuse.request_id for refuse in refusals(actions)] == ["r12"]


class TestExchange:
    """Guards against an idle engine that keeps its adapters while others are needed.

    An eviction costs at most one later load; the wait of the queued request is certain.
    """

    def test_idle_engine_exchanges_at_once(self) -> None:
        dispatch = make_dispatch()
        dispatch.on_engine_view(make_view("a@1", "b@1"), 0.0)
        now = 0.0
        for number in range(200):
            now = number / 10
            item = make_item(number, "ab"[number % 2], arrived_at=now)
            for permit in grants(dispatch.on_request(item, now)):
                dispatch.on_release(permit.permit_id, now)
        waiting = make_item(999, "c", arrived_at=now, latest_start=now + 30.0)
        load_requests = dispatch.on_request(waiting, now)
        assert [type(action) for action in load_requests] == [RequestLoadGrant]
        (unload,) = dispatch.on_load_grant("c@1", now)
        assert isinstance(unload, Unload)
        (load,) = dispatch.on_unloaded(unload.lora_name, now)
        assert isinstance(load, Load)
        assert grants(dispatch.on_loaded("c@1", now + 1.0))


class TestFailingLoads:
    """Guards against long waits while loads fail, and refusals after they recover."""

    def fail_for_a_minute(self) -> EngineDispatch:
        """Let loads of one adapter fail until its request is refused."""
        dispatch = make_dispatch()
        dispatch.on_engine_view(make_view(), 0.0)
        dispatch.on_request(make_item(1, "c", latest_start=60.0), 0.0)
        for second in range(60):
            dispatch.on_tick(float(second))
            dispatch.on_load_grant("c@1", float(second))
            dispatch.on_load_failed("c@1", float(second))
        return dispatch

    def test_refuses_at_once_while_it_fails(self) -> None:
        dispatch = self.fail_for_a_minute()
        item = make_item(2, "d", arrived_at=60.0, latest_start=75.0)
        assert refusals(dispatch.on_request(item, 60.0))

    def test_serves_again_without_a_queued_request(self) -> None:
        """Guards against refusals that never end after a failed load.

        The grant for the only retry is lost, so that no load succeeds.
        """
        dispatch = self.fail_for_a_minute()
        dispatch.on_tick(95.0)
        item = make_item(3, "d", arrived_at=95.0, latest_start=110.0)
        assert not refusals(dispatch.on_request(item, 95.0))


class TestNewVersion:
    """Guards against loading a new version only when a request waits for it."""

    def test_requests_a_load_before_a_request_waits(self) -> None:
        dispatch = make_dispatch()
        dispatch.on_engine_view(make_view("a@1"), 0.0)
        dispatch.on_request(make_item(1), 0.0)
        load_requests = dispatch.on_new_version("a@2", "store/a/2", "a@1", 1.0)
        assert [action.lora_name for action in load_requests] == ["a@2"]
        assert dispatch.on_new_version("z@2", "store/z/2", "z@1", 1.0) == []
