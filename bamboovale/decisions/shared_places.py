"""Places at a plain service's endpoints, granted by one VM to all.

Answers many entry VMs before few places: each VM alone sees a call or two in progress
and learns only from rejections that an endpoint is full. Here one VM knows all calls in
progress, so that none is sent to an endpoint without a free place, and none waits or is
refused while a place is free.

Requests wait in the order of whether their goal can still be met, their rank and their
goal. One whose expected wait exceeds its caller's patience is refused at once, with the
time at which a place is expected for it behind those refused before: callers that
return together would be refused again.
"""

import bisect
import math
from collections.abc import Mapping

from bamboovale.decisions.place_endpoint import (
    CallEnd,
    PlaceEndpoint,
    PlaceKey,
    UsedPlace,
    pool_call_s,
)
from bamboovale.decisions.place_requests import (
    PlaceDecision,
    PlaceWanted,
    WaitingRequest,
)
from bamboovale.decisions.place_totals import LeftOutChange, PlaceTotals

WORSE_ERROR_SHARE = 0.25
"""Difference in the share of errors from which requests wait for a better endpoint; a
smaller one may come by chance."""
BETTER_PATIENCE = 0.5
"""Part of the time that a request may wait which it waits for a better endpoint."""
WAIT_WEIGHT = 0.05
"""Weight of one request in the learned time that callers may wait."""
MAX_WAITING = 4096
"""Bound of the queue's memory; expected waits bound it far below."""


def has_shared_places(senders: int, places: int) -> bool:
    """Return whether VMs that send calls need a granter for so many places.

    With a place or less for each, a VM's own calls say nothing of the others'.
    """
    return 0 < places <= senders


