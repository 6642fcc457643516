"""Requests and notices from this entry VM to its peers, except for permits."""

import random
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

import pykka

from bamboovale.actors import tell, tell_result
from bamboovale.catalogue.actor import CATALOGUE_STREAM, PeerSnapshotReceived
from bamboovale.claims.answers import AnswerState, AnswerStore, StoredAnswer
from bamboovale.crashes.suspects import CrashNotice
from bamboovale.decisions.work import Permit
from bamboovale.engines.messages import (
    PermitsReported,
)
from bamboovale.peers.links import PeerLinks
from bamboovale.peers.messages import (
    AnswerKept,
    AnswerQuery,
    CatalogueQuery,
    CrashSeen,
    PermitsHeld,
    PermitsQuery,
    RecordsNotice,
)
from bamboovale.views import Views

REQUEST_TIMEOUT_S = 2.0
RECORD_FANOUT = 3
"""Peers to which each VM forwards new records, whatever the number of VMs."""


class PeerClient:
    """Sends messages over the links; only :meth:`find_answer` blocks."""

    def __init__(
        self,
        own_id: str,
        views: Views,
        links: PeerLinks,
        answers: AnswerStore,
    ) -> None:
        self._own_id = own_id
        self._views = views
        self._links = links
        self._answers = answers

    def forward_records(self, first_offset: int, values: tuple[Any, ...]) -> None:
        """Forward new catalogue records to a few random peers."""
        notice = RecordsNotice(CATALOGUE_STREAM, first_offset, values)
        for vm_id in self._some_peers(RECORD_FANOUT):
            self._links.notify(vm_id, notice)

    def request_catalogue(
        self, vm_id: str | None, catalogue_actor: pykka.ActorRef
    ) -> None:
        """Request a catalogue snapshot from a peer, any if None, for the actor."""
        for peer in self._some_peers(1) if vm_id is None else [vm_id]:
            future: Future[Any] = self._links.request(
                peer,
                CatalogueQuery(),
                REQUEST_TIMEOUT_S,
            )
            tell_result(
                catalogue_actor,
                future,
                lambda answer: PeerSnapshotReceived(getattr(answer, "snapshot", None)),
            )

    def request_permits(
        self,
        engine_id: str,
        own_permits: tuple[Permit, ...],
        holder: pykka.ActorRef,
    ) -> None:
        """Report to a new holder which permits on its engine this VM and peers hold."""
        tell(holder, PermitsReported(own_permits))
        for vm_id in self._all_peers():
            future = self._links.request(
                vm_id, PermitsQuery(engine_id), REQUEST_TIMEOUT_S
            )
            tell_result(holder, future, _permits_reported)

    def publish_crash(
        self,
        notice: CrashNotice,
        append: Callable[[dict[str, Any]], None],
    ) -> None:
        """Notify all peers, and append to the log for VMs that start later."""
        seen = CrashSeen(
            fingerprint=notice.fingerprint,
            endpoint_id=notice.endpoint_id,
            boot_id=notice.boot_id,
            alone=notice.alone,
        )
        for vm_id in self._all_peers():
            self._links.notify(vm_id, seen)
        append(
            {
                "type": "crash",
                "fingerprint": notice.fingerprint,
                "endpoint_id": notice.endpoint_id,
                "boot_id": notice.boot_id,
                "alone": notice.alone,
            }
        )

    def find_answer(self, vm_id: str, attempt_id: str) -> StoredAnswer:
        """Return an attempt's answer from the VM that ran it; may block."""
        if vm_id == self._own_id:
            return self._answers.find(attempt_id)
        future = self._links.request(vm_id, AnswerQuery(attempt_id), REQUEST_TIMEOUT_S)
        try:
            stored = future.result(2 * REQUEST_TIMEOUT_S)
        except Exception:  # any failure of the link: the outcome is unknown
            return StoredAnswer(AnswerState.UNKNOWN)
        if not isinstance(stored, AnswerKept):
            return StoredAnswer(AnswerState.UNKNOWN)
        return StoredAnswer(
            AnswerState(stored.state),
            stored.status,
            stored.headers,
            stored.body,
        )

    def _all_peers(self) -> list[str]:
        listed = self._views.membership.listed_entry_vms()
        return [vm.id for vm in listed if vm.id != self._own_id]

    def _some_peers(self, count: int) -> list[str]:
        usable = self._views.membership.usable_entry_vms()
        peers = [vm.id for vm in usable if vm.id != self._own_id]
        return random.sample(peers, min(count, len(peers)))


def read_crash_notice(value: Any) -> CrashNotice | None:
    """Return the crash notice in a record of the log, None if there is none."""
    if not isinstance(value, dict) or value.get("type") != "crash":
        return None
    fields = ("fingerprint", "endpoint_id", "boot_id")
    if not all(isinstance(value.get(name), str) for name in fields):
        return None
    return CrashNotice(
        fingerprint=value["fingerprint"],
        endpoint_id=value["endpoint_id"],
        boot_id=value["boot_id"],
        alone=value.get("alone") is True,
    )


def _permits_reported(answer: Any) -> PermitsReported:
    held = answer.permits if isinstance(answer, PermitsHeld) else ()
    return PermitsReported(held)
