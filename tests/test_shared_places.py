"""Calls of a fleet whose places one VM grants, in virtual time, and one client."""

import asyncio
from collections.abc import Collection
from concurrent.futures import Future
from contextlib import suppress
from functools import cache
from typing import Any

import pytest

from bamboovale.decisions.place_endpoint import CallEnd
from bamboovale.decisions.place_requests import PlaceDecision
from bamboovale.decisions.place_totals import PlaceTotals
from bamboovale.decisions.shared_places import SharedPlaces
from bamboovale.event_loop import loop_factory
from bamboovale.gateway.call import Call
from bamboovale.gateway.model import CallFacts
from bamboovale.http1.request import Request
from bamboovale.peers.outgoing import PeerTimeoutError
from bamboovale.shared_places.client import PlaceClient
from bamboovale.shared_places.granter import PlaceGranter
from bamboovale.shared_places.granter_report import GranterReport
from bamboovale.shared_places.messages import SharedPlaceReply, SharedPlaceRequest
from bench.shared_place_simulation import Day, Outcome, Span, Way, play
from bench.virtual_loop import run_in_virtual_time
from tests.gateway_site import RecordedJournal
from tests.test_gateway_plain_overload import ROUTE, now

FREE_REFUSAL_GOALS = 1 / 8
"""Part of the goal up to which a refusal costs its caller nothing."""
ALLOWED_LOSS = 0.03
"""What callers may lose against local choice where places are not short."""
SECONDS = 3.0
FAULTS: dict[str, dict[str, Any]] = {
    "slow endpoint": {"slow": Span(1.0, 1.6)},
    "all slow": {"slow": Span(1.0, 1.6), "all_slow": True},
    "rejecting endpoint": {"rejecting": Span(1.0, 1.5)},
    "granter killed": {"killed_at": 1.0},
    "halves cut": {"cut": Span(1.0, 4.0)},
    "two granters": {"two_granters": Span(1.0, 3.0)},
    "messages delayed": {"delayed": Span(1.0, 3.0)},
    "one endpoint": {"endpoints": 1},
}


@cache
def played(way: Way, fault: str | None = None, **fields: Any) -> Outcome:
    """Return what callers get on a day."""
    usual = {"way": way, "seconds": SECONDS}
    return play(Day(**{**usual, **FAULTS.get(fault or "", {}), **fields}))


def in_time(outcome: Outcome) -> float:
    """Return the share of callers that were answered in time."""
    return outcome.share(outcome.in_time)


def check_promises(outcome: Outcome) -> None:
    """Check what holds on every day."""
    answered = outcome.in_time + outcome.late
    assert answered + outcome.refused + outcome.failed == outcome.callers
    assert outcome.failed == 0
    assert outcome.used_after == 0


@pytest.mark.parametrize("vms", [6, 89, 300])
class TestFleet:
    """A fleet without faults."""

    @pytest.mark.parametrize("load", [0.6, 0.9])
    def test_what_the_places_can_carry_is_served_in_time(
        self, vms: int, load: float
    ) -> None:
        outcome = played(Way.GRANTER, vms=vms, load=load)
        check_promises(outcome)
        assert in_time(outcome) > 1.0 - ALLOWED_LOSS
        assert outcome.rejections == 0

    def test_an_overload_is_refused_at_once_and_the_places_stay_in_use(
        self, vms: int
    ) -> None:
        """Guards against late answers, calls sent in vain, and idle places."""
        load = 1.7
        outcome = played(Way.GRANTER, vms=vms, load=load)
        check_promises(outcome)
        assert in_time(outcome) > (1.0 - ALLOWED_LOSS) / load
        assert in_time(outcome) > in_time(played(Way.LOCAL, vms=vms, load=load))
        assert outcome.share(outcome.late) < ALLOWED_LOSS
        assert outcome.rejections == 0
        assert outcome.idle_refusals == 0
        assert outcome.refusal_s(0.95) < FREE_REFUSAL_GOALS * Day().goal_s


