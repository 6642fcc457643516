"""Watches one attempt at an endpoint: whether its answer has begun."""

from collections.abc import Callable

BEGUN_AFTER_S = 0.25
"""From the first event to when the answer counts as begun: an endpoint may still send
what it has while it crashes."""


class AttemptWatch:
    """Calls ``on_begun`` once the answer has begun, ``on_whole`` when it is whole.

    An attempt that goes on with the answer of an earlier one is never whole by itself.
    ``on_heard`` is called with each sign of life of the endpoint.
    """

    def __init__(
        self,
        now: Callable[[], float],
        on_heard: Callable[[], None],
        on_begun: Callable[[], None],
        on_whole: Callable[[], None],
    ) -> None:
        self.has_begun = False
        self._now = now
        self._on_heard = on_heard
        self._on_begun = on_begun
        self._on_whole = on_whole
        self._first_at: float | None = None
        self._is_failure = False
        self._goes_on = False

    def on_event(self) -> None:
        """Apply an event of the answer."""
        self._on_heard()
        now = self._now()
        if self._first_at is None:
            self._first_at = now
        elif now - self._first_at >= BEGUN_AFTER_S:
            self._begin()

    def on_failure(self) -> None:
        """Apply that the endpoint answers that it failed, perhaps before it began."""
        self._on_heard()
        self._is_failure = True

    def on_going_on(self) -> None:
        """Apply that the endpoint gets the rest of a request only."""
        self._goes_on = True

    def on_whole(self) -> None:
        """Apply that the answer is whole."""
        self._on_heard()
        if self._is_failure:
            return
        self._begin()
        if not self._goes_on:
            self._on_whole()

    def _begin(self) -> None:
        if not self.has_begun:
            self.has_begun = True
            self._on_begun()
