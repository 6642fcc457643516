"""All model servers go dark for some seconds; later all entry VMs are killed."""

import asyncio
import itertools
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.deployment import (
    BOUNDS,
    HOST,
    MODEL,
    Deployment,
    Load,
    Record,
    configuration,
    engine,
    main,
    request_id,
    route,
    running,
)
from review.standins.wire import Answer, ClientConnection, request_bytes

FOLDER = Path(__file__).resolve().parent
ZONES = ("muc-a", "muc-b", "nue-a")
ENGINES = 6
APPS = 3
ADAPTERS = 60
STREAM = {"events": 17, "event_ms": 50}
PAGES = 20
DRAFTS_PER_S = 70.0
QUOTES_PER_S = 8.0
"""Requests for models, and others beside them."""
CALM_S = 12.0
DARK_S = 4.5
SETTLE_S = 6.0
DOWN_S = 1.5
MEASURED_S = 10.0
GAP_S = 3.2
"""Clients abandon a stream after two seconds, four times the objective of 800 ms or
eight times the pause of 400 ms, whichever is longest."""
DEADLINE_MS = 10_000
MIN_SHARE = 0.25


@dataclass
class Sent:
    """One client attempt; times are monotonic."""

    id: str
    kind: str
    at: float
    status: int
    is_served: bool


class Clients:
    """Clients of all VMs; ``sent`` are their attempts in order of their ends."""

    def __init__(self, site: Deployment) -> None:
        self.sent: list[Sent] = []
        self._site = site
        self._rng = random.Random(1)
        self._numbers = itertools.count()

    async def draft(self, number: int) -> Answer:
        """Ask a model; all prompts begin with the same part, as one product's do."""
        adapter = self._rng.randrange(ADAPTERS)
        page = self._rng.randrange(PAGES)
        headers = {
            "X-Model": f"{MODEL}/a{adapter}",
            "X-Token-Count": "491,35",
            "X-Prompt-Prefix": f"5c1e07a2:93,{0xA0 + page:08x}:62,{number:08x}:336",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        body = b"draft" + number.to_bytes(4, "big")
        return await self._send("draft", number, headers, body)

    async def quote(self, number: int) -> Answer:
        """Ask the plain service."""
        headers = {"X-Deadline-Ms": "1500"}
        return await self._send("quote", number, headers, b"quote%d" % number)

    async def _send(
        self, kind: str, number: int, headers: dict[str, str], body: bytes
    ) -> Answer:
        vm = self._rng.choice(self._site.vms)
        attempt, at = request_id(), time.monotonic()
        lines = {"Host": HOST, "X-Request-Id": attempt, **headers}
        data = request_bytes("POST", f"/{kind}/{number}", lines, body)
        answer = Answer(error="connect")
        try:
            connection = await ClientConnection.open(vm.front)
            await connection.send(data)
            answer = await connection.read_answer(DEADLINE_MS / 1000, GAP_S)
            connection.close()
        except (OSError, TimeoutError):
            pass
        served = answer.status == 200 and answer.is_whole
        self.sent.append(Sent(attempt, kind, at, answer.status, served))
        status = answer.status or answer.error
        self._site.record(f"{kind} {attempt} to {vm.name}: {status}", at)
        return answer

    async def run(self, seconds: float) -> None:
        """Send both kinds of requests for a time."""
        await asyncio.gather(
            Load(DRAFTS_PER_S, self.draft).run(seconds),
            Load(QUOTES_PER_S, self.quote).run(seconds),
        )


def share(sent: Iterable[Sent]) -> float:
    """Return the share that was served."""
    items = list(sent)
    return sum(item.is_served for item in items) / max(1, len(items))


async def add_engines(site: Deployment) -> None:
    """Start all model servers, as new incarnations."""
    for number in range(ENGINES):
        zone = ZONES[number % len(ZONES)]
        await site.add_server("llm", zone=zone, model=MODEL, slots=128, **STREAM)


async def go_dark(site: Deployment, record: Record) -> None:
    """Have all model servers fall silent and crash; new ones start after a while."""
    engines = [item for item in site.servers if "--service=llm" in item.command]
    record("all model servers go dark")
    for item in engines:
        item.send(signal.SIGSTOP)
    await asyncio.sleep(DARK_S)
    for item in engines:
        await item.kill()
    await add_engines(site)
    record("the model servers are back")


async def kill_all(site: Deployment, record: Record) -> None:
    """Kill all VMs right after a configuration was acknowledged, and start them."""
    await site.configure(CONFIG)
    record("a configuration is acknowledged; all VMs are killed")
    for vm in site.vms:
        await vm.kill()
    await asyncio.sleep(DOWN_S)
    for vm in site.vms:
        await vm.start()
    await site.wait_until_ready()
    record("all VMs are back and ready")


CONFIG = configuration(
    [
        route(
            "draft",
            "llm",
            "stream",
            **{"timeout-ms": DEADLINE_MS, "goal-ms": 800, "gap-target-ms": 400},
        ),
        route("quote", "app", "unsafe", **{"timeout-ms": 800, "goal-ms": 100}),
    ],
    engine(slots=128, adapter_slots=18),
)


async def play(record: Record, trouble: bool) -> bool:
    """Return whether the rule held."""
    async with running(CONFIG, record) as site:
        await add_engines(site)
        for number in range(APPS):
            await site.add_server("app", zone=ZONES[number], event_ms=15)
        for zone in ZONES:
            await site.add_vm(f"edge-{zone}-1", zone, bootstrap=True)
        await site.wait_until_ready()
        await asyncio.sleep(2.0)
        clients = Clients(site)
        before = asyncio.create_task(clients.run(CALM_S + DARK_S + SETTLE_S))
        await asyncio.sleep(CALM_S)
        if trouble:
            await go_dark(site, record)
        await before
        fault_at = time.monotonic()
        await kill_all(site, record)
        await asyncio.sleep(BOUNDS["recover-s"])
        measured_at = time.monotonic()
        await clients.run(MEASURED_S)
        site.record_runs()
    return judge(clients.sent, fault_at, measured_at, record)


def judge(
    sent: list[Sent], fault_at: float, measured_at: float, record: Record
) -> bool:
    """Return whether enough is served after the final fault, if it was before."""
    earlier = [item for item in sent if item.at < fault_at]
    later = [item for item in sent if item.at >= measured_at]
    for name, items in (("before the final fault", earlier), ("after it", later)):
        counts = Counter((item.kind, item.status) for item in items)
        record(f"{name}: {share(items):.0%} of {len(items)} served; {dict(counts)}")
    return not (share(earlier) >= MIN_SHARE and share(later) < MIN_SHARE)


if __name__ == "__main__":
    main(FOLDER, play)