class SharedPlaces:
    """The places of one service: events in, ``decide`` returns what follows."""

    def __init__(self) -> None:
        self._endpoint_by_id: dict[str, PlaceEndpoint] = {}
        self._queue: list[WaitingRequest] = []
        self._waiting_by_key: dict[PlaceKey, WaitingRequest] = {}
        self._endpoint_by_key: dict[PlaceKey, str] = {}
        self._last_number = 0
        self._usual_wait_s: float | None = None
        self._returns_until = -math.inf
        self._undecided: list[WaitingRequest] = []
        self._changes: list[LeftOutChange] = []
        # Lower bounds of when a request can no longer wait and when a place expires.
        self._next_refusal_at = math.inf
        self._next_expiry_at = math.inf

    # Events.

    def set_endpoints(self, slots_by_id: Mapping[str, int]) -> None:
        """Set the endpoints that accept calls, with their concurrent calls."""
        if slots_by_id == {i: e.slots for i, e in self._endpoint_by_id.items()}:
            return
        known = self._endpoint_by_id
        self._endpoint_by_id = {}
        for endpoint_id, slots in slots_by_id.items():
            endpoint = known.get(endpoint_id) or PlaceEndpoint(slots)
            endpoint.slots = max(1, slots)
            self._endpoint_by_id[endpoint_id] = endpoint
        endpoints = self._endpoint_by_id.values()
        if all(endpoint.is_left_out for endpoint in endpoints):
            # Guards against a pool of which nothing is left as the others have gone.
            for endpoint in endpoints:
                endpoint.end_pause()
        self._endpoint_by_key = {
            key: endpoint_id
            for key, endpoint_id in self._endpoint_by_key.items()
            if endpoint_id in self._endpoint_by_id
        }

    def on_request(self, wanted: PlaceWanted, now: float) -> None:
        """Queue a request; ``decide`` answers it or leaves it waiting."""
        if wanted.key in self._waiting_by_key or wanted.key in self._endpoint_by_key:
            return
        goal_at = now + wanted.goal_in_s
        in_time_s = wanted.goal_in_s - pool_call_s(self._endpoint_by_id.values())
        self._note_wait(wanted.waits_s)
        self._last_number += 1
        waiting = WaitingRequest(
            order=(wanted.goal_in_s <= 0.0, wanted.rank, goal_at, self._last_number),
            wanted=wanted,
            # A call that is late in any case is served late, if it need not wait long.
            latest_start_at=now + (in_time_s if in_time_s > 0.0 else wanted.waits_s),
            ends_at=now + wanted.ends_in_s,
            most_wait_s=min(wanted.waits_s, self._usual_wait_s or 0.0),
        )
        bisect.insort(self._queue, waiting)
        self._waiting_by_key[wanted.key] = waiting
        self._undecided.append(waiting)
        self._next_refusal_at = min(self._next_refusal_at, waiting.latest_start_at)

    def _note_wait(self, waits_s: float) -> None:
        """Learn how long callers usually may wait."""
        known_s = waits_s if self._usual_wait_s is None else self._usual_wait_s
        self._usual_wait_s = known_s + WAIT_WEIGHT * (waits_s - known_s)

    def on_held(
        self, key: PlaceKey, endpoint_id: str, ends_in_s: float, now: float
    ) -> None:
        """Count a call that a VM sent by itself, or by the grant of another VM."""
        self._drop_waiting(key)
        self._free(key)
        if endpoint_id in self._endpoint_by_id:
            self._use(key, endpoint_id, UsedPlace(now + ends_in_s, granted_at=None))

    def on_release(
        self, key: PlaceKey, end: CallEnd, took_s: float, now: float
    ) -> None:
        """Free a place, or drop the request for one; an unknown one is ignored."""
        self._drop_waiting(key)
        endpoint_id = self._endpoint_by_key.pop(key, None)
        if endpoint_id is not None:
            endpoint = self._endpoint_by_id[endpoint_id]
            was_left_out, failures = endpoint.is_left_out, endpoint.failures.length
            endpoint.end(key, end, took_s, now, self._usual_error_share(endpoint))
            if endpoint.is_left_out != was_left_out:
                self._note_change(endpoint_id, endpoint, failures)

    def on_vm_gone(self, vm_id: str) -> None:
        """Free the places of a VM that has ended, and drop its requests."""
        for key in [k for k in self._waiting_by_key if k[0] == vm_id]:
            self._drop_waiting(key)
        for key in [k for k in self._endpoint_by_key if k[0] == vm_id]:
            self._free(key)

    # Decisions.

    def decide(self, now: float) -> list[PlaceDecision]:
        """Return grants and refusals; requests without either go on waiting."""
        if now >= self._next_expiry_at:
            self._expire(now)
        if not self._queue:
            self._undecided.clear()
            self._next_refusal_at = math.inf
            return []
        return [*self._grant_free(now), *self._refuse_overdue(now)]

    def next_at(self, now: float) -> float:
        """Return when to decide anew at the latest, without further events."""
        at = min(self._next_refusal_at, self._next_expiry_at)
        if not self._queue:
            return at
        endpoints = self._endpoint_by_id.values()
        return min([at, *(e.paused_until for e in endpoints if e.is_paused(now))])

    def expected_wait_s(self, wanted: PlaceWanted, ahead: int, now: float) -> float:
        """Return when a place is expected behind so many requests, in seconds."""
        usable = self._usable(wanted)
        pool_s = pool_call_s(self._endpoint_by_id.values())
        open_now = [e for e in usable if not e.is_paused(now)]
        rate_per_s = sum(e.rate_per_s(now, pool_s) for e in open_now or usable)
        until_open_s = 0.0
        if not open_now:
            until_open_s = min(e.paused_until for e in usable) - now
        return until_open_s + (ahead + 1) / rate_per_s

    def dump(self, now: float) -> dict[str, object]:
        """Return the state for operators; times in seconds."""
        pool_s = pool_call_s(self._endpoint_by_id.values())
        return {
            "waiting": len(self._queue),
            "endpoints": {
                endpoint_id: {
                    "used": len(endpoint.used_by_key),
                    "room": endpoint.room,
                    "in_transit": endpoint.room_in_transit,
                    "call_s": round(endpoint.call_s(now, pool_s), 4),
                    "paused_s": round(max(0.0, endpoint.paused_until - now), 2),
                }
                for endpoint_id, endpoint in self._endpoint_by_id.items()
            },
        }

    def totals(self, now: float) -> PlaceTotals:
        """Return the places in use, free and missing."""
        endpoints = self._endpoint_by_id.values()
        open_now = [e for e in endpoints if not e.is_paused(now)]
        return PlaceTotals(
            endpoints=len(endpoints),
            left_out=sum(e.is_left_out for e in endpoints),
            slots=sum(e.slots for e in endpoints),
            used=sum(len(e.used_by_key) for e in endpoints),
            idle=sum(max(0, e.room - len(e.used_by_key)) for e in open_now),
            waiting=len(self._queue),
        )

    def take_changes(self) -> list[LeftOutChange]:
        """Return the changes of endpoints left out since the last time."""
        changes, self._changes = self._changes, []
        return changes

    def _note_change(
        self, endpoint_id: str, endpoint: PlaceEndpoint, failures: int
    ) -> None:
        failures = max(failures, endpoint.failures.length)
        share = endpoint.failures.error_share
        self._changes.append(
            LeftOutChange(endpoint_id, endpoint.is_left_out, failures, share)
        )

    def _grant_free(self, now: float) -> list[PlaceDecision]:
        granted: list[PlaceDecision] = []
        if not self._has_free(now):
            return granted
        pool_s = pool_call_s(self._endpoint_by_id.values())
        ahead = 0
        for waiting in list(self._queue):
            endpoint_id = self._choose(waiting.wanted, pool_s, now)
            if endpoint_id is not None and self._waits_for_better(
                waiting, endpoint_id, ahead, now
            ):
                ahead += 1
            elif endpoint_id is not None:
                key = waiting.wanted.key
                self._drop_waiting(key)
                self._use(key, endpoint_id, UsedPlace(waiting.ends_at, granted_at=now))
                granted.append(PlaceDecision(key, endpoint_id))
            elif not self._has_free(now):
                break
        return granted

    def _choose(self, wanted: PlaceWanted, pool_s: float, now: float) -> str | None:
        """Return the best endpoint with a free place, else one kept busy in transit."""
        for in_transit in (False, True):
            costs = [
                (endpoint.cost(now, pool_s), endpoint_id)
                for endpoint_id, endpoint in self._endpoint_by_id.items()
                if endpoint_id not in wanted.excluded
                and endpoint.has_free(now, in_transit)
            ]
            if costs:
                return min(costs)[1]
        return None

    def _waits_for_better(
        self, waiting: WaitingRequest, endpoint_id: str, ahead: int, now: float
    ) -> bool:
        """Return whether a request waits although an endpoint has a free place.

        One that fails many of its calls gets what the others cannot take in time.
        """
        share = self._endpoint_by_id[endpoint_id].failures.error_share
        better = [
            endpoint
            for endpoint in self._usable(waiting.wanted)
            if endpoint.failures.error_share < share - WORSE_ERROR_SHARE
            and not endpoint.is_paused(now)
        ]
        if not better:
            return False
        pool_s = pool_call_s(self._endpoint_by_id.values())
        rate_per_s = sum(endpoint.rate_per_s(now, pool_s) for endpoint in better)
        return (ahead + 1) / rate_per_s < BETTER_PATIENCE * waiting.patience_s(now)

    def _refuse_overdue(self, now: float) -> list[PlaceDecision]:
        """Refuse new requests that would wait too long, and others that now would.

        Before an endpoint has answered nothing is known of waits. The last in the queue
        is checked each time, as it is the one that a more urgent request delays most.
        """
        endpoints = self._endpoint_by_id.values()
        knows_times = any(e.learned_s is not None for e in endpoints)
        refused = []
        for waiting in self._refusal_candidates(now):
            decision = self._refusal(waiting, knows_times, now)
            if decision is not None:
                self._drop_waiting(waiting.wanted.key)
                refused.append(decision)
        if knows_times:
            self._undecided.clear()
        if now >= self._next_refusal_at:
            starts = (waiting.latest_start_at for waiting in self._queue)
            self._next_refusal_at = min(starts, default=math.inf)
        return refused

    def _refusal_candidates(self, now: float) -> list[WaitingRequest]:
        """Return the requests that may have to be refused, in their order."""
        if now >= self._next_refusal_at:
            return list(self._queue)
        known = self._waiting_by_key
        found = [w for w in self._undecided if w.wanted.key in known]
        last = self._queue[-1:]
        return sorted(found) + [w for w in last if w not in found]

    def _refusal(
        self, waiting: WaitingRequest, knows_times: bool, now: float
    ) -> PlaceDecision | None:
        """Return the refusal of a request, None if it may go on waiting."""
        wanted = waiting.wanted
        if not self._usable(wanted):
            return PlaceDecision(wanted.key)
        ahead = bisect.bisect_left(self._queue, waiting)
        wait_s = self.expected_wait_s(wanted, ahead, now)
        patience_s = waiting.patience_s(now)
        is_full = False
        if waiting.is_new:
            is_full = len(self._queue) > MAX_WAITING
            waiting.is_new = not knows_times
        if is_full or patience_s <= 0.0 or (knows_times and wait_s > patience_s):
            return PlaceDecision(
                wanted.key, None, self._return_in_s(waiting, wait_s, now)
            )
        return None

    def _return_in_s(self, waiting: WaitingRequest, wait_s: float, now: float) -> float:
        """Return when a place is expected for a refused caller, behind earlier ones.

        A time after the call's deadline would be of no use to the caller.
        """
        usable = self._usable(waiting.wanted)
        pool_s = pool_call_s(self._endpoint_by_id.values())
        rate_per_s = sum(endpoint.rate_per_s(now, pool_s) for endpoint in usable)
        due_at = max(now + wait_s, self._returns_until + 1.0 / rate_per_s)
        due_at = min(due_at, max(now + wait_s, waiting.ends_at))
        self._returns_until = due_at
        return due_at - now

    # Places and requests.

    def _usable(self, wanted: PlaceWanted) -> list[PlaceEndpoint]:
        return [
            endpoint
            for endpoint_id, endpoint in self._endpoint_by_id.items()
            if endpoint_id not in wanted.excluded
        ]

    def _has_free(self, now: float) -> bool:
        endpoints = self._endpoint_by_id.values()
        return any(endpoint.has_free(now, in_transit=True) for endpoint in endpoints)

    def _usual_error_share(self, endpoint: PlaceEndpoint) -> float | None:
        """Return the share of errors at the best other endpoint that takes calls.

        Guards against a pool whose endpoints all fail, and are all left out.
        """
        others = [e for e in self._endpoint_by_id.values() if e is not endpoint]
        shares = (e.failures.error_share for e in others if not e.is_left_out)
        return min(shares, default=None)

    def _use(self, key: PlaceKey, endpoint_id: str, used: UsedPlace) -> None:
        self._endpoint_by_id[endpoint_id].used_by_key[key] = used
        self._endpoint_by_key[key] = endpoint_id
        self._next_expiry_at = min(self._next_expiry_at, used.ends_at)

    def _expire(self, now: float) -> None:
        """Free the places of calls whose deadline has passed."""
        self._next_expiry_at = math.inf
        for endpoint in self._endpoint_by_id.values():
            for key in endpoint.expire(now):
                del self._endpoint_by_key[key]
            ends = (used.ends_at for used in endpoint.used_by_key.values())
            self._next_expiry_at = min(
                self._next_expiry_at, min(ends, default=math.inf)
            )

    def _drop_waiting(self, key: PlaceKey) -> None:
        waiting = self._waiting_by_key.pop(key, None)
        if waiting is not None:
            self._queue.pop(bisect.bisect_left(self._queue, waiting))

    def _free(self, key: PlaceKey) -> None:
        endpoint_id = self._endpoint_by_key.pop(key, None)
        if endpoint_id is not None:
            del self._endpoint_by_id[endpoint_id].used_by_key[key]
