"""Summarize the records of a run as named figures."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from bamboovale.models import WorkClass


class Outcome(StrEnum):
    """How a request ended for its caller."""

    SERVED = "served"
    REFUSED = "refused"
    GAVE_UP = "gave up"
    BROKEN = "broken"
    OPEN = "open"


@dataclass
class Record:
    """The result of one request; times in seconds from the start of the run."""

    customer: str
    work_class: WorkClass
    arrived_at: float
    max_wait_s: float
    wait_s: float = 0.0
    stall_s: float = 0.0
    outcome: Outcome = Outcome.OPEN
    ended_at: float = 0.0


@dataclass
class Fill:
    """Places used and available while requests waited, in place-seconds."""

    used: float = 0.0
    offered: float = 0.0

    def add(self, used: int, offered: int, seconds: float) -> None:
        """Add a period in which requests waited."""
        self.used += used * seconds
        self.offered += offered * seconds

    @property
    def share(self) -> float:
        """Return the share of available places that was used."""
        return self.used / self.offered if self.offered else 1.0


@dataclass
class Result:
    """The records and totals of a run."""

    records: list[Record] = field(default_factory=list)
    fill: Fill = field(default_factory=Fill)
    loads: int = 0
    seconds: float = 0.0


def percentile(values: Iterable[float], share: float) -> float:
    """Return the quantile ``share`` of the values, or 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarize(result: Result, *, settle_s: float = 0.0) -> dict[str, float]:
    """Return the figures of a run by name, without arrivals before ``settle_s``.

    Requests that were given up count with their stall and wait until then; refused
    ones are left out of the wait percentiles.
    """
    records = [r for r in result.records if r.arrived_at >= settle_s]
    figures: dict[str, float] = {"requests": float(len(records))}
    figures["goodput_per_s"] = sum(_is_good(r) for r in records) / max(
        1e-9,
        result.seconds - settle_s,
    )
    for outcome in (Outcome.REFUSED, Outcome.GAVE_UP, Outcome.BROKEN):
        figures[f"{outcome} share"] = _share(records, outcome)
    for work_class in WorkClass:
        chosen = [r for r in records if r.work_class is work_class]
        figures |= _waits(chosen, work_class.value)
    figures |= _waits(records, "all")
    figures["batch efficiency"] = result.fill.share
    figures["loads"] = float(result.loads)
    figures["worst customer / median"] = _fairness(records)
    return figures


def _is_good(record: Record) -> bool:
    return record.outcome is Outcome.SERVED and record.wait_s <= record.max_wait_s


def _share(records: Sequence[Record], outcome: Outcome) -> float:
    return sum(r.outcome is outcome for r in records) / max(1, len(records))


def _waits(records: Sequence[Record], label: str) -> dict[str, float]:
    stalls = [r.stall_s for r in records]
    waits = [r.wait_s for r in records if r.outcome is not Outcome.REFUSED]
    stalled = sum(stall > 0.0 for stall in stalls) / max(1, len(stalls))
    return {
        f"{label} stalled share": stalled,
        f"{label} stall p50": percentile(stalls, 0.5),
        f"{label} stall p95": percentile(stalls, 0.95),
        f"{label} stall p99": percentile(stalls, 0.99),
        f"{label} wait p50": percentile(waits, 0.5),
        f"{label} wait p95": percentile(waits, 0.95),
        f"{label} wait p99": percentile(waits, 0.99),
    }


def _fairness(records: Sequence[Record]) -> float:
    """Return the worst customer's goodput share relative to the median customer's."""
    requested: dict[str, int] = {}
    good: dict[str, int] = {}
    for record in records:
        requested[record.customer] = requested.get(record.customer, 0) + 1
        good[record.customer] = good.get(record.customer, 0) + _is_good(record)
    shares = [
        good[name] / requested[name] for name in requested if requested[name] >= 10
    ]
    if not shares:
        return 1.0
    return min(shares) / max(1e-9, percentile(shares, 0.5))
