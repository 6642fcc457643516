"""What an entry VM takes in: limits of the catalogue, fair shares, bounded memory.

Load pattern: one customer sends ten times its usual load, or callers send bodies faster
than engines answer. Without limits the flood holds every thread and all memory of the
entry VM, and the others' requests are turned away with the flood's.

- A catalogue entry's limits are split over the entry VMs that its callers use. Peers
  tell what they see of limited entries; an entry VM that did not hear from all of them
  lately takes an equal part. While callers move, old news may let the parts add up to
  more than the limit, for ``USAGE_VALID_S`` at most and never beyond one limit per VM.
- Once more than half of the places are taken, no customer may hold more than twice an
  equal share of them.
- Places and bytes are bounded; what does not fit is refused at once, not run.
"""

import math
import random
from collections import Counter
from dataclasses import dataclass

from bamboovale.errors import ErrorCode, Refusal

FAIR_FROM_SHARE = 0.5
"""Below half of the places a burst of one customer harms nobody."""
SHARE_FACTOR = 2.0
"""Twice an equal share: demand is uneven, and half of the places stay for others."""
LEAST_SHARE = 4
"""Places any customer may hold, so that a small entry VM serves a few in parallel."""
BURST_S = 2.0
"""A bucket holds two seconds of its rate: callers send in clumps, not evenly."""
USAGE_VALID_S = 10.0
"""Peers tell usage every few seconds; older news no longer shows where callers are."""
USAGE_FADES_S = 5.0
"""A caller that moved to another entry VM takes its part along within seconds."""
USAGE_LEAST = 0.01
"""Requests per second below which an entry is not worth telling about."""
BUCKETS_KEPT = 4096
"""Only entries with limits and recent requests have a bucket."""
RETRY_S = 1.0


@dataclass(frozen=True)
class Limits:
    """Limits of a catalogue entry; None means unlimited."""

    requests_per_s: float | None = None
    concurrency: int | None = None


@dataclass(frozen=True)
class AdmissionConfig:
    """Bounds of one entry VM: open requests and their bytes."""

    places: int = 512
    size_bytes: int = 64 * 1024 * 1024


@dataclass(frozen=True)
class Arrival:
    """A request that asks to be taken in; ``entry`` is its catalogue entry."""

    request_id: str
    customer: str
    entry: str
    limits: Limits
    size_bytes: int


@dataclass
class Bucket:
    """Tokens of one catalogue entry at this entry VM, and its requests per second."""

    tokens: float
    filled_at: float
    rate_seen: float = 0.0
    seen_at: float = 0.0

    def fill(self, rate: float, now: float) -> None:
        """Add what the rate allows since the last time."""
        if rate > 0.0:
            gained = max(0.0, now - self.filled_at) * rate
            self.tokens = min(max(1.0, rate * BURST_S), self.tokens + gained)
        self.filled_at = now

    def see(self, requests: int, now: float) -> float:
        """Count requests and return the recent rate."""
        faded = math.exp(-max(0.0, now - self.seen_at) / USAGE_FADES_S)
        self.rate_seen = self.rate_seen * faded + requests / USAGE_FADES_S
        self.seen_at = now
        return self.rate_seen


