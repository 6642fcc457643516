"""Prefill speed of one engine, learned from its first events.

Engines of one pool differ in speed, and some become slow for a while. A fixed speed
would pace fast ones too much and slow ones too little.

A first event comes after a fixed time (the current step and the round trip) and the
prefill of the prompt. Both estimates move by a bounded step towards a quantile with
each prompt that was alone. A quantile is robust against outliers: a cached prompt takes
almost no time, one that meets a fault takes seconds.
"""

from bamboovale.decisions.estimates import MovingAverage

INITIAL_S_PER_TOKEN = 1 / 20_000
INITIAL_FIXED_S = 0.025
"""Estimates until prompts have been seen."""
INITIAL_TOKENS = 1000.0
QUANTILE = 0.6
"""Above the median, since cached prompts take less time than their length implies."""
RATE = 0.08
"""Relative step of the estimates for a prompt of average length."""
FIRST_RATE = 0.4
"""Larger relative step of the first prompts, divided by their number."""
FIXED_RATE = 0.3
"""Share of the step for the fixed time, which varies less between engines."""
MAX_WEIGHT = 2.0
"""Bound on the weight of a long prompt."""
MIN_S_PER_TOKEN = 1 / 100_000
MAX_S_PER_TOKEN = 1 / 1000
FIXED_BOUNDS_S = (0.005, 0.5)


class PrefillSpeed:
    """A quantile regression line through (tokens, seconds)."""

    def __init__(self) -> None:
        self.s_per_token = INITIAL_S_PER_TOKEN
        self.fixed_s = INITIAL_FIXED_S
        self._average_tokens = MovingAverage(INITIAL_TOKENS)
        self._samples = 0

    def prefill_s(self, tokens: int) -> float:
        """Return the expected prefill time of a prompt."""
        return tokens * self.s_per_token

    def first_event_s(self, tokens: int) -> float:
        """Return the expected time to the first event at an idle engine."""
        return self.fixed_s + self.prefill_s(tokens)

    def add(self, tokens: int, seconds: float) -> None:
        """Add the time to the first event of a prompt that was alone."""
        if tokens <= 0:
            return
        self._samples += 1
        self._average_tokens.add(tokens)
        above = seconds > self.first_event_s(tokens)
        towards = QUANTILE if above else QUANTILE - 1.0
        step = towards * max(RATE, FIRST_RATE / self._samples)
        length = tokens / self._average_tokens.value
        slope = self.s_per_token * (1.0 + step * min(MAX_WEIGHT, length))
        fixed_step = FIXED_RATE * step * min(MAX_WEIGHT, 1.0 / length)
        fixed_s = self.fixed_s * (1.0 + fixed_step)
        self.s_per_token = min(MAX_S_PER_TOKEN, max(MIN_S_PER_TOKEN, slope))
        self.fixed_s = min(FIXED_BOUNDS_S[1], max(FIXED_BOUNDS_S[0], fixed_s))
