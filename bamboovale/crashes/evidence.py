"""Evidence of which requests crash the endpoints that run them.

Guards against a request that crashes each endpoint it runs on and that its caller
retries.

A run that was lost is weak evidence: links break and endpoints restart for other
reasons, and all other runs there were lost too. A run counts only if its endpoint has
crashed, and a request is refused only after it crashed two different endpoints.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from bamboovale.crashes.lost_runs import MAX_DELAY_S, LostRuns

CRASHES_TO_REFUSE = 2
"""Different endpoints; one crash alone may hit a request that only ran beside. With a
higher count a request that crashes endpoints costs one more each time."""
RETENTION_S = 300.0
MAX_TRACKED = 10_000


@dataclass(frozen=True)
class Counted:
    """A crash that counts against a request, its number, and the lost run's age."""

    subject: str
    endpoint_id: str
    crashes: int
    lost_s_ago: float


@dataclass
class _Suspicion:
    crashed: set[str] = field(default_factory=set)
    last_at: float = 0.0


class CrashEvidence:
    """Lost runs and crashed endpoints; a ``subject`` is a request's fingerprint."""

    def __init__(self) -> None:
        self._suspicion_by_subject: OrderedDict[str, _Suspicion] = OrderedDict()
        self._crashed_at: OrderedDict[str, float] = OrderedDict()
        self._lost = LostRuns()

    def on_run_lost(self, subject: str, endpoint_id: str, now: float) -> list[Counted]:
        """Record that a run was lost; return the crash if it counts already."""
        crashed_at = self._crashed_at.get(endpoint_id)
        if crashed_at is not None and now - crashed_at < MAX_DELAY_S:
            return self._count(subject, endpoint_id, 0.0, now)
        self._lost.add(subject, endpoint_id, now)
        return []

    def on_crashed(self, endpoint_id: str, now: float) -> list[Counted]:
        """Record that an endpoint crashed; return what now counts against whom."""
        self._crashed_at.setdefault(endpoint_id, now)
        while len(self._crashed_at) > MAX_TRACKED:
            self._crashed_at.popitem(last=False)
        self._lost.sweep(now)
        return [
            counted
            for run in self._lost.take(endpoint_id, now)
            for counted in self._count(run.subject, endpoint_id, now - run.lost_at, now)
        ]

    def knows_crash(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is known to have crashed."""
        return endpoint_id in self._crashed_at

    def on_answered(self, subject: str) -> bool:
        """Clear a request that completed; return whether it was suspected."""
        return self._suspicion_by_subject.pop(subject, None) is not None

    def is_refused(self, subject: str, now: float) -> bool:
        """Return whether the request has crashed too many endpoints."""
        suspicion = self._suspicion_by_subject.get(subject)
        if suspicion is None or now - suspicion.last_at >= RETENTION_S:
            return False
        return len(suspicion.crashed) >= CRASHES_TO_REFUSE

    def _count(
        self, subject: str, endpoint_id: str, lost_s_ago: float, now: float
    ) -> list[Counted]:
        suspicion = self._suspicion_by_subject.setdefault(subject, _Suspicion())
        suspicion.last_at = now
        if endpoint_id in suspicion.crashed:
            return []
        suspicion.crashed.add(endpoint_id)
        while len(self._suspicion_by_subject) > MAX_TRACKED:
            self._suspicion_by_subject.popitem(last=False)
        return [Counted(subject, endpoint_id, len(suspicion.crashed), lost_s_ago)]
