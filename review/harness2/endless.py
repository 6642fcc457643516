"""Runners whose answers never end, the load beside them, and the check of it.

Some answers of some runners of ``copywriter`` are bytes without end until the caller
closes. The check is on ``freight-quote``, whose runners are sound.
"""

import asyncio
import random
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from bamboovale.http1.request import Request
from bamboovale.http1.responder import Responder
from bamboovale.standins.platform_endpoints import PlatformEndpoint, Run
from bamboovale.standins.platform_runner import PlatformRunner
from review.harness2.client import Attempt, send
from review.harness2.site import (
    MODEL,
    Site,
    has_trouble,
    open_site,
    route,
    stream_route,
)

RUNNERS, FAULTY_RUNNERS = 5, 2
SPOILT_EVERY = 50
"""One of so many answers of a faulty runner is spoilt: a share of 0.02."""
TROUBLE_AT_S, TROUBLE_S = 8.0, 5.5
LOAD_S = 24.0
QUOTES_PER_S, DRAFTS_PER_S = 11.0, 38.0
"""The rates of the sheet at the share at which the site file plays them."""
QUOTE_TIMEOUT_S, QUOTE_DEADLINE_S, DRAFT_DEADLINE_S = 0.8, 1.5, 6.0
LATE_S = 0.5
LEAST_UNANSWERED = 8
LINK_BYTES_PER_S = 125e6
"""1,000 Mbit/s."""
PIECE_BYTES = 64 * 1024
MOST_OWN_LAG_S = 0.3


class EndlessRunner(PlatformRunner):
    """A runner some of whose answers are ``pattern`` after ``head``, without end."""

    is_faulty = False
    head = b""
    pattern = b""
    spoilt = 0
    _answers = 0

    async def _stream(self, request: Request, responder: Responder, run: Run) -> None:
        if self.is_faulty:
            self._answers += 1
            if self._answers % SPOILT_EVERY == 1:
                await self._send_without_end(responder, run)
                return
        await super()._stream(request, responder, run)

    async def _send_without_end(self, responder: Responder, run: Run) -> None:
        """Send until the caller closes, no faster than the link."""
        self.spoilt += 1
        transport = responder._connection._transport
        transport.write(self.head.replace(b"REQUEST", run.request_id.encode()))
        piece = self.pattern * (PIECE_BYTES // len(self.pattern))
        while not transport.is_closing():
            transport.write(piece)
            await responder._connection.drain()
            await asyncio.sleep(len(piece) / LINK_BYTES_PER_S)


class Load:
    """The clients, the platform's questions, and what they saw."""

    def __init__(self, site: Site) -> None:
        self.quotes: list[Attempt] = []
        self.drafts: list[Attempt] = []
        self.lag_s = 0.0
        self._site = site
        self._rng = random.Random(1)

    async def run(self) -> None:
        """Send requests and ask for readiness until the load is over."""
        until = time.monotonic() + LOAD_S
        await asyncio.gather(
            self._repeat(QUOTES_PER_S, self._quote, until),
            self._repeat(DRAFTS_PER_S, self._draft, until),
            self._watch_own_lag(until),
            *(self._probe(vm, until) for vm in self._site.vms),
        )

    async def _repeat(self, per_s: float, request: Any, until: float) -> None:
        tasks: list[asyncio.Task[None]] = []
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(per_s))
            tasks.append(asyncio.create_task(request()))
        await asyncio.gather(*tasks)

    async def _quote(self) -> None:
        vm = self._rng.choice(self._site.vms)
        self.quotes.append(
            await send(vm.front, "/quote/x", deadline_s=QUOTE_DEADLINE_S)
        )
        self._note(vm.name, self.quotes[-1])

    async def _draft(self) -> None:
        vm = self._rng.choice(self._site.vms)
        adapter = f"a{self._rng.randint(1, 30)}"
        draft = send(
            vm.front,
            "/draft/x",
            deadline_s=DRAFT_DEADLINE_S,
            adapter=adapter,
            tokens="646,70",
        )
        self.drafts.append(await draft)
        self._note(vm.name, self.drafts[-1])

    def _note(self, vm: str, attempt: Attempt) -> None:
        took_s = attempt.took_s
        took = "never" if took_s is None else f"{took_s:.3f} s"
        self._site.record.write(
            f"{vm} {attempt.request_id} {attempt.path} status {attempt.status},"
            f" answered after {took} {attempt.error}"
        )

    async def _probe(self, vm: Any, until: float) -> None:
        while time.monotonic() < until:
            asked_at = time.monotonic()
            if not await vm.is_ready():
                self._site.record.write(f"{vm.name} gave no 200 to the platform in 1 s")
            await asyncio.sleep(max(0.0, asked_at + 1.0 - time.monotonic()))

    async def _watch_own_lag(self, until: float) -> None:
        while time.monotonic() < until:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            self.lag_s = max(self.lag_s, time.monotonic() - before - 0.05)


