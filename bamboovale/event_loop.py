"""The event loop of an entry VM on the routed interface.

A VM in a large fleet spends much of its processor time in passes of the loop for small
messages. uvloop makes them cheaper; without it asyncio's own loop does the same work.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


def loop_factory() -> Callable[[], asyncio.AbstractEventLoop]:
    """Return uvloop's factory of loops where it is installed, else asyncio's."""
    try:
        import uvloop
    except ImportError:
        return asyncio.new_event_loop
    return uvloop.new_event_loop


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a new loop, and return its result."""
    with asyncio.Runner(loop_factory=loop_factory()) as runner:
        return runner.run(main)
