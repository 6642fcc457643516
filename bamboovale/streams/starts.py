"""What one VM remembers of the starts of streams, its own and those of others."""

from collections import OrderedDict
from dataclasses import dataclass

from bamboovale.streams.source import StreamSource

MAX_STARTS = 20_000
"""Bounds the memory; the streams of half a minute at several hundred a second."""
MAX_LIFE_S = 120.0


@dataclass(frozen=True)
class StreamStart:
    """The first event of a stream came from ``source``.

    Only ``customer`` may take it up again; None stands for callers without a key.
    """

    source: StreamSource
    customer: str | None


@dataclass
class _Kept:
    start: StreamStart
    expires_at: float


class StreamStarts:
    """Starts of streams by the attempt that brought the first event.

    Beyond ``capacity`` those that were noted longest ago are dropped.
    """

    def __init__(self, capacity: int = MAX_STARTS) -> None:
        self._capacity = capacity
        self._kept_by_attempt: OrderedDict[str, _Kept] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kept_by_attempt)

    def note(
        self, attempt_id: str, start: StreamStart, life_s: float, now: float
    ) -> None:
        """Remember a start for ``life_s`` from now.

        One that is known stays as it is, but for its time. Guards against a start that
        somebody notes anew for the attempt of another.
        """
        self._drop_expired(now)
        expires_at = now + min(life_s, MAX_LIFE_S)
        known = self._kept_by_attempt.pop(attempt_id, None)
        if known is not None:
            start = known.start
            expires_at = max(expires_at, known.expires_at)
        self._kept_by_attempt[attempt_id] = _Kept(start, expires_at)
        while len(self._kept_by_attempt) > self._capacity:
            self._kept_by_attempt.popitem(last=False)

    def find(
        self, attempt_id: str, customer: str | None, now: float
    ) -> StreamSource | None:
        """Return where a customer's stream began, None if that is not known."""
        kept = self._kept_by_attempt.get(attempt_id)
        if kept is None or kept.expires_at <= now or kept.start.customer != customer:
            return None
        return kept.start.source

    def _drop_expired(self, now: float) -> None:
        """Drop the expired ones among those noted longest ago."""
        while self._kept_by_attempt:
            attempt_id, kept = next(iter(self._kept_by_attempt.items()))
            if kept.expires_at > now:
                return
            del self._kept_by_attempt[attempt_id]
