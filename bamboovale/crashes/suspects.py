"""Requests suspected of crashing the endpoints that run them.

Guards against a request that crashes each endpoint it runs on and that its caller
retries, with the loss of all requests that run beside it.

All requests that ran at a crash are suspects. A suspect runs alone, on an engine that
it has not crashed: if it completes it is cleared, if the engine crashes its fingerprint
is refused everywhere. One fingerprint therefore costs at most
``ENDPOINTS_PER_FINGERPRINT`` engines, plus those that already run copies of it when the
first crash becomes known.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from bamboovale.errors import ErrorCode, Refusal

ENDPOINTS_PER_FINGERPRINT = 2
"""One crash among other requests and one alone."""
SUSPECT_FOR_S = 600.0
"""Callers retry within seconds or minutes."""
REFUSED_FOR_S = 6 * 3600.0
"""After this time the request may run once more, since the engine may be fixed."""
MAX_TRACKED = 10_000
"""Bound on the remembered fingerprints, some 16 running requests for each of hundreds
of crashes."""


@dataclass(frozen=True)
class CrashNotice:
    """A request that ran when its endpoint crashed, as sent to peers."""

    fingerprint: str
    endpoint_id: str
    boot_id: str
    alone: bool


@dataclass
class Suspicion:
    """Crashes of one fingerprint, by endpoint and boot."""

    crashes: set[tuple[str, str]] = field(default_factory=set)
    refused: bool = False
    until: float = 0.0

    @property
    def endpoints(self) -> frozenset[str]:
        """Return the endpoints that it may have crashed."""
        return frozenset(endpoint_id for endpoint_id, _ in self.crashes)


class Suspects:
    """Suspected requests as one entry VM knows them."""

    def __init__(self) -> None:
        self._suspicion_by_fingerprint: OrderedDict[str, Suspicion] = OrderedDict()

    def on_notice(self, notice: CrashNotice, now: float) -> bool:
        """Record a crash seen here or by a peer; return False if it was known."""
        suspicion = self._current(notice.fingerprint, now)
        if suspicion is None:
            suspicion = Suspicion()
            self._suspicion_by_fingerprint[notice.fingerprint] = suspicion
        crash = (notice.endpoint_id, notice.boot_id)
        is_conclusive = notice.alone and not suspicion.refused
        is_new = is_conclusive or crash not in suspicion.crashes
        suspicion.crashes.add(crash)
        suspicion.refused = suspicion.refused or notice.alone
        duration_s = REFUSED_FOR_S if suspicion.refused else SUSPECT_FOR_S
        suspicion.until = max(suspicion.until, now + duration_s)
        self._keep_bounded()
        return is_new

    def on_answered(self, request_fingerprint: str, now: float) -> None:
        """Clear a suspect that completed."""
        suspicion = self._current(request_fingerprint, now)
        if suspicion is not None and not suspicion.refused:
            del self._suspicion_by_fingerprint[request_fingerprint]

    def refusal(self, request_fingerprint: str, now: float) -> Refusal | None:
        """Return the refusal of a fingerprint that crashed an endpoint alone."""
        suspicion = self._current(request_fingerprint, now)
        if suspicion is None or not suspicion.refused:
            return None
        return Refusal(
            ErrorCode.REQUEST_CRASHES_ENDPOINTS,
            f"this request crashed {len(suspicion.crashes)} endpoints and is not run",
            True,
        )

    def crashed_endpoints(self, request_fingerprint: str, now: float) -> frozenset[str]:
        """Return the endpoints to avoid; if not empty, the request must run alone."""
        suspicion = self._current(request_fingerprint, now)
        return suspicion.endpoints if suspicion else frozenset()

    def __len__(self) -> int:
        return len(self._suspicion_by_fingerprint)

    def _current(self, request_fingerprint: str, now: float) -> Suspicion | None:
        suspicion = self._suspicion_by_fingerprint.get(request_fingerprint)
        if suspicion is not None and now >= suspicion.until:
            del self._suspicion_by_fingerprint[request_fingerprint]
            return None
        return suspicion

    def _keep_bounded(self) -> None:
        while len(self._suspicion_by_fingerprint) > MAX_TRACKED:
            self._suspicion_by_fingerprint.popitem(last=False)
