"""Records in the store of who began streams."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

from bamboovale.store.interface import (
    HistoryLostError,
    KeyedRecord,
    MetadataStore,
    Part,
    Snapshot,
    StoreError,
)
from bamboovale.store.position import Position
from bamboovale.streams import start_records
from bamboovale.streams.messages import StreamBegan
from bamboovale.streams.start_records import StartRecords, decode, encode
from tests.gateway_site import RecordedJournal, eventually

VMS = ("a", "b", "c")
TOPIC = "streams"
PAGE = 5


def began(attempt: str, customer: str | None = None) -> StreamBegan:
    """Return the start of a stream at the old version."""
    return StreamBegan((attempt,), "llm", "v1", 12.0, customer)


class KeyedStore(MetadataStore):
    """One topic; ``error`` is raised by every call while it is set."""

    def __init__(self) -> None:
        self.log: list[tuple[str, bytes]] = []
        self.first = 0
        self.calls: list[str] = []
        self.error: StoreError | None = None

    def _call(self, name: str) -> None:
        self.calls.append(name)
        if self.error is not None:
            raise self.error

    async def newest(self, topic: str) -> Snapshot:
        self._call("newest")
        newest = {key: (at, value) for at, (key, value) in enumerate(self.log)}
        records = [KeyedRecord(key, value, at) for key, (at, value) in newest.items()]
        return Snapshot(tuple(records), Position(len(self.log)))

    async def read(self, topic: str, position: Position, wait_s: float) -> Part:
        self._call("read")
        if position < self.first or position > len(self.log):
            raise HistoryLostError("gone")
        records = [
            KeyedRecord(key, value, at)
            for at, (key, value) in enumerate(self.log)
            if position <= at < position + PAGE
        ]
        return Part(tuple(records), Position(position + len(records)))

    async def put(self, topic: str, key: str, value: bytes) -> None:
        self._call("put")
        self.log.append((key, value))


class VM:
    """The records as one VM writes and reads them."""

    def __init__(self, vm_id: str, store: KeyedStore, clock: Callable[[], float]):
        self.read: list[StreamBegan] = []
        self.is_single = False
        self.late_s = 0.0
        self.journal = RecordedJournal(vm_id)
        self.records = StartRecords(
            vm_id,
            TOPIC,
            store,
            self.journal,
            lambda: VMS,
            self.read.append,
            lambda service, version: self.is_single,
            self.now,
            clock,
        )

    def now(self) -> float:
        """Return the time, ``late_s`` later than it is."""
        return asyncio.get_running_loop().time() + self.late_s

    @asynccontextmanager
    async def running(self) -> AsyncIterator["VM"]:
        """Run its tasks."""
        tasks = [
            asyncio.create_task(self.records.write_forever()),
            asyncio.create_task(self.records.read_forever()),
        ]
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()


def starts(count: int) -> list[StreamBegan]:
    """Return starts of several streams."""
    return [began(f"r{number}") for number in range(count)]


def run(test: Any) -> None:
    """Run a test with a store and one of its writers."""

    async def with_writer() -> None:
        store = KeyedStore()
        clock = asyncio.get_running_loop().time
        async with VM(VMS[0], store, clock).running() as vm:
            await test(store, vm)

    asyncio.run(asyncio.wait_for(with_writer(), 20.0))


class TestWriting:
    """Starts that are written, and how many calls that takes."""

    def test_the_first_is_written_at_once_and_the_others_together(self) -> None:
        """Guards against a call for each stream, as all VMs' calls are rationed."""

        async def test(store: KeyedStore, vm: VM) -> None:
            first, *others = starts(50)
            vm.records.add(first)
            await eventually(lambda: len(store.log) == 1)
            for start in others:
                vm.records.add(start)
            await eventually(lambda: len(store.log) == 2)
            assert {began for _, value in store.log for began in decode(value)} == {
                first,
                *others,
            }

        run(test)

    def test_a_write_keeps_what_its_key_held(self) -> None:
        """Guards against a start that is replaced by the next one."""

        async def test(store: KeyedStore, vm: VM) -> None:
            written = starts(20)
            for start in written:
                vm.records.add(start)
                await asyncio.sleep(2 * start_records.WRITE_INTERVAL_S)
            newest = dict(store.log)
            assert len(newest) < len(store.log)
            kept = {began for value in newest.values() for began in decode(value)}
            assert kept == set(written)

        run(test)

    def test_one_vm_writes(self) -> None:
        """Guards against calls of each VM, as all VMs' calls are rationed."""
        store = KeyedStore()

        async def test() -> None:
            async with VM(VMS[1], store, lambda: 0.0).running() as vm:
                assert vm.records.writer() == VMS[0]
                vm.records.add(began("r1"))
                await asyncio.sleep(0.05)

        asyncio.run(test())
        assert not store.calls

    def test_with_one_version_it_writes_seldom(self) -> None:
        """Guards against a price that is paid while nothing can be confused."""

        async def test(store: KeyedStore, vm: VM) -> None:
            vm.is_single = True
            until = vm.now() + 3 * start_records.SINGLE_INTERVAL_S
            while vm.now() < until:
                vm.records.add(began("r1"))
                await asyncio.sleep(0.02)
            assert 2 <= len(store.log) <= 3

        run(test)

    def test_what_waits_is_written_once_another_version_serves(self) -> None:
        """Guards against streams of the old version that are known to VMs alone."""

        async def test(store: KeyedStore, vm: VM) -> None:
            vm.is_single = True
            began_at = vm.now()
            vm.records.add(began("r1"))
            vm.is_single = False
            vm.records.on_versions()
            await eventually(lambda: store.log)
            assert vm.now() - began_at < start_records.SINGLE_INTERVAL_S / 2

        run(test)

    def test_streams_that_ended_long_ago_are_not_written(self) -> None:
        async def test(store: KeyedStore, vm: VM) -> None:
            vm.records.add(replace(began("r1"), life_s=0.0))
            vm.records.add(began("r2"))
            await eventually(lambda: store.log)
            assert decode(store.log[0][1]) == [began("r2")]

        run(test)

    def test_what_was_not_written_is_written_later(self) -> None:
        """Guards against starts that are lost in an outage of the store."""

        async def test(store: KeyedStore, vm: VM) -> None:
            store.error = StoreError("away", 503)
            waiting = starts(3)
            for start in waiting:
                vm.records.add(start)
            await eventually(lambda: store.calls)
            assert len(vm.journal.of("stream_record_lost")) == 1
            store.error = None
            await eventually(lambda: store.log)
            assert decode(store.log[0][1]) == waiting

        run(test)

    def test_an_outage_uses_bounded_memory(self) -> None:
        async def test(store: KeyedStore, vm: VM) -> None:
            store.error = StoreError("away", 503)
            waiting = starts(start_records.MAX_WAITING + 5)
            for start in waiting:
                vm.records.add(start)
            await eventually(lambda: store.calls)
            store.error = None
            await eventually(lambda: store.log)
            assert decode(store.log[0][1])[0] == waiting[5]
            assert len(decode(store.log[0][1])) == start_records.MAX_ROWS

        run(test)

    def test_keys_are_used_again_after_all_of_them(self) -> None:
        """Guards against a topic that grows, and records that replace recent ones."""
        store, times = KeyedStore(), iter(range(10_000))

        def clock() -> float:
            return next(times) * start_records.SLOT_S * 1.001

        async def test() -> list[str]:
            vm = VM(VMS[0], store, clock)
            return [vm.records._next_key() for _ in range(3 * start_records.SLOTS)]

        keys = asyncio.run(test())
        assert len(set(keys)) == start_records.SLOTS
        recent = start_records.SLOTS // 2
        for at in range(len(keys) - recent):
            assert keys[at] not in keys[at + 1 : at + recent]


