"""Parses log lines of the routed interface into typed values."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class RequestLine:
    """The outcome of one request; times in seconds, ``at`` on the VM's monotonic clock.

    ``place_s`` is the time spent waiting for places at engines; ``paced_s`` is the
    part of it caused by the pauses of other streams. ``first_s`` is None if no event
    arrived, or for a plain call. ``pause_s`` is the longest pause between events.
    ``requested_at`` is wall-clock time, None if the line carries none.
    """

    at: float
    kind: str
    outcome: str
    reason: str
    total_s: float
    place_s: float
    first_s: float | None
    attempts: int
    route: str = ""
    goal_s: float | None = None
    pause_s: float = 0.0
    pause_allowed_s: float | None = None
    paced_s: float = 0.0
    requested_at: float | None = None

    @property
    def is_late_by_first(self) -> bool:
        """Return whether the first event came after the route's goal."""
        if self.first_s is None or self.goal_s is None:
            return False
        return self.first_s > self.goal_s

    @property
    def is_late_by_pause(self) -> bool:
        """Return whether the stream paused for longer than its route allows."""
        allowed_s = self.pause_allowed_s
        return allowed_s is not None and self.pause_s > allowed_s


@dataclass(frozen=True)
class EngineLine:
    """The load of an engine, logged by its owner once a second."""

    at: float
    engine: str
    active: int
    queued: int
    pinned: int
    slots: int
    loading: int


@dataclass(frozen=True)
class Lines:
    """The parsed log lines; ``skipped`` counts lines that could not be parsed."""

    requests: tuple[RequestLine, ...]
    engines: tuple[EngineLine, ...]
    skipped: int


def read_lines(texts: Iterable[str]) -> Lines:
    """Parse log lines of any VMs; text before a line's JSON object is ignored."""
    requests: list[RequestLine] = []
    engines: list[EngineLine] = []
    skipped = 0
    for document in _documents(texts):
        try:
            if document is None:
                skipped += 1
            elif document.get("event") == "request":
                requests.append(_request(document))
            elif document.get("event") == "engine":
                engines.append(_engine(document))
        except (KeyError, TypeError, ValueError):
            skipped += 1
    return Lines(tuple(requests), tuple(engines), skipped)


def _documents(texts: Iterable[str]) -> Iterator[dict[str, Any] | None]:
    for text in texts:
        _, brace, rest = text.partition("{")
        try:
            document = json.loads(brace + rest)
        except ValueError:
            yield None
            continue
        yield document if isinstance(document, dict) else None


def _request(document: dict[str, Any]) -> RequestLine:
    asks = document.get("asks", ())
    ended_at = _seconds(document.get("time"))
    total_s = float(document.get("total_s") or 0.0)
    return RequestLine(
        at=float(document["at"]),
        kind=str(document.get("kind") or "none"),
        outcome=str(document["outcome"]),
        reason=str(document.get("reason") or ""),
        total_s=total_s,
        place_s=sum(float(ask.get("s", 0.0)) for ask in asks),
        first_s=_seconds(document.get("first_s")),
        attempts=len(document.get("attempts", ())),
        route=str(document.get("route") or ""),
        goal_s=_seconds(document.get("goal_s")),
        pause_s=float(document.get("pause_s") or 0.0),
        pause_allowed_s=_seconds(document.get("pause_allowed_s")),
        paced_s=sum(float(ask.get("paced_s", 0.0)) for ask in asks),
        requested_at=None if ended_at is None else ended_at - total_s,
    )


def _seconds(value: Any) -> float | None:
    return None if value is None else float(value)


def _engine(document: dict[str, Any]) -> EngineLine:
    return EngineLine(
        at=float(document["at"]),
        engine=str(document["engine"]),
        active=int(document["active"]),
        queued=int(document["queued"]),
        pinned=int(document["pinned"]),
        slots=int(document["slots"]),
        loading=int(document["loading"]),
    )
