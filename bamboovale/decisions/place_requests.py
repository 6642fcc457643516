"""Requests of VMs for places at plain endpoints, and the decisions on them."""

from dataclasses import dataclass, field

from bamboovale.decisions.place_endpoint import PlaceKey


@dataclass(frozen=True)
class PlaceWanted:
    """A VM's request for a place; times are seconds from now.

    ``rank`` 0 is the most urgent. ``waits_s`` is how long the caller may wait,
    ``ends_in_s`` when its call ends at the latest. ``excluded`` are endpoints that
    cannot take this call from this VM.
    """

    vm_id: str
    number: int
    rank: int
    goal_in_s: float
    waits_s: float
    ends_in_s: float
    excluded: frozenset[str] = frozenset()

    @property
    def key(self) -> PlaceKey:
        """Return what names the place."""
        return self.vm_id, self.number


@dataclass(frozen=True)
class PlaceDecision:
    """An endpoint for a call, or a refusal with the seconds until a place is expected.

    With neither the VM chooses by itself: no endpoint that it may use is known here.
    """

    key: PlaceKey
    endpoint_id: str | None = None
    retry_after_s: float | None = None


@dataclass(order=True)
class WaitingRequest:
    """A request in the queue, in the order of its first field."""

    order: tuple[bool, int, float, int]
    wanted: PlaceWanted = field(compare=False)
    latest_start_at: float = field(compare=False)
    ends_at: float = field(compare=False)
    most_wait_s: float = field(compare=False)
    is_new: bool = field(default=True, compare=False)

    def patience_s(self, now: float) -> float:
        """Return how long the request may go on waiting, less if it is new.

        The other half of the time of a new one covers calls that take longer than
        usual, and more urgent requests that follow.
        """
        left_s = self.latest_start_at - now
        return min(left_s / 2.0, self.most_wait_s) if self.is_new else left_s
