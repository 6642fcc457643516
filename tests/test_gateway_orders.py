"""Tests of orders to one engine: retries, reports in between and changes of owner."""

import asyncio
import os
from dataclasses import replace
from types import SimpleNamespace

import pytest

from bamboovale.decisions.place_work import EngineCapacity, OrderLoad
from bamboovale.gateway.engine_owner import EngineOwner
from bamboovale.gateway.messages import PlaceRequest
from bamboovale.gateway.model import (
    EndpointRecord,
    EngineOrder,
    EngineReport,
    LoadedModel,
    OrderOutcome,
)
from bamboovale.gateway.order_sender import OrderSender
from tests.gateway_site import RecordedJournal
from tests.owner_simulation import Faults, owner_context, simulate

RECORD = EndpointRecord("e", "llm", ("10.0.0.1", 1), "a", True, 8)
LOAD = OrderLoad("base", "a1", 1)
FAULTY = Faults(lost=0.35, late=0.35)
FAULTY_AND_LENIENT = Faults(lost=0.35, late=0.35, holds_before_number=True)
SECONDS = 30.0
OWNERS_OFTEN = Faults(lost=0.3, late=0.3, owner_changes=0.03, new_versions=0.03)
OWNERS_IN_TURN = Faults(lost=0.35, late=0.35, owner_changes=0.1, new_versions=0.02)
NEW_VERSIONS_AT_LENIENT_ENGINES = Faults(
    lost=0.15,
    late=0.2,
    owner_changes=0.1,
    new_versions=0.1,
    holds_before_number=True,
)
SLOW_REPORTS = Faults(
    lost=0.5,
    late=0.2,
    owner_changes=0.01,
    new_versions=0.1,
    report_age_s=(0.05, 0.8),
)
OVERLAPPING_OWNERS = Faults(
    lost=0.3, late=0.3, owner_changes=0.05, new_versions=0.05, overlaps=0.6
)
SILENT_REPORTS = Faults(
    lost=0.1, late=0.1, owner_changes=0.005, new_versions=0.01, silences=0.02
)
OWNERS_IN_TURN_S = 20.0
SEARCHED = (
    OWNERS_OFTEN,
    replace(OWNERS_OFTEN, holds_before_number=True),
    OWNERS_IN_TURN,
    NEW_VERSIONS_AT_LENIENT_ENGINES,
    SLOW_REPORTS,
    OVERLAPPING_OWNERS,
    replace(OVERLAPPING_OWNERS, holds_before_number=True),
    SILENT_REPORTS,
)
SEARCHED_SEEDS = int(os.environ.get("BAMBOOVALE_ORDER_SEEDS", "2"))
"""Seeds of each kind of faults; set it higher for a long search by hand."""


class UnansweredCalls:
    """An engine client whose orders are never answered; each triggers a report."""

    def __init__(self, reported: int) -> None:
        self.expected: list[int | None] = []
        self.sender: OrderSender | None = None
        self._reported = reported

    async def order(
        self,
        record: EndpointRecord,
        order: EngineOrder,
        fence: int,
        expected: int | None,
        lost: int,
    ) -> OrderOutcome:
        """Record the expected number; gives no answer."""
        assert self.sender is not None
        self.expected.append(expected)
        self.sender.on_report(self._reported)
        return OrderOutcome.UNKNOWN


def _expected_numbers(reported: int) -> list[int | None]:
    """Send an order that expects number 5; return the numbers of all attempts."""
    client = UnansweredCalls(reported)
    context = SimpleNamespace(
        rest_s=lambda engine_id: 0.0,
        client=client,
        journal=RecordedJournal("owner"),
        fence=lambda engine_id: 1,
        may_order=lambda engine_id, orders: True,
        on_order=lambda engine_id, orders: None,
    )
    sender = OrderSender(lambda: RECORD, context, lambda: 1)  # type: ignore[arg-type]
    client.sender = sender
    sender.on_report(5)
    result = asyncio.run(sender.send(LOAD, sender.accepted_orders()))
    assert not result.is_done
    assert not result.is_certain
    return client.expected


class TestOrderRetries:
    """Retries of an order without an answer."""

    def test_every_attempt_expects_the_same_number(self) -> None:
        """Guards against an order that is carried out twice."""
        assert set(_expected_numbers(reported=5)) == {5}

    def test_no_retry_after_a_report_of_another_number(self) -> None:
        """Guards against a load that was decided on a stale state."""
        assert _expected_numbers(reported=6) == [5]


