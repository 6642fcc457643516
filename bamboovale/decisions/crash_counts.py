"""Counts the endpoints that one request has crashed.

Load pattern: one request crashes each endpoint that begins to run it, and its caller
sends it again. Each crash takes down an engine with all its streams for seconds.

A run that breaks off says little: links are cut and endpoints restart for other
reasons, and whatever else ran there broke off too. Only a run that broke off at an
endpoint which then went without saying that it leaves counts, and only the second such
endpoint convicts: an innocent request that ran beside a guilty one hardly meets two
crashes, while a guilty one does at once.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

CRASHES_TO_REFUSE = 2
"""Different endpoints. A caller's own repeat makes an innocent request meet two crashes
only if it is unlucky twice in a row; a guilty one costs an engine each time."""
CUT_TO_GONE_S = 8.0
"""An endpoint's record lapses some heartbeats after it crashed."""
KEPT_FOR_S = 300.0
MOST_KEPT = 10_000


@dataclass
class _Counted:
    cut_at_by_endpoint: dict[str, float] = field(default_factory=dict)
    crashed: set[str] = field(default_factory=set)
    last_at: float = 0.0


class CrashCounts:
    """Suspected requests by fingerprint."""

    def __init__(self) -> None:
        self._counted_by_fingerprint: OrderedDict[str, _Counted] = OrderedDict()
        self._gone_at: OrderedDict[str, float] = OrderedDict()

    def on_run_lost(self, fingerprint: str, endpoint_id: str, now: float) -> None:
        """Note that a run broke off at an endpoint."""
        counted = self._counted_by_fingerprint.setdefault(fingerprint, _Counted())
        counted.last_at = now
        gone_at = self._gone_at.get(endpoint_id)
        if gone_at is not None and now - gone_at < CUT_TO_GONE_S:
            counted.crashed.add(endpoint_id)
        else:
            counted.cut_at_by_endpoint[endpoint_id] = now
        while len(self._counted_by_fingerprint) > MOST_KEPT:
            self._counted_by_fingerprint.popitem(last=False)

    def on_endpoint_gone(self, endpoint_id: str, now: float) -> None:
        """Note that an endpoint went unannounced: what broke off there is suspect."""
        self._gone_at[endpoint_id] = now
        while len(self._gone_at) > MOST_KEPT:
            self._gone_at.popitem(last=False)
        for counted in self._counted_by_fingerprint.values():
            cut_at = counted.cut_at_by_endpoint.pop(endpoint_id, None)
            if cut_at is not None and now - cut_at < CUT_TO_GONE_S:
                counted.crashed.add(endpoint_id)

    def on_answered(self, fingerprint: str) -> None:
        """Clear a request that ran to its end."""
        self._counted_by_fingerprint.pop(fingerprint, None)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Tell whether the request has crashed too many endpoints."""
        counted = self._counted_by_fingerprint.get(fingerprint)
        if counted is None or now - counted.last_at > KEPT_FOR_S:
            return False
        return len(counted.crashed) >= CRASHES_TO_REFUSE
