"""Tests of long-poll reads of the store whose answer was lost."""

import asyncio
import contextlib

import pytest

from bamboovale.store.interface import (
    Membership,
    NoAnswerError,
    Part,
    StoreError,
)
from bamboovale.store.lost_reads import LostReadDetector
from bamboovale.store.position import Position


class UnansweredReads:
    """A store whose reads are never answered; joins raise ``error`` if set."""

    def __init__(self) -> None:
        self.error: StoreError | None = None
        self.reads = 0

    async def read(self, topic: str, offset: int, wait_s: float) -> Part:
        """Wait forever."""
        self.reads += 1
        await asyncio.sleep(3600)
        return Part((), Position(offset))

    async def join(self, *_: object) -> Membership:
        """Return a membership, or fail."""
        if self.error is not None:
            raise self.error
        return Membership(1, ())


async def _join(detector: LostReadDetector) -> None:
    with contextlib.suppress(StoreError):
        await detector.join("g", "me", [], 2.0, 0, 1.0)


class TestLongPollReads:
    """Effect of other calls on an open read."""

    def test_a_read_that_is_being_cancelled_fails_no_other_call(self) -> None:
        """Guards against an error of a call that was answered as the read ends."""

        async def test() -> None:
            store = UnansweredReads()
            detector = LostReadDetector(store)  # type: ignore[arg-type]
            read = asyncio.create_task(detector.read("t", 0, 20.0))
            await asyncio.sleep(0.01)
            store.error = StoreError("gone")
            await _join(detector)
            store.error = None
            for _ in range(4):
                await _join(detector)
                await asyncio.sleep(0)
            with pytest.raises(NoAnswerError):
                await read

        asyncio.run(test())

    @pytest.mark.parametrize("status", [None, 503])
    def test_a_read_that_was_open_at_a_failure_is_cancelled(
        self, status: int | None
    ) -> None:
        """Guards against waiting for an answer that was lost in an outage."""

        async def test() -> None:
            store = UnansweredReads()
            detector = LostReadDetector(store)  # type: ignore[arg-type]
            read = asyncio.create_task(detector.read("t", 0, 20.0))
            await asyncio.sleep(0.01)
            store.error = StoreError("gone", status)
            await _join(detector)
            await asyncio.sleep(0.01)
            assert not read.done()
            store.error = None
            await _join(detector)
            with pytest.raises(NoAnswerError):
                await read

        asyncio.run(test())

    def test_a_read_started_after_the_failure_goes_on(self) -> None:
        """Guards against repeated reads while other calls fail occasionally."""

        async def test() -> None:
            store = UnansweredReads()
            detector = LostReadDetector(store)  # type: ignore[arg-type]
            store.error = StoreError("gone")
            await _join(detector)
            await asyncio.sleep(0.01)
            store.error = None
            read = asyncio.create_task(detector.read("t", 0, 20.0))
            for _ in range(3):
                await asyncio.sleep(0.01)
                await _join(detector)
            assert not read.done()
            assert store.reads == 1
            read.cancel()

        asyncio.run(test())

    def test_a_refused_call_cancels_no_read(self) -> None:
        """Guards against more calls to a store that limits the rate."""

        async def test() -> None:
            store = UnansweredReads()
            detector = LostReadDetector(store)  # type: ignore[arg-type]
            read = asyncio.create_task(detector.read("t", 0, 20.0))
            await asyncio.sleep(0.01)
            store.error = StoreError("too many", 429)
            await _join(detector)
            store.error = None
            await _join(detector)
            await asyncio.sleep(0.01)
            assert not read.done()
            read.cancel()

        asyncio.run(test())

    def test_a_cancelled_read_stays_cancelled(self) -> None:
        """Guards against treating a cancellation as a lost answer."""

        async def test() -> None:
            detector = LostReadDetector(UnansweredReads())  # type: ignore[arg-type]
            read = asyncio.create_task(detector.read("t", 0, 20.0))
            await asyncio.sleep(0.01)
            read.cancel()
            with pytest.raises(asyncio.CancelledError):
                await read

        asyncio.run(test())
