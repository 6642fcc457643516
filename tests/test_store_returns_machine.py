"""What three VMs hold of a store that returns from older copies, in virtual time."""

import asyncio
import copy
import logging
from dataclasses import dataclass, field

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import EndpointRecord
from bamboovale.store.eras import StoreEras
from bamboovale.store.follower import TopicFollower
from bamboovale.store.interface import (
    HistoryLostError,
    KeyedRecord,
    NoAnswerError,
    Snapshot,
)
from bamboovale.store.position import Position
from bamboovale.store.watch import StoreWatch
from tests.virtual_loop import run_in_virtual_time

VMS = 3
ENDPOINTS = ("a", "b", "c")
POLL_S = 0.05
LONG_POLL_S = 0.3
STALE_AFTER_S = 4.0
GOSSIP_S = 0.1
SETTLED_S = 8.0
READY, LEAVING = b"ready", b"leaving"


@dataclass
class SharedStore:
    """One topic of records, which may be lost; ``written`` is what was written last."""

    era: int = 0
    records: list[tuple[str, bytes | None]] = field(default_factory=list)
    written: dict[str, bytes | None] = field(default_factory=dict)

    def append(self, key: str, value: bytes | None) -> None:
        """Write a record, as an endpoint does."""
        self.written[key] = value
        self.records.append((key, value))

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return the newest record of each key and its offset."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records):
            found.pop(key, None)
            if value is not None:
                found[key] = (offset, value)
        return found

    def write_again(self) -> None:
        """Write what is lost of what the endpoints wrote."""
        stored = {key: value for key, (_, value) in self.newest().items()}
        for key, value in self.written.items():
            if stored.get(key) != value:
                self.records.append((key, value))


@dataclass
class StoreLink:
    """One VM's way to the store."""

    store: SharedStore
    eras: StoreEras
    is_cut: bool = False

    async def newest(self, topic: str) -> Snapshot:
        """Return the newest record of each key."""
        await self._call()
        era, found = self.store.era, self.store.newest()
        records = [
            KeyedRecord(key, value, Position.at(era, offset))
            for key, (offset, value) in found.items()
        ]
        return Snapshot(tuple(records), Position.at(era, len(self.store.records)))

    async def read(
        self, topic: str, position: Position, wait_s: float
    ) -> tuple[tuple[KeyedRecord, ...], Position]:
        """Return the records from a position on."""
        waited_s = 0.0
        while True:
            await self._call()
            end = len(self.store.records)
            if position.era != self.store.era or position.offset > end:
                raise HistoryLostError("not stored")
            if position.offset < end or waited_s >= wait_s:
                break
            await asyncio.sleep(POLL_S)
            waited_s += POLL_S
        records = self.store.records[position.offset :]
        found = [
            KeyedRecord(key, value, Position(position + number))
            for number, (key, value) in enumerate(records)
        ]
        return tuple(found), Position(position + len(found))

    async def _call(self) -> None:
        await asyncio.sleep(0.001)
        if self.is_cut:
            await asyncio.sleep(0.2)
            raise NoAnswerError("cut")
        self.eras.observe(self.store.era, "store")


class ModelVM:
    """The parts of one VM that follow the topic; the last one hears rows only."""

    def __init__(self, store: SharedStore, reads: bool) -> None:
        journal = Journal("vm", logging.getLogger("none"))
        now = asyncio.get_running_loop().time
        self.eras = StoreEras(journal, now)
        self.watch = StoreWatch(now)
        self.eras.listen(self.watch.on_returned)
        self.view = EndpointView(journal, self.watch, now)
        self.link = StoreLink(store, self.eras)
        self.follower = TopicFollower(
            "endpoints",
            self.link,  # type: ignore[arg-type]
            journal,
            self.eras,
            on_record=self._on_record,
            known_keys=self.view.registered_ids,
            wait_s=lambda: LONG_POLL_S,
            pause_s=lambda: 0.1,
            on_answer=self._on_answer,
            on_failure=self.watch.on_read_failed,
            may_read=lambda age_s: reads or age_s > STALE_AFTER_S,
            now=now,
        )
        self.eras.listen(lambda: self.follower.read_anew(0.0))
        self.ever_leaving: set[str] = set()
        self.removed: set[str] = set()
        self.gone: set[str] = set()

    def _on_answer(self) -> None:
        self.watch.on_answer()
        if self.watch.on_read():
            self.watch.on_settled()

    def _on_record(self, record: KeyedRecord) -> bool:
        self.gone |= self.removed - self.view.record_by_id.keys()
        if record.value is None:
            if not record.from_copy:
                self.removed.add(record.key)
            return self.view.on_record(
                record.key, None, record.position, from_copy=record.from_copy
            )
        decoded = EndpointRecord(
            record.key, "app", ("127.0.0.1", 1), "a", record.value == READY, 6
        )
        changed = self.view.on_record(
            record.key, decoded, record.position, from_copy=record.from_copy
        )
        self._check_older()
        return changed

    def _check_older(self) -> None:
        """Check that no endpoint is ready again that left, or that was removed."""
        known = self.view.record_by_id
        assert not self.gone & known.keys()
        for endpoint_id, record in known.items():
            if not record.ready:
                self.ever_leaving.add(endpoint_id)
            assert not (record.ready and endpoint_id in self.ever_leaving)

    def hear(self, other: "ModelVM") -> None:
        """Apply the rows that another VM tells."""
        known = self.follower.changes.next_offset
        following = other.follower.changes.next_offset
        if known is not None and following is not None:
            first, rows = other.follower.changes.rows_from(known)
            self.follower.apply_rows(first, following, rows)


