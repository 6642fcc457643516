"""Runners that spoil the id of an event, the load on them, and the check of ORDER."""

import asyncio
import random
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bamboovale.http1.connection import Headers
from bamboovale.http1.request import Request
from bamboovale.http1.responder import Responder
from bamboovale.standins.platform_endpoints import Run
from bamboovale.standins.platform_runner import PlatformRunner
from bamboovale.standins.unframed_answer import UnframedAnswer
from review.harness2.client import Attempt, send
from review.harness2.site import MODEL, Site, has_trouble, open_site, stream_route

RUNNERS, FAULTY_RUNNERS = 5, 2
SPOILT_EVERY = 50
"""One of so many answers of a faulty runner is spoilt: a share of 0.02."""
TROUBLE_AT_S, TROUBLE_S = 3.0, 5.5
LOAD_S = 14.0
STREAMS_PER_S = 40.0
DEADLINE_S = 8.0
TOKENS_PER_EVENT = 5
EVENTS = 14
PAUSE_S = 0.02
CHUNKED = (b"transfer-encoding", b"chunked")


@dataclass(frozen=True)
class Spoiling:
    """How answers are sent and spoilt.

    ``events_a_write`` events are written at once; ``has_length`` is whether an answer
    has a frame, or ends with its connection. In a spoilt answer the event
    ``spoilt_event`` bears the id ``wrong_id``.
    """

    events_a_write: int
    has_length: bool
    spoilt_event: int
    wrong_id: int


class SpoilingRunner(PlatformRunner):
    """A runner that spoils the id of an event in some answers."""

    spoiling: Spoiling
    is_faulty = False
    spoilt = 0
    _answers = 0

    async def _stream(self, request: Request, responder: Responder, run: Run) -> None:
        resume_after = int(request.get(b"last-event-id") or b"0")
        is_spoilt = resume_after == 0 and self._is_next_spoilt()
        headers: Headers = [(b"content-type", b"text/event-stream")]
        answer: Responder | UnframedAnswer = responder
        if self.spoiling.has_length:
            headers.append(CHUNKED)
        else:
            answer = UnframedAnswer(responder)
        self._start(answer, responder, run, headers)
        step = self.spoiling.events_a_write
        for first in range(resume_after + 1, EVENTS + 1, step):
            await asyncio.sleep(PAUSE_S)
            numbers = range(first, min(first + step, EVENTS + 1))
            await answer.write(
                b"".join(self._event(run, n, is_spoilt=is_spoilt) for n in numbers)
            )
        run.end("ok")
        answer.finish()

    def _is_next_spoilt(self) -> bool:
        if not self.is_faulty:
            return False
        self._answers += 1
        is_spoilt = self._answers % SPOILT_EVERY == 1
        self.spoilt += is_spoilt
        return is_spoilt

    def _event(self, run: Run, number: int, *, is_spoilt: bool) -> bytes:
        """Return an event; its data tell its true number."""
        is_wrong = is_spoilt and number == self.spoiling.spoilt_event
        event_id = self.spoiling.wrong_id if is_wrong else number
        return f"id: {event_id}\ndata: {run.request_id} {number}\n\n".encode()


def _numbers(attempt: Attempt) -> list[int]:
    """Return the true numbers of the events that a client got."""
    return [int(data.rpartition(" ")[2]) for _, data in attempt.events]


async def _send_streams(site: Site, attempts: list[Attempt]) -> None:
    rng = random.Random(1)
    until = time.monotonic() + LOAD_S
    tasks: list[asyncio.Task[Any]] = []

    async def one() -> None:
        vm = rng.choice(site.vms)
        attempt = await send(
            vm.front,
            "/night/x",
            deadline_s=DEADLINE_S,
            adapter=f"a{rng.randint(1, 30)}",
            tokens=f"646,{EVENTS * TOKENS_PER_EVENT}",
        )
        attempts.append(attempt)
        site.record.write(
            f"{vm.name} {attempt.request_id} status {attempt.status}"
            f" whole {attempt.is_whole} events {_numbers(attempt)} {attempt.error}"
        )

    while time.monotonic() < until:
        await asyncio.sleep(rng.expovariate(STREAMS_PER_S))
        tasks.append(asyncio.create_task(one()))
    await asyncio.gather(*tasks)


async def _spoil(site: Site, runners: list[SpoilingRunner]) -> None:
    """Have some runners spoil answers for a time."""
    await asyncio.sleep(TROUBLE_AT_S)
    for runner in runners[:FAULTY_RUNNERS]:
        runner.is_faulty = True
    site.record.write(f"{FAULTY_RUNNERS} of {RUNNERS} runners begin to spoil answers")
    await asyncio.sleep(TROUBLE_S)
    for runner in runners:
        runner.is_faulty = False
    spoilt = sum(runner.spoilt for runner in runners)
    site.record.write(f"no more answers are spoilt; {spoilt} were")


async def play(folder: Path, spoiling: Spoiling) -> int:
    """Play the case; return its exit status."""
    async with open_site(folder) as site:
        night = {"timeout-ms": 8000, "goal-ms": 1000, "max-attempts": 2}
        await site.configure([stream_route("night", resumable=True, **night)])
        runners = [_runner(site, number, spoiling) for number in range(RUNNERS)]
        for runner in runners:
            await runner.start()
        zones = "ab"
        names = [(f"edge-tx-central-{zone}-1", f"tx-central-{zone}") for zone in zones]
        await site.start_vms(names)
        attempts: list[Attempt] = []
        trouble = [_spoil(site, runners)] if has_trouble() else []
        await asyncio.gather(_send_streams(site, attempts), *trouble)
        site.record.write_runs(runners)
        return _judge(site, attempts)


def _runner(site: Site, number: int, spoiling: Spoiling) -> SpoilingRunner:
    runner = SpoilingRunner(
        site.store,
        f"i-r{number}",
        "copywriter",
        model=MODEL,
        adapter_slots=20,
        tokens_per_event=TOKENS_PER_EVENT,
    )
    runner.spoiling = spoiling
    return runner


def _judge(site: Site, attempts: list[Attempt]) -> int:
    """Check ORDER: a piece is missing or comes twice in a stream that looks whole."""
    whole = [a for a in attempts if a.status == 200 and a.is_whole]
    expected = list(range(1, EVENTS + 1))
    broken = [attempt for attempt in whole if _numbers(attempt) != expected]
    for attempt in broken:
        text = f"broken: {attempt.request_id} got {_numbers(attempt)}"
        site.record.write(text)
        print(text)
    text = f"{len(attempts)} streams, {len(whole)} whole, {len(broken)} broken"
    site.record.write(text)
    print(text)
    if not whole:
        return 2
    return 1 if broken else 0
