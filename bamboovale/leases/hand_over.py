"""Which lease moves to the VM that ranks first for it, and hand-overs that failed."""

from collections.abc import Callable, Mapping, Sequence

from bamboovale.leases.own_leases import HeldLease

SETTLED_S = 3.0
"""A preferred holder must have been preferred for this long before a hand-over:
a VM that comes and goes does not move leases."""

HAND_OVER_EVERY_S = 0.5
"""Hand-overs one by one: each costs its engine a moment without loads."""


class HandOvers:
    """Pure state of the hand-overs of one VM; times on the monotonic clock."""

    def __init__(self, own_vm: str) -> None:
        self._own_vm = own_vm
        self._preferred_since: dict[str, tuple[str, float]] = {}
        self._next_at = 0.0
        self._unknown_by_engine: dict[str, HeldLease] = {}

    def next(
        self,
        held: Mapping[str, HeldLease],
        ranking: Callable[[str], Sequence[str]],
        incarnation_by_vm: Mapping[str, str],
        now: float,
    ) -> tuple[str, str] | None:
        """Return an engine to hand over and its next VM, None if there is none now."""
        if now < self._next_at:
            return None
        for engine in held:
            ranked = ranking(engine)
            preferred = ranked[0] if ranked else self._own_vm
            before, since = self._preferred_since.get(engine, ("", now))
            if before != preferred:
                self._preferred_since[engine] = (preferred, now)
                continue
            if preferred == self._own_vm or preferred not in incarnation_by_vm:
                continue
            if now - since >= SETTLED_S:
                self._next_at = now + HAND_OVER_EVERY_S
                return engine, preferred
        return None

    def on_unknown(self, held: HeldLease) -> None:
        """Note a release that had no answer: it may be on the log."""
        self._unknown_by_engine[held.engine] = held

    def on_log_read(self) -> None:
        """Forget what had no answer: its outcome is read from the log now."""
        self._unknown_by_engine.clear()

    def take_unknown(self) -> list[HeldLease]:
        """Return and forget the leases whose release had no answer."""
        lost = list(self._unknown_by_engine.values())
        self._unknown_by_engine.clear()
        return lost
