"""When an engine may begin to read another prompt without holding up its streams.

Load pattern: prompts that arrive in clumps. An engine reads prompts in pieces between
the tokens of its running streams. A few prompts begun together make several steps in a
row long, and every stream of the batch pauses for longer than its route allows: one
clump spoils all of them, while its own first events would have been in time had they
waited a little.

Of any stretch as long as the allowed pause, reading may take only what the steps of one
event leave. Prompts that would take more wait; nothing is held back while the engine
has read little of late. A prompt that is longer than that by itself begins once the
stretch before it is free.

Without it 0.58 of what a heavy day could earn was served, with it 0.77, at 6.5 prompts
a second and engine with a pause of 0.3 s.
"""

from collections import deque
from dataclasses import dataclass

from bamboovale.decisions.prefill_speed import PrefillSpeed
from bamboovale.decisions.stall_detector import StallDetector

PAUSE_SHARE = 0.8
"""Of the allowed pause, what reading may take: three steps of an event take a tenth to
a seventh of it, the rest is for what the estimate of a prompt's reading misses. With
0.6 heavy days served 0.03 less of their worth; 0.72 and 0.85 made no difference."""
CLEAR_SHARE = 0.15
"""Of the allowed pause, for how long nothing is read before a prompt that takes more
than its share by itself: running streams get an event in between."""
LOOK_AGAIN_S = 0.003
"""Rounding and timers: looked at again no sooner than this."""
KEPT_S = 2.0
"""Spans that ended longer ago than any allowed pause are of no use."""


@dataclass
class _Span:
    """A prompt's reading as expected, found by ``ask_id`` at its first event."""

    ask_id: str
    tokens: int
    granted_at: float
    starts_at: float
    ends_at: float


class PromptPacing:
    """What one engine has read lately and reads now; times on its owner's clock.

    ``pool_held_up`` tells that reading holds up the streams of a part of the pool's
    engines: they are alike, and each would spoil a batch of its own to learn it.
    """

    def __init__(self) -> None:
        self.speed = PrefillSpeed()
        self.stall_detector = StallDetector()
        self.pool_stalled = False
        self._spans: deque[_Span] = deque()

    def prefill_s(self, tokens: int) -> float:
        """Return how long the engine reads a prompt."""
        return self.speed.prefill_s(tokens)

    def prefill_ends_at(self, now: float) -> float:
        """Return when everything granted so far should be read."""
        return max(now, self._spans[-1].ends_at) if self._spans else now

    def backlog_s(self, queued_tokens: int, now: float) -> float:
        """Return how long a prompt waits behind what is read and queued.

        Unpaced, those in the queue wait for their adapters, and nobody behind them.
        """
        left_s = self.prefill_ends_at(now) - now
        if not self.is_on():
            return left_s
        return left_s + self.prefill_s(queued_tokens) / PAUSE_SHARE

    def is_on(self) -> bool:
        """Tell whether prompts wait: reading holds streams up here or in the pool."""
        return self.pool_stalled or self.stall_detector.is_stalled()

    def on_stall(self, pause_s: float, now: float) -> None:
        """Take word that a stream has just paused for long."""
        read_s = self._read_between(now - pause_s, now)
        self.stall_detector.on_stall(pause_s, read_s, now)

    def wait_s(self, tokens: int, pause_s: float | None, now: float) -> float:
        """Return how long a prompt waits so that no stream pauses too long."""
        if pause_s is None or not self._spans or not self.is_on():
            return 0.0
        prefill_s = self.prefill_s(tokens)
        spare_s = PAUSE_SHARE * pause_s - prefill_s
        if spare_s < 0.0:
            clear_at = self.prefill_ends_at(now) + CLEAR_SHARE * pause_s
            idle = self._spans[-1].ends_at + CLEAR_SHARE * pause_s <= now
            return 0.0 if idle else max(LOOK_AGAIN_S, clear_at - now)
        return self._wait_for_spare(spare_s, pause_s - prefill_s, now)

    def _wait_for_spare(self, spare_s: float, behind_s: float, now: float) -> float:
        """Return when the stretch of ``behind_s`` before a prompt holds little enough.

        Its own reading follows what is granted already; the stretch moves on until the
        reading in it fits into ``spare_s``.
        """
        start = self.prefill_ends_at(now)
        begins = start - behind_s
        over_s = self._read_between(begins, start) - spare_s
        if over_s <= 0.0:
            return 0.0
        for span in self._spans:
            inside_s = span.ends_at - max(begins, span.starts_at)
            if inside_s <= 0.0:
                continue
            if inside_s >= over_s:
                begins = max(begins, span.starts_at) + over_s
                break
            over_s -= inside_s
            begins = span.ends_at
        return max(LOOK_AGAIN_S, begins + behind_s - now)

    def _read_between(self, begins: float, ends: float) -> float:
        return sum(
            max(0.0, min(ends, span.ends_at) - max(begins, span.starts_at))
            for span in self._spans
        )

    def on_granted(self, ask_id: str, tokens: int, now: float) -> None:
        """Count a prompt that is sent now."""
        while self._spans and now - self._spans[0].ends_at > KEPT_S:
            self._spans.popleft()
        starts_at = self.prefill_ends_at(now)
        ends_at = starts_at + self.prefill_s(tokens)
        self._spans.append(_Span(ask_id, tokens, now, starts_at, ends_at))

    def on_refused(self, ask_id: str) -> None:
        """Forget a prompt that the engine did not read."""
        self._spans = deque(span for span in self._spans if span.ask_id != ask_id)

    def on_first_event(self, ask_id: str, now: float) -> None:
        """Learn from a first event how fast the engine reads.

        Only from a prompt that was read alone: others share its steps, and all of a
        step's tokens come at its end.
        """
        self.stall_detector.on_stream(now)
        if not self.pool_stalled:
            self.stall_detector.reset_if_old(now)
        if not self._spans:
            return
        last = self._spans[-1]
        if last.ask_id == ask_id and last.starts_at <= last.granted_at:
            self.speed.add(last.tokens, now - last.granted_at)
