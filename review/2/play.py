"""Uploads within the limits of the configuration, and what becomes of them."""

import asyncio
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.deployment import (
    HOST,
    Deployment,
    Record,
    configuration,
    main,
    request_id,
    route,
    running,
)
from review.standins.wire import Answer, ClientConnection, request_bytes

FOLDER = Path(__file__).resolve().parent
TIMEOUT_MS = 2000
MAX_BODY_BYTES = 4194304
LARGE_BODY_BYTES = 2_000_000
SMALL_BODY_BYTES = 20_000
REQUESTS = 100
PAUSE_S = 0.1
LINK_BYTES_PER_S = 1000 * 125_000
"""The link of a machine: the settings' ``link-mbps`` of 1,000."""
CHUNK_BYTES = 65536
GRACE_S = 0.5
"""From the route's timeout to the final answer, by the rule."""
MIN_LATE = 8
MAX_LATE_SHARE = 0.25
WATCHED_S = 11.0


@dataclass
class Upload:
    """One request and what its client got; times in seconds."""

    id: str
    vm: str
    answer: Answer
    answered_s: float | None

    @property
    def lasted(self) -> bool:
        """Return whether it had no whole answer at its route's timeout."""
        return self.answered_s is None or self.answered_s > TIMEOUT_MS / 1000

    @property
    def is_late(self) -> bool:
        """Return whether it had none ``GRACE_S`` later either."""
        bound_s = TIMEOUT_MS / 1000 + GRACE_S
        return self.answered_s is None or self.answered_s > bound_s


async def send_paced(connection: ClientConnection, data: bytes) -> None:
    """Send no faster than the machine's link carries."""
    started_at = time.monotonic()
    for start in range(0, len(data), CHUNK_BYTES):
        while time.monotonic() - started_at < start / LINK_BYTES_PER_S:
            await asyncio.sleep(0)
        await connection.send(data[start : start + CHUNK_BYTES])


async def upload(site: Deployment, number: int, size: int) -> Upload:
    """Send one body; its time counts from the first byte on."""
    vm = site.vms[number % len(site.vms)]
    attempt = request_id()
    headers = {"Host": HOST, "X-Request-Id": attempt, "X-Deadline-Ms": "10000"}
    data = request_bytes("POST", f"/upload/{number}", headers, b"x" * size)
    connection = await ClientConnection.open(vm.front)
    started_at = time.monotonic()
    sending = asyncio.create_task(send_paced(connection, data))
    answer = await connection.read_answer(WATCHED_S)
    answered_s = time.monotonic() - started_at if answer.is_whole else None
    sending.cancel()
    connection.close()
    return Upload(attempt, vm.name, answer, answered_s)


async def play(record: Record, trouble: bool) -> bool:
    """Return whether the rule held."""
    size = LARGE_BODY_BYTES if trouble else SMALL_BODY_BYTES
    routes = [
        route("upload", "app", "unsafe", **{"timeout-ms": TIMEOUT_MS, "goal-ms": 500})
    ]
    config = configuration(routes, None, **{"max-body-bytes": MAX_BODY_BYTES})
    async with running(config, record) as site:
        for zone in ("muc-a", "muc-b"):
            await site.add_server("app", zone=zone, event_ms=15)
            await site.add_vm(f"edge-{zone}-1", zone, bootstrap=True)
        await site.wait_until_ready()
        await asyncio.sleep(2.0)
        record(f"{REQUESTS} uploads of {size} bytes; at most {MAX_BODY_BYTES} allowed")
        tasks = []
        for number in range(REQUESTS):
            tasks.append(asyncio.create_task(upload(site, number, size)))
            await asyncio.sleep(PAUSE_S)
        uploads = await asyncio.gather(*tasks)
        site.record_runs()
        ran = {item["id"] for item in site.events() if item["event"] == "run"}
    for item in uploads:
        took = "never" if item.answered_s is None else f"after {item.answered_s:.3f} s"
        has_run = "yes" if item.id in ran else "no"
        record(
            f"request {item.id} to {item.vm}: status {item.answer.status} "
            f"{item.answer.body[:40]!r} {took}; run: {has_run}"
        )
    lasted = [item for item in uploads if item.lasted]
    late = [item for item in lasted if item.is_late]
    share = len(late) / max(1, len(lasted))
    record(
        f"longer than {TIMEOUT_MS} ms: {len(lasted)}; without a final answer "
        f"{GRACE_S} s later: {len(late)} ({share:.0%})"
    )
    return not (len(late) >= MIN_LATE and share > MAX_LATE_SHARE)


if __name__ == "__main__":
    main(FOLDER, play)
