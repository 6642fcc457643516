"""Time-out after which an unanswered order to an engine is repeated.

An engine takes one order after another, so each lost answer delays all loads there. A
repeated order carries the same expected number and is carried out at most once, so that
an early repeat costs one call. A time-out that is too short repeats every order at a
slow VM or link; one that is too long stops the engine after each lost answer.
"""

from bamboovale.decisions.estimates import MovingAverage

INITIAL_ANSWER_S = 0.012
"""Expected time to an answer until some have been seen."""
ANSWER_FACTOR = 5.0
"""Covers the variation of answers around their average."""
MIN_TIMEOUT_S = 0.05
MAX_TIMEOUT_S = 0.4
"""A slower link or VM is detected by other means."""


class OrderTimeout:
    """Learns how fast orders are answered; times in seconds."""

    def __init__(self) -> None:
        self._answer_s = MovingAverage(INITIAL_ANSWER_S)

    def on_answer(self, took_s: float) -> None:
        """Add the time of an answered order."""
        self._answer_s.add(took_s)

    def timeout_s(self, lost: int) -> float:
        """Return the time-out after ``lost`` attempts without an answer.

        It doubles with each attempt, so that the answer of a slow engine arrives in the
        end and raises the average.
        """
        first_s = max(MIN_TIMEOUT_S, ANSWER_FACTOR * self._answer_s.value)
        return min(MAX_TIMEOUT_S, first_s * 2**lost)
