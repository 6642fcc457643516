"""The calls that this VM sends without a grant, within its part of the places."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from bamboovale.decisions.place_endpoint import CallEnd
from bamboovale.decisions.send_share import PoolSize, SendShare


class PoolLookup(Protocol):
    """Tells the places of a service, and how many VMs send calls there."""

    def senders(self) -> int:
        """Return the number of VMs that send calls."""

    def slots_by_id(self, service: str) -> Mapping[str, int]:
        """Return the slots of the endpoints that accept new calls."""


class OwnShares:
    """This VM's shares by service."""

    def __init__(self, lookup: PoolLookup, now: Callable[[], float]) -> None:
        self._lookup = lookup
        self._now = now
        self._share_by_service: dict[str, SendShare] = {}

    def is_short(self, service: str) -> bool:
        """Return whether this VM has seen lately that places are short."""
        return self._share(service).is_short(self._now())

    def on_refused(self, service: str) -> None:
        """Note that the granter expects no place in time."""
        self._share(service).on_sign(self._now())

    def take(self, service: str) -> float:
        """Count a call that may go out now; else return when, in seconds.

        Guards against late answers as every VM fills the endpoints.
        """
        slots = sum(self._lookup.slots_by_id(service).values())
        share = self._share(service)
        wait_s = share.wait_s(PoolSize(slots, self._lookup.senders()), self._now())
        if wait_s <= 0.0:
            share.take()
        return wait_s

    def on_ended(
        self, service: str, end: CallEnd, took_s: float, goal_s: float
    ) -> None:
        """Learn from a call that ended whether places are short."""
        share = self._share(service)
        if end is CallEnd.ANSWERED:
            share.on_answer(took_s, goal_s, self._now())
        elif end is CallEnd.REJECTED:
            share.on_sign(self._now())

    def _share(self, service: str) -> SendShare:
        return self._share_by_service.setdefault(service, SendShare())


@dataclass
class OwnPlace:
    """A place of a service without a granter: the caller chooses the endpoint."""

    shares: OwnShares
    service: str
    goal_s: float
    retry_after_s: float | None = None
    endpoint_id: str | None = None

    def on_sent(self, endpoint_id: str) -> None:
        """Do nothing: no granter counts the attempt."""

    def on_end(self, end: CallEnd, took_s: float) -> None:
        """Learn from the attempt."""
        self.shares.on_ended(self.service, end, took_s, self.goal_s)
