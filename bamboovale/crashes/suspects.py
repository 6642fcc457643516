"""Requests suspected of crashing the endpoints that run them.

Guards against a request that crashes each endpoint it runs on and that its caller
retries, with the loss of all requests that run beside it.

All requests that ran at a crash are suspects. A suspect runs alone, on an engine that
it has not crashed: if it completes it is cleared, if the engine crashes its fingerprint
is refused everywhere. One fingerprint therefore costs at most
``ENDPOINTS_PER_FINGERPRINT`` engines, plus those that already run copies of it when the
first crash becomes known.
"""

from dataclasses import dataclass

from bamboovale.crashes.evidence import CrashEvidence
from bamboovale.crashes.subjects import ALONE_RULE
from bamboovale.errors import ErrorCode, Refusal

ENDPOINTS_PER_FINGERPRINT = 2
"""One crash among other requests and one alone."""


@dataclass(frozen=True)
class CrashNotice:
    """A request that ran when its endpoint crashed, as sent to peers.

    ``boot_id`` is the start of the endpoint, ``alone`` whether nothing else ran there.
    """

    fingerprint: str
    endpoint_id: str
    boot_id: str
    alone: bool

    @property
    def start(self) -> str:
        """Return the start of the endpoint, its id included."""
        return f"{self.endpoint_id}{START_MARK}{self.boot_id}"


START_MARK = "@"


class Suspects:
    """Suspected requests as one entry VM knows them."""

    def __init__(self) -> None:
        self._evidence = CrashEvidence(lambda subject: ALONE_RULE)

    def on_notice(self, notice: CrashNotice, now: float) -> bool:
        """Record a crash seen here or by a peer; return False if it was known."""
        subject = notice.fingerprint
        self._evidence.on_crashed(notice.start, now)
        is_new = bool(self._evidence.on_run_lost(subject, notice.start, now))
        if notice.alone:
            is_new = self._evidence.on_lone_crash(subject, now) or is_new
        return is_new

    def on_answered(self, request_fingerprint: str, now: float) -> None:
        """Clear a suspect that completed, unless it has crashed an engine alone."""
        if not self._evidence.is_refused(request_fingerprint, now):
            self._evidence.clear(request_fingerprint)

    def refusal(self, request_fingerprint: str, now: float) -> Refusal | None:
        """Return the refusal of a fingerprint that crashed an endpoint alone."""
        if not self._evidence.is_refused(request_fingerprint, now):
            return None
        crashes = len(self._evidence.crashed_under(request_fingerprint, now))
        return Refusal(
            ErrorCode.REQUEST_CRASHES_ENDPOINTS,
            f"this request crashed {crashes} endpoints and is not run",
            True,
        )

    def crashed_endpoints(self, request_fingerprint: str, now: float) -> frozenset[str]:
        """Return the endpoints to avoid; if not empty, the request must run alone."""
        starts = self._evidence.crashed_under(request_fingerprint, now)
        return frozenset(start.rpartition(START_MARK)[0] for start in starts)

    def __len__(self) -> int:
        return len(self._evidence)
