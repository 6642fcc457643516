"""Which of the subjects that were lost with crashed endpoints explain the crashes.

Guards against refusing what only ran beside: a part that a customer's requests share
was lost as often as the part of theirs that crashes. As in group testing, the subject
that explains most crashes is convicted first, and its crashes no longer count against
others (greedy set cover). One that had begun answers before explains less than one that
never did.
"""

from collections.abc import Iterator, Mapping
from itertools import groupby

from bamboovale.crashes.subjects import PART_PREFIX
from bamboovale.crashes.suspicion import Suspicion

MIN_CRASHES = 2
"""No rule convicts with fewer."""


def convicted(
    suspicion_by_subject: Mapping[str, Suspicion], known: frozenset[str]
) -> set[str]:
    """Return the subjects to refuse; ``known`` are those that began answers before."""
    found: set[str] = set()
    explained: set[str] = set()
    for group in _groups(suspicion_by_subject, known):
        for subject in group:
            suspicion = suspicion_by_subject[subject]
            crashes = len(suspicion.crashed - explained)
            if crashes >= _needed(suspicion, subject in known, len(group)):
                found.add(subject)
        for subject in found.intersection(group):
            explained |= suspicion_by_subject[subject].crashed
    return found


def _needed(suspicion: Suspicion, is_known: bool, alike: int) -> float:
    """Return the crashes that convict; of several subjects alike one more is needed."""
    if is_known:
        return suspicion.rule.to_refuse_known
    return suspicion.rule.to_refuse + (alike > 1)


def _groups(
    suspicion_by_subject: Mapping[str, Suspicion], known: frozenset[str]
) -> Iterator[list[str]]:
    """Yield the subjects that the same crashes speak against, the strongest first."""

    def rank(subject: str) -> tuple[bool, int, bool, list[str]]:
        crashed = suspicion_by_subject[subject].crashed
        is_part = subject.startswith(PART_PREFIX)
        return subject in known, -len(crashed), is_part, sorted(crashed)

    subjects = [
        subject
        for subject, suspicion in suspicion_by_subject.items()
        if len(suspicion.crashed) >= MIN_CRASHES
    ]
    for _, group in groupby(sorted(subjects, key=rank), key=rank):
        yield list(group)
