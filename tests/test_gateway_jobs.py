"""Background tasks of a VM that an error ends."""

import asyncio
from collections import Counter
from unittest.mock import AsyncMock

import pytest

from bamboovale.gateway import jobs
from bamboovale.gateway.jobs import Jobs
from tests.gateway_site import (
    RecordedJournal,
    Site,
    configuration,
    eventually,
    run,
    running_site,
)

FAULTS = 6
"""Errors in a row of each call to the store."""


class Failing:
    """A job that fails some times and then runs on."""

    def __init__(self, errors: int) -> None:
        self.errors = errors
        self.starts = 0
        self.cancelled = False

    async def run(self) -> None:
        self.starts += 1
        if self.starts <= self.errors:
            raise RuntimeError("x" * 10_000)
        try:
            await asyncio.sleep(60.0)
        except asyncio.CancelledError:
            self.cancelled = True
            raise


@pytest.fixture
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(jobs, "FIRST_PAUSE_S", 0.01)
    monkeypatch.setattr(jobs, "LAST_PAUSE_S", 0.04)


@pytest.mark.usefixtures("quick")
class TestJobs:
    """Tasks that run until they are cancelled."""

    def test_a_task_that_failed_runs_again_after_longer_and_longer_pauses(
        self,
    ) -> None:
        """Guards against a part of a VM that ends without a word."""

        async def test() -> None:
            journal, failed = RecordedJournal("vm"), []
            running, job = Jobs(journal, failed.append), Failing(4)
            running.keep({"part": job.run})
            await eventually(lambda: job.starts == 5)
            lines = journal.of("task_failed")
            assert [line["again_in_s"] for line in lines] == [0.01, 0.02, 0.04, 0.04]
            assert {line["job"] for line in lines} == {"part"} == set(failed)
            assert all(line["place"].startswith("test_gateway_") for line in lines)
            assert all(len(line["error"]) < 400 for line in lines)
            running.cancel()
            await eventually(lambda: job.cancelled)

        run(test())

    def test_none_runs_again_once_cancelled(self) -> None:
        """Guards against a closed VM that goes on."""

        async def test() -> None:
            running, job = Jobs(RecordedJournal("vm")), Failing(10**9)
            running.keep({"part": job.run})
            await eventually(lambda: job.starts > 2)
            running.cancel()
            await asyncio.sleep(0)
            starts = job.starts
            await asyncio.sleep(0.1)
            assert job.starts == starts

        run(test())

    def test_one_that_ends_by_itself_or_is_run_once_stays_ended(self) -> None:
        async def test() -> None:
            starts: list[str] = []

            async def end() -> None:
                starts.append("end")

            async def fail() -> None:
                starts.append("fail")
                raise KeyError("k")

            journal = RecordedJournal("vm")
            running = Jobs(journal)
            running.keep({"end": end})
            running.start("fail", fail)
            await asyncio.sleep(0.1)
            assert sorted(starts) == ["end", "fail"]
            [line] = journal.of("task_failed")
            assert (line["job"], line["again_in_s"]) == ("fail", None)

        run(test())


def break_store(site: Site, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have some calls of every kind to the store raise what nobody expects."""
    for item in site.vms:
        for name in ("newest", "read", "put", "join"):
            monkeypatch.setattr(item.vm._store, name, _failing(item.vm._store, name))


def _failing(store: object, name: str) -> object:
    sound = getattr(store, name)
    failed: Counter[object] = Counter()

    async def call(*args: object, **options: object) -> object:
        about = args[0] if args else name
        failed[about] += 1
        if failed[about] <= FAULTS:
            raise KeyError(name)
        return await sound(*args, **options)

    return call


@pytest.mark.usefixtures("quick")
class TestVM:
    """VMs whose tasks end by an error."""

    def test_a_vm_follows_owns_and_finds_others_after_errors_nobody_expects(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a VM that is ready without a part that it needs."""

        async def test() -> None:
            async with running_site(vms=2) as site:
                break_store(site, monkeypatch)
                for version in (2, 3):
                    await site.store.put("keyed.op", "config", configuration(version))
                    await asyncio.sleep(0.5)
                await site.add_service("service-new")
                await site.add_runner("runner-new")
                await site.ready()
                await site.add_vm("entry-new")
                await site.ready()
                tables = [item.vm.state.table for item in site.vms]
                assert {table and table.version for table in tables} == {3}
                failed = {
                    line["job"]
                    for item in site.vms
                    for line in item.journal.of("task_failed")
                }
                assert failed >= {"operator_topic", "endpoints_topic", "ownership"}

        run(test())

    def test_an_owner_reads_reports_on_after_an_error_nobody_expects(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an engine whose state its owner never hears again."""

        async def test() -> None:
            async with running_site() as site:
                [vm] = site.vms
                [owner] = vm.vm._engines.owner_by_engine.values()
                client = owner._context.client
                monkeypatch.setattr(client, "report", _failing(client, "report"))
                failed = vm.journal.of
                await eventually(lambda: len(failed("task_failed")) == FAULTS)
                monkeypatch.setattr(client, "report", report := AsyncMock())
                await eventually(lambda: report.await_count)

        run(test())
