"""When an engine's owner may order it again after another VM may have done so."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.gateway.journal import Journal


@dataclass(frozen=True)
class _LastOrder:
    """The last order that an engine accepted, or may have accepted, from this VM.

    No later one may reach the engine after ``at``, in seconds of the lease clock.
    ``orders`` is how many the engine had accepted with it, None if that is not known.
    """

    at: float
    orders: int | None


class OrderTurns:
    """Keeps this VM and another one from ordering an engine in turns.

    An owner that lost an engine and holds it again waits until ``turn_s`` seconds after
    its own last order, unless the engine's count shows that nobody ordered it since.
    Guards against two owners in touch whose orders alternate within the lease time.
    """

    def __init__(
        self, turn_s: float, journal: Journal, clock: Callable[[], float]
    ) -> None:
        self._turn_s = turn_s
        self._journal = journal
        self._clock = clock
        self._last_by_engine: dict[str, _LastOrder] = {}
        self._fenced_at: dict[str, float] = {}
        self._waiting: set[str] = set()

    def on_order(self, engine_id: str, orders: int | None) -> None:
        """Note that an engine accepted an order, or may have if ``orders`` is None."""
        self._last_by_engine[engine_id] = _LastOrder(self._clock(), orders)

    def on_fenced(self, engine_id: str) -> None:
        """Note that another VM ordered an engine while this VM held it."""
        if engine_id in self._last_by_engine:
            self._fenced_at[engine_id] = self._clock()

    def may_order(self, engine_id: str, held_since: float, orders: int | None) -> bool:
        """Return whether an engine may be ordered now.

        ``held_since`` is from when on this VM has held it without a gap, in seconds of
        the lease clock, ``orders`` how many orders it is known to have accepted.
        """
        last = self._last_by_engine.get(engine_id)
        alone_since = max(held_since, self._fenced_at.get(engine_id, held_since))
        if last is None or last.at > alone_since:
            return True
        wait_s = last.at + self._turn_s - self._clock()
        if wait_s <= 0.0:
            self._forget(engine_id)
            return True
        if orders is not None and orders == last.orders:
            return True
        self._log_wait(engine_id, wait_s, orders, last.orders)
        return False

    def _log_wait(
        self, engine_id: str, wait_s: float, orders: int | None, own_orders: int | None
    ) -> None:
        """Log the beginning of a wait."""
        if engine_id in self._waiting:
            return
        self._waiting.add(engine_id)
        self._journal.write(
            "order_waits_turn",
            engine=engine_id,
            wait_s=round(wait_s, 3),
            orders=orders,
            own_orders=own_orders,
        )

    def drop_old(self) -> None:
        """Drop what no longer matters, such as orders to engines that are gone."""
        oldest = self._clock() - self._turn_s
        for engine_id, last in list(self._last_by_engine.items()):
            if last.at <= oldest:
                self._forget(engine_id)

    def _forget(self, engine_id: str) -> None:
        self._last_by_engine.pop(engine_id, None)
        self._fenced_at.pop(engine_id, None)
        self._waiting.discard(engine_id)
