"""Time per output token of one engine, learned from its runs.

Engines of one pool differ in speed for good, and some become slow for tenths of a
second. A fixed time per run sends a slow engine as many requests as a fast one, whose
callers then wait for places there while others are free.

A linear regression gives the lasting time of a token by the number of concurrent runs.
A factor on it follows the last runs within a few samples and returns to 1 without new
ones, so that an engine that was slow is used again. Each run moves both by a bounded
step: a run that met a fault takes many times longer than others.
"""

import math

LASTING_S = 20.0
"""Time constant of the lasting speed, well above the length of a short slowdown."""
MAX_INTERVAL_S = 1.0
"""Longest interval that one run counts for, after a time without runs."""
FIRST_RUNS = 8
"""Runs over which the lasting speed is their mean, as nothing else is known."""
SEEDED_RUNS = 4
"""Runs that a seed counts for: it may be of a moment when the engine was slow."""
FACTOR_WEIGHT = 0.35
"""Weight of a run in the factor: a change shows after about four runs."""
MAX_STEP = 0.5
"""Largest difference between a run and the factor that counts, as a logarithm."""
MAX_FACTOR = 8.0
FACTOR_HALF_LIFE_S = 1.0
"""The factor returns to 1 without runs, so that a slow engine is tried again."""
MAX_LENGTH_RATIO = 4.0
"""Runs longer than this multiple of the mean count as that long."""
MIN_VARIANCE = 0.25
"""Variance of the number of runs below which it explains no difference in speed."""
S_PER_TOKEN_BOUNDS = (1e-6, 10.0)
MAX_RUN_S = 600.0


class RunSpeed:
    """Speed of one engine's runs; times are seconds on its owner's clock."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._mean_active = 1.0
        self._variance = 0.0
        self._covariance_s = 0.0
        self._mean_run_s = 0.0
        self._log_factor = 0.0
        self._runs = 0
        self._last_at: float | None = None

    def seed(self, s_per_token: float, run_s: float) -> None:
        """Start from the speed that a previous owner published; 0 is unknown."""
        if self._runs or s_per_token <= 0.0 or run_s <= 0.0:
            return
        self._mean_s = _bounded(s_per_token)
        self._mean_run_s = min(MAX_RUN_S, run_s)
        self._runs = SEEDED_RUNS

    def on_run(
        self,
        tokens: int,
        seconds: float,
        active: float,
        now: float,
        *,
        first_s: float = 0.0,
    ) -> None:
        """Learn from a run that ended now.

        ``seconds`` is the time of its ``tokens`` after the first event, ``active`` the
        mean number of concurrent runs in that time, ``first_s`` the time before.
        """
        if tokens <= 0 or seconds <= 0.0:
            return
        active = max(1.0, active)
        sample = _bounded(seconds / tokens)
        self._runs += 1
        if self._runs == 1:
            self._mean_s = sample
            self._mean_active = active
        self._learn_factor(sample, active, now)
        weight = self._lasting_weight(now)
        self._learn_lasting(sample, active, weight)
        self._learn_length(seconds + first_s, weight, now)
        self._last_at = now

    def s_per_token(self, active: float, now: float) -> float:
        """Return the current time per token beside ``active`` runs, 0 if unknown."""
        if not self._runs:
            return 0.0
        return _bounded(self._lasting_s(active) * self._factor(now))

    def mean_s_per_token(self, now: float) -> float:
        """Return the current time per token in a batch of mean size, 0 if unknown."""
        return self.s_per_token(self._mean_active, now)

    def run_s(self, now: float) -> float:
        """Return the mean time of a run at the current speed, 0 if unknown."""
        return min(MAX_RUN_S, self._mean_run_s * self._factor(now))

    def _lasting_s(self, active: float) -> float:
        slope_s = self._covariance_s / max(MIN_VARIANCE, self._variance)
        slope_s = max(0.0, min(self._mean_s / self._mean_active, slope_s))
        return _bounded(self._mean_s + slope_s * (active - self._mean_active))

    def _factor(self, now: float) -> float:
        if self._last_at is None:
            return 1.0
        unmeasured_s = max(0.0, now - self._last_at - FACTOR_HALF_LIFE_S)
        return math.exp(self._log_factor * 0.5 ** (unmeasured_s / FACTOR_HALF_LIFE_S))

    def _learn_factor(self, sample: float, active: float, now: float) -> None:
        before = math.log(self._factor(now))
        difference = math.log(sample / self._lasting_s(active)) - before
        step = FACTOR_WEIGHT * max(-MAX_STEP, min(MAX_STEP, difference))
        bound = math.log(MAX_FACTOR)
        self._log_factor = max(-bound, min(bound, before + step))

    def _lasting_weight(self, now: float) -> float:
        last_at = now if self._last_at is None else self._last_at
        interval_s = min(MAX_INTERVAL_S, max(0.0, now - last_at))
        weight = 1.0 - math.exp(-interval_s / LASTING_S)
        return max(weight, 1.0 / self._runs) if self._runs <= FIRST_RUNS else weight

    def _learn_lasting(self, sample: float, active: float, weight: float) -> None:
        """Update the weighted linear regression of the lasting time per token."""
        lasting_s = self._lasting_s(active)
        bound_s = MAX_STEP * lasting_s
        error_s = max(-bound_s, min(bound_s, sample - lasting_s))
        off_mean = active - self._mean_active
        off_mean_s = lasting_s + error_s - self._mean_s
        self._variance += weight * (off_mean**2 - self._variance)
        self._covariance_s += weight * (off_mean * off_mean_s - self._covariance_s)
        self._mean_s = _bounded(self._mean_s + weight * error_s)
        self._mean_active += weight * off_mean

    def _learn_length(self, run_s: float, weight: float, now: float) -> None:
        sample = min(MAX_RUN_S, run_s / self._factor(now))
        if not self._mean_run_s:
            self._mean_run_s = sample
        sample = min(sample, MAX_LENGTH_RATIO * self._mean_run_s)
        self._mean_run_s += weight * (sample - self._mean_run_s)


def _bounded(s_per_token: float) -> float:
    low, high = S_PER_TOKEN_BOUNDS
    return min(high, max(low, s_per_token))
