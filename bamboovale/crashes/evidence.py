"""Evidence of which requests, and parts of prompts, crash the endpoints that run them.

Guards against a request that crashes each endpoint it runs on and that its caller
retries, and against a part that does so in requests of which no two are alike.

A run that was lost is weak evidence: links break and endpoints restart for other
reasons, and all other runs there were lost too. A run counts only if its endpoint has
crashed, and not against what begins answers elsewhere. If its answer had begun it
counts against the whole request alone, which only a whole answer clears.
``verdicts`` decides which subjects explain the crashes.

The refusal ends after a while, as the endpoints may have been mended. Then one VM lets
one request through as a trial; the next crash doubles the refusal, and after a few
there is no other trial.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from bamboovale.crashes.begun import RECENT_S, BegunAnswers
from bamboovale.crashes.lost_runs import MAX_DELAY_S, LostRun, LostRuns
from bamboovale.crashes.subjects import CrashRule, rule_of
from bamboovale.crashes.suspicion import Suspicion
from bamboovale.crashes.verdicts import MIN_CRASHES, convicted

KNOWN_GRACE_S = 0.7
"""From the conviction of a subject that began answers before to its refusal: when many
endpoints crash at once, other VMs have answers of it begun just before to tell."""
MAX_TRACKED = 10_000
MAX_DUMPED = 50


@dataclass(frozen=True)
class Counted:
    """A crash that counts against a subject, its number, and the lost run's age.

    ``began`` is whether the run's answer had begun.
    """

    subject: str
    endpoint_id: str
    crashes: int
    lost_s_ago: float
    began: bool


@dataclass(frozen=True)
class Sound:
    """A subject that was lost with an endpoint, but is sound.

    It began an answer ``age_s`` before the endpoint was last heard.
    """

    subject: str
    endpoint_id: str
    age_s: float


@dataclass(frozen=True)
class Convicted:
    """A subject that is refused from now on, or for longer.

    ``trials`` is how many trials have crashed since its conviction, ``was_sound``
    whether it had begun an answer not long before it.
    """

    subject: str
    crashes: int
    trials: int = 0
    was_sound: bool = False

    @classmethod
    def from_suspicion(cls, subject: str, suspicion: Suspicion) -> "Convicted":
        """Return what is known of a subject."""
        return cls(subject, suspicion.crashes, suspicion.trials, suspicion.was_sound)


@dataclass(frozen=True)
class Cleared:
    """A subject that is no longer suspected, or refused."""

    subject: str
    was_refused: bool


Finding = Counted | Sound | Convicted | Cleared


@dataclass(frozen=True)
class _Crash:
    """When a crash became known, and when its endpoint was last heard before."""

    known_at: float
    heard_at: float


class CrashEvidence:
    """Lost runs, crashed endpoints and answers begun, as one VM knows them."""

    def __init__(self, rule_of: Callable[[str], CrashRule] = rule_of) -> None:
        self._rule_of = rule_of
        # Those with several crashes stand in ``_repeated`` too, as only they can be
        # convicted, and most suspects have one.
        self._suspicion_by_subject: OrderedDict[str, Suspicion] = OrderedDict()
        self._crash_by_endpoint: OrderedDict[str, _Crash] = OrderedDict()
        self._repeated: dict[str, Suspicion] = {}
        self._lost = LostRuns()
        self._begun = BegunAnswers()

    def __len__(self) -> int:
        """Return the number of suspects, refused ones included."""
        return len(self._suspicion_by_subject)

    # Events.

    def on_run_lost(
        self,
        subject: str,
        endpoint_id: str,
        now: float,
        *,
        by_peer: bool = False,
        began: bool = False,
    ) -> list[Finding]:
        """Record a run that was lost, here or ``by_peer``.

        ``began`` is whether its answer had begun, which needs more crashes.
        """
        run = LostRun(subject, now, by_peer, began)
        crash = self._crash_by_endpoint.get(endpoint_id)
        if crash is None or now - crash.known_at >= MAX_DELAY_S:
            self._lost.add(run, endpoint_id, now)
            return []
        return self._count(run, endpoint_id, now) + self._judge(now)

    def on_crashed(
        self, endpoint_id: str, now: float, silent_s: float = 0.0
    ) -> list[Finding]:
        """Record that an endpoint crashed, which has been silent for a while."""
        crash = _Crash(now, now - silent_s)
        self._crash_by_endpoint.setdefault(endpoint_id, crash)
        while len(self._crash_by_endpoint) > MAX_TRACKED:
            self._crash_by_endpoint.popitem(last=False)
        self._lost.sweep(now)
        found: list[Finding] = []
        for run in self._lost.take(endpoint_id, now):
            found += self._count(run, endpoint_id, now)
        return found + self._judge(now) if found else []

    def on_begun(self, subjects: Iterable[str], now: float) -> list[Finding]:
        """Record that an answer was begun for a request of these subjects."""
        found: list[Finding] = []
        for subject in subjects:
            self._begun.note(subject, now)
            found += self._clear(subject)
        return found + self._judge(now) if found else []

    def clear(self, subject: str) -> None:
        """Suspect a subject no longer."""
        self._clear(subject)

    def on_sound(
        self, subject: str, age_s: float, now: float, silent_s: float = 0.0
    ) -> list[Finding]:
        """Record that an answer was begun at another VM.

        That was ``age_s`` before the endpoint fell silent with which the subject was
        lost, ``silent_s`` ago.
        """
        self._begun.note(subject, now - silent_s - age_s)
        found = self._clear(subject) if age_s < RECENT_S else []
        return found + self._judge(now)

    def on_record(
        self,
        subject: str,
        crashes: int,
        now: float,
        *,
        trials: int = 0,
        was_sound: bool = False,
    ) -> bool:
        """Apply what another process recorded; return whether it is new."""
        known = self._suspicion_by_subject.get(subject)
        if crashes <= (known.crashes if known else 0):
            return False
        suspicion = self._suspicion_of(subject, now)
        suspicion.recorded = crashes - len(suspicion.crashed)
        suspicion.trials = max(suspicion.trials, trials)
        suspicion.was_sound |= was_sound
        suspicion.prove(now)
        return True

    def on_lone_crash(self, subject: str, now: float) -> bool:
        """Convict a subject that crashed an endpoint alone; False if it was known."""
        suspicion = self._suspicion_of(subject, now)
        was_proven = suspicion.is_proven
        suspicion.prove(now)
        return not was_proven

    # Questions.

    def knows_crash(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is known to have crashed."""
        return endpoint_id in self._crash_by_endpoint

    def is_refused(self, subject: str, now: float) -> bool:
        """Return whether a subject has crashed too many endpoints."""
        suspicion = self._suspicion_by_subject.get(subject)
        return suspicion is not None and suspicion.is_refused(now)

    def refused(self, now: float) -> list[Convicted]:
        """Return the subjects that are refused."""
        return [
            Convicted.from_suspicion(subject, suspicion)
            for subject, suspicion in self._suspicion_by_subject.items()
            if suspicion.is_refused(now)
        ]

    def needs_trial(self, subject: str, now: float) -> bool:
        """Return whether a subject was refused, and may be tried again."""
        suspicion = self._suspicion_by_subject.get(subject)
        return suspicion is not None and suspicion.needs_trial(now)

    def take_trial(self, subject: str, request_id: str, now: float) -> bool:
        """Return whether a request is the one trial of its subject."""
        return self._suspicion_by_subject[subject].take_trial(request_id, now)

    def crashed_under(self, subject: str, now: float) -> frozenset[str]:
        """Return the endpoints whose crashes count against a subject."""
        suspicion = self._suspicion_by_subject.get(subject)
        if suspicion is None or suspicion.is_over(now):
            return frozenset()
        return frozenset(suspicion.crashed)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the subjects with the most crashes, and their evidence."""
        by_crashes = sorted(
            self._suspicion_by_subject.items(), key=lambda item: -item[1].crashes
        )
        return {
            subject: {
                "crashed": sorted(suspicion.crashed),
                "recorded": suspicion.recorded,
                "last_s_ago": round(now - suspicion.last_at, 1),
                "convicted": suspicion.is_convicted,
                "refused": suspicion.is_refused(now),
                "trials": suspicion.trials,
                "was_sound": suspicion.was_sound,
                "begun_s_ago": self._begun.age_s(subject, now),
            }
            for subject, suspicion in by_crashes[:MAX_DUMPED]
        }

    # Counting.

    def _count(self, run: LostRun, endpoint_id: str, now: float) -> list[Finding]:
        subject = run.subject
        # What began an answer just before the endpoint fell silent did not crash it.
        heard_at = self._crash_by_endpoint[endpoint_id].heard_at
        begun_s_before = self._begun.age_s(subject, heard_at)
        sound: list[Finding] = []
        if begun_s_before is not None and run.by_peer:
            sound = [Sound(subject, endpoint_id, max(0.0, begun_s_before))]
        if self._begun.is_recent(subject, heard_at):
            return sound
        suspicion = self._suspicion_of(subject, now)
        if endpoint_id in suspicion.crashed:
            return []
        suspicion.on_crash(endpoint_id, now)
        suspicion.has_begun |= run.began
        if len(suspicion.crashed) >= MIN_CRASHES:
            self._repeated[subject] = suspicion
        counted = Counted(
            subject, endpoint_id, suspicion.crashes, now - run.lost_at, run.began
        )
        if suspicion.is_convicted:
            return [counted, Convicted.from_suspicion(subject, suspicion)]
        return [counted, *sound]

    def _clear(self, subject: str) -> list[Finding]:
        suspicion = self._suspicion_by_subject.pop(subject, None)
        self._repeated.pop(subject, None)
        if suspicion is None:
            return []
        found: list[Finding] = [Cleared(subject, suspicion.is_convicted)]
        if suspicion.crashed:
            found.append(Sound(subject, max(suspicion.crashed), 0.0))
        return found

    def _judge(self, now: float) -> list[Finding]:
        """Convict and acquit by what is known now."""
        for subject, suspicion in list(self._repeated.items()):
            if suspicion.is_over(now):
                del self._repeated[subject]
        known = frozenset(
            subject
            for subject, suspicion in self._repeated.items()
            if suspicion.has_begun or self._begun.age_s(subject, now) is not None
        )
        guilty = convicted(self._repeated, known)
        found: list[Finding] = []
        for subject, suspicion in self._repeated.items():
            if suspicion.is_proven:
                continue
            if subject in guilty and not suspicion.is_convicted:
                suspicion.refused_from = now + (subject in known) * KNOWN_GRACE_S
                suspicion.was_sound = self._begun.age_s(subject, now) is not None
                found.append(Convicted.from_suspicion(subject, suspicion))
            elif suspicion.is_convicted and subject not in guilty:
                found.append(Cleared(subject, was_refused=True))
            suspicion.is_convicted = subject in guilty
        return found

    def _suspicion_of(self, subject: str, now: float) -> Suspicion:
        suspicion = self._suspicion_by_subject.get(subject)
        if suspicion is None or suspicion.is_over(now):
            suspicion = Suspicion(self._rule_of(subject), last_at=now)
            self._repeated.pop(subject, None)
            self._suspicion_by_subject[subject] = suspicion
            self._keep_bounded()
        return suspicion

    def _keep_bounded(self) -> None:
        """Drop the oldest subject, one that is not refused if there is any."""
        if len(self._suspicion_by_subject) <= MAX_TRACKED:
            return
        by_subject = self._suspicion_by_subject
        oldest = next(
            (subject for subject, item in by_subject.items() if not item.is_convicted),
            next(iter(by_subject)),
        )
        del by_subject[oldest]
        self._repeated.pop(oldest, None)
