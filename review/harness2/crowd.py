"""A crowd of clients with long heads, as a process of its own."""

import asyncio
import contextlib
import sys
import time

from review.harness2.site import HOST

HEAD_BYTES = 16_384
"""``max-header-bytes`` of the configuration."""
PROPER_BYTES = 600
BEGUN_BYTES = 200
PIECE_PAUSE_S, PAUSE_S, STAY_S = 0.5, 0.2, 6.0
SHORT_LINE = "a:\r\n"


def _head(*, short_lines: bool) -> bytes:
    """Return a head inside the limit: thousands of short lines, or one long one."""
    size = HEAD_BYTES - PROPER_BYTES
    count = size // (len(SHORT_LINE) + 1)
    filling = SHORT_LINE * count if short_lines else f"a: {'a' * size}\r\n"
    return (
        f"POST /quote/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd\r\n"
        f"X-Deadline-Ms: 1500\r\n{filling}Content-Length: 600\r\n\r\n"
    ).encode()


async def _press(address: tuple[str, int], head: bytes, ends_at: float) -> None:
    """Send heads, one after the other, and no body; go once nothing is answered."""
    while time.monotonic() < ends_at:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(head[:BEGUN_BYTES])
                await asyncio.sleep(PIECE_PAUSE_S)
                writer.write(head[BEGUN_BYTES:])
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(STAY_S):
                        await reader.read(1000)
            finally:
                writer.close()
        await asyncio.sleep(PAUSE_S)


async def _main(host: str, port: str, clients: str, seconds: str, kind: str) -> None:
    address = host, int(port)
    head = _head(short_lines=kind == "short")
    ends_at = time.monotonic() + float(seconds)
    await asyncio.gather(*(_press(address, head, ends_at) for _ in range(int(clients))))


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:]))
