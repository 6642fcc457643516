"""Refusals of queued requests, each with a time after which to retry.

Callers that get no time, or all the same one, retry at the same moment. None of these
requests was run.
"""

from bamboovale.decisions.jitter import add_jitter
from bamboovale.decisions.work import Refuse, WorkItem
from bamboovale.errors import ErrorCode, Refusal

MIN_RETRY_S = 1.0
"""An earlier retry would find the same queue."""
UNLOADABLE_RETRY_S = 5.0
"""Outages of the log last longer than this."""


def refuse_leaving(item: WorkItem) -> Refuse:
    """Send an item to another engine because this one is leaving."""
    refusal = Refusal(ErrorCode.DRAINING, "the engine is leaving", True, 0.0)
    return Refuse(item.request_id, item.entry_vm, refusal)


def refuse_full(item: WorkItem, wait_s: float) -> Refuse:
    """Refuse an item because the queue is full."""
    return _refuse(item, ErrorCode.OVERLOADED, "the engine's queue is full", wait_s)


def refuse_late(item: WorkItem, wait_s: float) -> Refuse:
    """Refuse an item that cannot start in time."""
    message = f"a place is expected in {wait_s:.1f} s, too late for this request"
    return _refuse(item, ErrorCode.DEADLINE, message, wait_s)


def refuse_unloadable(item: WorkItem) -> Refuse:
    """Refuse an item whose adapter cannot be loaded without a valid lease."""
    message = "the adapter is not loaded, and loads wait for the log service"
    return _refuse(item, ErrorCode.LOG_UNAVAILABLE, message, UNLOADABLE_RETRY_S)


def _refuse(item: WorkItem, code: ErrorCode, message: str, wait_s: float) -> Refuse:
    retry_s = add_jitter(max(MIN_RETRY_S, wait_s), item.request_id)
    return Refuse(item.request_id, item.entry_vm, Refusal(code, message, True, retry_s))
