"""Waiting reads of the store whose answer was lost."""

import asyncio
import contextlib

import pytest

from bamboovale.gateway.lost_reads import LostReadDetector
from bamboovale.gateway.store import KeyedRecord, Membership, NoAnswerError, StoreError

Records = tuple[tuple[KeyedRecord, ...], int]


class SilentReads:
    """A store whose reads are never answered; joins fail as told."""

    def __init__(self) -> None:
        self.error: StoreError | None = None
        self.reads = 0

    async def read(self, topic: str, offset: int, wait_s: float) -> Records:
        """Wait for ever."""
        self.reads += 1
        await asyncio.sleep(3600)
        return (), offset

    async def join(self, *_: object) -> Membership:
        """Answer, or fail."""
        if self.error is not None:
            raise self.error
        return Membership(1, ())


async def _join(contact: LostReadDetector) -> None:
    with contextlib.suppress(StoreError):
        await contact.join("g", "me", [], 2.0, 0, 1.0)


class TestWaitingReads:
    """What other calls say of a read that is open."""

    @pytest.mark.parametrize("status", [None, 503])
    def test_a_read_that_was_open_at_a_failure_is_begun_anew(
        self, status: int | None
    ) -> None:
        """Guards against waiting for an answer that went with an outage."""

        async def test() -> None:
            store = SilentReads()
            contact = LostReadDetector(store)  # type: ignore[arg-type]
            read = asyncio.create_task(contact.read("t", 0, 20.0))
            await asyncio.sleep(0.01)
            store.error = StoreError("gone", status)
            await _join(contact)
            await asyncio.sleep(0.01)
            assert not read.done()
            store.error = None
            await _join(contact)
            with pytest.raises(NoAnswerError):
                await read

        asyncio.run(test())

    def test_a_read_begun_after_the_failure_goes_on(self) -> None:
        """Guards against a storm of reads while calls fail now and then."""

        async def test() -> None:
            store = SilentReads()
            contact = LostReadDetector(store)  # type: ignore[arg-type]
            store.error = StoreError("gone")
            await _join(contact)
            await asyncio.sleep(0.01)
            store.error = None
            read = asyncio.create_task(contact.read("t", 0, 20.0))
            for _ in range(3):
                await asyncio.sleep(0.01)
                await _join(contact)
            assert not read.done()
            assert store.reads == 1
            read.cancel()

        asyncio.run(test())

    def test_a_refusal_of_one_call_gives_up_no_read(self) -> None:
        """Guards against more calls to a store that has just said: too many."""

        async def test() -> None:
            store = SilentReads()
            contact = LostReadDetector(store)  # type: ignore[arg-type]
            read = asyncio.create_task(contact.read("t", 0, 20.0))
            await asyncio.sleep(0.01)
            store.error = StoreError("too many", 429)
            await _join(contact)
            store.error = None
            await _join(contact)
            await asyncio.sleep(0.01)
            assert not read.done()
            read.cancel()

        asyncio.run(test())

    def test_a_cancelled_read_stays_cancelled(self) -> None:
        """Guards against a stop that looks like a lost answer."""

        async def test() -> None:
            contact = LostReadDetector(SilentReads())  # type: ignore[arg-type]
            read = asyncio.create_task(contact.read("t", 0, 20.0))
            await asyncio.sleep(0.01)
            read.cancel()
            with pytest.raises(asyncio.CancelledError):
                await read

        asyncio.run(test())
