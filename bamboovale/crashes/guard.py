"""Detection of requests that crash the endpoints that run them."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from bamboovale.crashes.counts import CrashCounts
from bamboovale.fleet.messages import SuspectRequest
from bamboovale.gateway.call import Call, CallFailed
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.stream_progress import StreamCut


class CrashGuard:
    """Counts the endpoints at which a request's run was cut; notifies the other VMs."""

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
        """Count a cut run that another VM observed."""
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
    def track(self, fingerprint: str, call: Call) -> Iterator[None]:
        """Record the endpoints at which the run was cut; clear them on an answer."""
        try:
            yield
        except (CallFailed, StreamCut):
            self._record_cuts(fingerprint, call)
            raise
        else:
            self._record_cuts(fingerprint, call)
            if self._counts.on_answered(fingerprint):
                self._journal.write("suspect_cleared", fingerprint=fingerprint)

    def _record_cuts(self, fingerprint: str, call: Call) -> None:
        for attempt in call.notes.get("attempts", []):
            if "failed" not in attempt or not _is_cut(attempt["failed"]):
                continue
            endpoint_id = attempt["endpoint"]
            self._counts.on_run_lost(fingerprint, endpoint_id, self._now())
            self._broadcast(SuspectRequest(fingerprint, endpoint_id))
            self._journal.write(
                "run_broke_off",
                id=call.facts.request_id,
                fingerprint=fingerprint,
                endpoint=endpoint_id,
                reason=attempt["failed"],
                events=call.notes.get("events", 0),
            )


def _is_cut(reason: str) -> bool:
    return reason.startswith(("no answer: ", "stream cut: ", "answer cut: "))
