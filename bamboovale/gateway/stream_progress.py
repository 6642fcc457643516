"""Progress of a request for a model over all its attempts."""

from dataclasses import dataclass, field

from bamboovale.gateway.call import CallFailed, CallRefused
from bamboovale.gateway.events import EventBuffer, Pauses
from bamboovale.gateway.model import EndpointRecord
from bamboovale.streams.source import StreamSource

REFUSAL_RETRY_S = 0.3
"""Retry delay, about the load time of an adapter."""


class StreamCut(Exception):  # noqa: N818 - reads as what happened
    """The stream was cut after the caller received a part of it."""


@dataclass
class Progress:
    """Progress of a stream towards its caller.

    ``runs`` are attempts that may have run, ``arrivals`` those that reached an engine;
    ``failure`` is how the last one failed. ``stalled`` is true after a pause longer
    than the route allows. ``source`` is what began the stream, None before its first
    event; ``is_software_gone`` is whether no endpoint of it is left.
    ``is_position_known`` is whether another engine may go on after the last event.
    ``excluded`` engines are used again if there is no other; ``started_again`` are
    those that turned out to be another start than the known one.
    """

    events: EventBuffer
    source: StreamSource | None = None
    is_software_gone: bool = False
    is_position_known: bool = True
    pauses: Pauses = field(default_factory=Pauses)
    started: bool = False
    stalled: bool = False
    runs: int = 0
    arrivals: int = 0
    failure: Exception | None = None
    excluded: set[str] = field(default_factory=set)
    started_again: set[str] = field(default_factory=set)

    def on_started(self, record: EndpointRecord) -> None:
        """Apply that the stream's first event goes to the caller.

        ``record`` is the newest one of the engine's start.
        """
        self.started = True
        if self.source is None:
            self.source = StreamSource(record.service, record.software_version)

    def on_broken(self, record: EndpointRecord, error: Exception) -> None:
        """Apply an attempt that may have run."""
        self.failure = error
        self.arrivals += 1
        self.runs += 1
        self.excluded.add(record.endpoint_id)

    def must_check(self, record: EndpointRecord) -> bool:
        """Return whether the endpoint must show that it has not started again.

        Only those that tell when they started do so under their id, and then may have
        other software.
        """
        return self.source is not None and record.started_ms is not None

    def select(self, records: list[EndpointRecord]) -> list[EndpointRecord]:
        """Return the endpoints that may go on with the stream."""
        if self.source is None:
            return records
        return [
            record
            for record in self.source.select(records)
            if record.endpoint_id not in self.started_again
        ]

    def final_error(
        self,
        reason: str,
        retry_after_s: float | None = REFUSAL_RETRY_S,
    ) -> Exception:
        """Return the error that ends the request: CallRefused only if it never ran."""
        if self.started:
            return StreamCut(reason)
        if self.runs:
            return CallFailed(reason)
        return CallRefused(reason, retry_after_s)
