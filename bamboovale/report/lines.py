"""Log lines of the routed interface as typed values."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class RequestLine:
    """The end of one request; times in seconds, ``at`` on the VM's own clock.

    ``place_s`` was spent waiting for places at engines; ``first_s`` is None if no event
    came, or for a plain call.
    """

    at: float
    kind: str
    outcome: str
    reason: str
    total_s: float
    place_s: float
    first_s: float | None
    attempts: int


@dataclass(frozen=True)
class EngineLine:
    """How full an engine was, told by its owner once a second."""

    at: float
    engine: str
    active: int
    queued: int
    pinned: int
    slots: int
    loading: int


@dataclass(frozen=True)
class Lines:
    """What was found in the logs; ``skipped`` lines were no log lines."""

    requests: tuple[RequestLine, ...]
    engines: tuple[EngineLine, ...]
    skipped: int


def read_lines(texts: Iterable[str]) -> Lines:
    """Read log lines of any VMs; what stands before a line's object is passed over."""
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
    first_s = document.get("first_s")
    return RequestLine(
        at=float(document["at"]),
        kind=str(document.get("kind") or "none"),
        outcome=str(document["outcome"]),
        reason=str(document.get("reason") or ""),
        total_s=float(document.get("total_s") or 0.0),
        place_s=sum(float(ask.get("s", 0.0)) for ask in document.get("asks", ())),
        first_s=None if first_s is None else float(first_s),
        attempts=len(document.get("attempts", ())),
    )


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
