"""How far a request for a model has come, and what may still be said of it."""

from dataclasses import dataclass, field

from bamboovale.gateway.call import CallFailed, CallRefused
from bamboovale.gateway.events import EventBuffer, Pauses

REFUSED_RETRY_S = 0.3
"""About a load, after which another engine may have the adapter."""


class StreamCut(Exception):  # noqa: N818 - reads as what happened
    """The engine's stream ended before its end."""


@dataclass
class Progress:
    """What a caller has of its stream so far."""

    events: EventBuffer
    pauses: Pauses = field(default_factory=Pauses)
    started: bool = False
    stalled: bool = False
    runs: int = 0
    arrivals: int = 0
    excluded: set[str] = field(default_factory=set)

    def final_error(
        self,
        reason: str,
        retry_after_s: float = REFUSED_RETRY_S,
    ) -> Exception:
        """Return how the request ends: refused only if no engine ever ran it."""
        if self.started:
            return StreamCut(reason)
        if self.runs:
            return CallFailed(reason)
        return CallRefused(reason, retry_after_s)
