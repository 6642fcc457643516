"""Tests of orders to one engine: retries, reports in between and changes of owner."""

import asyncio
from types import SimpleNamespace

import pytest

from bamboovale.decisions.place_work import OrderLoad
from bamboovale.gateway.model import EndpointRecord, EngineOrder, OrderOutcome
from bamboovale.gateway.order_sender import OrderSender
from tests.gateway_site import RecordedJournal
from tests.owner_simulation import Faults, simulate

RECORD = EndpointRecord("e", "llm", ("10.0.0.1", 1), "a", True, 8)
LOAD = OrderLoad("base", "a1", 1)
FAULTY = Faults(lost=0.35, late=0.35)
FAULTY_AND_LENIENT = Faults(lost=0.35, late=0.35, holds_before_number=True)
SECONDS = 30.0
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
OWNERS_IN_TURN_S = 20.0


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
        may_order=lambda engine_id: True,
    )
    sender = OrderSender(lambda: RECORD, context, lambda: 1)  # type: ignore[arg-type]
    client.sender = sender
    sender.on_report(5)
    result = asyncio.run(sender.send(LOAD))
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

    @pytest.mark.parametrize("seed", [10, 25, 31])
    def test_owners_in_turn_never_overfill_an_engine(self, seed: int) -> None:
        """Guards against a slot given away while a new version is in transit."""
        simulation = simulate(seed, OWNERS_IN_TURN, OWNERS_IN_TURN_S)
        assert simulation.engine.overfilled == []
        assert simulation.served > 100

    @pytest.mark.parametrize(
        ("seed", "faults"),
        [
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
