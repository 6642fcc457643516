"""Measures the runs of one engine by the events of its places, for its speed.

Only a run whose first event and regular end are both known is measured: nothing is
learned from one that was aborted, refused or adopted, or whose entry VM is gone.
"""

from dataclasses import dataclass

from bamboovale.decisions.run_speed import RunSpeed


@dataclass
class _Run:
    """A run: when its place was granted and its first event came, None if unknown.

    ``run_seconds`` is the meter's count at the first event.
    """

    granted_at: float | None
    first_at: float | None = None
    run_seconds: float = 0.0


class RunMeter:
    """The runs in progress at one engine; times are seconds on its owner's clock."""

    def __init__(self) -> None:
        self.speed = RunSpeed()
        self._run_by_id: dict[str, _Run] = {}
        self._run_seconds = 0.0
        self._counted_at = 0.0

    def on_granted(self, ask_id: str, now: float) -> None:
        """Add the run of a granted place."""
        self._count(now)
        self._run_by_id[ask_id] = _Run(now)

    def on_adopted(self, ask_id: str, now: float) -> None:
        """Add a run that began under a previous owner."""
        self._count(now)
        self._run_by_id[ask_id] = _Run(None)

    def on_started(self, ask_id: str, now: float) -> None:
        """Record a run's first event."""
        run = self._run_by_id.get(ask_id)
        if run is None or run.granted_at is None:
            return
        self._count(now)
        run.first_at = now
        run.run_seconds = self._run_seconds

    def on_ended(self, ask_id: str, tokens: int, now: float) -> None:
        """Learn from a run that ended regularly; ``on_gone`` then removes it."""
        run = self._run_by_id.get(ask_id)
        if run is None or run.granted_at is None or run.first_at is None:
            return
        self._count(now)
        seconds = now - run.first_at
        if seconds <= 0.0:
            return
        active = (self._run_seconds - run.run_seconds) / seconds
        first_s = run.first_at - run.granted_at
        self.speed.on_run(tokens, seconds, active, now, first_s=first_s)

    def on_gone(self, ask_id: str, now: float) -> None:
        """Remove a run."""
        self._count(now)
        self._run_by_id.pop(ask_id, None)

    def _count(self, now: float) -> None:
        """Add the seconds that runs spent since the last count, over all runs."""
        elapsed_s = max(0.0, now - self._counted_at)
        self._run_seconds += elapsed_s * len(self._run_by_id)
        self._counted_at = now
