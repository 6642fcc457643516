"""Requests that crash the endpoints that run them, as seen at this entry VM."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from bamboovale.decisions.crash_counts import CrashCounts
from bamboovale.fleet.messages import SuspectSeen
from bamboovale.gateway.call import Call, CallFailed
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.stream_progress import StreamCut


class CrashGuard:
    """Notes who ran where when an endpoint broke off, and tells the other VMs."""

    def __init__(
        self,
        journal: Journal,
        now: Callable[[], float],
        tell: Callable[[SuspectSeen], None],
    ) -> None:
        self._journal = journal
        self._now = now
        self._tell = tell
        self._counts = CrashCounts()

    def refuses(self, fingerprint: str) -> bool:
        """Tell whether this request has crashed too many endpoints."""
        return self._counts.is_refused(fingerprint, self._now())

    def on_notice(self, notice: SuspectSeen) -> None:
        """Take what another VM has seen."""
        self._counts.on_run_lost(notice.fingerprint, notice.endpoint_id, self._now())

    def on_endpoint_gone(self, endpoint_id: str) -> None:
        """Take the end of an endpoint that did not say that it leaves."""
        self._counts.on_endpoint_gone(endpoint_id, self._now())

    @contextmanager
    def watching(self, fingerprint: str, call: Call) -> Iterator[None]:
        """Note the endpoints at which the run broke off; clear it if it ends well."""
        try:
            yield
        except (CallFailed, StreamCut):
            self._note(fingerprint, call)
            raise
        else:
            self._note(fingerprint, call)
            self._counts.on_answered(fingerprint)

    def _note(self, fingerprint: str, call: Call) -> None:
        for attempt in call.notes.get("attempts", []):
            if "failed" not in attempt or not _broke_off(attempt["failed"]):
                continue
            endpoint_id = attempt["endpoint"]
            self._counts.on_run_lost(fingerprint, endpoint_id, self._now())
            self._tell(SuspectSeen(fingerprint, endpoint_id))
            self._journal.write(
                "run_broke_off",
                id=call.facts.request_id,
                fingerprint=fingerprint,
                endpoint=endpoint_id,
            )


def _broke_off(reason: str) -> bool:
    return reason.startswith(("no answer: ", "stream cut: ", "answer cut: "))
