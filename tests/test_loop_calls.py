"""Calls to the event loop of the links."""

import asyncio
import threading
from concurrent.futures import Future
from typing import Any
from unittest.mock import patch

import pytest

from bamboovale.peers.loop_calls import await_on_loop, call_on


class TestCallOn:
    """Calls back on the loop, whichever thread asks for it."""

    def test_the_loops_own_thread_is_not_woken(self) -> None:
        """Guards against two system calls and a pass of the loop per message."""

        async def main() -> bool:
            loop = asyncio.get_running_loop()
            called = asyncio.Event()
            with patch.object(loop, "call_soon_threadsafe") as wake:
                call_on(loop, called.set)
                await asyncio.wait_for(called.wait(), 1.0)
            return wake.called

        assert not asyncio.run(main())

    def test_another_thread_wakes_the_loop(self) -> None:
        async def main() -> None:
            loop = asyncio.get_running_loop()
            called = asyncio.Event()
            threading.Thread(target=call_on, args=(loop, called.set)).start()
            await asyncio.wait_for(called.wait(), 5.0)

        asyncio.run(main())


class TestAwaitOnLoop:
    """A future of a thread, awaited on the loop."""

    @pytest.mark.parametrize("from_thread", [False, True])
    def test_the_result_and_the_error_arrive(self, from_thread: bool) -> None:
        async def main() -> Any:
            given: Future[int] = Future()
            failed: Future[int] = Future()

            def settle() -> None:
                given.set_result(7)
                failed.set_exception(ValueError("x"))

            awaited = await_on_loop(given), await_on_loop(failed)
            if from_thread:
                threading.Thread(target=settle).start()
            else:
                settle()
            return await asyncio.gather(*awaited, return_exceptions=True)

        value, error = asyncio.run(main())
        assert value == 7
        assert isinstance(error, ValueError)

    def test_cancellation_reaches_the_source(self) -> None:
        """Guards against requests that are sent for callers that are gone."""

        async def main() -> bool:
            source: Future[int] = Future()
            awaited = await_on_loop(source)
            awaited.cancel()
            await asyncio.sleep(0)
            return source.cancelled()

        assert asyncio.run(main())
