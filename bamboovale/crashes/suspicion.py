"""The crashes under one subject, and for how long it is refused."""

import math
from dataclasses import dataclass, field

from bamboovale.crashes.subjects import CrashRule

TRIAL_S = 10.0
"""Least time between two trials: what the first one showed is known everywhere."""
FIRST_TRIAL_S = 6.0
"""From the last crash to the first trial of a subject that had begun answers: longer
than a silent endpoint's record lasts, whose crash is not that of a trial."""
LATE_NEWS_S = 1.0
"""The crash of a trial may be known where the refusal lasts a little longer."""
MIN_TRIALS = 3
"""Trials that must have crashed before there are no more: many endpoints that crash at
once show no more than one."""


@dataclass
class Suspicion:
    """Crashes under one subject; ``recorded`` are others that a record tells of.

    ``has_begun`` is whether an answer had begun in some of them. ``is_convicted`` is
    whether its crashes are enough to refuse it, ``is_proven`` whether that is certain
    whatever else is suspected of them. It is refused from ``refused_from`` on.
    ``was_sound`` is whether it began an answer not long before its conviction,
    ``trials`` how many trials have crashed since. ``trial_of`` is the request that was
    let through last, at ``trial_at``.
    """

    rule: CrashRule
    crashed: set[str] = field(default_factory=set)
    recorded: int = 0
    has_begun: bool = False
    was_sound: bool = False
    trials: int = 0
    last_at: float = 0.0
    is_convicted: bool = False
    is_proven: bool = False
    refused_from: float = -math.inf
    trial_of: str = ""
    trial_at: float = -math.inf

    @property
    def crashes(self) -> int:
        """Return the number of crashes."""
        return len(self.crashed) + self.recorded

    def is_refused(self, now: float) -> bool:
        """Return whether the subject is refused, but for a trial."""
        if not self.is_convicted or now < self.refused_from:
            return False
        if self.crashes >= self.rule.for_good and self.trials >= MIN_TRIALS:
            return True
        return now - self.last_at < self._refuse_s()

    def _refuse_s(self) -> float:
        """Return for how long it is refused from its last crash on."""
        trials = self.trials
        if self.was_sound:
            if not trials:
                return min(FIRST_TRIAL_S, self.rule.refuse_s)
            trials -= 1
        more = min(trials, self.crashes - self.rule.to_refuse)
        return self.rule.refuse_s * 2.0 ** max(0.0, more)

    def on_crash(self, endpoint_id: str, now: float) -> None:
        """Count the crash of an endpoint."""
        if self.is_convicted and not self.is_refused(now + LATE_NEWS_S):
            self.trials += 1
        self.last_at = now
        self.crashed.add(endpoint_id)

    def needs_trial(self, now: float) -> bool:
        """Return whether the subject was refused, and may be tried again."""
        was_refused = self.is_convicted and now >= self.refused_from
        return was_refused and not self.is_refused(now)

    def is_over(self, now: float) -> bool:
        """Return whether too few crashes are too long ago to count."""
        return not self.is_convicted and now - self.last_at >= self.rule.suspect_s

    def prove(self, now: float) -> None:
        """Convict it for certain."""
        self.is_convicted = self.is_proven = True
        self.last_at = now

    def take_trial(self, request_id: str, now: float) -> bool:
        """Return whether a request is the one trial of its subject."""
        if self.trial_of == request_id:
            return True
        if now - self.trial_at < TRIAL_S:
            return False
        self.trial_of, self.trial_at = request_id, now
        return True
