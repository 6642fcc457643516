"""Whether prompts being read make an engine's streams pause too long.

Load pattern: engines whose steps are short against the allowed pause hardly ever hold a
stream up, however many prompts they read together; to pace them only makes callers wait
for places (0.62 of the worth where it had been 0.68, on engines that take 0.29 s for an
event at the worst with 0.4 s allowed). On others a clump of four prompts is enough, and
half of all streams are late by it. No figure that an engine tells says which it is.

Entry VMs tell of pauses that were too long. They count where the engine had been
reading for much of them: a VM that stood still or a link that lost packets makes
streams pause as well.
"""

READ_SHARE = 0.7
"""Of a pause, what the engine must have read for it to count: the steps of an event
take a tenth to a seventh of the allowed pause, and the estimate of what was read when
is off by a step."""
ON_SHARE = 0.15
"""Of the streams that began of late, how many were held up where pacing is worth its
waits. Unpaced, half of all streams are where it is needed; with 0.2 it began at one
engine of six at a time where it is not. Half and double of it make no difference in
the play of nine engines."""
OFF_SHARE = 0.01
"""Below it pacing ends. With 0.03, begun at 0.2, 0.083 of all streams were late by a
pause; with 0.01, begun at 0.1, 0.071 (play of nine engines, eight seeds)."""
STREAMS_LEAST = 3.0
"""An engine that is held up holds up its whole batch at once; one stream alone may have
met a fault on its way."""
HALF_LIFE_S = 4.0
"""Streams count by half after so long; not varied. At six streams a second and engine
some 25 decide."""
ALONE_S = 6.0
"""For how long an engine is taken for held up while its pool is not; then its streams
are looked at anew: some 35 streams by then. Not varied."""
POOL_LEAST = 3
POOL_SHARE = 1 / 3
"""Engines of a pool that are held up before the others take it for their own case. With
two of six, 0.74 of what a heavy day could earn was served where pauses are wide, 0.79
with a third; with half of them, a pool that needs it was paced two seconds later, 0.75
and 0.79."""
ASSUMED_STREAMS = 20.0
"""What is assumed at first counts like so many streams, about those of three seconds;
not varied."""


def is_pool_stalled(held_up: int, engines: int) -> bool:
    """Tell by its engines whether reading holds up the streams of a whole pool.

    Engines of a pool are alike, and each would spoil a batch of its own to learn it.
    Guards against one or two that turned slow or lost their runs: their streams pause
    too, and a pool whose pauses are wide would be paced for the rest of the day.
    """
    least = max(min(POOL_LEAST, engines), POOL_SHARE * engines)
    return held_up > 0 and held_up >= least


class StallDetector:
    """Streams of one engine, and those that reading held up; times in seconds."""

    def __init__(self) -> None:
        self._streams = 0.0
        self._held_up = 0.0
        self._at = 0.0
        self._is_held_up = False
        self._held_up_since = 0.0

    def assume_stalled(self, now: float) -> None:
        """Begin as held up, as the pool's other engines are; streams tell better."""
        if not self._streams:
            self._streams = ASSUMED_STREAMS
            self._held_up = ASSUMED_STREAMS * ON_SHARE
            self._is_held_up = True
            self._held_up_since = now
            self._at = now

    def on_stream(self, now: float) -> None:
        """Count a stream that begins."""
        self._fade(now)
        self._streams += 1.0
        self._judge(now)

    def on_stall(self, pause_s: float, read_s: float, now: float) -> None:
        """Count a stream's first long pause; the engine read for ``read_s`` of it."""
        if read_s < READ_SHARE * pause_s:
            return
        self._fade(now)
        self._held_up += 1.0
        self._judge(now)

    def is_stalled(self) -> bool:
        """Tell whether reading holds up many of the engine's streams."""
        return self._is_held_up

    def reset_if_old(self, now: float) -> None:
        """Forget what was seen, if the engine has long been held up.

        For an engine that is held up alone: once its prompts are paced, the pauses
        that are left do not tell whether it still needs that.
        """
        if self._is_held_up and now - self._held_up_since > ALONE_S:
            self._streams = 0.0
            self._held_up = 0.0
            self._is_held_up = False

    def _fade(self, now: float) -> None:
        faded = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S)
        self._streams *= faded
        self._held_up *= faded
        self._at = now

    def _judge(self, now: float) -> None:
        share = self._held_up / max(1.0, self._streams)
        if self._held_up >= STREAMS_LEAST and share >= ON_SHARE:
            if not self._is_held_up:
                self._held_up_since = now
            self._is_held_up = True
        elif share < OFF_SHARE:
            self._is_held_up = False
