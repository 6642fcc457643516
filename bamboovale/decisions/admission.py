"""Admission control of one entry VM: limits, fair shares and bounded memory.

Guards against one customer that takes all threads and memory of an entry VM, so that
the requests of other customers are refused as well.

- A limit of a catalogue entry is split over the entry VMs that receive its requests.
  Peers publish their rates of limited entries; an entry VM without recent rates from
  all peers takes an equal share. While callers move, the shares may add up to more than
  the limit, for at most ``USAGE_VALID_S`` and never to more than one limit per VM.

- While more than half of the places are taken, no customer may hold more than twice an
  equal share of them.

- Places and bytes are bounded; a request that exceeds them is refused at once.
"""

import math
import random
from collections import Counter
from dataclasses import dataclass

from bamboovale.errors import ErrorCode, Refusal

FAIR_FROM_SHARE = 0.5
"""Share of taken places from which customers are limited to fair shares; below it a
burst of one customer harms nobody."""
SHARE_FACTOR = 2.0
"""Multiple of an equal share that one customer may hold: demand is uneven, and half of
the places stay for others."""
MIN_SHARE = 4
"""Places that any customer may hold at a small entry VM."""
BURST_S = 2.0
"""Capacity of a token bucket, in seconds of its rate: callers send in clumps."""
USAGE_VALID_S = 10.0
"""Age at which a peer's published usage is ignored: it no longer shows where callers
are."""
USAGE_FADES_S = 5.0
"""Time constant of the moving rate of requests: the share of a caller that moves to
another entry VM follows it within seconds."""
MIN_PUBLISHED_RATE = 0.01
"""Requests per second below which the rate of an entry is not published."""
MAX_BUCKETS = 4096
"""Only entries with limits and recent requests have a bucket."""
RETRY_S = 1.0


@dataclass(frozen=True)
class Limits:
    """Limits of a catalogue entry; None means unlimited."""

    requests_per_s: float | None = None
    concurrency: int | None = None


@dataclass(frozen=True)
class AdmissionConfig:
    """Bounds of one entry VM on open requests and their bytes."""

    places: int = 512
    size_bytes: int = 64 * 1024 * 1024


@dataclass(frozen=True)
class Arrival:
    """A request to be admitted; ``entry`` is its catalogue entry."""

    request_id: str
    customer: str
    entry: str
    limits: Limits
    size_bytes: int


@dataclass
class TokenBucket:
    """Tokens and recent request rate of one catalogue entry at this entry VM."""

    tokens: float
    filled_at: float
    recent_rate: float = 0.0
    counted_at: float = 0.0

    def fill(self, rate: float, now: float) -> None:
        """Add the tokens that ``rate`` allows since the last call."""
        if rate > 0.0:
            gained = max(0.0, now - self.filled_at) * rate
            self.tokens = min(max(1.0, rate * BURST_S), self.tokens + gained)
        self.filled_at = now

    def count_requests(self, requests: int, now: float) -> float:
        """Count requests and return the recent rate per second."""
        faded = math.exp(-max(0.0, now - self.counted_at) / USAGE_FADES_S)
        self.recent_rate = self.recent_rate * faded + requests / USAGE_FADES_S
        self.counted_at = now
        return self.recent_rate