async def spoil(site: Site, runners: list[EndlessRunner]) -> None:
    """Have some runners spoil answers for a time."""
    await asyncio.sleep(TROUBLE_AT_S)
    site.record.write(f"{FAULTY_RUNNERS} of {RUNNERS} runners begin to spoil answers")
    for runner in runners[:FAULTY_RUNNERS]:
        runner.is_faulty = True
    await asyncio.sleep(TROUBLE_S)
    for runner in runners:
        runner.is_faulty = False
    spoilt = sum(runner.spoilt for runner in runners)
    site.record.write(f"no more answers are spoilt; {spoilt} were")


async def play(folder: Path, head: bytes, pattern: bytes) -> int:
    """Play the case; return its exit status."""
    async with open_site(folder) as site:
        await site.configure(
            [stream_route("draft"), route("quote", "counter", "unsafe")]
        )
        runners = [_runner(site, number, head, pattern) for number in range(RUNNERS)]
        counters = [
            PlatformEndpoint(site.store, f"i-c{number}", "counter")
            for number in range(4)
        ]
        for counter in counters:
            counter.faults.event_s = 0.0225
        for endpoint in [*runners, *counters]:
            await endpoint.start()
        names = [(f"edge-tx-central-{zone}-1", f"tx-central-{zone}") for zone in "abc"]
        await site.start_vms(names)
        load = Load(site)
        trouble: list[Coroutine[Any, Any, None]] = []
        if has_trouble():
            trouble.append(spoil(site, runners))
        await asyncio.gather(load.run(), *trouble)
        site.record.write_runs([*runners, *counters])
        return _judge(site, load)


def _runner(site: Site, number: int, head: bytes, pattern: bytes) -> EndlessRunner:
    runner = EndlessRunner(
        site.store,
        f"i-r{number}",
        "copywriter",
        model=MODEL,
        adapter_slots=20,
        tokens_per_event=5,
    )
    runner.faults.event_s = 0.02
    runner.head, runner.pattern = head, pattern
    return runner


def _judge(site: Site, load: Load) -> int:
    """Check the quotes that were sent: connections that were never made don't count."""
    sent = [quote for quote in load.quotes if not quote.error.startswith("connect")]
    unanswered = [
        quote
        for quote in sent
        if quote.took_s is None or quote.took_s > QUOTE_TIMEOUT_S
    ]
    late = [
        quote
        for quote in unanswered
        if quote.took_s is None or quote.took_s > QUOTE_TIMEOUT_S + LATE_S
    ]
    text = (
        f"{len(sent)} quotes sent; {len(unanswered)} unanswered at timeout-ms,"
        f" {len(late)} of them half a second later; own lag {load.lag_s:.3f} s"
    )
    site.record.write(text)
    print(text)
    if load.lag_s > MOST_OWN_LAG_S or not sent:
        return 2
    is_broken = len(unanswered) >= LEAST_UNANSWERED and 2 * len(late) > len(unanswered)
    return 1 if is_broken else 0
