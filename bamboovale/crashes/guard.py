"""Requests, and parts of prompts, that crash endpoints, on the routed interface."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

from bamboovale.crashes.attempt_watch import AttemptWatch
from bamboovale.crashes.begun import RECENT_S
from bamboovale.crashes.evidence import (
    Cleared,
    Convicted,
    Counted,
    CrashEvidence,
    Finding,
    Sound,
)
from bamboovale.crashes.last_heard import LastHeard
from bamboovale.crashes.records import Refused
from bamboovale.crashes.signs import CrashSign, CrashSigns
from bamboovale.fleet.messages import (
    CrashedEndpoint,
    CrashNews,
    SoundRequest,
    SuspectRequest,
)
from bamboovale.gateway.call import Call, CallerLeft
from bamboovale.gateway.endpoint_client import NotRun
from bamboovale.gateway.endpoints import EndpointChange, EndpointView
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import EndpointRecord

CRASHES_ENDPOINTS = "the request, or a part of its prompt, crashed endpoints before"
REFUSED_RETRY_S = 30.0
"""Retry delay for a request that crashes endpoints, as it will do so again."""


class CrashGuard:
    """Gathers what speaks for and against requests; refuses those that crash endpoints.

    ``is_port_closed`` looks whether an endpoint still listens; ``broadcast`` tells the
    other VMs; ``is_designated`` returns whether this VM is the one that decides on a
    subject for all, ``record`` writes that it is refused to the store. ``count_event``
    counts by name.
    """

    def __init__(
        self,
        journal: Journal,
        endpoints: EndpointView,
        now: Callable[[], float],
        is_port_closed: Callable[[EndpointRecord], Awaitable[bool]],
        broadcast: Callable[[CrashNews], None],
        is_designated: Callable[[str], bool],
        record: Callable[[Refused], None],
        count_event: Callable[[str], None],
    ) -> None:
        self._journal = journal
        self._now = now
        self._signs = CrashSigns(endpoints, is_port_closed, self._on_crashed)
        self._broadcast = broadcast
        self._is_designated = is_designated
        self._record = record
        self._count_event = count_event
        self._evidence = CrashEvidence()
        self._heard = LastHeard()

    def is_refused(self, call: Call) -> bool:
        """Return whether a call would crash endpoints, and is no trial."""
        return any(self._is_refused(call, subject) for subject in call.subjects)

    def _is_refused(self, call: Call, subject: str) -> bool:
        now = self._now()
        refused = self._evidence.is_refused(subject, now)
        if not refused and self._evidence.needs_trial(subject, now):
            refused = not self._is_trial(call, subject, now)
        if refused:
            call.notes["crashing"] = subject
            self._count_event("refused")
        return refused

    def _is_trial(self, call: Call, subject: str, now: float) -> bool:
        """Return whether a call is the one that may show what its subject does now."""
        request_id = call.facts.request_id
        if not self._is_designated(subject):
            return False
        if not self._evidence.take_trial(subject, request_id, now):
            return False
        self._journal.write("crash_trial", id=request_id, subject=subject)
        self._count_event("trial")
        return True

    def dump(self) -> dict[str, Any]:
        """Return what is suspected or refused, with the evidence."""
        return self._evidence.dump(self._now())

    # News of others.

    def on_news(self, news: CrashNews) -> None:
        """Apply what another VM has seen."""
        now = self._now()
        if isinstance(news, CrashedEndpoint):
            self._on_crashed(news.endpoint_id, CrashSign.PEER)
        elif isinstance(news, SuspectRequest):
            found = self._evidence.on_run_lost(
                news.fingerprint,
                news.endpoint_id,
                now,
                by_peer=True,
                began=news.began,
            )
            self._apply(found)
        else:
            age_s = 0.0 if news.recent else RECENT_S
            silent_s = self._heard.silent_s(news.endpoint_id, now)
            found = self._evidence.on_sound(news.fingerprint, age_s, now, silent_s)
            self._apply(found, answered="peer")

    def on_record(self, refused: Refused) -> None:
        """Apply what the store tells of a subject that is refused."""
        if self._evidence.on_record(
            refused.subject,
            refused.crashes,
            self._now(),
            trials=refused.trials,
            was_sound=refused.was_sound,
        ):
            self._journal.write(
                "refused_by_record", subject=refused.subject, crashes=refused.crashes
            )

    def on_store_returned(self) -> None:
        """Record again what is refused, as the store may have lost it."""
        for convicted in self._evidence.refused(self._now()):
            self._record_refused(_refused(convicted))

    # Crashes.

    def on_heard(self, endpoint_id: str) -> None:
        """Note a sign of life of an endpoint."""
        self._heard.note(endpoint_id, self._now())

    def on_heartbeat(self, endpoint_id: str, position: int) -> None:
        """Note an endpoint's record, which is new by its position in the topic."""
        self._heard.note_record(endpoint_id, position, self._now())

    def on_endpoint(self, change: EndpointChange) -> None:
        """Apply a change of an endpoint's record."""
        self._signs.on_endpoint(change)

    def look(self, endpoint_id: str) -> None:
        """Look whether an endpoint at which a run was lost has crashed."""
        self._signs.look(endpoint_id)

    def _on_crashed(self, endpoint_id: str, sign: CrashSign) -> None:
        now = self._now()
        silent_s = self._heard.silent_s(endpoint_id, now)
        is_new = not self._evidence.knows_crash(endpoint_id)
        found = self._evidence.on_crashed(endpoint_id, now, silent_s)
        if is_new:
            self._journal.write(
                "endpoint_crashed",
                endpoint=endpoint_id,
                sign=sign,
                silent_s=round(silent_s, 3),
            )
            self._count_event("crash")
            self._broadcast(CrashedEndpoint(endpoint_id))
        self._apply(found)

    # Runs.

    @contextmanager
    def watch(self, call: Call, record: EndpointRecord) -> Iterator[AttemptWatch]:
        """Watch one attempt at an endpoint: its run is lost unless it is answered.

        Also where the caller leaves or the deadline passes meanwhile: an endpoint may
        crash without closing its connections.
        """
        request, *parts = call.subjects
        watch = AttemptWatch(
            self._now,
            on_heard=lambda: self.on_heard(record.endpoint_id),
            on_begun=lambda: self._on_begun(call, parts),
            on_whole=lambda: self._on_begun(call, [request]),
        )
        try:
            yield watch
        except (NotRun, CallerLeft):
            raise
        except BaseException as error:
            self._on_lost(call, record.endpoint_id, error, began=watch.has_begun)
            raise
        else:
            watch.on_whole()

    def _on_begun(self, call: Call, subjects: list[str]) -> None:
        found = self._evidence.on_begun(subjects, self._now())
        self._apply(found, answered=call.facts.request_id)

    def _on_lost(
        self, call: Call, endpoint_id: str, error: BaseException, *, began: bool
    ) -> None:
        if not isinstance(error, asyncio.CancelledError):
            self._journal.write(
                "run_broke_off",
                id=call.facts.request_id,
                fingerprint=call.fingerprint,
                endpoint=endpoint_id,
                reason=str(error) or type(error).__name__,
                began=began,
                parts=[part_id for part_id, _ in call.shared_parts],
            )
            self._signs.look(endpoint_id)
        now = self._now()
        for subject in call.subjects[:1] if began else call.subjects:
            found = self._evidence.on_run_lost(subject, endpoint_id, now, began=began)
            self._apply(found)

    # What follows from the evidence.

    def _apply(self, found: list[Finding], answered: str | None = None) -> None:
        """Tell and log findings; ``answered`` is the request whose answer led there."""
        for finding in found:
            match finding:
                case Counted():
                    self._on_counted(finding)
                case Sound():
                    recent = finding.age_s < RECENT_S
                    self._broadcast(
                        SoundRequest(finding.subject, finding.endpoint_id, recent)
                    )
                case Convicted():
                    self._on_convicted(finding)
                case Cleared():
                    self._on_cleared(finding, answered)

    def _on_counted(self, counted: Counted) -> None:
        self._broadcast(
            SuspectRequest(counted.subject, counted.endpoint_id, counted.began)
        )
        self._count_event("suspected")
        self._journal.write(
            "crash_counted",
            subject=counted.subject,
            endpoint=counted.endpoint_id,
            crashes=counted.crashes,
            lost_s_ago=round(counted.lost_s_ago, 3),
        )

    def _on_convicted(self, convicted: Convicted) -> None:
        self._count_event("convicted")
        self._journal.write(
            "crashes_endpoints",
            subject=convicted.subject,
            crashes=convicted.crashes,
            trials=convicted.trials,
            was_sound=convicted.was_sound,
        )
        self._record_refused(_refused(convicted))

    def _on_cleared(self, cleared: Cleared, answered: str | None) -> None:
        self._count_event("cleared")
        self._journal.write(
            "suspect_cleared",
            subject=cleared.subject,
            refused=cleared.was_refused,
            answered=answered,
        )
        if cleared.was_refused:
            self._record_refused(Refused(cleared.subject, 0))

    def _record_refused(self, refused: Refused) -> None:
        if self._is_designated(refused.subject):
            self._record(refused)


def _refused(convicted: Convicted) -> Refused:
    """Return the record of a conviction."""
    return Refused(
        convicted.subject, convicted.crashes, convicted.trials, convicted.was_sound
    )
