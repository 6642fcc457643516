"""Progress of a request for a model over all its attempts."""

from dataclasses import dataclass, field

from bamboovale.gateway.call import CallFailed, CallRefused
from bamboovale.gateway.events import EventBuffer, Pauses

REFUSAL_RETRY_S = 0.3
"""Retry delay, about the load time of an adapter."""


class StreamCut(Exception):  # noqa: N818 - reads as what happened
    """The stream was cut after the caller received a part of it."""


@dataclass
class Progress:
    """Progress of a stream towards its caller.

    ``runs`` are attempts that may have run, ``arrivals`` those that reached an engine;
    ``failure`` is how the last one failed. ``stalled`` is true after a pause longer
    than the route allows.
    """

    events: EventBuffer
    pauses: Pauses = field(default_factory=Pauses)
    started: bool = False
    stalled: bool = False
    runs: int = 0
    arrivals: int = 0
    failure: Exception | None = None
    excluded: set[str] = field(default_factory=set)

    def final_error(
        self,
        reason: str,
        retry_after_s: float = REFUSAL_RETRY_S,
    ) -> Exception:
        """Return the error that ends the request: CallRefused only if it never ran."""
        if self.started:
            return StreamCut(reason)
        if self.runs:
            return CallFailed(reason)
        return CallRefused(reason, retry_after_s)