class TestShortCalls:
    """Calls that are not much longer than a message takes."""

    def test_places_stay_in_use_while_messages_are_on_their_way(self) -> None:
        """Guards against slots that wait for the next grant."""
        day = {"work_s": 0.0225, "goal_s": 0.16, "deadline_s": 0.663, "seconds": 3.0}
        outcome = played(Way.GRANTER, load=1.7, **day)
        check_promises(outcome)
        assert in_time(outcome) > (1.0 - ALLOWED_LOSS) / 1.7
        assert in_time(outcome) > in_time(played(Way.LOCAL, load=1.7, **day))


class TestFaults:
    """A fleet of 89 VMs with a fault."""

    @pytest.mark.parametrize("fault", FAULTS)
    @pytest.mark.parametrize("load", [0.6, 0.9])
    def test_callers_lose_no_more_than_allowed(self, fault: str, load: float) -> None:
        outcome = played(Way.GRANTER, fault, load=load)
        check_promises(outcome)
        local = played(Way.LOCAL, fault, load=load)
        assert in_time(outcome) > in_time(local) - ALLOWED_LOSS
        assert outcome.idle_refusals == 0

    @pytest.mark.parametrize("fault", ["granter killed", "halves cut", "two granters"])
    def test_an_overload_is_served_as_well_as_without_a_granter(
        self, fault: str
    ) -> None:
        outcome = played(Way.GRANTER, fault, load=1.7)
        check_promises(outcome)
        local = played(Way.LOCAL, fault, load=1.7)
        assert in_time(outcome) > in_time(local)
        assert outcome.rejections < local.rejections

    def test_few_calls_wait_for_a_granter_that_is_lost(self) -> None:
        """Guards against a time-out for every call until another one takes over."""
        outcome = played(Way.GRANTER, "granter killed", vms=6, load=0.9)
        assert 0 < outcome.by_outcome["timed_out"] < 6 * 10
        assert outcome.by_outcome["backed_off"] > 200

    def test_a_rejecting_endpoint_gets_few_calls(self) -> None:
        outcome = played(Way.GRANTER, "rejecting endpoint", load=0.9)
        local = played(Way.LOCAL, "rejecting endpoint", load=0.9)
        assert 0 < outcome.rejections < local.rejections / 2


class LoneVM:
    """A client with a granter, in this VM or (``remote``) one that never answers."""

    own_id = "vm"

    def __init__(self, remote: str | None = None, slots: int = 1) -> None:
        journal = RecordedJournal("vm")
        self.granter_id: str | None = remote or "vm"
        self.sent: list[Any] = []
        self.unreachable: set[str] = set()
        self.granter = PlaceGranter(self, self.tell, journal, now)
        self.client = PlaceClient(self, self.granter, self, journal, now)  # type: ignore[arg-type]
        self.slots = slots

    def tell(self, vm_id: str, reply: SharedPlaceReply) -> None:
        """Pass a decision on."""
        self.client.on_reply(vm_id, reply)

    def applies(self, service: str) -> bool:
        """Return that every call asks."""
        return True

    def senders(self) -> int:
        """Return a single VM."""
        return 1

    def granter_of(self, service: str) -> str | None:
        """Return the granter."""
        return self.granter_id

    def slots_by_id(self, service: str) -> dict[str, int]:
        """Return two endpoints."""
        return {"app-1": self.slots, "app-2": self.slots}

    def out_of_reach(self, endpoint_ids: Collection[str]) -> set[str]:
        """Return the endpoints that this VM cannot connect to."""
        return self.unreachable & set(endpoint_ids)

    def request(self, vm_id: str, message: Any, timeout_s: float) -> "Future[Any]":
        """Lose a request."""
        self.sent.append(message)
        future: Future[Any] = Future()
        error = PeerTimeoutError("lost")
        asyncio.get_running_loop().call_later(timeout_s, future.set_exception, error)
        return future

    def notify(self, vm_id: str, message: Any) -> None:
        """Keep a notice."""
        self.sent.append(message)

    def used(self) -> int:
        """Return how many places are in use or waited for."""
        [places] = self.granter.dump().values()
        in_use = sum(endpoint["used"] for endpoint in places["endpoints"].values())
        return int(in_use + places["waiting"])

    async def hold(self, seconds: float = 60.0) -> str | float | None:
        """Use a place for some time; return its endpoint, or when to return."""
        request = Request("POST", "/book/1", [], b"", now())
        facts = CallFacts("id", "shop", None, None, [])
        call = Call(request, facts, ROUTE, "app", None, now() + 60.0)  # type: ignore[arg-type]
        async with self.client.open(call, lambda: (), 30.0) as place:
            if place.retry_after_s is None:
                place.on_sent(place.endpoint_id or "app-1")
                await asyncio.sleep(seconds)
            return place.endpoint_id or place.retry_after_s


