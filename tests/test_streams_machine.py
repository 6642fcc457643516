"""Where streams go on, against engines, VMs and links that come and go."""

import asyncio
import itertools
from collections.abc import Iterable
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from result import Ok

from bamboovale.peers.outgoing import PeerUnreachableError
from bamboovale.streams.exchange import ResumedStream, StartExchange
from bamboovale.streams.messages import StreamBegan
from bamboovale.streams.source import StreamSource
from bamboovale.streams.version_history import VersionHistory

SERVICE = "llm"
VMS = ("a", "b", "c")
VERSIONS = ("v1", "v2")
ATTEMPT_S = 8.0
READ_S = 0.001


@dataclass
class Stream:
    """A stream that began; ``known_by`` are the processes that were told, by VM."""

    attempt_id: str
    version: str
    began_at: float
    known_by: set[tuple[str, int]]


@dataclass
class StoreLog:
    """All changes of the endpoints' versions, in order."""

    states: list[frozenset[str]] = field(default_factory=lambda: [frozenset()])


class Process:
    """One process of a VM: what it has read, and its exchange."""

    def __init__(self, world: "StreamsMachine", vm_id: str, first: bool) -> None:
        self.world = world
        self.vm_id = vm_id
        self.number = next(world.numbers)
        self.history = VersionHistory(is_first_start=first)
        self.read_to = 0
        self.has_read = False
        self.waiting: list[StreamBegan] = []
        self.exchange = StartExchange(
            vm_id,
            self,
            lambda: VMS,
            self.history,
            self.prove,
            self,
            lambda: world.now,
            lambda: world.now,
            reask_s=0.0,
        )

    def read(self) -> bool:
        """Read the store; return whether it answered."""
        if self.vm_id in self.world.cut_from_store:
            return False
        self.world.now += READ_S
        states = self.world.log.states
        if not self.has_read:
            self.read_to = len(states) - 1
            self._observe(states[-1])
            self.history.on_snapshot(self.world.now)
            self.has_read = True
        while self.read_to < len(states) - 1:
            self.read_to += 1
            self._observe(states[self.read_to])
        self.history.on_proof(self.world.now)
        return True

    def _observe(self, versions: frozenset[str]) -> None:
        for version in VERSIONS:
            serves = (SERVICE, version) if version in versions else None
            self.history.on_endpoint(version, serves, self.world.now)

    @property
    def versions(self) -> frozenset[str]:
        """Return the versions that this process would use."""
        return self.world.log.states[self.read_to] if self.has_read else frozenset()

    async def prove(self) -> bool:
        """Read the store for a request, maybe after the VM stood still."""
        self.world.now += self.world.pause_s
        return self.read()

    # Records in the store of who began streams.

    def writer(self) -> str | None:
        """Return the VM that writes the starts of streams."""
        return VMS[0]

    def add(self, began: StreamBegan) -> None:
        """Have a start written when this process writes next."""
        if self.writer() == self.vm_id:
            self.waiting.append(began)

    def write(self) -> None:
        """Write what waits, unless the store is out of reach."""
        if self.vm_id not in self.world.cut_from_store:
            self.world.recorded += self.waiting
            self.waiting = []

    async def read_new(self) -> bool:
        """Read all records."""
        if self.vm_id in self.world.cut_from_store:
            return False
        for began in self.world.recorded:
            self.exchange.remember(began)
        return True

    # Links to other VMs.

    def request(self, vm_id: str, message: Any, timeout_s: float) -> "Future[Any]":
        """Have another VM answer."""
        future: Future[Any] = Future()
        if self.world.linked(self.vm_id, vm_id):
            reply = self.world.process_by_id[vm_id].exchange.on_query(message)
            future.set_result(reply)
        else:
            future.set_exception(PeerUnreachableError("cut"))
        return future

    def notify_all(self, vm_ids: Iterable[str], message: Any) -> None:
        """Tell other VMs."""
        for vm_id in vm_ids:
            if self.world.linked(self.vm_id, vm_id):
                self.world.process_by_id[vm_id].exchange.on_began(message)


