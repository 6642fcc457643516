"""Grants the places of plain services to all VMs, where this VM holds the partition."""

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from bamboovale.decisions.place_endpoint import CallEnd
from bamboovale.decisions.place_requests import PlaceDecision, PlaceWanted
from bamboovale.decisions.shared_places import SharedPlaces
from bamboovale.gateway.journal import Journal
from bamboovale.shared_places.granter_report import GranterReport, OnTotals
from bamboovale.shared_places.messages import (
    SharedPlaceHeld,
    SharedPlaceRelease,
    SharedPlaceReply,
    SharedPlaceRequest,
)

Reply = Callable[[SharedPlaceReply], None]
Tell = Callable[[str, SharedPlaceReply], None]


class GranterLookup(Protocol):
    """Tells which VM grants a service's places, and which endpoints it has."""

    @property
    def own_id(self) -> str:
        """Return the id of this VM."""

    def granter_of(self, service: str) -> str | None:
        """Return the VM that grants places, None if unknown."""

    def slots_by_id(self, service: str) -> Mapping[str, int]:
        """Return the slots of the endpoints that accept new calls."""


class PlaceGranter:
    """The places of the services that this VM grants; ``tell`` reaches other VMs."""

    def __init__(
        self,
        lookup: GranterLookup,
        tell: Tell,
        journal: Journal,
        now: Callable[[], float],
        on_totals: OnTotals = lambda service, totals: None,
    ) -> None:
        self._lookup = lookup
        self._tell = tell
        self._report = GranterReport(journal, on_totals)
        self._journal = journal
        self._now = now
        self._places_by_service: dict[str, SharedPlaces] = {}
        self._timer: asyncio.Handle | None = None
        self._timer_at = math.inf

    def on_request(
        self, sender: str, message: SharedPlaceRequest, reply: Reply
    ) -> None:
        """Answer a request for a place at once."""
        places = self._places(message.service)
        if places is None:
            reply(SharedPlaceReply(message.number, unable=True))
            return
        wanted = PlaceWanted(
            vm_id=sender,
            number=message.number,
            rank=message.rank,
            goal_in_s=message.goal_in_s,
            waits_s=message.waits_s,
            ends_in_s=message.ends_in_s,
            excluded=frozenset(message.excluded),
        )
        places.on_request(wanted, self._now())
        others = []
        answer = SharedPlaceReply(message.number)
        for decision in self._decisions(message.service, places):
            if decision.key == wanted.key:
                answer = _reply_of(decision)
            else:
                others.append(decision)
        reply(answer)
        self._send(others)
        self._set_timer()

    def on_release(self, sender: str, message: SharedPlaceRelease) -> None:
        """Free a place and grant it anew."""
        places = self._places(message.service)
        if places is None:
            return
        if message.end is CallEnd.REJECTED:
            self._journal.write(
                "shared_place_rejected", service=message.service, sender=sender
            )
        key = (sender, message.number)
        places.on_release(key, message.end, message.took_s, self._now())
        self._decide(message.service, places)

    def on_held(self, sender: str, message: SharedPlaceHeld) -> None:
        """Count a call in progress."""
        places = self._places(message.service)
        if places is not None:
            key = (sender, message.number)
            places.on_held(key, message.endpoint_id, message.ends_in_s, self._now())
            self._decide(message.service, places)

    def on_vm_gone(self, vm_id: str) -> None:
        """Free the places of a VM that has ended or restarted."""
        for service, places in self._places_by_service.items():
            places.on_vm_gone(vm_id)
            self._decide(service, places)

    def drop_lost(self) -> None:
        """Drop the places of services that another VM grants now."""
        for service in list(self._places_by_service):
            if self._lookup.granter_of(service) != self._lookup.own_id:
                del self._places_by_service[service]
                self._report.on_lost(service)
                self._journal.write("shared_places_lost", service=service)

    def close(self) -> None:
        """Stop deciding."""
        if self._timer is not None:
            self._timer.cancel()

    def dump(self) -> dict[str, Any]:
        """Return by service the places that this VM grants."""
        now = self._now()
        return {name: p.dump(now) for name, p in self._places_by_service.items()}

    def _places(self, service: str) -> SharedPlaces | None:
        """Return a service's places; None if another VM grants them."""
        if self._lookup.granter_of(service) != self._lookup.own_id:
            self.drop_lost()
            return None
        places = self._places_by_service.get(service)
        if places is None:
            places = self._places_by_service[service] = SharedPlaces()
            self._journal.write("shared_places_granted", service=service)
        places.set_endpoints(self._lookup.slots_by_id(service))
        return places

    def _decide(self, service: str, places: SharedPlaces) -> None:
        self._send(self._decisions(service, places))
        self._set_timer()

    def _decisions(self, service: str, places: SharedPlaces) -> list[PlaceDecision]:
        now = self._now()
        decisions = places.decide(now)
        self._report.on_decisions(service, places, decisions, now)
        return decisions

    def _send(self, decisions: list[PlaceDecision]) -> None:
        for decision in decisions:
            self._tell(decision.key[0], _reply_of(decision))

    def _set_timer(self) -> None:
        """Wake up when the next request or place expires; an earlier timer may stay."""
        now = self._now()
        due_at = min(
            (places.next_at(now) for places in self._places_by_service.values()),
            default=math.inf,
        )
        if self._timer is not None:
            if self._timer_at <= due_at:
                return
            self._timer.cancel()
            self._timer = None
        if due_at < math.inf:
            # Not asked of the timer: uvloop gives one that is due at once no time.
            self._timer_at = due_at
            self._timer = asyncio.get_running_loop().call_at(due_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        for service, places in list(self._places_by_service.items()):
            self._send(self._decisions(service, places))
        self._set_timer()


def _reply_of(decision: PlaceDecision) -> SharedPlaceReply:
    retry_s = decision.retry_after_s
    return SharedPlaceReply(
        number=decision.key[1],
        endpoint_id=decision.endpoint_id,
        retry_after_s=None if retry_s is None else round(retry_s, 3),
        unable=decision.endpoint_id is None and retry_s is None,
    )
