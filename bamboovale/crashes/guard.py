"""Detection of requests that crash the endpoints that run them."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from bamboovale.crashes.counts import CrashCounts
from bamboovale.fleet.messages import SuspectRequest
from bamboovale.gateway.call import Call
from bamboovale.gateway.endpoint_client import NotRun
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import EndpointRecord


class CrashGuard:
    """Counts the endpoints at which a request's run was lost; tells the other VMs."""

    def __init__(
        self,
        journal: Journal,
        now: Callable[[], float],
        broadcast: Callable[[SuspectRequest], None],
    ) -> None:
        self._journal = journal
        self._now = now
        self._broadcast = broadcast
        self._counts = CrashCounts()

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether this request has crashed too many endpoints."""
        return self._counts.is_refused(fingerprint, self._now())

    def on_notice(self, notice: SuspectRequest) -> None:
        """Count a lost run that another VM observed."""
        self._counts.on_run_lost(notice.fingerprint, notice.endpoint_id, self._now())

    def on_endpoint_gone(self, endpoint_id: str) -> None:
        """Record that an endpoint ended without announcing that it leaves."""
        for counted in self._counts.on_endpoint_gone(endpoint_id, self._now()):
            self._journal.write(
                "crash_counted",
                fingerprint=counted.fingerprint,
                endpoint=endpoint_id,
                crashes=counted.crashes,
                lost_s_ago=round(counted.lost_s_ago, 3),
            )

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
            self._on_lost(call, record.endpoint_id, repr(error))
            raise
        else:
            self._on_answered(call)

    def _on_lost(self, call: Call, endpoint_id: str, reason: str) -> None:
        self._counts.on_run_lost(call.fingerprint, endpoint_id, self._now())
        self._broadcast(SuspectRequest(call.fingerprint, endpoint_id))
        self._journal.write(
            "run_broke_off",
            id=call.facts.request_id,
            fingerprint=call.fingerprint,
            endpoint=endpoint_id,
            reason=reason,
            events=call.notes.get("events", 0),
        )

    def _on_answered(self, call: Call) -> None:
        if self._counts.on_answered(call.fingerprint):
            self._journal.write("suspect_cleared", fingerprint=call.fingerprint)