class Admission:
    """Takes requests in or refuses them, at one entry VM."""

    @classmethod
    def from_config(cls, config: AdmissionConfig) -> "Admission":
        """Return an empty admission."""
        return cls(config)

    def __init__(self, config: AdmissionConfig) -> None:
        self._config = config
        self._live_vms = 1
        self._open_by_id: dict[str, Arrival] = {}
        self._open_by_customer: Counter[str] = Counter()
        self._open_by_entry: Counter[str] = Counter()
        self._open_bytes = 0
        self._bucket_by_entry: dict[str, Bucket] = {}
        self._usage_by_peer: dict[str, tuple[float, dict[str, float]]] = {}

    def set_live_vms(self, count: int) -> None:
        """Take the number of entry VMs that share the limits."""
        self._live_vms = max(1, count)

    def on_peer_usage(
        self,
        entry_vm: str,
        rate_by_entry: dict[str, float],
        now: float,
    ) -> None:
        """Take what a peer sees of limited entries, in requests per second."""
        self._usage_by_peer[entry_vm] = (now, rate_by_entry)

    def usage(self, now: float) -> dict[str, float]:
        """Return what to tell peers: recent requests per second of limited entries."""
        rate_by_entry: dict[str, float] = {}
        for entry, bucket in list(self._bucket_by_entry.items()):
            rate = bucket.see(0, now)
            if rate >= USAGE_LEAST:
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
        """Take a request in and return None, or return its refusal."""
        refusal = self._bounds_refusal(arrival, rng) or self._limit_refusal(
            arrival,
            now,
            rng,
        )
        if refusal is None:
            self._open(arrival)
        return refusal

    def on_done(self, request_id: str) -> None:
        """Free what a request held."""
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
        """Return the requests taken in and not done."""
        return len(self._open_by_id)

    def _open(self, arrival: Arrival) -> None:
        self._open_by_id[arrival.request_id] = arrival
        self._open_by_customer[arrival.customer] += 1
        self._open_by_entry[arrival.entry] += 1
        self._open_bytes += arrival.size_bytes

    def _bounds_refusal(self, arrival: Arrival, rng: random.Random) -> Refusal | None:
        config = self._config
        if len(self._open_by_id) >= config.places:
            return _overloaded("all places of this entry VM are taken", rng)
        if self._open_bytes + arrival.size_bytes > config.size_bytes:
            return _overloaded("this entry VM holds too many bytes", rng)
        if len(self._open_by_id) < config.places * FAIR_FROM_SHARE:
            return None
        customers = len(self._open_by_customer)
        customers += arrival.customer not in self._open_by_customer
        share = max(LEAST_SHARE, SHARE_FACTOR * config.places / max(2, customers))
        if self._open_by_customer[arrival.customer] >= share:
            return _overloaded("the customer holds its share of places", rng)
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
            most = max(1, round(limits.concurrency * share))
            if self._open_by_entry[arrival.entry] >= most:
                return _limited("concurrency", RETRY_S, rng)
        bucket = self._bucket(arrival.entry, now)
        rate = (limits.requests_per_s or 0.0) * share
        bucket.fill(rate, now)
        if limits.requests_per_s is not None:
            if bucket.tokens < 1.0:
                wait_s = (1.0 - bucket.tokens) / max(rate, 1e-3)
                return _limited("requests_per_s", wait_s, rng)
            bucket.tokens -= 1.0
        bucket.see(1, now)
        return None

    def _share(self, entry: str, now: float) -> float:
        """Return this entry VM's part of a limit, by where its callers are."""
        equal = 1.0 / self._live_vms
        heard = [
            rates
            for at, rates in self._usage_by_peer.values()
            if now - at <= USAGE_VALID_S
        ]
        if len(heard) < self._live_vms - 1:
            return equal
        others = sum(rates.get(entry, 0.0) for rates in heard)
        own = self._bucket(entry, now).see(0, now) + USAGE_LEAST
        return max(equal, own / (own + others))

    def _bucket(self, entry: str, now: float) -> Bucket:
        bucket = self._bucket_by_entry.get(entry)
        if bucket is None:
            if len(self._bucket_by_entry) >= BUCKETS_KEPT:
                self._bucket_by_entry.pop(next(iter(self._bucket_by_entry)))
            bucket = Bucket(tokens=math.inf, filled_at=now)  # full at first
            self._bucket_by_entry[entry] = bucket
        return bucket


def _overloaded(message: str, rng: random.Random) -> Refusal:
    return Refusal(ErrorCode.OVERLOADED, message, True, _jitter(RETRY_S, rng))


def _limited(which: str, wait_s: float, rng: random.Random) -> Refusal:
    message = f"over the catalogue entry's limit {which}"
    return Refusal(
        ErrorCode.RATE_LIMITED,
        message,
        True,
        _jitter(max(RETRY_S, wait_s), rng),
    )


def _jitter(seconds: float, rng: random.Random) -> float:
    return round(seconds * rng.uniform(0.5, 1.5), 2)
