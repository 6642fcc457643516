"""Asks the granter of a service for places, for the calls of this VM."""

import asyncio
import contextlib
import itertools
import math
import random
from collections.abc import AsyncIterator, Callable, Collection
from dataclasses import dataclass, field
from typing import Any, Protocol

from bamboovale.decisions.granter_back_off import GranterBackOff
from bamboovale.decisions.place_endpoint import CallEnd
from bamboovale.gateway.call import Call
from bamboovale.gateway.engines import Links
from bamboovale.gateway.journal import Journal
from bamboovale.peers.loop_calls import await_on_loop
from bamboovale.peers.outgoing import (
    PeerLostError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from bamboovale.shared_places.granter import GranterLookup, PlaceGranter
from bamboovale.shared_places.messages import (
    SharedPlaceHeld,
    SharedPlaceRelease,
    SharedPlaceReply,
    SharedPlaceRequest,
)
from bamboovale.shared_places.own_shares import OwnPlace, OwnShares, PoolLookup
from bamboovale.shared_places.places import Excluded, Place

ASK_TIMEOUT_GOALS = 0.125
"""Part of the route's goal within which the granter must answer."""
FIRST_NUMBER_BITS = 32
"""Size of the random first number of a place."""
GRANTED = "granted"
REFUSED = "refused"
UNABLE = "unable"
TIMED_OUT = "timed_out"
BACKED_OFF = "backed_off"
NO_GRANTER = "no_granter"
NO_SHARE = "no_share"
LEFT = "left"
"""Outcomes of a request for a place, in log lines and the counter; ``left``, if its
caller left first, is only in log lines."""

OnOutcome = Callable[[str, float], None]
"""Takes the outcome of a request for a place, and its seconds."""
OnGranterKnown = Callable[[str, float], None]
"""Takes a service, and for how many seconds this VM knew no granter of it."""


class ClientLookup(GranterLookup, PoolLookup, Protocol):
    """Adds which services have a granter, and which endpoints are out of reach."""

    def out_of_reach(self, endpoint_ids: Collection[str]) -> set[str]:
        """Return the endpoints to which this VM cannot connect."""

    def applies(self, service: str) -> bool:
        """Return whether calls of a service ask a granter."""


@dataclass
class AskedPlace:
    """A place that a granter may know of.

    ``asked`` is the VM that was asked for it, ``granter`` the one to tell of it; both
    are None if there is none. ``report`` is called with the place if it is used without
    that granter's grant, ``ended`` once its attempt has ended.
    """

    service: str
    number: int
    ends_at: float
    decided: "asyncio.Future[SharedPlaceReply]"
    report: Callable[["AskedPlace"], None]
    ended: Callable[["AskedPlace"], None]
    goal_s: float = math.inf
    endpoint_id: str | None = None
    retry_after_s: float | None = None
    asked: str | None = None
    granter: str | None = None
    sent_to: str | None = None
    end: CallEnd = CallEnd.UNUSED
    took_s: float = 0.0

    def on_sent(self, endpoint_id: str) -> None:
        """Tell the granter of an endpoint that it did not grant."""
        self.sent_to = endpoint_id
        if endpoint_id != self.endpoint_id:
            self.report(self)

    def on_end(self, end: CallEnd, took_s: float) -> None:
        """Note how the attempt ended, for the release."""
        self.end, self.took_s = end, took_s
        self.ended(self)


@dataclass
class _ServiceState:
    """The granter of a service as this VM knows it, and the back-off from it.

    ``since`` is when the granter became known, or unknown.
    """

    since: float
    granter: str | None = None
    back_off: GranterBackOff = field(default_factory=GranterBackOff)


class PlaceClient:
    """The places of this VM's calls; ``on_outcome`` counts requests by outcome."""

    def __init__(
        self,
        lookup: ClientLookup,
        granter: PlaceGranter,
        links: Links,
        journal: Journal,
        now: Callable[[], float],
        on_outcome: OnOutcome = lambda outcome, seconds: None,
        on_granter_known: OnGranterKnown = lambda service, unknown_s: None,
    ) -> None:
        self._lookup = lookup
        self._granter = granter
        self._links = links
        self._journal = journal
        self._now = now
        self._on_outcome = on_outcome
        self._on_granter_known = on_granter_known
        self._shares = OwnShares(lookup, now)
        # An earlier process of this VM may still hold places by its numbers.
        self._numbers = itertools.count(random.getrandbits(FIRST_NUMBER_BITS))
        self._place_by_number: dict[int, AskedPlace] = {}
        self._state_by_service: dict[str, _ServiceState] = {}

    @contextlib.asynccontextmanager
    async def open(
        self, call: Call, excluded: Excluded, waits_s: float
    ) -> AsyncIterator[Place]:
        """Ask the granter for a place, and release it at the exit."""
        if not self._lookup.applies(call.service):
            yield self._own_place(call)
            return
        place = AskedPlace(
            service=call.service,
            number=next(self._numbers),
            ends_at=call.deadline,
            decided=asyncio.get_running_loop().create_future(),
            report=self._report,
            ended=self._on_ended,
            goal_s=call.route.goal_s,
        )
        self._place_by_number[place.number] = place
        try:
            started_at = self._now()
            note: dict[str, Any] = {"outcome": LEFT}
            call.notes.setdefault("places", []).append(note)
            outcome = await self._ask(place, call, excluded, waits_s)
            note["outcome"] = self._after_share(place, outcome)
            note["granter"] = place.asked
            asked_s = self._now() - started_at
            note["s"] = round(asked_s, 4)
            self._on_outcome(note["outcome"], asked_s)
            yield place
        finally:
            self._release(place)

    def on_reply(self, sender: str, reply: SharedPlaceReply) -> None:
        """Apply the granter's decision on a request that was queued."""
        place = self._place_by_number.get(reply.number)
        if place is None or place.granter != sender or place.decided.done():
            return
        place.decided.set_result(reply)

    def refresh(self) -> None:
        """Report the calls in progress to new granters; give up waiting for old ones.

        Guards against calls that wait for a VM that has ended, and against a new
        granter that takes endpoints in use for free.
        """
        for service, state in self._state_by_service.items():
            granter = self._lookup.granter_of(service)
            if granter == state.granter:
                continue
            since, state.since = state.since, self._now()
            self._journal.write(
                "shared_places_granter",
                service=service,
                granter=granter,
                before=state.granter,
                before_s=round(state.since - since, 3),
            )
            if state.granter is None:
                self._on_granter_known(service, state.since - since)
            state.granter = granter
            for place in self._place_by_number.values():
                if place.service == service and place.granter != granter:
                    self._move(place, granter)

    def dump(self) -> dict[str, Any]:
        """Return by service the granter, and whether it is not asked for a while."""
        return {
            service: {
                "granter": state.granter,
                "for_s": round(self._now() - state.since, 2),
                "backing_off": state.back_off.is_backing_off,
                "is_short": self._shares.is_short(service),
            }
            for service, state in self._state_by_service.items()
        }

    async def _ask(
        self,
        place: AskedPlace,
        call: Call,
        excluded: Excluded,
        waits_s: float,
    ) -> str:
        """Ask for a place; return the outcome."""
        self._state_by_service.setdefault(place.service, _ServiceState(self._now()))
        self.refresh()
        state = self._state_by_service[place.service]
        usable, unusable = self._usable_ids(place.service, excluded())
        if state.granter is None or not usable:
            return NO_GRANTER
        timeout_s = ASK_TIMEOUT_GOALS * call.route.goal_s
        if self._shares.is_short(place.service):
            # Sent without a grant, the call would wait at a full endpoint instead.
            timeout_s = max(timeout_s, waits_s)
        if not state.back_off.may_ask(state.granter, self._now(), timeout_s):
            return BACKED_OFF
        place.asked = place.granter = granter = state.granter
        goal_in_s = call.goal_at - self._now()
        message = SharedPlaceRequest(
            service=place.service,
            number=place.number,
            goal_in_s=round(goal_in_s, 4),
            waits_s=round(max(0.0, waits_s), 4),
            ends_in_s=round(call.left_s(self._now()), 4),
            rank=call.priority,
            excluded=tuple(sorted(unusable)),
        )
        try:
            reply = await self._first_reply(place, message, timeout_s)
            self._on_answer(place.service, granter)
            if _is_queued(reply):
                # A granter refuses at the goal at the latest.
                async with asyncio.timeout(max(waits_s, goal_in_s) + timeout_s):
                    reply = await place.decided
        except (PeerUnreachableError, PeerLostError, PeerTimeoutError, TimeoutError):
            self._on_timeout(place.service, granter, timeout_s)
            return TIMED_OUT
        return self._apply(place, reply, timeout_s)

    def _own_place(self, call: Call) -> OwnPlace:
        """Return a place of a service that has no granter."""
        place = OwnPlace(self._shares, call.service, call.route.goal_s)
        wait_s = self._shares.take(call.service)
        if wait_s > 0.0:
            place.retry_after_s = wait_s
            call.notes.setdefault("places", []).append({"outcome": NO_SHARE})
            self._on_outcome(NO_SHARE, 0.0)
        return place

    def _after_share(self, place: AskedPlace, outcome: str) -> str:
        """Refuse a call that would go out by this VM's choice beyond its share."""
        if outcome == REFUSED:
            self._shares.on_refused(place.service)
        if outcome in (GRANTED, REFUSED):
            return outcome
        wait_s = self._shares.take(place.service)
        if wait_s > 0.0:
            place.retry_after_s = wait_s
            return NO_SHARE
        return outcome

    def _on_ended(self, place: AskedPlace) -> None:
        """Learn from a call that ended whether places are short."""
        self._shares.on_ended(place.service, place.end, place.took_s, place.goal_s)

    def _usable_ids(
        self, service: str, excluded: Collection[str]
    ) -> tuple[set[str], set[str]]:
        """Return the endpoints that the call may go to, and the others.

        Endpoints that this VM cannot connect to take it by way of other VMs, which
        costs time: they count while there is no other.
        """
        listed = set(self._lookup.slots_by_id(service))
        usable = listed - set(excluded)
        near = usable - self._lookup.out_of_reach(usable)
        chosen = near or usable
        return chosen, listed - chosen

    async def _first_reply(
        self, place: AskedPlace, message: SharedPlaceRequest, timeout_s: float
    ) -> SharedPlaceReply:
        assert place.granter is not None
        if place.granter != self._lookup.own_id:
            future = self._links.request(place.granter, message, timeout_s)
            reply: SharedPlaceReply = await await_on_loop(future)
            return reply
        replies: list[SharedPlaceReply] = []
        self._granter.on_request(place.granter, message, replies.append)
        return replies[0]

    def _apply(
        self, place: AskedPlace, reply: SharedPlaceReply, timeout_s: float
    ) -> str:
        """Apply a decision; return the outcome."""
        if reply.endpoint_id is not None:
            place.endpoint_id = reply.endpoint_id
            return GRANTED
        if reply.retry_after_s is not None:
            place.retry_after_s = reply.retry_after_s
            place.granter = None
            return REFUSED
        if place.granter is not None:
            self._on_timeout(place.service, place.granter, timeout_s)
        current = self._state_by_service[place.service].granter
        place.granter = current if current != place.granter else None
        return UNABLE

    def _on_answer(self, service: str, granter: str) -> None:
        back_off = self._state_by_service[service].back_off
        if back_off.is_backing_off:
            back_off.on_answer(granter)
            self._journal.write(
                "shared_places_asked_again", service=service, granter=granter
            )

    def _on_timeout(self, service: str, granter: str, timeout_s: float) -> None:
        back_off = self._state_by_service[service].back_off
        if not back_off.is_backing_off:
            self._journal.write(
                "shared_places_back_off",
                service=service,
                granter=granter,
                timeout_s=round(timeout_s, 4),
            )
        back_off.on_timeout(granter, self._now(), timeout_s)

    def _move(self, place: AskedPlace, granter: str | None) -> None:
        """Apply a change of the granter to one place."""
        if place.sent_to is not None:
            place.granter = granter
            self._report(place)
        elif place.granter is not None and not place.decided.done():
            self._notify_release(place)
            place.decided.set_result(SharedPlaceReply(place.number, unable=True))

    def _report(self, place: AskedPlace) -> None:
        """Tell the granter of a call that it may not have granted."""
        if place.granter is None or place.sent_to is None:
            return
        held = SharedPlaceHeld(
            service=place.service,
            number=place.number,
            endpoint_id=place.sent_to,
            ends_in_s=round(max(0.0, place.ends_at - self._now()), 4),
        )
        if place.granter == self._lookup.own_id:
            self._granter.on_held(place.granter, held)
        else:
            self._links.notify(place.granter, held)

    def _release(self, place: AskedPlace) -> None:
        del self._place_by_number[place.number]
        self._notify_release(place)

    def _notify_release(self, place: AskedPlace) -> None:
        if place.granter is None:
            return
        release = SharedPlaceRelease(
            service=place.service,
            number=place.number,
            end=place.end,
            took_s=round(place.took_s, 4),
        )
        if place.granter == self._lookup.own_id:
            self._granter.on_release(place.granter, release)
        else:
            self._links.notify(place.granter, release)


def _is_queued(reply: SharedPlaceReply) -> bool:
    has_decision = reply.endpoint_id is not None or reply.retry_after_s is not None
    return not (has_decision or reply.unable)
