"""Orders to one engine: tries without an answer, reports between them, owners anew."""

import asyncio
from types import SimpleNamespace

import pytest

from bamboovale.decisions.place_work import OrderLoad
from bamboovale.gateway.model import EndpointRecord, EngineOrder, OrderOutcome
from bamboovale.gateway.order_sender import OrderSender
from tests.gateway_site import RecordedJournal
from tests.owner_play import Trouble, play

RECORD = EndpointRecord("e", "llm", ("10.0.0.1", 1), "a", True, 8)
LOAD = OrderLoad("base", "a1", 1)
HARSH = Trouble(lost=0.35, late=0.35)
HARSH_AND_LENIENT = Trouble(lost=0.35, late=0.35, holds_before_number=True)
SECONDS = 30.0


class SilentCalls:
    """Orders that are never answered; a report comes during the first."""

    def __init__(self, reported: int) -> None:
        self.expected: list[int | None] = []
        self.giver: OrderSender | None = None
        self._reported = reported

    async def order(
        self,
        record: EndpointRecord,
        order: EngineOrder,
        fence: int,
        expected: int | None,
        lost: int,
    ) -> OrderOutcome:
        """Note the number that is expected; no answer."""
        assert self.giver is not None
        self.expected.append(expected)
        self.giver.on_report(self._reported)
        return OrderOutcome.UNKNOWN


def _given(reported: int) -> list[int | None]:
    """Give an order that expects number 5; return what its tries expected."""
    calls = SilentCalls(reported)
    context = SimpleNamespace(
        calls=calls,
        journal=RecordedJournal("owner"),
        fence=lambda engine_id: 1,
        may_order=lambda engine_id: True,
    )
    giver = OrderSender(lambda: RECORD, context, lambda: 1)  # type: ignore[arg-type]
    calls.giver = giver
    giver.on_report(5)
    end = asyncio.run(giver.send(LOAD))
    assert not end.is_done
    assert not end.is_certain
    return calls.expected


class TestTries:
    """An order without an answer is given again."""

    def test_every_try_expects_the_same_number(self) -> None:
        """Guards against an order that is carried out twice."""
        assert set(_given(reported=5)) == {5}

    def test_no_try_follows_a_report_of_another_number(self) -> None:
        """Guards against a load that was decided on a state that is past."""
        assert _given(reported=6) == [5]


class TestSlotsOfAnEngine:
    """An engine that is ordered past its adapter slots crashes with all its runs."""

    @pytest.mark.parametrize("seed", [5, 13, 46])
    def test_lost_and_late_orders_never_overfill_it(self, seed: int) -> None:
        """Guards against a retry with a number that a report has just told."""
        played = play(seed, HARSH, SECONDS)
        assert played.engine.overfilled == []
        assert played.served > 300

    @pytest.mark.parametrize("seed", [2, 27, 40, 89, 94])
    def test_nor_where_it_confirms_what_holds_whatever_the_number(
        self, seed: int
    ) -> None:
        """Guards against the same at an engine that looks at the number last."""
        played = play(seed, HARSH_AND_LENIENT, SECONDS)
        assert played.engine.overfilled == []
        assert played.served > 300
