"""Requests that entry VMs send to endpoints for one another."""

import asyncio
import random
import time
from typing import Any

from bamboovale.decisions.relay_choice import (
    ASKED_AGAIN_S,
    PASSED_OVER_S,
    Helper,
    RelayChoice,
)
from bamboovale.relay.client import Relays
from bamboovale.relay.messages import RelayNext, RelayRequest
from bamboovale.standins.platform_endpoints import PlatformEndpoint
from tests.gateway_site import Site, call, eventually, run, running_site
from tests.path_cuts import REFUSE, cut_from_endpoints, put_out_of_reach

LONG_EVENT_S = 0.5


def relayed(site: Site) -> list[dict]:
    """Return the lines of requests that VMs sent for others."""
    return [line for item in site.vms for line in item.journal.of("relayed")]


class TestRelayedRequest:
    """A VM that is cut off from all endpoints has another VM send its requests."""

    def test_both_vms_log_the_request(self) -> None:
        async def test() -> None:
            async with running_site(vms=2, services=2) as site:
                cut, other = site.vms
                with cut_from_endpoints(site, [cut], REFUSE):
                    await put_out_of_reach(cut)
                    answer = await call(cut.address, "/book/1", attempt="one")
                assert answer.status == 200
                [line] = [x for x in cut.journal.of("request") if x["id"] == "one"]
                assert line["attempts"][-1]["via"] == other.node.name
                [line] = other.journal.of("relayed")
                assert (line["id"], line["sender"]) == ("one", cut.node.name)
                assert line["outcome"] == "answered"

        run(test())

    def test_a_caller_that_leaves_ends_the_run(self) -> None:
        """Guards against engines that work for nobody."""

        async def test() -> None:
            async with running_site(vms=2, runners=2) as site:
                await call(site.vms[0].address, "/chat/1", adapter="a1")
                for runner in site.runners:
                    runner.faults.event_s = LONG_EVENT_S
                cut = site.vms[0]
                with cut_from_endpoints(site, [cut], REFUSE):
                    await put_out_of_reach(cut)
                    caller = asyncio.create_task(
                        call(cut.address, "/chat/1", adapter="a1", attempt="left")
                    )
                    await eventually(lambda: _runs(site, "left"))
                    caller.cancel()
                    await eventually(
                        lambda: _runs(site, "left")[0].ended == "cancelled", 2.0
                    )

        run(test())

    def test_a_vm_that_is_about_to_stop_helps_if_there_is_no_other(self) -> None:
        async def test() -> None:
            async with running_site(vms=2, services=2) as site:
                cut, other = site.vms
                with cut_from_endpoints(site, [cut], REFUSE):
                    await put_out_of_reach(cut)
                    other.vm.stop()
                    await eventually(lambda: not cut.vm.state.fleet.serving())
                    answer = await call(cut.address, "/book/1")
                    assert answer.status == 200

        run(test())

    def test_what_may_have_run_is_not_refused_when_the_other_vm_dies(self) -> None:
        """Guards against a call that runs twice, as its caller was told it did not."""

        async def test() -> None:
            async with running_site(vms=2, services=2) as site:
                for service in site.services:
                    service.faults.event_s = 2.0
                cut, other = site.vms
                with cut_from_endpoints(site, [cut], REFUSE):
                    await put_out_of_reach(cut)
                    answer = asyncio.create_task(
                        call(cut.address, "/book/1", attempt="lost")
                    )
                    await eventually(lambda: _runs(site, "lost"))
                    other.task.cancel()
                    await other.vm.close()
                    assert (await answer).status in (502, 504)

        run(test())

    def test_without_a_vm_in_touch_it_is_refused_at_once_and_never_runs(self) -> None:
        """Guards against VMs that pass a request on to one another until it is late."""

        async def test() -> None:
            async with running_site(vms=3, services=2) as site:
                with cut_from_endpoints(site, site.vms, REFUSE):
                    for item in site.vms:
                        await put_out_of_reach(item)
                    started_at = time.monotonic()
                    answer = await call(site.vms[0].address, "/book/1", attempt="no")
                    assert time.monotonic() - started_at < 0.3
                assert answer.status == 503
                assert not _runs(site, "no")
                assert len(relayed(site)) <= 4

        run(test())

    def test_a_vm_whose_paths_are_back_sends_by_itself_soon(self) -> None:
        async def test() -> None:
            async with running_site(vms=2, services=2) as site:
                cut, _ = site.vms
                with cut_from_endpoints(site, [cut], REFUSE):
                    await put_out_of_reach(cut)
                    await call(cut.address, "/book/1")
                for _ in range(15):
                    await call(cut.address, "/book/1")
                    await asyncio.sleep(0.1)
                before = len(relayed(site))
                answers = [await call(cut.address, "/book/1") for _ in range(5)]
                assert {answer.status for answer in answers} == {200}
                assert len(relayed(site)) == before

        run(test())


