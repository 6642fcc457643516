"""Flow control of a connection's received bytes."""

from typing import Any


class FlowControl:
    """Pauses reading while more bytes wait than the connection's task has taken.

    While ``is_paused`` the peer's close is not read either.

    Guards in both directions: without a pause one peer takes memory without a bound;
    with a pause that outlasts the taking, neither the rest of a message nor the peer's
    close is read any more.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.waiting_bytes = 0
        self._limit_bytes = limit_bytes
        self._transport: Any = None
        self.is_paused = False

    def attach(self, transport: Any) -> None:
        """Control the reading of a transport."""
        self._transport = transport

    def on_received(self, size: int) -> None:
        """Count received bytes; pause reading once too many wait."""
        self.waiting_bytes += size
        if self.waiting_bytes > self._limit_bytes and not self.is_paused:
            self.is_paused = True
            self._transport.pause_reading()

    def on_taken(self, left_bytes: int = 0) -> None:
        """Apply that all bytes but some are taken; go on reading unless these are many.

        To be called before each wait for the peer, and whenever a message ends.
        """
        self.waiting_bytes = left_bytes
        if self.is_paused and left_bytes <= self._limit_bytes:
            self.is_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()
