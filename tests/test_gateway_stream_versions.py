"""Streams at engines whose software versions differ."""

import asyncio
from typing import Any

import pytest

from bamboovale.standins.platform_runner import PlatformRunner
from tests.gateway_site import (
    CallerAnswer,
    Site,
    call,
    configuration,
    eventually,
    run,
    running_site,
)
from tests.stream_tries import (
    LAST_EVENT_ID,
    RESUMABLE_PATH,
    RESUMES,
    StreamTries,
    begin_streams,
)

EVENT_S, LASTING_EVENT_S = 0.05, 0.15
STREAMS = 4
AT_ONCE_S = 1.0
HISTORY_S = 10.0
MISSED_HEARTBEATS = 30
OLD, NEW = "v1", "v2"
RESUMED = "stream_resumed"


def roomy() -> dict[str, Any]:
    """Return a configuration whose engines have slots for all adapters."""
    config = configuration()
    config["services"][0]["engine"]["adapter-slots"] = STREAMS
    return config


def two_pools(version: int, service: str, suffix: str = "") -> dict[str, Any]:
    """Return a configuration with two pools of engines, and streams at one."""
    config = {**roomy(), "version": version}
    config["services"].append({**config["services"][0], "name": "llm-2"})
    for route in config["routes"]:
        route["name"] += suffix
        if route["service"] == "llm":
            route["service"] = service
    return config


async def add_engine(
    site: Site, software: str, adapters: int = STREAMS, **options: Any
) -> None:
    """Start an engine of a version that holds the first adapters."""
    name = f"runner-{len(site.runners)}"
    runner = await site.add_runner(
        name, software=software, adapter_slots=STREAMS, events=40, **options
    )
    runner.faults.event_s = EVENT_S
    for number in range(1, adapters + 1):
        runner.preload(f"a{number}")


def has_begun(site: Site, streams: list[StreamTries]) -> bool:
    """Return whether an engine has sent events of every stream."""
    begun = {
        run.request_id for runner in site.runners for run in runner.runs if run.events
    }
    return all(begun.issuperset(stream.ids) and stream.ids for stream in streams)


async def begin_at_the_old_version(
    site: Site,
) -> tuple[list[StreamTries], "asyncio.Future[list[CallerAnswer]]"]:
    """Begin streams while only the old version serves, then add engines.

    Of the old version only the first one has the adapters; it is slow enough for its
    streams to be under way when the others are ready.
    """
    await add_engine(site, OLD)
    site.runners[0].faults.event_s = LASTING_EVENT_S
    await site.ready()
    streams, answers = begin_streams(site.vms[0].address, STREAMS)
    await eventually(lambda: has_begun(site, streams))
    for _ in range(2):
        await add_engine(site, OLD, adapters=0)
        await add_engine(site, NEW)
    await site.ready()
    site.runners[0].faults.event_s = EVENT_S
    return streams, answers


class TestWithinOneAnswer:
    """An engine breaks streams off, and their VM goes on elsewhere."""

    @pytest.mark.parametrize("crashes", [False, True])
    def test_a_stream_goes_on_at_the_version_that_began_it(self, crashes: bool) -> None:
        """Guards against answers joined from two software versions."""

        async def test() -> None:
            async with running_site(
                vms=2, runners=0, services=1, config=roomy()
            ) as site:
                streams, answers = await begin_at_the_old_version(site)
                engine = site.runners[0]
                engine.faults.cut_after = 0
                if crashes:
                    engine.crash()
                await answers
                assert [len(stream.versions(site)) for stream in streams] == (
                    [1] * STREAMS
                )
                assert all(stream.is_complete for stream in streams)

        run(test())


class TestOverACallersTries:
    """A stream's VM ends, and its caller comes back at another one."""

    def test_a_stream_goes_on_at_the_version_that_began_it(self) -> None:
        """Guards against a VM that resumes a stream it has never heard of."""

        async def test() -> None:
            async with running_site(
                vms=4, runners=0, services=1, config=roomy()
            ) as site:
                streams, answers = await begin_at_the_old_version(site)
                killed = site.vms.pop(0)
                killed.task.cancel()
                await killed.vm.close()
                await answers
                await site.runners[0].unregister()
                await eventually(lambda: len(site.owned()) == len(site.runners) - 1)
                others = [item.address for item in site.vms]
                for number, stream in enumerate(streams):
                    assert not stream.is_complete
                    await stream.attempt(others[number % len(others)])
                assert [len(stream.versions(site)) for stream in streams] == (
                    [1] * STREAMS
                )
                assert all(stream.is_complete for stream in streams)

        run(test())


