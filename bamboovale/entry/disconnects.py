"""Detects callers that disconnect while their request waits or runs.

A thread that waits for a permit or an engine does not read the caller's socket. Without
this, engines would go on with abandoned requests, and callers that time out and retry
at overload would add to the load.
"""

import contextlib
import select
import socket
import threading
from collections.abc import Callable, Iterator

from bamboovale.http1.sockets import has_ended

POLL_S = 1.0
_DISCONNECTED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class DisconnectWatcher:
    """Watches the sockets of all waiting callers on one thread."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._callback_by_descriptor: dict[int, Callable[[], None]] = {}
        self._lock = threading.Lock()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run,
            name="disconnects",
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping = True
        if self._thread.is_alive():
            self._thread.join(timeout=2 * POLL_S)
        self._epoll.close()

    @contextlib.contextmanager
    def watch(
        self,
        caller: socket.socket | None,
        on_disconnect: Callable[[], None],
    ) -> Iterator[None]:
        """Call ``on_disconnect`` if the caller disconnects within the block.

        It is called at most once: here if the caller has left already, else on the
        watcher's thread. The former guards against requests that are sent before that
        thread runs, for callers that left while theirs waited for a thread.
        """
        if caller is None or caller.fileno() < 0:
            yield
            return
        if has_ended(caller):
            on_disconnect()
            yield
            return
        descriptor = caller.fileno()
        with self._lock:
            self._callback_by_descriptor[descriptor] = on_disconnect
            self._epoll.register(descriptor, _DISCONNECTED | select.EPOLLONESHOT)
        try:
            yield
        finally:
            with self._lock:
                self._callback_by_descriptor.pop(descriptor, None)
                with contextlib.suppress(OSError):
                    self._epoll.unregister(descriptor)

    def _run(self) -> None:
        while not self._stopping:
            for descriptor, _ in self._epoll.poll(POLL_S):
                with self._lock:
                    callback = self._callback_by_descriptor.pop(descriptor, None)
                if callback is not None:
                    callback()
