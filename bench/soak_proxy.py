"""A loopback proxy that delays, holds back, silences and resets connections."""

import asyncio
import contextlib
import socket
from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum

from bamboovale.standins.relay import RESET_ON_CLOSE

HOLD_POLL_S = 0.02
CHUNK_BYTES = 65536

Address = tuple[str, int]


@dataclass
class LinkFaults:
    """Active faults of a proxy; ``hold_*`` holds back bytes of one direction."""

    delay_s: float = 0.0
    hold_requests: bool = False
    hold_answers: bool = False
    refuse: bool = False


class CutKind(StrEnum):
    """What becomes of the open connections of a host that is cut off."""

    RESET = "reset"
    SILENT = "silent"
    LIVE_ON = "live on"


class Proxy:
    """Forwards connections to one target."""

    def __init__(self, target: Address) -> None:
        self.faults = LinkFaults()
        self.address: Address = ("", 0)
        self.target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._pumps: set[asyncio.Task[None]] = set()
        self._silent_writers: set[asyncio.StreamWriter] = set()
        self._host_by_writer: dict[asyncio.StreamWriter, str] = {}
        self._cut_hosts: set[str] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = (host, port)

    def close(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset every open connection; new ones are still accepted."""
        for writer in list(self._writers):
            _reset(writer)

    def silence_open(self) -> None:
        """Stop forwarding on the open connections for good; new ones work."""
        self._silent_writers |= self._writers

    def cut(self, hosts: Collection[str], how: CutKind) -> None:
        """Cut hosts off; open connections are treated once, as it begins."""
        new = set(hosts) - self._cut_hosts
        self._cut_hosts |= new
        for writer, host in list(self._host_by_writer.items()):
            if host in new and how is CutKind.RESET:
                _reset(writer)
            elif host in new and how is CutKind.SILENT:
                self._silent_writers.add(writer)

    def heal(self, hosts: Collection[str]) -> None:
        """Let hosts connect again; connections that fell silent stay so."""
        self._cut_hosts -= set(hosts)

    def heal_all(self) -> None:
        """Let all hosts connect again."""
        self._cut_hosts.clear()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.faults.refuse:
            _reset(writer)
            return
        try:
            caller_host = writer.get_extra_info("peername")[0]
            if caller_host in self._cut_hosts:
                _reset(writer)
                return
            far_reader, far_writer = await asyncio.open_connection(
                *self.target, local_addr=(caller_host, 0)
            )
        except (OSError, TypeError):  # refused, or the caller has gone
            _reset(writer)
            return
        ends = {writer, far_writer}
        self._writers |= ends
        self._host_by_writer.update(dict.fromkeys(ends, caller_host))
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, answers=False)),
            asyncio.create_task(self._pump(far_reader, writer, answers=True)),
        ]
        self._pumps.update(pumps)
        try:
            await asyncio.wait(pumps)
        except asyncio.CancelledError:
            # On shutdown asyncio would log a cancelled handler as failed.
            return
        finally:
            self._writers -= ends
            self._silent_writers -= ends
            for end in ends:
                self._host_by_writer.pop(end, None)
            self._pumps.difference_update(pumps)
            for end in ends:
                end.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        """Forward bytes until one end closes; a reset is forwarded as a close."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                while writer in self._silent_writers or self._holds(answers=answers):
                    await asyncio.sleep(HOLD_POLL_S)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()

    def _holds(self, *, answers: bool) -> bool:
        faults = self.faults
        return faults.hold_answers if answers else faults.hold_requests


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    end = writer.get_extra_info("socket")
    if end is not None:
        with contextlib.suppress(OSError):
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