class Replies(list[Any]):
    """Collects what a VM replies, on a link that may have ended."""

    is_lost = False

    def __call__(self, message: Any) -> None:
        """Collect a reply."""
        self.append(message)


class TestEarlierProcess:
    """A VM that starts again while others have exchanges of its earlier process."""

    def test_the_end_of_an_old_exchange_leaves_a_new_one_of_its_number(self) -> None:
        """Guards against requests that run and whose answers are not found."""

        async def test() -> None:
            async with running_site(runners=0) as site:
                [service] = site.services
                service.faults.event_s = 0.4
                server = site.vms[0].vm._access.relay_server
                old, new = Replies(), Replies()
                server.on_query("other", _request("old", service, 0.2), old)
                await asyncio.sleep(0.1)
                server.on_query("other", _request("new", service, 3.0), new)
                await asyncio.sleep(0.2)
                assert len(server) == 1
                await eventually(lambda: new)
                server.on_query("other", RelayNext("1"), new)
                await eventually(lambda: len(new) == 2)
                assert (new[0].status, new[1].data) == (200, b"service-0 new")
                assert old == []

        run(test())

    def test_the_numbers_of_two_processes_differ(self) -> None:
        choice = RelayChoice(random.Random(1))
        numbers = {
            Relays(None, list, choice, time.monotonic)
            .open("e", "one", once_only=True, checks_start=False, left_s=1.0)
            ._relay_id
            for _ in range(2)
        }
        assert len(numbers) == 2


def _request(attempt: str, service: PlatformEndpoint, left_s: float) -> RelayRequest:
    headers = [(b"host", b"h"), (b"x-request-id", attempt.encode())]
    return RelayRequest(
        relay_id="1",
        endpoint_id=service.endpoint_id,
        request_id=attempt,
        method="GET",
        target="/book/1",
        headers=tuple(headers),
        body=b"",
        left_s=left_s,
        once_only=True,
    )


def _runs(site: Site, request_id: str) -> list:
    endpoints = [*site.runners, *site.services]
    runs = [run for endpoint in endpoints for run in endpoint.runs]
    return [run for run in runs if run.request_id == request_id]


class TestRelayChoice:
    """Which VM is asked."""

    def test_near_ones_come_first_until_they_could_not_help(self) -> None:
        choice = RelayChoice(random.Random(1))
        helpers = [Helper("near", True), Helper("far-1", False), Helper("far-2", False)]
        assert choice.choose(helpers, "e", 0.0) == "near"
        choice.on_refused("near", None, 0.0)
        assert choice.choose(helpers, "e", 0.1) in ("far-1", "far-2")
        assert choice.choose(helpers, "e", PASSED_OVER_S) == "near"

    def test_a_refusal_for_one_endpoint_is_none_for_others(self) -> None:
        choice = RelayChoice(random.Random(1))
        choice.on_refused("near", "e", 0.0)
        assert choice.choose([Helper("near", True)], "e", 0.1) is None
        assert choice.choose([Helper("near", True)], "f", 0.1) == "near"

    def test_the_only_one_is_asked_again_sooner(self) -> None:
        """Guards against refusals for a second after one that helps again."""
        choice = RelayChoice(random.Random(1))
        one, other = Helper("one", False), Helper("other", False)
        choice.on_refused("one", "e", 0.0)
        assert choice.choose([one], "e", 0.9 * ASKED_AGAIN_S) is None
        assert choice.choose([one], "e", ASKED_AGAIN_S) == "one"
        assert choice.choose([one, other], "e", ASKED_AGAIN_S) == "other"
        choice.on_refused("one", "e", ASKED_AGAIN_S)
        assert choice.choose([one], "e", 1.9 * ASKED_AGAIN_S) is None

    def test_a_lost_domain_is_spread_over_the_others(self) -> None:
        """Guards against one VM that gets the requests of all that are cut off."""
        choice = RelayChoice(random.Random(1))
        helpers = [Helper(f"vm-{number}", False) for number in range(10)]
        chosen = [choice.choose(helpers, "e", 0.0) for _ in range(100)]
        assert max(chosen.count(item.vm_id) for item in helpers) <= 15


class TestMemory:
    """What a VM holds for callers of another one."""

    def test_it_counts_and_its_end_is_told(self) -> None:
        """Guards against memory without a bound, and a sender that waits for nobody."""
        body = b"a" * 50_000

        async def test() -> None:
            async with running_site(vms=2, services=1) as site:
                site.services[0].faults.hang = True
                cut, other = site.vms
                memory = other.vm._bounds.memory
                with cut_from_endpoints(site, [cut], REFUSE):
                    await put_out_of_reach(cut)
                    caller = asyncio.create_task(
                        call(cut.address, "/book/1", body=body, attempt="large")
                    )
                    await eventually(lambda: site.services[0].runs)
                    assert memory.held_bytes() >= len(body)
                    memory.limit_bytes = len(body) / 2
                    memory.grow(len(body))
                    # Without being told, its VM would wait until the deadline: 504.
                    assert (await caller).status == 502

        run(test())
