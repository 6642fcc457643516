"""Runs that were lost at endpoints of which nobody knows yet whether they crashed."""

from collections import deque
from dataclasses import dataclass

MAX_DELAY_S = 8.0
"""Longest time between a lost run and the word that its endpoint crashed, which at the
latest is that its record expires, some heartbeats after the crash."""
MAX_RUNS = 512
"""Runs kept of one endpoint, several full batches; the oldest go first."""


@dataclass(frozen=True)
class LostRun:
    """A run that was lost, here or as a peer told, at a monotonic time in seconds.

    ``began`` is whether its answer had begun.
    """

    subject: str
    lost_at: float
    by_peer: bool
    began: bool = False


class LostRuns:
    """The last lost runs of each endpoint."""

    def __init__(self) -> None:
        self._runs_by_endpoint: dict[str, deque[LostRun]] = {}

    def add(self, run: LostRun, endpoint_id: str, now: float) -> None:
        """Keep a lost run until its endpoint is known to have crashed."""
        runs = self._runs_by_endpoint.setdefault(endpoint_id, deque(maxlen=MAX_RUNS))
        while runs and now - runs[0].lost_at >= MAX_DELAY_S:
            runs.popleft()
        runs.append(run)

    def take(self, endpoint_id: str, now: float) -> list[LostRun]:
        """Return and drop what was lost lately at an endpoint, the oldest first."""
        runs = self._runs_by_endpoint.pop(endpoint_id, ())
        return [run for run in runs if now - run.lost_at < MAX_DELAY_S]

    def sweep(self, now: float) -> None:
        """Drop the endpoints at which nothing was lost lately."""
        for endpoint_id, runs in list(self._runs_by_endpoint.items()):
            if now - runs[-1].lost_at >= MAX_DELAY_S:
                del self._runs_by_endpoint[endpoint_id]
