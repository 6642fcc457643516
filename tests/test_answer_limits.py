"""Answers that are cut at a bound: what is logged and counted."""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from bamboovale.http1.answer_limits import AnswerLimit
from bamboovale.http1.request import Request
from bamboovale.http1.responder import Responder
from bamboovale.metrics import Metrics
from bamboovale.standins.platform_endpoints import Run
from tests.endless_answers import ANSWERS
from tests.gateway_site import RunningVM, Site, call, eventually, run, running_site

LIMIT_BY_ANSWER = {
    "head of short lines": AnswerLimit.HEAD,
    "head of one line": AnswerLimit.HEAD,
    "interim answers": AnswerLimit.INTERIM,
    "chunk line": AnswerLimit.LINE,
    "trailers": AnswerLimit.LINE,
    "long length": AnswerLimit.BODY,
}


def endless(name: str, kind: bytes) -> Callable[..., Awaitable[None]]:
    """Return a method of a stand-in that answers without end."""

    async def answer(request: Request, responder: Responder, run: Run) -> None:
        await ANSWERS[name].send(responder, run.request_id, kind)

    return answer


def check_told(vm: RunningVM, endpoint: str, limit: AnswerLimit) -> None:
    """Check the log lines and the counter of a VM."""
    lines = vm.journal.of("answer_cut")
    assert {(line["endpoint"], line["limit"]) for line in lines} == {(endpoint, limit)}
    metrics: Metrics = vm.vm._metrics
    sample = metrics.gateway_answers_cut.labels(limit)
    assert sample._value.get() == len(lines)


class TestLimits:
    """Each bound has its name in the log and the counter."""

    @pytest.mark.parametrize(("name", "limit"), LIMIT_BY_ANSWER.items())
    def test_of_plain_answers(self, name: str, limit: AnswerLimit) -> None:
        """Guards against answers that are cut and leave no sign of why."""

        async def test() -> None:
            async with running_site() as site:
                service: Any = site.services[0]
                service._answer = endless(name, b"text/plain")
                cut = await call(site.vms[0].address, "/book/1")
                assert cut.status == 502
                check_told(site.vms[0], "service-0", limit)

        run(test())

    def test_of_streams(self) -> None:
        async def test() -> None:
            async with running_site() as site:
                runner: Any = site.runners[0]
                runner.preload("a1")
                runner._stream = endless("one chunk", b"text/event-stream")
                cut = await call(site.vms[0].address, "/chat/1", adapter="a1")
                assert cut.status == 502
                check_told(site.vms[0], "runner-0", AnswerLimit.EVENT)

        run(test())

    def test_of_reports(self) -> None:
        async def test() -> None:
            async with running_site() as site:
                await check_reports(site)

        run(test())


async def check_reports(site: Site) -> None:
    """Have an engine's reports have no end, until the VM has cut one."""
    runner: Any = site.runners[0]

    async def handle(request: Request, responder: Responder) -> None:
        await ANSWERS["long length"].send(responder, "", b"application/json")

    runner._server.handler = handle
    await eventually(lambda: bool(site.vms[0].journal.of("answer_cut")))
    check_told(site.vms[0], "runner-0", AnswerLimit.BODY)
