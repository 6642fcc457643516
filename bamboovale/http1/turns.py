"""Turns of connections that have much to be taken apart."""

import asyncio
from collections import deque


class Turns:
    """Lets one of those that wait go on in each pass of the event loop.

    Guards against a crowd of which each member takes little of the loop's time, and all
    together so much that others wait for seconds. Who is alone never waits longer than
    a pass.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._is_due = False

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiting)

    async def take(self) -> None:
        """Wait for a turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if not self._is_due:
            self._is_due = True
            loop.call_soon(self._next)
        await turn

    def _next(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        self._is_due = bool(self._waiting)
        if self._is_due:
            asyncio.get_running_loop().call_soon(self._next)
