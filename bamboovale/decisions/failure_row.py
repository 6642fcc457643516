"""Whether failures in a row say that an endpoint has stopped working.

A fixed number of failures means little where an endpoint, or its whole pool, fails a
large share of its calls: such a row then comes by chance, and leaving the endpoint out
loses the calls that it would have answered. Here a row counts only if it hardly ever
comes by chance, by how the endpoint answered until the row began and by how the best
other endpoint answers.
"""

import math
from dataclasses import dataclass

MIN_ROW = 5
"""Least number of failures that count, where calls hardly ever fail."""
MAX_CHANCE = 1e-6
"""Probability of a row below which it does not come by chance."""
ERROR_WEIGHT = 0.12
"""Weight of one call in the share of errors."""


def row_needed(error_share: float) -> float:
    """Return how many failures in a row count where this share of calls fails."""
    if error_share <= 0.0:
        return MIN_ROW
    if error_share >= 1.0:
        return math.inf
    return max(MIN_ROW, math.log(MAX_CHANCE) / math.log(error_share))


@dataclass
class FailureRow:
    """The failures in a row of one endpoint, and its share of errors."""

    error_share: float = 0.0
    length: int = 0
    _share_before: float = 0.0

    def on_answer(self) -> None:
        """End the row."""
        self.length = 0
        self.error_share -= ERROR_WEIGHT * self.error_share

    def on_failure(self) -> None:
        """Begin a row, or make it longer."""
        if not self.length:
            self._share_before = self.error_share
        self.length += 1
        self.error_share += ERROR_WEIGHT * (1.0 - self.error_share)

    def is_conclusive(self, usual_share: float) -> bool:
        """Return whether the endpoint has stopped working.

        ``usual_share`` is the share of errors at the best other endpoint.
        """
        return self.length >= row_needed(max(self._share_before, usual_share))
