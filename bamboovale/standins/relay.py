"""TCP relay that injects link faults by source address and direction."""

import contextlib
import socket
import struct
import threading
from collections.abc import Mapping
from enum import StrEnum
from typing import Any

from bamboovale.standins.faults import Faults
from bamboovale.standins.history import History
from bamboovale.standins.messages import Answer, Request
from bamboovale.standins.server import StandInServer, parse_address

FAULTS = (
    "refuse",
    "drop_to_target",
    "drop_to_source",
    "hold_to_target",
    "hold_to_source",
)
READ_BYTES = 1 << 16
CONNECT_TIMEOUT_S = 5.0
BACKLOG = 128
# SO_LINGER with zero timeout: close sends a reset instead of a FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(StrEnum):
    """The direction of bytes; the suffix of the fault names."""

    TO_TARGET = "to_target"
    TO_SOURCE = "to_source"


class Link:
    """One relayed connection: two sockets and a thread per direction."""

    def __init__(
        self,
        relay: "Relay",
        source: str,
        inward: socket.socket,
        outward: socket.socket,
    ) -> None:
        self.source = source
        self.lost_bytes = False
        self._is_broken = False
        self._relay = relay
        self._inward = inward
        self._outward = outward
        self._open_directions = 2

    def start(self) -> None:
        """Start the threads of both directions."""
        for direction, read_from, write_to in (
            (Direction.TO_TARGET, self._inward, self._outward),
            (Direction.TO_SOURCE, self._outward, self._inward),
        ):
            threading.Thread(
                target=self._pump,
                args=(direction, read_from, write_to),
                daemon=True,
            ).start()

    def reset(self) -> None:
        """Reset both connections."""
        # Set first: the threads wake with an empty read, and would otherwise forward
        # it as an orderly shutdown before the reset.
        self._is_broken = True
        for end in (self._inward, self._outward):
            reset(end)

    def _pump(
        self,
        direction: Direction,
        read_from: socket.socket,
        write_to: socket.socket,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = read_from.recv(READ_BYTES)
                if self._is_broken:
                    break
                self._relay.wait_while_held(self.source, direction)
                if self._relay.has_rule(f"drop_{direction}", self.source):
                    self.lost_bytes = True
                    if not data:
                        return
                    continue
                if not data:
                    write_to.shutdown(socket.SHUT_WR)
                    break
                write_to.sendall(data)
        self._finish_direction()

    def _finish_direction(self) -> None:
        self._open_directions -= 1
        if self._open_directions == 0:
            self._relay.remove_link(self)
            self._inward.close()
            self._outward.close()


class Relay:
    """Accepts connections and forwards their bytes subject to the active rules.

    ``drop_*`` silently discards bytes, like a network partition. A TCP stream cannot
    continue with a gap, so a link that lost bytes is reset once its rule is removed.
    ``hold_*`` delays bytes until the rule is removed, like a short partition that
    TCP retransmission bridges. ``refuse`` resets existing and new connections.
    """

    def __init__(
        self,
        listen: str,
        target: str,
        faults: Faults,
        history: History,
    ) -> None:
        self._target = parse_address(target)
        self._faults = faults
        self._history = history
        self._changed = threading.Condition()
        self._links: set[Link] = set()
        self._listener = socket.create_server(parse_address(listen), backlog=BACKLOG)
        faults.add_listener(self._apply_faults)

    def start(self) -> str:
        """Accept connections in a thread; return the address as HOST:PORT."""
        threading.Thread(target=self._accept, name="accept", daemon=True).start()
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def has_rule(self, rule: str, source: str) -> bool:
        """Return whether a rule applies to this source address."""
        return source in self._faults.get(rule, ())

    def wait_while_held(self, source: str, direction: Direction) -> None:
        """Block while a ``hold_*`` rule applies to this source and direction."""
        with self._changed:
            while self.has_rule(f"hold_{direction}", source):
                self._changed.wait()

    def remove_link(self, link: Link) -> None:
        """Remove a closed link."""
        with self._changed:
            self._links.discard(link)

    def _accept(self) -> None:
        while True:
            inward, (source, _) = self._listener.accept()
            if self.has_rule("refuse", source):
                reset(inward)
                continue
            threading.Thread(
                target=self._connect,
                args=(source, inward),
                daemon=True,
            ).start()

    def _connect(self, source: str, inward: socket.socket) -> None:
        # On loopback, keep the caller's address as the source that the target sees.
        source_address = (source, 0) if source.startswith("127.") else None
        try:
            outward = socket.create_connection(
                self._target,
                timeout=CONNECT_TIMEOUT_S,
                source_address=source_address,
            )
        except OSError as error:
            self._history.record("unreachable", source=source, cause=str(error))
            reset(inward)
            return
        outward.settimeout(None)
        for end in (inward, outward):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = Link(self, source, inward, outward)
        with self._changed:
            self._links.add(link)
        self._history.record("connected", source=source)
        link.start()

    def _apply_faults(self, changes: Mapping[str, Any]) -> None:
        with self._changed:
            self._changed.notify_all()
            links = list(self._links)
        for link in links:
            if self.has_rule("refuse", link.source) or self._must_reset(link):
                link.reset()

    def _must_reset(self, link: Link) -> bool:
        rules = (f"drop_{direction}" for direction in Direction)
        return link.lost_bytes and not any(
            self.has_rule(rule, link.source) for rule in rules
        )


def reset(end: socket.socket) -> None:
    """Close a connection with a reset and wake up a thread that reads it."""
    with contextlib.suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        end.shutdown(socket.SHUT_RD)
    end.close()


def create_relay(
    listen: str,
    target: str,
    control: str,
) -> tuple[Relay, StandInServer]:
    """Return a relay and the control server of its rules, both not yet started."""
    faults = Faults(FAULTS)
    history = History()
    relay = Relay(listen, target, faults, history)
    server = StandInServer(control, answer_nothing, faults, history, threads=4)
    return relay, server


def answer_nothing(request: Request) -> Answer:
    """Return 404: the control server has no other paths."""
    return Answer.error(404, "not_found")
