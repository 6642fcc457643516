"""Whether a record that is missing in the metadata store means a missing endpoint."""

import math
from collections.abc import Callable

RETURN_S = 2.5
"""Records that lapsed in an outage are back within two seconds of its end."""
SILENT_S = 2.0
"""Without an answer of the store to any VM for so long it counts as away, and so long a
VM's word holds that the store is settled. Several VMs read it twice a second, and the
news of an answer takes some steps."""


class StoreWatch:
    """Tells an outage of the store from a cut between it and this VM alone.

    The store is settled once it has answered VMs for ``RETURN_S`` without a silence,
    and without a failed read of ours. A VM whose own reads have gone well for so long
    also gives its word, which counts where ours fail: endpoints reach the store as that
    VM does. A failure counts until the next word.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._answered_since = -math.inf
        self._answered_at = -math.inf
        self._read_since: float | None = None
        self._failed_at = -math.inf
        self._failed_since_answer = False
        self._settled_at = -math.inf
        self._on_settled: list[Callable[[], None]] = []

    def listen(self, on_settled: Callable[[], None]) -> None:
        """Call this with each word that the store is settled."""
        self._on_settled.append(on_settled)

    def on_answer(self) -> None:
        """Note that the store has answered a VM, perhaps us.

        The first answer that we hear of ends no silence: a VM that has just started
        knows only endpoints whose records are there.
        """
        now = self._now()
        was_silent = SILENT_S < now - self._answered_at < math.inf
        if was_silent or self._failed_since_answer:
            self._answered_since = now
        self._answered_at = now
        self._failed_since_answer = False

    def on_read(self) -> bool:
        """Note that a read of ours was answered; tell whether we give our word."""
        now = self._now()
        if self._read_since is None:
            self._read_since = now
        return now - self._read_since >= RETURN_S

    def on_read_failed(self) -> None:
        """Note that a read of ours failed."""
        self._read_since = None
        self._failed_at = self._now()
        self._failed_since_answer = True

    def on_settled(self) -> None:
        """Take the word of a VM, perhaps ours, that the store is settled."""
        self._settled_at = self._now()
        for listener in self._on_settled:
            listener()

    def is_settled(self) -> bool:
        """Tell whether an endpoint is gone whose record is."""
        now = self._now()
        if self._settled_at > self._failed_at and now - self._settled_at <= SILENT_S:
            return True
        if now - self._answered_at > SILENT_S or self._failed_since_answer:
            return False
        return now - self._answered_since >= RETURN_S

    def settled_s_ago(self) -> float:
        """Return the age of the last word that the store is settled, in seconds."""
        return self._now() - self._settled_at

    def read_failed_s_ago(self) -> float:
        """Return how long ago a read of ours failed, in seconds."""
        return self._now() - self._failed_at
