"""Two entry VMs are added one after the other, while servers get orders."""

import asyncio
import hashlib
import itertools
import random
import secrets
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

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
PARTITIONS = 12
SERVED_PARTITIONS = (0, 2, 4, 5, 7, 9)
"""One model server in each; ids are random otherwise, so that all runs are alike."""
ADAPTERS = 300
DRAFTS_PER_S = 30.0
CALM_S = 6.0
BETWEEN_S = 1.2
"""From the start of the first added VM to that of the second."""
AFTER_S = 8.0
ACCEPTED = (200, 202)
DEADLINE_MS = 6000


@dataclass(frozen=True)
class Order:
    """An order that a server accepted."""

    at: float
    holder: str
    fence: int


class Clients:
    """Clients of the first VMs, which ask for many adapters."""

    def __init__(self, site: Deployment) -> None:
        self._site = site
        self._vms = list(site.vms)
        self._rng = random.Random(1)
        self._adapters = itertools.count()

    async def draft(self, number: int) -> Answer:
        """Ask a model for an adapter, a few of which come again."""
        adapter = next(self._adapters) % ADAPTERS
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id(),
            "X-Model": f"{MODEL}/a{adapter}",
            "X-Token-Count": "491,35",
            "X-Prompt-Prefix": f"5c1e07a2:93,{number:08x}:398",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        vm = self._rng.choice(self._vms)
        data = request_bytes("POST", f"/draft/{number}", headers, b"draft")
        connection = await ClientConnection.open(vm.front)
        await connection.send(data)
        answer = await connection.read_answer(DEADLINE_MS / 1000)
        connection.close()
        status = answer.status or answer.error
        self._site.record(f"draft {headers['X-Request-Id']} to {vm.name}: {status}")
        return answer


def id_in(part: int) -> str:
    """Return a random id of a server that the system hashes to a partition."""
    while True:
        server_id = f"i-{secrets.token_hex(5)}"
        digest = hashlib.blake2b(server_id.encode(), digest_size=8).digest()
        if int.from_bytes(digest, "big") % PARTITIONS == part:
            return server_id


async def play(record: Record, trouble: bool) -> bool:
    """Return whether the rule held."""
    config = configuration(
        [route("draft", "llm", "stream", **{"gap-target-ms": 400})],
        engine(slots=64, adapter_slots=20),
    )
    async with running(config, record) as site:
        for part in SERVED_PARTITIONS:
            await site.add_server(
                "llm",
                zone="muc-a",
                id=id_in(part),
                model=MODEL,
                slots=64,
                events=4,
                event_ms=20,
            )
        first = [
            await site.add_vm(f"edge-{zone}-1", zone, bootstrap=True)
            for zone in ("muc-a", "muc-b")
        ]
        await site.wait_until_ready()
        await asyncio.sleep(2.0)
        load = Load(DRAFTS_PER_S, Clients(site).draft)
        running_load = asyncio.create_task(load.run(CALM_S + BETWEEN_S + AFTER_S))
        await asyncio.sleep(CALM_S)
        for name in ("edge-nue-a-1", "edge-nue-a-2") if trouble else ():
            record(f"{name} is added")
            await site.add_vm(name, "nue-a", bootstrap=False)
            await asyncio.sleep(BETWEEN_S)
        await running_load
        site.record_runs()
        events = site.events()
    return judge(events, {vm.name for vm in first}, record)


def judge(events: list[dict[str, Any]], in_touch: set[str], record: Record) -> bool:
    """Return whether no two holders in touch took turns at a server."""
    orders: dict[str, list[Order]] = {}
    for item in events:
        if item["event"] == "order" and item["status"] in ACCEPTED:
            order = Order(item["at"], item["holder"], item["fence"])
            orders.setdefault(item["server"], []).append(order)
    held = True
    for server, given in orders.items():
        for order in given:
            record(f"{server} accepts {order.holder} with {order.fence}", order.at)
        held &= not find_turns(server, given, in_touch, record)
    return held


def find_turns(
    server: str, orders: list[Order], in_touch: set[str], record: Record
) -> bool:
    """Return whether A ordered, then B, then A again, within the lease time."""
    lease_s = BOUNDS["lease-ms"] / 1000
    found = False
    spans = [
        list(span)
        for _, span in itertools.groupby(
            (order for order in orders if order.holder in in_touch),
            key=lambda order: order.holder,
        )
    ]
    for before, between, after in zip(spans, spans[1:], spans[2:], strict=False):
        took_s = after[0].at - before[-1].at
        if took_s <= lease_s:
            found = True
            record(
                f"{server}: {before[-1].holder}, {between[0].holder} and "
                f"{after[0].holder} again within {took_s:.2f} s",
                after[0].at,
            )
    return found


if __name__ == "__main__":
    main(FOLDER, play)
