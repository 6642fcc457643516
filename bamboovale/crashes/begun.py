"""Which requests, and parts of prompts, have begun answers lately."""

from collections import OrderedDict

from bamboovale.crashes.subjects import PART_PREFIX

RECENT_S = 3.0
"""An answer begun by so long ago speaks against a crash now."""
KNOWN_S = 60.0
"""An answer begun by so long ago lets a subject need more crashes."""
MAX_PARTS = 8192
MAX_REQUESTS = 2048


class BegunAnswers:
    """When an answer was last begun by subject, here or at another VM."""

    def __init__(self) -> None:
        self._at_by_part: OrderedDict[str, float] = OrderedDict()
        self._at_by_request: OrderedDict[str, float] = OrderedDict()

    def note(self, subject: str, at: float) -> None:
        """Record that an answer was begun."""
        is_part = subject.startswith(PART_PREFIX)
        kept = self._at_by_part if is_part else self._at_by_request
        kept[subject] = max(at, kept.pop(subject, at))
        if len(kept) > (MAX_PARTS if is_part else MAX_REQUESTS):
            kept.popitem(last=False)

    def age_s(self, subject: str, now: float) -> float | None:
        """Return how long ago an answer was begun, None if it is not known."""
        is_part = subject.startswith(PART_PREFIX)
        kept = self._at_by_part if is_part else self._at_by_request
        at = kept.get(subject)
        return None if at is None or now - at >= KNOWN_S else now - at

    def is_recent(self, subject: str, now: float) -> bool:
        """Return whether an answer was begun just now."""
        age_s = self.age_s(subject, now)
        return age_s is not None and age_s < RECENT_S
