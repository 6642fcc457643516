"""Decides when to ping a peer and when to call it silent; no sockets, no clock.

Guards against a peer that is frozen, cut off one way or no longer reads: TCP reports
none of these for minutes, while every request to it would wait for its timeout. Any
frame back after a ping shows both directions and the peer's event loop to be alive.

Only the side that opened the link pings, often while a request of its waits for a
reply and seldom otherwise: pinging every link from both ends every 0.7 s took 0.1% of
a core for each peer (``docs/design/peers.md``). All times are seconds, monotonic.
"""

from enum import Enum, auto

# How often all links are looked at, in one turn of one timer.
SWEEP_S = 0.25

# How long a peer that owes a reply can be silent unseen: a sweep until the first look,
# the timeout, and a sweep until it is noticed. That is below two seconds.
PING_INTERVAL_S = 0.5
PING_TIMEOUT_S = 1.0

# A notice may be lost, so a link without open requests may be dead for a while.
IDLE_PING_INTERVAL_S = 10.0

# The called side hears at least a ping in this time. The rest is for a late sweep.
CALLED_SILENCE_S = IDLE_PING_INTERVAL_S + 2 * PING_TIMEOUT_S


class KeepaliveAction(Enum):
    """What a look at the link asks for."""

    NOTHING = auto()
    PING = auto()
    SILENT = auto()


class Keepalive:
    """What is known about the peer's life, on the side that opened the link."""

    def __init__(self, now: float) -> None:
        self.round_trip_s = 0.0
        self._last_ping_at = now
        self._unanswered_since: float | None = None

    def note_received(self, now: float) -> None:
        """Note that a frame came in, whichever it was."""
        if self._unanswered_since is not None:
            self.round_trip_s = now - self._unanswered_since
            self._unanswered_since = None

    def check(
        self, now: float, *, awaiting_reply: bool, lag_s: float
    ) -> KeepaliveAction:
        """Return what to do now; ``lag_s`` is how much too late the look is.

        A pause of our own process is not the peer's silence: its answer may lie in
        our socket unread, so the time that we slept is not counted.
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
