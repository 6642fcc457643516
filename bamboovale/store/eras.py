"""The era of the metadata store, which rises when it returns from an older copy."""

import math
from collections.abc import Callable

from bamboovale.gateway.journal import Journal

REWRITE_S = 2.0
"""Time after a return in which the operator and the endpoints write their lost records
again: until then the store's answers do not show that there is nothing newer."""


class StoreEras:
    """The newest era that this VM has heard of, from the store or from another VM.

    Listeners are called with each rise but the first word. Times are monotonic, in
    seconds.
    """

    def __init__(self, journal: Journal, now: Callable[[], float]) -> None:
        self.returns = 0
        self._journal = journal
        self._now = now
        self._era: int | None = None
        self._returned_at = -math.inf
        self._doubted_since = -math.inf
        self._listeners: list[Callable[[], None]] = []

    @property
    def current(self) -> int:
        """Return the newest era, 0 if none was named."""
        return self._era or 0

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever the store has returned from an older copy."""
        self._listeners.append(listener)

    def observe(self, era: int, origin: str) -> bool:
        """Apply an era that was heard; False if it is over.

        ``origin`` is ``store`` or ``peer``.
        """
        before = self._era
        if before is not None and era <= before:
            return era == before
        self._era = era
        if era > 0:
            # The first era heard may have begun just before this VM started.
            self._doubted_since = self._now()
        if before is None:
            self._journal.write("store_era", era=era, origin=origin)
        else:
            self._on_return(before, origin)
        return True

    def is_rewritten(self) -> bool:
        """Return whether what a return has lost is expected to be written again."""
        return self._now() - self._doubted_since >= REWRITE_S

    def returned_s_ago(self) -> float:
        """Return the seconds since the last return, infinite without one."""
        return self._now() - self._returned_at

    def _on_return(self, before: int, origin: str) -> None:
        self.returns += 1
        self._returned_at = self._now()
        self._journal.write(
            "store_returned", era=self._era, before=before, origin=origin
        )
        for listener in self._listeners:
            listener()
