"""Places at one endpoint of a plain service: how many it has and how long calls take.

Answers endpoints that become slow, reject calls or fail. The time of a call is learned
from the granted places that were released; without samples it returns to that of the
pool, so that an endpoint that was slow is tried again. A rejection shows that the
endpoint has fewer places than assumed, for instance because VMs without a granter send
calls there: it gets no more than it had accepted, and regains places with each answer.

An endpoint that has stopped working is left out, then one call tries it. An answer to a
call that began since ends that at once: an endpoint that answers some of its calls is
worth more than none.
"""

import math
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from bamboovale.decisions.failure_row import FailureRow

INITIAL_CALL_S = 0.05
"""Assumed until an endpoint of the pool has answered."""
TIME_WEIGHT = 0.25
"""Weight of one call in the learned times."""
TIME_DECAY_S = 1.0
"""Time constant with which an unused endpoint's time returns to that of the pool."""
HANG_FACTOR = 2.0
"""Multiple of the learned time from which the age of the oldest call counts instead."""
ERROR_COST = 12.0
"""Cost added to an endpoint that only fails, as a multiple of its time: fast failures
must not attract calls."""
FIRST_FAILURE_PAUSE_S = 2.0
MAX_FAILURE_PAUSE_S = 4.0
"""Short, as one call of all VMs tries the endpoint, and its places may be missed."""
MAX_REJECTION_PAUSE_S = 1.0
"""Bounds of pauses that double with each further setback."""

PlaceKey = tuple[str, int]
"""A VM, and the number that it gave to the place."""


class CallEnd(Enum):
    """How the use of a place ended; only an answer is a sample of the time of calls."""

    ANSWERED = "answered"
    FAILED = "failed"
    REJECTED = "rejected"
    UNUSED = "unused"


@dataclass
class UsedPlace:
    """A place in use: ``granted_at`` is None if a VM took it by itself."""

    ends_at: float
    granted_at: float | None


