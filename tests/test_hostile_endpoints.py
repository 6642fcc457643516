"""Endpoints and a store whose answers have no end: what a VM holds is bounded.

Each test presses a VM as a process with low limits, and checks that it lives, that its
memory stays within its machine's, also later, and that ordinary requests are answered.
"""

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from bench.routed import MODEL, call
from bench.soak_site import VMProcess
from tests.endless_answers import ANSWERS, ENDLESS
from tests.hostile_site import (
    MANY_FDS,
    MIB,
    HostileSite,
    Usage,
    again_and_again,
    request,
    running_site,
    send_all,
)
from tests.test_hostile_clients import run

pytestmark = pytest.mark.alone

CALLERS = 12
"""As many requests at once as one machine's runners may spoil."""
MEMORY_MB = 120
"""Of a VM's machine: a small one."""
LEFT_BYTES = 24 * MIB
"""What a process may keep of what is over, with the memory that its allocator keeps."""
PRESS_S = 6.0
SETTLE_S = 2.0
ORDINARY_PAUSE_S = 0.1
ORDINARY_S = 1.0
"""How long an ordinary request may take; its work takes some milliseconds."""
STREAM_FIELDS = (f"X-Model: {MODEL}/a1", "X-Token-Count: 100,20")
ROUTES = {
    "/chat/1": STREAM_FIELDS,
    "/long/1": STREAM_FIELDS,
    "/book/1": (),
    "/check/1": (),
}
LIMITS = {"memory_mb": MEMORY_MB, "max_fds": MANY_FDS}
_numbers = itertools.count(1)


class Ordinary:
    """Asks a VM for what is sound, and notes how long each answer takes."""

    def __init__(self, vm: VMProcess, path: str, adapter: str | None) -> None:
        self.took_s: list[float] = []
        self._vm = vm
        self._path = path
        self._adapter = adapter
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Ask at a steady rate, whatever becomes of earlier requests."""
        while True:
            task = asyncio.create_task(self._ask())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(ORDINARY_PAUSE_S)

    async def _ask(self) -> None:
        asked_at = time.monotonic()
        with contextlib.suppress(OSError):
            await call(self._vm.callers, self._path, adapter=self._adapter)
        self.took_s.append(time.monotonic() - asked_at)

    def check(self) -> None:
        """Check that requests were answered, with whatever status, and in time."""
        assert len(self.took_s) > PRESS_S / ORDINARY_PAUSE_S / 2
        late = [took_s for took_s in self.took_s if took_s > ORDINARY_S]
        assert not late, late


async def ask_for(site: HostileSite, path: str, kinds: "itertools.cycle[str]") -> None:
    """Send a request whose answer has no end, and wait for the VM's."""
    address = site.address_of(site.vms[0], "front")
    wanted = f"{ENDLESS.decode()}: {next(kinds)}"
    fields = ("Connection: close", "Content-Length: 2", wanted, *ROUTES[path])
    await send_all(address, request(path, next(_numbers), *fields) + b"hi")


async def press(
    directory: Path, path: str, names: Iterable[str], *, relayed: bool = False
) -> None:
    """Have many callers ask for answers without end, beside ordinary requests.

    These are of a kind that the other endpoint serves. With ``relayed`` another VM
    sends them all.
    """
    other = ("/book/1", None) if ROUTES[path] else ("/chat/1", "a1")
    kinds = itertools.cycle(names)
    async with pressed_site(directory, *other, relayed=relayed) as site:
        tasks = [
            asyncio.create_task(again_and_again(lambda: ask_for(site, path, kinds)))
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(PRESS_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@asynccontextmanager
async def pressed_site(
    directory: Path, path: str, adapter: str | None = None, *, relayed: bool = False
) -> AsyncIterator[HostileSite]:
    """Run a site and ask it for what is sound; check the answers, and what is held."""
    async with running_site(directory, vms=2 if relayed else 1, **LIMITS) as site:
        vm = site.vms[0]
        if relayed:
            site.cut_from_endpoints(vm)
            await site.check_serves(vm)
        before = usage_of(vm)
        ordinary = Ordinary(vm, path, adapter)
        asking = asyncio.create_task(ordinary.run())
        yield site
        asking.cancel()
        ordinary.check()
        await site.check_serves(vm)
        await asyncio.sleep(SETTLE_S)
        site.check_bounds()
        assert usage_of(vm).memory_bytes < before.memory_bytes + LEFT_BYTES


def usage_of(vm: VMProcess) -> Usage:
    """Return what a process holds now."""
    usage = Usage()
    usage.sample(vm)
    return usage


class TestRequests:
    """Answers to requests of many callers at once."""

    @pytest.mark.parametrize("path", ROUTES)
    def test_in_all_ways_without_an_end(self, tmp_path: Path, path: str) -> None:
        """Guards against keeping all that an endpoint sends, and reading only that."""
        run(press(tmp_path, path, ANSWERS))

    @pytest.mark.parametrize("name", ["long chunks", "no frame", "chunks of two bytes"])
    def test_long_plain_ones_at_once(self, tmp_path: Path, name: str) -> None:
        """Guards against a bound of one answer that many together exceed."""
        run(press(tmp_path, "/book/1", [name]))

    @pytest.mark.parametrize("name", ["chunks of a byte", "empty events in chunks"])
    def test_streams_that_take_long_to_read(self, tmp_path: Path, name: str) -> None:
        """Guards against an answer that holds up all other requests."""
        run(press(tmp_path, "/long/1", [name]))


class TestRelays:
    """Answers by way of another VM."""

    @pytest.mark.parametrize("path", ["/long/1", "/book/1"])
    def test_in_all_ways_without_an_end(self, tmp_path: Path, path: str) -> None:
        """Guards against two VMs that are filled, or held up, by one endpoint."""
        run(press(tmp_path, path, ANSWERS, relayed=True))


class TestReports:
    """Answers to a VM's own questions to endpoints."""

    @pytest.mark.parametrize(
        "name", ["no answer at all", "no frame", "chunks of 32 bytes"]
    )
    def test_without_an_end(self, tmp_path: Path, name: str) -> None:
        """Guards against a report that fills the memory before its timeout."""

        async def test() -> None:
            async with pressed_site(tmp_path, "/book/1") as site:
                site.runner.endless_calls = ANSWERS[name]
                await asyncio.sleep(PRESS_S)
                site.runner.endless_calls = None

        run(test())


class TestStore:
    """Answers of the metadata store."""

    @pytest.mark.parametrize("name", ["no frame", "chunks of 32 bytes"])
    def test_without_an_end(self, tmp_path: Path, name: str) -> None:
        """Guards against a store that fills the memory before its timeout."""

        async def test() -> None:
            async with pressed_site(tmp_path, "/book/1") as site:
                site.store.endless_calls = ANSWERS[name]
                await asyncio.sleep(PRESS_S)
                site.store.endless_calls = None

        run(test())
