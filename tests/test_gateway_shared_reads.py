"""Configuration and versions in a large fleet, where a few VMs read for all.

A fleet of five stands for a large one: the limit of small ones is set below.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager

import pytest

from bamboovale.gateway import fleet, view_watch
from bench.soak_proxy import Proxy
from tests.gateway_site import (
    MODEL,
    RunningVM,
    Site,
    configuration,
    eventually,
    proxy_of_store,
    run,
    running_site,
)

CONFIG_S = 1.5
"""Time in which a change reaches every VM: half of the least bound of a large fleet."""
FALLBACK_S = 3.0
"""The same while the VMs that read have lost the store."""


@pytest.fixture(autouse=True)
def _few_readers(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(fleet, "MAX_SMALL_FLEET", 2)
    monkeypatch.setattr(view_watch, "READERS", 2)
    yield


@asynccontextmanager
async def large_fleet() -> AsyncIterator[tuple[Site, dict[str, Proxy]]]:
    """Run five VMs, each with a proxy of its own to the store."""
    async with running_site(vms=1) as site:
        proxies = {}
        for number in range(1, 5):
            proxy = await proxy_of_store(site)
            name = f"entry-{number}"
            proxies[name] = proxy
            await site.add_vm(name, store=proxy.address)
        await site.ready()
        await asyncio.sleep(1.5)
        yield site, proxies
        for proxy in proxies.values():
            proxy.close()


def readers_of(site: Site) -> list[RunningVM]:
    """Return the VMs that read the configuration for all."""
    first = site.vms[0].vm.state.fleet
    names = first.designated("view-readers", view_watch.READERS)
    return [vm for vm in site.vms if vm.node.name in names]


def _version(vm: RunningVM) -> int | None:
    return vm.vm.state.table.version if vm.vm.state.table else None


class TestFewReaders:
    """A few VMs read the configuration from the store."""

    def test_the_others_read_nothing_while_nothing_changes(self) -> None:
        """Guards against a read by every VM of a large fleet for each change."""

        async def test() -> None:
            async with large_fleet() as (site, _):
                others = [vm for vm in site.vms if vm not in readers_of(site)]
                before = [vm.vm.state.view.proven_at for vm in others]
                await asyncio.sleep(2.0)
                for vm, proven_at in zip(others, before, strict=True):
                    assert vm.vm.state.view.proven_at > proven_at
                    assert vm.vm.state.view.source != "store"

        run(test())

    def test_a_change_reaches_every_vm_in_time(self) -> None:
        async def test() -> None:
            async with large_fleet() as (site, _):
                config = configuration(version=2)
                await site.store.put("keyed.op", "config", config)
                record = {"model": MODEL, "adapter": "a1", "version": 2}
                await site.store.put("keyed.op", f"version/{MODEL}.a1", record)
                await eventually(
                    lambda: all(_version(vm) == 2 for vm in site.vms), CONFIG_S
                )
                await eventually(
                    lambda: all(
                        vm.vm.state.version_of(MODEL, "a1") == 2 for vm in site.vms
                    ),
                    CONFIG_S,
                )

        run(test())

    def test_a_change_applies_although_the_readers_have_lost_the_store(self) -> None:
        """Guards against a fleet that waits for readers which cannot read."""

        async def test() -> None:
            async with large_fleet() as (site, proxies):
                for vm in readers_of(site):
                    proxy = proxies.get(vm.node.name)
                    if proxy is not None:
                        proxy.faults.refuse = True
                        proxy.reset()
                await asyncio.sleep(0.2)
                config = configuration(version=2)
                await site.store.put("keyed.op", "config", config)
                await eventually(
                    lambda: all(_version(vm) == 2 for vm in site.vms), FALLBACK_S
                )

        run(test())

    def test_a_vm_that_starts_knows_what_was_published_before(self) -> None:
        async def test() -> None:
            async with large_fleet() as (site, _):
                record = {"model": MODEL, "adapter": "a1", "version": 3}
                await site.store.put("keyed.op", f"version/{MODEL}.a1", record)
                late = await site.add_vm("late")
                await eventually(lambda: late.vm.state.version_of(MODEL, "a1") == 3)

        run(test())