class ReportingEngine:
    """An engine client that reports without a pause and records orders."""

    def __init__(self) -> None:
        self.reported = full_report(5, "a1")
        self.expected: list[int | None] = []

    async def report(self, record: EndpointRecord) -> EngineReport:
        """Return the current report."""
        return self.reported

    async def order(
        self,
        record: EndpointRecord,
        order: EngineOrder,
        fence: int,
        expected: int | None,
        lost: int,
    ) -> OrderOutcome:
        """Record the expected number of a load; refuse it."""
        self.expected.append(expected)
        return OrderOutcome.CONFLICT


def full_report(orders: int, *adapters: str) -> EngineReport:
    """Return a report with the given adapters loaded."""
    model = LoadedModel("base", 1, dict.fromkeys(adapters, 1))
    return EngineReport((model,), frozenset(), False, orders, 0, 0)


class TestDecisionAndNumber:
    """The number that an order expects, and the report it was decided on."""

    def test_a_report_after_the_decision_stops_its_order(self) -> None:
        """Guards against a load into a slot that another order has taken."""

        async def test() -> None:
            client = ReportingEngine()
            context = owner_context(client, RecordedJournal("owner"))
            owner = EngineOwner(RECORD, EngineCapacity(8, 100_000, 2), context)
            await owner.poll()
            request = PlaceRequest("e", "r.1", "base", "a2", 1, 100, 20, 0, 1.0, 3.0)
            owner.request_place("vm", request, lambda reply: None)
            client.reported = full_report(6, "a1", "a3")
            await owner.poll()
            await asyncio.sleep(0.01)
            owner.stop()
            assert client.expected == []

        asyncio.run(test())


class TestSlotsOfAnEngine:
    """An engine that is ordered beyond its adapter slots crashes with all its runs."""

    @pytest.mark.parametrize("seed", [5, 13, 46])
    def test_lost_and_late_orders_never_overfill_an_engine(self, seed: int) -> None:
        """Guards against a retry that expects a number from a newer report."""
        simulation = simulate(seed, FAULTY, SECONDS)
        assert simulation.engine.overfilled == []
        assert simulation.served > 300

    @pytest.mark.parametrize("seed", [2, 27, 40, 89, 94])
    def test_nor_an_engine_that_checks_the_number_last(self, seed: int) -> None:
        """Guards against the same at an engine that confirms fulfilled orders first."""
        simulation = simulate(seed, FAULTY_AND_LENIENT, SECONDS)
        assert simulation.engine.overfilled == []
        assert simulation.served > 300

    @pytest.mark.parametrize("seed", [10, 15, 25, 31])
    def test_owners_in_turn_never_overfill_an_engine(self, seed: int) -> None:
        """Guards against a slot given away while a new version is in transit."""
        simulation = simulate(seed, OWNERS_IN_TURN, OWNERS_IN_TURN_S)
        assert simulation.engine.overfilled == []
        assert simulation.served > 100

    @pytest.mark.parametrize(
        ("seed", "faults"),
        [
            (4, OWNERS_OFTEN),
            (8, replace(OVERLAPPING_OWNERS, holds_before_number=True)),
            (6, NEW_VERSIONS_AT_LENIENT_ENGINES),
            (8, NEW_VERSIONS_AT_LENIENT_ENGINES),
            (60, OWNERS_IN_TURN),
            (163, SLOW_REPORTS),
            (169, OWNERS_IN_TURN),
        ],
    )
    def test_reports_of_all_ages_never_overfill_an_engine(
        self, seed: int, faults: Faults
    ) -> None:
        """Guards against a belief that is older than the number of an order."""
        simulation = simulate(seed, faults, OWNERS_IN_TURN_S)
        assert simulation.engine.overfilled == []
        assert simulation.served > 100

    @pytest.mark.parametrize("seed", [18, 45])
    def test_overlapping_owners_never_overfill_an_engine(self, seed: int) -> None:
        """Guards against an unload of the one that the other takes for its own."""
        simulation = simulate(seed, OVERLAPPING_OWNERS, OWNERS_IN_TURN_S)
        assert simulation.engine.overfilled == []
        assert simulation.served > 100

    @pytest.mark.parametrize("faults", SEARCHED)
    @pytest.mark.parametrize("seed", range(1, SEARCHED_SEEDS + 1))
    def test_no_change_of_owner_overfills_an_engine(
        self, seed: int, faults: Faults
    ) -> None:
        """Guards against owners that go by what an earlier owner has changed."""
        simulation = simulate(seed, faults, OWNERS_IN_TURN_S)
        assert simulation.engine.overfilled == []
        assert simulation.served > 100