class StreamsMachine(RuleBasedStateMachine):
    """Three VMs and one service of two versions.

    The oracle is the version of each stream's first event, and who was told of it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.pause_s = 0.0
        self.numbers = itertools.count(1)
        self.loop = asyncio.new_event_loop()
        self.log = StoreLog()
        self.cut_links: set[frozenset[str]] = set()
        self.cut_from_store: set[str] = set()
        self.recorded: list[StreamBegan] = []
        self.streams: list[Stream] = []
        self.log.states.append(frozenset({VERSIONS[0]}))
        self.process_by_id = {vm_id: Process(self, vm_id, True) for vm_id in VMS}
        for process in self.process_by_id.values():
            process.read()

    def teardown(self) -> None:
        self.loop.close()

    def linked(self, one: str, other: str) -> bool:
        """Return whether two VMs reach one another."""
        return frozenset({one, other}) not in self.cut_links

    # Engines.

    @rule(version=st.sampled_from(VERSIONS), serves=st.booleans())
    def a_version_enters_or_leaves(self, version: str, serves: bool) -> None:
        before = self.log.states[-1]
        now = before | {version} if serves else before - {version}
        if now != before:
            self.log.states.append(now)

    # VMs and links.

    @rule(vm_id=st.sampled_from(VMS))
    def a_vm_reads(self, vm_id: str) -> None:
        self.process_by_id[vm_id].read()

    @rule(vm_id=st.sampled_from(VMS))
    def a_vm_writes(self, vm_id: str) -> None:
        self.process_by_id[vm_id].write()

    @rule()
    def all_vms_write_and_are_killed(self) -> None:
        """Leave what the store holds alone."""
        for process in self.process_by_id.values():
            process.write()
        self.vms_are_killed_and_start_again(set(VMS))

    @rule(vm_ids=st.sets(st.sampled_from(VMS), min_size=1))
    def vms_are_killed_and_start_again(self, vm_ids: set[str]) -> None:
        for vm_id in vm_ids:
            self.process_by_id[vm_id] = Process(self, vm_id, False)
        for vm_id in vm_ids:
            self.process_by_id[vm_id].read()

    @rule(pair=st.sampled_from([("a", "b"), ("a", "c"), ("b", "c")]))
    def a_link_is_cut_or_heals(self, pair: tuple[str, str]) -> None:
        self.cut_links ^= {frozenset(pair)}

    @rule(vm_id=st.sampled_from(VMS))
    def a_vm_loses_the_store_or_has_it_again(self, vm_id: str) -> None:
        self.cut_from_store ^= {vm_id}

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 20.0, 60.0]))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    # Streams.

    @rule(vm_id=st.sampled_from(VMS), version=st.sampled_from(VERSIONS))
    def a_stream_begins(self, vm_id: str, version: str) -> None:
        process = self.process_by_id[vm_id]
        if version not in process.versions:
            return
        stream = Stream(f"s{next(self.numbers)}", version, self.now, set())
        self.streams.append(stream)
        self._tell(process, stream, (stream.attempt_id,))

    @rule(
        vm_id=st.sampled_from(VMS),
        version=st.sampled_from(VERSIONS),
        leaves=st.booleans(),
    )
    def a_stream_begins_and_its_vm_ends_untold(
        self, vm_id: str, version: str, leaves: bool
    ) -> None:
        """Begin a stream at a version that just came, and may end with the VM."""
        self.a_version_enters_or_leaves(version, True)
        self.process_by_id[vm_id].read()
        links = self.cut_links
        self.cut_links = links | {frozenset({vm_id, other}) for other in VMS}
        self.a_stream_begins(vm_id, version)
        self.cut_links = links
        if leaves:
            self.a_version_enters_or_leaves(version, False)
        self.vms_are_killed_and_start_again({vm_id})

    def _tell(
        self, process: Process, stream: Stream, attempts: tuple[str, ...]
    ) -> None:
        source = StreamSource(SERVICE, stream.version)
        process.exchange.on_first_event(attempts, source, None, ATTEMPT_S)
        stream.known_by |= {
            (vm_id, self.process_by_id[vm_id].number)
            for vm_id in VMS
            if vm_id == process.vm_id or self.linked(process.vm_id, vm_id)
        }

    @rule()
    def a_version_is_replaced_and_all_vms_are_killed(self) -> None:
        """Leave no VM that knows of the version before, nor of its streams."""
        before = self.log.states[-1]
        self.log.states.append(frozenset(VERSIONS) - before)
        self.vms_are_killed_and_start_again(set(VMS))

    @precondition(lambda self: self.streams)
    @rule(data=st.data(), vm_id=st.sampled_from(VMS))
    def a_caller_comes_back_without_an_id(
        self, data: st.DataObject, vm_id: str
    ) -> None:
        """Resume a stream by its last event alone; it may be refused."""
        stream = data.draw(st.sampled_from(self.streams))
        resumed = ResumedStream(None, None, (SERVICE,), ATTEMPT_S)
        if self.now - stream.began_at > resumed.within_s:
            return
        process = self.process_by_id[vm_id]
        found = self.loop.run_until_complete(process.exchange.source_of(resumed))
        if isinstance(found, Ok):
            assert found.ok_value.software_version == stream.version

    @precondition(lambda self: self.streams)
    @rule(
        data=st.data(),
        vm_id=st.sampled_from(VMS),
        pause_s=st.sampled_from([0.0, 0.0, 5.0]),
    )
    def a_caller_comes_back(
        self, data: st.DataObject, vm_id: str, pause_s: float
    ) -> None:
        """Resume a stream at a VM that may stand still once it has asked others."""
        self._come_back(data.draw(st.sampled_from(self.streams)), vm_id, pause_s)

    @rule(vm_id=st.sampled_from(VMS), version=st.sampled_from(VERSIONS))
    def a_caller_comes_back_at_its_vm_that_starts_and_stands_still(
        self, vm_id: str, version: str
    ) -> None:
        self.a_stream_begins_and_its_vm_ends_untold(vm_id, version, True)
        if self.streams:
            self._come_back(self.streams[-1], vm_id, 5.0)

    def _come_back(self, stream: Stream, vm_id: str, pause_s: float) -> None:
        resumed = ResumedStream(stream.attempt_id, None, (SERVICE,), ATTEMPT_S)
        if self.now - stream.began_at > resumed.within_s:
            return
        process = self.process_by_id[vm_id]
        self.pause_s = pause_s
        found = self.loop.run_until_complete(process.exchange.source_of(resumed))
        self.pause_s = 0.0
        if isinstance(found, Ok):
            assert found.ok_value.software_version == stream.version
            if stream.version in process.versions:
                own_id = f"t{next(self.numbers)}"
                self._tell(process, stream, (stream.attempt_id, own_id))
        else:
            assert not self._should_know(vm_id, stream)

    def _should_know(self, vm_id: str, stream: Stream) -> bool:
        """Return whether the store or a VM knows, answers and may remember."""
        if self.now - stream.began_at > ATTEMPT_S:
            return False
        is_recorded = any(stream.attempt_id in row.attempts for row in self.recorded)
        if is_recorded and vm_id not in self.cut_from_store:
            return True
        return any(
            self.process_by_id[other].number == number
            and (other == vm_id or self.linked(vm_id, other))
            for other, number in stream.known_by
        )


TestStreamsMachine = StreamsMachine.TestCase
TestStreamsMachine.settings = settings(
    max_examples=400, stateful_step_count=30, deadline=None
)
