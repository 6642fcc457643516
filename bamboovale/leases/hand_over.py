"""Hand-over of leases to the VMs that rank first for them."""

from collections.abc import Callable, Mapping, Sequence

from bamboovale.leases.own_leases import HeldLease

STABLE_PREFERENCE_S = 3.0
"""How long a VM must rank first before a hand-over, so that a VM that repeatedly joins
and leaves does not move leases."""

HAND_OVER_INTERVAL_S = 0.5
"""Spaces out hand-overs: each interrupts the adapter loads of its engine."""


class HandOverPlanner:
    """Chooses the leases that one VM hands over; times on the monotonic clock.

    Also remembers releases with an unknown outcome.
    """

    def __init__(self, own_vm: str) -> None:
        self._own_vm = own_vm
        self._preferred_since: dict[str, tuple[str, float]] = {}
        self._next_at = 0.0
        self._unknown_by_engine: dict[str, HeldLease] = {}

    def next_move(
        self,
        held: Mapping[str, HeldLease],
        ranking: Callable[[str], Sequence[str]],
        incarnation_by_vm: Mapping[str, str],
        now: float,
    ) -> tuple[str, str] | None:
        """Return an engine to hand over now and its next VM, None if there is none."""
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
            if now - since >= STABLE_PREFERENCE_S:
                self._next_at = now + HAND_OVER_INTERVAL_S
                return engine, preferred
        return None

    def on_unknown(self, held: HeldLease) -> None:
        """Remember a release without a response: it may be on the log."""
        self._unknown_by_engine[held.engine] = held

    def on_log_read(self) -> None:
        """Forget unknown releases: their outcomes are read from the log."""
        self._unknown_by_engine.clear()

    def pop_unknown(self) -> list[HeldLease]:
        """Return and forget the leases whose release had no response."""
        unknown = list(self._unknown_by_engine.values())
        self._unknown_by_engine.clear()
        return unknown
