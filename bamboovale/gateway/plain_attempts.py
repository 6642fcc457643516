"""What the attempts at one call of a plain service gave."""

from dataclasses import dataclass, field

from bamboovale.gateway.endpoint_client import MayHaveRun, NotRun
from bamboovale.gateway.model import AnswerFacts


@dataclass
class Attempts:
    """What the attempts at one call gave; ``arrivals`` counts those that arrived.

    ``failure`` is what the caller is told, which a later refusal does not change once
    something may have run; ``last_failure`` is that of the last attempt, None if it was
    answered. ``is_refused`` is whether the call was found to crash endpoints,
    ``no_place_retry_s`` when a place is expected, if none is in time.
    """

    excluded: set[str] = field(default_factory=set)
    arrivals: int = 0
    runs: int = 0
    answer: tuple[AnswerFacts, bytes] | None = None
    failure: Exception | None = None
    last_failure: Exception | None = None
    is_refused: bool = False
    no_place_retry_s: float | None = None

    def on_not_run(self, error: NotRun) -> None:
        """Apply an attempt that did not run."""
        self.arrivals += error.reached
        self.last_failure = error
        if not isinstance(self.failure, MayHaveRun):
            self.failure = error

    def on_broken(self, error: MayHaveRun) -> None:
        """Apply an attempt that may have run, without an answer."""
        self.arrivals += 1
        self.runs += 1
        self.last_failure = self.failure = error

    def on_answer(self, facts: AnswerFacts, body: bytes) -> None:
        """Apply an answer; a later one takes its place."""
        self.arrivals += 1
        self.runs += 1
        self.last_failure = None
        self.answer = (facts, body)
