"""Counts the endpoints that one request has crashed.

Guards against a request that crashes each endpoint it runs on and that its caller
retries.

A run that was lost is weak evidence: links break and endpoints restart for other
reasons, and all other runs there were lost too. A run counts only if its endpoint then
disappeared without announcing that it leaves, and a request is refused only after it
crashed two different endpoints.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

CRASHES_TO_REFUSE = 2
"""Different endpoints; one crash alone may hit a request that only ran beside. With a
higher count a request that crashes endpoints costs one more each time."""
MAX_EXPIRY_DELAY_S = 8.0
"""Longest time from a lost run until the record of its endpoint expires, which is some
heartbeats after the crash."""
RETENTION_S = 300.0
MAX_TRACKED = 10_000


@dataclass(frozen=True)
class Counted:
    """A crash that counts against a request, its number, and the lost run's age."""

    fingerprint: str
    crashes: int
    lost_s_ago: float


@dataclass
class _Crashes:
    lost_at_by_endpoint: dict[str, float] = field(default_factory=dict)
    crashed: set[str] = field(default_factory=set)
    last_at: float = 0.0


class CrashCounts:
    """Lost runs and crashed endpoints by fingerprint of the request."""

    def __init__(self) -> None:
        self._crashes_by_fingerprint: OrderedDict[str, _Crashes] = OrderedDict()
        self._gone_at: OrderedDict[str, float] = OrderedDict()

    def on_run_lost(self, fingerprint: str, endpoint_id: str, now: float) -> None:
        """Record that a run was lost at an endpoint."""
        crashes = self._crashes_by_fingerprint.setdefault(fingerprint, _Crashes())
        crashes.last_at = now
        gone_at = self._gone_at.get(endpoint_id)
        if gone_at is not None and now - gone_at < MAX_EXPIRY_DELAY_S:
            crashes.crashed.add(endpoint_id)
        else:
            crashes.lost_at_by_endpoint[endpoint_id] = now
        while len(self._crashes_by_fingerprint) > MAX_TRACKED:
            self._crashes_by_fingerprint.popitem(last=False)

    def on_endpoint_gone(self, endpoint_id: str, now: float) -> list["Counted"]:
        """Record that an endpoint disappeared unannounced: runs lost there count.

        Returns those that it counts against.
        """
        self._gone_at[endpoint_id] = now
        while len(self._gone_at) > MAX_TRACKED:
            self._gone_at.popitem(last=False)
        counted = []
        for fingerprint, crashes in self._crashes_by_fingerprint.items():
            lost_at = crashes.lost_at_by_endpoint.pop(endpoint_id, None)
            if lost_at is not None and now - lost_at < MAX_EXPIRY_DELAY_S:
                crashes.crashed.add(endpoint_id)
                age_s = now - lost_at
                counted.append(Counted(fingerprint, len(crashes.crashed), age_s))
        return counted

    def on_answered(self, fingerprint: str) -> bool:
        """Clear a request that completed; return whether it was suspected."""
        return self._crashes_by_fingerprint.pop(fingerprint, None) is not None

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether the request has crashed too many endpoints."""
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if crashes is None or now - crashes.last_at > RETENTION_S:
            return False
        return len(crashes.crashed) >= CRASHES_TO_REFUSE
