"""The crashes under one subject, and for how long it is refused."""

import math
from dataclasses import dataclass, field

from bamboovale.crashes.subjects import CrashRule

TRIAL_S = 10.0
"""Least time between two trials: what the first one showed is known everywhere."""


@dataclass
class Suspicion:
    """Crashes under one subject; ``recorded`` are others that a record tells of.

    ``has_begun`` is whether an answer had begun in some of them. ``is_convicted`` is
    whether its crashes are enough to refuse it, ``is_proven`` whether that is certain
    whatever else is suspected of them. It is refused from ``refused_from`` on.
    ``trial_of`` is the request that was let through last, at ``trial_at``.
    """

    rule: CrashRule
    crashed: set[str] = field(default_factory=set)
    recorded: int = 0
    has_begun: bool = False
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
        if self.crashes >= self.rule.for_good:
            return True
        more = max(0.0, self.crashes - self.rule.to_refuse)
        return now - self.last_at < self.rule.refuse_s * 2.0**more

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
