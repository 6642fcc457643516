"""Tests of dispatch when messages are lost or orders are stopped."""

from dataclasses import replace

from bamboovale.decisions.dispatch import DispatchConfig, EngineDispatch
from bamboovale.decisions.policy import Policy
from bamboovale.decisions.work import EngineView, Grant, Refuse, WorkItem
from bamboovale.models import AdapterVersion, WorkClass


def view(*running: str, waiting: int = 0, read_at: float) -> EngineView:
    return EngineView(
        boot_id="b1",
        base_model="base",
        max_num_seqs=1,
        max_loras=1,
        loaded=frozenset(["a@1"]),
        running_by_request_id=dict.fromkeys(running, "a@1"),
        waiting=waiting,
        read_at=read_at,
    )


def item(request_id: str, now: float) -> WorkItem:
    return WorkItem(
        request_id=request_id,
        entry_vm="e1",
        target=AdapterVersion("a", "1"),
        source="s",
        work_class=WorkClass.INTERACTIVE,
        customer="c",
        arrived_at=now,
        latest_start=now + 60.0,
    )


class TestLostRelease:
    """Guards against a place that stays taken because its release was lost.

    The link between two entry VMs broke after the run had ended.
    """

    def dispatch_with_a_run(self) -> EngineDispatch:
        config = DispatchConfig("g1", "base", fencing=1, send_within_s=1.0)
        dispatch = EngineDispatch.from_config(config, Policy.chosen())
        dispatch.on_engine_view(view(read_at=0.0), 0.0)
        granted = dispatch.on_request(item("r1", 0.0), 0.0)
        assert any(isinstance(action, Grant) for action in granted)
        return dispatch

    def grants(self, actions: list) -> list[str]:
        return [a.permit.request_id for a in actions if isinstance(a, Grant)]

    def test_the_place_comes_back_without_a_release(self) -> None:
        dispatch = self.dispatch_with_a_run()
        dispatch.on_request(item("r2", 4.0), 4.0)
        actions = dispatch.on_engine_view(view(read_at=5.0), 5.0)
        assert self.grants(actions) == ["r2"]

    def test_a_listed_run_keeps_its_place(self) -> None:
        dispatch = self.dispatch_with_a_run()
        dispatch.on_request(item("r2", 4.0), 4.0)
        actions = dispatch.on_engine_view(view("r1", read_at=5.0), 5.0)
        assert self.grants(actions) == []

    def test_a_permit_that_may_still_be_sent_keeps_its_place(self) -> None:
        dispatch = self.dispatch_with_a_run()
        dispatch.on_request(item("r2", 0.5), 0.5)
        actions = dispatch.on_engine_view(view(read_at=1.0), 1.0)
        assert self.grants(actions) == []

    def test_a_request_that_waits_inside_the_engine_keeps_its_place(self) -> None:
        dispatch = self.dispatch_with_a_run()
        dispatch.on_request(item("r2", 4.0), 4.0)
        actions = dispatch.on_engine_view(view(waiting=1, read_at=5.0), 5.0)
        assert self.grants(actions) == []


class TestOrdersStopped:
    """Guards against queueing requests that need a load while loads are stopped.

    They would be held for their whole wait and then refused.
    """

    def dispatch(self) -> EngineDispatch:
        config = DispatchConfig("g1", "base", fencing=1)
        dispatch = EngineDispatch.from_config(config, Policy.chosen())
        dispatch.on_engine_view(view(read_at=0.0), 0.0)
        return dispatch

    def cold_item(self, request_id: str, now: float) -> WorkItem:
        return replace(item(request_id, now), target=AdapterVersion("cold", "1"))

    def refused(self, actions: list) -> list[str]:
        return [a.request_id for a in actions if isinstance(a, Refuse)]

    def test_a_waiting_request_is_refused_soon(self) -> None:
        dispatch = self.dispatch()
        dispatch.on_request(self.cold_item("r1", 0.0), 0.0)
        dispatch.set_may_order(False, 0.1)
        assert self.refused(dispatch.on_tick(0.9)) == []
        assert self.refused(dispatch.on_tick(1.2)) == ["r1"]

    def test_a_new_request_is_refused_at_once(self) -> None:
        dispatch = self.dispatch()
        dispatch.set_may_order(False, 0.0)
        actions = dispatch.on_request(self.cold_item("r1", 2.0), 2.0)
        assert self.refused(actions) == ["r1"]

    def test_what_is_loaded_is_served(self) -> None:
        dispatch = self.dispatch()
        dispatch.set_may_order(False, 0.0)
        actions = dispatch.on_request(item("r1", 2.0), 2.0)
        assert any(isinstance(action, Grant) for action in actions)

    def test_loads_go_on_with_the_lease(self) -> None:
        dispatch = self.dispatch()
        dispatch.set_may_order(False, 0.0)
        dispatch.set_may_order(True, 5.0)
        actions = dispatch.on_request(self.cold_item("r1", 6.0), 6.0)
        assert self.refused(actions) == []

    def test_a_slot_kept_for_exchange_takes_work_again(self) -> None:
        """Guards against a draining adapter that gets no requests while orders stop."""
        dispatch = self.dispatch_of_two_places()
        dispatch.on_request(item("r1", 0.0), 0.0)
        dispatch.on_request(self.cold_item("r2", 0.0), 0.0)
        dispatch.on_tick(20.0)
        assert dispatch.dump(20.0)["draining"] == ["a@1"]
        dispatch.set_may_order(False, 20.0)
        actions = dispatch.on_request(item("r3", 20.1), 20.1)
        assert any(isinstance(action, Grant) for action in actions)

    def dispatch_of_two_places(self) -> EngineDispatch:
        config = DispatchConfig("g1", "base", fencing=1)
        dispatch = EngineDispatch.from_config(config, Policy.chosen())
        two_places = replace(view(read_at=0.0), max_num_seqs=2)
        dispatch.on_engine_view(two_places, 0.0)
        return dispatch
