"""Options and state of TCP sockets, as far as the kernel tells it."""

import contextlib
import fcntl
import select
import socket
import struct
import sys
import termios
from typing import Any

DEAD_AFTER_S = 3
"""Silence of a peer after which its connection is closed, as in a network partition;
TCP alone would wait for minutes. Longer than the pause of a sound peer."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = (DEAD_AFTER_S - KEEPALIVE_IDLE_S) // KEEPALIVE_INTERVAL_S
"""Counts only without TCP_USER_TIMEOUT, which else decides when probes give up."""
USER_TIMEOUT_MS = 1000 * DEAD_AFTER_S
"""Bounds unacknowledged data, unanswered probes, and a window that stays closed."""
CLOSED_ERRORS = (OSError, ValueError)
"""Raised by the options of a socket that is closed; the second one by uvloop's."""
RESET_AT_ONCE = struct.pack("ii", 1, 0)
"""SO_LINGER on, with no time for what is unsent."""
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)
"""SO_LINGER off."""
TCP_CLOSE = 7
"""The kernel's state, the first byte of its ``tcp_info``."""
LAST_DATA_RECEIVED = struct.Struct("@52xI")
"""Its place in the kernel's ``tcp_info``, in milliseconds."""
TCP_INFO_BYTES = LAST_DATA_RECEIVED.size
SOCKET_BUFFER_BYTES = 128 * 1024
"""What the kernel may hold of one connection in each direction."""


def reset_on_close(sock: Any) -> None:
    """Have a socket drop unsent bytes and reset its connection when it is closed."""
    _set_linger(sock, RESET_AT_ONCE)


def end_on_close(sock: Any) -> None:
    """Have a socket send what is unsent and end its connection when it is closed."""
    _set_linger(sock, CLOSE_IN_ORDER)


def _set_linger(sock: Any, linger: bytes) -> None:
    if sock is not None and hasattr(sock, "setsockopt"):
        with contextlib.suppress(*CLOSED_ERRORS):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def keep_slow_peer(connected: Any) -> None:
    """Never close a socket as its peer takes few bytes, also not after an exit."""
    if not hasattr(connected, "setsockopt"):
        return
    with contextlib.suppress(*CLOSED_ERRORS):
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)


def set_send_buffer(connected: Any, size: int = SOCKET_BUFFER_BYTES) -> None:
    """Have the kernel hold up to so many bytes that the peer has not taken."""
    _set_buffer(connected, socket.SO_SNDBUF, size)


def set_receive_buffer(connected: Any, size: int = SOCKET_BUFFER_BYTES) -> None:
    """Have the kernel hold up to so many bytes that the loop has not read."""
    _set_buffer(connected, socket.SO_RCVBUF, size)


def set_socket_buffers(listener: Any, receive_bytes: int = SOCKET_BUFFER_BYTES) -> None:
    """Bound what the kernel holds of each connection that a socket accepts.

    Guards against buffers that the kernel enlarges for many slow peers at once.
    """
    set_send_buffer(listener)
    set_receive_buffer(listener, receive_bytes)


def _set_buffer(connected: Any, option: int, size: int) -> None:
    if hasattr(connected, "setsockopt"):
        with contextlib.suppress(*CLOSED_ERRORS):
            connected.setsockopt(socket.SOL_SOCKET, option, size)


def unsent_in_kernel(connected: Any) -> int:
    """Return how many bytes given to the kernel the peer has not taken."""
    return _queued(connected, termios.TIOCOUTQ)


def unread_bytes(connected: Any) -> int:
    """Return how many received bytes of a socket the loop has not read yet.

    Guards against closing a connection with a request on it: a late loop may come to
    its timers before it reads.
    """
    return _queued(connected, termios.FIONREAD)


def _queued(connected: Any, request: int) -> int:
    """Return the length of one of a socket's queues, in bytes."""
    if not hasattr(connected, "fileno"):
        return 0
    size = bytearray(struct.calcsize("i"))
    with contextlib.suppress(*CLOSED_ERRORS):
        fcntl.ioctl(connected.fileno(), request, size)
    return int.from_bytes(size, sys.byteorder)


def has_ended(connected: Any) -> bool:
    """Return whether the peer of a socket has closed or reset its connection.

    By the kernel, also where the loop has not read that yet.
    """
    if not hasattr(connected, "fileno"):
        return False
    poll = select.poll()
    with contextlib.suppress(*CLOSED_ERRORS):
        poll.register(connected.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))
    return False


def is_reset(connected: Any) -> bool:
    """Return whether the connection of a socket is over in both directions.

    By the kernel, also where the error was told to an earlier call. False where the
    kernel does not tell.
    """
    if not hasattr(connected, "getsockopt"):
        return False
    with contextlib.suppress(*CLOSED_ERRORS):
        info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        return bool(info) and info[0] == TCP_CLOSE
    return False


def silent_s(connected: Any) -> float | None:
    """Return the seconds since a socket last received data, None if not known.

    By the kernel, also for what the loop has not read. The peer's close is no data.
    """
    if not hasattr(connected, "getsockopt"):
        return None
    with contextlib.suppress(*CLOSED_ERRORS):
        info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        if len(info) == TCP_INFO_BYTES:
            silent_ms: int = LAST_DATA_RECEIVED.unpack_from(info)[0]
            return silent_ms / 1000.0
    return None


def enable_dead_peer_detection(sock: Any) -> None:
    """Enable TCP keep-alive and user timeout to detect a peer that sends no reset."""
    if sock is None or not hasattr(sock, "setsockopt"):
        return
    tcp = socket.IPPROTO_TCP
    settings = (
        (tcp, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in settings:
        with contextlib.suppress(*CLOSED_ERRORS):  # or not supported by this kernel
            sock.setsockopt(level, option, value)
