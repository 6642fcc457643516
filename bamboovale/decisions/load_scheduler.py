"""Grants loads at the weight store, which is rate-limited and shared by all engines.

After a shift in popularity or cold restarts all holders want to load at once. More
concurrent loads only share the bandwidth of the store, and those over its rate fail.

One scheduler grants loads, the highest weight first; a grant whose holder does not
respond expires. While the store fails, one load at a time probes it. If no scheduler is
reachable, each entry VM runs its own with a static share of the rate.
"""

from dataclasses import dataclass, replace

AGE_WEIGHT_PER_S = 0.5
"""Guards against starvation of requests with a low weight."""
REQUEST_EXPIRY_S = 6.0
"""Holders renew their requests more often than this."""
GRANT_EXPIRY_S = 10.0
"""Many times a load at full speed; a lost answer blocks one grant that long."""
FIRST_PROBE_S = 0.5
MAX_PROBE_S = 4.0
"""Bound of the doubling pause between probes of a failing store."""


@dataclass(frozen=True)
class LoadConfig:
    """Limits of the weight store."""

    rate_per_s: float = 5.0
    at_once: int = 2
    by_weight: bool = True


@dataclass(frozen=True)
class LoadRequest:
    """A request of a holder for a load grant."""

    engine_id: str
    lora_name: str
    weight: float
    requested_at: float
    renewed_at: float


@dataclass(frozen=True)
class LoadGrant:
    """A granted load; ``number`` identifies it when it ends."""

    number: int
    engine_id: str
    lora_name: str
    ends_at: float


class LoadScheduler:
    """Grants loads within the store's limits; each event returns the new grants."""

    @classmethod
    def from_config(cls, config: LoadConfig) -> "LoadScheduler":
        """Return a scheduler for the whole store."""
        return cls(config)

    @classmethod
    def static_share(cls, config: LoadConfig, live_vms: int) -> "LoadScheduler":
        """Return a scheduler for one entry VM's share while none is reachable."""
        share = config.rate_per_s / max(1, live_vms)
        return cls(replace(config, rate_per_s=share, at_once=1))

    def __init__(self, config: LoadConfig) -> None:
        self._config = config
        self._request_by_key: dict[tuple[str, str], LoadRequest] = {}
        self.grant_by_number: dict[int, LoadGrant] = {}
        self._tokens = float(config.at_once)
        self._filled_at: float | None = None
        self._last_number = 0
        self._failures = 0
        self._probe_from = 0.0

    def on_request(
        self,
        engine_id: str,
        lora_name: str,
        weight: float,
        now: float,
    ) -> list[LoadGrant]:
        """Add a load request, or renew its weight."""
        key = (engine_id, lora_name)
        known = self._request_by_key.get(key)
        requested_at = known.requested_at if known else now
        self._request_by_key[key] = LoadRequest(
            engine_id, lora_name, weight, requested_at, now
        )
        return self._grant(now)

    def on_done(self, number: int, now: float, *, loaded: bool) -> list[LoadGrant]:
        """End a grant after its load succeeded or failed."""
        if self.grant_by_number.pop(number, None) is None:
            return self._grant(now)
        if loaded:
            self._failures = 0
        else:
            pause = min(FIRST_PROBE_S * 2.0**self._failures, MAX_PROBE_S)
            self._failures = min(self._failures + 1, 10)
            self._probe_from = now + pause
        return self._grant(now)

    def on_returned(self, number: int, now: float) -> list[LoadGrant]:
        """Take back an unused grant and its token."""
        if self.grant_by_number.pop(number, None) is not None:
            self._tokens += 1.0
        return self._grant(now)

    def on_lost(self, number: int, now: float) -> list[LoadGrant]:
        """End a grant whose load nobody will report; its token counts as used."""
        self.grant_by_number.pop(number, None)
        return self._grant(now)

    def on_tick(self, now: float) -> list[LoadGrant]:
        """Remove expired grants and requests, and grant what the rate allows."""
        for number, grant in list(self.grant_by_number.items()):
            if now >= grant.ends_at:
                del self.grant_by_number[number]
        for key, request in list(self._request_by_key.items()):
            if now - request.renewed_at > REQUEST_EXPIRY_S:
                del self._request_by_key[key]
        return self._grant(now)

    @property
    def pending(self) -> int:
        """Return the number of pending load requests."""
        return len(self._request_by_key)

    def _grant(self, now: float) -> list[LoadGrant]:
        self._fill(now)
        grants: list[LoadGrant] = []
        while self._request_by_key and self._may_grant(now):
            request = min(
                self._request_by_key.values(),
                key=lambda request: self._rank(request, now),
            )
            del self._request_by_key[request.engine_id, request.lora_name]
            self._tokens -= 1.0
            self._last_number += 1
            grant = LoadGrant(
                self._last_number,
                request.engine_id,
                request.lora_name,
                now + GRANT_EXPIRY_S,
            )
            self.grant_by_number[grant.number] = grant
            grants.append(grant)
        return grants

    def _may_grant(self, now: float) -> bool:
        at_once = 1 if self._failures else self._config.at_once
        if self._failures and now < self._probe_from:
            return False
        return self._tokens >= 1.0 and len(self.grant_by_number) < at_once

    def _rank(self, request: LoadRequest, now: float) -> tuple[float, str, str]:
        if not self._config.by_weight:
            return (request.requested_at, request.engine_id, request.lora_name)
        weight = request.weight + AGE_WEIGHT_PER_S * (now - request.renewed_at)
        return (-weight, request.engine_id, request.lora_name)

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self._config.rate_per_s
            self._tokens = min(self._tokens + gained, float(self._config.at_once))
        self._filled_at = now
