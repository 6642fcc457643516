"""Keepalive of links: when to ping a peer and when it is silent; no sockets, no clock.

Guards against a peer that is frozen, unreachable in one direction or no longer reads:
TCP detects none of these for minutes, and each request would wait for its timeout. Any
frame received after a ping proves that both directions and the peer work.

Only the side that opened the link sends pings: often while a request is in flight,
rarely otherwise, as pings on idle links cost processor time for every peer. All times
are in seconds of a monotonic clock.
"""

from enum import Enum, auto

# Interval of the checks of all links.
SWEEP_INTERVAL_S = 0.25

# A silent peer with a request in flight is detected within the ping interval, the
# timeout and two sweeps.
PING_INTERVAL_S = 0.5
PING_TIMEOUT_S = 1.0

# Without requests in flight late detection is harmless, as notices are best effort.
IDLE_PING_INTERVAL_S = 10.0

# The peer sends at least one ping in this time; the margin is for late sweeps.
INCOMING_SILENCE_S = IDLE_PING_INTERVAL_S + 2 * PING_TIMEOUT_S


class KeepaliveAction(Enum):
    """Action that a check of a link calls for."""

    NOTHING = auto()
    PING = auto()
    SILENT = auto()


class Keepalive:
    """Keepalive state of one link, on the side that opened it."""

    def __init__(self, now: float) -> None:
        self.round_trip_s = 0.0
        self._last_ping_at = now
        self._unanswered_since: float | None = None

    def note_received(self, now: float) -> None:
        """Note that a frame of any kind has arrived."""
        if self._unanswered_since is not None:
            self.round_trip_s = now - self._unanswered_since
            self._unanswered_since = None

    def check(
        self, now: float, *, awaiting_reply: bool, lag_s: float
    ) -> KeepaliveAction:
        """Return what to do now; ``lag_s`` is the delay of this check.

        The delay does not count as silence of the peer: its answer may be unread in our
        socket.
        """
        if self._unanswered_since is not None:
            self._unanswered_since += lag_s
            silent = now - self._unanswered_since > PING_TIMEOUT_S
            return KeepaliveAction.SILENT if silent else KeepaliveAction.NOTHING
        interval = PING_INTERVAL_S if awaiting_reply else IDLE_PING_INTERVAL_S
        if now - self._last_ping_at < interval:
            return KeepaliveAction.NOTHING
        self._last_ping_at = now
        self._unanswered_since = now
        return KeepaliveAction.PING
