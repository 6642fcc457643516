"""Sends orders to one engine: expected numbers, fencing numbers and retries."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.decisions.place_work import OrderLoad, OrderUnload
from bamboovale.gateway.model import EndpointRecord, EngineOrder, OrderOutcome
from bamboovale.gateway.owner_context import OwnerContext

MAX_ORDER_ATTEMPTS = 5
"""Attempts of an order that got no answer. All expect the same number of earlier
orders, so that the engine carries out at most one of them."""


@dataclass(frozen=True)
class OrderResult:
    """Result of an order; ``outcome`` is None if it was not sent or never answered.

    ``lost`` counts the attempts without an answer.
    """

    outcome: OrderOutcome | None
    lost: int

    @property
    def is_done(self) -> bool:
        """Return whether the engine accepted the order or already holds its result."""
        return self.outcome in (OrderOutcome.ACCEPTED, OrderOutcome.HOLDS)

    @property
    def is_certain(self) -> bool:
        """Return whether no attempt of a failed order may still be carried out."""
        return self.lost == 0


class OrderSender:
    """Sends the orders of one engine's owner, one at a time.

    ``free_slots`` returns the adapter slots that the owner considers free.
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
        self._accepted_orders: int | None = None
        self._rejected_fence: int | None = None

    def fence(self) -> int:
        """Return the fencing number of the next order."""
        return self._context.fence(self._record().registered_id)

    def may_order(self) -> bool:
        """Return whether an order may be sent now."""
        return self._may_order_with(self.fence())

    def on_report(self, orders: int) -> int:
        """Apply the number of accepted orders that the engine reports.

        Returns how many orders known to be accepted the report does not show yet.
        """
        if self._accepted_orders is None or orders > self._accepted_orders:
            self._accepted_orders = orders
        return self._accepted_orders - orders

    def accepted_orders(self) -> int | None:
        """Return how many orders the engine has accepted, None if it is not known."""
        return self._accepted_orders

    async def send(
        self, action: OrderLoad | OrderUnload, expected: int | None
    ) -> OrderResult:
        """Send an order until its outcome is known, at most a few times.

        ``expected`` is the number of accepted orders when it was decided. Gives up
        without an outcome once a report shows another number: the decision is then
        based on a stale state.
        """
        for lost in range(MAX_ORDER_ATTEMPTS):
            fence = self.fence()
            is_stale = self._accepted_orders != expected
            if expected is None or is_stale or not self._may_order_with(fence):
                self._log_not_sent(action, fence, expected, lost)
                return OrderResult(None, lost)
            outcome = await self._send_once(action, fence, expected, lost)
            if outcome is not OrderOutcome.UNKNOWN:
                self._on_outcome(action, outcome, fence)
                return OrderResult(outcome, lost)
        return OrderResult(None, MAX_ORDER_ATTEMPTS)

    def _log_not_sent(
        self,
        action: OrderLoad | OrderUnload,
        fence: int,
        expected: int | None,
        lost: int,
    ) -> None:
        """Log an order that was not sent: no expected number, or not permitted."""
        self._context.journal.write(
            "order_not_given",
            engine=self._record().endpoint_id,
            load=isinstance(action, OrderLoad),
            adapter=action.adapter,
            fence=fence,
            expected=expected,
            lost=lost,
        )

    def _may_order_with(self, fence: int) -> bool:
        if self._rejected_fence is not None and fence <= self._rejected_fence:
            return False
        if self._context.rest_s(self._record().endpoint_id) > 0.0:
            return False
        registered_id = self._record().registered_id
        return self._context.may_order(registered_id, self._accepted_orders)

    async def _send_once(
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
        outcome = OrderOutcome.UNKNOWN
        try:
            outcome = await self._context.client.order(
                record, order, fence, expected, lost
            )
        finally:
            if outcome is OrderOutcome.UNKNOWN:
                self._context.on_order(record.registered_id, None)
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

    def _on_outcome(
        self,
        action: OrderLoad | OrderUnload,
        outcome: OrderOutcome,
        fence: int,
    ) -> None:
        if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.HOLDS):
            if self._accepted_orders is not None and _is_counted(action, outcome):
                self._accepted_orders += 1
            registered_id = self._record().registered_id
            self._context.on_order(registered_id, self._accepted_orders)
            return
        if outcome is OrderOutcome.FENCED:
            self._rejected_fence = fence
            self._context.on_fenced(self._record(), fence)
        self._accepted_orders = None


def _is_counted(action: OrderLoad | OrderUnload, outcome: OrderOutcome) -> bool:
    """Return whether the engine counted the order, as it does completed unloads."""
    return outcome is OrderOutcome.ACCEPTED or isinstance(action, OrderUnload)
