"""Forwards TCP connections and counts their bytes."""

import asyncio
import contextlib
import threading
from collections.abc import Iterator

CHUNK_BYTES = 64 * 1024


class CountingRelay:
    """A port that forwards to another one and counts payload bytes both ways."""

    def __init__(self, target: str) -> None:
        host, _, port = target.removeprefix("http://").partition(":")
        self._target = (host, int(port))
        self.bytes = 0
        self.connections = 0
        self.url = ""

    async def listen(self) -> None:
        """Start to accept connections; sets ``url``."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.url = f"http://{host}:{port}"

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        with contextlib.suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            await asyncio.gather(
                self._forward(reader, far_writer),
                self._forward(far_reader, writer),
            )
        writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                self.bytes += len(data)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()


@contextlib.contextmanager
def relay_loop() -> Iterator[asyncio.AbstractEventLoop]:
    """Run an event loop for relays in a separate thread."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    try:
        yield loop
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()


def start_relay(loop: asyncio.AbstractEventLoop, target: str) -> CountingRelay:
    """Start a relay in front of a service."""
    relay = CountingRelay(target)
    asyncio.run_coroutine_threadsafe(relay.listen(), loop).result(5)
    return relay
