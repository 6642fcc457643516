"""How long an engine's answer to an order is awaited before the order is given again.

Load pattern: some engines leave orders without an answer, one in four for a while. An
engine takes one order after another, so everything that needs a load there waits for
the answer that does not come: at 0.2 s for each lost one, engines with free slots had
queues of 4 to 12. Given again with the same expected
number an order is carried out once at most, so that an early repeat costs a call.

Without it either a lost answer stops an engine for long, or a slow VM or link repeats
every order in vain.
"""

from bamboovale.decisions.estimates import MovingAverage

ANSWER_GUESS_S = 0.012
"""Until answers have been measured: a round trip between failure domains takes 3 ms,
the engine's own work and ours some milliseconds more."""
ANSWER_FACTOR = 5.0
"""Answers vary by about this much around their average."""
SHORTEST_S = 0.05
LONGEST_S = 0.4
"""A link or VM that is slower than this is found by other means."""


class OrderTimeout:
    """Learns how fast orders are answered; times in seconds."""

    def __init__(self) -> None:
        self._answer_s = MovingAverage(ANSWER_GUESS_S)

    def on_answer(self, took_s: float) -> None:
        """Count an answered order."""
        self._answer_s.add(took_s)

    def timeout_s(self, lost: int) -> float:
        """Return how long to wait for an answer after ``lost`` tries without one.

        It doubles with each: a slow engine is waited for in the end, and its answer
        makes the average grow.
        """
        first_s = max(SHORTEST_S, ANSWER_FACTOR * self._answer_s.value)
        return min(LONGEST_S, first_s * 2**lost)
