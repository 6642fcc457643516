"""What a failing test shows: the VMs' log lines and pauses of the event loop."""

import asyncio
import json
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

LOOK_S = 0.05
LONG_PAUSE_S = 0.1
MAX_LINES = 200


@asynccontextmanager
async def shown_on_failure(
    lines: Callable[[], list[dict[str, Any]]],
) -> AsyncIterator[None]:
    """Print the newest lines, which have the field ``at``, and pauses on a failure."""
    pauses: list[dict[str, Any]] = []
    task = asyncio.get_running_loop().create_task(_watch(pauses))
    try:
        yield
    except BaseException:
        newest = sorted(lines(), key=lambda line: float(line["at"]))[-MAX_LINES:]
        for line in newest + pauses:
            print(json.dumps(line, default=str))
        raise
    finally:
        task.cancel()


async def _watch(pauses: list[dict[str, Any]]) -> None:
    """Collect the times in which the event loop ran no timer."""
    while True:
        due_at = time.monotonic() + LOOK_S
        await asyncio.sleep(LOOK_S)
        pause_s = time.monotonic() - due_at
        if pause_s > LONG_PAUSE_S:
            pauses.append({"at": due_at, "event": "event_loop_paused", "s": pause_s})
