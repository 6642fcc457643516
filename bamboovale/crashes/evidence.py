"""Evidence of which requests crash the endpoints that run them.

Guards against a request that crashes each endpoint it runs on and that its caller
retries.

A run that was lost is weak evidence: links break and endpoints restart for other
reasons, and all other runs there were lost too. A run counts only if its endpoint has
crashed, and a request is refused only after it crashed two different endpoints.

The refusal ends after a while, as the endpoints may have been mended. Then one VM lets
one request through as a trial; the next crash doubles the refusal, and after a few
there is no other trial.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from bamboovale.crashes.lost_runs import MAX_DELAY_S, LostRuns

CRASHES_TO_REFUSE = 2
"""Different endpoints; one crash alone may hit a request that only ran beside. With a
higher count a request that crashes endpoints costs one more each time."""
CRASHES_FOR_GOOD = 6
"""From so many on there are no more trials: a fleet's trials for a day."""
RETENTION_S = 300.0
"""For how long a crash counts; and the first refusal, doubled with each crash more."""
TRIAL_S = 10.0
"""Least time between two trials: what the first one showed is known everywhere."""
MAX_TRACKED = 10_000


@dataclass(frozen=True)
class Counted:
    """A crash that counts against a request, its number, and the lost run's age.

    ``is_refused`` is whether the request is refused from now on.
    """

    subject: str
    endpoint_id: str
    crashes: int
    lost_s_ago: float
    is_refused: bool


@dataclass
class _Suspicion:
    """Crashes under one subject; ``recorded`` are those that a record tells of.

    ``trial_of`` is the request that was let through last, at ``trial_at``.
    """

    crashed: set[str] = field(default_factory=set)
    recorded: int = 0
    last_at: float = 0.0
    trial_of: str = ""
    trial_at: float = -math.inf

    @property
    def crashes(self) -> int:
        """Return the number of crashes; those of the record may be other ones."""
        return max(len(self.crashed), self.recorded)

    @property
    def convicted(self) -> bool:
        """Return whether there were enough crashes to refuse the subject."""
        return self.crashes >= CRASHES_TO_REFUSE

    def is_refused(self, now: float) -> bool:
        """Return whether the subject is refused, but for a trial."""
        if not self.convicted:
            return False
        if self.crashes >= CRASHES_FOR_GOOD:
            return True
        refusal_s = RETENTION_S * 2.0 ** (self.crashes - CRASHES_TO_REFUSE)
        return now - self.last_at < refusal_s

    def is_over(self, now: float) -> bool:
        """Return whether too few crashes are too long ago to count."""
        return not self.convicted and now - self.last_at >= RETENTION_S


class CrashEvidence:
    """Lost runs and crashed endpoints; a ``subject`` is a request's fingerprint."""

    def __init__(self) -> None:
        self._suspicion_by_subject: OrderedDict[str, _Suspicion] = OrderedDict()
        self._crashed_at: OrderedDict[str, float] = OrderedDict()
        self._lost = LostRuns()

    def __len__(self) -> int:
        """Return the number of suspects, refused ones included."""
        return len(self._suspicion_by_subject)

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
        return suspicion is not None and suspicion.is_refused(now)

    def needs_trial(self, subject: str, now: float) -> bool:
        """Return whether a subject was refused, and may be tried again."""
        suspicion = self._suspicion_by_subject.get(subject)
        if suspicion is None or not suspicion.convicted:
            return False
        return not suspicion.is_refused(now)

    def take_trial(self, subject: str, request_id: str, now: float) -> bool:
        """Return whether a request is the one trial of its subject."""
        suspicion = self._suspicion_by_subject[subject]
        if suspicion.trial_of == request_id:
            return True
        if now - suspicion.trial_at < TRIAL_S:
            return False
        suspicion.trial_of, suspicion.trial_at = request_id, now
        return True

    def on_record(self, subject: str, crashes: int, now: float) -> bool:
        """Apply what another process recorded; return whether it is new."""
        suspicion = self._suspicion_by_subject.setdefault(subject, _Suspicion())
        if crashes <= suspicion.crashes:
            return False
        suspicion.recorded, suspicion.last_at = crashes, now
        return True

    def _count(
        self, subject: str, endpoint_id: str, lost_s_ago: float, now: float
    ) -> list[Counted]:
        suspicion = self._suspicion_by_subject.get(subject)
        if suspicion is None or suspicion.is_over(now):
            suspicion = self._suspicion_by_subject[subject] = _Suspicion()
            self._keep_bounded()
        if endpoint_id in suspicion.crashed:
            return []
        suspicion.last_at = now
        suspicion.crashed.add(endpoint_id)
        return [
            Counted(
                subject,
                endpoint_id,
                suspicion.crashes,
                lost_s_ago,
                is_refused=suspicion.convicted,
            )
        ]

    def _keep_bounded(self) -> None:
        """Drop the oldest subject, one that is not refused if there is any."""
        if len(self._suspicion_by_subject) <= MAX_TRACKED:
            return
        oldest = next(
            (s for s, item in self._suspicion_by_subject.items() if not item.convicted),
            next(iter(self._suspicion_by_subject)),
        )
        del self._suspicion_by_subject[oldest]
