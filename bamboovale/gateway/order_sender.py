"""The orders to one engine: their number, their fencing, tries without an answer."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.decisions.place_work import OrderLoad, OrderUnload
from bamboovale.gateway.model import EndpointRecord, EngineOrder, OrderOutcome
from bamboovale.gateway.owner_context import OwnerContext

ORDER_TRIES = 5
"""An order without an answer is given again at once: all tries expect the same number
of orders before them, so that the engine carries out one of them at most."""


@dataclass(frozen=True)
class OrderResult:
    """How an order ended; ``outcome`` is None if it was not given or never answered.

    ``lost`` counts the tries without an answer.
    """

    outcome: OrderOutcome | None
    lost: int

    @property
    def is_done(self) -> bool:
        """Tell whether the engine carries the order out, or holds it to be done."""
        return self.outcome in (OrderOutcome.ACCEPTED, OrderOutcome.HOLDS)

    @property
    def is_certain(self) -> bool:
        """Tell whether no try of an order that failed may still be carried out."""
        return self.lost == 0


class OrderSender:
    """Gives the orders of one engine's owner, one at a time.

    ``free_slots`` tells how many adapters still fit, as the owner believes.
    """

    def __init__(
        self,
        record: Callable[[], EndpointRecord],
        context: OwnerContext,
        free_slots: Callable[[], int],
    ) -> None:
        self._record = record
        self._context = context
        self._free_slots = free_slots
        self._orders_seen: int | None = None
        self._fenced_at: int | None = None

    def fence(self) -> int:
        """Return the fencing number of the next order."""
        return self._context.fence(self._record().registered_id)

    def may_order(self) -> bool:
        """Tell whether an order may go out now, looked at just before it does."""
        return self._may_order_by(self.fence())

    def on_report(self, orders: int) -> None:
        """Take the number of orders that the engine says it has accepted."""
        if self._orders_seen is None or orders > self._orders_seen:
            self._orders_seen = orders

    async def send(self, action: OrderLoad | OrderUnload) -> OrderResult:
        """Give an order until its outcome is known, for a few tries.

        It ends without outcome once a report tells of another number: what was decided
        rests on a state that is past.
        """
        expected = self._orders_seen
        for lost in range(ORDER_TRIES):
            fence = self.fence()
            is_past = self._orders_seen != expected
            if expected is None or is_past or not self._may_order_by(fence):
                self._note_not_given(action, fence, expected, lost)
                return OrderResult(None, lost)
            outcome = await self._give_once(action, fence, expected, lost)
            if outcome is not OrderOutcome.UNKNOWN:
                self._take(action, outcome, fence)
                return OrderResult(outcome, lost)
        return OrderResult(None, ORDER_TRIES)

    def _note_not_given(
        self,
        action: OrderLoad | OrderUnload,
        fence: int,
        expected: int | None,
        lost: int,
    ) -> None:
        """Log an order without a number to expect (None), or without leave."""
        self._context.journal.write(
            "order_not_given",
            engine=self._record().endpoint_id,
            load=isinstance(action, OrderLoad),
            adapter=action.adapter,
            fence=fence,
            expected=expected,
            lost=lost,
        )

    def _may_order_by(self, fence: int) -> bool:
        if self._fenced_at is not None and fence <= self._fenced_at:
            return False
        return self._context.may_order(self._record().registered_id)

    async def _give_once(
        self,
        action: OrderLoad | OrderUnload,
        fence: int,
        expected: int,
        lost: int,
    ) -> OrderOutcome:
        record = self._record()
        version = action.version if isinstance(action, OrderLoad) else None
        order = EngineOrder(
            load=isinstance(action, OrderLoad),
            model=action.model,
            adapter=action.adapter,
            version=version or None,
        )
        outcome = await self._context.calls.order(record, order, fence, expected, lost)
        self._context.journal.write(
            "order",
            engine=record.endpoint_id,
            load=order.load,
            model=order.model,
            adapter=order.adapter,
            version=version,
            fence=fence,
            expected=expected,
            free_slots=self._free_slots(),
            outcome=outcome.name.lower(),
        )
        return outcome

    def _take(
        self,
        action: OrderLoad | OrderUnload,
        outcome: OrderOutcome,
        fence: int,
    ) -> None:
        if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.HOLDS):
            if self._orders_seen is not None and _is_counted(action, outcome):
                self._orders_seen += 1
            return
        if outcome is OrderOutcome.FENCED:
            self._fenced_at = fence
            self._context.on_fenced(self._record(), fence)
        self._orders_seen = None


def _is_counted(action: OrderLoad | OrderUnload, outcome: OrderOutcome) -> bool:
    """Tell whether the engine counted the order: an unload done at once is counted."""
    return outcome is OrderOutcome.ACCEPTED or isinstance(action, OrderUnload)
