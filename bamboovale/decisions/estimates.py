"""Moving averages that predict times from earlier ones."""

AVERAGE_WEIGHT = 0.1
"""Weight of one sample."""


class MovingAverage:
    """Exponentially weighted moving average with an initial value."""

    def __init__(self, initial: float, *, weight: float = AVERAGE_WEIGHT) -> None:
        self.value = initial
        self._weight = weight

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.value += self._weight * (sample - self.value)
