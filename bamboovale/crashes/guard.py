"""Detection of requests that crash endpoints, on the routed interface."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum

from bamboovale.crashes.evidence import Counted, CrashEvidence
from bamboovale.crashes.records import Refused
from bamboovale.fleet.messages import CrashedEndpoint, CrashNews, SuspectRequest
from bamboovale.gateway.call import Call
from bamboovale.gateway.endpoint_client import NotRun
from bamboovale.gateway.endpoints import EndpointChange, EndpointView
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import EndpointRecord

CRASHES_ENDPOINTS = "the request crashed endpoints before"
REFUSED_RETRY_S = 30.0
"""Retry delay for a request that crashes endpoints, as it will do so again."""
LOOK_DELAYS_S = (0.05, 0.45)
"""From a lost run to looks whether its endpoint's port is closed: a process that
crashes closes all its connections first, and a connection may hang."""


class CrashSign(StrEnum):
    """What showed that an endpoint crashed; a field of log lines."""

    PORT_CLOSED = "port_closed"
    RECORD_GONE = "record_gone"
    ADDRESS_TAKEN = "address_taken"
    """Another start, or another endpoint, registered its address."""
    PEER = "peer"


class CrashGuard:
    """Counts the endpoints at which a request's run was lost; tells the other VMs.

    ``is_port_closed`` looks whether an endpoint still listens; ``broadcast`` tells the
    other VMs; ``is_designated`` returns whether this VM is the one that decides on a
    subject for all, ``record`` writes that it is refused to the store.
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
    ) -> None:
        self._journal = journal
        self._endpoints = endpoints
        self._now = now
        self._is_port_closed = is_port_closed
        self._broadcast = broadcast
        self._is_designated = is_designated
        self._record = record
        self._evidence = CrashEvidence()
        self._look_by_endpoint: dict[str, asyncio.Task[None]] = {}

    def is_refused(self, call: Call) -> bool:
        """Return whether a call has crashed too many endpoints, and is no trial."""
        subject, now = call.fingerprint, self._now()
        if self._evidence.is_refused(subject, now):
            return True
        if not self._evidence.needs_trial(subject, now):
            return False
        if not self._is_designated(subject):
            return True
        return not self._evidence.take_trial(subject, call.facts.request_id, now)

    def on_record(self, refused: Refused) -> None:
        """Apply what the store tells of a request that is refused."""
        if self._evidence.on_record(refused.subject, refused.crashes, self._now()):
            self._journal.write(
                "request_refused_by_record",
                fingerprint=refused.subject,
                crashes=refused.crashes,
            )

    # Signs of crashes.

    def on_news(self, news: CrashNews) -> None:
        """Apply what another VM has seen."""
        if isinstance(news, CrashedEndpoint):
            self._on_crashed(news.endpoint_id, CrashSign.PEER)
            return
        now = self._now()
        self._note(
            self._evidence.on_run_lost(news.fingerprint, news.endpoint_id, now),
            CrashSign.PEER,
        )

    def on_endpoint(self, change: EndpointChange) -> None:
        """Apply a change of an endpoint's record.

        One that was ready has crashed if it is gone, or if its address is another's.
        """
        if change.record is None:
            if change.was_ready:
                self._on_crashed(change.endpoint_id, CrashSign.RECORD_GONE)
        elif change.record.ready and not change.was_ready:
            for other in self._endpoints.ready_at(change.record.address):
                if other.endpoint_id != change.endpoint_id:
                    self._on_crashed(other.endpoint_id, CrashSign.ADDRESS_TAKEN)

    def look(self, endpoint_id: str) -> None:
        """Look whether an endpoint at which a run was lost has crashed."""
        if endpoint_id in self._look_by_endpoint:
            return
        task = asyncio.get_running_loop().create_task(self._look(endpoint_id))
        self._look_by_endpoint[endpoint_id] = task
        task.add_done_callback(lambda _: self._look_by_endpoint.pop(endpoint_id))

    async def _look(self, endpoint_id: str) -> None:
        for delay_s in LOOK_DELAYS_S:
            await asyncio.sleep(delay_s)
            record = self._endpoints.record_by_id.get(endpoint_id)
            if record is None or not record.ready:
                # One that leaves closes its port as planned.
                return
            if await self._is_port_closed(record):
                self._on_crashed(endpoint_id, CrashSign.PORT_CLOSED)
                return

    def _on_crashed(self, endpoint_id: str, sign: CrashSign) -> None:
        is_new = not self._evidence.knows_crash(endpoint_id)
        counted = self._evidence.on_crashed(endpoint_id, self._now())
        if is_new:
            self._journal.write(
                "endpoint_crashed",
                endpoint=endpoint_id,
                sign=sign,
                lost_runs=len(counted),
            )
            self._broadcast(CrashedEndpoint(endpoint_id))
        self._note(counted, sign)

    def _note(self, counted: list[Counted], sign: CrashSign) -> None:
        for item in counted:
            self._broadcast(SuspectRequest(item.subject, item.endpoint_id))
            self._journal.write(
                "crash_counted",
                fingerprint=item.subject,
                endpoint=item.endpoint_id,
                crashes=item.crashes,
                lost_s_ago=round(item.lost_s_ago, 3),
                sign=sign,
                refused=item.is_refused,
            )
            if item.is_refused and self._is_designated(item.subject):
                self._record(Refused(item.subject, item.crashes))

    # Runs.

    @contextmanager
    def watch(self, call: Call, record: EndpointRecord) -> Iterator[None]:
        """Watch one attempt at an endpoint: its run is lost unless it is answered.

        Also where the caller leaves or the deadline passes meanwhile: an endpoint may
        crash without closing its connections.
        """
        try:
            yield
        except NotRun:
            raise
        except BaseException as error:
            self._on_lost(call, record.endpoint_id, error)
            raise
        else:
            self._on_answered(call)

    def _on_lost(self, call: Call, endpoint_id: str, error: BaseException) -> None:
        is_cut = not isinstance(error, asyncio.CancelledError)
        now = self._now()
        counted = self._evidence.on_run_lost(call.fingerprint, endpoint_id, now)
        if is_cut:
            self._journal.write(
                "run_broke_off",
                id=call.facts.request_id,
                fingerprint=call.fingerprint,
                endpoint=endpoint_id,
                reason=str(error),
                began="first_s" in call.notes,
                parts=[part_id for part_id, _ in call.shared_parts],
            )
            self.look(endpoint_id)
        self._note(counted, CrashSign.PORT_CLOSED)

    def _on_answered(self, call: Call) -> None:
        if self._evidence.on_answered(call.fingerprint):
            self._journal.write("suspect_cleared", fingerprint=call.fingerprint)
