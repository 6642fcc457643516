"""The planned stop of an entry VM: it hands over, serves on for a while and drains."""

import asyncio
import contextlib
from collections.abc import Callable, Sized

from bamboovale.decisions.planned_stop import PlannedStop
from bamboovale.gateway.ownership import Ownership
from bamboovale.gateway.peering import Peering
from bamboovale.gateway.vm_state import VMState
from bamboovale.http1.request import Request
from bamboovale.http1.server import Server
from bamboovale.store.interface import StoreError

LISTEN_AFTER_STOP_S = 3.2
"""How long new requests are served after SIGTERM, as callers cache addresses."""
HASTEN_S = 0.5
"""How long before the end answers are handed over to the kernel, which delivers what
callers have not taken after the exit."""
ACCEPT_S = 0.02
"""Time for the loop to accept the connections that came while it was late."""
FLUSH_TIMEOUT_S = 0.2
"""How long the last answers may take to reach the callers, within that time."""
LEAVE_TIMEOUT_S = 1.0
"""How long the store may take to release the engines."""


async def drain(
    state: VMState,
    callers: Server,
    ownership: Ownership,
    peering: Peering,
    end_calls: Callable[[], None],
    relays: Sized,
    log_undelivered: Callable[[Request, int], None],
) -> None:
    """Release engines, serve while callers cache this address, then drain.

    ``end_calls`` answers the requests that are left when the time is over; ``relays``
    are the exchanges for callers of other VMs. ``log_undelivered`` is told of each
    request whose complete answer was not sent, with the bytes left.
    """
    stop = state.planned_stop
    assert stop is not None
    state.journal.write(
        "stopping",
        busy=callers.busy,
        since_stop_s=round(state.now() - stop.started_at, 3),
        left_s=round(stop.ends_at - state.now(), 3),
    )
    callers.keep_slow()
    peering.announce()
    await _release_engines(state, ownership, peering)
    while state.now() < min(stop.started_at + LISTEN_AFTER_STOP_S, stop.ends_at):
        await asyncio.sleep(0.1)
    state.draining = True
    callers.close_idle()
    await _wait_for_callers(state, callers, relays, stop)
    cut_off = callers.busy
    end_calls()
    await asyncio.sleep(ACCEPT_S)
    callers.stop_listening()
    await _flush(state, callers)
    for request, unsent_bytes in callers.undelivered():
        log_undelivered(request, unsent_bytes)
    state.journal.write("drained", cut_off=cut_off)


async def _release_engines(
    state: VMState, ownership: Ownership, peering: Peering
) -> None:
    """Release the engines; an error is logged, as it would end the process."""
    try:
        with contextlib.suppress(StoreError, TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await ownership.leave()
        peering.assign_engines()
    except Exception as error:
        state.journal.write("task_failed", job="release engines", error=repr(error))


async def _wait_for_callers(
    state: VMState, callers: Server, relays: Sized, stop: PlannedStop
) -> None:
    """Wait until all connections are closed, or the grace time is nearly over.

    Guards also against cutting streams of other VMs, whose callers see no stop.
    """
    while state.now() < stop.ends_at:
        await asyncio.sleep(0.05)
        if not callers.busy and not callers.connections and not relays:
            break
        if state.now() > stop.ends_at - HASTEN_S:
            callers.hasten()
        if state.now() > stop.started_at + LISTEN_AFTER_STOP_S + 1.0:
            callers.close_idle()


async def _flush(state: VMState, callers: Server) -> None:
    """Wait until the last answers are sent: a reset would drop what is not."""
    callers.close_idle()
    callers.hasten()
    deadline = state.now() + FLUSH_TIMEOUT_S
    while callers.connections and state.now() < deadline:
        await asyncio.sleep(0.01)
