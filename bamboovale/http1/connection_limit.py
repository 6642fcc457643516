"""How many connections clients may keep open at one port."""

import math
from collections.abc import Callable, Collection
from typing import NamedTuple, Protocol

FILE_DESCRIPTORS = 200
"""Descriptors of a process that are for files."""
MOST_BACKLOG = 1024
LEAST_BACKLOG = 8
BACKLOG_SHARE = 0.25
"""Connections that may wait to be accepted, which all are in one pass of the loop, as a
part of those that may be open."""


class Wait(NamedTuple):
    """A connection's wait for its client; ``since`` is the event loop's time.

    ``has_answer`` is whether the client is to take an answer, rather than to send.
    """

    has_answer: bool
    since: float


class Droppable(Protocol):
    """An open connection."""

    def wait(self) -> Wait | None:
        """Return its wait for its client, None while its request is under way."""

    def drop(self) -> None:
        """Close it at once."""


class ConnectionLimit:
    """Makes room for new connections by closing the ones that wait longest.

    Who waits for a request goes before who has an answer to take. Guards against one
    port that takes all descriptors of the process. ``on_dropped`` is told each time.
    """

    def __init__(
        self,
        most: float = math.inf,
        on_dropped: Callable[[], None] = lambda: None,
    ) -> None:
        self.most = most
        self._on_dropped = on_dropped

    @classmethod
    def from_descriptors(
        cls, max_fds: float, share: float, on_dropped: Callable[[], None]
    ) -> "ConnectionLimit":
        """Return the limit of a port that has a share of a process's sockets."""
        return cls(share_of_sockets(max_fds, share), on_dropped)

    @property
    def backlog(self) -> int:
        """Return how many connections may wait to be accepted."""
        return int(max(LEAST_BACKLOG, min(MOST_BACKLOG, BACKLOG_SHARE * self.most)))

    def admit(self, new: Droppable, others: Collection[Droppable]) -> bool:
        """Return whether a new connection may stay; another one may have to go."""
        if len(others) < self.most:
            return True
        self._on_dropped()
        longest, dropped = None, new
        for other in others:
            wait = other.wait()
            if wait is not None and (longest is None or wait < longest):
                longest, dropped = wait, other
        dropped.drop()
        return dropped is not new


def share_of_sockets(max_fds: float, share: float) -> int:
    """Return how many of a process's sockets are for one purpose; at least one."""
    return max(1, int(share * (max_fds - FILE_DESCRIPTORS)))
