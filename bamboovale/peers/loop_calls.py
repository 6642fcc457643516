"""Calls to the event loop of the links, from any thread.

asyncio wakes a loop for a call from another thread through a socket. Calls on the
loop's own thread, as in a process with a single one, need none: for each message that
would be two system calls and one more pass of the loop.
"""

import asyncio
import contextlib
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any


def is_current(loop: asyncio.AbstractEventLoop) -> bool:
    """Return whether this code runs on the loop's thread."""
    try:
        return asyncio.get_running_loop() is loop
    except RuntimeError:
        return False


def call_on(
    loop: asyncio.AbstractEventLoop, callback: Callable[..., object], *args: Any
) -> None:
    """Call back on the loop; raises RuntimeError if it is closed."""
    if is_current(loop):
        loop.call_soon(callback, *args)
    else:
        loop.call_soon_threadsafe(callback, *args)


def await_on_loop(source: "Future[Any]") -> "asyncio.Future[Any]":
    """Return a future of the running loop with the outcome of another one.

    Its cancellation cancels ``source``, as with ``asyncio.wrap_future``.
    """
    loop = asyncio.get_running_loop()
    target: asyncio.Future[Any] = loop.create_future()

    def copy_outcome() -> None:
        if target.done():
            return
        if source.cancelled():
            target.cancel()
        elif (error := source.exception()) is not None:
            target.set_exception(error)
        else:
            target.set_result(source.result())

    def on_source_done(done: "Future[Any]") -> None:
        if is_current(loop):
            copy_outcome()
            return
        with contextlib.suppress(RuntimeError):  # the loop is closed
            loop.call_soon_threadsafe(copy_outcome)

    def on_target_done(done: "asyncio.Future[Any]") -> None:
        if done.cancelled():
            source.cancel()

    target.add_done_callback(on_target_done)
    source.add_done_callback(on_source_done)
    return target