class TestClient:
    """One VM's side."""

    def test_places_are_freed_when_callers_leave(self) -> None:
        """Guards against places that callers keep after they left."""

        async def test() -> None:
            vm = LoneVM()
            tasks = [asyncio.create_task(vm.hold()) for _ in range(3)]
            await asyncio.sleep(0.01)
            assert vm.used() == 3
            for task in tasks:
                task.cancel()
                with suppress(asyncio.CancelledError):
                    await task
            assert vm.used() == 0

        run_in_virtual_time(test())

    def test_a_call_is_refused_when_its_goal_cannot_be_met_any_more(self) -> None:
        """Guards against calls that nobody decides on while nothing else happens."""

        async def test() -> None:
            vm = LoneVM()
            running = [asyncio.create_task(vm.hold()) for _ in range(2)]
            await asyncio.sleep(0.01)
            assert isinstance(await vm.hold(), float)
            assert now() < ROUTE.goal_s
            for task in running:
                task.cancel()

        run_in_virtual_time(test())

    def test_a_new_granter_counts_the_calls_in_progress(self) -> None:
        """Guards against endpoints in use that a new granter takes for free."""

        async def test() -> None:
            vm = LoneVM("other")
            running = [asyncio.create_task(vm.hold()) for _ in range(2)]
            await asyncio.sleep(1.0)
            assert vm.granter.dump() == {}
            vm.granter_id = "vm"
            vm.client.refresh()
            assert vm.used() == 2
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
            assert vm.used() == 0

        run_in_virtual_time(test())

    def test_a_call_whose_granter_is_replaced_goes_on_at_once(self) -> None:
        """Guards against calls that wait for a VM that has ended."""

        async def test() -> None:
            vm = LoneVM()
            running = [asyncio.create_task(vm.hold()) for _ in range(2)]
            waiting = asyncio.create_task(vm.hold(0.0))
            await asyncio.sleep(0.01)
            assert not waiting.done()
            vm.granter_id = "other"
            vm.client.refresh()
            await asyncio.sleep(0.0)
            assert await waiting is None
            held = [m for m in vm.sent if type(m).__name__ == "SharedPlaceHeld"]
            assert len(held) == 3
            for task in running:
                task.cancel()

        run_in_virtual_time(test())

    def test_a_cancelled_request_is_released_at_the_granter(self) -> None:
        async def test() -> None:
            vm = LoneVM("other")
            task = asyncio.create_task(vm.hold())
            await asyncio.sleep(0.01)
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
            kinds = [type(message).__name__ for message in vm.sent]
            assert kinds == ["SharedPlaceRequest", "SharedPlaceRelease"]

        run_in_virtual_time(test())

    @pytest.mark.parametrize(
        ("unreachable", "excluded"),
        [({"app-1"}, ("app-1",)), ({"app-1", "app-2"}, ())],
    )
    def test_endpoints_out_of_reach_are_excluded_while_there_are_others(
        self, unreachable: set[str], excluded: tuple[str, ...]
    ) -> None:
        """Guards against calls that go by way of another VM without need."""

        async def test() -> None:
            vm = LoneVM("other")
            vm.unreachable = unreachable
            task = asyncio.create_task(vm.hold())
            await asyncio.sleep(0.01)
            task.cancel()
            request = vm.sent[0]
            assert isinstance(request, SharedPlaceRequest)
            assert request.excluded == excluded

        run_in_virtual_time(test())


