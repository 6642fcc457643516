"""One adapter load in progress: when to read reports, and what is learned from it.

Load: every load is waited for by requests, and each report that is read to see its end
costs a call. Reports are read at about half of the expected time, shortly before and
shortly after the end is expected to show in them, and then at growing intervals. The
first shows loads that became shorter; the next two give narrow bounds on the time.
"""

from dataclasses import dataclass, field

from bamboovale.decisions.engine_cache import EngineCache
from bamboovale.decisions.load_times import LoadTimes, margin_s

MIN_REPORT_INTERVAL_S = 0.06
"""Least time between two reports while a load is expected to end."""
REPORT_INTERVAL_PART = 0.1
"""Interval of reports after the expected end, as a part of the time since the order."""


@dataclass
class LoadMeasurement:
    """A load that the engine accepted at ``accepted_at``.

    ``loads_since`` is how many other adapters were loaded since the previous load of
    this one, None if it was never loaded. ``cached`` is whether the load should come
    from the engine's own cache, None if that is unknown. ``absent_at`` is when the last
    report without the adapter was received, ``early_s`` after what time the engine
    still rejected a request for it. ``is_listed`` is whether a report has listed the
    load.
    """

    accepted_at: float
    loads_since: int | None
    cached: bool | None
    early_s: float = 0.0
    is_listed: bool = False
    absent_at: float = field(init=False)

    def __post_init__(self) -> None:
        self.absent_at = self.accepted_at

    def on_absent(self, now: float, times: LoadTimes, *, is_listed: bool) -> None:
        """Apply a report without the adapter; ``is_listed``: it lists the load."""
        if is_listed and not self.is_listed:
            self.is_listed = True
            lacked_s = self.absent_at - self.accepted_at
            times.lag.add(lacked_s, now - self.accepted_at)
        self.absent_at = now

    def on_early(self, sent_at: float, times: LoadTimes) -> None:
        """Apply that a request sent at a time came before the end of the load."""
        self.early_s = max(self.early_s, sent_at - self.accepted_at)
        times.on_early(self.early_s, self.cached)

    def on_complete(self, now: float, times: LoadTimes, cache: EngineCache) -> None:
        """Learn from the first report with the adapter."""
        was_cached = times.on_complete(
            now - self.accepted_at, now - self.absent_at, self.cached, self.early_s
        )
        if was_cached is not None:
            cache.on_source(self.loads_since, was_cached=was_cached)

    def next_report_at(self, now: float, times: LoadTimes) -> float:
        """Return when to read the next report."""
        age_s = now - self.accepted_at
        later = (s for s in self._report_ages_s(times) if s > age_s)
        next_s = age_s + max(MIN_REPORT_INTERVAL_S, REPORT_INTERVAL_PART * age_s)
        return self.accepted_at + min(later, default=next_s)

    def _report_ages_s(self, times: LoadTimes) -> list[float]:
        """Return the ages of the load at which its end may show."""
        if not times.is_known:
            return []
        stored_s = times.mean_s(cached=False)
        cached_s = times.mean_s(cached=True)
        ages_s = [self._age_before_end_s(cached_s, times)] if self.cached else []
        if not self.cached:
            ages_s += [
                (cached_s if self.cached is None else stored_s / 2) + times.lag.min_s,
                self._age_before_end_s(stored_s, times),
            ]
        return ages_s

    def _age_before_end_s(self, mean_s: float, times: LoadTimes) -> float:
        return mean_s + times.lag.min_s - margin_s(mean_s)
