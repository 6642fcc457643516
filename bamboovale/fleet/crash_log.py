"""What the VMs have told one another of crashes, in a bounded number of rows."""

from collections import Counter, OrderedDict
from collections.abc import Iterator
from itertools import islice

from bamboovale.fleet.changes import ChangeLog
from bamboovale.fleet.membership import Change
from bamboovale.fleet.messages import (
    CrashedEndpoint,
    CrashNews,
    SoundRequest,
    SuspectRequest,
)

MAX_BY_KIND: dict[type, int] = {
    SuspectRequest: 512,
    CrashedEndpoint: 128,
    SoundRequest: 256,
}
"""Rows kept of each kind, for VMs that start later."""
OLDEST = 64
"""Rows among which the one to drop is chosen."""


class CrashLog:
    """The rows that this VM knows; each is forwarded once, by the change log."""

    def __init__(self, changes: ChangeLog[Change]) -> None:
        self._changes = changes
        self._known_by_kind: dict[type, OrderedDict[CrashNews, None]] = {
            kind: OrderedDict() for kind in MAX_BY_KIND
        }
        self._crashes_by_request: Counter[str] = Counter()

    def note(self, news: CrashNews) -> bool:
        """Forward a row; False if it is known."""
        known = self._known_by_kind[type(news)]
        if news in known:
            return False
        known[news] = None
        if isinstance(news, SuspectRequest):
            self._crashes_by_request[news.fingerprint] += 1
        self._changes.put(("crash", news), news)
        if len(known) > MAX_BY_KIND[type(news)]:
            self._drop_one(known)
        return True

    def __iter__(self) -> Iterator[CrashNews]:
        return (news for known in self._known_by_kind.values() for news in known)

    def _drop_one(self, known: OrderedDict[CrashNews, None]) -> None:
        """Drop an old row, one of a suspect of few crashes if there is any."""
        dropped = min(islice(known, OLDEST), key=self._crashes_of)
        del known[dropped]
        self._changes.drop(("crash", dropped))
        if isinstance(dropped, SuspectRequest):
            self._crashes_by_request[dropped.fingerprint] -= 1
            if not self._crashes_by_request[dropped.fingerprint]:
                del self._crashes_by_request[dropped.fingerprint]

    def _crashes_of(self, news: CrashNews) -> int:
        if isinstance(news, SuspectRequest):
            return self._crashes_by_request[news.fingerprint]
        return 0
