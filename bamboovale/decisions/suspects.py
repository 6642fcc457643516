"""Requests that crash the endpoints that run them.

Load pattern: now and then one request crashes each endpoint it runs on, and its caller
sends it again. Repeated like any failed request it takes down one engine after the
other, and with each the innocent requests that ran beside it.

All requests that ran at a crash are suspects. A suspect runs alone, on an engine that
it has not crashed: an innocent one ends and is cleared, a guilty one takes nobody along
and its fingerprint is refused everywhere from then on. So one fingerprint costs at most
``ENDPOINTS_PER_FINGERPRINT`` engines, plus those on which copies of it already ran when
the first crash became known.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

from bamboovale.errors import ErrorCode, Refusal

ENDPOINTS_PER_FINGERPRINT = 2
"""One crash in company and one alone."""
SUSPECT_FOR_S = 600.0
"""Callers send again within seconds or minutes; later it is a new story."""
REFUSED_FOR_S = 6 * 3600.0
"""A fixed engine gets another chance the same day; one crash alone renews it."""
MOST_KEPT = 10_000
"""About 2 MB, and 16 running requests times hundreds of crashes."""


def fingerprint(customer: str, lora_name: str, body: bytes) -> str:
    """Return what stays the same when a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (customer.encode(), lora_name.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@dataclass(frozen=True)
class CrashNotice:
    """A request that was running when its endpoint crashed, as told to peers."""

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
    """What one entry VM knows of requests that crash endpoints."""

    def __init__(self) -> None:
        self._suspicion_by_fingerprint: OrderedDict[str, Suspicion] = OrderedDict()

    def on_notice(self, notice: CrashNotice, now: float) -> bool:
        """Note a crash, own or told by a peer; False if it was known."""
        suspicion = self._current(notice.fingerprint, now)
        if suspicion is None:
            suspicion = Suspicion()
            self._suspicion_by_fingerprint[notice.fingerprint] = suspicion
        crash = (notice.endpoint_id, notice.boot_id)
        convicts = notice.alone and not suspicion.refused
        news = convicts or crash not in suspicion.crashes
        suspicion.crashes.add(crash)
        suspicion.refused = suspicion.refused or notice.alone
        lasts = REFUSED_FOR_S if suspicion.refused else SUSPECT_FOR_S
        suspicion.until = max(suspicion.until, now + lasts)
        self._keep_bounded()
        return news

    def on_answered(self, request_fingerprint: str, now: float) -> None:
        """Clear a suspect whose run ended."""
        suspicion = self._current(request_fingerprint, now)
        if suspicion is not None and not suspicion.refused:
            del self._suspicion_by_fingerprint[request_fingerprint]

    def refusal(self, request_fingerprint: str, now: float) -> Refusal | None:
        """Return the final answer for a fingerprint that crashed an endpoint alone."""
        suspicion = self._current(request_fingerprint, now)
        if suspicion is None or not suspicion.refused:
            return None
        return Refusal(
            ErrorCode.REQUEST_CRASHES_ENDPOINTS,
            f"this request crashed {len(suspicion.crashes)} endpoints and is not run",
            True,
        )

    def crashed_endpoints(self, request_fingerprint: str, now: float) -> frozenset[str]:
        """Return where it must not run; not empty means that it must run alone."""
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
        while len(self._suspicion_by_fingerprint) > MOST_KEPT:
            self._suspicion_by_fingerprint.popitem(last=False)
