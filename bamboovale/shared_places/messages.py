"""Messages between VMs that send calls and the VM that grants places for them.

``number`` names a place together with its VM; times are durations in seconds.
"""

import math
from dataclasses import dataclass

from bamboovale.decisions.place_endpoint import CallEnd
from bamboovale.peers.codec import message


@message("shared_place_ask")
@dataclass(frozen=True)
class SharedPlaceRequest:
    """Request for a place, answered at once by a ``SharedPlaceReply``.

    ``excluded`` are endpoints that cannot take the call from the sender.
    """

    service: str
    number: int
    goal_in_s: float
    waits_s: float
    ends_in_s: float
    rank: int = 0
    excluded: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        """Raise ValueError for times that are no numbers: they cannot be ordered."""
        _check_finite(self.goal_in_s, self.waits_s, self.ends_in_s)


@message("shared_place_reply")
@dataclass(frozen=True)
class SharedPlaceReply:
    """The granter's decision: an endpoint, or when a place is expected.

    With neither the call is queued, and the decision follows as a notice, unless
    ``unable`` says that the sender grants nothing for this call.
    """

    number: int
    endpoint_id: str | None = None
    retry_after_s: float | None = None
    unable: bool = False


@message("shared_place_release")
@dataclass(frozen=True)
class SharedPlaceRelease:
    """The end of a call or of the wait for a place; ``took_s`` is the call's time."""

    service: str
    number: int
    end: CallEnd = CallEnd.ANSWERED
    took_s: float = 0.0


@message("shared_place_held")
@dataclass(frozen=True)
class SharedPlaceHeld:
    """A call in progress that the granter may not know of."""

    service: str
    number: int
    endpoint_id: str
    ends_in_s: float

    def __post_init__(self) -> None:
        """Raise ValueError for a time that is no number."""
        _check_finite(self.ends_in_s)


def _check_finite(*times_s: float) -> None:
    if not all(map(math.isfinite, times_s)):
        raise ValueError("a time is not finite")