class TestTimer:
    """When a granter decides anew."""

    def test_a_decision_follows_one_that_is_due_at_once(self) -> None:
        """Guards against an error of a request behind a timer that is due at once."""

        async def test() -> None:
            vm = LoneVM()
            due_at = now() - 1.0
            vm.granter._places_by_service["app"] = DueAt(due_at)  # type: ignore[assignment]
            vm.granter.on_vm_gone("other")
            vm.granter.on_vm_gone("other")
            vm.granter.close()

        with asyncio.Runner(loop_factory=loop_factory()) as runner:
            runner.run(test())


class DueAt:
    """Places that decide nothing, and are to do so at one time."""

    def __init__(self, at: float) -> None:
        self.at = at

    def next_at(self, now: float) -> float:
        """Return that time."""
        return self.at

    def decide(self, now: float) -> list[Any]:
        """Decide nothing."""
        return []

    def take_changes(self) -> list[Any]:
        """Return no changes."""
        return []

    def on_vm_gone(self, vm_id: str) -> None:
        """Free nothing."""


class TestReport:
    """What an operator sees of a granter's places."""

    @staticmethod
    def places(slots: int = 1) -> SharedPlaces:
        """Return the places of two endpoints that have answered."""
        shared = SharedPlaces()
        shared.set_endpoints({"app-1": slots, "app-2": slots})
        return shared

    def test_a_shortage_is_told_once_a_second_with_what_is_missing(self) -> None:
        """Guards against refusals of which no line says what they are for."""
        journal = RecordedJournal("vm")
        totals: list[PlaceTotals | None] = []
        report = GranterReport(journal, lambda service, total: totals.append(total))
        shared = self.places()
        refusal = PlaceDecision(("vm", 1), retry_after_s=1.0)
        for tenth in range(25):
            report.on_decisions("app", shared, [refusal], tenth / 10.0)
        lines = journal.of("shared_places_short")
        assert [line["refused"] for line in lines] == [11, 10]
        assert {line["idle"] for line in lines} == {2}
        assert totals == [PlaceTotals(2, 0, 2, 0, 2, 0)] * 2
        report.on_lost("app")
        assert totals[-1] is None

    def test_an_endpoint_that_is_left_out_is_told_and_its_return(self) -> None:
        journal = RecordedJournal("vm")
        report = GranterReport(journal, lambda service, total: None)
        shared = self.places()
        for number in range(6):
            shared.on_held(("vm", number), "app-1", 9.0, 0.0)
            shared.on_release(("vm", number), CallEnd.FAILED, 0.1, 0.0)
        report.on_decisions("app", shared, [], 0.0)
        [line] = journal.of("shared_place_left_out")
        assert (line["endpoint"], line["failures"]) == ("app-1", 5)
        shared.on_held(("vm", 9), "app-1", 9.0, 0.0)
        shared.on_release(("vm", 9), CallEnd.ANSWERED, 0.1, 0.0)
        report.on_decisions("app", shared, [], 0.0)
        assert len(journal.of("shared_place_back")) == 1

    def test_the_time_without_a_granter_is_told(self) -> None:
        async def test() -> None:
            vm = LoneVM()
            known: list[tuple[str, float]] = []
            vm.client._on_granter_known = lambda *told: known.append(told)
            await vm.hold(0.0)
            vm.granter_id = None
            vm.client.refresh()
            await asyncio.sleep(3.0)
            vm.granter_id = "vm"
            vm.client.refresh()
            assert known[-1] == ("app", 3.0)

        run_in_virtual_time(test())