class TestReading:
    """Starts that a VM reads that has just started."""

    def test_all_that_was_written(self) -> None:
        """Guards against streams that end with the VMs that knew who began them."""

        async def test(store: KeyedStore, vm: VM) -> None:
            written = [began("r1"), began("r2", "agency-1")]
            store.log += [("0.1", encode(written[:1])), ("0.2", encode(written[1:]))]
            assert await vm.records.read_new()
            assert vm.read == written

        run(test)

    def test_only_what_is_new_is_read_again(self) -> None:
        async def test(store: KeyedStore, vm: VM) -> None:
            store.log.append(("0.1", encode([began("r1")])))
            assert await vm.records.read_new()
            store.log.append(("0.2", encode([began("r2")])))
            assert await vm.records.read_new()
            assert vm.read == [began("r1"), began("r2")]
            assert store.calls == ["newest", "read", "read"]

        run(test)

    def test_more_than_one_answer_holds(self) -> None:
        """Guards against a part of the records that is taken for all of them."""

        async def test(store: KeyedStore, vm: VM) -> None:
            assert await vm.records.read_new()
            written = starts(3 * PAGE + 1)
            store.log += [(f"0.{n}", encode([b])) for n, b in enumerate(written)]
            assert await vm.records.read_new()
            assert vm.read == written

        run(test)

    def test_after_a_long_time_the_newest_are_read(self) -> None:
        """Guards against a caller that waits while all since the last read is read."""

        async def test(store: KeyedStore, vm: VM) -> None:
            assert await vm.records.read_new()
            store.log.append(("0.1", encode([began("r1")])))
            vm.late_s = start_records.READ_ANEW_S + 1.0
            assert await vm.records.read_new()
            assert vm.read == [began("r1")]
            assert store.calls == ["newest", "newest"]

        run(test)

    def test_many_callers_cause_few_reads(self) -> None:
        """Guards against a flood of invented ids that reaches the store."""

        async def test(store: KeyedStore, vm: VM) -> None:
            found = await asyncio.gather(*(vm.records.read_new() for _ in range(100)))
            assert all(found)
            assert len(store.calls) == 1

        run(test)

    def test_a_history_that_is_gone_is_read_anew(self) -> None:
        """Guards against a VM that reads nothing more once the store has returned."""

        async def test(store: KeyedStore, vm: VM) -> None:
            assert await vm.records.read_new()
            store.log += [("0.1", encode([began("r1")])), ("0.2", encode([]))]
            store.first = 2
            assert await vm.records.read_new()
            assert vm.read == [began("r1")]

        run(test)

    def test_a_store_that_does_not_answer_is_no_answer(self) -> None:
        async def test(store: KeyedStore, vm: VM) -> None:
            store.error = StoreError("away", 503)
            assert not await vm.records.read_new()
            store.error = None
            assert await vm.records.read_new()

        run(test)

    def test_a_record_that_cannot_be_read_is_left_out(self) -> None:
        async def test(store: KeyedStore, vm: VM) -> None:
            for number, value in enumerate((b"{", b"[1]", b'[["r9"]]', b"7", b"\xff")):
                store.log.append((f"0.{number}", value))
            store.log.append(("0.9", encode([began("r1")])))
            assert await vm.records.read_new()
            assert vm.read == [began("r1")]
            assert len(vm.journal.of("bad_record")) == 5

        run(test)
