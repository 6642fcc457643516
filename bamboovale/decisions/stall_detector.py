"""Detects whether the prefill of prompts stalls the streams of an engine.

Engines with short steps hardly ever stall a stream beyond the allowed pause, and pacing
their prompts only makes callers wait. On others a few concurrent prompts stall them.

Entry VMs report stalls that were too long. A stall counts only if the engine was busy
with prefill for much of it, since a suspended VM or a link with packet loss stalls
streams as well.
"""

MIN_PREFILL_SHARE = 0.7
"""Share of a stall that must be prefill for the stall to count: a paused VM or a link
that loses packets stalls streams as well."""
ON_SHARE = 0.15
"""Share of stalled streams from which pacing starts."""
OFF_SHARE = 0.01
"""Share of stalled streams below which pacing ends."""
MIN_STALLED = 3.0
"""Number of stalls from which pacing starts: an engine stalls its whole batch at once,
while a single stream may have met a fault on its way."""
HALF_LIFE_S = 4.0
"""Half-life of the counts of streams."""
RECHECK_AFTER_S = 6.0
"""Time after which the counts of an engine are reset while its pool is not stalled."""
MIN_POOL_ENGINES = 3
MIN_POOL_SHARE = 1 / 3
"""Stalled engines from which a whole pool is paced."""
ASSUMED_STREAMS = 20.0
"""Weight of the initial assumption, in streams."""


def is_pool_stalled(stalled: int, engines: int) -> bool:
    """Return whether prefill stalls the streams of a whole pool.

    Engines of a pool behave alike, so one is paced before its own streams stall.
    Guards against pacing a pool because one or two engines became slow or lost their
    runs.
    """
    min_stalled = max(min(MIN_POOL_ENGINES, engines), MIN_POOL_SHARE * engines)
    return stalled > 0 and stalled >= min_stalled


class StallDetector:
    """Counts streams and stalled streams of one engine; times in seconds."""

    def __init__(self) -> None:
        self._streams = 0.0
        self._stalled = 0.0
        self._updated_at = 0.0
        self._is_stalled = False
        self._stalled_since = 0.0

    def assume_stalled(self, now: float) -> None:
        """Start as stalled, like the pool's other engines, until streams are seen."""
        if not self._streams:
            self._streams = ASSUMED_STREAMS
            self._stalled = ASSUMED_STREAMS * ON_SHARE
            self._is_stalled = True
            self._stalled_since = now
            self._updated_at = now

    def on_stream(self, now: float) -> None:
        """Count a stream that starts."""
        self._decay(now)
        self._streams += 1.0
        self._evaluate(now)

    def on_stall(self, pause_s: float, prefill_s: float, now: float) -> None:
        """Count a stream's first long stall, of which ``prefill_s`` was prefill."""
        if prefill_s < MIN_PREFILL_SHARE * pause_s:
            return
        self._decay(now)
        self._stalled += 1.0
        self._evaluate(now)

    def is_stalled(self) -> bool:
        """Return whether prefill stalls many streams of the engine."""
        return self._is_stalled

    def reset_if_old(self, now: float) -> None:
        """Reset the counts if the engine has been stalled for long.

        Once the prompts of a single stalled engine are paced, the remaining stalls do
        not show whether it still needs pacing.
        """
        if self._is_stalled and now - self._stalled_since > RECHECK_AFTER_S:
            self._streams = 0.0
            self._stalled = 0.0
            self._is_stalled = False

    def _decay(self, now: float) -> None:
        faded = 0.5 ** (max(0.0, now - self._updated_at) / HALF_LIFE_S)
        self._streams *= faded
        self._stalled *= faded
        self._updated_at = now

    def _evaluate(self, now: float) -> None:
        share = self._stalled / max(1.0, self._streams)
        if self._stalled >= MIN_STALLED and share >= ON_SHARE:
            if not self._is_stalled:
                self._stalled_since = now
            self._is_stalled = True
        elif share < OFF_SHARE:
            self._is_stalled = False