@dataclass
class PlaceEndpoint:
    """One endpoint; ``slots`` are the calls that it runs concurrently.

    ``is_left_out`` is whether it has stopped working, and has not answered since.
    """

    slots: int
    used_by_key: dict[PlaceKey, UsedPlace] = field(default_factory=dict)
    paused_until: float = -math.inf
    _room: float = math.inf
    _held_s: float | None = None
    _overhead_s: float = 0.0
    _sampled_at: float = -math.inf
    failures: FailureRow = field(default_factory=FailureRow)
    is_left_out: bool = False
    _ended_at: float = -math.inf
    _row_began_at: float = -math.inf
    _pauses_in_row: int = 0
    _paused_at: float = -math.inf

    @property
    def learned_s(self) -> float | None:
        """Return how long calls held a place on average, None if unknown."""
        return self._held_s

    @property
    def room(self) -> int:
        """Return how many calls the endpoint is taken to accept."""
        return int(min(self.slots, self._room))

    @property
    def room_in_transit(self) -> int:
        """Return how many more calls keep it busy while messages are on their way.

        The slot of a call that ended stays idle until its release has led to the next
        grant: this is the share of a place's time in which no call is at the endpoint.
        One more covers that releases come unevenly.
        """
        if self._held_s is None or self.room < self.slots:
            return 0
        share = min(1.0, self._overhead_s / self._held_s)
        return math.ceil(self.slots * share) + 1

    def is_paused(self, now: float) -> bool:
        """Return whether it gets no calls after a setback."""
        return now < self.paused_until

    def end_pause(self) -> None:
        """Let it take calls again; if it was left out, one at first."""
        self.paused_until = -math.inf

    def has_free(self, now: float, in_transit: bool = False) -> bool:
        """Return whether one more call may be sent."""
        room = self.room + (self.room_in_transit if in_transit else 0)
        return len(self.used_by_key) < room and not self.is_paused(now)

    def _usual_s(self, now: float, pool_s: float) -> float:
        if self._held_s is None:
            return pool_s
        age_s = 0.0 if self.used_by_key else now - self._sampled_at
        return pool_s + (self._held_s - pool_s) * math.exp(-age_s / TIME_DECAY_S)

    def call_s(self, now: float, pool_s: float) -> float:
        """Return how long a call is expected to hold a place, if it hangs its age."""
        learned_s = self._usual_s(now, pool_s)
        oldest_s = self._oldest_s(now)
        return oldest_s if oldest_s > HANG_FACTOR * learned_s else learned_s

    def cost(self, now: float, pool_s: float) -> float:
        """Return the cost of one more call there, by its time, errors and load."""
        load = len(self.used_by_key) / self.slots
        faded = math.exp(-max(0.0, now - self._ended_at) / TIME_DECAY_S)
        errors = ERROR_COST * self.failures.error_share * faded
        return self.call_s(now, pool_s) * (1.0 + errors) * (1.0 + load)

    def rate_per_s(self, now: float, pool_s: float) -> float:
        """Return how many places become free per second while all are in use.

        A single call that hangs says nothing of the other places.
        """
        return (self.room + self.room_in_transit) / self._usual_s(now, pool_s)

    def end(
        self,
        key: PlaceKey,
        end: CallEnd,
        took_s: float,
        now: float,
        usual_error_share: float | None,
    ) -> bool:
        """Free a place; return False if it was not in use.

        ``took_s`` is the time of the call as its VM saw it. ``usual_error_share`` is
        that of the best endpoint that would remain without this one, None without any.
        """
        used = self.used_by_key.pop(key, None)
        if used is None:
            return False
        if end is CallEnd.REJECTED:
            self._on_rejected(used, now)
            return True
        was_sent = end is not CallEnd.UNUSED or took_s > 0.0
        if was_sent:
            self._learn(used, end, took_s, now)
        if end is CallEnd.ANSWERED:
            self._on_answered(used, now)
        elif end is CallEnd.FAILED:
            self._on_failed(now, usual_error_share)
        return True

    def expire(self, now: float) -> list[PlaceKey]:
        """Free the places of calls whose deadline has passed; return their keys."""
        expired = [key for key, used in self.used_by_key.items() if used.ends_at <= now]
        for key in expired:
            del self.used_by_key[key]
        return expired

    def _on_answered(self, used: UsedPlace, now: float) -> None:
        self._ended_at = now
        began_at = -math.inf if used.granted_at is None else used.granted_at
        if self.is_left_out and began_at >= self._row_began_at:
            self.paused_until = now
        if self.is_left_out:
            # What it did while it had stopped working says nothing of it now.
            self.is_left_out = False
            self.failures = FailureRow()
        self.failures.on_answer()
        self._pauses_in_row = 0
        self._room = min(self.slots, self._room + 1.0 / self._room)

    def _on_failed(self, now: float, usual_error_share: float | None) -> None:
        self._ended_at = now
        if not self.failures.length:
            self._row_began_at = now
        self.failures.on_failure()
        if usual_error_share is None:
            return
        if self.is_left_out or self.failures.is_conclusive(usual_error_share):
            self.is_left_out = True
            self._pause(FIRST_FAILURE_PAUSE_S, MAX_FAILURE_PAUSE_S, now)
            # One call shows whether the endpoint works again.
            self._room = 1.0

    def _learn(self, used: UsedPlace, end: CallEnd, took_s: float, now: float) -> None:
        """Learn the time of a call; one without an answer shows only a slow endpoint.

        Guards against an endpoint that is chosen because its failures come fast.
        """
        if used.granted_at is None:
            return
        held_s = now - used.granted_at
        known_s = self._held_s or INITIAL_CALL_S
        if end is not CallEnd.ANSWERED and held_s <= known_s:
            return
        overhead_s = max(0.0, held_s - took_s)
        if self._held_s is None:
            self._held_s, self._overhead_s = held_s, overhead_s
        else:
            self._held_s += TIME_WEIGHT * (held_s - self._held_s)
            self._overhead_s += TIME_WEIGHT * (overhead_s - self._overhead_s)
        self._sampled_at = now

    def _on_rejected(self, used: UsedPlace, now: float) -> None:
        self._room = max(1.0, min(self._room, float(len(self.used_by_key))))
        granted_at = used.granted_at
        if granted_at is not None and granted_at > self._paused_at:
            self._pause(self._held_s or INITIAL_CALL_S, MAX_REJECTION_PAUSE_S, now)

    def _pause(self, first_s: float, max_s: float, now: float) -> None:
        pause_s = min(max_s, first_s * 2.0**self._pauses_in_row)
        self._pauses_in_row = min(self._pauses_in_row + 1, 10)
        self._paused_at = now
        self.paused_until = max(self.paused_until, now + pause_s)

    def _oldest_s(self, now: float) -> float:
        granted = [used.granted_at for used in self.used_by_key.values()]
        return now - min((at for at in granted if at is not None), default=now)


def pool_call_s(endpoints: Iterable[PlaceEndpoint]) -> float:
    """Return the usual time of a call in a pool: the lower median of its endpoints."""
    learned = [e.learned_s for e in endpoints if e.learned_s is not None]
    return statistics.median_low(learned) if learned else INITIAL_CALL_S
