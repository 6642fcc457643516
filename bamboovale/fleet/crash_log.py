"""What the VMs have told one another of crashes, in a bounded number of rows."""

from collections import OrderedDict
from collections.abc import Iterator

from bamboovale.fleet.changes import ChangeLog
from bamboovale.fleet.membership import Change
from bamboovale.fleet.messages import CrashedEndpoint, CrashNews, SuspectRequest

MAX_BY_KIND: dict[type, int] = {SuspectRequest: 256, CrashedEndpoint: 128}
"""Rows kept of each kind, for VMs that start later; the oldest go first."""


class CrashLog:
    """The rows that this VM knows; each is forwarded once, by the change log."""

    def __init__(self, changes: ChangeLog[Change]) -> None:
        self._changes = changes
        self._known_by_kind: dict[type, OrderedDict[CrashNews, None]] = {
            kind: OrderedDict() for kind in MAX_BY_KIND
        }

    def note(self, news: CrashNews) -> bool:
        """Forward a row; False if it is known."""
        known = self._known_by_kind[type(news)]
        if news in known:
            return False
        known[news] = None
        self._changes.put(("crash", news), news)
        if len(known) > MAX_BY_KIND[type(news)]:
            oldest, _ = known.popitem(last=False)
            self._changes.drop(("crash", oldest))
        return True

    def __iter__(self) -> Iterator[CrashNews]:
        return (news for known in self._known_by_kind.values() for news in known)
