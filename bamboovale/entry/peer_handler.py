"""Dispatches messages of peers to the actors of this entry VM; never blocks."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pykka

from bamboovale.actors import tell
from bamboovale.catalogue.actor import (
    CATALOGUE_STREAM,
    CatalogueRecordsForwarded,
    SnapshotRequested,
)
from bamboovale.claims.answers import AnswerStore
from bamboovale.crashes.suspects import CrashNotice
from bamboovale.engines.load_grants import LoadReleaseReceived, LoadRequestReceived
from bamboovale.entry.decision_facade import DecisionFacade
from bamboovale.entry.engine_holders import EngineHolders
from bamboovale.entry.holder_router import deliver_notice, deliver_permit_request
from bamboovale.entry.permits import PermitClient
from bamboovale.membership.actor import StatusReceived
from bamboovale.peers.messages import (
    AnswerKept,
    AnswerQuery,
    CatalogueAnswer,
    CatalogueQuery,
    CrashSeen,
    LoadGrantRelease,
    LoadGrantReply,
    LoadGrantRequest,
    PermitCancel,
    PermitRelease,
    PermitRequest,
    PermitsHeld,
    PermitsQuery,
    RecordsNotice,
    RevisionAnswer,
    RevisionQuery,
    StatusNotice,
)
from bamboovale.views import Views

Reply = Callable[[Any], None]


@dataclass(frozen=True)
class PeerTargets:
    """The receivers of messages of peers."""

    catalogue: pykka.ActorRef
    membership: pykka.ActorRef
    load_grants: pykka.ActorRef
    holders: EngineHolders
    permits: PermitClient
    decisions: DecisionFacade
    answers: AnswerStore
    deliver_load_grant: Callable[[LoadGrantReply], None]


class PeerHandler:
    """Handles each type of message on the links' thread."""

    def __init__(self, views: Views, targets: PeerTargets) -> None:
        self._views = views
        self._targets = targets
        self._request_by_type: dict[type, Callable[[str, Any, Reply], None]] = {
            PermitRequest: self._on_permit_request,
            PermitsQuery: self._on_permits_query,
            CatalogueQuery: self._on_catalogue_query,
            RevisionQuery: self._on_revision_query,
            AnswerQuery: self._on_answer_query,
        }
        self._notice_by_type: dict[type, Callable[[str, Any], None]] = {
            PermitRequest: self._on_holder_notice,
            PermitCancel: self._on_holder_notice,
            PermitRelease: self._on_holder_notice,
            StatusNotice: self._on_status,
            RecordsNotice: self._on_records,
            LoadGrantRequest: self._on_load_request,
            LoadGrantReply: self._on_load_grant,
            LoadGrantRelease: self._on_load_release,
            CrashSeen: self._on_crash,
        }

    def on_request(self, sender: str, message: Any, reply: Reply) -> None:
        """Handle a message that expects a reply; unknown types get none."""
        handler = self._request_by_type.get(type(message))
        if handler is not None:
            handler(sender, message, reply)

    def on_notice(self, sender: str, message: Any) -> None:
        """Handle a message without a reply; unknown types are ignored."""
        handler = self._notice_by_type.get(type(message))
        if handler is not None:
            handler(sender, message)

    def _on_permit_request(
        self, sender: str, request: PermitRequest, reply: Reply
    ) -> None:
        deliver_permit_request(self._targets.holders, sender, request, reply)

    def _on_holder_notice(self, sender: str, message: Any) -> None:
        deliver_notice(self._targets.holders, sender, message)

    def _on_permits_query(self, _: str, query: PermitsQuery, reply: Reply) -> None:
        held = self._targets.permits.permits_on(query.engine_id)
        reply(PermitsHeld(query.engine_id, held))

    def _on_catalogue_query(self, _: str, __: CatalogueQuery, reply: Reply) -> None:
        query = SnapshotRequested(lambda snapshot: reply(CatalogueAnswer(snapshot)))
        tell(self._targets.catalogue, query)

    def _on_revision_query(self, _: str, __: RevisionQuery, reply: Reply) -> None:
        catalogue = self._views.catalogue
        reply(RevisionAnswer(0 if catalogue is None else catalogue.revision))

    def _on_answer_query(self, _: str, query: AnswerQuery, reply: Reply) -> None:
        stored = self._targets.answers.find(query.attempt_id)
        reply(
            AnswerKept(
                attempt_id=query.attempt_id,
                state=stored.state.value,
                status=stored.status,
                headers=stored.headers,
                body=stored.body,
            )
        )

    def _on_status(self, sender: str, notice: StatusNotice) -> None:
        tell(self._targets.membership, StatusReceived(sender, notice))

    def _on_records(self, _: str, notice: RecordsNotice) -> None:
        if notice.stream == CATALOGUE_STREAM:
            passed = CatalogueRecordsForwarded(notice.first_offset, notice.values)
            tell(self._targets.catalogue, passed)

    def _on_load_request(self, sender: str, request: LoadGrantRequest) -> None:
        tell(self._targets.load_grants, LoadRequestReceived(sender, request))

    def _on_load_grant(self, _: str, grant: LoadGrantReply) -> None:
        self._targets.deliver_load_grant(grant)

    def _on_load_release(self, _: str, ended: LoadGrantRelease) -> None:
        tell(self._targets.load_grants, LoadReleaseReceived(ended))

    def _on_crash(self, _: str, seen: CrashSeen) -> None:
        self._targets.decisions.on_crash(
            CrashNotice(seen.fingerprint, seen.endpoint_id, seen.boot_id, seen.alone)
        )
