"""Outage detection for the metadata store, to tell expired from removed records."""

import math
from collections.abc import Callable

RENEWAL_S = 2.5
"""Time after an outage in which endpoints renew records that expired in it."""
SILENCE_S = 2.0
"""Time without an answer of the store to any VM after which it counts as unreachable,
and time for which a VM's report that the store is settled is valid."""


class StoreWatch:
    """Distinguishes an outage of the store from a cut between it and this VM.

    The store is settled once it has answered VMs for ``RENEWAL_S`` without a silence or
    a failed read of this VM. A VM whose reads succeeded for that time also reports the
    store as settled to the others. Such a report is valid until the receiver's next
    failed read, as endpoints can reach the store if the reporting VM can.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._answered_since = -math.inf
        self._answered_at = -math.inf
        self._reads_ok_since: float | None = None
        self._has_shown_settled = False
        self._failed_at = -math.inf
        self._failed_since_answer = False
        self._settled_at = -math.inf
        self._returned_at = -math.inf
        self._on_settled: list[Callable[[], None]] = []

    def listen(self, on_settled: Callable[[], None]) -> None:
        """Call a listener with each report that the store is settled."""
        self._on_settled.append(on_settled)

    def on_answer(self) -> None:
        """Record that the store answered a VM, maybe this one.

        The first answer does not count as the end of an outage: a VM that has just
        started knows only endpoints whose records exist.
        """
        now = self._now()
        was_silent = SILENCE_S < now - self._answered_at < math.inf
        if was_silent or self._failed_since_answer:
            self._answered_since = now
        self._answered_at = now
        self._failed_since_answer = False

    def on_read(self) -> bool:
        """Record an answered read; return whether to report the store as settled."""
        now = self._now()
        if self._reads_ok_since is None:
            self._reads_ok_since = now
        self._has_shown_settled = now - self._reads_ok_since >= RENEWAL_S
        return self._has_shown_settled

    def settles_in_s(self) -> float | None:
        """Return after how long this VM's next read shows that the store is settled.

        None without an answered read, and once a read has shown it.
        """
        if self._reads_ok_since is None or self._has_shown_settled:
            return None
        return max(0.0, self._reads_ok_since + RENEWAL_S - self._now())

    def on_read_failed(self) -> None:
        """Record that a read of this VM failed."""
        self._reads_ok_since = None
        self._has_shown_settled = False
        self._failed_at = self._now()
        self._failed_since_answer = True

    def on_returned(self) -> None:
        """Apply that the store has returned from an older copy, as after an outage."""
        self._returned_at = self._now()
        self._settled_at = -math.inf
        self.on_read_failed()

    def on_settled(self) -> None:
        """Apply the report of a VM, maybe this one, that the store is settled.

        A VM that has not heard of a return yet may still say so.
        """
        if self._now() - self._returned_at < RENEWAL_S:
            return
        self._settled_at = self._now()
        for listener in self._on_settled:
            listener()

    def is_settled(self) -> bool:
        """Return whether a missing record means that its endpoint is gone."""
        now = self._now()
        if self._settled_at > self._failed_at and now - self._settled_at <= SILENCE_S:
            return True
        if now - self._answered_at > SILENCE_S or self._failed_since_answer:
            return False
        return now - self._answered_since >= RENEWAL_S

    def settled_s_ago(self) -> float:
        """Return the age of the last report that the store is settled, in seconds."""
        return self._now() - self._settled_at

    def read_failed_s_ago(self) -> float:
        """Return the seconds since a read of this VM failed."""
        return self._now() - self._failed_at
