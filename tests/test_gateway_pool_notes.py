"""What is kept in the store about pools of engines."""

import json
import logging
from typing import Any

from bamboovale.decisions.stall_detector import StallDetector
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.pool_notes import KEY_PREFIX, QUIET_S, PoolNotes
from bamboovale.gateway.store import KeyedRecord, StoreError
from tests.gateway_site import eventually, run, running_site


class KeepingStore:
    """Keeps what is written, or fails."""

    def __init__(self) -> None:
        self.puts: list[tuple[str, bytes]] = []
        self.down = False

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Keep one record."""
        if self.down:
            raise StoreError("down")
        self.puts.append((key, value))


def notes(store: KeepingStore, noted: list[str], name: str = "me") -> PoolNotes:
    journal = Journal(name, logging.getLogger("none"))
    return PoolNotes(name, "t", store, journal, noted.append)  # type: ignore[arg-type]


def record(value: Any) -> KeyedRecord:
    source = value if isinstance(value, bytes) else json.dumps(value).encode()
    return KeyedRecord(f"{KEY_PREFIX}llm", source, 1)


class TestPoolNotes:
    """Written when the belief changes, by one VM."""

    def test_a_pool_that_is_held_up_is_noted_once(self) -> None:
        async def test() -> None:
            store = KeepingStore()
            kept = notes(store, [])
            for now in (0.0, 1.0, 10.0):
                await kept.write_changes({"llm": True}, {"me"}, now)
            assert store.puts == [("pool:llm", b'{"held_up": true}')]

        run(test())

    def test_a_vm_that_has_just_started_does_not_take_it_back(self) -> None:
        """A VM starts, reads that the pool is held up, and knows no engine yet.

        Were it to write what it sees, the next restart of all would begin unpaced.
        """

        async def test() -> None:
            store = KeepingStore()
            noted: list[str] = []
            kept = notes(store, noted)
            assert kept.take(record({"held_up": True}))
            assert noted == ["llm"] and kept.held_up("llm")
            await kept.write_changes({"llm": False}, {"me"}, 0.0)
            await kept.write_changes({"llm": True}, {"me"}, 3.0)
            await kept.write_changes({"llm": False}, {"me"}, QUIET_S - 1.0)
            assert store.puts == []
            await kept.write_changes({"llm": False}, {"me"}, 2 * QUIET_S)
            assert store.puts == [("pool:llm", b'{"held_up": false}')]

        run(test())

    def test_an_outage_of_the_store_ends_nothing(self) -> None:
        async def test() -> None:
            store = KeepingStore()
            store.down = True
            kept = notes(store, [])
            await kept.write_changes({"llm": True}, {"me"}, 0.0)
            assert kept.held_up("llm")

        run(test())

    def test_a_malformed_note_is_passed_over(self) -> None:
        kept = notes(KeepingStore(), [])
        for value in (b"\xff", 7, {"held": 1}, None):
            assert kept.take(record(value))
        assert not kept.held_up("llm")
        assert not kept.take(KeyedRecord("entry-1", b"[]", 1))


class TestRestartOfAll:
    """All VMs go at once and come back."""

    def test_engines_are_paced_from_the_first_request_on(self) -> None:
        """Streams of a pool pause too long, then every VM is killed and restarted.

        Knowing nothing the new owners would send prompt upon prompt until enough
        streams were late again.
        """

        async def test() -> None:
            async with running_site(vms=2, runners=2) as site:
                for item in site.owned().values():
                    for owner in item.vm._engines.owner_by_engine.values():
                        owner.places.pacing.stall_detector.assume_stalled(0.0)
                await eventually(lambda: _has_note(site))
                for item in site.vms:
                    item.task.cancel()
                    await item.vm.close()
                site.vms.clear()
                await site.add_vm("entry-8")
                await site.add_vm("entry-9")
                await eventually(lambda: _all_paced(site))

        run(test())


def _has_note(site: Any) -> bool:
    return any(item.journal.of("pool_note") for item in site.vms)


def _all_paced(site: Any) -> bool:
    owners = [
        owner
        for item in site.vms
        for owner in item.vm._engines.owner_by_engine.values()
    ]
    return len(owners) == 2 and all(o.places.pacing.is_on() for o in owners)


class TestAssumption:
    """What a new owner begins with."""

    def test_it_is_forgotten_where_no_stream_is_held_up(self) -> None:
        evidence = StallDetector()
        evidence.assume_stalled(5000.0)
        assert evidence.is_stalled()
        for number in range(300):
            evidence.on_stream(5000.0 + number * 0.1)
        assert not evidence.is_stalled()

    def test_the_first_streams_do_not_end_it(self) -> None:
        """All VMs restart; the clocks of their processes show thousands of seconds.

        Counted as seen at second 0, the assumption had faded away with the first
        stream, and the crowd of returning callers met engines without pacing.
        """
        evidence = StallDetector()
        evidence.assume_stalled(97_766.0)
        for number in range(20):
            evidence.on_stream(97_766.5 + number * 0.1)
        assert evidence.is_stalled()
