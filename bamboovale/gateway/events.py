"""Splits a stream of server-sent events into whole events and checks their ids."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024
"""Bounds the memory that a stream without an end of event can use."""


class EventsBroken(Exception):  # noqa: N818 - reads as what happened
    """The bytes are not a valid continuation of the stream."""


@dataclass(frozen=True)
class Event:
    """One whole event as received; ``event_id`` is None if it has no id."""

    data: bytes
    event_id: str | None


@dataclass
class Pauses:
    """The longest pause between a stream's events, and when it ended; in seconds."""

    events: int = 0
    longest_s: float = 0.0
    ended_at: float = 0.0
    _last_at: float = 0.0

    def on_events(self, count: int, now: float) -> float:
        """Count events that were received together; return the pause before them."""
        pause_s = now - self._last_at if self.events else 0.0
        if pause_s > self.longest_s:
            self.longest_s = pause_s
            self.ended_at = now
        self.events += count
        self._last_at = now
        return pause_s

    def log_fields(self, received_at: float) -> dict[str, float]:
        """Return fields of the request's log line; times count from its arrival."""
        if not self.events:
            return {}
        return {
            "events": self.events,
            "pause_s": round(self.longest_s, 4),
            "pause_ended_s": round(max(0.0, self.ended_at - received_at), 4),
        }


class EventBuffer:
    """Buffers bytes until an event is whole.

    Guards against forwarding a partial event, which no other endpoint could continue,
    and, by checking that ids rise, against repeated or reordered events.
    """

    def __init__(self, resume_after: str | None = None) -> None:
        self.last_id = resume_after
        self._pending = b""

    @property
    def has_partial(self) -> bool:
        """Return whether bytes of an incomplete event are buffered."""
        return bool(self._pending.strip())

    @property
    def partial_bytes(self) -> int:
        """Return the bytes that wait for the end of their event."""
        return len(self._pending)

    def discard_partial(self) -> None:
        """Discard a partial event, which another endpoint will send again."""
        self._pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that are now whole; raises EventsBroken."""
        self._pending += data
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventsBroken("the event exceeds the size limit")
        events = []
        while (end := _end_of_event(self._pending)) > 0:
            chunk, self._pending = self._pending[:end], self._pending[end:]
            event = Event(chunk, _id_of(chunk))
            if event.event_id is not None:
                self._check_order(event.event_id)
                self.last_id = event.event_id
            events.append(event)
        return events

    def _check_order(self, event_id: str) -> None:
        if self.last_id is None or not (event_id.isdigit() and self.last_id.isdigit()):
            return
        if int(event_id) <= int(self.last_id):
            raise EventsBroken(f"event {event_id} after {self.last_id}")


def _end_of_event(data: bytes) -> int:
    """Return the length of the first whole event, 0 if there is none."""
    ends = [
        at + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (at := data.find(mark)) >= 0
    ]
    return min(ends, default=0)


def _id_of(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
