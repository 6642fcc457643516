"""Delays the prefill of prompts so that it does not stall running streams.

An engine processes prompts in chunks between the tokens of its running streams. Several
prompts at once make consecutive steps long, so that all streams of the batch stall for
longer than their routes allow.

In any time window as long as the allowed pause, prefill may take only what the steps of
one event leave. Prompts that would take more wait; none waits while there was little
prefill recently. A prompt that exceeds the share by itself starts after a window
without prefill.
"""

from collections import deque
from dataclasses import dataclass

from bamboovale.decisions.prefill_speed import PrefillSpeed
from bamboovale.decisions.stall_detector import StallDetector

PAUSE_SHARE = 0.8
"""Share of the allowed pause for prefill; the rest is for steps and for errors of the
estimate."""
GAP_SHARE = 0.15
"""Share of the allowed pause without prefill before a long prompt, in which running
streams get an event."""
MIN_WAIT_S = 0.003
"""Shortest wait before the next decision."""
SPAN_RETENTION_S = 2.0
"""Longer than any allowed pause."""


@dataclass
class _PrefillSpan:
    """The expected prefill of a prompt, found by ``ask_id`` at its first event."""

    ask_id: str
    tokens: int
    granted_at: float
    starts_at: float
    ends_at: float


class PromptPacing:
    """Recent and pending prefill of one engine; times on its owner's clock.

    ``pool_stalled`` is True while prefill stalls the streams of many engines of the
    pool.
    """

    def __init__(self) -> None:
        self.speed = PrefillSpeed()
        self.stall_detector = StallDetector()
        self.pool_stalled = False
        self._spans: deque[_PrefillSpan] = deque()

    def prefill_s(self, tokens: int) -> float:
        """Return the expected prefill time of a prompt."""
        return self.speed.prefill_s(tokens)

    def prefill_ends_at(self, now: float) -> float:
        """Return when the prefill of all granted prompts should end."""
        return max(now, self._spans[-1].ends_at) if self._spans else now

    def backlog_s(self, queued_tokens: int, now: float) -> float:
        """Return how long a new prompt waits for pending and queued prefill.

        Without pacing, queued prompts wait for their adapters and delay no others.
        """
        left_s = self.prefill_ends_at(now) - now
        if not self.is_on():
            return left_s
        return left_s + self.prefill_s(queued_tokens) / PAUSE_SHARE

    def is_on(self) -> bool:
        """Return whether prompts are paced, for this engine or its pool."""
        return self.pool_stalled or self.stall_detector.is_stalled()

    def on_stall(self, pause_s: float, now: float) -> None:
        """Record that a stream has just stalled for ``pause_s``."""
        prefill_s_in_stall = self._prefill_between(now - pause_s, now)
        self.stall_detector.on_stall(pause_s, prefill_s_in_stall, now)

    def wait_s(self, tokens: int, pause_s: float | None, now: float) -> float:
        """Return how long a prompt waits so that no stream stalls too long."""
        if pause_s is None or not self._spans or not self.is_on():
            return 0.0
        prefill_s = self.prefill_s(tokens)
        spare_s = PAUSE_SHARE * pause_s - prefill_s
        if spare_s < 0.0:
            gap_ends_at = self.prefill_ends_at(now) + GAP_SHARE * pause_s
            had_gap = self._spans[-1].ends_at + GAP_SHARE * pause_s <= now
            return 0.0 if had_gap else max(MIN_WAIT_S, gap_ends_at - now)
        return self._wait_for_window(spare_s, pause_s - prefill_s, now)

    def _wait_for_window(self, spare_s: float, before_s: float, now: float) -> float:
        """Return the wait until the window before a prompt holds little enough prefill.

        The prompt follows all granted ones. The window of ``before_s`` moves on until
        its prefill fits into ``spare_s``.
        """
        prefill_start = self.prefill_ends_at(now)
        window_start = prefill_start - before_s
        excess_s = self._prefill_between(window_start, prefill_start) - spare_s
        if excess_s <= 0.0:
            return 0.0
        for span in self._spans:
            overlap_s = span.ends_at - max(window_start, span.starts_at)
            if overlap_s <= 0.0:
                continue
            if overlap_s >= excess_s:
                window_start = max(window_start, span.starts_at) + excess_s
                break
            excess_s -= overlap_s
            window_start = span.ends_at
        return max(MIN_WAIT_S, window_start + before_s - now)

    def _prefill_between(self, window_start: float, window_end: float) -> float:
        return sum(
            max(0.0, min(window_end, span.ends_at) - max(window_start, span.starts_at))
            for span in self._spans
        )

    def on_granted(self, ask_id: str, tokens: int, now: float) -> None:
        """Add the prefill of a prompt that is sent now."""
        while self._spans and now - self._spans[0].ends_at > SPAN_RETENTION_S:
            self._spans.popleft()
        starts_at = self.prefill_ends_at(now)
        ends_at = starts_at + self.prefill_s(tokens)
        self._spans.append(_PrefillSpan(ask_id, tokens, now, starts_at, ends_at))

    def on_refused(self, ask_id: str) -> None:
        """Remove a prompt that the engine refused."""
        self._spans = deque(span for span in self._spans if span.ask_id != ask_id)

    def on_first_event(self, ask_id: str, now: float) -> None:
        """Update the prefill speed by a first event.

        Only a prompt without concurrent prefill counts: others share its steps, whose
        tokens all arrive at the end.
        """
        self.stall_detector.on_stream(now)
        if not self.pool_stalled:
            self.stall_detector.reset_if_old(now)
        if not self._spans:
            return
        last = self._spans[-1]
        if last.ask_id == ask_id and last.starts_at <= last.granted_at:
            self.speed.add(last.tokens, now - last.granted_at)