async def resume_stream(site: Site, vm: int, attempt: str | None) -> CallerAnswer:
    """Resume a stream after its third event by the id of an attempt, or by none."""
    headers = {LAST_EVENT_ID: "3"}
    if attempt is not None:
        headers[RESUMES] = attempt
    return await call(
        site.vms[vm].address, RESUMABLE_PATH, adapter="a1", headers=headers
    )


class TestUnknownStart:
    """Attempts that no VM knows."""

    def test_it_goes_on_if_one_version_alone_can_have_begun_it(self) -> None:
        """Guards against streams that are lost with the VMs that knew them."""

        async def test() -> None:
            async with running_site(2, 0, 1, roomy()) as site:
                await add_engine(site, OLD)
                await site.ready()
                answer = await resume_stream(site, 0, "nobody-knows")
                assert answer.status == 200
                assert answer.body.startswith(b"id: 4\n")

        run(test())

    def test_callers_that_name_none_go_on_with_one_version(self) -> None:
        """Guards against streams that end at a VM which has just started."""

        async def test() -> None:
            async with running_site(2, 0, 1, roomy()) as site:
                await add_engine(site, OLD)
                await site.ready()
                await site.restart_vm(0)
                await site.ready()
                answer = await resume_stream(site, 0, None)
                assert answer.body.startswith(b"id: 4\n")
                await add_engine(site, NEW)
                await site.ready()
                answer = await resume_stream(site, 0, None)
                assert answer.status == 503

        run(test())

    def test_it_is_refused_at_once_if_two_versions_may_have(self) -> None:
        """Guards against streams joined from two versions, and vain attempts."""

        async def test() -> None:
            async with running_site(2, 0, 1, roomy()) as site:
                await add_engine(site, OLD)
                await add_engine(site, NEW)
                await site.ready()
                began_at = site.vms[0].vm.state.now()
                answer = await resume_stream(site, 0, "nobody-knows")
                took_s = site.vms[0].vm.state.now() - began_at
                assert answer.status == 503
                assert answer.header("retry-after") is None
                assert took_s < AT_ONCE_S
                assert not any(runner.runs for runner in site.runners)
                lines = site.vms[0].journal.of("stream_resumed")
                assert [line["refused"] for line in lines] == ["start_unknown"]

        run(test())

    def test_a_version_that_came_lately_counts(self) -> None:
        """Guards against a VM that has not read of a new version yet."""

        async def test() -> None:
            async with running_site(2, 0, 1, roomy()) as site:
                await add_engine(site, OLD)
                await site.ready()
                await add_engine(site, NEW)
                answer = await resume_stream(site, 0, "nobody-knows")
                assert answer.status == 503

        run(test())


async def check_moved_service_counts(*, reads_it: bool, suffix: str) -> None:
    """Resume a stream nobody knows after its route has moved to another service.

    The suffix is that of all routes' names then; ``reads_it`` is whether the VM reads
    of the move before it is asked.
    """
    async with running_site(1, 0, 1, two_pools(1, "llm"), behind_proxy=True) as site:
        await add_engine(site, OLD)
        await add_engine(site, NEW, service="llm-2")
        await site.ready()
        assert site.store_proxy is not None
        if not reads_it:
            site.store_proxy.silence_open()
        moved = two_pools(2, "llm-2", suffix)
        await site.store.put("keyed.op", "config", moved)
        state = site.vms[0].vm.state
        if reads_it:
            await eventually(lambda: state.table.version == 2)
        answer = await resume_stream(site, 0, "nobody-knows")
        while answer.header("retry-after") is not None:
            answer = await resume_stream(site, 0, "nobody-knows")
        assert answer.status == 503
        assert not any(runner.runs for runner in site.runners)
        line = site.vms[0].journal.of(RESUMED)[-1]
        assert (line["config"], line["versions"]) == (2, [OLD, NEW])