Step = tuple[str, int, float]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["start", "leave", "go", "return", "again", "cut"]),
        st.sampled_from([0, 0, 1, 2]),
        st.sampled_from([0.0, 0.05, 0.4, 1.5, 4.0]),
    ),
    min_size=3,
    max_size=25,
)


class Play:
    """Steps of the store, its writers and the links, in any order."""

    def __init__(self) -> None:
        self.store = SharedStore()
        self.copies: list[list[tuple[str, bytes | None]]] = []
        self.starts = 0
        self.id_by_name: dict[str, str] = {}

    def apply(self, step: str, number: int, vms: list[ModelVM]) -> None:
        """Apply one step; endpoints start under new ids, leave, then go.

        The store returns as it was before the last steps.
        """
        self.copies.append(copy.copy(self.store.records))
        name = ENDPOINTS[number]
        known = self.id_by_name.get(name)
        value = None if known is None else self.store.written.get(known)
        if step == "start" and value is None:
            self.starts += 1
            self.id_by_name[name] = f"{name}{self.starts}"
            self.store.append(self.id_by_name[name], READY)
        elif step == "leave" and known is not None and value == READY:
            self.store.append(known, LEAVING)
        elif step == "go" and known is not None and value is not None:
            self.store.append(known, None)
        elif step == "return":
            self.store.records = copy.copy(self.copies[-2 - number :][0])
            self.store.era += 1
        elif step == "again":
            self.store.write_again()
        elif step == "cut":
            vms[number].link.is_cut = not vms[number].link.is_cut

    async def run(self, steps: list[Step]) -> None:
        """Play the steps; in the end all VMs hold what the store holds."""
        vms = [ModelVM(self.store, reads=number < VMS - 1) for number in range(VMS)]
        tasks = [asyncio.ensure_future(vm.follower.follow()) for vm in vms]
        tasks += [asyncio.ensure_future(vm.view.watch_expired()) for vm in vms]
        tasks.append(asyncio.ensure_future(self._gossip(vms)))
        for step, number, pause_s in steps:
            self.apply(step, number, vms)
            await asyncio.sleep(pause_s)
        for vm in vms:
            vm.link.is_cut = False
        self.store.write_again()
        await asyncio.sleep(SETTLED_S)
        self.store.append("last", READY)
        await asyncio.sleep(SETTLED_S)
        expected = {
            key: value == READY for key, (_, value) in self.store.newest().items()
        }
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
        for vm in vms:
            held = {k: r.ready for k, r in vm.view.record_by_id.items()}
            assert held == expected

    async def _gossip(self, vms: list[ModelVM]) -> None:
        while True:
            await asyncio.sleep(GOSSIP_S)
            for vm in vms:
                for other in vms:
                    if other is not vm:
                        vm.hear(other)


class TestReturnsOfTheStore:
    """Guards against VMs that miss what is written anew, or believe what was lost."""

    @settings(max_examples=100, deadline=None)
    @example([("start", 0, 0.05), ("return", 0, 0.4), ("return", 0, 0.0)])
    @example([("start", 0, 0.05), ("return", 0, 4.0), ("return", 0, 0.0)])
    @example([("start", 0, 0.4), ("leave", 0, 0.4), ("return", 0, 1.5)])
    @example([("start", 0, 4.0), ("go", 0, 0.4), ("return", 0, 1.5), ("cut", 0, 0.0)])
    @given(STEPS)
    def test_all_vms_hold_what_the_store_holds(self, steps: list[Step]) -> None:
        run_in_virtual_time(Play().run(steps))

    @pytest.mark.parametrize("writes", [1, 2, 3, 4])
    def test_a_return_below_at_and_above_the_offset_that_was_read(
        self, writes: int
    ) -> None:
        """Guards against readers that ask by offset alone."""
        written: list[Step] = [("leave", n, 0.0) for n in range(writes - 1)]
        steps: list[Step] = [
            ("start", 0, 0.0),
            ("start", 1, 0.0),
            ("start", 2, 0.4),
            ("return", 1, 0.0),
            ("leave", 0, 0.0),
            *written,
        ]
        run_in_virtual_time(Play().run(steps))
