"""The final answers of a queue, each with a wait after which to send again.

Load pattern: a full queue. A caller that is told nothing, or the same moment as all
others, comes back at once with everybody else. All of these are "not run".
"""

from bamboovale.decisions.jitter import add_jitter
from bamboovale.decisions.work import Refuse, WorkItem
from bamboovale.errors import ErrorCode, Refusal

SHORTEST_RETRY_S = 1.0
"""Sooner than this a refused caller finds the same queue."""
UNLOADABLE_RETRY_S = 5.0
"""Outages of the log last minutes; sooner than this nothing will have changed."""


def refuse_leaving(item: WorkItem) -> Refuse:
    """Send an item to another engine: this one leaves."""
    refusal = Refusal(ErrorCode.DRAINING, "the engine is leaving", True, 0.0)
    return Refuse(item.request_id, item.entry_vm, refusal)


def refuse_full(item: WorkItem, wait_s: float) -> Refuse:
    """Refuse an item that the queue has no room for."""
    return _refuse(item, ErrorCode.OVERLOADED, "the engine's queue is full", wait_s)


def refuse_late(item: WorkItem, wait_s: float) -> Refuse:
    """Refuse an item that can't start in time."""
    message = f"a place is expected in {wait_s:.1f} s, too late for this request"
    return _refuse(item, ErrorCode.DEADLINE, message, wait_s)


def refuse_unloadable(item: WorkItem) -> Refuse:
    """Refuse an item whose adapter can't be loaded while no lease is in force."""
    message = "the adapter is not loaded, and loads wait for the log service"
    return _refuse(item, ErrorCode.LOG_UNAVAILABLE, message, UNLOADABLE_RETRY_S)


def _refuse(item: WorkItem, code: ErrorCode, message: str, wait_s: float) -> Refuse:
    retry_s = add_jitter(max(SHORTEST_RETRY_S, wait_s), item.request_id)
    return Refuse(item.request_id, item.entry_vm, Refusal(code, message, True, retry_s))
