"""Tests of the stall records of engine pools in the store."""

import json
import logging
from typing import Any

from bamboovale.decisions.stall_detector import StallDetector
from bamboovale.gateway.journal import Journal
from bamboovale.store.interface import KeyedRecord, StoreError
from bamboovale.store.stall_records import CLEAR_AFTER_S, KEY_PREFIX, StallRecords
from tests.gateway_site import eventually, run, running_site


class RecordingStore:
    """A store that records what is written, or fails."""

    def __init__(self) -> None:
        self.puts: list[tuple[str, bytes]] = []
        self.down = False

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Record a write."""
        if self.down:
            raise StoreError("down")
        self.puts.append((key, value))


def make_records(
    store: RecordingStore, stalled: list[str], name: str = "me"
) -> StallRecords:
    journal = Journal(name, logging.getLogger("none"))
    return StallRecords(name, "t", store, journal, stalled.append)  # type: ignore[arg-type]


def record(value: Any) -> KeyedRecord:
    source = value if isinstance(value, bytes) else json.dumps(value).encode()
    return KeyedRecord(f"{KEY_PREFIX}llm", source, 1)


class TestStallRecords:
    """Written by one VM when the state of a pool changes."""

    def test_a_stalled_pool_is_recorded_once(self) -> None:
        async def test() -> None:
            store = RecordingStore()
            records = make_records(store, [])
            for now in (0.0, 1.0, 10.0):
                await records.write_changes({"llm": True}, {"me"}, now)
            assert store.puts == [("pool:llm", b'{"held_up": true}')]

        run(test())

    def test_a_vm_that_has_just_started_does_not_clear_a_record(self) -> None:
        """Guards against clearing a record before the engines' status is known."""

        async def test() -> None:
            store = RecordingStore()
            stalled: list[str] = []
            records = make_records(store, stalled)
            assert records.apply(record({"held_up": True}))
            assert stalled == ["llm"] and records.is_stalled("llm")
            await records.write_changes({"llm": False}, {"me"}, 0.0)
            await records.write_changes({"llm": True}, {"me"}, 3.0)
            await records.write_changes({"llm": False}, {"me"}, CLEAR_AFTER_S - 1.0)
            assert store.puts == []
            await records.write_changes({"llm": False}, {"me"}, 2 * CLEAR_AFTER_S)
            assert store.puts == [("pool:llm", b'{"held_up": false}')]

        run(test())

    def test_a_stall_remains_known_in_a_store_outage(self) -> None:
        async def test() -> None:
            store = RecordingStore()
            store.down = True
            records = make_records(store, [])
            await records.write_changes({"llm": True}, {"me"}, 0.0)
            assert records.is_stalled("llm")

        run(test())

    def test_a_malformed_record_is_ignored(self) -> None:
        records = make_records(RecordingStore(), [])
        for value in (b"\xff", 7, {"held": 1}, None):
            assert records.apply(record(value))
        assert not records.is_stalled("llm")
        assert not records.apply(KeyedRecord("entry-1", b"[]", 1))


class TestRestartOfAll:
    """A restart of all VMs at once."""

    def test_engines_are_paced_from_the_first_request_on(self) -> None:
        """Guards against stream stalls until the restarted VMs detect them again."""

        async def test() -> None:
            async with running_site(vms=2, runners=2) as site:
                for item in site.owned().values():
                    for owner in item.vm._engines.owner_by_engine.values():
                        owner.places.pacing.stall_detector.assume_stalled(0.0)
                await eventually(lambda: _is_recorded(site))
                for item in site.vms:
                    item.task.cancel()
                    await item.vm.close()
                site.vms.clear()
                await site.add_vm("entry-8")
                await site.add_vm("entry-9")
                await eventually(lambda: _all_paced(site))

        run(test())


def _is_recorded(site: Any) -> bool:
    return any(item.journal.of("pool_note") for item in site.vms)


def _all_paced(site: Any) -> bool:
    owners = [
        owner
        for item in site.vms
        for owner in item.vm._engines.owner_by_engine.values()
    ]
    return len(owners) == 2 and all(o.places.pacing.is_on() for o in owners)


class TestAssumption:
    """The assumption of stalls with which a new owner starts."""

    def test_it_expires_if_no_stream_stalls(self) -> None:
        detector = StallDetector()
        detector.assume_stalled(5000.0)
        assert detector.is_stalled()
        for number in range(300):
            detector.on_stream(5000.0 + number * 0.1)
        assert not detector.is_stalled()

    def test_it_does_not_expire_with_the_first_streams(self) -> None:
        """Guards against an assumption that expires at once on a process's clock."""
        detector = StallDetector()
        detector.assume_stalled(97_766.0)
        for number in range(20):
            detector.on_stream(97_766.5 + number * 0.1)
        assert detector.is_stalled()
