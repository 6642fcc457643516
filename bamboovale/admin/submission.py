"""Appends edits to the log and builds the replies with their outcomes."""

import re
import threading
import uuid
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from result import Err

from bamboovale.admin.edits import split_edit
from bamboovale.admin.http import (
    Reply,
    Request,
    bad_request,
    findings_to_json,
    reply_findings,
)
from bamboovale.admin.port import AdministrationPort
from bamboovale.catalogue.edits import (
    AUTHOR,
    Change,
    Edit,
    EditOutcome,
    RejectionReason,
)
from bamboovale.errors import ErrorCode, Finding, Refusal

SUBMIT_TIMEOUT_S = 5.0
# Calls that wait for the log or for peers occupy a server thread. Beyond this
# limit they are refused, so that state, metrics and health respond in an outage.
MAX_WAITING_CALLS = 4
RETRY_AFTER_S = 2.0
# Shorter than the limit on the log, where a part number may be appended.
CLIENT_EDIT_ID = re.compile(r"[A-Za-z0-9._:-]{8,120}")


class WaitingCallLimiter:
    """Limits the number of calls that wait concurrently."""

    def __init__(self, bound: int = MAX_WAITING_CALLS) -> None:
        self._semaphore = threading.BoundedSemaphore(bound)

    @contextmanager
    def acquire(self) -> Iterator[bool]:
        """Count a call during the block; yields False if the limit is reached."""
        acquired = self._semaphore.acquire(blocking=False)
        try:
            yield acquired
        finally:
            if acquired:
                self._semaphore.release()


class Submission:
    """Submits edits and builds the replies."""

    def __init__(
        self,
        port: AdministrationPort,
        limiter: WaitingCallLimiter,
        wall_clock: Callable[[], float],
    ) -> None:
        self._port = port
        self._limiter = limiter
        self._wall_clock = wall_clock

    def submit(self, request: Request, changes: list[Change]) -> Reply:
        """Append the changes as an edit and reply with its outcome."""
        edit_id = request.header("X-Edit-Id") or uuid.uuid4().hex
        author = request.header("X-Author")
        findings = []
        if not CLIENT_EDIT_ID.fullmatch(edit_id):
            findings.append(
                Finding("X-Edit-Id", f"must match {CLIENT_EDIT_ID.pattern}")
            )
        if not AUTHOR.fullmatch(author):
            findings.append(
                Finding(
                    "X-Author", "must name who makes the edit, in 1 to 128 characters"
                )
            )
        if findings:
            return reply_findings(findings)
        edit = Edit(edit_id, author, self._wall_clock(), tuple(changes))
        with self._limiter.acquire() as acquired:
            if not acquired:
                return reply_too_many_waiting()
            return self._submit_parts(edit)

    def _submit_parts(self, edit: Edit) -> Reply:
        parts = split_edit(edit)
        accepted: list[EditOutcome] = []
        for part in parts:
            result = self._port.submit(part, SUBMIT_TIMEOUT_S)
            progress = {
                "edit_id": edit.edit_id,
                "parts": len(parts),
                "accepted_parts": len(accepted),
            }
            if isinstance(result, Err):
                return Reply.of_refusal(result.err_value, edit.edit_id, progress)
            outcome = result.ok_value
            if not outcome.accepted:
                return self._reply_rejected(outcome, progress)
            accepted.append(outcome)
        return Reply.of_json(
            {
                "accepted": True,
                "edit_id": edit.edit_id,
                "revision": accepted[-1].revision,
                "changes": len(edit.changes),
                "parts": len(parts),
            },
            headers=(
                ("ETag", f'"{accepted[-1].revision}"'),
                ("X-Edit-Id", edit.edit_id),
                ("X-Catalogue-Revision", str(accepted[-1].revision)),
            ),
        )

    def _reply_rejected(
        self,
        outcome: EditOutcome,
        progress: dict[str, Any],
    ) -> Reply:
        if outcome.reason is RejectionReason.CONFLICT:
            return self._reply_conflict(outcome, progress)
        if outcome.reason is RejectionReason.EDIT_ID_REUSED:
            refusal = Refusal(
                ErrorCode.KEY_REUSED,
                "this edit id belongs to another edit",
                not_run=True,
            )
            return Reply.of_refusal(refusal, outcome.edit_id, progress)
        findings = findings_to_json(outcome.findings)
        return Reply.of_refusal(
            bad_request(f"{len(findings)} findings"),
            outcome.edit_id,
            progress | {"revision": outcome.revision, "findings": findings},
        )

    def _reply_conflict(
        self,
        outcome: EditOutcome,
        progress: dict[str, Any],
    ) -> Reply:
        view = self._port.catalogue()
        conflicts = []
        for conflict in outcome.conflicts:
            entry = view.entry(conflict.kind, conflict.name)
            conflicts.append(
                {
                    "kind": conflict.kind.value,
                    "name": conflict.name,
                    "base_revision": conflict.base_revision,
                    "current_revision": conflict.current_revision,
                    "current": None if entry is None else entry.to_json(),
                }
            )
        refusal = Refusal(
            ErrorCode.CONFLICT,
            "the entry has changed since the revision that the edit names",
            not_run=True,
        )
        return Reply.of_refusal(
            refusal,
            outcome.edit_id,
            progress | {"revision": outcome.revision, "conflicts": conflicts},
        )


def reply_too_many_waiting() -> Reply:
    """Return the refusal of a call beyond the limit of waiting calls."""
    return Reply.of_refusal(
        Refusal(
            ErrorCode.OVERLOADED,
            "too many calls wait for the log or for other entry VMs",
            not_run=True,
            retry_after_s=RETRY_AFTER_S,
        )
    )
