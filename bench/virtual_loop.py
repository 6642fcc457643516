"""An event loop whose time passes only while nothing can run."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Skips the time until the next timer; for tests without sockets or threads."""

    def __init__(self) -> None:
        selector: Any = selectors.DefaultSelector()
        super().__init__(selector)
        self._virtual_s = 0.0
        select = selector.select

        def skip(timeout_s: float | None) -> Any:
            self._virtual_s += timeout_s or 0.0
            return select(0)

        selector.select = skip

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_s


def run_in_virtual_time(test: Coroutine[Any, Any, None]) -> None:
    """Run the body of a test; the speed of the machine has no effect on it."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(test)