class TestVMOutOfStep:
    """A VM that has missed what the others read, and gets their streams."""

    def test_a_new_version_behind_many_records_counts(self) -> None:
        """Guards against a part of what is to be read that is taken for all of it."""

        async def test() -> None:
            async with running_site(2, 0, 1, roomy()) as site:
                await add_engine(site, OLD)
                await site.ready()
                site.store.read_bytes = 1
                for _ in range(MISSED_HEARTBEATS):
                    await site.runners[0].register("ready")
                await add_engine(site, NEW)
                answer = await resume_stream(site, 0, "nobody-knows")
                assert answer.status == 503
                assert not any(runner.runs for runner in site.runners)

        run(test())

    @pytest.mark.parametrize("reads_it", [True, False])
    def test_a_service_that_the_route_moved_to_counts(self, reads_it: bool) -> None:
        """Guards against versions of one service that are taken for the route's."""
        run(check_moved_service_counts(reads_it=reads_it, suffix=""))

    @pytest.mark.parametrize("reads_it", [True, False])
    def test_also_if_the_route_has_another_name_then(self, reads_it: bool) -> None:
        """Guards against a route that is known by its name, and not by its path."""
        run(check_moved_service_counts(reads_it=reads_it, suffix="-new"))


async def replace_the_software(site: Site) -> None:
    """Start engines of the new version, and let those of the old one leave."""
    olds = list(site.runners)
    for _ in olds:
        await add_engine(site, NEW)
    await site.ready()
    for runner in olds:
        await runner.unregister()
        site.runners.remove(runner)
        runner.end()
    await site.ready()


class TestAllVMsKilled:
    """All entry VMs are killed at once, start again, and callers come back."""

    @pytest.mark.parametrize("names_attempt", [True, False])
    def test_the_old_version_has_just_left(self, names_attempt: bool) -> None:
        """Guards against a newer version that is taken for the only one there was."""

        async def test() -> None:
            async with running_site(2, 0, 1, roomy()) as site:
                await add_engine(site, OLD)
                await site.ready()
                stream = begin_streams(site.vms[0].address, 1)[0][0]
                await eventually(lambda: has_begun(site, [stream]))
                await replace_the_software(site)
                await site.restart_vms()
                await site.ready()
                attempt = stream.ids[0] if names_attempt else None
                answer = await resume_stream(site, 0, attempt)
                assert answer.status == 503
                assert not any(runner.runs for runner in site.runners)
                line = site.vms[0].journal.of(RESUMED)[0]
                assert line["ground"] == ("recorded" if names_attempt else None)
                assert line["history_s"] < HISTORY_S

        run(test())


class TestTwoVersionsAndAllVMsKilled:
    """All entry VMs are killed at once while two versions serve."""

    def test_streams_go_on_at_the_version_that_began_them(self) -> None:
        """Guards against streams that end with the VMs that knew who began them."""

        async def test() -> None:
            async with running_site(2, 0, 1, roomy()) as site:
                streams, answers = await begin_at_the_old_version(site)
                await site.restart_vms()
                await answers
                await site.runners[0].unregister()
                await eventually(lambda: len(site.owned()) == len(site.runners) - 1)
                for number, stream in enumerate(streams):
                    assert not stream.is_complete
                    await stream.attempt(site.vms[number % 2].address)
                assert [len(stream.versions(site)) for stream in streams] == (
                    [1] * STREAMS
                )
                assert all(stream.is_complete for stream in streams)
                lines = [line for vm in site.vms for line in vm.journal.of(RESUMED)]
                assert "recorded" in {line["ground"] for line in lines}

        run(test())

    def test_they_are_killed_twice_in_a_row(self) -> None:
        """Guards against records that the first start of all VMs replaces."""

        async def test() -> None:
            async with running_site(2, 0, 1, roomy()) as site:
                streams, answers = await begin_at_the_old_version(site)
                await site.restart_vms()
                await answers
                await site.ready()
                await site.restart_vms()
                await site.ready()
                for stream in streams:
                    await stream.attempt(site.vms[0].address)
                assert [len(stream.versions(site)) for stream in streams] == (
                    [1] * STREAMS
                )
                assert all(stream.is_complete for stream in streams)

        run(test())

    def test_the_store_is_away_when_callers_come_back(self) -> None:
        """Guards against streams that are refused for good while they are recorded."""

        async def test() -> None:
            async with running_site(2, 0, 1, roomy()) as site:
                streams, answers = await begin_at_the_old_version(site)
                await site.restart_vms()
                await answers
                await site.ready()
                site.store.faults.mode = "busy"
                attempt = streams[0].ids[0]
                answer = await resume_stream(site, 0, attempt)
                assert answer.status == 503
                assert answer.header("retry-after") is not None
                site.store.faults.mode = "ok"
                answer = await resume_stream(site, 0, attempt)
                assert answer.status == 200
                assert f"\n: {OLD}\n".encode() in answer.body
                assert f"\n: {NEW}\n".encode() not in answer.body

        run(test())

    def test_the_store_returns_from_a_copy_without_the_records(self) -> None:
        """Guards against a store that has lost records and is taken for complete."""

        async def test() -> None:
            async with running_site(2, 0, 1, roomy()) as site:
                await add_engine(site, OLD)
                await site.ready()
                older = site.store.keep_copy()
                stream = begin_streams(site.vms[0].address, 1)[0][0]
                await eventually(lambda: has_begun(site, [stream]))
                await replace_the_software(site)
                for item in site.vms:
                    await item.kill()
                await site.store.return_from(older)
                await site.store.write_again()
                await site.restart_vms()
                await site.ready()
                eras = [item.vm.state.eras for item in site.vms]
                await eventually(lambda: all(era.is_rewritten() for era in eras))
                answer = await resume_stream(site, 0, stream.ids[0])
                assert answer.status == 503
                assert not any(runner.runs for runner in site.runners)

        run(test())