class Admission:
    """Admits or refuses requests at one entry VM."""

    @classmethod
    def from_config(cls, config: AdmissionConfig) -> "Admission":
        """Return an admission control without open requests."""
        return cls(config)

    def __init__(self, config: AdmissionConfig) -> None:
        self._config = config
        self._live_vms = 1
        self._open_by_id: dict[str, Arrival] = {}
        self._open_by_customer: Counter[str] = Counter()
        self._open_by_entry: Counter[str] = Counter()
        self._open_bytes = 0
        self._bucket_by_entry: dict[str, TokenBucket] = {}
        self._usage_by_peer: dict[str, tuple[float, dict[str, float]]] = {}

    def set_live_vms(self, count: int) -> None:
        """Set the number of entry VMs that share the limits."""
        self._live_vms = max(1, count)

    def on_peer_usage(
        self,
        entry_vm: str,
        rate_by_entry: dict[str, float],
        now: float,
    ) -> None:
        """Store the rates of limited entries at a peer, in requests per second."""
        self._usage_by_peer[entry_vm] = (now, rate_by_entry)

    def usage(self, now: float) -> dict[str, float]:
        """Return the rates to publish: requests per second of limited entries."""
        rate_by_entry: dict[str, float] = {}
        for entry, bucket in list(self._bucket_by_entry.items()):
            rate = bucket.count_requests(0, now)
            if rate >= MIN_PUBLISHED_RATE:
                rate_by_entry[entry] = round(rate, 2)
            elif now - bucket.filled_at > USAGE_VALID_S:
                del self._bucket_by_entry[entry]
        return rate_by_entry

    def on_request(
        self,
        arrival: Arrival,
        now: float,
        rng: random.Random,
    ) -> Refusal | None:
        """Admit a request and return None, or return its refusal."""
        refusal = self._bounds_refusal(arrival, rng) or self._limit_refusal(
            arrival,
            now,
            rng,
        )
        if refusal is None:
            self._open(arrival)
        return refusal

    def on_done(self, request_id: str) -> None:
        """Free the place and bytes of a request."""
        arrival = self._open_by_id.pop(request_id, None)
        if arrival is None:
            return
        self._open_bytes -= arrival.size_bytes
        for counter, key in (
            (self._open_by_customer, arrival.customer),
            (self._open_by_entry, arrival.entry),
        ):
            counter[key] -= 1
            if not counter[key]:
                del counter[key]

    @property
    def open(self) -> int:
        """Return the number of admitted requests that are not done."""
        return len(self._open_by_id)

    def _open(self, arrival: Arrival) -> None:
        self._open_by_id[arrival.request_id] = arrival
        self._open_by_customer[arrival.customer] += 1
        self._open_by_entry[arrival.entry] += 1
        self._open_bytes += arrival.size_bytes

    def _bounds_refusal(self, arrival: Arrival, rng: random.Random) -> Refusal | None:
        config = self._config
        if len(self._open_by_id) >= config.places:
            return _refuse_overloaded("all places of this entry VM are taken", rng)
        if self._open_bytes + arrival.size_bytes > config.size_bytes:
            return _refuse_overloaded("this entry VM holds too many bytes", rng)
        if len(self._open_by_id) < config.places * FAIR_FROM_SHARE:
            return None
        customers = len(self._open_by_customer)
        customers += arrival.customer not in self._open_by_customer
        share = max(MIN_SHARE, SHARE_FACTOR * config.places / max(2, customers))
        if self._open_by_customer[arrival.customer] >= share:
            return _refuse_overloaded("the customer holds its share of places", rng)
        return None

    def _limit_refusal(
        self,
        arrival: Arrival,
        now: float,
        rng: random.Random,
    ) -> Refusal | None:
        limits = arrival.limits
        if limits.requests_per_s is None and limits.concurrency is None:
            return None
        share = self._share(arrival.entry, now)
        if limits.concurrency is not None:
            max_open = max(1, round(limits.concurrency * share))
            if self._open_by_entry[arrival.entry] >= max_open:
                return _refuse_limited("concurrency", RETRY_S, rng)
        bucket = self._bucket(arrival.entry, now)
        rate = (limits.requests_per_s or 0.0) * share
        bucket.fill(rate, now)
        if limits.requests_per_s is not None:
            if bucket.tokens < 1.0:
                wait_s = (1.0 - bucket.tokens) / max(rate, 1e-3)
                return _refuse_limited("requests_per_s", wait_s, rng)
            bucket.tokens -= 1.0
        bucket.count_requests(1, now)
        return None

    def _share(self, entry: str, now: float) -> float:
        """Return this entry VM's share of a limit, by the rates at its peers."""
        equal_share = 1.0 / self._live_vms
        peer_rates = [
            rates
            for at, rates in self._usage_by_peer.values()
            if now - at <= USAGE_VALID_S
        ]
        if len(peer_rates) < self._live_vms - 1:
            return equal_share
        others = sum(rates.get(entry, 0.0) for rates in peer_rates)
        own = self._bucket(entry, now).count_requests(0, now) + MIN_PUBLISHED_RATE
        return max(equal_share, own / (own + others))

    def _bucket(self, entry: str, now: float) -> TokenBucket:
        bucket = self._bucket_by_entry.get(entry)
        if bucket is None:
            if len(self._bucket_by_entry) >= MAX_BUCKETS:
                self._bucket_by_entry.pop(next(iter(self._bucket_by_entry)))
            bucket = TokenBucket(tokens=math.inf, filled_at=now)  # starts full
            self._bucket_by_entry[entry] = bucket
        return bucket


def _refuse_overloaded(message: str, rng: random.Random) -> Refusal:
    return Refusal(ErrorCode.OVERLOADED, message, True, _jitter(RETRY_S, rng))


def _refuse_limited(limit: str, wait_s: float, rng: random.Random) -> Refusal:
    message = f"over the catalogue entry's limit {limit}"
    return Refusal(
        ErrorCode.RATE_LIMITED,
        message,
        True,
        _jitter(max(RETRY_S, wait_s), rng),
    )


def _jitter(seconds: float, rng: random.Random) -> float:
    return round(seconds * rng.uniform(0.5, 1.5), 2)
