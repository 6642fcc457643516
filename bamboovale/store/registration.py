"""Registration of VM addresses in the metadata store, by which VMs find each other."""

import asyncio
import contextlib
import json
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from bamboovale.decoding import BadRecordError, reading, to_int, to_text
from bamboovale.gateway.vm_state import VMState
from bamboovale.store.interface import KeyedRecord, MetadataStore, StoreError
from bamboovale.store.record_guard import RecordGuard

ALONE_READ_INTERVAL_S = 1.0
"""Interval of reads while no other VM is known, or after a failure."""
READ_INTERVAL_S = 5.0
"""Interval of reads in a small fleet, to find VMs that could not announce themselves.
In a larger fleet each VM reads less often, as gossip spreads what one of them finds."""
SMALL_FLEET = 12
PORTS = 65_536
WRITES_PER_S = 100.0
"""Addresses that all VMs together write again after a return of the store."""


class RecordReader(Protocol):
    """Reads other records of the topic that holds the addresses."""

    def apply(self, record: KeyedRecord) -> bool:
        """Apply a record; returns False if it is not one of the reader's."""


class Registration:
    """Writes this VM's address to the store and reads those of the others.

    ``others`` read the records that are no addresses.
    """

    def __init__(
        self,
        state: VMState,
        topic: str,
        store: MetadataStore,
        others: Sequence[RecordReader],
        on_contact: Callable[[], None],
    ) -> None:
        self._state = state
        self._topic = topic
        self._store = store
        self._guard = RecordGuard(topic, state.journal, self._apply)
        self._others = others
        self._on_contact = on_contact
        self._is_written = False
        self._returned = asyncio.Event()

    def on_store_returned(self) -> None:
        """Write this VM's address again, as the store may have lost it."""
        self._is_written = False
        self._returned.set()

    async def keep(self) -> None:
        """Write this VM's address, and read the others forever."""
        while True:
            try:
                await self._write()
                await self._read()
                self._state.knows_fleet = True
                self._state.has_read_fleet = True
            except StoreError as error:
                self._state.journal.write("registration_failed", error=str(error))
                self._state.knows_fleet = True
                await asyncio.sleep(ALONE_READ_INTERVAL_S)
                continue
            await self._pause()

    async def _pause(self) -> None:
        """Wait until the next read, or the next write after a return of the store.

        VMs write within a while of one another, as their calls have a common limit.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._pause_s()):
                await self._returned.wait()
        if self._returned.is_set():
            self._returned.clear()
            spread_s = self._state.fleet.expected_size() / WRITES_PER_S
            await asyncio.sleep(spread_s * random.random())

    async def _write(self) -> None:
        if self._is_written:
            return
        node = self._state.node
        value = json.dumps([node.ip, node.peers_port]).encode()
        await self._store.put(self._topic, node.name, value)
        self._is_written = True

    async def _read(self) -> None:
        """Read all addresses; calls ``on_contact`` if there are new VMs."""
        snapshot = await self._store.newest(self._topic)
        if any(await self._guard.apply_all(snapshot.records)):
            self._on_contact()

    def _apply(self, record: KeyedRecord) -> bool:
        """Apply a record; returns whether it names a new VM."""
        if record.value is None or any(o.apply(record) for o in self._others):
            return False
        address = decode_address(record.value)
        membership = self._state.fleet.membership
        return membership.add_contact(record.key, address, self._state.now())

    def _pause_s(self) -> float:
        size = self._state.fleet.expected_size()
        if size == 1:
            return ALONE_READ_INTERVAL_S
        return READ_INTERVAL_S * max(1.0, size / SMALL_FLEET) * random.uniform(0.8, 1.2)


def decode_address(value: bytes) -> tuple[str, int]:
    """Return host and port of a VM's record; raises BadRecordError."""
    with reading("address"):
        host, port = json.loads(value)
        address = (to_text(host), to_int(port))
    if not 0 < address[1] < PORTS:
        raise BadRecordError("address: not a port")
    return address
