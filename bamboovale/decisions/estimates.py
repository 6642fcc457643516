"""Moving averages that predict a wait from what was measured.

Load pattern: a queue that fills faster than it empties. A wait predicted from the
queue's length alone misjudges long jobs among short ones; it needs the time that a
place is taken, measured here.
"""

AVERAGE_WEIGHT = 0.1
"""Each sample moves the average by a tenth: settled after some 20 requests."""


class MovingAverage:
    """Exponentially weighted average that begins at a given guess."""

    def __init__(self, guess: float, *, weight: float = AVERAGE_WEIGHT) -> None:
        self.value = guess
        self._weight = weight

    def add(self, sample: float) -> None:
        """Move towards the sample."""
        self.value += self._weight * (sample - self.value)