class TestSoftwareThatIsGone:
    """The last engines of the version that began streams end or leave."""

    def test_a_stream_ends_at_once_without_an_endpoint_of_its_version(self) -> None:
        """Guards against callers that wait for a version that is gone."""

        async def test() -> None:
            async with running_site(2, 0, 1, roomy()) as site:
                await add_engine(site, OLD)
                await add_engine(site, NEW, adapters=0)
                await site.ready()
                streams = begin_streams(site.vms[0].address, 1)[0]
                await eventually(lambda: has_begun(site, streams))
                site.runners[0].crash()
                await site.runners[0].unregister()
                endpoints = site.vms[1].vm.state.endpoints
                await eventually(lambda: not endpoints.is_ready("runner-0"))
                began_at = site.vms[0].vm.state.now()
                await eventually(lambda: streams[0].answers)
                answer = await streams[0].attempt(site.vms[1].address)
                assert site.vms[0].vm.state.now() - began_at < AT_ONCE_S
                assert answer.status == 503
                assert not site.runners[1].runs

        run(test())

    def test_a_leaving_engine_serves_streams_that_it_alone_can(self) -> None:
        """Guards against streams that end while an engine could go on with them."""

        async def test() -> None:
            async with running_site(2, 0, 1, roomy()) as site:
                await add_engine(site, OLD)
                await add_engine(site, NEW)
                await site.ready()
                for vm in site.vms:
                    await call(vm.address, RESUMABLE_PATH, adapter="a1")
                stream = begin_streams(site.vms[0].address, 1)[0][0]
                await eventually(lambda: has_begun(site, [stream]))
                began = next(r for r in site.runners if has_run(r, stream.ids[0]))
                await began.register("draining")
                endpoints = site.vms[1].vm.state.endpoints
                await eventually(lambda: not endpoints.is_ready(began.endpoint_id))
                headers = {RESUMES: stream.ids[0], LAST_EVENT_ID: "3"}
                answer = await call(
                    site.vms[1].address, RESUMABLE_PATH, adapter="a1", headers=headers
                )
                assert answer.status == 200
                assert answer.header("x-server-stamp") == f"stamp.{began.endpoint_id}"

        run(test())


def has_run(runner: PlatformRunner, attempt: str) -> bool:
    """Return whether an engine ran an attempt."""
    return any(run.request_id == attempt for run in runner.runs)


class TestEngineThatStartsAgain:
    """An engine comes back under its id with other software."""

    def test_it_does_not_go_on_with_streams_of_the_software_before(self) -> None:
        """Guards against a version that is taken to belong to an id or an address."""

        async def test() -> None:
            async with running_site(2, 0, 1, roomy()) as site:
                await add_engine(site, OLD)
                engine = site.runners[0]
                engine.born_ms = 1
                await engine.register("ready")
                await eventually(lambda: "runner-0@1" in site.owned())
                streams, answers = begin_streams(site.vms[0].address, 2)
                await eventually(lambda: has_begun(site, streams))
                await engine.restart(born_ms=2, software=NEW)
                engine.preload("a1")
                engine.preload("a2")
                await answers
                for stream in streams:
                    await stream.attempt(site.vms[1].address)
                versions = [len(stream.versions(site)) for stream in streams]
                assert versions == [1, 1]

        run(test())
