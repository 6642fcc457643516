"""Splits a stream of server-sent events into whole events and checks their ids."""

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024
"""Bounds the memory that a stream without an end of event can use."""
MAX_ID_DIGITS = 20
END_OF_EVENT = re.compile(rb"\n\n|\r\n\r\n")
SEARCHED_AGAIN_BYTES = 3


class EventsBroken(Exception):  # noqa: N818 - reads as what happened
    """The bytes are not a valid continuation of the stream.

    ``is_position_known`` is whether the last event that was returned bears its own id,
    so that another endpoint may go on after it.
    """

    def __init__(self, reason: str, *, is_position_known: bool = True) -> None:
        super().__init__(reason)
        self.is_position_known = is_position_known


class EventTooLong(EventsBroken):
    """An event has no end within the bound of an event."""


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
    and, by checking that ids rise, against repeated or reordered events. Each byte is
    searched once: guards against an event without an end that comes in short pieces.
    """

    def __init__(self, resume_after: str | None = None) -> None:
        self.last_id = resume_after
        self._usual_step = 1
        self._last_step = 1
        self._pending = bytearray()
        self._searched = 0
        self._broken: EventsBroken | None = None

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
        self._pending = bytearray()
        self._searched = 0
        self._broken = None

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that are now whole; raises EventsBroken.

        If the bytes are no valid continuation after some whole events, returns these,
        and ``raise_if_broken`` raises: guards against events that count as received
        and are not forwarded.
        """
        self.raise_if_broken()
        self._pending += data
        events: list[Event] = []
        try:
            self._take_whole(events)
        except EventsBroken as error:
            self.discard_partial()
            self._broken = error
            if not events:
                raise
        return events

    def raise_if_broken(self) -> None:
        """Raise EventsBroken if the events that were returned last are the last ones.

        To be called once these are forwarded.
        """
        if self._broken is not None:
            raise self._broken

    def _take_whole(self, events: list[Event]) -> None:
        """Move the whole events that are buffered to a list; raises EventsBroken."""
        begin = 0
        for found in END_OF_EVENT.finditer(self._pending, self._searched):
            chunk = bytes(self._pending[begin : found.end()])
            begin = found.end()
            event = Event(chunk, _id_of(chunk))
            if event.event_id is not None:
                self._check_order(event.event_id)
                self.last_id = event.event_id
            events.append(event)
        del self._pending[:begin]
        self._searched = max(0, len(self._pending) - SEARCHED_AGAIN_BYTES)
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventTooLong("the event exceeds the size limit")

    def _check_order(self, event_id: str) -> None:
        """Raise EventsBroken unless an id may follow the last one.

        One of the two is wrong then. It may be the last one if it is out of step with
        those before: guards against going on after an id that its event does not have.
        """
        number, last = _number_of(event_id), _number_of(self.last_id or "0")
        if number is None or last is None:
            return
        if number <= last and self.last_id is not None:
            raise EventsBroken(
                f"event {event_id} after {self.last_id}",
                is_position_known=self._last_step == self._usual_step,
            )
        self._usual_step, self._last_step = self._last_step, number - last


def _number_of(event_id: str) -> int | None:
    """Return an id as a number, None if it is none."""
    is_number = event_id.isdecimal() and len(event_id) <= MAX_ID_DIGITS
    return int(event_id) if is_number else None


def _id_of(event: bytes) -> str | None:
    if b"id:" not in event:
        return None
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
