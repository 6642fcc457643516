"""Access of callers: their customer by API key, fresh views and quotas."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.decisions.quota_meter import QuotaMeter
from bamboovale.decisions.view_freshness import ViewFreshness
from bamboovale.gateway.call import CallCodec, CallRefused, KeyRejected, QuotaExceeded
from bamboovale.gateway.customers import Customer
from bamboovale.gateway.model import CallFacts, Route, RoutingTable

UNPROVEN_RETRY_S = 1.0
"""Retry delay while this VM cannot show that its view is the newest."""


@dataclass(frozen=True)
class Admission:
    """A request that may run; ``cost`` was taken from the customer's quota.

    ``facts`` are those to forward. ``customer`` is None for a caller without a key, on
    a public route or where the configuration has no customers.
    """

    facts: CallFacts
    customer: Customer | None = None
    cost: float = 0.0


class AccessControl:
    """Admits or refuses requests by their key.

    ``clock`` is that of ``view``, ``now`` that of ``meter``. ``on_spent`` is called
    with the customer of each request that was counted.
    """

    def __init__(
        self,
        codec: CallCodec,
        view: ViewFreshness,
        meter: QuotaMeter,
        *,
        clock: Callable[[], float],
        now: Callable[[], float],
        on_spent: Callable[[str], None],
    ) -> None:
        self._codec = codec
        self._view = view
        self._meter = meter
        self._clock = clock
        self._now = now
        self._on_spent = on_spent

    def admit(self, facts: CallFacts, route: Route, table: RoutingTable) -> Admission:
        """Admit a request; raises KeyRejected, QuotaExceeded or CallRefused."""
        if table.customers is None:
            return Admission(facts)
        customer = table.customers.holder_of(facts.key)
        if not route.public:
            customer = self._check_key(facts, customer)
        cost = 0.0 if customer is None else self._spend(facts, route, customer)
        name = None if customer is None else customer.name
        return Admission(self._codec.name_customer(facts, name), customer, cost)

    def give_back(self, admission: Admission) -> None:
        """Return the cost of a request that did not run."""
        if admission.customer is not None and admission.cost:
            name = admission.customer.name
            self._meter.give_back(name, admission.cost, self._now())

    def _check_key(self, facts: CallFacts, customer: Customer | None) -> Customer:
        """Return the customer; without a fresh view no key is accepted or rejected.

        A key that is unknown here may have been added since.
        """
        if facts.key is None:
            raise KeyRejected("no valid key")
        if not self._view.is_fresh(self._clock()):
            raise CallRefused("the view of the keys may be old", UNPROVEN_RETRY_S)
        if customer is None:
            raise KeyRejected("unknown key")
        return customer

    def _spend(self, facts: CallFacts, route: Route, customer: Customer) -> float:
        if customer.quota is None:
            return 0.0
        cost = customer.quota.cost(facts.tokens)
        waits_s = min(route.timeout_s, facts.deadline_s or route.timeout_s)
        # A caller that returns needs the goal's time for its answer.
        patience_s = max(0.0, waits_s - route.goal_s)
        retry_s = self._meter.take(customer.name, cost, self._now(), patience_s)
        self._on_spent(customer.name)
        if retry_s is not None:
            raise QuotaExceeded(customer.name, cost, retry_s)
        return cost
