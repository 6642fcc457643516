"""Watches one attempt at an endpoint: whether its answer has begun."""

from collections.abc import Callable

BEGUN_AFTER_S = 0.25
"""From the first event to when the answer counts as begun: an endpoint may still send
what it has while it crashes."""


class AttemptWatch:
    """``on_begun`` is called once, when the answer counts as begun."""

    def __init__(self, now: Callable[[], float], on_begun: Callable[[], None]) -> None:
        self.has_begun = False
        self._now = now
        self._on_begun = on_begun
        self._first_at: float | None = None
        self._is_failure = False

    def on_event(self) -> None:
        """Apply an event of the answer."""
        now = self._now()
        if self._first_at is None:
            self._first_at = now
        elif now - self._first_at >= BEGUN_AFTER_S:
            self.on_whole()

    def on_failure(self) -> None:
        """Apply that the endpoint answers that it failed, perhaps before it began."""
        self._is_failure = True

    def on_whole(self) -> None:
        """Apply that the answer is whole."""
        if not self.has_begun and not self._is_failure:
            self.has_begun = True
            self._on_begun()
