"""Whether a record that is missing in the metadata store means a missing endpoint."""

import math
from collections.abc import Callable

RETURN_S = 2.5
"""Records that lapsed in an outage are back within two seconds of its end."""
SETTLED_S = 2.0
"""For so long the word of a VM holds that the store is settled: readers give it twice a
second, and it takes some steps."""


class StoreWatch:
    """Tells an outage of the store from a cut between it and this VM alone.

    The store is settled for a VM that reads it while no read has failed for
    ``RETURN_S``. One such VM speaks for all: endpoints reach the store as it does.
    A failed read of our own counts until the next such word, which may be ours.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._answered_since: float | None = None
        self._answered_at = -math.inf
        self._failed_at = -math.inf
        self._settled_at = -math.inf
        self._on_settled: list[Callable[[], None]] = []

    def listen(self, on_settled: Callable[[], None]) -> None:
        """Call this with each word that the store is settled."""
        self._on_settled.append(on_settled)

    def on_read(self) -> bool:
        """Note that a read of ours was answered; tell whether the store is settled."""
        self._answered_at = self._now()
        if self._answered_since is None:
            self._answered_since = self._answered_at
        return self._answered_at - self._answered_since >= RETURN_S

    def on_read_failed(self) -> None:
        """Note that a read of ours failed."""
        self._answered_since = None
        self._failed_at = self._now()

    def on_settled(self) -> None:
        """Take the word of a VM, perhaps ours, that the store is settled."""
        self._settled_at = self._now()
        for listener in self._on_settled:
            listener()

    def is_settled(self) -> bool:
        """Tell whether an endpoint is gone whose record is."""
        now = self._now()
        if self._settled_at > self._failed_at and now - self._settled_at <= SETTLED_S:
            return True
        return now - self._answered_at <= SETTLED_S and self._reads_settled(now)

    def _reads_settled(self, now: float) -> bool:
        """Tell whether our own reads go on for long enough.

        A VM that has just started knows only endpoints whose records it has read.
        """
        if self._answered_since is None:
            return False
        return math.isinf(self._failed_at) or now - self._answered_since >= RETURN_S

    def settled_s_ago(self) -> float:
        """Return the age of the last word that the store is settled, in seconds."""
        return self._now() - self._settled_at

    def read_failed_s_ago(self) -> float:
        """Return how long ago a read of ours failed, in seconds."""
        return self._now() - self._failed_at
